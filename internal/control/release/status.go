package release

import (
	"fmt"

	"sloehitch/internal/control/fleetstate"
)

// Status is how far a release is.
type Status struct {
	Name   string
	State  State
	Halted bool
	// Nodes is how many nodes the release has, Updated how many of them run the target version.
	Nodes, Updated int
	// OutOfService and Waiting are how many of its requests have a started permit, and how many have none.
	OutOfService, Waiting int
	// Wave is the number of the current wave, from 1, of Waves in all.
	Wave, Waves int
}

// StatusOf returns how far a release is by a view.
func StatusOf(r Release, view fleetstate.View) Status {
	halted := view.Halted[r.Name] || view.Halted[fleetstate.HaltAll]
	status := Status{Name: r.Name, State: r.State, Halted: halted, Wave: r.CurrentWave + 1, Waves: len(r.Waves)}
	deployed := map[string]string{}
	for _, m := range view.Members {
		deployed[m.Name] = m.Report.DeployedVersion
	}
	for _, wave := range r.Waves {
		for _, node := range wave {
			status.Nodes++
			if deployed[node] == r.TargetVersion {
				status.Updated++
			}
			if view.Requests[node].ReleaseName != r.Name {
				continue
			}
			if permit, permitted := view.Permits[node]; permitted && permit.State != fleetstate.PermitGranted {
				status.OutOfService++
			} else {
				status.Waiting++
			}
		}
	}
	return status
}

// FormatStatus returns how far a release is as one line for operators.
func FormatStatus(r Release, view fleetstate.View) string {
	s := StatusOf(r, view)
	line := fmt.Sprintf("%s to %s: %s, wave %d of %d, %d of %d nodes changed, %d out, %d wait",
		r.Name, r.TargetVersion, r.State, s.Wave, s.Waves, s.Updated, s.Nodes, s.OutOfService, s.Waiting)
	if s.Halted {
		line += ", HALTED"
	}
	if r.Note != "" {
		line += "; " + r.Note
	}
	return line
}
