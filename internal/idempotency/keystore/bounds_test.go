package keystore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// TestDamagedSegmentStillOpens truncates the segment of an exited process at any byte, or changes any byte, and checks that a
// Store still opens, that no key has the result of another, and that records after the damage take effect.
func TestDamagedSegmentStillOpens(t *testing.T) {
	dir, now := t.TempDir(), &clock{now: start}
	old := open(t, dir, now.Now, nil)
	keys := []string{"a", "b", "c"}
	for _, k := range keys {
		if err := recordStart(t, old, runRecord(k)); err != nil {
			t.Fatal(err)
		}
		recordEnd(t, old, runRecord(k), "visit "+k)
	}
	path := old.ownSegments[0].path
	if err := old.Close(); err != nil {
		t.Fatal(err)
	}
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	check := func(what string, text []byte, least int) {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Open(Options{Dir: dir, RetentionMargin: time.Second, Now: now.Now, Limits: limits.ForKeyStore(64), Log: standin.DiscardLogger})
		if err != nil {
			if len(text) >= 16 && string(text[:8]) == string(intact[:8]) {
				t.Fatalf("%s: %v", what, err)
			}
			_ = os.Remove(filepath.Join(dir, lockName)) // the header is not of this version
			return
		}
		found := 0
		for _, k := range keys {
			got, ok := c.Lookup(runRecord(k))
			if got.Succeeded && string(got.Result) != "visit "+k {
				t.Fatalf("%s: key %s has result %q", what, k, got.Result)
			}
			if ok && got.Succeeded {
				found++
			}
		}
		if found < least {
			t.Fatalf("%s: %d results found, at least %d are intact", what, found, least)
		}
		if err := c.Close(); err != nil {
			t.Fatal(err)
		}
	}
	for i := range intact {
		check(fmt.Sprintf("truncated to %d bytes", i), intact[:i], 0)
		if i >= 16 {
			b := append([]byte(nil), intact...)
			b[i] ^= 0x41
			check(fmt.Sprintf("byte %d changed", i), b, 2)
		}
	}
	check("intact", intact, 3)
}

// TestFolderSizeIsBounded checks that results are left out above 75 % of the maximum size, that no key can be claimed
// above 100 %, that expired segments make room again, and that a folder that can't be written gives an error other
// than node.ErrKeyHeld.
func TestFolderSizeIsBounded(t *testing.T) {
	dir, now := t.TempDir(), &clock{now: start}
	small := func(l *limits.KeyStore) { l.TotalBytes, l.SegmentBytes = 4000, 1000 }
	c, next := open(t, dir, now.Now, small), open(t, dir, now.Now, small)
	var full error
	n := 0
	for ; full == nil && n < 100; n++ {
		b := runRecord(fmt.Sprint(n))
		if full = recordStart(t, c, b); full == nil {
			recordEnd(t, c, b, strings.Repeat("x", 200))
		}
	}
	if s := c.Stats(); !errors.Is(full, ErrFull) || s.Bytes > 4000+400 || s.OwnSegments < 3 {
		t.Fatalf("after %d keys: %v, %+v", n, full, s)
	}
	first, _ := next.Lookup(runRecord("0"))
	last, ok := next.Lookup(runRecord(fmt.Sprint(n - 2)))
	if !first.ResultStored || !ok || !last.Ended || last.ResultStored {
		t.Errorf("first result stored: %v; last run ended: %v, result stored: %v", first.ResultStored, last.Ended, last.ResultStored)
	}
	now.advance(11*time.Second + 1)
	awaitSweep(t, c)
	b := runRecord("later")
	if b.ArrivedAt = now.Now(); recordStart(t, c, b) != nil {
		t.Error("no room after all records have expired")
	}
	long := runRecord("long")
	long.ArrivedAt = now.Now()
	if err := recordStart(t, c, long); err != nil {
		t.Fatal(err)
	}
	recordEnd(t, c, long, strings.Repeat("x", 20<<10)) // larger than limits.KeyStore.ResultBytes
	if got, ok := next.Lookup(long); !ok || !got.Ended || got.ResultStored {
		t.Errorf("a result that is too long: stored %+v, found %v", got.ResultStored, ok)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	now.advance(time.Hour)
	if err := recordStart(t, c, runRecord("z")); err == nil || errors.Is(err, node.ErrKeyHeld) {
		t.Errorf("without a folder: %v", err)
	}
}

// TestRejectsStartAfterClose checks that a closed Store rejects a start with ErrClosed.
func TestRejectsStartAfterClose(t *testing.T) {
	c := open(t, t.TempDir(), (&clock{now: start}).Now, nil)
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	called := make(chan error, 1)
	if err := c.RecordStart(runRecord("a"), func(err error) { called <- err }); !errors.Is(err, ErrClosed) {
		t.Errorf("a start after Close got %v, want ErrClosed", err)
	}
	if len(called) > 0 {
		t.Error("done was called for a rejected start")
	}
}
