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

// TestStoredEncoding checks the encoding of a snapshot and a load, which processes of other versions of this program
// read, and the settings hash, which they compare.
func TestStoredEncoding(t *testing.T) {
	const want = "SLHO\x01\x00\x00\x00\xa2\x01\x00\x00\x13\xa3\x91\xc9" + `{"node":"n1","process":7,"made":"2025-12-01T08:00:00Z","leaving":false,` +
		`"settings":"7038afb9b0769053f71843abef340e5d3c1094782dc218ba88491d4ba40e7ba9","learned":{"Limit":12.5,"Gap":{"Mean":1000,"N":3},` +
		`"CallTime":{"Mean":0,"N":0},"CallBest":0,"Refusing":{"Mean":0,"N":0},"Told":[0,1.5],"Classes":{"book":{"Run":{"Mean":5000,"N":9},` +
		`"Hinted":{"Mean":0,"N":0},"Hint":{"Mean":0,"N":0},"Cov":-2,"Spread":0}},"Tokens":{"a":3}}}`
	if got, err := Marshal(snapshot()); err != nil || string(got) != want {
		t.Errorf("encoded snapshot %q, %v, want %q", got, err, want)
	}
	const wantLoad = "\x01\x00\x00\x00\x02\x00\x00\x00\x2c\x01\x00\x00"
	if got := (Load{Running: 1, Queued: 2, Connections: 300}).Encode(); string(got) != wantLoad {
		t.Errorf("encoded load %q, want %q", got, wantLoad)
	}
}

// TestUnmarshalRejectsDamagedSnapshots checks that a snapshot is decoded unchanged, and rejected if it is truncated
// at any byte, has any bit flipped, is of another version or too large.
func TestUnmarshalRejectsDamagedSnapshots(t *testing.T) {
	b, err := Marshal(snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Unmarshal(b); err != nil || !reflect.DeepEqual(got, snapshot()) {
		t.Fatalf("decoded %+v, %v, want the snapshot unchanged", got, err)
	}
	for i := range b {
		if _, err := Unmarshal(b[:i]); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("truncated to %d bytes: %v, want ErrCorrupt", i, err)
		}
		for bit := range 8 {
			c := bytes.Clone(b)
			c[i] ^= 1 << bit
			if _, err := Unmarshal(c); err == nil {
				t.Fatalf("bit %d of byte %d flipped: no error", bit, i)
			}
		}
	}
	b[4]++
	copy(b[12:], []byte{0, 0, 0, 0})
	sum := checksum(b)
	b[12], b[13], b[14], b[15] = byte(sum), byte(sum>>8), byte(sum>>16), byte(sum>>24)
	if _, err := Unmarshal(b); !errors.Is(err, ErrVersion) {
		t.Errorf("snapshot of the next version: %v, want ErrVersion", err)
	}
	big := snapshot()
	big.LearnedState.TimeoutHistogram = make([]float64, MaxSnapshotBytes)
	if _, err := Marshal(big); err == nil {
		t.Error("no error for a snapshot that is too large")
	}
}

// TestValidate checks which snapshots are accepted, and the error for each of the others.
func TestValidate(t *testing.T) {
	if !HasSamples(snapshot().LearnedState) || HasSamples(logic.LearnedState{RunLimit: 9, Classes: map[string]logic.Estimate{"book": {}}}) {
		t.Error("HasSamples must be true with a measured run time, and false with other values only")
	}
	other := settings()
	other.Classes = append(other.Classes, logic.Class{Name: "search"})
	for _, c := range []struct {
		name   string
		change func(*Snapshot, *Requirements)
		want   error
	}{
		{"unchanged", func(*Snapshot, *Requirements) {}, nil},
		{"at the maximum age", func(_ *Snapshot, r *Requirements) { r.Now = now.Add(r.MaxAge) }, nil},
		{"too old", func(_ *Snapshot, r *Requirements) { r.Now = now.Add(r.MaxAge + 1) }, ErrTooOld},
		{"clock set back by the maximum skew", func(_ *Snapshot, r *Requirements) { r.Now = now.Add(-r.MaxClockSkew) }, nil},
		{"clock set back by more than the maximum skew", func(_ *Snapshot, r *Requirements) { r.Now = now.Add(-time.Hour) }, ErrFromFuture},
		{"from another node", func(_ *Snapshot, r *Requirements) { r.Node = "n2" }, ErrOtherNode},
		{"settings with another class", func(_ *Snapshot, r *Requirements) { r.Settings = other }, ErrOtherSettings},
		{"settings with another fleet size only", func(_ *Snapshot, r *Requirements) { r.Settings.FleetSize = 99 }, nil},
		{"made under overload", func(s *Snapshot, _ *Requirements) {
			s.LearnedState.RejectedShare = logic.Average{Mean: 0.99, Samples: 1000}
		}, nil},
		{"run limit above the maximum concurrency", func(s *Snapshot, _ *Requirements) { s.LearnedState.RunLimit = 21 }, ErrImplausible},
		{"run time not a number", func(s *Snapshot, _ *Requirements) {
			s.LearnedState.Classes["book"] = logic.Estimate{RunTime: logic.Average{Mean: math.NaN(), Samples: 1}}
		}, ErrImplausible},
		{"negative run time", func(s *Snapshot, _ *Requirements) {
			s.LearnedState.Classes["book"] = logic.Estimate{HintedRunTime: logic.Average{Mean: -1}}
		}, ErrImplausible},
		{"negative number of samples", func(s *Snapshot, _ *Requirements) { s.LearnedState.CallTime.Samples = -1 }, ErrImplausible},
		{"infinite quota", func(s *Snapshot, _ *Requirements) { s.LearnedState.TenantTokens["a"] = math.Inf(1) }, ErrImplausible},
	} {
		s, r := snapshot(), Requirements{Node: "n1", Settings: settings(), Now: now, MaxAge: 10 * time.Second, MaxClockSkew: time.Second}
		c.change(&s, &r)
		if err := Validate(s, r); !errors.Is(err, c.want) || c.want == nil && err != nil {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}
