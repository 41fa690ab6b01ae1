package handover

import (
	"bytes"
	"errors"
	"math"
	"reflect"
	"testing"
	"time"

	"sloehitch/logic"
)

var now = time.Unix(1764576000, 0).UTC()

func settings() logic.Settings {
	return logic.Settings{Cores: 4, MemoryKB: 1000, CrowdFactor: 5, Classes: []logic.Class{{Name: "book", Deadline: 1e6}}, Tenants: []logic.Tenant{{Name: "a"}}}
}

func snapshot() Snapshot {
	return Snapshot{Node: "n1", Process: 7, Made: now, Settings: Settings(settings()), Learned: logic.Learned{Limit: 12.5,
		Gap: logic.Average{Mean: 1000, N: 3}, Told: []float64{0, 1.5}, Classes: map[string]logic.Estimate{"book": {Run: logic.Average{Mean: 5000, N: 9}, Cov: -2}},
		Tokens: map[string]float64{"a": 3}}}
}

// TestCutAndFlipped: a snapshot reads back as it was; cut at any byte or with any bit flipped it is left aside.
func TestCutAndFlipped(t *testing.T) {
	b, err := Marshal(snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Unmarshal(b); err != nil || !reflect.DeepEqual(got, snapshot()) {
		t.Fatalf("%+v, %v", got, err)
	}
	for i := range b {
		if _, err := Unmarshal(b[:i]); !errors.Is(err, ErrTorn) {
			t.Fatalf("cut to %d: %v", i, err)
		}
		for bit := range 8 {
			c := bytes.Clone(b)
			c[i] ^= 1 << bit
			if _, err := Unmarshal(c); err == nil {
				t.Fatalf("bit %d of byte %d flipped: taken", bit, i)
			}
		}
	}
	b[4]++
	copy(b[12:], []byte{0, 0, 0, 0})
	sum := checksum(b)
	b[12], b[13], b[14], b[15] = byte(sum), byte(sum>>8), byte(sum>>16), byte(sum>>24)
	if _, err := Unmarshal(b); !errors.Is(err, ErrVersion) {
		t.Errorf("the next version: %v", err)
	}
	big := snapshot()
	big.Learned.Told = make([]float64, MostBytes)
	if _, err := Marshal(big); err == nil {
		t.Error("too large: no error")
	}
}

func TestJudge(t *testing.T) {
	if !Worth(snapshot().Learned) || Worth(logic.Learned{Limit: 9, Classes: map[string]logic.Estimate{"book": {}}}) {
		t.Error("what was learned from runs is worth leaving, and nothing else is")
	}
	other := settings()
	other.Classes = append(other.Classes, logic.Class{Name: "search"})
	for _, c := range []struct {
		name   string
		change func(*Snapshot, *Wanted)
		want   error
	}{
		{"as it was left", func(*Snapshot, *Wanted) {}, nil},
		{"just in time", func(_ *Snapshot, w *Wanted) { w.Now = now.Add(w.Oldest) }, nil},
		{"too old", func(_ *Snapshot, w *Wanted) { w.Now = now.Add(w.Oldest + 1) }, ErrOld},
		{"the clock a little back", func(_ *Snapshot, w *Wanted) { w.Now = now.Add(-w.Ahead) }, nil},
		{"the clock set back", func(_ *Snapshot, w *Wanted) { w.Now = now.Add(-time.Hour) }, ErrFuture},
		{"another node's", func(_ *Snapshot, w *Wanted) { w.Node = "n2" }, ErrNode},
		{"settings retuned in between", func(_ *Snapshot, w *Wanted) { w.Settings = other }, ErrSettings},
		{"another fleet size is no other settings", func(_ *Snapshot, w *Wanted) { w.Settings.Servers = 99 }, nil},
		{"made in a storm", func(s *Snapshot, _ *Wanted) { s.Learned.Refusing = logic.Average{Mean: 0.99, N: 1000} }, nil},
		{"a limit beyond the crowd", func(s *Snapshot, _ *Wanted) { s.Learned.Limit = 21 }, ErrValues},
		{"a run time that is no number", func(s *Snapshot, _ *Wanted) {
			s.Learned.Classes["book"] = logic.Estimate{Run: logic.Average{Mean: math.NaN(), N: 1}}
		}, ErrValues},
		{"a run time below 0", func(s *Snapshot, _ *Wanted) {
			s.Learned.Classes["book"] = logic.Estimate{Hinted: logic.Average{Mean: -1}}
		}, ErrValues},
		{"fewer than no samples", func(s *Snapshot, _ *Wanted) { s.Learned.CallTime.N = -1 }, ErrValues},
		{"an endless quota", func(s *Snapshot, _ *Wanted) { s.Learned.Tokens["a"] = math.Inf(1) }, ErrValues},
	} {
		s, w := snapshot(), Wanted{Node: "n1", Settings: settings(), Now: now, Oldest: 10 * time.Second, Ahead: time.Second}
		c.change(&s, &w)
		if err := Judge(s, w); !errors.Is(err, c.want) || c.want == nil && err != nil {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}
