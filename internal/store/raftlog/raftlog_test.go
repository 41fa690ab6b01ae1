package raftlog

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/ledger"
	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/ledger/simdisk"
	"sloehitch/internal/platform/limits"
)

var (
	smallLimits = limits.RaftLog{BatchBytes: 200, DeletionsPerFlush: 3, SnapshotPartBytes: 100, SnapshotsKept: 2}
	options     = ledger.Options{Limits: limits.ForLedger(1 << 20), Manual: true}
)

func open(t *testing.T, fs disk.FS) *Log { return openWith(t, fs, options) }

func openWith(t *testing.T, fs disk.FS, o ledger.Options) *Log {
	t.Helper()
	l, err := Open(fs, smallLimits, o)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func entry(index, term uint64) *raft.Log {
	return &raft.Log{Index: index, Term: term, Type: raft.LogCommand, Data: fmt.Appendf(nil, "entry %d of term %d", index, term), Extensions: []byte("x"), AppendedAt: time.Unix(0, int64(index))}
}

func (l *Log) expectEntries(t *testing.T, first, last, term uint64) {
	t.Helper()
	if f, _ := l.FirstIndex(); f != first {
		t.Errorf("the first entry is %d, want %d", f, first)
	}
	if n, _ := l.LastIndex(); n != last {
		t.Errorf("the last entry is %d, want %d", n, last)
	}
	for i := first; i <= last && i > 0; i++ {
		var e raft.Log
		want := entry(i, term)
		if err := l.GetLog(i, &e); err != nil || e.Term != term || e.Type != want.Type || !bytes.Equal(e.Data, want.Data) || !bytes.Equal(e.Extensions, want.Extensions) || !e.AppendedAt.Equal(want.AppendedAt) {
			t.Errorf("entry %d: %+v, %v", i, e, err)
		}
	}
}

// TestLogSurvivesRestart checks entries, deletions at both ends and raft's own values, before and after a restart.
func TestLogSurvivesRestart(t *testing.T) {
	fs := simdisk.New(1)
	l := open(t, fs)
	l.expectEntries(t, 0, 0, 0)
	var logs []*raft.Log
	for i := uint64(5); i < 40; i++ {
		logs = append(logs, entry(i, 2))
	}
	if err := errors.Join(l.StoreLogs(logs), l.StoreLog(entry(40, 2))); err != nil {
		t.Fatal(err)
	}
	if err := l.StoreLog(entry(42, 2)); !errors.Is(err, ErrNotContiguous) {
		t.Error("an entry after a gap was stored")
	}
	l.expectEntries(t, 5, 40, 2)
	if err := l.GetLog(4, &raft.Log{}); !errors.Is(err, raft.ErrLogNotFound) {
		t.Errorf("an entry that does not exist: %v", err)
	}
	if err := l.DeleteRange(10, 20); !errors.Is(err, ErrNotAtAnEnd) {
		t.Error("entries between others were deleted")
	}
	if err := errors.Join(l.DeleteRange(1, 9), l.DeleteRange(30, 99)); err != nil {
		t.Fatal(err)
	}
	l.expectEntries(t, 10, 29, 2)
	if _, err := l.Get([]byte("term")); err == nil || err.Error() != "not found" {
		t.Errorf("a value that does not exist: %v", err)
	}
	if err := errors.Join(l.SetUint64([]byte("term"), 7), l.Set([]byte("vote"), []byte("n1")), l.Close()); err != nil {
		t.Fatal(err)
	}
	l = open(t, fs)
	l.expectEntries(t, 10, 29, 2)
	if n, err := l.GetUint64([]byte("term")); n != 7 || err != nil {
		t.Errorf("term %d, %v", n, err)
	}
	if v, err := l.Get([]byte("vote")); string(v) != "n1" || err != nil {
		t.Errorf("vote %q, %v", v, err)
	}
	if err := l.DeleteRange(0, 100); err != nil {
		t.Fatal(err)
	}
	if err := l.StoreLog(entry(100, 3)); err != nil {
		t.Errorf("an entry after all were deleted: %v", err)
	}
	l.expectEntries(t, 100, 100, 3)
}

// TestKeepsNewestCompleteSnapshots checks that only complete snapshots are listed, that the newest ones are kept, that
// snapshots can be written concurrently, and that corrupt content is reported.
func TestKeepsNewestCompleteSnapshots(t *testing.T) {
	fs := simdisk.New(1)
	l := open(t, fs)
	unfinished := writeSnapshot(t, l, 9, 250) // still being written while others are completed
	for i := uint64(1); i <= 4; i++ {
		if err := writeSnapshot(t, l, i, int(i)*333).Close(); err != nil {
			t.Fatal(err)
		}
	}
	if err := writeSnapshot(t, l, 8, 300).Cancel(); err != nil {
		t.Fatal(err)
	}
	if err := unfinished.Close(); err != nil {
		t.Fatal(err)
	}
	writeSnapshot(t, l, 10, 400) // is never completed
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	l = open(t, fs)
	metas, err := l.Snapshots().List()
	if err != nil || len(metas) != 2 || metas[0].Index != 9 || metas[1].Index != 4 || metas[1].Size != 1332 || metas[0].Configuration.Servers[0].ID != "n1" {
		t.Fatalf("snapshots after a restart: %+v, %v", metas, err)
	}
	for _, m := range metas {
		text, err := readSnapshot(t, l, m.ID)
		if err != nil || !bytes.Equal(text, bytes.Repeat([]byte{byte(m.Index)}, int(m.Size))) {
			t.Errorf("snapshot %d: %d bytes, %v", m.Index, len(text), err)
		}
	}
	if n := l.Ledger().Stats().Keys; n != 2+3+14 { // descriptions and parts of the kept snapshots; nothing remains of the others
		t.Errorf("%d keys in the ledger, want 19", n)
	}
	if err := l.Ledger().Put(partKey(metas[0].ID, 1), make([]byte, 100), time.Time{}); err != nil {
		t.Fatal(err)
	}
	if _, err := readSnapshot(t, l, metas[0].ID); !errors.Is(err, ErrCorruptSnapshot) {
		t.Error("a corrupt snapshot was read without an error")
	}
}

// writeSnapshot begins a snapshot and writes size bytes to it, all equal to its index.
func writeSnapshot(t *testing.T, l *Log, index uint64, size int) raft.SnapshotSink {
	t.Helper()
	s, err := l.Snapshots().Create(1, index, 2, raft.Configuration{Servers: []raft.Server{{ID: "n1"}}}, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Write(bytes.Repeat([]byte{byte(index)}, size)); err != nil {
		t.Fatal(err)
	}
	return s
}

func readSnapshot(t *testing.T, l *Log, id string) (text []byte, err error) {
	t.Helper()
	_, from, err := l.Snapshots().Open(id)
	if err != nil {
		t.Fatal(err)
	}
	text, err = io.ReadAll(from)
	if err := from.Close(); err != nil {
		t.Error(err)
	}
	return text, err
}

// TestPowerLossKeepsAcknowledgedChanges cuts the power at random file operations of a random workload. It checks that
// acknowledged changes are present, that entries have no gap, and that the term does not decrease.
func TestPowerLossKeepsAcknowledgedChanges(t *testing.T) {
	for seed := range uint64(300) {
		if violation := simulatePowerLoss(t, seed, options); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

// TestDetectsEarlyAcknowledgement checks that TestPowerLossKeepsAcknowledgedChanges would detect a log that
// acknowledges entries before they are durable.
func TestDetectsEarlyAcknowledgement(t *testing.T) {
	delayedFlush := options
	delayedFlush.FlushInterval = time.Hour
	for seed := range uint64(20) {
		if simulatePowerLoss(t, seed, delayedFlush) != "" {
			t.Logf("acknowledged before durable: detected by seed %d", seed)
			return
		}
	}
	t.Error("acknowledged before durable: not detected within 20 seeds")
}

// simulatePowerLoss runs the workload of a seed with a power cut, and returns the first violation, or "" if there is none.
func simulatePowerLoss(t *testing.T, seed uint64, o ledger.Options) string {
	r := rand.New(rand.NewPCG(seed, 5))
	fs := simdisk.New(seed)
	l := openWith(t, fs, o)
	failingOperation := fs.OperationCount + 1 + r.IntN(60)
	fs.InjectFault = func(n int, _ simdisk.Op, _ string) simdisk.Fault {
		if n == failingOperation {
			return simdisk.FaultPowerLoss
		}
		return simdisk.FaultNone
	}
	var first, last, term uint64 // acknowledged state
	pendingFirst, pendingLast, pendingTerm := uint64(0), uint64(0), uint64(0)
	for range 40 {
		var err error
		pendingFirst, pendingLast, pendingTerm = first, last, term // state that is allowed if the power fails during this change
		switch k := r.IntN(4); {
		case k < 2:
			var logs []*raft.Log
			from := last + 1
			for i := range uint64(1 + r.IntN(12)) {
				logs = append(logs, entry(from+i, 1))
			}
			pendingLast = from + uint64(len(logs)) - 1
			if pendingFirst == 0 {
				pendingFirst = from
			}
			if err = l.StoreLogs(logs); err == nil {
				first, last = pendingFirst, pendingLast
			}
		case k == 2 && last > first:
			pendingFirst = first + uint64(r.IntN(int(last-first)))
			if err = l.DeleteRange(0, pendingFirst-1); err == nil {
				first = pendingFirst
			}
		default:
			pendingTerm = term + 1
			if err = l.Set([]byte("term"), binary.BigEndian.AppendUint64(nil, pendingTerm)); err == nil { // not SetUint64, which retries until the disk works
				term = pendingTerm
			}
		}
		if err != nil {
			break
		}
	}
	_ = l.Close() // fails after a power cut
	l = openWith(t, fs.LosePower(seed), o)
	defer func() { _ = l.Close() }() // the directory is not used again
	f, _ := l.FirstIndex()
	n, _ := l.LastIndex()
	if n < last || n > pendingLast || f < first && first > 0 || f > pendingFirst {
		return fmt.Sprintf("entries %d to %d are stored, %d to %d were acknowledged", f, n, first, last)
	}
	l.expectEntries(t, f, n, 1)
	if got, _ := l.GetUint64([]byte("term")); got < term || got > pendingTerm {
		return fmt.Sprintf("term %d is stored, term %d was acknowledged", got, term)
	}
	return ""
}
