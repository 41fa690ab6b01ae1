// Package snapshotfile reads and writes the file with which a process passes a snapshot to the process that replaces it.
package snapshotfile

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"sloehitch/internal/handover"
)

// Path returns the path of a node's snapshot file in dir, the directory that the node's processes share.
func Path(dir, name string) string { return filepath.Join(dir, "sloehitch-"+name+"-learned") }

// Write replaces the snapshot file atomically: a concurrent reader, or one after a kill during Write, finds either the
// previous or the new snapshot. The file is not flushed to disk, as it only has to survive the process, not the machine.
func Write(path string, s handover.Snapshot) error {
	text, err := handover.Marshal(s)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	// Each call writes its own temporary file, since several calls may run at once, in one process or in two.
	next, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	_, err = next.Write(text)
	if err = errors.Join(err, next.Close()); err == nil {
		err = os.Rename(next.Name(), path)
	}
	if err != nil { // remove the incomplete file, as the disk may be full
		return errors.Join(fmt.Errorf("snapshot: %w", err), os.Remove(next.Name()))
	}
	return nil
}

// Read reads the snapshot file. It returns os.ErrNotExist if there is none.
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
