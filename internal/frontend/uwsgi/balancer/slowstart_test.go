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

var rampSeeds = flag.Int("ramp.seeds", 2, "seeds per fleet in the test of slow start")

// event is something that happens in simulated time.
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

// fleet is processes that send to the same servers and know nothing of one another.
type fleet struct {
	processes int
	perServer float64 // requests a second that a server gets on the mean
	bursts    bool    // all processes get three times as much for a fifth of each second, and half as much for the rest
	late      time.Duration
}

const fleetServers = 8

// play runs the servers warm for 12 s; then the first one is not listed for a second and returns to slow start. It returns when
// that one got requests, as time since its return.
func (f fleet) play(seed uint64) (got []time.Duration) {
	config := DefaultConfig()
	rng := rand.New(rand.NewPCG(seed, 1))
	epoch := time.Unix(1764576000, 0)
	const returns = 12 * time.Second
	names := make([]string, fleetServers)
	for i := range names {
		names[i] = fmt.Sprint("s", i)
	}
	var agenda eventQueue
	at := func(t time.Duration, do func()) { heap.Push(&agenda, event{t, do}) }
	now := time.Duration(0)
	pools := make([]*Balancer, f.processes)
	ids := 0
	for i := range pools {
		p := New(config, rng.Uint64())
		pools[i] = p
		p.SetServers(epoch, names)
		away, back := returns-time.Second+time.Duration(rng.Float64()*float64(f.late)), returns+time.Duration(rng.Float64()*float64(f.late))
		var sent func(server string)
		take := func(grants []Assignment) {
			for _, g := range grants {
				if g.Server != "" {
					sent(g.Server)
				}
			}
		}
		sent = func(server string) {
			if server == names[0] && now >= returns {
				got = append(got, now-returns)
			}
			took := time.Duration((0.03 + 0.01*rng.ExpFloat64()) * float64(time.Second))
			at(now+took, func() { take(p.Release(epoch.Add(now), server, ResultOK, took)) })
		}
		at(away, func() { take(p.SetServers(epoch.Add(now), names[1:])) })
		at(back, func() { take(p.SetServers(epoch.Add(now), names)) })
		for t := time.Duration(0); t < returns+config.SlowStart+2*time.Second; t += 50 * time.Millisecond {
			at(t, func() { take(p.Tick(epoch.Add(now))) })
		}
		var arrive func()
		next := func() {
			mean := f.perServer * fleetServers / float64(f.processes)
			if f.bursts { // thinned from the most
				mean *= 3
			}
			at(now+time.Duration(rng.ExpFloat64()/mean*float64(time.Second)), arrive)
		}
		arrive = func() {
			if now > returns+config.SlowStart+2*time.Second {
				return
			}
			next()
			if f.bursts && now%time.Second >= 200*time.Millisecond && rng.Float64() > 0.5/3 {
				return
			}
			ids++
			if name, v := p.Acquire(epoch.Add(now), fmt.Sprint(ids), epoch.Add(now+time.Second), nil); v == Assigned {
				sent(name)
			}
		}
		next()
	}
	for len(agenda) > 0 {
		h := heap.Pop(&agenda).(event)
		now = h.at
		h.do()
	}
	return got
}

// excess returns by how many requests the worst span of a slow start went over its bound N + 2√N + 2.
func (f fleet) excess(got []time.Duration) float64 {
	config := DefaultConfig()
	span := config.SlowStart / slowStartSpans
	worst := math.Inf(-1)
	first := 0
	for i, t := range got {
		for t-got[first] > span {
			first++
		}
		share := min(1, max(config.MinSlowStartFraction, float64(t)/float64(config.SlowStart)))
		n := share * f.perServer * span.Seconds()
		if t <= config.SlowStart+2*time.Second {
			worst = max(worst, float64(i-first+1)-n-2*math.Sqrt(n)-2)
		}
	}
	return worst
}

// TestSlowStartHoldsForTheFleet: a server in slow start never gets more than its bound from all processes together, however many
// they are, and it is not left idle either.
func TestSlowStartHoldsForTheFleet(t *testing.T) {
	for _, processes := range []int{1, 5, 20, 30} {
		for _, perServer := range []float64{8, 40, 200} {
			for _, bursts := range []bool{false, true} {
				f := fleet{processes, perServer, bursts, time.Second}
				broken, most, half, end := 0, math.Inf(-1), 0, 0
				for seed := range *rampSeeds {
					got := f.play(uint64(seed))
					if o := f.excess(got); o > 0 {
						broken++
						t.Errorf("%+v seed %d: %.1f beyond budget and chance", f, seed, o)
					} else {
						most = max(most, o)
					}
					for _, at := range got {
						if at > 2500*time.Millisecond && at <= 5*time.Second {
							half++
						}
						if at > 5500*time.Millisecond && at <= 6500*time.Millisecond {
							end++
						}
					}
				}
				ramped := float64(half) / float64(*rampSeeds) / (2.5 * 0.75 * perServer)
				warm := float64(end) / float64(*rampSeeds) / perServer
				t.Logf("%+v: %d broken, nearest %.1f; second half of the ramp at %.2f of its budget, after it %.2f of the mean", f, broken, most, ramped, warm)
				if ramped < 0.2 || warm < 0.6 { // few requests meet a turn where each process has two a second
					t.Errorf("%+v: the ramp is at %.2f of its budget, after it %.2f of the mean", f, ramped, warm)
				}
			}
		}
	}
}
