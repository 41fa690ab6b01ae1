package balancer

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var t0 = time.UnixMilli(1764576000000)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// fixedLimit is the default configuration with a fixed concurrency limit.
func fixedLimit(limit int) Config {
	c := DefaultConfig()
	c.MaxConcurrency = limit
	return c
}

func newBalancer(c Config, names ...string) *Balancer {
	b := New(c, 1)
	b.SetServers(t0, names)
	return b
}

// acquire returns the assigned server's name, or the text of the decision if none is assigned.
func acquire(b *Balancer, now time.Time, id string, attempted ...string) string {
	name, decision := b.Acquire(now, id, now.Add(time.Second), attempted)
	if decision == Assigned {
		return name
	}
	return decision.String()
}

func TestSelection(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func() []string
		want string
	}{
		{"equally loaded servers take turns", func() (got []string) {
			b := newBalancer(fixedLimit(9), "a", "b", "c")
			for i := range 6 {
				got = append(got, acquire(b, t0, fmt.Sprint(i)))
			}
			return got
		}, "a b c a b c"},
		{"the least loaded server is chosen", func() (got []string) {
			b := newBalancer(fixedLimit(9), "a", "b")
			for i := range 4 {
				acquire(b, t0, fmt.Sprint(i))
			}
			b.Release(t0, "b", ResultOK, time.Millisecond)
			b.Release(t0, "b", ResultOK, time.Millisecond)
			return append(got, acquire(b, t0, "x"), acquire(b, t0, "y"))
		}, "b b"},
		{"requests to full servers queue in order, up to MaxQueued", func() (got []string) {
			config := fixedLimit(1)
			config.MaxQueued = 2
			b := newBalancer(config, "a")
			for i := range 4 {
				got = append(got, acquire(b, t0, fmt.Sprint(i)))
			}
			return append(got, fmt.Sprint(b.Release(t0, "a", ResultOK, 1)), fmt.Sprint(b.Release(t0, "a", ResultOK, 1)))
		}, "a queued queued queue full [{1 a}] [{2 a}]"},
		{"a canceled wait gets no assignment", func() []string {
			b := newBalancer(fixedLimit(1), "a")
			acquire(b, t0, "0")
			acquire(b, t0, "1")
			return []string{fmt.Sprint(b.CancelWait("1"), b.CancelWait("1"), b.Release(t0, "a", ResultOK, 1))}
		}, "true false []"},
		{"an expired wait ends without a server", func() []string {
			b := newBalancer(fixedLimit(1), "a")
			acquire(b, t0, "0")
			acquire(b, t0, "1")
			return []string{fmt.Sprint(b.Tick(at(999)), b.Tick(at(1000)))}
		}, "[] [{1 }]"},
		{"no request is sent to the same server twice", func() []string {
			b := newBalancer(fixedLimit(9), "a", "b")
			return []string{acquire(b, t0, "0", "a"), acquire(b, t0, "1", "a"), acquire(b, t0, "2", "a", "b")}
		}, "b b no server"},
		{"no servers", func() []string { return []string{acquire(New(DefaultConfig(), 1), t0, "0")} }, "no server"},
		{"ejected after failures, readmitted in slow start after a probe", func() (got []string) {
			b := newBalancer(fixedLimit(100), "a", "b", "c")
			for range 3 {
				b.Release(t0, "b", ResultBroken, 0)
			}
			got = append(got, acquire(b, t0, "0"), acquire(b, t0, "1"), acquire(b, t0, "2"), fmt.Sprint(b.DueProbes(at(499))),
				fmt.Sprint(b.DueProbes(at(700)), b.DueProbes(at(700))))
			b.ReportProbe(at(700), "b", true)
			readmitted := b.Servers(at(700))[1]
			return append(got, fmt.Sprint(readmitted.State, readmitted.Capacity),
				fmt.Sprint(b.Servers(at(3200))[1].Capacity, b.Servers(at(5700))[1].State))
		}, "a c a [] [b] [] warming 10 50 in"},
		{"each failed probe lengthens the ejection", func() (got []string) {
			b := newBalancer(fixedLimit(9), "a", "b")
			for range 3 {
				b.Release(t0, "a", ResultConnectFailed, 0)
			}
			now := t0
			for range 9 {
				untilProbe := b.Servers(now)[0].ProbeIn
				got = append(got, fmt.Sprint(untilProbe >= 500*time.Millisecond, untilProbe.Round(10*time.Second)))
				now = now.Add(untilProbe)
				b.DueProbes(now)
				b.ReportProbe(now, "a", false)
			}
			return []string{strings.Join(got[5:], " ")}
		}, "true 20s true 30s true 30s true 30s"},
		{"at most the maximum fraction is ejected, and never the last server", func() (got []string) {
			b := newBalancer(fixedLimit(9), "a", "b", "c", "d")
			for _, name := range []string{"a", "b", "c", "d"} {
				for range 5 {
					b.Release(t0, name, ResultBroken, 0)
				}
			}
			for _, s := range b.Servers(t0) {
				got = append(got, s.State.String())
			}
			single := newBalancer(fixedLimit(9), "a")
			for range 9 {
				single.Release(t0, "a", ResultBroken, 0)
			}
			return append(got, single.Servers(t0)[0].State.String())
		}, "out out in in in"},
		{"with all candidates ejected, an ejected server is chosen", func() []string {
			b := newBalancer(fixedLimit(9), "a", "b")
			for range 3 {
				b.Release(t0, "a", ResultBroken, 0)
			}
			return []string{acquire(b, t0, "0", "b"), acquire(b, t0, "1", "b")}
		}, "a queued"},
		{"a server no longer listed drains", func() (got []string) {
			b := newBalancer(fixedLimit(9), "a", "b")
			acquire(b, t0, "0")
			b.SetServers(t0, []string{"b", "c"})
			got = append(got, acquire(b, t0, "1"), fmt.Sprint(len(b.Servers(t0)), b.Servers(t0)[0].State))
			b.Release(t0, "a", ResultOK, 1)
			return append(got, fmt.Sprint(len(b.Servers(t0)), b.Servers(t0)[1].State))
		}, "b 3 draining 2 warming"},
		{"new servers are assigned to queued requests", func() []string {
			b := newBalancer(fixedLimit(1), "a")
			acquire(b, t0, "0")
			acquire(b, t0, "1")
			return []string{fmt.Sprint(b.SetServers(t0, []string{"b"}))}
		}, "[{1 b}]"},
	} {
		if got := strings.Join(c.run(), " "); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

func TestAllowRetry(t *testing.T) {
	failed := FailedAttempt{Idempotent: true, BodyAvailable: true, Attempts: 1, TimeLeft: time.Second}
	for _, c := range []struct {
		name   string
		change func(a *FailedAttempt)
		want   error
	}{
		{"request not sent", func(a *FailedAttempt) { a.Idempotent = false }, nil},
		{"request sent, idempotent", func(a *FailedAttempt) { a.Sent = true }, nil},
		{"request sent, not idempotent", func(a *FailedAttempt) { a.Sent, a.Idempotent = true, false }, ErrNotIdempotent},
		{"only an earlier attempt sent, no longer idempotent", func(a *FailedAttempt) { a.SentEarlier, a.Idempotent = true, false }, ErrNotIdempotent},
		{"only an earlier attempt sent, idempotent", func(a *FailedAttempt) { a.SentEarlier = true }, nil},
		{"body not replayable", func(a *FailedAttempt) { a.BodyAvailable = false }, ErrBodyNotReplayable},
		{"part of the response sent to the client", func(a *FailedAttempt) { a.ResponseStarted = true }, ErrResponseStarted},
		{"too many attempts", func(a *FailedAttempt) { a.Attempts = 3 }, ErrMaxAttempts},
		{"too little time before the deadline", func(a *FailedAttempt) { a.TimeLeft, a.ExpectedDuration = 9, 10 }, ErrDeadline},
	} {
		a := failed
		c.change(&a)
		if err := newBalancer(DefaultConfig(), "a").AllowRetry(t0, a); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	third := failed
	third.Attempts = 3
	if err := newBalancer(DefaultConfig(), "a").AllowRetry(t0, third); err == nil || !strings.Contains(err.Error(), "too many attempts: 3") {
		t.Errorf("the error does not say how many attempts were made: %v", err)
	}
	// If every attempt fails, retries stay within the budget: a fifth of the first attempts, one per second, and the accumulated tokens.
	b := newBalancer(fixedLimit(1e6), "a")
	retries := 0
	for i := range 10000 {
		now := at(i) // ten seconds
		acquire(b, now, fmt.Sprint(i))
		a := failed
		a.Sent = true
		if err := b.AllowRetry(now, a); err == nil {
			retries++
		} else if !errors.Is(err, ErrRetryBudget) {
			t.Fatal(err)
		}
	}
	if retries < 2000 || retries > 2000+10+25 {
		t.Errorf("%d retries for 10,000 first attempts in 10 s", retries)
	}
}

// TestConcurrencyLimitFollowsLatency checks that the limit of a server whose latency grows with load settles near the number of
// requests that it can process at once, and that the limit of a server with constant latency rises to the maximum.
func TestConcurrencyLimitFollowsLatency(t *testing.T) {
	for _, c := range []struct {
		name               string
		cores              float64 // latency grows with the number of requests beyond this many
		minLimit, maxLimit float64
	}{{"four cores", 4, 4, 14}, {"forty cores", 40, 36, 70}, {"unbounded", 1e9, 200, 256}} {
		config := DefaultConfig()
		l, now := newConcurrencyLimit(config), t0
		for range 58000 { // ends shortly before a new period
			inFlight := int(l.value)
			latency := time.Duration(float64(10*time.Millisecond) * max(1, float64(inFlight)/c.cores))
			l.recordLatency(now, latency, inFlight, config)
			now = now.Add(time.Millisecond)
		}
		if l.value < c.minLimit || l.value > c.maxLimit {
			t.Errorf("%s: a limit of %.1f, want %v to %v", c.name, l.value, c.minLimit, c.maxLimit)
		}
	}
	config := DefaultConfig()
	l := newConcurrencyLimit(config)
	for range 1000 {
		l.recordLatency(t0, time.Millisecond, 1, config)
	}
	if l.value > float64(config.InitialLimit) {
		t.Errorf("the limit rose to %.1f without enough requests in flight", l.value)
	}
	for range 1000 {
		l.recordFailure(config)
	}
	if l.value != float64(config.MinLimit) {
		t.Errorf("limit after 1000 failures is %.1f, want MinLimit", l.value)
	}
}

// TestInvariantsHoldForRandomCalls makes random calls and checks that an assignment never exceeds the server's capacity, that no
// request is assigned a server that it was already sent to or that is no longer listed, that each queued request leaves the queue
// exactly once, and that the same calls give the same results.
func TestInvariantsHoldForRandomCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := fixedLimit(rapid.IntRange(0, 3).Draw(t, "most"))
		config.MaxQueued = 5
		b, twin := New(config, 7), New(config, 7)
		names := []string{"a", "b", "c", "d"}
		now, id := t0, 0
		inFlight, queued, attempted, list := map[string]int{}, map[string]bool{}, map[string][]string{}, []string(nil)
		checkAssigned := func(id, name string) {
			if !slices.Contains(list, name) || slices.Contains(attempted[id], name) {
				t.Fatalf("request %s was assigned %s; listed are %v, already attempted %v", id, name, list, attempted[id])
			}
			inFlight[name]++
			for _, s := range b.Servers(now) {
				if s.Name == name && (s.InFlight != inFlight[name] || s.InFlight > s.Capacity) {
					t.Fatalf("server %s has %d requests in flight with a capacity of %d; %d were assigned", name, s.InFlight, s.Capacity, inFlight[name])
				}
			}
		}
		check := func(got, fromTwin []Assignment) {
			if fmt.Sprint(got) != fmt.Sprint(fromTwin) {
				t.Fatalf("the same call gave %v and %v", got, fromTwin)
			}
			for _, x := range got {
				if !queued[x.ID] {
					t.Fatalf("assignment for request %s, which is not queued", x.ID)
				}
				delete(queued, x.ID)
			}
			for _, x := range got { // several may be assigned at once; the balancer checked capacity for each of them
				if x.Server != "" {
					inFlight[x.Server]++
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"use": func(t *rapid.T) {
				list = rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(t, "list")
				check(b.SetServers(now, list), twin.SetServers(now, list))
			},
			"take": func(t *rapid.T) {
				id++
				key := fmt.Sprint(id)
				attempted[key] = rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(t, "tried")
				name, decision := b.Acquire(now, key, now.Add(time.Second), attempted[key])
				if name2, decision2 := twin.Acquire(now, key, now.Add(time.Second), attempted[key]); name2 != name || decision2 != decision {
					t.Fatalf("the same Acquire gave %s %v and %s %v", name, decision, name2, decision2)
				}
				switch decision {
				case Assigned:
					checkAssigned(key, name)
				case Queued:
					queued[key] = true
				}
			},
			"end": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "server")
				if inFlight[name] == 0 {
					t.Skip()
				}
				inFlight[name]--
				result := Result(rapid.IntRange(0, 4).Draw(t, "result"))
				latency := time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond
				check(b.Release(now, name, result, latency), twin.Release(now, name, result, latency))
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				check(b.Tick(now), twin.Tick(now))
				twin.DueProbes(now)
				for _, name := range b.DueProbes(now) {
					ok := rapid.Bool().Draw(t, "ok")
					check(b.ReportProbe(now, name, ok), twin.ReportProbe(now, name, ok))
				}
			},
			"": func(t *rapid.T) {
				if b.QueueLength() != len(queued) || len(queued) > config.MaxQueued {
					t.Fatalf("%d requests are queued, want %d", b.QueueLength(), len(queued))
				}
				for _, s := range b.Servers(now) {
					if s.InFlight != inFlight[s.Name] {
						t.Fatalf("server %s has %d requests in flight, want %d", s.Name, s.InFlight, inFlight[s.Name])
					}
				}
			},
		})
	})
}
