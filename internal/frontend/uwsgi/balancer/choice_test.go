package balancer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var t0 = time.UnixMilli(1764576000000)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func fixed(most int) Rules {
	r := Default()
	r.Most = most
	return r
}

func pool(r Rules, names ...string) *Pool {
	p := New(r, 1)
	p.Use(t0, names)
	return p
}

func take(p *Pool, now time.Time, id string, tried ...string) string {
	name, v := p.Take(now, id, now.Add(time.Second), tried)
	if v == Go {
		return name
	}
	return v.String()
}

func TestChoice(t *testing.T) {
	for _, c := range []struct {
		name string
		play func() []string
		want string
	}{
		{"in turn among equals", func() (got []string) {
			p := pool(fixed(9), "a", "b", "c")
			for i := range 6 {
				got = append(got, take(p, t0, fmt.Sprint(i)))
			}
			return got
		}, "a b c a b c"},
		{"least open first", func() (got []string) {
			p := pool(fixed(9), "a", "b")
			for i := range 4 {
				take(p, t0, fmt.Sprint(i))
			}
			p.Ended(t0, "b", OK, time.Millisecond)
			p.Ended(t0, "b", OK, time.Millisecond)
			return append(got, take(p, t0, "x"), take(p, t0, "y"))
		}, "b b"},
		{"full ones make wait, in order, and no more than fit", func() (got []string) {
			r := fixed(1)
			r.Queue = 2
			p := pool(r, "a")
			for i := range 4 {
				got = append(got, take(p, t0, fmt.Sprint(i)))
			}
			return append(got, fmt.Sprint(p.Ended(t0, "a", OK, 1)), fmt.Sprint(p.Ended(t0, "a", OK, 1)))
		}, "a wait wait full [{1 a}] [{2 a}]"},
		{"one withdrawn gets nothing", func() []string {
			p := pool(fixed(1), "a")
			take(p, t0, "0")
			take(p, t0, "1")
			return []string{fmt.Sprint(p.Withdraw("1"), p.Withdraw("1"), p.Ended(t0, "a", OK, 1))}
		}, "true false []"},
		{"one that waited too long is told", func() []string {
			p := pool(fixed(1), "a")
			take(p, t0, "0")
			take(p, t0, "1")
			return []string{fmt.Sprint(p.Tick(at(999)), p.Tick(at(1000)))}
		}, "[] [{1 }]"},
		{"none twice", func() []string {
			p := pool(fixed(9), "a", "b")
			return []string{take(p, t0, "0", "a"), take(p, t0, "1", "a"), take(p, t0, "2", "a", "b")}
		}, "b b no servers"},
		{"none at all", func() []string { return []string{take(New(Default(), 1), t0, "0")} }, "no servers"},
		{"left out after failures, back after a probe with a small share", func() (got []string) {
			p := pool(fixed(100), "a", "b", "c")
			for range 3 {
				p.Ended(t0, "b", Broken, 0)
			}
			got = append(got, take(p, t0, "0"), take(p, t0, "1"), take(p, t0, "2"), fmt.Sprint(p.Probe(at(499))), fmt.Sprint(p.Probe(at(700)), p.Probe(at(700))))
			p.Probed(at(700), "b", true)
			e := p.Explain(at(700))[1]
			return append(got, fmt.Sprint(e.State, e.Room), fmt.Sprint(p.Explain(at(3200))[1].Room, p.Explain(at(5700))[1].State))
		}, "a c a [] [b] [] warming 10 50 in"},
		{"longer out with each failed probe", func() (got []string) {
			p := pool(fixed(9), "a", "b")
			for range 3 {
				p.Ended(t0, "a", Refused, 0)
			}
			now := t0
			for range 9 {
				back := p.Explain(now)[0].Back
				got = append(got, fmt.Sprint(back >= 500*time.Millisecond, back.Round(10*time.Second)))
				now = now.Add(back)
				p.Probe(now)
				p.Probed(now, "a", false)
			}
			return []string{strings.Join(got[5:], " ")}
		}, "true 20s true 30s true 30s true 30s"},
		{"not more than the share are left out, and never the last", func() (got []string) {
			p := pool(fixed(9), "a", "b", "c", "d")
			for _, name := range []string{"a", "b", "c", "d"} {
				for range 5 {
					p.Ended(t0, name, Broken, 0)
				}
			}
			for _, s := range p.Explain(t0) {
				got = append(got, s.State.String())
			}
			one := pool(fixed(9), "a")
			for range 9 {
				one.Ended(t0, "a", Broken, 0)
			}
			return append(got, one.Explain(t0)[0].State.String())
		}, "out out in in in"},
		{"with all that may be had out, one is tried all the same", func() []string {
			p := pool(fixed(9), "a", "b")
			for range 3 {
				p.Ended(t0, "a", Broken, 0)
			}
			return []string{take(p, t0, "0", "b"), take(p, t0, "1", "b")}
		}, "a wait"},
		{"one that left goes on with what it has", func() (got []string) {
			p := pool(fixed(9), "a", "b")
			take(p, t0, "0")
			p.Use(t0, []string{"b", "c"})
			got = append(got, take(p, t0, "1"), fmt.Sprint(len(p.Explain(t0)), p.Explain(t0)[0].State))
			p.Ended(t0, "a", OK, 1)
			return append(got, fmt.Sprint(len(p.Explain(t0)), p.Explain(t0)[1].State))
		}, "b 3 draining 2 warming"},
		{"a new list serves those that wait", func() []string {
			p := pool(fixed(1), "a")
			take(p, t0, "0")
			take(p, t0, "1")
			return []string{fmt.Sprint(p.Use(t0, []string{"b"}))}
		}, "[{1 b}]"},
	} {
		if got := strings.Join(c.play(), " "); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

func TestAgain(t *testing.T) {
	fine := Attempt{Repeatable: true, Whole: true, Tries: 1, Left: time.Second}
	for _, c := range []struct {
		name   string
		change func(a *Attempt)
		want   string
	}{
		{"nothing was written", func(a *Attempt) { a.Repeatable = false }, ""},
		{"it may run twice", func(a *Attempt) { a.Wrote = true }, ""},
		{"it must not run twice", func(a *Attempt) { a.Wrote, a.Repeatable = true, false }, "twice"},
		{"its body is gone", func(a *Attempt) { a.Whole = false }, "body"},
		{"the caller has some of it", func(a *Attempt) { a.Begun = true }, "response"},
		{"tried enough", func(a *Attempt) { a.Tries = 3 }, "3 times"},
		{"no time left", func(a *Attempt) { a.Left, a.Need = 9, 10 }, "time"},
	} {
		a := fine
		c.change(&a)
		ok, why := pool(Default(), "a").Again(t0, a)
		if ok != (c.want == "") || !strings.Contains(why, c.want) {
			t.Errorf("%s: %v %q", c.name, ok, why)
		}
	}
	// Further tries stay within the budget however many fail: a fifth of the first ones, one a second, and what was saved up.
	p := pool(fixed(1e6), "a")
	again := 0
	for i := range 10000 {
		now := at(i) // ten seconds
		take(p, now, fmt.Sprint(i))
		a := fine
		a.Wrote = true
		if ok, _ := p.Again(now, a); ok {
			again++
		}
	}
	if again < 2000 || again > 2000+10+25 {
		t.Errorf("%d further tries for 10,000 first ones in 10 s", again)
	}
}

// TestLimit: a server that slows down when crowded gets about as many as it can do at once; one that doesn't gets what comes.
func TestLimit(t *testing.T) {
	for _, c := range []struct {
		name        string
		cores       float64 // past so many requests at once, latency grows with them
		least, most float64
	}{{"four cores", 4, 4, 14}, {"forty cores", 40, 36, 70}, {"no end", 1e9, 200, 256}} {
		r := Default()
		l, now := newLimit(r), t0
		for range 58000 { // to just before a new period
			open := int(l.value)
			took := time.Duration(float64(10*time.Millisecond) * max(1, float64(open)/c.cores))
			l.add(now, took, open, r)
			now = now.Add(time.Millisecond)
		}
		if l.value < c.least || l.value > c.most {
			t.Errorf("%s: a limit of %.1f, want %v to %v", c.name, l.value, c.least, c.most)
		}
	}
	r := Default()
	l := newLimit(r)
	for range 1000 {
		l.add(t0, time.Millisecond, 1, r)
	}
	if l.value > float64(r.LimitFirst) {
		t.Errorf("a limit of %.1f that nobody needs", l.value)
	}
	for range 1000 {
		l.fail(r)
	}
	if l.value != float64(r.LimitLeast) {
		t.Errorf("after failures %.1f", l.value)
	}
}

// TestRules plays calls at random: no server has more than its room when it is given, none that was tried or has left is
// given, each request that waits hears exactly once, and the same calls give the same choices.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := fixed(rapid.IntRange(0, 3).Draw(t, "most"))
		r.Queue = 5
		p, twin := New(r, 7), New(r, 7)
		names := []string{"a", "b", "c", "d"}
		now, id := t0, 0
		open, waits, tried, list := map[string]int{}, map[string]bool{}, map[string][]string{}, []string(nil)
		given := func(id, name string) {
			if !slices.Contains(list, name) || slices.Contains(tried[id], name) {
				t.Fatalf("%s got %s of %v, had tried %v", id, name, list, tried[id])
			}
			open[name]++
			for _, s := range p.Explain(now) {
				if s.Name == name && (s.Open != open[name] || s.Open > s.Room) {
					t.Fatalf("%s has %d open of %d; %d were given", name, s.Open, s.Room, open[name])
				}
			}
		}
		grants := func(g, same []Grant) {
			if fmt.Sprint(g) != fmt.Sprint(same) {
				t.Fatalf("%v and %v", g, same)
			}
			for _, x := range g {
				if !waits[x.ID] {
					t.Fatalf("%s does not wait", x.ID)
				}
				delete(waits, x.ID)
			}
			for _, x := range g { // several at once: their room was looked at one by one
				if x.Server != "" {
					open[x.Server]++
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"use": func(t *rapid.T) {
				list = rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(t, "list")
				grants(p.Use(now, list), twin.Use(now, list))
			},
			"take": func(t *rapid.T) {
				id++
				key := fmt.Sprint(id)
				tried[key] = rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(t, "tried")
				name, v := p.Take(now, key, now.Add(time.Second), tried[key])
				if n2, v2 := twin.Take(now, key, now.Add(time.Second), tried[key]); n2 != name || v2 != v {
					t.Fatalf("%s %v and %s %v", name, v, n2, v2)
				}
				switch v {
				case Go:
					given(key, name)
				case Wait:
					waits[key] = true
				}
			},
			"end": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "server")
				if open[name] == 0 {
					t.Skip()
				}
				open[name]--
				res := Result(rapid.IntRange(0, 4).Draw(t, "result"))
				took := time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond
				grants(p.Ended(now, name, res, took), twin.Ended(now, name, res, took))
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				grants(p.Tick(now), twin.Tick(now))
				twin.Probe(now)
				for _, name := range p.Probe(now) {
					ok := rapid.Bool().Draw(t, "ok")
					grants(p.Probed(now, name, ok), twin.Probed(now, name, ok))
				}
			},
			"": func(t *rapid.T) {
				if p.Waiting() != len(waits) || len(waits) > r.Queue {
					t.Fatalf("%d wait, want %d", p.Waiting(), len(waits))
				}
				for _, s := range p.Explain(now) {
					if s.Open != open[s.Name] {
						t.Fatalf("%s has %d open, want %d", s.Name, s.Open, open[s.Name])
					}
				}
			},
		})
	})
}
