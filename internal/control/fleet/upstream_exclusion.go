package fleet

import (
	"context"
	"errors"
	"time"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/store/document"
)

var (
	errNoLeader     = errors.New("the member asked has heard of no leader")
	errMemberBehind = errors.New("the member asked is behind, or has heard of no leader")
)

// followExcludedUpstreams keeps this node from sending requests to upstream servers with a drain permit,
// until the context ends. While the store cannot be reached the last known servers stay excluded.
func (p *Participant) followExcludedUpstreams(ctx context.Context) {
	keyPrefix := fleetstate.DrainKeyPrefix + fleetstate.UpstreamName("")
	changed := p.watchChanges(ctx, keyPrefix)
	var revision uint64 // as of which the servers were read last
	for {
		c, turn := p.preferredClient()
		docs, status, err := c.Documents(keyPrefix, true)
		if err == nil && (status.AgeMS < 0 || status.Revision < revision) {
			err = errMemberBehind
		}
		var retry <-chan time.Time
		if err != nil {
			p.skipMember(turn)
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

// excludedUpstreams returns the addresses of the upstream servers with a permit to be out of service. A
// permit that cannot be decoded counts as one: to send a healthy server nothing is the lesser harm.
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
