package emulator

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// requestMemoryKB is the memory that each attempt declares.
const requestMemoryKB = 20

// scheduleArrival schedules the next request: a Poisson process whose rate follows burstFactor, made by thinning (Lewis
// and Shedler, 1979).
func (s *simulation) scheduleArrival(arrivals, sizes, hints *rand.Rand) {
	maxRate := s.arrivalRate() * (1 + s.BurstAmplitude)
	s.clock.AfterFunc(time.Duration(arrivals.ExpFloat64()/maxRate*1e9), func() {
		elapsed := s.clock.Now().Sub(s.startedAt)
		if elapsed >= s.Duration {
			return
		}
		s.scheduleArrival(arrivals, sizes, hints)
		if rate := s.arrivalRate() * s.burstFactor(elapsed); arrivals.Float64()*maxRate < rate {
			s.startRequest(sizes, hints)
		}
	})
}

// burstFactor returns the arrival rate at a time after the start, relative to the mean rate.
func (s *simulation) burstFactor(elapsed time.Duration) float64 {
	if s.BurstAmplitude == 0 {
		return 1
	}
	if elapsed%s.BurstPeriod < s.BurstPeriod/2 {
		return 1 + s.BurstAmplitude
	}
	return 1 - s.BurstAmplitude
}

// startRequest creates a request and sends its first attempt.
func (s *simulation) startRequest(sizes, hints *rand.Rand) {
	s.accountInSystem()
	s.inSystem++
	s.requestCount++
	r := &request{simulation: s, arrivedAt: s.clock.Now(), retriesLeft: s.MaxRetries, lastNode: -1,
		balancer: s.balancers[s.requestCount%len(s.balancers)]}
	if s.TryAllNodes {
		r.retriesLeft = s.Nodes - 1
	}
	r.template = s.newAttempt(r, sizes, hints)
	if r.arrivedAt.Sub(s.startedAt) >= s.WarmUp {
		r.result = &s.result.Classes[r.template.Class]
		r.result.Offered++
	} else {
		r.result = &ClassResult{Latency: hdrhistogram.New(1, maxLatencyMicros, 1)} // discarded: the request arrived during the warm-up
	}
	// A valid response arrives at the latest one response grace after the deadline, plus the network delays.
	r.timeout = s.clock.AfterFunc(r.class.ClientTimeout+responseGrace+2*s.NetworkDelay+time.Millisecond, r.giveUp)
	r.emitArrival()
	r.balancer.retryTokens = min(maxRetryTokens, r.balancer.retryTokens+s.RetryBudget)
	r.send()
}

// newAttempt draws a request's class, work, work hint and tenant, and returns the template of its attempts.
func (s *simulation) newAttempt(r *request, sizes, hints *rand.Rand) Attempt {
	class := drawIndex(sizes, len(s.Classes), func(i int) float64 { return s.Classes[i].Share })
	r.class = &s.Classes[class]
	work := r.class.Work.Sample(sizes)
	hint := work
	if r.class.WorkHintCV > 0 {
		hint *= Distribution{Mean: 1, CV: r.class.WorkHintCV, Kind: Lognormal}.Sample(hints)
	}
	id := "r" + strconv.Itoa(s.requestCount)
	a := Attempt{ID: id, RequestID: id, Class: class, Tenant: s.drawTenant(sizes), MemoryKB: requestMemoryKB, Work: work,
		WorkHint: time.Duration(hint / s.Speed * 1e9), Deadline: r.arrivedAt.Add(r.class.ClientTimeout), CallerID: r.balancer.number}
	if s.NoWorkHints {
		a.WorkHint = 0
	}
	if r.class.HasIdempotencyKey {
		a.IdempotencyKey = id
	}
	return a
}

func (r *request) emitArrival() {
	if r.OnStep == nil {
		return
	}
	tenant := ""
	if r.template.Tenant >= 0 {
		tenant = ", tenant " + r.Tenants[r.template.Tenant].Name
	}
	r.emit(r.template.ID, "", "", EventArrived,
		fmt.Sprintf("%s%s, %.1f ms of work, through balancer %d", r.class.Name, tenant, r.template.Work*1000, r.balancer.number))
}

// drawTenant draws the index of a request's tenant. It returns -1 if the world has no tenants.
func (s *simulation) drawTenant(r *rand.Rand) int {
	if len(s.Tenants) == 0 {
		return -1
	}
	return drawIndex(r, len(s.Tenants), func(i int) float64 { return s.Tenants[i].Share })
}

// drawIndex draws one of n indices, weighted by their shares.
func drawIndex(r *rand.Rand, n int, share func(i int) float64) int {
	sum := 0.0
	for i := range n {
		sum += share(i)
	}
	x := r.Float64() * sum
	for i := range n {
		if x -= share(i); x < 0 {
			return i
		}
	}
	return n - 1
}
