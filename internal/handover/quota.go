package handover

import (
	"encoding/binary"
	"math"
)

// Load is what a process has in flight, as it tells the other processes of its node.
type Load struct {
	Running, Queued int // requests
	Connections     int // of callers
}

// EncodedLoadSize is the bytes of an encoded Load.
const EncodedLoadSize = 12

// Encode returns the bytes that ParseLoad reads: the three numbers, 4 bytes each, little-endian.
func (l Load) Encode() []byte {
	b := make([]byte, 0, EncodedLoadSize)
	for _, v := range []int{l.Running, l.Queued, l.Connections} {
		b = binary.LittleEndian.AppendUint32(b, uint32(min(max(v, 0), math.MaxInt32)))
	}
	return b
}

// ParseLoad reads an encoded Load. It returns false if there is none: the process has left no note yet.
func ParseLoad(b []byte) (l Load, ok bool) {
	if len(b) != EncodedLoadSize {
		return l, false
	}
	for i, v := range []*int{&l.Running, &l.Queued, &l.Connections} {
		*v = int(binary.LittleEndian.Uint32(b[4*i:]) & math.MaxInt32)
	}
	return l, true
}

// Quota is what one of a node's processes may use.
type Quota struct {
	CPUFraction    float64 // of the node's concurrency and memory for requests: above 0, at most 1
	MemoryFraction float64 // of the process's own memory
	Connections    int     // of callers
}

const (
	// minCPUFraction is the CPU fraction of a process that has nothing in flight: its next requests must be able to
	// start before the quotas are computed anew.
	minCPUFraction = 0.125
	// maxReservedProcesses bounds the other processes for which minCPUFraction is reserved.
	maxReservedProcesses = 4
	// minConnectionsDivisor is the part of the connections that each process may keep: new callers must find a way in.
	minConnectionsDivisor = 8
)

// ComputeQuota returns what a process may use of the node while others of the node live. connections is the limit of
// the node.
//
//	demand         = running + queued + 1
//	CPUFraction    = own demand / demand of all, from minCPUFraction to 1 - minCPUFraction * min(others, 4)
//	MemoryFraction = 1 / processes
//	Connections    = connections - those of the others, at least connections/8
//
// CPU goes by what each process has in flight: work that waits has the same weight wherever it came in, and the
// process that shuts down needs less and less by itself. (All for the new one would let the old one's requests time
// out; halves would leave cores idle at both ends of the hand-over.) Each needs about the same memory, whatever it
// has in flight. Open connections can't be taken from the others.
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
	maxCPUFraction := 1 - minCPUFraction*float64(min(len(others), maxReservedProcesses))
	return Quota{
		CPUFraction:    min(maxCPUFraction, max(minCPUFraction, demand(own)/sum)),
		MemoryFraction: 1 / float64(len(others)+1),
		Connections:    max(connections/minConnectionsDivisor, connections-open),
	}
}
