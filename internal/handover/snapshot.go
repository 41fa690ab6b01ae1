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

// Version is of a snapshot's bytes: a head of 16 bytes ("SLHO", the version in 2 bytes, 2 of 0, the length of what
// follows and a CRC-32C of all else, 4 bytes each, little-endian), then JSON.
const Version = 1

const (
	magic    = "SLHO"
	headSize = 16
	// MostBytes bounds a snapshot: a process that makes more of it writes none, and one that finds more reads none.
	MostBytes = 256 << 10
)

// Snapshot is what a process leaves for the one that replaces it.
type Snapshot struct {
	Node     string        `json:"node"`
	Process  int           `json:"process"` // the number of the process that made it
	Made     time.Time     `json:"made"`
	Leaving  bool          `json:"leaving"` // made at the notice to leave
	Settings string        `json:"settings"`
	Learned  logic.Learned `json:"learned"`
}

// Worth says whether anything was learned yet: a process that has just begun must not put nothing in the place of what the
// one before it left.
func Worth(l logic.Learned) bool {
	for _, e := range l.Classes {
		if e.Run.N > 0 {
			return true
		}
	}
	return false
}

// Settings tells settings apart as far as what is learned under them depends on them, in 64 hex digits.
func Settings(s logic.Settings) string {
	text := fmt.Sprintf("%v %v %v %v %v %v %v", s.Classes, s.Tenants, s.Cores, s.MemoryKB, s.RunFactor, s.CrowdFactor, s.WorthByWork)
	return fmt.Sprintf("%x", sha256.Sum256([]byte(text)))
}

// Why a snapshot is left aside.
var (
	ErrTorn     = errors.New("cut or damaged")
	ErrVersion  = errors.New("of another version")
	ErrNode     = errors.New("of another node")
	ErrSettings = errors.New("made under other settings")
	ErrOld      = errors.New("too old")
	ErrFuture   = errors.New("made in the future: the clock was set back")
	ErrValues   = errors.New("holds values that no server learns")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Marshal is a snapshot's bytes. It errs where they would be more than MostBytes.
func Marshal(s Snapshot) ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	b := append([]byte(magic), Version, 0, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(text)))
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = append(b, text...)
	if len(b) > MostBytes {
		return nil, fmt.Errorf("a snapshot of %d bytes, %d at most", len(b), MostBytes)
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
		return s, ErrTorn
	}
	if v := binary.LittleEndian.Uint16(b[4:]); v != Version {
		return s, fmt.Errorf("%w: %d, this program writes %d", ErrVersion, v, Version)
	}
	if err := json.Unmarshal(b[headSize:], &s); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrTorn, err)
	}
	return s, nil
}

// Wanted is what a process that starts can make use of.
type Wanted struct {
	Node     string
	Settings logic.Settings
	Now      time.Time
	Oldest   time.Duration // what was learned longer ago says too little of now
	Ahead    time.Duration // of the clock, that is let pass
}

// Judge says whether a snapshot is to be taken; the error says why not. One made in a storm is taken in a calm: the
// module's averages follow what they see, and it holds the limit under what the cores survive; a wrong start costs
// some tens of samples, no start at all the same.
func Judge(s Snapshot, w Wanted) error {
	switch age := w.Now.Sub(s.Made); {
	case s.Node != w.Node:
		return fmt.Errorf("%w: %s", ErrNode, s.Node)
	case s.Settings != Settings(w.Settings):
		return ErrSettings
	case age > w.Oldest:
		return fmt.Errorf("%w: %v, %v at most", ErrOld, age.Round(time.Millisecond), w.Oldest)
	case age < -w.Ahead:
		return fmt.Errorf("%w (by %v)", ErrFuture, -age.Round(time.Millisecond))
	}
	return sane(s.Learned, w.Settings)
}

// sane guards against values that would keep a server from learning better ones.
func sane(l logic.Learned, s logic.Settings) error {
	longest := 0.0
	for _, c := range s.Classes {
		longest = max(longest, float64(c.Deadline))
	}
	within := func(what string, v, most float64) error {
		if math.IsNaN(v) || v < 0 || v > most {
			return fmt.Errorf("%w: %s %v", ErrValues, what, v)
		}
		return nil
	}
	average := func(what string, a logic.Average, most float64) error {
		return errors.Join(within(what, a.Mean, most), within(what+" samples", float64(a.N), math.MaxInt32))
	}
	errs := []error{within("limit", l.Limit, max(1, s.CrowdFactor)*float64(s.Cores)), average("gap", l.Gap, 10*longest),
		average("call time", l.CallTime, 10*longest), within("least call time", l.CallBest, 10*longest), average("refusing", l.Refusing, 1)}
	for _, v := range l.Told {
		errs = append(errs, within("told share", v, math.MaxInt32))
	}
	for name, e := range l.Classes {
		errs = append(errs, average(name, e.Run, 10*longest), average(name, e.Hinted, 10*longest), average(name, e.Hint, math.MaxInt64),
			within(name+" spread", e.Spread, math.MaxFloat64), within(name+" covariance", math.Abs(e.Cov), math.MaxFloat64))
	}
	for name, v := range l.Tokens {
		errs = append(errs, within(name+" quota", v, math.MaxInt32))
	}
	return errors.Join(errs...)
}

// Table is what a snapshot holds, for people to read.
func Table(s Snapshot) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	l := s.Learned
	fmt.Fprintf(w, "  at the notice to leave\t%v\n  running limit\t%.1f\n  refused\t%.0f%%\n", s.Leaving, l.Limit, 100*l.Refusing.Mean)
	fmt.Fprintf(w, "  call time\t%.1f ms, %.1f at the least\n", l.CallTime.Mean/1000, l.CallBest/1000)
	for _, name := range slices.Sorted(maps.Keys(l.Classes)) {
		e := l.Classes[name]
		fmt.Fprintf(w, "  class %s\trun time %.1f ms of %d runs, %.1f with a hint of %.1f\n", name, e.Run.Mean/1000, e.Run.N, e.Hinted.Mean/1000, e.Hint.Mean/1000)
	}
	for _, name := range slices.Sorted(maps.Keys(l.Tokens)) {
		fmt.Fprintf(w, "  tenant %s\t%.1f requests left of its share\n", name, l.Tokens[name])
	}
	w.Flush()
	return b.String()
}
