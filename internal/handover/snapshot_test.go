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
	return logic.Settings{Cores: 4, MemoryKB: 1000, MaxConcurrencyPerCore: 5, Classes: []logic.Class{{Name: "book", ClientTimeout: 1e6}}, Tenants: []logic.Tenant{{Name: "a"}}}
}

func snapshot() Snapshot {
	return Snapshot{Node: "n1", Process: 7, CreatedAt: now, SettingsHash: HashSettings(settings()), LearnedState: logic.LearnedState{RunLimit: 12.5,
		CompletionGap: logic.Average{Mean: 1000, Samples: 3}, TimeoutHistogram: []float64{0, 1.5}, Classes: map[string]logic.Estimate{"book": {RunTime: logic.Average{Mean: 5000, Samples: 9}, Covariance: -2}},
		TenantTokens: map[string]float64{"a": 3}}}
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
		if _, err := Unmarshal(b[:i]); !errors.Is(err, ErrCorrupt) {
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
	big.LearnedState.TimeoutHistogram = make([]float64, MaxSnapshotBytes)
	if _, err := Marshal(big); err == nil {
		t.Error("too large: no error")
	}
}

func TestJudge(t *testing.T) {
	if !HasSamples(snapshot().LearnedState) || HasSamples(logic.LearnedState{RunLimit: 9, Classes: map[string]logic.Estimate{"book": {}}}) {
		t.Error("what was learned from runs is worth leaving, and nothing else is")
	}
	other := settings()
	other.Classes = append(other.Classes, logic.Class{Name: "search"})
	for _, c := range []struct {
		name   string
		change func(*Snapshot, *Requirements)
		want   error
	}{
		{"as it was left", func(*Snapshot, *Requirements) {}, nil},
		{"just in time", func(_ *Snapshot, w *Requirements) { w.Now = now.Add(w.MaxAge) }, nil},
		{"too old", func(_ *Snapshot, w *Requirements) { w.Now = now.Add(w.MaxAge + 1) }, ErrTooOld},
		{"the clock a little back", func(_ *Snapshot, w *Requirements) { w.Now = now.Add(-w.MaxClockSkew) }, nil},
		{"the clock set back", func(_ *Snapshot, w *Requirements) { w.Now = now.Add(-time.Hour) }, ErrFromFuture},
		{"another node's", func(_ *Snapshot, w *Requirements) { w.Node = "n2" }, ErrOtherNode},
		{"settings retuned in between", func(_ *Snapshot, w *Requirements) { w.Settings = other }, ErrOtherSettings},
		{"another fleet size is no other settings", func(_ *Snapshot, w *Requirements) { w.Settings.FleetSize = 99 }, nil},
		{"made in a storm", func(s *Snapshot, _ *Requirements) {
			s.LearnedState.RejectedShare = logic.Average{Mean: 0.99, Samples: 1000}
		}, nil},
		{"a limit beyond the crowd", func(s *Snapshot, _ *Requirements) { s.LearnedState.RunLimit = 21 }, ErrImplausible},
		{"a run time that is no number", func(s *Snapshot, _ *Requirements) {
			s.LearnedState.Classes["book"] = logic.Estimate{RunTime: logic.Average{Mean: math.NaN(), Samples: 1}}
		}, ErrImplausible},
		{"a run time below 0", func(s *Snapshot, _ *Requirements) {
			s.LearnedState.Classes["book"] = logic.Estimate{HintedRunTime: logic.Average{Mean: -1}}
		}, ErrImplausible},
		{"fewer than no samples", func(s *Snapshot, _ *Requirements) { s.LearnedState.CallTime.Samples = -1 }, ErrImplausible},
		{"an endless quota", func(s *Snapshot, _ *Requirements) { s.LearnedState.TenantTokens["a"] = math.Inf(1) }, ErrImplausible},
	} {
		s, w := snapshot(), Requirements{Node: "n1", Settings: settings(), Now: now, MaxAge: 10 * time.Second, MaxClockSkew: time.Second}
		c.change(&s, &w)
		if err := Validate(s, w); !errors.Is(err, c.want) || c.want == nil && err != nil {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}
