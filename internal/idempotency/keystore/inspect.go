package keystore

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"sloehitch/internal/idempotency/keystore/format"
	"sloehitch/internal/idempotency/keystore/keystate"
)

// Inspect returns one line of text for each process that has joined dir or has records in it: whether the process is
// alive, the number and size of its segments, the keys that it holds as of now, and how many of those have runs without
// a recorded end. It waits for the folder's lock and changes nothing. It is for operators only.
func Inspect(dir string, now time.Time) ([]string, error) {
	f := &folder{dir: dir}
	if _, err := os.Stat(dir); errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var err error
	if f.lockFile, err = os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR, 0); err == nil {
		err = f.acquireLock()
	}
	if err != nil {
		return nil, fmt.Errorf("keystore: %w", err)
	}
	defer f.close()
	found, owners, err := f.listPeers()
	if err != nil {
		return nil, fmt.Errorf("keystore: %w", err)
	}
	for _, seg := range found {
		owners = append(owners, seg.owner)
	}
	slices.Sort(owners)
	owners = slices.Compact(owners)
	table := keystate.New()
	numbers := map[string]int{}
	segments, bytes := map[string]int{}, map[string]int64{}
	buffer := make([]byte, readBufferSize)
	for n, name := range owners {
		numbers[name] = n
	}
	for n, seg := range found {
		err = errors.Join(err, seg.read(buffer, true, func(r format.Record, _, _ int64) {
			table.Apply(numbers[seg.owner], r, keystate.Location{Segment: n})
		}))
		seg.closeFile()
		segments[seg.owner]++
		bytes[seg.owner] += seg.size
	}
	counts := table.CountByOwner(now.UnixNano())
	var lines []string
	for n, name := range owners {
		state := "lives"
		if f.hasExited(name) {
			state = "has ended"
		}
		const line = "%s: process %s %s: %d segments, %d bytes, %d keys, %d of them run or have no known end"
		lines = append(lines, fmt.Sprintf(line,
			dir, name, state, segments[name], bytes[name], counts[n].Keys, counts[n].Running))
	}
	return lines, err
}
