package keep

import (
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"sloehitch/internal/handover"
)

// TestWrite: whoever reads while three processes write finds one snapshot, whole; a folder that can't be written leaves
// the one before in place and no part of a new one.
func TestWrite(t *testing.T) {
	dir := t.TempDir()
	path := Path(dir, "n1")
	if _, err := Read(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("none yet: %v", err)
	}
	var writers sync.WaitGroup
	for process := range 3 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			for range 50 {
				if err := Write(path, handover.Snapshot{Node: "n1", Process: process}); err != nil {
					t.Error(err)
				}
				if s, err := Read(path); err != nil || s.Node != "n1" {
					t.Errorf("while others write: %+v, %v", s, err)
				}
			}
		}()
	}
	writers.Wait()
	// What a process killed midway left does no harm, to its successor of the same number either.
	if err := os.WriteFile(path+".3", []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Write(path, handover.Snapshot{Node: "n1", Process: 3}); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(path+".4", 0o700); err != nil { // it can't be written
		t.Fatal(err)
	}
	if err := Write(path, handover.Snapshot{Node: "n1", Process: 4}); err == nil {
		t.Error("no error where it can't be written")
	}
	if s, err := Read(path); err != nil || s.Process != 3 {
		t.Errorf("the one before: %+v, %v", s, err)
	}
	if left, _ := filepath.Glob(path + ".*"); len(left) != 0 {
		t.Errorf("left: %v", left)
	}
}
