package experiment

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"

	"sloehitch/internal/emulator"
)

// The names in a folder of results.
const (
	runsDir        = "runs" // one file for each completed run
	rowsFile       = "rows.csv"
	provenanceFile = "about.json"
	experimentFile = "experiment.toml"
	partSuffix     = ".part" // suffix of a file until it is complete
)

// job describes one run.
type job struct {
	point Point
	arm   Arm
	seed  uint64
}

// jobs returns all runs of an experiment in the order of their rows.
func (f *File) jobs() (all []job) {
	for _, p := range f.Points() {
		for _, a := range f.Arms {
			for seed := range uint64(f.Seeds) {
				all = append(all, job{p, a, seed + 1})
			}
		}
	}
	return all
}

// provenance identifies the experiment and the program version that produced a folder's results.
type provenance struct {
	Experiment string `json:"experiment"`
	Digest     string `json:"digest"`
	Version    string `json:"version"`
}

// Options are the options of File.Run.
type Options struct {
	Dir      string // folder for the results
	Workers  int    // runs at the same time; below 1 stands for 1
	Version  string // of the program
	Progress func(done, all int)
}

// ErrOtherExperiment is returned if the folder holds the results of another experiment or program version.
var ErrOtherExperiment = errors.New("the folder holds results of another experiment or version")

// Run makes all runs that the folder does not hold yet and then writes rows.csv, whose content doesn't depend on the number
// of workers. It returns an error that wraps ErrOtherExperiment, the error of the first run that fails or violates an
// invariant, or the cause of ctx when that is done. Completed runs are stored, and a later call resumes after them.
func (f *File) Run(ctx context.Context, o Options) error {
	runs := filepath.Join(o.Dir, runsDir)
	if err := os.MkdirAll(runs, 0o755); err != nil {
		return err
	}
	if err := f.claimFolder(o); err != nil {
		return err
	}
	all := f.jobs()
	done, err := f.runJobs(ctx, all, runs, o)
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return fmt.Errorf("interrupted after %d of %d runs: run it again with the same folder to resume: %w", done, len(all), context.Cause(ctx))
	}
	return f.mergeRows(o.Dir, runs, len(all))
}

// runJobs makes the runs with o.Workers workers until ctx is done or a run fails. It returns the number of runs made.
func (f *File) runJobs(ctx context.Context, all []job, runs string, o Options) (done int, err error) {
	var mu sync.Mutex
	var errs []error
	var workers sync.WaitGroup
	next := make(chan int)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for range max(1, o.Workers) {
		workers.Go(func() {
			for i := range next {
				err := f.runAndStore(runFile(runs, i), all[i])
				mu.Lock()
				if done++; err != nil {
					errs = append(errs, err)
					cancel()
				} else if o.Progress != nil {
					o.Progress(done, len(all))
				}
				mu.Unlock()
			}
		})
	}
	feedJobs(ctx, next, len(all))
	workers.Wait()
	return done, errors.Join(errs...)
}

// feedJobs sends the indices of n jobs until ctx is done, and closes the channel.
func feedJobs(ctx context.Context, next chan<- int, n int) {
	defer close(next)
	for i := range n {
		select {
		case next <- i:
		case <-ctx.Done():
			return
		}
	}
}

func runFile(runs string, i int) string { return filepath.Join(runs, fmt.Sprintf("%06d.csv", i)) }

// claimFolder writes the provenance and the experiment file into a new folder. It returns ErrOtherExperiment if the folder
// has a different provenance.
func (f *File) claimFolder(o Options) error {
	path := filepath.Join(o.Dir, provenanceFile)
	current := provenance{f.Name, f.Digest(), o.Version}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		text, err := json.MarshalIndent(current, "", " ")
		if err != nil {
			return err
		}
		return errors.Join(os.WriteFile(path, append(text, '\n'), 0o644), os.WriteFile(filepath.Join(o.Dir, experimentFile), f.text, 0o644))
	}
	var found provenance
	if err != nil || json.Unmarshal(text, &found) != nil || found != current {
		return fmt.Errorf("%s: %w: use another folder, or remove this one", o.Dir, ErrOtherExperiment)
	}
	return nil
}

// runAndStore makes one run and stores its rows, unless they are stored already.
func (f *File) runAndStore(path string, j job) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	rows, err := f.simulate(j)
	if err != nil {
		return err
	}
	var records [][]string
	for _, r := range rows {
		records = append(records, r.record())
	}
	out, err := os.Create(path + partSuffix)
	if err != nil {
		return err
	}
	if err := errors.Join(csv.NewWriter(out).WriteAll(records), out.Close()); err != nil {
		return err
	}
	return os.Rename(path+partSuffix, path)
}

// simulate makes one run.
func (f *File) simulate(j job) ([]Row, error) {
	w, err := f.emulatorWorld(j.point, j.arm, j.seed)
	if err != nil {
		return nil, err
	}
	r, err := emulator.Run(w)
	if err != nil {
		return nil, err
	}
	if len(r.Violations) > 0 && j.arm.Policy == daemonPolicy { // the other policies don't guarantee the invariants
		return nil, fmt.Errorf("arm %q, %s: %w", j.arm.Name, j.point, r.Violations[0])
	}
	return j.rows(w, r), nil
}

// daemonPolicy is the policy that must not violate the invariants.
const daemonPolicy = "sloehitch"

// mergeRows merges the rows of n runs into rows.csv.
func (f *File) mergeRows(dir, runs string, n int) error {
	path := filepath.Join(dir, rowsFile)
	out, err := os.Create(path + partSuffix)
	if err != nil {
		return err
	}
	w := csv.NewWriter(out)
	err = w.Write(columns)
	for i := range n {
		records, readErr := readCSV(runFile(runs, i))
		err = errors.Join(err, readErr, w.WriteAll(records))
	}
	if err := errors.Join(err, out.Close()); err != nil {
		return err
	}
	return os.Rename(path+partSuffix, path)
}
