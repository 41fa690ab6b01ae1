package simdisk

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// survival determines which of the pending writes of a file survive a power loss.
type survival int

const (
	surviveNone survival = iota
	surviveAll
	survivePrefix
	surviveAnySectors

	survivals // number of values
)

// drawContent draws the content of a file after a power loss. The caller holds mu.
func (d *FS) drawContent(n *inode) []byte {
	b := slices.Clone(n.durable)
	mode := survival(d.rng.IntN(int(survivals)))
	cutIndex := len(n.pending)
	if mode == survivePrefix && cutIndex > 0 {
		cutIndex = d.rng.IntN(cutIndex + 1)
	}
	for i, w := range n.pending {
		switch {
		case mode == surviveNone:
			return b
		case mode == surviveAll || mode == survivePrefix && i < cutIndex:
			b = apply(b, w)
		case mode == survivePrefix && i == cutIndex && !w.truncate && len(w.data) > 0:
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

// writeSomeSectors applies a random subset of the sectors of a write to b.
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

// tornLength draws how many bytes of a torn write survive: up to a sector boundary, or up to any byte, because a file may have
// any length.
func (d *FS) tornLength(w pendingWrite) int {
	n := d.rng.IntN(len(w.data) + 1)
	if d.rng.IntN(2) == 0 {
		n -= int((w.offset + int64(n)) % SectorBytes)
	}
	return max(n, 0)
}

// LosePower cuts the power, unless it is already lost, and returns the disk in a state that is possible afterwards. It may be
// called again, with another seed, to get another possible state after the same power loss.
func (d *FS) LosePower(seed uint64) *FS {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.poweredOff = true
	d.rng = rand.New(rand.NewPCG(seed, 2))
	names := maps.Clone(d.durable)
	for _, c := range d.changes { // in order; each of them is done or not
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

// KillProcess simulates the end of the process without a power loss and returns the disk, which has all writes, flushed or not.
func (d *FS) KillProcess() *FS {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.poweredOff = true
	next := New(0)
	next.names, next.durable, next.changes = maps.Clone(d.names), maps.Clone(d.durable), slices.Clone(d.changes)
	return next
}

// FlipBit flips one bit of a file, at an offset in [from, to) that is drawn by seed, and returns the offset. It simulates silent
// corruption, which persists across flushes and power losses.
func (d *FS) FlipBit(name string, from, to int, seed uint64) (offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rng := rand.New(rand.NewPCG(seed, 5))
	offset = from + rng.IntN(to-from)
	bit := byte(1) << rng.IntN(8)
	node := d.names[name]
	node.cached[offset] ^= bit
	if offset < len(node.durable) {
		node.durable[offset] ^= bit
	}
	return offset
}
