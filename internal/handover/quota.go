package handover

import (
	"encoding/binary"
	"math"
)

// Load is what a process has in hand, as it tells the other processes of its node.
type Load struct {
	Running, Queued int // requests
	Connections     int // of callers
}

// EncodedLoadSize is the bytes of a Load, the same for all.
const EncodedLoadSize = 12

// Encode are what another process reads with ParseLoad.
func (l Load) Encode() []byte {
	b := make([]byte, 0, EncodedLoadSize)
	for _, v := range []int{l.Running, l.Queued, l.Connections} {
		b = binary.LittleEndian.AppendUint32(b, uint32(min(max(v, 0), math.MaxInt32)))
	}
	return b
}

// ParseLoad reads a Load. false: there is none (a process that has told nothing yet).
func ParseLoad(b []byte) (l Load, ok bool) {
	if len(b) != EncodedLoadSize {
		return l, false
	}
	for i, v := range []*int{&l.Running, &l.Queued, &l.Connections} {
		*v = int(binary.LittleEndian.Uint32(b[4*i:]) & math.MaxInt32)
	}
	return l, true
}

// Quota are what one of a node's processes may take.
type Quota struct {
	CPUFraction    float64 // part of what the cores survive at once, and of the memory for requests: above 0, at most 1
	MemoryFraction float64 // part of the process's own memory
	Connections    int     // of callers
}

// minCPUFraction is the part of the cores that a process has however little it has in hand: what comes next must be able to
// start before the parts are found anew.
const minCPUFraction = 0.125

// ComputeQuota says what a process may take of a node's means while others of the node live. connections is what the node may
// have.
//
// Cores go by what each has in hand: work that waits is worth the same wherever it came in, and the process that
// leaves needs less and less by itself. (Not taken: all to the new one, which would let what the old one holds run out
// of time; halves, which would leave cores idle at both ends of the hand-over.) Their own memory is halved: each needs
// about the same, whatever it has in hand. Connections are what the others leave: those that are open can't be taken
// from them, and every process can keep an eighth, so that new callers find a way in.
func ComputeQuota(own Load, others []Load, connections int) Quota {
	demand := func(l Load) float64 { return float64(l.Running+l.Queued) + 1 }
	sum, open := demand(own), 0
	for _, o := range others {
		sum += demand(o)
		open += o.Connections
	}
	if len(others) == 0 {
		return Quota{CPUFraction: 1, MemoryFraction: 1, Connections: connections}
	}
	most := 1 - minCPUFraction*float64(min(len(others), 4))
	return Quota{CPUFraction: min(most, max(minCPUFraction, demand(own)/sum)), MemoryFraction: 1 / float64(len(others)+1),
		Connections: max(connections/8, connections-open)}
}
