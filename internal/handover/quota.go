package handover

import (
	"encoding/binary"
	"math"
)

// Load is the work that a process has in flight, which it reports to the other processes of its node.
type Load struct {
	Running, Queued int // number of requests
	Connections     int // number of callers' connections
}

// EncodedLoadSize is the size of an encoded Load in bytes.
const EncodedLoadSize = 12

// Encode returns the encoding that ParseLoad reads: the three numbers as 4 bytes each, little-endian.
func (l Load) Encode() []byte {
	b := make([]byte, 0, EncodedLoadSize)
	for _, v := range []int{l.Running, l.Queued, l.Connections} {
		b = binary.LittleEndian.AppendUint32(b, uint32(min(max(v, 0), math.MaxInt32)))
	}
	return b
}

// ParseLoad decodes a Load. It returns false if b does not have the size of one: the process has not reported yet.
func ParseLoad(b []byte) (l Load, ok bool) {
	if len(b) != EncodedLoadSize {
		return l, false
	}
	for i, v := range []*int{&l.Running, &l.Queued, &l.Connections} {
		*v = int(binary.LittleEndian.Uint32(b[4*i:]) & math.MaxInt32)
	}
	return l, true
}

// Quota is the share of a node's resources that one of its processes may use.
type Quota struct {
	CPUFraction    float64 // of the node's concurrency and memory for requests: more than 0, at most 1
	MemoryFraction float64 // of the memory for the process itself
	Connections    int     // number of callers' connections
}

const (
	// minCPUFraction is the CPU fraction of a process that has nothing in flight, so that its next requests can start
	// before the quotas are computed again.
	minCPUFraction = 0.125
	// maxReservedProcesses is the maximum number of other processes for which minCPUFraction is reserved.
	maxReservedProcesses = 4
	// minConnectionsDivisor sets the share of the connections that every process may use: 1/minConnectionsDivisor. It
	// allows new callers to connect.
	minConnectionsDivisor = 8
)

// ComputeQuota returns the quota of a process while other processes of the node are alive. connections is the limit of
// the node.
//
//	demand         = running + queued + 1
//	CPUFraction    = own demand / demand of all, from minCPUFraction to 1 - minCPUFraction * min(others, 4)
//	MemoryFraction = 1 / processes
//	Connections    = connections - those of the others, at least connections/8
//
// CPU is divided by the work that each process has in flight: queued requests have the same weight in every process,
// and the demand of a process that shuts down decreases by itself. (Giving all CPU to the new process would make the old
// one's requests time out; equal shares would leave cores idle at the start and at the end of the hand-over.) Each
// process needs about the same memory, regardless of its work in flight. Open connections of other processes can't be
// revoked.
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
