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

// bootIDFile names the present boot of the machine (random(4)): monotonic readings of two boots have nothing in common.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// sharedLine is how steady time stands to the machine's monotonic clock, as processes share it.
type sharedLine struct {
	boot  string
	ahead time.Duration // of the monotonic clock's reading, since the Unix epoch
}

// Share has steady time be the same in all processes that share the file: the first of them writes how its own stands to the machine's
// monotonic clock, the others go by that, whatever the wall clock was when they started. It is to be called before any instant is read.
func Share(path string) error {
	boot, err := os.ReadFile(bootIDFile)
	if err != nil {
		return fmt.Errorf("shared clock: %w", err)
	}
	read, monotonic, err := readBoth()
	if err != nil {
		return fmt.Errorf("shared clock: %w", err)
	}
	own := sharedLine{boot: strings.TrimSpace(string(boot)), ahead: time.Duration(steadyAt(read).UnixNano()) - monotonic}
	line, err := agree(path, own)
	if err != nil {
		return fmt.Errorf("shared clock %s: %w", path, err)
	}
	setReference(read, time.Unix(0, int64(line.ahead+monotonic)).Sub(read.Round(0)))
	return nil
}

// readBoth reads the system's clocks and the machine's monotonic clock in one moment.
func readBoth() (time.Time, time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return time.Time{}, 0, err
	}
	return time.Now(), time.Duration(t.Nano()), nil
}

// agree returns the line in the file, which it writes where there is none of this boot.
func agree(path string, own sharedLine) (sharedLine, error) {
	line, err := readLine(path)
	if err == nil && line.boot == own.boot {
		return line, nil
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return sharedLine{}, err
	}
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := os.WriteFile(temporary, own.bytes(), 0o600); err != nil {
		return sharedLine{}, errors.Join(err, removeIfThere(temporary))
	}
	defer os.Remove(temporary)
	if err == nil { // of an earlier boot
		return own, os.Rename(temporary, path)
	}
	if err := os.Link(temporary, path); errors.Is(err, fs.ErrExist) { // another process was first
		return readLine(path)
	} else if err != nil {
		return sharedLine{}, err
	}
	return own, nil
}

func removeIfThere(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

func (l sharedLine) bytes() []byte { return fmt.Appendf(nil, "%s %d\n", l.boot, l.ahead) }

// readLine reads the file. A line that is not whole errs.
func readLine(path string) (sharedLine, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return sharedLine{}, err
	}
	boot, ahead, _ := strings.Cut(string(bytes.TrimSuffix(text, []byte("\n"))), " ")
	nanoseconds, err := strconv.ParseInt(ahead, 10, 64)
	if err != nil || !bytes.HasSuffix(text, []byte("\n")) {
		return sharedLine{}, fmt.Errorf("%.60q is no boot and offset", text)
	}
	return sharedLine{boot: boot, ahead: time.Duration(nanoseconds)}, nil
}
