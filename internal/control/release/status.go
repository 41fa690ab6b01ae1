package release

import (
	"fmt"

	"sloehitch/internal/control/fleetstate"
)

// Status is the progress of a release.
type Status struct {
	Name   string
	State  State
	Halted bool
	// Nodes is the number of nodes of the release, Updated the number of those that run the target version.
	Nodes, Updated int
	// OutOfService is the number of its requests with a started permit, Waiting that of its other requests.
	OutOfService, Waiting int
	// Wave is the number of the current wave, counted from 1, and Waves the number of all waves.
	Wave, Waves int
}

// StatusOf returns the progress of a release in a view.
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

// FormatStatus formats the progress of a release as one line for operators.
func FormatStatus(r Release, view fleetstate.View) string {
	s := StatusOf(r, view)
	line := fmt.Sprintf("%s to %s: %s, wave %d of %d, %d of %d nodes updated, %d out of service, %d waiting",
		r.Name, r.TargetVersion, r.State, s.Wave, s.Waves, s.Updated, s.Nodes, s.OutOfService, s.Waiting)
	if s.Halted {
		line += ", HALTED"
	}
	if r.Note != "" {
		line += "; " + r.Note
	}
	return line
}
