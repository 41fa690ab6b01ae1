package emulator

import "github.com/HdrHistogram/hdrhistogram-go"

// maxLatencyMicros is the highest latency that a histogram records, in microseconds.
const maxLatencyMicros = 600_000_000

// ClassResult counts the outcomes of a class's requests, without those that arrived during the warm-up.
type ClassResult struct {
	Offered, WithinObjective, Late, Rejected, Failed, TimedOut int // requests

	Attempts              int
	WeightWithinObjective float64                 // sum of the priority weights of requests served within their objective
	Latency               *hdrhistogram.Histogram // microseconds, of requests served
}

// Result is the outcome of a simulation.
type Result struct {
	Classes          []ClassResult
	Utilization      float64 // of all cores, 0 to 1, over the world's duration
	MeanInSystem     float64 // mean number of requests in the system, integrated over time
	MeanByLittlesLaw float64 // the same by Little's law: the sum of all sojourn times over the world's duration
	Events           uint64  // callbacks of the virtual clock
	Violations       []*Violation
	Release          *ReleaseResult // never nil; all zero without a release
}

// Goodput returns the priority weight served within the latency objective over the weight offered, 0 to 1.
func (r *Result) Goodput(w *World) float64 {
	withinObjective, offered := 0.0, 0.0
	for i, c := range r.Classes {
		withinObjective += c.WeightWithinObjective
		offered += float64(c.Offered) * w.Classes[i].PriorityWeight
	}
	return withinObjective / max(1e-9, offered)
}
