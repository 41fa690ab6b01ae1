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

// acquire returns the assigned server's name, or the decision in words.
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
		play func() []string
		want string
	}{
		{"in turn among equals", func() (got []string) {
			b := newBalancer(fixedLimit(9), "a", "b", "c")
			for i := range 6 {
				got = append(got, acquire(b, t0, fmt.Sprint(i)))
			}
			return got
		}, "a b c a b c"},
		{"least loaded first", func() (got []string) {
			b := newBalancer(fixedLimit(9), "a", "b")
			for i := range 4 {
				acquire(b, t0, fmt.Sprint(i))
			}
			b.Release(t0, "b", ResultOK, time.Millisecond)
			b.Release(t0, "b", ResultOK, time.Millisecond)
			return append(got, acquire(b, t0, "x"), acquire(b, t0, "y"))
		}, "b b"},
		{"full servers: requests queue in order, up to the maximum", func() (got []string) {
			r := fixedLimit(1)
			r.MaxQueued = 2
			b := newBalancer(r, "a")
			for i := range 4 {
				got = append(got, acquire(b, t0, fmt.Sprint(i)))
			}
			return append(got, fmt.Sprint(b.Release(t0, "a", ResultOK, 1)), fmt.Sprint(b.Release(t0, "a", ResultOK, 1)))
		}, "a queued queued queue full [{1 a}] [{2 a}]"},
		{"a canceled wait gets nothing", func() []string {
			b := newBalancer(fixedLimit(1), "a")
			acquire(b, t0, "0")
			acquire(b, t0, "1")
			return []string{fmt.Sprint(b.CancelWait("1"), b.CancelWait("1"), b.Release(t0, "a", ResultOK, 1))}
		}, "true false []"},
		{"an expired wait is notified", func() []string {
			b := newBalancer(fixedLimit(1), "a")
			acquire(b, t0, "0")
			acquire(b, t0, "1")
			return []string{fmt.Sprint(b.Tick(at(999)), b.Tick(at(1000)))}
		}, "[] [{1 }]"},
		{"no server twice", func() []string {
			b := newBalancer(fixedLimit(9), "a", "b")
			return []string{acquire(b, t0, "0", "a"), acquire(b, t0, "1", "a"), acquire(b, t0, "2", "a", "b")}
		}, "b b no server"},
		{"no servers", func() []string { return []string{acquire(New(DefaultConfig(), 1), t0, "0")} }, "no server"},
		{"ejected after failures, readmitted in slow start after a probe", func() (got []string) {
			b := newBalancer(fixedLimit(100), "a", "b", "c")
			for range 3 {
				b.Release(t0, "b", ResultBroken, 0)
			}
			got = append(got, acquire(b, t0, "0"), acquire(b, t0, "1"), acquire(b, t0, "2"), fmt.Sprint(b.DueProbes(at(499))), fmt.Sprint(b.DueProbes(at(700)), b.DueProbes(at(700))))
			b.ReportProbe(at(700), "b", true)
			e := b.Servers(at(700))[1]
			return append(got, fmt.Sprint(e.State, e.Capacity), fmt.Sprint(b.Servers(at(3200))[1].Capacity, b.Servers(at(5700))[1].State))
		}, "a c a [] [b] [] warming 10 50 in"},
		{"longer ejections with each failed probe", func() (got []string) {
			b := newBalancer(fixedLimit(9), "a", "b")
			for range 3 {
				b.Release(t0, "a", ResultConnectFailed, 0)
			}
			now := t0
			for range 9 {
				back := b.Servers(now)[0].ProbeIn
				got = append(got, fmt.Sprint(back >= 500*time.Millisecond, back.Round(10*time.Second)))
				now = now.Add(back)
				b.DueProbes(now)
				b.ReportProbe(now, "a", false)
			}
			return []string{strings.Join(got[5:], " ")}
		}, "true 20s true 30s true 30s true 30s"},
		{"no more than the maximum fraction is ejected, and never the last", func() (got []string) {
			b := newBalancer(fixedLimit(9), "a", "b", "c", "d")
			for _, name := range []string{"a", "b", "c", "d"} {
				for range 5 {
					b.Release(t0, name, ResultBroken, 0)
				}
			}
			for _, s := range b.Servers(t0) {
				got = append(got, s.State.String())
			}
			one := newBalancer(fixedLimit(9), "a")
			for range 9 {
				one.Release(t0, "a", ResultBroken, 0)
			}
			return append(got, one.Servers(t0)[0].State.String())
		}, "out out in in in"},
		{"with all candidates ejected, one is tried all the same", func() []string {
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
		{"a new list serves queued requests", func() []string {
			b := newBalancer(fixedLimit(1), "a")
			acquire(b, t0, "0")
			acquire(b, t0, "1")
			return []string{fmt.Sprint(b.SetServers(t0, []string{"b"}))}
		}, "[{1 b}]"},
	} {
		if got := strings.Join(c.play(), " "); got != c.want {
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
		{"nothing was sent", func(a *FailedAttempt) { a.Idempotent = false }, nil},
		{"it is idempotent", func(a *FailedAttempt) { a.Sent = true }, nil},
		{"it is not idempotent", func(a *FailedAttempt) { a.Sent, a.Idempotent = true, false }, ErrNotIdempotent},
		{"its body is not replayable", func(a *FailedAttempt) { a.BodyAvailable = false }, ErrBodyNotReplayable},
		{"the client has part of a response", func(a *FailedAttempt) { a.ResponseStarted = true }, ErrResponseStarted},
		{"too many attempts", func(a *FailedAttempt) { a.Attempts = 3 }, ErrMaxAttempts},
		{"no time left", func(a *FailedAttempt) { a.TimeLeft, a.ExpectedDuration = 9, 10 }, ErrDeadline},
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
	// Retries stay within the budget however many attempts fail: a fifth of the first ones, one a second, and what was saved up.
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

// TestConcurrencyLimit: a server whose latency grows with load gets about as many requests as it can process at once; one whose
// latency doesn't gets what comes.
func TestConcurrencyLimit(t *testing.T) {
	for _, c := range []struct {
		name        string
		cores       float64 // past so many requests at once, latency grows with them
		least, most float64
	}{{"four cores", 4, 4, 14}, {"forty cores", 40, 36, 70}, {"unbounded", 1e9, 200, 256}} {
		r := DefaultConfig()
		l, now := newConcurrencyLimit(r), t0
		for range 58000 { // to just before a new period
			open := int(l.value)
			took := time.Duration(float64(10*time.Millisecond) * max(1, float64(open)/c.cores))
			l.recordLatency(now, took, open, r)
			now = now.Add(time.Millisecond)
		}
		if l.value < c.least || l.value > c.most {
			t.Errorf("%s: a limit of %.1f, want %v to %v", c.name, l.value, c.least, c.most)
		}
	}
	r := DefaultConfig()
	l := newConcurrencyLimit(r)
	for range 1000 {
		l.recordLatency(t0, time.Millisecond, 1, r)
	}
	if l.value > float64(r.InitialLimit) {
		t.Errorf("a limit of %.1f that nobody needs", l.value)
	}
	for range 1000 {
		l.recordFailure(r)
	}
	if l.value != float64(r.MinLimit) {
		t.Errorf("after failures %.1f", l.value)
	}
}

// TestInvariants makes calls at random: no server has more than its capacity when it is assigned, none that was tried or is no
// longer listed is assigned, each queued request is notified exactly once, and the same calls give the same results.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := fixedLimit(rapid.IntRange(0, 3).Draw(t, "most"))
		r.MaxQueued = 5
		b, twin := New(r, 7), New(r, 7)
		names := []string{"a", "b", "c", "d"}
		now, id := t0, 0
		inFlight, queued, attempted, list := map[string]int{}, map[string]bool{}, map[string][]string{}, []string(nil)
		checkAssigned := func(id, name string) {
			if !slices.Contains(list, name) || slices.Contains(attempted[id], name) {
				t.Fatalf("%s got %s of %v, was sent to %v", id, name, list, attempted[id])
			}
			inFlight[name]++
			for _, s := range b.Servers(now) {
				if s.Name == name && (s.InFlight != inFlight[name] || s.InFlight > s.Capacity) {
					t.Fatalf("%s has %d in flight of %d; %d were assigned", name, s.InFlight, s.Capacity, inFlight[name])
				}
			}
		}
		check := func(g, same []Assignment) {
			if fmt.Sprint(g) != fmt.Sprint(same) {
				t.Fatalf("%v and %v", g, same)
			}
			for _, x := range g {
				if !queued[x.ID] {
					t.Fatalf("%s is not queued", x.ID)
				}
				delete(queued, x.ID)
			}
			for _, x := range g { // several at once: their capacity was checked one by one
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
				name, v := b.Acquire(now, key, now.Add(time.Second), attempted[key])
				if n2, v2 := twin.Acquire(now, key, now.Add(time.Second), attempted[key]); n2 != name || v2 != v {
					t.Fatalf("%s %v and %s %v", name, v, n2, v2)
				}
				switch v {
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
				res := Result(rapid.IntRange(0, 4).Draw(t, "result"))
				took := time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond
				check(b.Release(now, name, res, took), twin.Release(now, name, res, took))
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
				if b.QueueLength() != len(queued) || len(queued) > r.MaxQueued {
					t.Fatalf("%d are queued, want %d", b.QueueLength(), len(queued))
				}
				for _, s := range b.Servers(now) {
					if s.InFlight != inFlight[s.Name] {
						t.Fatalf("%s has %d in flight, want %d", s.Name, s.InFlight, inFlight[s.Name])
					}
				}
			},
		})
	})
}
