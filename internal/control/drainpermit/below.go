package drainpermit

import (
	"slices"
	"strings"
	"time"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/lease"
)

// upstreamNamePrefix and an address is the name by which a server below is asked for, permitted and counted.
const upstreamNamePrefix = "server:"

// UpstreamName is the name of a server below, by its address.
func UpstreamName(address string) string { return upstreamNamePrefix + address }

// IsUpstream says whether a name is a server's, not a node's.
func IsUpstream(name string) bool { return strings.HasPrefix(name, upstreamNamePrefix) }

// UpstreamAddress is the address of a server by its name.
func UpstreamAddress(name string) string { return strings.TrimPrefix(name, upstreamNamePrefix) }

// WithUpstreams adds the servers below that any node has on its list, as members of their service.
func (v View) WithUpstreams(service string) View {
	servers := map[string]*ObservedMember{}
	var names []string
	for _, n := range v.Members {
		for address, b := range n.Report.Upstreams {
			s := servers[address]
			if s == nil {
				s = &ObservedMember{Name: UpstreamName(address), Service: service}
				servers[address] = s
				names = append(names, address)
			}
			s.UpstreamUsers = append(s.UpstreamUsers, UpstreamUser{n.Name, b, n.Liveness})
		}
	}
	slices.Sort(names)
	v.Members = slices.Clone(v.Members)
	for _, name := range names {
		v.Members = append(v.Members, *servers[name])
	}
	return v
}

// upstreamAvailability says whether a server counts as in: at least half of the nodes that report and may send to it find it well.
func (s ObservedMember) upstreamAvailability() disruption.Availability {
	well, all := 0, 0
	for _, u := range s.UpstreamUsers {
		if u.Liveness == disruption.Available && u.Routable {
			if all++; u.Healthy {
				well++
			}
		}
	}
	switch {
	case all == 0:
		return disruption.Unknown
	case 2*well < all:
		return disruption.NotReady
	}
	return disruption.Available
}

// DrainConfirmed says whether a server that is permitted to be out is so: every node that has it on its list has said that it no longer sends to it
// and has nothing open there. Else it names those that may yet, and those that are silent and can't say.
func (s ObservedMember) DrainConfirmed() (agreed bool, open, silent []string) {
	for _, u := range s.UpstreamUsers {
		switch {
		case u.Liveness != disruption.Available:
			silent = append(silent, u.Node)
		case u.Routable || u.InFlight > 0:
			open = append(open, u.Node)
		}
	}
	return len(open)+len(silent) == 0, open, silent
}

// decideUpstream decides on a permit of a server: it goes back once its ask is gone, and the permit ends when all nodes that report have used the
// server, and found it well, for long enough.
func (k *Controller) decideUpstream(v View, name string, p Permit, now lease.Instant, seen map[string]lease.Instant, s *Decision) {
	a, asked := v.Requests[name]
	wanted := asked && a.ID == p.RequestID
	switch {
	case p.State != Returning && !wanted:
		s.MarkReturning = append(s.MarkReturning, name)
	case p.State == Returning:
		i := slices.IndexFunc(v.Members, func(m ObservedMember) bool { return m.Name == name })
		used := i < 0 || !slices.ContainsFunc(v.Members[i].UpstreamUsers, func(u UpstreamUser) bool { return u.Liveness == disruption.Available && !(u.Routable && u.Healthy) })
		if !used {
			return
		}
		first, known := k.firstSeen[p.ID]
		if !known {
			first = now
		}
		if seen[p.ID] = first; time.Duration(now-first) >= k.MinReady {
			s.Remove = append(s.Remove, name)
		}
	}
}
