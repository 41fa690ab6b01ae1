package handover

import (
	"encoding/binary"
	"math"
)

// Load is what a process has in hand, as it tells the other processes of its node.
type Load struct {
	Running, Held int // requests
	Connections   int // of callers
}

// LoadSize is the bytes of a Load, the same for all.
const LoadSize = 12

// Bytes are what another process reads with ParseLoad.
func (l Load) Bytes() []byte {
	b := make([]byte, 0, LoadSize)
	for _, v := range []int{l.Running, l.Held, l.Connections} {
		b = binary.LittleEndian.AppendUint32(b, uint32(min(max(v, 0), math.MaxInt32)))
	}
	return b
}

// ParseLoad reads a Load. false: there is none (a process that has told nothing yet).
func ParseLoad(b []byte) (l Load, ok bool) {
	if len(b) != LoadSize {
		return l, false
	}
	for i, v := range []*int{&l.Running, &l.Held, &l.Connections} {
		*v = int(binary.LittleEndian.Uint32(b[4*i:]) & math.MaxInt32)
	}
	return l, true
}

// Means are what one of a node's processes may take.
type Means struct {
	Cores       float64 // part of what the cores survive at once, and of the memory for requests: above 0, at most 1
	Memory      float64 // part of the process's own memory
	Connections int     // of callers
}

// least is the part of the cores that a process has however little it has in hand: what comes next must be able to
// start before the parts are found anew.
const least = 0.125

// Share says what a process may take of a node's means while others of the node live. connections is what the node may
// have.
//
// Cores go by what each has in hand: work that waits is worth the same wherever it came in, and the process that
// leaves needs less and less by itself. (Not taken: all to the new one, which would let what the old one holds run out
// of time; halves, which would leave cores idle at both ends of the hand-over.) Their own memory is halved: each needs
// about the same, whatever it has in hand. Connections are what the others leave: those that are open can't be taken
// from them, and every process can keep an eighth, so that new callers find a way in.
func Share(own Load, others []Load, connections int) Means {
	demand := func(l Load) float64 { return float64(l.Running+l.Held) + 1 }
	sum, open := demand(own), 0
	for _, o := range others {
		sum += demand(o)
		open += o.Connections
	}
	if len(others) == 0 {
		return Means{Cores: 1, Memory: 1, Connections: connections}
	}
	most := 1 - least*float64(min(len(others), 4))
	return Means{Cores: min(most, max(least, demand(own)/sum)), Memory: 1 / float64(len(others)+1),
		Connections: max(connections/8, connections-open)}
}
