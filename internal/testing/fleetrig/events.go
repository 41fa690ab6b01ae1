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

// processEvent is an event that a node's process wrote.
type processEvent struct {
	Node int
	faulthooks.Event
}

// events reads the events of all processes, sorted by the machine's clock. It ignores an incomplete line, which a killed process may leave.
func (f *testFleet) events() (all []processEvent, err error) {
	for i := range f.Nodes {
		file, err := os.Open(filepath.Join(f.hookDir(i), "events"))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			e := processEvent{Node: i}
			if json.Unmarshal(lines.Bytes(), &e.Event) == nil {
				all = append(all, e)
			}
		}
		if err := errors.Join(lines.Err(), file.Close()); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(all, func(a, b processEvent) int { return int(a.At - b.At) })
	return all, nil
}
