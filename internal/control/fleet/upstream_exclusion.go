package fleet

import (
	"context"
	"errors"
	"time"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/store/document"
)

var (
	errNoLeader     = errors.New("store member knows of no leader")
	errMemberBehind = errors.New("store member is behind or knows of no leader")
)

// followExcludedUpstreams stops requests of this node to upstream servers with a drain permit, until the context
// ends. While the store is unreachable the last known servers stay excluded.
func (p *Participant) followExcludedUpstreams(ctx context.Context) {
	keyPrefix := fleetstate.DrainKeyPrefix + fleetstate.UpstreamName("")
	changed := p.watchChanges(ctx, keyPrefix)
	var revision uint64 // at which the permits were last read
	for {
		c, memberIndex := p.preferredClient()
		docs, status, err := c.Documents(keyPrefix, true)
		if err == nil && (status.AgeMS < 0 || status.Revision < revision) {
			err = errMemberBehind
		}
		var retry <-chan time.Time
		if err != nil {
			p.skipMember(memberIndex)
			retry = time.After(p.options.RetryDelay)
		} else {
			p.options.Drain.ExcludeUpstreams(excludedUpstreams(docs))
			revision = status.Revision
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-retry:
		}
	}
}

// excludedUpstreams returns the addresses of the upstream servers with a permit to be out of service. A permit that
// cannot be decoded counts as one, because not using a healthy server does less harm than using a drained one.
func excludedUpstreams(docs []document.Document) (addresses []string) {
	for _, d := range docs {
		name, isPermit := fleetstate.PermitMember(d.Key)
		if !isPermit {
			continue
		}
		permit, err := fleetstate.Decode[fleetstate.Permit](d.Value)
		if err != nil || permit.State != fleetstate.PermitReturning {
			addresses = append(addresses, fleetstate.UpstreamAddress(name))
		}
	}
	return addresses
}
