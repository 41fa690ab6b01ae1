package drainpermit

import (
	"slices"
	"strings"
	"time"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/lease"
)

// serverPrefix and an address is the name by which a server below is asked for, permitted and counted.
const serverPrefix = "server:"

// ServerName is the name of a server below, by its address.
func ServerName(address string) string { return serverPrefix + address }

// IsServer says whether a name is a server's, not a node's.
func IsServer(name string) bool { return strings.HasPrefix(name, serverPrefix) }

// Address is the address of a server by its name.
func Address(name string) string { return strings.TrimPrefix(name, serverPrefix) }

// WithServers adds the servers below that any node has on its list, as members of their service.
func (v View) WithServers(service string) View {
	servers := map[string]*Seen{}
	var names []string
	for _, n := range v.Members {
		for address, b := range n.Report.Below {
			s := servers[address]
			if s == nil {
				s = &Seen{Name: ServerName(address), Service: service}
				servers[address] = s
				names = append(names, address)
			}
			s.Users = append(s.Users, User{n.Name, b, n.Quiet})
		}
	}
	slices.Sort(names)
	v.Members = slices.Clone(v.Members)
	for _, name := range names {
		v.Members = append(v.Members, *servers[name])
	}
	return v
}

// serves says whether a server counts as in: at least half of the nodes that report and may send to it find it well.
func (s Seen) serves() disruption.Reason {
	well, all := 0, 0
	for _, u := range s.Users {
		if u.Quiet == disruption.In && u.Uses {
			if all++; u.Well {
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
	return disruption.In
}

// Agreed says whether a server that is permitted to be out is so: every node that has it on its list has said that it no longer sends to it
// and has nothing open there. Else it names those that may yet, and those that are silent and can't say.
func (s Seen) Agreed() (agreed bool, open, silent []string) {
	for _, u := range s.Users {
		switch {
		case u.Quiet != disruption.In:
			silent = append(silent, u.Node)
		case u.Uses || u.Open > 0:
			open = append(open, u.Node)
		}
	}
	return len(open)+len(silent) == 0, open, silent
}

// server decides on a permit of a server: it goes back once its ask is gone, and the permit ends when all nodes that report have used the
// server, and found it well, for long enough.
func (k *Keeper) server(v View, name string, p Permit, now lease.Instant, seen map[string]lease.Instant, s *Step) {
	a, asked := v.Asks[name]
	wanted := asked && a.ID == p.Ask
	switch {
	case p.State != Back && !wanted:
		s.Return = append(s.Return, name)
	case p.State == Back:
		i := slices.IndexFunc(v.Members, func(m Seen) bool { return m.Name == name })
		used := i < 0 || !slices.ContainsFunc(v.Members[i].Users, func(u User) bool { return u.Quiet == disruption.In && !(u.Uses && u.Well) })
		if !used {
			return
		}
		first, known := k.seen[p.ID]
		if !known {
			first = now
		}
		if seen[p.ID] = first; time.Duration(now-first) >= k.Settle {
			s.Free = append(s.Free, name)
		}
	}
}
