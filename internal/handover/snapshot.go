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

// SnapshotVersion is the version of the snapshot encoding: a header of 16 bytes, followed by JSON. The header contains
// "SLHO", the version in 2 bytes, 2 bytes of value 0, the length of the JSON and a CRC-32C of everything else in 4 bytes
// each; numbers are little-endian.
const SnapshotVersion = 1

const (
	snapshotMagic      = "SLHO"
	snapshotHeaderSize = 16
	// MaxSnapshotBytes is the maximum size of a snapshot; a larger one is neither written nor read.
	MaxSnapshotBytes = 256 << 10
)

// Snapshot is the learned state that a process saves for the process that replaces it. The JSON names are stored on
// disk and must not change.
type Snapshot struct {
	Node         string             `json:"node"`
	Process      int                `json:"process"` // the id of the process that made the snapshot
	CreatedAt    time.Time          `json:"made"`
	AtShutdown   bool               `json:"leaving"` // made when the process was notified of its shutdown
	SettingsHash string             `json:"settings"`
	LearnedState logic.LearnedState `json:"learned"`
}

// HasSamples reports whether any run time was measured yet. A process that has just started must not replace the
// snapshot of its predecessor.
func HasSamples(l logic.LearnedState) bool {
	for _, e := range l.Classes {
		if e.RunTime.Samples > 0 {
			return true
		}
	}
	return false
}

// HashSettings returns a hash, in 64 hex digits, of the settings that the learned state depends on.
func HashSettings(s logic.Settings) string {
	text := fmt.Sprintf("%v %v %v %v %v %v %v", s.Classes, s.Tenants, s.Cores, s.MemoryKB,
		s.RunMemoryFactor, s.MaxConcurrencyPerCore, s.WeightPerWork)
	return fmt.Sprintf("%x", sha256.Sum256([]byte(text)))
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Marshal encodes a snapshot. It returns an error if the encoding is larger than MaxSnapshotBytes.
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
		return nil, fmt.Errorf("encoded snapshot is too large: %d bytes, the maximum is %d", len(b), MaxSnapshotBytes)
	}
	binary.LittleEndian.PutUint32(b[12:], checksum(b))
	return b, nil
}

// checksum returns the CRC-32C of b without the header's last 4 bytes.
func checksum(b []byte) uint32 {
	return crc32.Update(crc32.Checksum(b[:12], castagnoli), castagnoli, b[snapshotHeaderSize:])
}

// Unmarshal decodes a snapshot. It returns ErrCorrupt if the bytes are damaged, and ErrVersion if they are intact but of
// another version.
func Unmarshal(b []byte) (s Snapshot, err error) {
	if len(b) < snapshotHeaderSize || string(b[:4]) != snapshotMagic ||
		int(binary.LittleEndian.Uint32(b[8:])) != len(b)-snapshotHeaderSize ||
		binary.LittleEndian.Uint32(b[12:]) != checksum(b) {
		return s, ErrCorrupt
	}
	if v := binary.LittleEndian.Uint16(b[4:]); v != SnapshotVersion {
		return s, fmt.Errorf("%w: %d, this program supports version %d", ErrVersion, v, SnapshotVersion)
	}
	if err := json.Unmarshal(b[snapshotHeaderSize:], &s); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return s, nil
}

// Reasons for which a snapshot is not used.
var (
	ErrCorrupt       = errors.New("snapshot is truncated or damaged")
	ErrVersion       = errors.New("snapshot has another format version")
	ErrOtherNode     = errors.New("snapshot is from another node")
	ErrOtherSettings = errors.New("snapshot was made under other settings")
	ErrTooOld        = errors.New("snapshot is too old")
	ErrFromFuture    = errors.New("snapshot is from the future: the clock was set back")
	ErrImplausible   = errors.New("snapshot contains an implausible value")
)
