package daemon

import (
	"runtime/debug"
	"sloehitch/internal/handover"
)

// updateQuota takes this process's quota of the node's resources while other processes of the node live, as handover.Share computes it.
func (d *Daemon) updateQuota() {
	if d.journals.keys == nil {
		return
	}
	var own handover.Load
	own.Running, own.Held = d.node.Hand()
	own.Connections = d.resp.Open()
	var others []handover.Load
	for _, note := range d.journals.keys.Exchange(own.Bytes()) {
		load, _ := handover.ParseLoad(note) // one that has told nothing has nothing in hand
		others = append(others, load)
	}
	is, was := handover.Share(own, others, d.limits.Connections), d.quota
	if is.Cores != was.Cores {
		d.admission.Share(is.Cores)
	}
	if is.Memory != was.Memory {
		debug.SetMemoryLimit(max(d.limits.MemoryLeast, int64(is.Memory*float64(d.limits.MemoryBytes))))
	}
	if is.Connections != was.Connections {
		d.resp.Resize(is.Connections)
	}
	d.quota = is
}
