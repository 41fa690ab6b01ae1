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
	"strconv"
	"sync"

	"sloehitch/internal/emulator"
)

// Row is what became of one class in one run.
type Row struct {
	Arm                                                        string
	Point                                                      Point
	Seed                                                       uint64
	Class                                                      string
	Offered, WithinObjective, Late, Rejected, Failed, TimedOut int
	Attempts                                                   int
	WeightWithinObjective, WeightOffered                       float64 // answered in time; offered
	MeanMS, P50MS, P99MS                                       float64 // of those served
	Utilization                                                float64
	NodesChanged, MaxUnavailable                               int     // of a release: nodes that it had changed at the end, and that were out or cold at once
	ReleaseSeconds                                             float64 // seconds until it was over, or halted by itself; 0: neither
	HaltedReleases                                             int     // 1: it halted by itself
}

var columns = []string{"arm", "load", "nodes", "retries", "seed", "class", "offered", "in_aim", "late", "refused", "failed", "expired", "tries",
	"worth", "worth_offered", "mean_ms", "p50_ms", "p99_ms", "utilization", "changed", "most_out", "took_s", "halted"}

// record is a row's fields, with as many digits everywhere.
func (r Row) record() []string {
	f := func(x float64) string { return strconv.FormatFloat(x, 'f', 6, 64) }
	out := []string{r.Arm, f(r.Point.Load), strconv.Itoa(r.Point.Nodes), strconv.Itoa(r.Point.Retries), strconv.FormatUint(r.Seed, 10), r.Class}
	for _, n := range []int{r.Offered, r.WithinObjective, r.Late, r.Rejected, r.Failed, r.TimedOut, r.Attempts} {
		out = append(out, strconv.Itoa(n))
	}
	for _, x := range []float64{r.WeightWithinObjective, r.WeightOffered, r.MeanMS, r.P50MS, r.P99MS, r.Utilization, float64(r.NodesChanged), float64(r.MaxUnavailable), r.ReleaseSeconds, float64(r.HaltedReleases)} {
		out = append(out, f(x))
	}
	return out
}

// parseRow reads a row's fields.
func parseRow(in []string) (r Row, err error) {
	if len(in) != len(columns) {
		return r, fmt.Errorf("%d fields, %d wanted", len(in), len(columns))
	}
	var errs []error
	number := func(i int) float64 {
		x, err := strconv.ParseFloat(in[i], 64)
		errs = append(errs, err)
		return x
	}
	r = Row{Arm: in[0], Point: Point{number(1), int(number(2)), int(number(3))}, Seed: uint64(number(4)), Class: in[5], Offered: int(number(6)), WithinObjective: int(number(7)),
		Late: int(number(8)), Rejected: int(number(9)), Failed: int(number(10)), TimedOut: int(number(11)), Attempts: int(number(12)), WeightWithinObjective: number(13),
		WeightOffered: number(14), MeanMS: number(15), P50MS: number(16), P99MS: number(17), Utilization: number(18),
		NodesChanged: int(number(19)), MaxUnavailable: int(number(20)), ReleaseSeconds: number(21), HaltedReleases: int(number(22))}
	return r, errors.Join(errs...)
}

// job is one run.
type job struct {
	point Point
	arm   Arm
	seed  uint64
}

// jobs are all runs of an experiment, in the order of its rows.
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

// provenance is kept with the results.
type provenance struct {
	Experiment string `json:"experiment"`
	Digest     string `json:"digest"`
	Version    string `json:"version"`
}

// Options say how an experiment is run.
type Options struct {
	Dir      string // for the results
	Workers  int
	Version  string // of the program
	Progress func(done, all int)
}

// ErrOtherExperiment says that the folder holds another experiment's results.
var ErrOtherExperiment = errors.New("the folder holds results of another experiment or version")

