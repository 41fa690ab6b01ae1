package soak

import (
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// Seeds is a series of runs, from the first seed to the last.
type Seeds struct {
	First, Last uint64
	Length      time.Duration
	Kinds       []FaultKind // empty: all
	Parallel    int         // number of concurrent test runs
	Command     Command
	Dir         string // parent of each test run's folder
}

// Run executes the plans of all seeds and blocks until the last has ended. It calls each with every report, one at a time. It returns the
// last error of the rig itself.
func (s Seeds) Run(each func(*Report)) error {
	seeds := make(chan uint64)
	go func() {
		defer close(seeds)
		for seed := s.First; seed <= s.Last; seed++ {
			seeds <- seed
		}
	}()
	var mu sync.Mutex
	var failed error
	var workers sync.WaitGroup
	for range max(1, s.Parallel) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for seed := range seeds {
				dir := filepath.Join(s.Dir, fmt.Sprint("seed-", seed))
				r, err := Run(Draw(seed, s.Length, s.Kinds), s.Command, dir)
				mu.Lock()
				if err != nil {
					failed = fmt.Errorf("seed %d: %w", seed, err)
				} else {
					each(r)
				}
				mu.Unlock()
				_ = os.RemoveAll(dir) // the report has everything that is needed
			}
		}()
	}
	workers.Wait()
	return failed
}

// Table sums up the reports of many runs.
type Table struct {
	testRuns, clean int
	requests        int
	runs, processes int
	crossed         int
	unconfirmed     int
	abandoned       int
	schedulingDelay time.Duration
	answers         map[string]int
	faults          map[string]int
	affectedRuns    map[string]int // test runs in which a rule was violated, by rule
	violations      map[string]int // violations, by rule
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{answers: map[string]int{}, faults: map[string]int{}, affectedRuns: map[string]int{}, violations: map[string]int{}}
}

// Add adds a report.
func (t *Table) Add(r *Report) {
	t.testRuns++
	t.requests += r.Requests
	t.runs += r.Runs
	t.processes += r.Processes
	t.crossed += r.Crossed
	t.unconfirmed += r.Unconfirmed
	t.abandoned += r.Abandoned
	t.schedulingDelay += r.SchedulingDelay
	for word, n := range r.Answers {
		t.answers[word] += n
	}
	for kind, n := range r.Counts {
		t.faults[kind] += n
	}
	seen := map[string]bool{}
	for _, b := range r.Violations {
		t.violations[b.Rule]++
		if !seen[b.Rule] {
			seen[b.Rule] = true
			t.affectedRuns[b.Rule]++
		}
	}
	if len(r.Violations) == 0 {
		t.clean++
	}
}

// Write prints the table.
func (t *Table) Write(w io.Writer) {
	fmt.Fprintf(w, "%d test runs, %d without a violation; %d processes, %d requests, %d runs, %d requests unanswered at a close; rig not scheduled for %v\n", t.testRuns, t.clean, t.processes, t.requests, t.runs, t.crossed, t.schedulingDelay.Round(time.Millisecond))
	fmt.Fprintf(w, "answers: %s\nfaults: %s\n", counts(t.answers), counts(t.faults))
	fmt.Fprintf(w, "unconfirmed starts and replies: %d; abandoned runs: %d\n", t.unconfirmed, t.abandoned)
	for _, rule := range []string{RuleLost, RuleDuplicate, RuleDrain, RuleProcess} {
		fmt.Fprintf(w, "%-9s violated in %d test runs, %d times\n", rule, t.affectedRuns[rule], t.violations[rule])
	}
}

func counts(m map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprint(name, " ", m[name]))
	}
	return strings.Join(parts, ", ")
}
