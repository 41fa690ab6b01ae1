package fleet

import (
	"maps"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/drainpermit"
	"sloehitch/internal/control/release"
)

// Figures are what this node has done in the fleet since its process began, and what it knows where it has a duty.
type Figures struct {
	Out      bool              // this node is out of service by a permit
	Overdue  bool              // and has been for longer than it was to take
	Reports  map[string]uint64 // made, failed
	Permits  map[string]uint64 // its own: begun, late, replaced; as the keeper: granted, freed
	Kept     *Kept             // nil: another node grants permits, or nobody has anything to decide
	Releases []release.Stand   // that this node takes through the fleet
}

// Kept is what the keeper of permits sees.
type Kept struct {
	Waiting int                       // asks without a permit
	Permits map[drainpermit.State]int // by how far they are
	Out     map[disruption.Reason]int // nodes and servers that count as out, by why
}

// Figures returns them as they are now. It does not block for long.
func (f *Fleet) Figures() Figures {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := f.figures
	x.Overdue, x.Reports, x.Permits = f.overdue, maps.Clone(x.Reports), maps.Clone(x.Permits)
	return x
}

// figure has the figures changed.
func (f *Fleet) figure(change func(x *Figures)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.figures)
}

// counted counts something of permits.
func (f *Fleet) counted(what string, n int) {
	f.figure(func(x *Figures) { x.Permits[what] += uint64(n) })
}

// keptOf is what a view comes to, and what a step counted in it.
func keptOf(v drainpermit.View, counted []disruption.Member) *Kept {
	kept := &Kept{Permits: map[drainpermit.State]int{}, Out: map[disruption.Reason]int{}}
	for name := range v.Asks {
		if _, permitted := v.Permits[name]; !permitted {
			kept.Waiting++
		}
	}
	for _, p := range v.Permits {
		kept.Permits[p.State]++
	}
	for _, m := range counted {
		if m.Out != disruption.In {
			kept.Out[m.Out]++
		}
	}
	return kept
}
