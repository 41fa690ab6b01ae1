package clock

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDFile identifies the current boot of the machine (random(4)). Monotonic readings of different boots cannot be compared.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// sharedReference maps the machine's monotonic clock to steady time, for all processes that share it.
type sharedReference struct {
	boot  string
	ahead time.Duration // steady time since the Unix epoch minus the monotonic reading
}

// ShareReference makes steady time identical in all processes that share the file at path. The first process writes its reference,
// relative to the machine's monotonic clock, and the others adopt it, whatever the wall clock was when they started. It must be
// called before any instant is read.
func ShareReference(path string) error {
	boot, err := os.ReadFile(bootIDFile)
	if err != nil {
		return fmt.Errorf("shared clock: %w", err)
	}
	read, monotonic, err := readClocks()
	if err != nil {
		return fmt.Errorf("shared clock: %w", err)
	}
	own := sharedReference{boot: strings.TrimSpace(string(boot)), ahead: time.Duration(steadyAt(read).UnixNano()) - monotonic}
	agreed, err := loadOrWriteReference(path, own)
	if err != nil {
		return fmt.Errorf("shared clock %s: %w", path, err)
	}
	setReference(read, time.Unix(0, int64(agreed.ahead+monotonic)).Sub(read.Round(0)))
	return nil
}

// readClocks reads the system's clocks and the machine's monotonic clock together.
func readClocks() (time.Time, time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return time.Time{}, 0, err
	}
	return time.Now(), time.Duration(t.Nano()), nil
}

// loadOrWriteReference returns the reference in the file. If there is none of the current boot, it writes own and returns it.
func loadOrWriteReference(path string, own sharedReference) (sharedReference, error) {
	existing, err := readReference(path)
	if err == nil && existing.boot == own.boot {
		return existing, nil
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return sharedReference{}, err
	}
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := os.WriteFile(temporary, own.bytes(), 0o600); err != nil {
		return sharedReference{}, errors.Join(err, removeIfExists(temporary))
	}
	defer func() { _ = os.Remove(temporary) }() // a file left behind is harmless
	if err == nil {                             // the file is from an earlier boot
		return own, os.Rename(temporary, path)
	}
	if err := os.Link(temporary, path); errors.Is(err, fs.ErrExist) { // another process created it first
		return readReference(path)
	} else if err != nil {
		return sharedReference{}, err
	}
	return own, nil
}

func removeIfExists(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

func (l sharedReference) bytes() []byte { return fmt.Appendf(nil, "%s %d\n", l.boot, l.ahead) }

// readReference reads the file. It returns an error if the line is incomplete.
func readReference(path string) (sharedReference, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return sharedReference{}, err
	}
	boot, ahead, _ := strings.Cut(string(bytes.TrimSuffix(text, []byte("\n"))), " ")
	nanoseconds, err := strconv.ParseInt(ahead, 10, 64)
	if err != nil || !bytes.HasSuffix(text, []byte("\n")) {
		return sharedReference{}, fmt.Errorf("malformed clock reference %.60q: expected a boot ID, an offset and a newline", text)
	}
	return sharedReference{boot: boot, ahead: time.Duration(nanoseconds)}, nil
}
