package handover

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"sloehitch/logic"
)

// SnapshotVersion is of a snapshot's bytes: a head of 16 bytes ("SLHO", the version in 2 bytes, 2 of 0, the length of what
// follows and a CRC-32C of all else, 4 bytes each, little-endian), then JSON.
const SnapshotVersion = 1

const (
	magic    = "SLHO"
	headSize = 16
	// MaxSnapshotBytes bounds a snapshot: a process that makes more of it writes none, and one that finds more reads none.
	MaxSnapshotBytes = 256 << 10
)

// Snapshot is what a process leaves for the one that replaces it.
type Snapshot struct {
	Node         string             `json:"node"`
	Process      int                `json:"process"` // the number of the process that made it
	CreatedAt    time.Time          `json:"made"`
	AtShutdown   bool               `json:"leaving"` // made at the notice to leave
	SettingsHash string             `json:"settings"`
	LearnedState logic.LearnedState `json:"learned"`
}

// HasSamples says whether anything was learned yet: a process that has just begun must not put nothing in the place of what the
// one before it left.
func HasSamples(l logic.LearnedState) bool {
	for _, e := range l.Classes {
		if e.RunTime.Samples > 0 {
			return true
		}
	}
	return false
}

// HashSettings tells settings apart as far as what is learned under them depends on them, in 64 hex digits.
func HashSettings(s logic.Settings) string {
	text := fmt.Sprintf("%v %v %v %v %v %v %v", s.Classes, s.Tenants, s.Cores, s.MemoryKB, s.RunMemoryFactor, s.MaxConcurrencyPerCore, s.WeightPerWork)
	return fmt.Sprintf("%x", sha256.Sum256([]byte(text)))
}

// Why a snapshot is left aside.
var (
	ErrCorrupt       = errors.New("cut or damaged")
	ErrVersion       = errors.New("of another version")
	ErrOtherNode     = errors.New("of another node")
	ErrOtherSettings = errors.New("made under other settings")
	ErrTooOld        = errors.New("too old")
	ErrFromFuture    = errors.New("made in the future: the clock was set back")
	ErrImplausible   = errors.New("holds values that no server learns")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Marshal is a snapshot's bytes. It errs where they would be more than MostBytes.
func Marshal(s Snapshot) ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	b := append([]byte(magic), SnapshotVersion, 0, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(text)))
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = append(b, text...)
	if len(b) > MaxSnapshotBytes {
		return nil, fmt.Errorf("a snapshot of %d bytes, %d at most", len(b), MaxSnapshotBytes)
	}
	binary.LittleEndian.PutUint32(b[12:], checksum(b))
	return b, nil
}

func checksum(b []byte) uint32 {
	return crc32.Update(crc32.Checksum(b[:12], castagnoli), castagnoli, b[headSize:])
}

// Unmarshal reads a snapshot. It errs with ErrTorn or ErrVersion; the version is told apart only where the bytes are
// whole.
func Unmarshal(b []byte) (s Snapshot, err error) {
	if len(b) < headSize || string(b[:4]) != magic || int(binary.LittleEndian.Uint32(b[8:])) != len(b)-headSize ||
		binary.LittleEndian.Uint32(b[12:]) != checksum(b) {
		return s, ErrCorrupt
	}
	if v := binary.LittleEndian.Uint16(b[4:]); v != SnapshotVersion {
		return s, fmt.Errorf("%w: %d, this program writes %d", ErrVersion, v, SnapshotVersion)
	}
	if err := json.Unmarshal(b[headSize:], &s); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return s, nil
}

// Requirements is what a process that starts can make use of.
type Requirements struct {
	Node         string
	Settings     logic.Settings
	Now          time.Time
	MaxAge       time.Duration // what was learned longer ago says too little of now
	MaxClockSkew time.Duration // of the clock, that is let pass
}

// Validate says whether a snapshot is to be taken; the error says why not. One made in a storm is taken in a calm: the
// module's averages follow what they see, and it holds the limit under what the cores survive; a wrong start costs
// some tens of samples, no start at all the same.
func Validate(s Snapshot, w Requirements) error {
	switch age := w.Now.Sub(s.CreatedAt); {
	case s.Node != w.Node:
		return fmt.Errorf("%w: %s", ErrOtherNode, s.Node)
	case s.SettingsHash != HashSettings(w.Settings):
		return ErrOtherSettings
	case age > w.MaxAge:
		return fmt.Errorf("%w: %v, %v at most", ErrTooOld, age.Round(time.Millisecond), w.MaxAge)
	case age < -w.MaxClockSkew:
		return fmt.Errorf("%w (by %v)", ErrFromFuture, -age.Round(time.Millisecond))
	}
	return checkValues(s.LearnedState, w.Settings)
}

// checkValues guards against values that would keep a server from learning better ones.
func checkValues(l logic.LearnedState, s logic.Settings) error {
	longest := 0.0
	for _, c := range s.Classes {
		longest = max(longest, float64(c.ClientTimeout))
	}
	within := func(what string, v, most float64) error {
		if math.IsNaN(v) || v < 0 || v > most {
			return fmt.Errorf("%w: %s %v", ErrImplausible, what, v)
		}
		return nil
	}
	average := func(what string, a logic.Average, most float64) error {
		return errors.Join(within(what, a.Mean, most), within(what+" samples", float64(a.Samples), math.MaxInt32))
	}
	errs := []error{within("limit", l.RunLimit, max(1, s.MaxConcurrencyPerCore)*float64(s.Cores)), average("gap", l.CompletionGap, 10*longest),
		average("call time", l.CallTime, 10*longest), within("least call time", l.MinCallTime, 10*longest), average("refusing", l.RejectedShare, 1)}
	for _, v := range l.TimeoutHistogram {
		errs = append(errs, within("told share", v, math.MaxInt32))
	}
	for name, e := range l.Classes {
		errs = append(errs, average(name, e.RunTime, 10*longest), average(name, e.HintedRunTime, 10*longest), average(name, e.Hint, math.MaxInt64),
			within(name+" spread", e.HintVariance, math.MaxFloat64), within(name+" covariance", math.Abs(e.Covariance), math.MaxFloat64))
	}
	for name, v := range l.TenantTokens {
		errs = append(errs, within(name+" quota", v, math.MaxInt32))
	}
	return errors.Join(errs...)
}

// FormatSnapshot is what a snapshot holds, for people to read.
func FormatSnapshot(s Snapshot) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	l := s.LearnedState
	fmt.Fprintf(w, "  at the notice to leave\t%v\n  running limit\t%.1f\n  refused\t%.0f%%\n", s.AtShutdown, l.RunLimit, 100*l.RejectedShare.Mean)
	fmt.Fprintf(w, "  call time\t%.1f ms, %.1f at the least\n", l.CallTime.Mean/1000, l.MinCallTime/1000)
	for _, name := range slices.Sorted(maps.Keys(l.Classes)) {
		e := l.Classes[name]
		fmt.Fprintf(w, "  class %s\trun time %.1f ms of %d runs, %.1f with a hint of %.1f\n", name, e.RunTime.Mean/1000, e.RunTime.Samples, e.HintedRunTime.Mean/1000, e.Hint.Mean/1000)
	}
	for _, name := range slices.Sorted(maps.Keys(l.TenantTokens)) {
		fmt.Fprintf(w, "  tenant %s\t%.1f requests left of its share\n", name, l.TenantTokens[name])
	}
	w.Flush()
	return b.String()
}
