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

var arrivedAt = time.UnixMicro(1764576000123456)

func open(t *testing.T, fs *simdisk.FS) (*ledger.Store, *Log) {
	t.Helper()
	s, err := ledger.Open(fs, ledger.Options{Limits: limits.ForLedger(1 << 20), Manual: true, Now: func() time.Time { return arrivedAt }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	return s, New(s, time.Second, 0, standin.DiscardLogger)
}

func runRecord(key string) node.RunRecord {
	return node.RunRecord{Key: key, Class: "book", Fingerprint: [32]byte{1, 31: 2}, ArrivedAt: arrivedAt, Window: time.Minute, RequestID: "\xff" + key, Protocol: "resp"}
}

// recordStart records a start and waits until it is durable.
func recordStart(t *testing.T, l *Log, key string) {
	t.Helper()
	done := make(chan error, 1)
	if err := l.RecordStart(runRecord(key), func(err error) { done <- err }); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// readAll returns the records as text, and checks the fields that are the same in all records.
func readAll(t *testing.T, l *Log) (list string) {
	t.Helper()
	if err := l.ForEach(func(record node.RunRecord) {
		want := runRecord(record.Key)
		want.Ended, want.Succeeded, want.ResultStored, want.Result = record.Ended, record.Succeeded, record.ResultStored, record.Result
		if !reflect.DeepEqual(record, want) {
			t.Errorf("record %+v, want %+v", record, want)
		}
		list += fmt.Sprintf("%q %v %v %v %q, ", record.Key, record.Ended, record.Succeeded, record.ResultStored, record.Result)
	}); err != nil {
		t.Fatal(err)
	}
	return list
}

// TestRecordsSurvivePowerLoss checks that after a power cut the log contains exactly what was recorded.
func TestRecordsSurvivePowerLoss(t *testing.T) {
	fs := simdisk.New(1)
	s, l := open(t, fs)
	for _, key := range []string{"a", "b\x00\xff", "c", "d"} {
		recordStart(t, l, key)
	}
	ended := runRecord("a")
	ended.Ended, ended.Succeeded, ended.ResultStored, ended.Result = true, true, true, []byte("\x00r\xff")
	l.RecordEnd(ended)
	ended = runRecord("d")
	ended.Ended = true
	l.RecordEnd(ended)
	l.Withdraw(runRecord("c"))
	if err := s.Put([]byte("other/x"), []byte("not ours"), time.Time{}); err != nil { // written in order, so all earlier writes are durable
		t.Fatal(err)
	}
	_, l = open(t, fs.LosePower(1))
	const want = `"a" true true true "\x00r\xff", "b\x00\xff" false false false "", "d" true false false "", `
	if got := readAll(t, l); got != want {
		t.Errorf("records after the power cut: %s, want %s", got, want)
	}
}

// TestRetriesFailedWritesExceptSuperseded checks that an end or a withdrawal that fails on a full disk is written
// later, but never after a newer start of its key.
func TestRetriesFailedWritesExceptSuperseded(t *testing.T) {
	fs := simdisk.New(1)
	s, l := open(t, fs)
	for _, key := range []string{"a", "b"} {
		recordStart(t, l, key)
	}
	fs.CapacityBytes = 1
	done := make(chan error, 1)
	if err := l.RecordStart(runRecord("c"), func(err error) { done <- err }); err != nil {
		t.Fatal(err)
	}
	if err := <-done; !errors.Is(err, ledger.ErrDiskFull) {
		t.Errorf("a start on a full disk: %v", err)
	}
	l.Withdraw(runRecord("a"))
	l.Withdraw(runRecord("b"))
	standin.WaitFor(t, "both writes to fail", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return len(l.failedWrites) == 2 })
	fs.CapacityBytes = 0
	recordStart(t, l, "b")
	l.RetryFailed()
	if err := s.Sync(); err != nil {
		t.Fatal(err)
	}
	if got := readAll(t, l); got != `"b" false false false "", ` {
		t.Errorf("records after the retry: %s", got)
	}
}

// TestDoesNotRepeatSupersededWithdrawal checks that a withdrawal is not repeated if its failure becomes known only
// while a newer start of its key is being written: the repeated withdrawal would remove that start.
func TestDoesNotRepeatSupersededWithdrawal(t *testing.T) {
	_, l := open(t, simdisk.New(1))
	withdrawal := &ledger.Batch{}
	withdrawal.Delete([]byte(keyPrefix + "a"))
	l.newestWrite["a"] = withdrawal // being written
	release, entered := make(chan struct{}), make(chan struct{})
	if err := l.RecordStart(runRecord("first"), func(error) { close(entered); <-release }); err != nil { // delays later callbacks
		t.Fatal(err)
	}
	<-entered
	done := make(chan error, 1)
	if err := l.RecordStart(runRecord("a"), func(err error) { done <- err }); err != nil {
		t.Fatal(err)
	}
	l.writeReturned("a", withdrawal, ledger.ErrNotWritten)
	l.RetryFailed()
	close(release)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	l.RetryFailed()
	if err := l.store.Sync(); err != nil {
		t.Fatal(err)
	}
	if got := readAll(t, l); !strings.Contains(got, `"a" false`) || len(l.newestWrite)+len(l.failedWrites) != 0 {
		t.Errorf("%s; %d writes in progress, %d to be retried", got, len(l.newestWrite), len(l.failedWrites))
	}
}

// TestForEachFailsOnCorruptRecord checks that a record that can't be decoded is an error and is not skipped.
func TestForEachFailsOnCorruptRecord(t *testing.T) {
	s, l := open(t, simdisk.New(1))
	for _, value := range []string{"\xff\xff", "", "\x08\x01"} {
		if err := s.Put([]byte(keyPrefix+"k"), []byte(value), time.Time{}); err != nil {
			t.Fatal(err)
		}
		if err := l.ForEach(func(node.RunRecord) {}); err == nil || !strings.Contains(err.Error(), `"k"`) {
			t.Errorf("value %q: ForEach returned %v", value, err)
		}
	}
}

// TestStoredFormat checks the bytes in the ledger, which other versions of this program read.
func TestStoredFormat(t *testing.T) {
	s, l := open(t, simdisk.New(1))
	recordStart(t, l, "a")
	ended := runRecord("b")
	ended.Ended, ended.Succeeded, ended.ResultStored, ended.Result = true, true, true, []byte("r")
	l.RecordEnd(ended)
	if err := s.Sync(); err != nil {
		t.Fatal(err)
	}
	var got []string
	if err := s.Scan([]byte("booking/"), func(p ledger.Pair) error {
		got = append(got, fmt.Sprintf("%s %x", p.Key, p.Value))
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	want := []string{
		"booking/a 08011204626f6f6b1a20010000000000000000000000000000000000000000000000000000000000000220c0c4aaedf59b91032a02ff6138808ece1c520472657370",
		"booking/b 08021204626f6f6b1a20010000000000000000000000000000000000000000000000000000000000000220c0c4aaedf59b91032a02ff62300138808ece1c40014a0172520472657370",
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("stored records %s, want %s", got, want)
	}
}
