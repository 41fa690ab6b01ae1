package simdisk

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// survival is what a power loss leaves of the pending writes of a file.
type survival int

const (
	surviveNone survival = iota
	surviveAll
	survivePrefix
	surviveAnySectors

	survivals // how many there are
)

// drawContent draws what a power loss leaves of a file; the caller holds mu.
func (d *FS) drawContent(n *inode) []byte {
	b := slices.Clone(n.durable)
	mode := survival(d.rng.IntN(int(survivals)))
	stop := len(n.pending)
	if mode == survivePrefix && stop > 0 {
		stop = d.rng.IntN(stop + 1)
	}
	for i, w := range n.pending {
		switch {
		case mode == surviveNone:
			return b
		case mode == surviveAll || mode == survivePrefix && i < stop:
			b = apply(b, w)
		case mode == survivePrefix && i == stop && !w.truncate && len(w.data) > 0:
			return overwriteAt(b, w.offset, w.data[:d.tornLength(w)])
		case mode == survivePrefix:
			return b
		case w.truncate:
			if d.rng.IntN(2) == 0 {
				b = apply(b, w)
			}
		default:
			b = d.writeSomeSectors(b, w)
		}
	}
	return b
}

// writeSomeSectors draws which sectors of a write are there.
func (d *FS) writeSomeSectors(b []byte, w pendingWrite) []byte {
	for from := 0; from < len(w.data); {
		to := min(len(w.data), from+SectorBytes-int((w.offset+int64(from))%SectorBytes))
		if d.rng.IntN(2) == 0 {
			b = overwriteAt(b, w.offset+int64(from), w.data[from:to])
		}
		from = to
	}
	return b
}

// tornLength draws how much of a write is there: up to the border of a sector, or to any byte, as a file's length may end.
func (d *FS) tornLength(w pendingWrite) int {
	n := d.rng.IntN(len(w.data) + 1)
	if d.rng.IntN(2) == 0 {
		n -= int((w.offset + int64(n)) % SectorBytes)
	}
	return max(n, 0)
}

// LosePower cuts the power, if that has not happened, and returns the disk as it is found afterwards. It may be called again for
// another possible state after the same power loss.
func (d *FS) LosePower(seed uint64) *FS {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.poweredOff = true
	d.rng = rand.New(rand.NewPCG(seed, 2))
	names := maps.Clone(d.durable)
	for _, c := range d.changes { // in order, each done or not
		if d.rng.IntN(2) == 0 {
			continue
		}
		switch c.op {
		case OpCreate:
			names[c.name] = c.node
		case OpRemove:
			delete(names, c.name)
		case OpRename:
			if names[c.name] == c.node {
				delete(names, c.name)
			}
			names[c.to] = c.node
		}
	}
	next := New(seed)
	survivors := map[*inode]*inode{} // one file may have two names
	for _, name := range slices.Sorted(maps.Keys(names)) {
		node := names[name]
		if survivors[node] == nil {
			b := d.drawContent(node)
			survivors[node] = &inode{cached: b, durable: slices.Clone(b)}
		}
		next.names[name] = survivors[node]
	}
	next.durable = maps.Clone(next.names)
	return next
}

// KillProcess ends the process but not the machine, and returns the disk: what was written is there, flushed or not.
func (d *FS) KillProcess() *FS {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.poweredOff = true
	next := New(0)
	next.names, next.durable, next.changes = maps.Clone(d.names), maps.Clone(d.durable), slices.Clone(d.changes)
	return next
}

// FlipBit flips one bit of a file, drawn by seed, in [from, to) of it, and returns its offset: silent corruption, which flushes
// and power losses keep.
func (d *FS) FlipBit(name string, from, to int, seed uint64) (at int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rng := rand.New(rand.NewPCG(seed, 5))
	at = from + rng.IntN(to-from)
	bit := byte(1) << rng.IntN(8)
	node := d.names[name]
	node.cached[at] ^= bit
	if at < len(node.durable) {
		node.durable[at] ^= bit
	}
	return at
}
