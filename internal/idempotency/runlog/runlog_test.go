package runlog

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/ledger"
	"sloehitch/internal/ledger/simdisk"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

var at = time.UnixMicro(1764576000123456)

func open(t *testing.T, fs *simdisk.FS) (*ledger.Store, *Log) {
	t.Helper()
	s, err := ledger.Open(fs, ledger.Options{Limits: limits.ForLedger(1 << 20), Manual: true, Now: func() time.Time { return at }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s, New(s, time.Second, 0, standin.Quiet)
}

func booking(key string) node.RunRecord {
	return node.RunRecord{Key: key, Class: "book", Fingerprint: [32]byte{1, 31: 2}, ArrivedAt: at, Window: time.Minute, RequestID: "\xff" + key, Protocol: "resp"}
}

func began(t *testing.T, r *Log, key string) {
	t.Helper()
	done := make(chan error, 1)
	if err := r.RecordStart(booking(key), func(err error) { done <- err }); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func all(t *testing.T, r *Log) (list string) {
	t.Helper()
	if err := r.ForEach(func(b node.RunRecord) {
		want := booking(b.Key)
		want.Ended, want.Succeeded, want.ResultStored, want.Result = b.Ended, b.Succeeded, b.ResultStored, b.Result
		if !reflect.DeepEqual(b, want) {
			t.Errorf("%+v, want %+v", b, want)
		}
		list += fmt.Sprintf("%q %v %v %v %q, ", b.Key, b.Ended, b.Succeeded, b.ResultStored, b.Result)
	}); err != nil {
		t.Fatal(err)
	}
	return list
}

// TestRecord: what was on record is there after a cut and no more.
func TestRecord(t *testing.T) {
	fs := simdisk.New(1)
	s, r := open(t, fs)
	for _, key := range []string{"a", "b\x00\xff", "c", "d"} {
		began(t, r, key)
	}
	ended := booking("a")
	ended.Ended, ended.Succeeded, ended.ResultStored, ended.Result = true, true, true, []byte("\x00r\xff")
	r.RecordEnd(ended)
	ended = booking("d")
	ended.Ended = true
	r.RecordEnd(ended)
	r.Withdraw(booking("c"))
	if err := s.Put([]byte("other/x"), []byte("not ours"), time.Time{}); err != nil { // in order, so all before is durable
		t.Fatal(err)
	}
	_, r = open(t, fs.Cut(1))
	const want = `"a" true true true "\x00r\xff", "b\x00\xff" false false false "", "d" true false false "", `
	if got := all(t, r); got != want {
		t.Errorf("%s, want %s", got, want)
	}
}

// TestNoRoom: an end or a withdrawal that finds no room is written later, but never behind a newer start of its key.
func TestNoRoom(t *testing.T) {
	fs := simdisk.New(1)
	s, r := open(t, fs)
	for _, key := range []string{"a", "b"} {
		began(t, r, key)
	}
	fs.Room = 1
	done := make(chan error, 1)
	if err := r.RecordStart(booking("c"), func(err error) { done <- err }); err != nil {
		t.Fatal(err)
	}
	if err := <-done; !errors.Is(err, ledger.ErrFull) {
		t.Errorf("a start on a full disk: %v", err)
	}
	r.Withdraw(booking("a"))
	r.Withdraw(booking("b"))
	standin.WaitFor(t, "both have failed", func() bool { r.mu.Lock(); defer r.mu.Unlock(); return len(r.failedWrites) == 2 })
	fs.Room = 0
	began(t, r, "b")
	r.RetryFailed()
	if err := s.Sync(); err != nil {
		t.Fatal(err)
	}
	if got := all(t, r); got != `"b" false false false "", ` {
		t.Errorf("%s", got)
	}
}

// TestLateFailure: a withdrawal that turns out to have failed while a newer start of its key is on its way is not tried again: it would have
// that start forgotten.
func TestLateFailure(t *testing.T) {
	_, r := open(t, simdisk.New(1))
	withdrawal := &ledger.Batch{}
	withdrawal.Delete([]byte(keyPrefix + "a"))
	r.newestWrite["a"] = withdrawal // on its way
	hold, entered := make(chan struct{}), make(chan struct{})
	if err := r.RecordStart(booking("first"), func(error) { close(entered); <-hold }); err != nil { // keeps later answers back
		t.Fatal(err)
	}
	<-entered
	done := make(chan error, 1)
	if err := r.RecordStart(booking("a"), func(err error) { done <- err }); err != nil {
		t.Fatal(err)
	}
	r.writeReturned("a", withdrawal, ledger.ErrNotWritten)
	r.RetryFailed()
	close(hold)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	r.RetryFailed()
	if err := r.store.Sync(); err != nil {
		t.Fatal(err)
	}
	if got := all(t, r); !strings.Contains(got, `"a" false`) || len(r.newestWrite)+len(r.failedWrites) != 0 {
		t.Errorf("%s; %d on their way, %d to be tried again", got, len(r.newestWrite), len(r.failedWrites))
	}
}

// TestBadRecord: a record that can't be read is an error, not a booking less.
func TestBadRecord(t *testing.T) {
	s, r := open(t, simdisk.New(1))
	for _, value := range []string{"\xff\xff", "", "\x08\x01"} {
		if err := s.Put([]byte(keyPrefix+"k"), []byte(value), time.Time{}); err != nil {
			t.Fatal(err)
		}
		if err := r.ForEach(func(node.RunRecord) {}); err == nil || !strings.Contains(err.Error(), `"k"`) {
			t.Errorf("%q: %v", value, err)
		}
	}
}
