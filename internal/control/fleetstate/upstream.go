package fleetstate

import (
	"slices"
	"strings"

	"sloehitch/internal/control/disruption"
)

// When an upstream server is available, and when a drained one is out of service.
//
// Inputs: the reports of the nodes that have the server in their pool. It is available if at least half of the
// nodes that report and may send to it find it healthy. It is confirmed to be out of service once every node has
// reported that it no longer sends to the server and has no request in flight there. A silent node cannot
// confirm that.

// upstreamNamePrefix, followed by an address, is the member name of an upstream server.
const upstreamNamePrefix = "server:"

// UpstreamName returns the member name of the upstream server with the given address.
func UpstreamName(address string) string { return upstreamNamePrefix + address }

// IsUpstream reports whether a member name is that of an upstream server, not of a node.
func IsUpstream(name string) bool { return strings.HasPrefix(name, upstreamNamePrefix) }

// UpstreamAddress returns the address of the upstream server with the given member name.
func UpstreamAddress(name string) string { return strings.TrimPrefix(name, upstreamNamePrefix) }

// UpstreamUser is a node that has an upstream server in its pool.
type UpstreamUser struct {
	Node string
	UpstreamStatus
	Liveness disruption.Availability // of the node
}

// WithUpstreams returns the view with the reported upstream servers added as members of the given service, sorted
// by address.
func (v View) WithUpstreams(service string) View {
	upstreams := map[string]*ObservedMember{}
	var addresses []string
	for _, node := range v.Members {
		for address, status := range node.Report.Upstreams {
			upstream := upstreams[address]
			if upstream == nil {
				upstream = &ObservedMember{Name: UpstreamName(address), Service: service}
				upstreams[address] = upstream
				addresses = append(addresses, address)
			}
			upstream.UpstreamUsers = append(upstream.UpstreamUsers, UpstreamUser{node.Name, status, node.Liveness})
		}
	}
	slices.Sort(addresses)
	v.Members = slices.Clone(v.Members)
	for _, address := range addresses {
		v.Members = append(v.Members, *upstreams[address])
	}
	return v
}

// upstreamAvailability returns the availability of an upstream server.
func (m ObservedMember) upstreamAvailability() disruption.Availability {
	healthy, routable := 0, 0
	for _, user := range m.UpstreamUsers {
		if user.Liveness != disruption.Available || !user.Routable {
			continue
		}
		routable++
		if user.Healthy {
			healthy++
		}
	}
	switch {
	case routable == 0:
		return disruption.Unknown
	case 2*healthy < routable:
		return disruption.NotReady
	}
	return disruption.Available
}

// DrainConfirmed reports whether every node has reported that it no longer uses the upstream server. Otherwise it
// returns the nodes that may still send to the server or have requests there, and those that are silent.
func (m ObservedMember) DrainConfirmed() (confirmed bool, sending, silent []string) {
	for _, user := range m.UpstreamUsers {
		switch {
		case user.Liveness != disruption.Available:
			silent = append(silent, user.Node)
		case user.Routable || user.InFlight > 0:
			sending = append(sending, user.Node)
		}
	}
	return len(sending)+len(silent) == 0, sending, silent
}

// InUseByAll reports whether every node that reports routes to the upstream server and finds it healthy.
func (m ObservedMember) InUseByAll() bool {
	return !slices.ContainsFunc(m.UpstreamUsers, func(user UpstreamUser) bool {
		return user.Liveness == disruption.Available && (!user.Routable || !user.Healthy)
	})
}
