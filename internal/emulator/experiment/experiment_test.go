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

const small = `name = "small"
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

// TestFaultyFiles: each error is one line that says where it is and what to do.
func TestFaultyFiles(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"an unknown key", `hop = "500us"`, `hops = "500us"`, `12: no key "world.hops" here`},
		{"a wrong unit", `aim = "300ms"`, `aim = "300kB"`, `23: "300kB" is no span of time: write a number and ns, us`},
		{"a number without a unit", `backoff = "20ms"`, `backoff = 20`, `17: "20" is no span`},
		{"an empty sweep", `load = [0.5, 1.5]`, `load = []`, `sweep.load: at least one`},
		{"no such policy", `policy = "fixed"`, `policy = "best"`, `no policy "best": sloehitch, none`},
		{"a policy without its parameter", `parameter = 1`, ``, `a parameter above 0`},
		{"two arms of a name", `name = "plain"`, `name = "ours"`, `arm "ours": two of that name`},
		{"no seeds", `seeds = 3`, `seeds = 0`, `seeds: 1 to 10000`},
		{"no such habit", `habit = "round-robin"`, `habit = "robin"`, `no habit "robin"`},
		{"cut short", `[sweep]`, `[swe`, `26: `},
		{"the deadline before the aim", `deadline = "1s"`, `deadline = "1ms"`, `no sooner than the aim`},
		{"calls of nothing", `aim = "300ms"`, "aim = \"300ms\"\ncalls = true", `classes call a dependency, and there is none`},
		{"a tenant without a share", `[sweep]`, "[[tenant]]\nname = \"a\"\n[sweep]", `tenant "a": a name and a share above 0`},
		{"no such distribution", `cv = 1.0`, `dist = "gamma"`, `no dist "gamma"`},
	} {
		text := strings.Replace(small, c.old, c.new, 1)
		if text == small {
			t.Fatalf("%s: nothing replaced", c.name)
		}
		path := filepath.Join(t.TempDir(), "e.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadFile(path)
		if err == nil || !strings.Contains(err.Error(), path+":") || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
}

func parse(t *testing.T) *File {
	t.Helper()
	f, err := Parse([]byte(small))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// TestSameBytes: the rows don't depend on the number of workers, nor on an interruption; a folder with another
// experiment's results is left alone.
func TestSameBytes(t *testing.T) {
	f := parse(t)
	var first []byte
	for i, workers := range []int{1, 4, 4} {
		dir := t.TempDir()
		if i == 2 { // cut short in the middle
			ctx, cancel := context.WithCancel(context.Background())
			err := f.Run(ctx, Options{Dir: dir, Workers: workers, Progress: func(done, all int) {
				if done == 7 {
					cancel()
				}
			}})
			if err == nil || !strings.Contains(err.Error(), "call it again") {
				t.Fatalf("cut short: %v", err)
			}
			if _, err := ReadRows(dir); err == nil {
				t.Error("rows before all runs are done")
			}
		}
		done := 0
		if err := f.Run(context.Background(), Options{Dir: dir, Workers: workers, Progress: func(d, all int) { done = all }}); err != nil {
			t.Fatal(err)
		}
		rows, err := os.ReadFile(filepath.Join(dir, "rows.csv"))
		if err != nil || done != 24 {
			t.Fatalf("%d runs, %v", done, err)
		}
		if first == nil {
			first = rows
		} else if string(rows) != string(first) {
			t.Errorf("with %d workers other rows", workers)
		}
		other := parse(t)
		other.text = append(other.text, '#')
		if err := other.Run(context.Background(), Options{Dir: dir}); !errors.Is(err, ErrOtherExperiment) {
			t.Errorf("another experiment: %v", err)
		}
		if i < 2 {
			continue
		}
		table, err := WriteReport(dir)
		if err != nil {
			t.Fatal(err)
		}
		if lines := strings.Count(table, "\n"); lines != 9 {
			t.Errorf("%d lines:\n%s", lines, table)
		}
		page, err := os.ReadFile(filepath.Join(dir, "report.html"))
		if err != nil || strings.Count(string(page), "<svg") != 3 || !strings.Contains(string(page), "does it run?") {
			t.Errorf("the page, %d bytes: %v", len(page), err)
		}
		for _, name := range []string{"goodput.png", "p99.svg", "summary.json"} {
			if s, err := os.Stat(filepath.Join(dir, name)); err != nil || s.Size() == 0 {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
}

// TestDiff: equal rows have no difference; one with the same sign in nearly every seed is significant, one with either sign isn't.
func TestDiff(t *testing.T) {
	rows := func(by ...float64) (rows []Row) {
		for i, b := range by {
			rows = append(rows, Row{Arm: "a", Point: Point{1, 2, 0}, Seed: uint64(i), WeightOffered: 100, WeightWithinObjective: 80 + b})
		}
		return rows
	}
	before := rows(0, 1, 2, 3, 4, 5)
	for _, c := range []struct {
		name   string
		after  []Row
		by     float64
		beyond bool
	}{
		{"the same", rows(0, 1, 2, 3, 4, 5), 0, false},
		{"worse in every seed", rows(-2, -1, -1, 1, 2, 3), -0.0217, true},
		{"either way", rows(3, -2, 5, 0, 7, 2), 0, false},
	} {
		changes, err := Diff(before, c.after)
		if err != nil || len(changes) != 1 {
			t.Fatalf("%s: %+v, %v", c.name, changes, err)
		}
		if d := changes[0]; math.Abs(d.Difference.Mean-c.by) > 1e-3 || d.Significant != c.beyond {
			t.Errorf("%s: %+v", c.name, d)
		}
	}
	if _, err := Diff(before, nil); err == nil {
		t.Error("nothing in common: no error")
	}
}

// TestBootstrap: an interval contains the mean, has the width that theory gives for many values, and none for one.
func TestBootstrap(t *testing.T) {
	var values []float64
	for i := range 400 {
		values = append(values, float64(i%20))
	}
	i := Bootstrap(values)
	width := 2 * 1.96 * math.Sqrt((400.0-1)/12) / math.Sqrt(400) // of a discrete uniform law over 20 values
	if i.Mean != 9.5 || i.Low > 9.5 || i.High < 9.5 || math.Abs((i.High-i.Low)/width-1) > 0.1 {
		t.Errorf("%+v, want a width of %.3f", i, width)
	}
	if i := Bootstrap([]float64{3}); i != (Interval{3, 3, 3}) {
		t.Errorf("one value: %+v", i)
	}
}
