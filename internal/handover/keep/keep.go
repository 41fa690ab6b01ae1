// Package keep holds the file in which a process leaves a snapshot for the one that replaces it.
package keep

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"sloehitch/internal/handover"
)

// Path is the file of a node in dir, which its processes share.
func Path(dir, name string) string { return filepath.Join(dir, "sloehitch-"+name+"-learned") }

// Write puts a snapshot in the file's place. Whoever reads at the same time, or after a kill midway, finds the one
// before or the new one, whole. Nothing is flushed to a disk: the file is to outlive a process, not a machine.
func Write(path string, s handover.Snapshot) error {
	text, err := handover.Marshal(s)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	// Each process has a name of its own for the new one: three may write at once.
	next := fmt.Sprintf("%s.%d", path, s.Process)
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return errors.Join(fmt.Errorf("snapshot: %w", err), remove(next)) // a full folder: leave no part of it
	}
	if err := os.Rename(next, path); err != nil {
		return errors.Join(fmt.Errorf("snapshot: %w", err), remove(next))
	}
	return nil
}

func remove(path string) error {
	if err := os.Remove(path); !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return nil
}

// Read reads the file. Where there is none the error is os.ErrNotExist.
func Read(path string) (handover.Snapshot, error) {
	f, err := os.Open(path)
	if err != nil {
		return handover.Snapshot{}, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, handover.MostBytes+1))
	if err != nil {
		return handover.Snapshot{}, fmt.Errorf("snapshot: %w", err)
	}
	return handover.Unmarshal(text)
}
