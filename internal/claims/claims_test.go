package claims

import (
	"errors"
	"os"
	"testing"
	"time"

	"sloehitch/internal/node"
)

// TestOneProcessHoldsAKey: of two processes on one folder only the first to begin a key holds it, until it lets
// go of a key that did not run or the key's window is over.
func TestOneProcessHoldsAKey(t *testing.T) {
	dir := t.TempDir()
	now := time.Unix(1764576000, 0)
	clock := func() time.Time { return now }
	old, err := Open(dir, time.Second, clock)
	if err != nil {
		t.Fatal(err)
	}
	next, err := Open(dir, time.Second, clock)
	if err != nil {
		t.Fatal(err)
	}
	b := node.Booking{Key: "k1", Class: "book", Arrived: now, Window: 10 * time.Second}
	done := make(chan error, 1)
	if err := old.Begin(b, done); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if err := next.Began(b, func(error) { t.Error("done called for a key taken") }); !errors.Is(err, node.ErrTaken) {
		t.Fatalf("the second process began a key that the first holds: %v", err)
	}
	if !next.Held(b) {
		t.Error("the other process does not see the claim")
	}
	other := b
	other.Class = "search" // the same key in another class is another booking
	if err := next.Begin(other, done); err != nil || <-done != nil {
		t.Fatalf("another class: %v", err)
	}
	next.Withdraw(other)
	if next.Held(other) {
		t.Error("a withdrawn claim is still held")
	}
	old.Ended(b)
	if left, err := next.Sweep(); err != nil || left != 1 {
		t.Fatalf("before the window ends: %d left, %v", left, err)
	}
	now = now.Add(11*time.Second + time.Millisecond)
	if left, err := old.Sweep(); err != nil || left != 0 {
		t.Fatalf("after the window and its spare: %d left, %v", left, err)
	}
	if err := next.Begin(b, done); err != nil || <-done != nil {
		t.Fatalf("a key whose window is over: %v", err)
	}
}

// TestUnwritableFolder: a folder that can't be written is an error of its own, not a key taken.
func TestUnwritableFolder(t *testing.T) {
	dir := t.TempDir()
	c, err := Open(dir, time.Second, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(dir, 0o500); err != nil {
		t.Fatal(err)
	}
	defer os.Chmod(dir, 0o700)
	if os.Getuid() == 0 {
		t.Skip("the superuser writes anywhere")
	}
	err = c.Began(node.Booking{Key: "k", Class: "c", Arrived: time.Now()}, func(error) {})
	if err == nil || errors.Is(err, node.ErrTaken) {
		t.Errorf("got %v", err)
	}
}

// Begin is Began with done into a channel.
func (c *Claims) Begin(b node.Booking, done chan error) error {
	return c.Began(b, func(err error) { done <- err })
}
