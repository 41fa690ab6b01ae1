// Package claims keeps the keys of bookings that began in a folder that two processes of one node share, so that
// while a new process takes over from an old one (both take clients from the listener that the platform holds) no
// key runs in both. A claim is a file made with O_EXCL: the kernel lets one process make it, whoever asks first.
//
// It is a node.Journal for the time of a hand-over, not a record that outlives the machine: the folder is meant
// for $TMPDIR, which the platform shares between the two processes and does not empty.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"sloehitch/internal/node"
)

// Claims is a folder of claims.
type Claims struct {
	dir   string
	spare time.Duration // how long beyond its window a claim is kept: tries of a key may be read late
	now   func() time.Time
}

// Open makes the folder where it is missing. spare is added to each key's window before its claim may be swept.
func Open(dir string, spare time.Duration, now func() time.Time) (*Claims, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("claims: %w", err)
	}
	return &Claims{dir: dir, spare: spare, now: now}, nil
}

// name is a claim's file: the key and class by SHA-256, so that no key makes a path of its own.
func (c *Claims) name(b node.Booking) string {
	h := sha256.New()
	h.Write([]byte(b.Class))
	h.Write([]byte{0})
	h.Write([]byte(b.Key))
	return filepath.Join(c.dir, hex.EncodeToString(h.Sum(nil)))
}

// Began claims the key at once and calls done with nil from another goroutine. It returns node.ErrTaken where
// another process (or an earlier one) holds the key, and another error where the folder can't be written; done is
// not called then. The file holds when the key's window ends, in Unix nanoseconds.
func (c *Claims) Began(b node.Booking, done func(error)) error {
	f, err := os.OpenFile(c.name(b), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if errors.Is(err, fs.ErrExist) {
		return node.ErrTaken
	}
	if err != nil {
		return fmt.Errorf("claims: %w", err)
	}
	var ends [8]byte
	binary.LittleEndian.PutUint64(ends[:], uint64(b.Arrived.Add(b.Window).Add(c.spare).UnixNano()))
	_, err = f.Write(ends[:])
	if err = errors.Join(err, f.Close()); err != nil {
		os.Remove(f.Name())
		return fmt.Errorf("claims: %w", err)
	}
	go done(nil)
	return nil
}

// Held tells whether a claim of b's key stands, made by this process or another: a refusal of a try of it would
// send it to run again.
func (c *Claims) Held(b node.Booking) bool {
	_, err := os.Stat(c.name(b))
	return err == nil
}

// Ended keeps the claim: the key ran here, and must not run elsewhere within its window.
func (c *Claims) Ended(node.Booking) {}

// Withdraw lets go of a claim of which nothing ran.
func (c *Claims) Withdraw(b node.Booking) { os.Remove(c.name(b)) }

// Sweep removes the claims whose windows are over, and returns how many are left. Two processes may sweep at once:
// a claim is removed only while it is stale, and while it stands nobody else can make a new one under its name.
func (c *Claims) Sweep() (left int, err error) {
	entries, err := os.ReadDir(c.dir)
	if err != nil {
		return 0, fmt.Errorf("claims: %w", err)
	}
	now := c.now().UnixNano()
	for _, e := range entries {
		path := filepath.Join(c.dir, e.Name())
		text, err := os.ReadFile(path)
		if err != nil || len(text) != 8 {
			left++ // being written, or gone already
			continue
		}
		if int64(binary.LittleEndian.Uint64(text)) < now {
			os.Remove(path)
			continue
		}
		left++
	}
	return left, nil
}
