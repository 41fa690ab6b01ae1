package experiment

import (
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const smallExperiment = `name = "small"
what = "does it run?"
seeds = 3
length = "4s"
warmup = "1s"
[world]
nodes = 2
cores = 2
speed = 1.0
crowd = 5
memory_mb = 50
hop = "500us"
[callers]
count = 2
habit = "round-robin"
retries = 1
backoff = "20ms"
[[class]]
name = "x"
share = 1
work = "20ms"
cv = 1.0
aim = "300ms"
deadline = "1s"
worth = 1
[sweep]
load = [0.5, 1.5]
retries = [0, 1]
[[arm]]
name = "ours"
policy = "sloehitch"
[[arm]]
name = "plain"
policy = "fixed"
parameter = 1
`

// TestRejectsInvalidFile: the error of an invalid file is one line with the position of the error and the remedy.
func TestRejectsInvalidFile(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"an unknown key", `hop = "500us"`, `hops = "500us"`, `12: unknown key "world.hops": see docs/operators/lab.md for the known keys`},
		{"a wrong unit", `aim = "300ms"`, `aim = "300kB"`, `23: "300kB" is not a duration: write a number with the unit ns, us`},
		{"a number without a unit", `backoff = "20ms"`, `backoff = 20`, `17: "20" is not a duration`},
		{"an empty sweep", `load = [0.5, 1.5]`, `load = []`, `sweep.load: must hold at least one load`},
		{"an unknown policy", `policy = "fixed"`, `policy = "best"`, `unknown policy "best": must be sloehitch, none`},
		{"a policy without its parameter", `parameter = 1`, ``, `parameter, the concurrency limit for each core, must be above 0`},
		{"two arms with one name", `name = "plain"`, `name = "ours"`, `arm "ours": name is used by two arms`},
		{"no seeds", `seeds = 3`, `seeds = 0`, `seeds: must be from 1 to 10000, not 0`},
		{"an unknown habit", `habit = "round-robin"`, `habit = "robin"`, `unknown habit "robin": must be round-robin`},
		{"a truncated table header", `[sweep]`, `[swe`, `26: `},
		{"a deadline shorter than the aim", `deadline = "1s"`, `deadline = "1ms"`, `deadline must not be shorter than aim`},
		{"calls without a dependency", `aim = "300ms"`, "aim = \"300ms\"\ncalls = true", `a class calls the dependency, but the world has none`},
		{"a tenant without a share", `[sweep]`, "[[tenant]]\nname = \"a\"\n[sweep]", `tenant "a": name must not be empty, share must be above 0`},
		{"an unknown distribution", `cv = 1.0`, `dist = "gamma"`, `unknown dist "gamma": must be lognormal, exponential or fixed`},
	} {
		text := strings.Replace(smallExperiment, c.old, c.new, 1)
		if text == smallExperiment {
			t.Fatalf("%s: the text to replace is not in the file", c.name)
		}
		path := filepath.Join(t.TempDir(), "e.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadFile(path)
		if err == nil || !strings.Contains(err.Error(), path+":") || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", c.name, err, c.want)
		}
	}
}

