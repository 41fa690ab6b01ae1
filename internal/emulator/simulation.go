package emulator

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sloehitch/internal/platform/clock"
)

// simulation is the state of a running world. It is accessed only from the clock's callbacks.
type simulation struct {
	*World
	clock        *clock.Virtual
	startedAt    time.Time
	nodes        []*host
	balancers    []*balancer
	streams      Streams
	result       *Result
	requestCount int
	candidates   []int             // reused by pickNode
	dependency   *sharedDependency // nil: the world has none
	requestOf    map[*Attempt]*request
	rollout      *rollout // nil: the world has no release

	inSystem        int // requests
	inSystemSeconds float64
	sojournSeconds  float64
	accountedAt     time.Time
}

// defaultStartTime is the clock's start for a world without StartTime, in Unix milliseconds.
const defaultStartTime = 1764576000000

// How long a simulation continues after the last client timeout, so that what is in flight can end.
const (
	virtualTail  = 10 * time.Second
	realTimeTail = time.Second
)

// Run simulates a world and returns the outcomes of its requests. It returns when the simulated time has passed. It
// returns an error for an invalid world; violated invariants are part of the result.
func Run(w World) (*Result, error) {
	if err := w.Validate(); err != nil {
		return nil, err
	}
	s := newSimulation(&w)
	if err := s.setUpRelease(); err != nil {
		return nil, err
	}
	for _, f := range w.Faults {
		s.clock.AfterFunc(f.At, func() { s.applyFault(f) })
	}
	s.scheduleArrival(s.streams.Stream("arrivals"), s.streams.Stream("sizes"), s.streams.Stream("hints"))
	end := s.startedAt.Add(w.Duration)
	s.runUntil(end)
	s.accountInSystem()
	s.result.MeanInSystem = s.inSystemSeconds / w.Duration.Seconds()
	for _, h := range s.nodes {
		s.result.Utilization += h.machine.Utilization() / float64(w.Nodes)
	}
	s.runUntil(end.Add(w.tail()))
	s.result.MeanByLittlesLaw = s.sojournSeconds / w.Duration.Seconds()
	return s.result, nil
}

func newSimulation(w *World) *simulation {
	start := time.UnixMilli(defaultStartTime)
	if !w.StartTime.IsZero() {
		start = w.StartTime.Round(0)
	}
	s := &simulation{World: w, clock: clock.NewVirtual(start), startedAt: start, accountedAt: start, streams: Streams{w.Seed},
		result: &Result{Release: &ReleaseResult{}}, requestOf: map[*Attempt]*request{}}
	if w.Dependency != nil {
		s.dependency = &sharedDependency{Dependency: *w.Dependency, clock: s.clock, random: s.streams.Stream("dependency"), speed: 1}
	}
	settings := w.Settings()
	for i := range w.Nodes {
		h := &host{name: fmt.Sprint("n", i), inEndpointList: true, lossRandom: s.streams.Stream(fmt.Sprint("loss ", i))}
		s.startNode(h, settings)
		s.nodes = append(s.nodes, h)
	}
	for i := range w.Balancers {
		s.balancers = append(s.balancers, &balancer{number: i, inFlight: make([]int, w.Nodes), avoidUntil: make([]time.Time, w.Nodes),
			honorsRetryAfter: float64(i) < w.RetryAfterShare*float64(w.Balancers), random: s.streams.Stream(fmt.Sprint("balancer ", i))})
	}
	for range w.Classes {
		s.result.Classes = append(s.result.Classes, ClassResult{Latency: hdrhistogram.New(1, maxLatencyMicros, 3)})
	}
	return s
}

// tail returns for how long the simulation continues after the last arrival.
func (w *World) tail() time.Duration {
	longest := time.Duration(0)
	for _, c := range w.Classes {
		longest = max(longest, c.ClientTimeout)
	}
	if w.Drive != nil {
		return longest + realTimeTail
	}
	return longest + virtualTail
}

func (s *simulation) runUntil(until time.Time) {
	if s.Drive != nil {
		s.Drive(s.clock, until)
		return
	}
	for {
		at, any := s.clock.Next()
		if !any || at.After(until) {
			break
		}
		s.clock.Step()
		s.result.Events++
	}
	s.clock.Run(until)
}

// accountInSystem adds the time since the last change of inSystem to inSystemSeconds. It is called before each change.
func (s *simulation) accountInSystem() {
	now := s.clock.Now()
	s.inSystemSeconds += float64(s.inSystem) * now.Sub(s.accountedAt).Seconds()
	s.accountedAt = now
}
