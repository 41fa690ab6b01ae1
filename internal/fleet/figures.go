package fleet

import (
	"maps"

	"sloehitch/internal/budget"
	"sloehitch/internal/permit"
	"sloehitch/internal/release"
)

// Figures are what this node has done in the fleet since its process began, and what it knows where it has a duty.
type Figures struct {
	Out      bool              // this node is out of service by a permit
	Overdue  bool              // and has been for longer than it was to take
	Reports  map[string]uint64 // made, failed
	Permits  map[string]uint64 // its own: begun, late, replaced; as the keeper: granted, freed
	Kept     *Kept             // nil: another node grants permits, or nobody has anything to decide
	Releases []Rolling         // that this node takes through the fleet
}

// Kept is what the keeper of permits sees.
type Kept struct {
	Waiting int                   // asks without a permit
	Permits map[permit.State]int  // by how far they are
	Out     map[budget.Reason]int // nodes and servers that count as out, by why
}

// Rolling is how far a release is.
type Rolling struct {
	Name           string
	State          release.State
	Halted         bool
	Nodes, Changed int
	Wave, Waves    int
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

// keptOf is what a view comes to.
func (k *keeping) keptOf(v permit.View) *Kept {
	kept := &Kept{Permits: map[permit.State]int{}, Out: map[budget.Reason]int{}}
	for name := range v.Asks {
		if _, permitted := v.Permits[name]; !permitted {
			kept.Waiting++
		}
	}
	for _, p := range v.Permits {
		kept.Permits[p.State]++
	}
	for _, m := range v.Counted(k.opts.Outs.Settle) {
		if m.Out != budget.In {
			kept.Out[m.Out]++
		}
	}
	return kept
}

// rollingOf is how far a release is in a view.
func rollingOf(r release.Release, v permit.View) Rolling {
	x := Rolling{Name: r.Name, State: r.State, Halted: v.Halted[r.Name] || v.Halted[permit.All], Wave: r.Wave + 1, Waves: len(r.Waves)}
	deployed := map[string]string{}
	for _, s := range v.Members {
		deployed[s.Name] = s.Report.Release
	}
	for _, w := range r.Waves {
		for _, n := range w {
			if x.Nodes++; deployed[n] == r.To {
				x.Changed++
			}
		}
	}
	return x
}
