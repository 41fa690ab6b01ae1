package fleetrig

import (
	"bufio"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"sloehitch/internal/testing/faulthooks"
)

// told is an event with the node that told it.
type told struct {
	Node int
	faulthooks.Event
}

// events reads what all processes have told, in the order of the machine's clock. A last line that a killed process left unfinished
// is passed over.
func (f *processes) events() (all []told, err error) {
	for i := range f.Nodes {
		file, err := os.Open(filepath.Join(f.trial(i), "events"))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			e := told{Node: i}
			if json.Unmarshal(lines.Bytes(), &e.Event) == nil {
				all = append(all, e)
			}
		}
		if err := errors.Join(lines.Err(), file.Close()); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(all, func(a, b told) int { return int(a.At - b.At) })
	return all, nil
}
