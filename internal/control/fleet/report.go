package fleet

import (
	"crypto/rand"
	"encoding/json"
	"os"
	"time"

	"sloehitch/internal/store/document"
)

// nodeKeyPrefix, followed by a node's name, is the key of the node's last report.
const nodeKeyPrefix = "node/"

// publishReport writes this node's report to the store.
func (p *Participant) publishReport() {
	text, err := json.Marshal(p.report())
	start := time.Now()
	if err == nil {
		_, err = p.transact(document.Transaction{ID: rand.Text(), Author: p.options.Name, Reason: "report",
			Operations: []document.Operation{{Key: nodeKeyPrefix + p.options.Name, Value: string(text), ExcludeFromHistory: true}}})
	}
	if p.options.OnReport != nil {
		p.options.OnReport(time.Since(start), err)
	}
	result := reportsMade
	if err != nil {
		result = reportsFailed
	}
	p.updateStats(func(stats *Stats) { stats.Reports[result]++ })
	if err != nil {
		p.log.Warn("could not report to the store; serving continues", err)
	}
}

// report returns the report's encoded fields. The fields of Options.NodeState override those of the same name.
func (p *Participant) report() map[string]any {
	report := map[string]any{"version": p.options.Version, "since": p.startedAt.UnixMilli(), "pid": os.Getpid()}
	p.mu.Lock()
	report["desired"] = p.applier.follower.LastApplied()
	if rejected := p.applier.guard.RejectedCount(); rejected > 0 {
		report["turned_away"] = rejected
	}
	p.mu.Unlock()
	if p.options.NodeState != nil {
		for name, value := range p.options.NodeState() {
			report[name] = value
		}
	}
	if p.options.Drain != nil {
		p.addDrainReport(report)
	}
	return report
}

// addDrainReport adds the fields on which drains are decided (fleetstate.NodeReport).
func (p *Participant) addDrainReport(report map[string]any) {
	drain := p.options.Drain
	report["zone"], report["kind"], report["release"] = drain.Zone, drain.Kind, drain.DeployedVersion
	report["in_ms"] = p.inServiceFor().Milliseconds()
	if drain.Upstreams != nil {
		report["below"] = drain.Upstreams()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.drainOverdue {
		report["overdue"] = true
	}
}

// inServiceFor returns how long the node has been in service and healthy.
func (p *Participant) inServiceFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inService.Duration(p.clock())
}
