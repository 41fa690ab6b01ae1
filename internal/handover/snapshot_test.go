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

// TestStoredForm: the bytes that processes of other versions of this program read, and the hash that they compare.
func TestStoredForm(t *testing.T) {
	const want = "SLHO\x01\x00\x00\x00\xa2\x01\x00\x00\x13\xa3\x91\xc9" + `{"node":"n1","process":7,"made":"2025-12-01T08:00:00Z","leaving":false,` +
		`"settings":"7038afb9b0769053f71843abef340e5d3c1094782dc218ba88491d4ba40e7ba9","learned":{"Limit":12.5,"Gap":{"Mean":1000,"N":3},` +
		`"CallTime":{"Mean":0,"N":0},"CallBest":0,"Refusing":{"Mean":0,"N":0},"Told":[0,1.5],"Classes":{"book":{"Run":{"Mean":5000,"N":9},` +
		`"Hinted":{"Mean":0,"N":0},"Hint":{"Mean":0,"N":0},"Cov":-2,"Spread":0}},"Tokens":{"a":3}}}`
	if got, err := Marshal(snapshot()); err != nil || string(got) != want {
		t.Errorf("%q, %v, want %q", got, err, want)
	}
	const wantLoad = "\x01\x00\x00\x00\x02\x00\x00\x00\x2c\x01\x00\x00"
	if got := (Load{Running: 1, Queued: 2, Connections: 300}).Encode(); string(got) != wantLoad {
		t.Errorf("%q, want %q", got, wantLoad)
	}
}

// TestDamagedSnapshot: a snapshot reads back as it was; cut at any byte or with any bit flipped it is not taken over.
func TestDamagedSnapshot(t *testing.T) {
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

// TestValidate: which snapshots are taken over, and why the others are not.
func TestValidate(t *testing.T) {
	if !HasSamples(snapshot().LearnedState) || HasSamples(logic.LearnedState{RunLimit: 9, Classes: map[string]logic.Estimate{"book": {}}}) {
		t.Error("what was learned from runs is to be left for the next process, and nothing else is")
	}
	other := settings()
	other.Classes = append(other.Classes, logic.Class{Name: "search"})
	for _, c := range []struct {
		name   string
		change func(*Snapshot, *Requirements)
		want   error
	}{
		{"as it was left", func(*Snapshot, *Requirements) {}, nil},
		{"just in time", func(_ *Snapshot, r *Requirements) { r.Now = now.Add(r.MaxAge) }, nil},
		{"too old", func(_ *Snapshot, r *Requirements) { r.Now = now.Add(r.MaxAge + 1) }, ErrTooOld},
		{"the clock a little back", func(_ *Snapshot, r *Requirements) { r.Now = now.Add(-r.MaxClockSkew) }, nil},
		{"the clock set back", func(_ *Snapshot, r *Requirements) { r.Now = now.Add(-time.Hour) }, ErrFromFuture},
		{"another node's", func(_ *Snapshot, r *Requirements) { r.Node = "n2" }, ErrOtherNode},
		{"settings changed in between", func(_ *Snapshot, r *Requirements) { r.Settings = other }, ErrOtherSettings},
		{"another fleet size is no other settings", func(_ *Snapshot, r *Requirements) { r.Settings.FleetSize = 99 }, nil},
		{"made under overload", func(s *Snapshot, _ *Requirements) {
			s.LearnedState.RejectedShare = logic.Average{Mean: 0.99, Samples: 1000}
		}, nil},
		{"a limit beyond the maximal concurrency", func(s *Snapshot, _ *Requirements) { s.LearnedState.RunLimit = 21 }, ErrImplausible},
		{"a run time that is no number", func(s *Snapshot, _ *Requirements) {
			s.LearnedState.Classes["book"] = logic.Estimate{RunTime: logic.Average{Mean: math.NaN(), Samples: 1}}
		}, ErrImplausible},
		{"a run time below 0", func(s *Snapshot, _ *Requirements) {
			s.LearnedState.Classes["book"] = logic.Estimate{HintedRunTime: logic.Average{Mean: -1}}
		}, ErrImplausible},
		{"fewer than no samples", func(s *Snapshot, _ *Requirements) { s.LearnedState.CallTime.Samples = -1 }, ErrImplausible},
		{"an endless quota", func(s *Snapshot, _ *Requirements) { s.LearnedState.TenantTokens["a"] = math.Inf(1) }, ErrImplausible},
	} {
		s, r := snapshot(), Requirements{Node: "n1", Settings: settings(), Now: now, MaxAge: 10 * time.Second, MaxClockSkew: time.Second}
		c.change(&s, &r)
		if err := Validate(s, r); !errors.Is(err, c.want) || c.want == nil && err != nil {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}
