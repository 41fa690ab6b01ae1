package balancer

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var slowStartSeeds = flag.Int("ramp.seeds", 2, "seeds per fleet in the test of slow start")

// event is an action scheduled in simulated time.
type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (h eventQueue) Len() int           { return len(h) }
func (h eventQueue) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventQueue) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventQueue) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventQueue) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// fleet is a set of processes that send to the same servers and do not communicate.
type fleet struct {
	processes int
	perServer float64       // mean rate of requests per server, per second
	bursts    bool          // the rate is tripled for a fifth of each second, and halved for the rest
	maxDelay  time.Duration // maximum random delay with which a process learns of a change of the server list
}

const fleetServers = 8

// simulate runs the servers warm for 12 s, then removes the first one from the list for a second, after which it returns in
// slow start. It returns the times at which that server got requests, relative to its return.
func (f fleet) simulate(seed uint64) (got []time.Duration) {
	config := DefaultConfig()
	rng := rand.New(rand.NewPCG(seed, 1))
	epoch := time.Unix(1764576000, 0)
	const returnsAt = 12 * time.Second
	names := make([]string, fleetServers)
	for i := range names {
		names[i] = fmt.Sprint("s", i)
	}
	var events eventQueue
	schedule := func(t time.Duration, do func()) { heap.Push(&events, event{t, do}) }
	now := time.Duration(0)
	pools := make([]*Balancer, f.processes)
	ids := 0
	for i := range pools {
		p := New(config, rng.Uint64())
		pools[i] = p
		p.SetServers(epoch, names)
		removedAt, readdedAt := returnsAt-time.Second+time.Duration(rng.Float64()*float64(f.maxDelay)),
			returnsAt+time.Duration(rng.Float64()*float64(f.maxDelay))
		var onAssigned func(server string)
		handle := func(assignments []Assignment) {
			for _, a := range assignments {
				if a.Server != "" {
					onAssigned(a.Server)
				}
			}
		}
		onAssigned = func(server string) {
			if server == names[0] && now >= returnsAt {
				got = append(got, now-returnsAt)
			}
			latency := time.Duration((0.03 + 0.01*rng.ExpFloat64()) * float64(time.Second))
			schedule(now+latency, func() { handle(p.Release(epoch.Add(now), server, ResultOK, latency)) })
		}
		schedule(removedAt, func() { handle(p.SetServers(epoch.Add(now), names[1:])) })
		schedule(readdedAt, func() { handle(p.SetServers(epoch.Add(now), names)) })
		for t := time.Duration(0); t < returnsAt+config.SlowStart+2*time.Second; t += 50 * time.Millisecond {
			schedule(t, func() { handle(p.Tick(epoch.Add(now))) })
		}
		var arrive func()
		scheduleArrival := func() {
			rate := f.perServer * fleetServers / float64(f.processes)
			if f.bursts { // generated at the peak rate and thinned below
				rate *= 3
			}
			schedule(now+time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
		arrive = func() {
			if now > returnsAt+config.SlowStart+2*time.Second {
				return
			}
			scheduleArrival()
			if f.bursts && now%time.Second >= 200*time.Millisecond && rng.Float64() > 0.5/3 {
				return
			}
			ids++
			if name, decision := p.Acquire(epoch.Add(now), fmt.Sprint(ids), epoch.Add(now+time.Second), nil); decision == Assigned {
				onAssigned(name)
			}
		}
		scheduleArrival()
	}
	for len(events) > 0 {
		e := heap.Pop(&events).(event)
		now = e.at
		e.do()
	}
	return got
}

// excess returns by how many requests the worst span of a slow start exceeded its bound N + 2√N + 2; it is not positive if none did.
func (f fleet) excess(got []time.Duration) float64 {
	config := DefaultConfig()
	span := config.SlowStart / slowStartSpans
	worst := math.Inf(-1)
	first := 0
	for i, t := range got {
		for t-got[first] > span {
			first++
		}
		fraction := min(1, max(config.MinSlowStartFraction, float64(t)/float64(config.SlowStart)))
		n := fraction * f.perServer * span.Seconds()
		if t <= config.SlowStart+2*time.Second {
			worst = max(worst, float64(i-first+1)-n-2*math.Sqrt(n)-2)
		}
	}
	return worst
}

// TestSlowStartBoundHoldsAcrossProcesses checks that a server in slow start never gets more than its bound from all processes
// together, whatever their number, and that it is not left idle.
func TestSlowStartBoundHoldsAcrossProcesses(t *testing.T) {
	for _, processes := range []int{1, 5, 20, 30} {
		for _, perServer := range []float64{8, 40, 200} {
			for _, bursts := range []bool{false, true} {
				f := fleet{processes, perServer, bursts, time.Second}
				exceeded, closest, inSecondHalf, afterSlowStart := 0, math.Inf(-1), 0, 0
				for seed := range *slowStartSeeds {
					got := f.simulate(uint64(seed))
					if excess := f.excess(got); excess > 0 {
						exceeded++
						t.Errorf("%+v seed %d: a span exceeds its bound by %.1f requests", f, seed, excess)
					} else {
						closest = max(closest, excess)
					}
					for _, at := range got {
						if at > 2500*time.Millisecond && at <= 5*time.Second {
							inSecondHalf++
						}
						if at > 5500*time.Millisecond && at <= 6500*time.Millisecond {
							afterSlowStart++
						}
					}
				}
				slowStartLoad := float64(inSecondHalf) / float64(*slowStartSeeds) / (2.5 * 0.75 * perServer)
				warmLoad := float64(afterSlowStart) / float64(*slowStartSeeds) / perServer
				t.Logf("%+v: %d seeds over the bound, closest %.1f; load late in slow start %.2f of its budget, after it %.2f of the mean",
					f, exceeded, closest, slowStartLoad, warmLoad)
				if slowStartLoad < 0.2 || warmLoad < 0.6 { // few requests coincide with a turn where each process sends two per second
					t.Errorf("%+v: load late in slow start %.2f of its budget, after it %.2f of the mean; want at least 0.2 and 0.6",
						f, slowStartLoad, warmLoad)
				}
			}
		}
	}
}
