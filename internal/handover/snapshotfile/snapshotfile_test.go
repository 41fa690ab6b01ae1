package snapshotfile

import (
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"sloehitch/internal/handover"
)

// TestConcurrentWritesLeaveCompleteSnapshot checks that a reader finds a complete snapshot while three writers, two
// of them with the same process id, replace the file, and that a failed write leaves no temporary file behind.
func TestConcurrentWritesLeaveCompleteSnapshot(t *testing.T) {
	dir := t.TempDir()
	path := Path(dir, "n1")
	if _, err := Read(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("read before the first write: %v, want os.ErrNotExist", err)
	}
	var writers sync.WaitGroup
	for process := range 3 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			for range 50 {
				if err := Write(path, handover.Snapshot{Node: "n1", Process: process / 2}); err != nil {
					t.Error(err)
				}
				if s, err := Read(path); err != nil || s.Node != "n1" {
					t.Errorf("read while others write: %+v, %v, want a complete snapshot", s, err)
				}
			}
		}()
	}
	writers.Wait()
	if err := Write(path, handover.Snapshot{Node: "n1", Process: 3}); err != nil {
		t.Fatal(err)
	}
	if s, err := Read(path); err != nil || s.Process != 3 {
		t.Errorf("read after the last write: %+v, %v, want that of process 3", s, err)
	}
	directory := filepath.Join(dir, "taken")
	if err := os.Mkdir(directory, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Write(directory, handover.Snapshot{Node: "n1", Process: 4}); err == nil {
		t.Error("no error from a write to a path that is a directory")
	}
	if err := Write(filepath.Join(dir, "none", "n1"), handover.Snapshot{Node: "n1", Process: 4}); err == nil {
		t.Error("no error from a write to a directory that does not exist")
	}
	if leftover, _ := filepath.Glob(filepath.Join(dir, "*.*")); len(leftover) != 0 {
		t.Errorf("temporary files were left behind: %v", leftover)
	}
}
