// Package snapshotfile reads and writes the file in which a process leaves a snapshot for the one that replaces it.
package snapshotfile

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"sloehitch/internal/handover"
)

// Path returns the path of a node's file in dir, which its processes share.
func Path(dir, name string) string { return filepath.Join(dir, "sloehitch-"+name+"-learned") }

// Write replaces the file. Whoever reads at the same time, or after a kill midway, finds the snapshot before or the
// new one, never a part. Nothing is flushed to disk: the file is to outlive a process, not a machine.
func Write(path string, s handover.Snapshot) error {
	text, err := handover.Marshal(s)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	// Each writer has a file of its own: several may write at once, in one process or in two.
	next, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	_, err = next.Write(text)
	if err = errors.Join(err, next.Close()); err == nil {
		err = os.Rename(next.Name(), path)
	}
	if err != nil { // leave no part of it in a full folder
		return errors.Join(fmt.Errorf("snapshot: %w", err), os.Remove(next.Name()))
	}
	return nil
}

// Read reads the file. Where there is none the error is os.ErrNotExist.
func Read(path string) (handover.Snapshot, error) {
	f, err := os.Open(path)
	if err != nil {
		return handover.Snapshot{}, err
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, handover.MaxSnapshotBytes+1))
	if err != nil {
		return handover.Snapshot{}, fmt.Errorf("snapshot: %w", err)
	}
	return handover.Unmarshal(text)
}
