package experiment

import (
	"encoding/csv"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"sloehitch/internal/emulator"
)

// Trace makes one run of the given arm and load and returns all steps of its requests. An empty arm or a load of 0 stands
// for the first one. Trace returns an error if the experiment has no such arm and load.
func (f *File) Trace(arm string, load float64, seed uint64) (steps []emulator.Step, err error) {
	for _, j := range f.jobs() {
		if arm != "" && j.arm.Name != arm || load != 0 && j.point.Load != load {
			continue
		}
		w, err := f.emulatorWorld(j.point, j.arm, seed)
		if err != nil {
			return nil, err
		}
		w.OnStep = func(s emulator.Step) { steps = append(steps, s) }
		_, err = emulator.Run(w)
		return steps, err
	}
	return nil, fmt.Errorf("the experiment has no arm %q at a load of %v", arm, load)
}

// Compare runs the daemon's policy twice at each point and seed: in the emulator, and with real processes by runDaemons.
// Runs are made one after the other. Compare writes the rows, of arms "emulator" and "daemon", into dir. It calls
// onViolation for each invariant that the real processes violated, which a slow machine can cause.
func (f *File) Compare(dir string, seeds int, runDaemons func(emulator.World) (*emulator.Result, error), onViolation func(*emulator.Violation)) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := f.claimFolder(Options{Dir: dir, Version: "against real daemons"}); err != nil {
		return err
	}
	records := [][]string{columns}
	for _, p := range f.Points() {
		for seed := range uint64(seeds) {
			rows, err := f.compareOne(job{p, Arm{Name: "emulator", Policy: daemonPolicy}, seed + 1}, runDaemons, onViolation)
			if err != nil {
				return err
			}
			for _, row := range rows {
				records = append(records, row.record())
			}
		}
	}
	out, err := os.Create(filepath.Join(dir, rowsFile))
	if err != nil {
		return err
	}
	return errors.Join(csv.NewWriter(out).WriteAll(records), out.Close())
}

// compareOne makes a run in the emulator and one with real processes, and returns the rows of both.
func (f *File) compareOne(j job, runDaemons func(emulator.World) (*emulator.Result, error), onViolation func(*emulator.Violation)) ([]Row, error) {
	rows, err := f.simulate(j)
	if err != nil {
		return nil, err
	}
	w, err := f.emulatorWorld(j.point, j.arm, j.seed)
	if err != nil {
		return nil, err
	}
	r, err := runDaemons(w)
	if err != nil {
		return nil, fmt.Errorf("%s, seed %d: %w", j.point, j.seed, err)
	}
	for _, v := range r.Violations {
		onViolation(v)
	}
	j.arm.Name = "daemon"
	return append(rows, j.rows(w, r)...), nil
}