func parseSmallExperiment(t *testing.T) *File {
	t.Helper()
	f, err := Parse([]byte(smallExperiment))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// TestRowsDoNotDependOnWorkersOrInterruption: rows.csv has the same content for any number of workers and after an
// interruption, and a folder with another experiment's results is not written to.
func TestRowsDoNotDependOnWorkersOrInterruption(t *testing.T) {
	f := parseSmallExperiment(t)
	var first []byte
	for i, workers := range []int{1, 4, 4} {
		dir := t.TempDir()
		if i == 2 { // interrupt the runs
			ctx, cancel := context.WithCancel(context.Background())
			err := f.Run(ctx, Options{Dir: dir, Workers: workers, Progress: func(done, all int) {
				if done == 7 {
					cancel()
				}
			}})
			if err == nil || !strings.Contains(err.Error(), "run it again with the same folder to resume") {
				t.Fatalf("interrupted run: error %v", err)
			}
			if _, err := ReadRows(dir); err == nil {
				t.Error("no error from ReadRows before all runs are done")
			}
		}
		done := 0
		if err := f.Run(context.Background(), Options{Dir: dir, Workers: workers, Progress: func(d, all int) { done = all }}); err != nil {
			t.Fatal(err)
		}
		rows, err := os.ReadFile(filepath.Join(dir, "rows.csv"))
		if err != nil || done != 24 {
			t.Fatalf("%d runs done, want 24; reading rows.csv: %v", done, err)
		}
		if first == nil {
			first = rows
		} else if string(rows) != string(first) {
			t.Errorf("rows of %d workers differ from those of one", workers)
		}
		other := parseSmallExperiment(t)
		other.text = append(other.text, '#')
		if err := other.Run(context.Background(), Options{Dir: dir}); !errors.Is(err, ErrOtherExperiment) {
			t.Errorf("folder of another experiment: error %v, want ErrOtherExperiment", err)
		}
		if i < 2 {
			continue
		}
		table, err := WriteReport(dir)
		if err != nil {
			t.Fatal(err)
		}
		if lines := strings.Count(table, "\n"); lines != 9 {
			t.Errorf("table has %d lines, want 9:\n%s", lines, table)
		}
		page, err := os.ReadFile(filepath.Join(dir, "report.html"))
		if err != nil || strings.Count(string(page), "<svg") != 3 || !strings.Contains(string(page), "does it run?") {
			t.Errorf("report.html, %d bytes, error %v: want 3 charts and the question", len(page), err)
		}
		for _, name := range []string{"goodput.png", "p99.svg", "summary.json"} {
			if s, err := os.Stat(filepath.Join(dir, name)); err != nil || s.Size() == 0 {
				t.Errorf("%s is missing or empty: %v", name, err)
			}
		}
	}
}

// TestDiffReportsConsistentDifferences: equal rows have no difference, a difference with the same sign in nearly every seed
// is significant, and one whose sign varies is not.
func TestDiffReportsConsistentDifferences(t *testing.T) {
	rows := func(changes ...float64) (rows []Row) {
		for i, change := range changes {
			rows = append(rows, Row{Arm: "a", Point: Point{1, 2, 0}, Seed: uint64(i), WeightOffered: 100, WeightWithinObjective: 80 + change})
		}
		return rows
	}
	before := rows(0, 1, 2, 3, 4, 5)
	for _, c := range []struct {
		name        string
		after       []Row
		difference  float64
		significant bool
	}{
		{"equal", rows(0, 1, 2, 3, 4, 5), 0, false},
		{"worse in every seed", rows(-2, -1, -1, 1, 2, 3), -0.0217, true},
		{"better in some seeds, worse in others", rows(3, -2, 5, 0, 7, 2), 0, false},
	} {
		changes, err := Diff(before, c.after)
		if err != nil || len(changes) != 1 {
			t.Fatalf("%s: changes %+v, error %v", c.name, changes, err)
		}
		if d := changes[0]; math.Abs(d.Difference.Mean-c.difference) > 1e-3 || d.Significant != c.significant {
			t.Errorf("%s: change %+v", c.name, d)
		}
	}
	if _, err := Diff(before, nil); err == nil {
		t.Error("no error for folders with nothing in common")
	}
}

// TestBootstrapIntervalMatchesTheory: the interval contains the mean, its width for many values matches theory, and it has
// no width for a single value.
func TestBootstrapIntervalMatchesTheory(t *testing.T) {
	var values []float64
	for i := range 400 {
		values = append(values, float64(i%20))
	}
	i := Bootstrap(values)
	width := 2 * 1.96 * math.Sqrt((400.0-1)/12) / math.Sqrt(400) // for a discrete uniform distribution over 20 values
	if i.Mean != 9.5 || i.Low > 9.5 || i.High < 9.5 || math.Abs((i.High-i.Low)/width-1) > 0.1 {
		t.Errorf("interval %+v, want a mean of 9.5 and a width of %.3f", i, width)
	}
	if i := Bootstrap([]float64{3}); i != (Interval{3, 3, 3}) {
		t.Errorf("interval of one value: %+v", i)
	}
}
