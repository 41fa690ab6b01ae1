package daemon

import (
	"runtime/debug"
	"sloehitch/internal/handover"
)

// updateQuota applies this process's quota of the node's resources, which handover.ComputeQuota computes from the loads of all live processes of the node.
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
	is, was := handover.ComputeQuota(own, others, d.limits.MaxConnections), d.quota
	if is.CPUFraction != was.CPUFraction {
		d.admission.SetResourceShare(is.CPUFraction)
	}
	if is.MemoryFraction != was.MemoryFraction {
		debug.SetMemoryLimit(max(d.limits.MinMemoryBytes, int64(is.MemoryFraction*float64(d.limits.MemoryBytes))))
	}
	if is.Connections != was.Connections {
		d.resp.SetMaxConnections(is.Connections)
	}
	d.quota = is
}
