package handover

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"sloehitch/logic"
)

// SnapshotVersion is the version of a snapshot's form: a header of 16 bytes ("SLHO", the version in 2 bytes, 2 of 0,
// the length of what follows and a CRC-32C of all else, 4 bytes each, little-endian), then JSON.
const SnapshotVersion = 1

const (
	snapshotMagic      = "SLHO"
	snapshotHeaderSize = 16
	// MaxSnapshotBytes bounds a snapshot: a longer one is neither written nor read.
	MaxSnapshotBytes = 256 << 10
)

// Snapshot is what a process leaves for the one that replaces it. Its JSON names are stored.
type Snapshot struct {
	Node         string             `json:"node"`
	Process      int                `json:"process"` // the id of the process that made it
	CreatedAt    time.Time          `json:"made"`
	AtShutdown   bool               `json:"leaving"` // made at the notice of shutdown
	SettingsHash string             `json:"settings"`
	LearnedState logic.LearnedState `json:"learned"`
}

// HasSamples reports whether anything was learned yet: a process that has just begun must not replace what the one
// before it left.
func HasSamples(l logic.LearnedState) bool {
	for _, e := range l.Classes {
		if e.RunTime.Samples > 0 {
			return true
		}
	}
	return false
}

// HashSettings identifies settings as far as what is learned under them depends on them, in 64 hex digits.
func HashSettings(s logic.Settings) string {
	text := fmt.Sprintf("%v %v %v %v %v %v %v", s.Classes, s.Tenants, s.Cores, s.MemoryKB,
		s.RunMemoryFactor, s.MaxConcurrencyPerCore, s.WeightPerWork)
	return fmt.Sprintf("%x", sha256.Sum256([]byte(text)))
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Marshal returns a snapshot's bytes. It returns an error if they are more than MaxSnapshotBytes.
func Marshal(s Snapshot) ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	b := append([]byte(snapshotMagic), SnapshotVersion, 0, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(text)))
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = append(b, text...)
	if len(b) > MaxSnapshotBytes {
		return nil, fmt.Errorf("a snapshot of %d bytes, %d at most", len(b), MaxSnapshotBytes)
	}
	binary.LittleEndian.PutUint32(b[12:], checksum(b))
	return b, nil
}

// checksum is the CRC-32C of all but the header's last 4 bytes.
func checksum(b []byte) uint32 {
	return crc32.Update(crc32.Checksum(b[:12], castagnoli), castagnoli, b[snapshotHeaderSize:])
}

// Unmarshal reads a snapshot. It returns ErrCorrupt or, where the bytes are intact, ErrVersion.
func Unmarshal(b []byte) (s Snapshot, err error) {
	if len(b) < snapshotHeaderSize || string(b[:4]) != snapshotMagic ||
		int(binary.LittleEndian.Uint32(b[8:])) != len(b)-snapshotHeaderSize ||
		binary.LittleEndian.Uint32(b[12:]) != checksum(b) {
		return s, ErrCorrupt
	}
	if v := binary.LittleEndian.Uint16(b[4:]); v != SnapshotVersion {
		return s, fmt.Errorf("%w: %d, this program writes %d", ErrVersion, v, SnapshotVersion)
	}
	if err := json.Unmarshal(b[snapshotHeaderSize:], &s); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return s, nil
}

// Why a snapshot is not taken over.
var (
	ErrCorrupt       = errors.New("cut or damaged")
	ErrVersion       = errors.New("of another version")
	ErrOtherNode     = errors.New("of another node")
	ErrOtherSettings = errors.New("made under other settings")
	ErrTooOld        = errors.New("too old")
	ErrFromFuture    = errors.New("made in the future: the clock was set back")
	ErrImplausible   = errors.New("holds values that no server learns")
)
