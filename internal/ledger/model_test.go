package ledger

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sloehitch/internal/ledger/simdisk"
)

// TestMatchesMapModel compares the store with a map after long random sequences of operations, restarts and power losses.
func TestMatchesMapModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{now: start}
		o := testOptions()
		o.Now = c.Now
		fs := simdisk.New(rapid.Uint64().Draw(t, "seed"))
		s, err := Open(fs, o)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { s.Close() }()
		type value struct {
			text   string
			expiry time.Time
		}
		model, mark := map[string]value{}, time.UnixMilli(0)
		key := rapid.SampledFrom([]string{"a", "a\x00", "ab", "b", "\xff", "longer key"})
		want := func() map[string]string {
			m := map[string]string{}
			for k, v := range model {
				if v.expiry.IsZero() || v.expiry.After(mark) {
					m[k] = v.text
				}
			}
			return m
		}
		checkClockMark := func(t *rapid.T) {
			now := time.UnixMilli(s.clockMark)
			if now.Before(mark) || now.After(mark) && now.After(c.Now()) {
				t.Fatalf("the clock mark changed from %v to %v at %v", mark, now, c.Now())
			}
			mark = now
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				var b Batch
				for range rapid.IntRange(1, 4).Draw(t, "n") {
					k := key.Draw(t, "key")
					if rapid.IntRange(0, 4).Draw(t, "op") == 0 {
						b.Delete([]byte(k))
						delete(model, k)
						continue
					}
					v := value{text: rapid.StringN(0, 60, -1).Draw(t, "value")}
					if rapid.Bool().Draw(t, "expires") {
						v.expiry = start.Add(time.Duration(rapid.IntRange(-5, 100).Draw(t, "after")) * time.Second)
					}
					b.Put([]byte(k), []byte(v.text), v.expiry)
					model[k] = v
				}
				if err := s.Apply(&b); err != nil {
					t.Fatal(err)
				}
				if now := c.Now(); now.After(mark) {
					mark = now
				}
			},
			"clock": func(t *rapid.T) {
				c.add(time.Duration(rapid.IntRange(-20, 30).Draw(t, "s")) * time.Second)
				if err := s.AdvanceClock(); err != nil {
					t.Fatal(err)
				}
				if now := c.Now(); now.After(mark) {
					mark = now
				}
			},
			"compact": func(t *rapid.T) {
				if _, err := s.Compact(); err != nil {
					t.Fatal(err)
				}
				checkClockMark(t)
			},
			"tend": func(t *rapid.T) {
				s.RemoveExpired()
				if err := s.compactWhileDue(); err != nil {
					t.Fatal(err)
				}
				checkClockMark(t)
			},
			"restart": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "cut") {
					fs = fs.LosePower(rapid.Uint64().Draw(t, "state"))
				}
				s.Close()
				if s, err = Open(fs, o); err != nil {
					t.Fatal(err)
				}
				checkClockMark(t) // Close writes a clock mark, a power loss need not
			},
			"": func(t *rapid.T) {
				got := map[string]string{}
				if err := s.Scan(nil, func(p Pair) error { got[string(p.Key)] = string(p.Value); return nil }); err != nil {
					t.Fatal(err)
				}
				if w := want(); !maps.Equal(got, w) {
					t.Fatalf("got %q, want %q", got, w)
				}
			},
		})
	})
}
