package daemon

import (
	"runtime/debug"
	"sloehitch/internal/handover"
)

// updateQuota applies this process's quota of the node's resources, which handover.ComputeQuota computes from the loads of all live
// processes of the node.
func (d *Daemon) updateQuota() {
	if d.journals.keys == nil {
		return
	}
	var own handover.Load
	own.Running, own.Queued = d.node.InFlight()
	own.Connections = d.resp.OpenConnections()
	var others []handover.Load
	for _, note := range d.journals.keys.ExchangeNotes(own.Encode()) {
		load, _ := handover.ParseLoad(note) // a process without a valid note has no load
		others = append(others, load)
	}
	quota, previous := handover.ComputeQuota(own, others, d.limits.MaxConnections), d.quota
	if quota.CPUFraction != previous.CPUFraction {
		d.admission.SetResourceShare(quota.CPUFraction)
	}
	if quota.MemoryFraction != previous.MemoryFraction {
		debug.SetMemoryLimit(max(d.limits.MinMemoryBytes, int64(quota.MemoryFraction*float64(d.limits.MemoryBytes))))
	}
	if quota.Connections != previous.Connections {
		d.resp.SetMaxConnections(quota.Connections)
	}
	d.quota = quota
}