// Run plays all runs that the folder does not hold yet, and then writes rows.csv, whose bytes do not depend on the number
// of workers. Cut short by ctx it keeps what is done, and goes on from there when called again. A broken rule ends it.
func (f *File) Run(ctx context.Context, o Options) error {
	runs := filepath.Join(o.Dir, "runs")
	if err := os.MkdirAll(runs, 0o755); err != nil {
		return err
	}
	if err := f.claimFolder(o); err != nil {
		return err
	}
	all := f.jobs()
	next, done := make(chan int), 0
	var mu sync.Mutex
	var errs []error
	var workers sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for range max(1, o.Workers) {
		workers.Go(func() {
			for i := range next {
				err := f.runAndStore(filepath.Join(runs, fmt.Sprintf("%06d.csv", i)), all[i])
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
feed:
	for i := range all {
		select {
		case next <- i:
		case <-ctx.Done():
			break feed
		}
	}
	close(next)
	workers.Wait()
	if len(errs) > 0 {
		return errors.Join(errs...)
	}
	if ctx.Err() != nil {
		return fmt.Errorf("cut short after %d of %d runs: call it again to go on: %w", done, len(all), context.Cause(ctx))
	}
	return f.mergeRows(o.Dir, runs, len(all))
}

// claimFolder has the folder be this experiment's.
func (f *File) claimFolder(o Options) error {
	path := filepath.Join(o.Dir, "about.json")
	mine := provenance{f.Name, f.Digest(), o.Version}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		text, err := json.MarshalIndent(mine, "", " ")
		if err != nil {
			return err
		}
		return errors.Join(os.WriteFile(path, append(text, '\n'), 0o644), os.WriteFile(filepath.Join(o.Dir, "experiment.toml"), f.text, 0o644))
	}
	var theirs provenance
	if err != nil || json.Unmarshal(text, &theirs) != nil || theirs != mine {
		return fmt.Errorf("%s: %w: name another folder, or remove this one", o.Dir, ErrOtherExperiment)
	}
	return nil
}

// runAndStore plays one run and keeps its rows, unless they are kept already.
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
	out, err := os.Create(path + ".part")
	if err != nil {
		return err
	}
	w := csv.NewWriter(out)
	if err := errors.Join(w.WriteAll(records), out.Close()); err != nil {
		return err
	}
	return os.Rename(path+".part", path) // whole or not at all
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
	if len(r.Violations) > 0 && j.arm.Policy == "sloehitch" { // the small policies promise nothing
		return nil, fmt.Errorf("arm %q, %s: %w", j.arm.Name, j.point, r.Violations[0])
	}
	return j.rows(w, r), nil
}

// rows are what became of a run's classes.
func (j job) rows(w emulator.World, r *emulator.Result) (rows []Row) {
	halted := 0
	if r.Release.HaltReason != "" {
		halted = 1
	}
	for i, t := range r.Classes {
		ms := func(us int64) float64 { return float64(us) / 1000 }
		rows = append(rows, Row{Arm: j.arm.Name, Point: j.point, Seed: j.seed, Class: w.Classes[i].Name, Offered: t.Offered, WithinObjective: t.WithinObjective, Late: t.Late,
			Rejected: t.Rejected, Failed: t.Failed, TimedOut: t.TimedOut, Attempts: t.Attempts, WeightWithinObjective: t.WeightWithinObjective, WeightOffered: float64(t.Offered) * w.Classes[i].PriorityWeight,
			MeanMS: t.Latency.Mean() / 1000, P50MS: ms(t.Latency.ValueAtQuantile(50)), P99MS: ms(t.Latency.ValueAtQuantile(99)), Utilization: r.Utilization,
			NodesChanged: r.Release.NodesChanged, MaxUnavailable: r.Release.MaxUnavailable, ReleaseSeconds: r.Release.Duration.Seconds(), HaltedReleases: halted})
	}
	return rows
}

// Trace plays one run and returns all steps of all its requests: of the arm and at the load named, or the first ones.
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

// Compare plays the daemon's decisions twice at each point, on the same seeds: in the emulator, and by real against real
// daemons, one run after another. The rows, of arms "emulator" and "daemon", are kept in dir for a report. broken is told
// of rules that the real ones broke: there a slow machine may be at fault.
func (f *File) Compare(dir string, seeds int, real func(emulator.World) (*emulator.Result, error), broken func(*emulator.Violation)) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := f.claimFolder(Options{Dir: dir, Version: "against real daemons"}); err != nil {
		return err
	}
	records := [][]string{columns}
	for _, p := range f.Points() {
		for seed := range uint64(seeds) {
			j := job{p, Arm{Name: "emulator", Policy: "sloehitch"}, seed + 1}
			rows, err := f.simulate(j)
			if err != nil {
				return err
			}
			w, err := f.emulatorWorld(p, j.arm, j.seed)
			if err != nil {
				return err
			}
			r, err := real(w)
			if err != nil {
				return fmt.Errorf("%s, seed %d: %w", p, j.seed, err)
			}
			for _, b := range r.Violations {
				broken(b)
			}
			j.arm.Name = "daemon"
			for _, row := range append(rows, j.rows(w, r)...) {
				records = append(records, row.record())
			}
		}
	}
	out, err := os.Create(filepath.Join(dir, "rows.csv"))
	if err != nil {
		return err
	}
	return errors.Join(csv.NewWriter(out).WriteAll(records), out.Close())
}

// mergeRows puts the runs' rows together.
func (f *File) mergeRows(dir, runs string, n int) error {
	out, err := os.Create(filepath.Join(dir, "rows.csv.part"))
	if err != nil {
		return err
	}
	w := csv.NewWriter(out)
	err = w.Write(columns)
	for i := range n {
		rows, e := readCSV(filepath.Join(runs, fmt.Sprintf("%06d.csv", i)))
		err = errors.Join(err, e, w.WriteAll(rows))
	}
	if err := errors.Join(err, out.Close()); err != nil {
		return err
	}
	return os.Rename(filepath.Join(dir, "rows.csv.part"), filepath.Join(dir, "rows.csv"))
}

func readCSV(path string) ([][]string, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	records, err := csv.NewReader(in).ReadAll()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return records, nil
}

// ReadRows reads a folder's rows.
func ReadRows(dir string) (rows []Row, err error) {
	path := filepath.Join(dir, "rows.csv")
	records, err := readCSV(path)
	if err != nil {
		return nil, err
	}
	for i, in := range records {
		if i == 0 {
			continue
		}
		r, err := parseRow(in)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, i+1, err)
		}
		rows = append(rows, r)
	}
	return rows, nil
}
