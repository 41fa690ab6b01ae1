package release

import (
	"time"

	"sloehitch/internal/control/canary"
	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleetstate"
)

// CanaryReports converts the reports of all nodes for the canary analysis of the release. A node counts as in
// service once it has been available for minReady.
func (r Release) CanaryReports(view fleetstate.View, minReady time.Duration) (reports []canary.NodeReport) {
	for _, m := range view.Members {
		if m.Service != "" {
			continue
		}
		report := m.Report
		reports = append(reports, canary.NodeReport{
			Name: m.Name,
			Zone: report.Zone,
			Total: canary.Interval{
				Served: float64(report.Served), Rejected: float64(report.Rejected), Failed: float64(report.Failed), P99MS: report.P99MS},
			ProcessStartMS: report.ProcessStartMS,
			InService:      m.Liveness == disruption.Available && !m.Unreadable && report.Availability(minReady) == disruption.Available,
			Updated:        report.DeployedVersion == r.TargetVersion,
		})
	}
	return reports
}
