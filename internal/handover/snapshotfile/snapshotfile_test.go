package snapshotfile

import (
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"sloehitch/internal/handover"
)

// TestWrite: whoever reads while three write, two of them under one process id, finds one complete snapshot; one that
// can't be put in its place leaves no part of itself.
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
				if err := Write(path, handover.Snapshot{Node: "n1", Process: process / 2}); err != nil {
					t.Error(err)
				}
				if s, err := Read(path); err != nil || s.Node != "n1" {
					t.Errorf("while others write: %+v, %v", s, err)
				}
			}
		}()
	}
	writers.Wait()
	if err := Write(path, handover.Snapshot{Node: "n1", Process: 3}); err != nil {
		t.Fatal(err)
	}
	if s, err := Read(path); err != nil || s.Process != 3 {
		t.Errorf("the last one written: %+v, %v", s, err)
	}
	taken := filepath.Join(dir, "taken")
	if err := os.Mkdir(taken, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Write(taken, handover.Snapshot{Node: "n1", Process: 4}); err == nil {
		t.Error("no error where it can't be put in its place")
	}
	if err := Write(filepath.Join(dir, "none", "n1"), handover.Snapshot{Node: "n1", Process: 4}); err == nil {
		t.Error("no error where there is no folder")
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "*.*")); len(left) != 0 {
		t.Errorf("left: %v", left)
	}
}
