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
	Kinds       []FaultKind // none: all
	Parallel    int         // plays at the same time
	Command     Command
	Dir         string // for the files of each test run
}

// Run carries out the plans of all seeds and blocks until the last is done. It calls each with every report, one at a time. It returns the
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
	var players sync.WaitGroup
	for range max(1, s.Parallel) {
		players.Add(1)
		go func() {
			defer players.Done()
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
				_ = os.RemoveAll(dir) // what is worth keeping is in the report
			}
		}()
	}
	players.Wait()
	return failed
}

// Table sums up the reports of many runs.
type Table struct {
	runsPlayed, clean int
	requests          int
	runs, processes   int
	crossed           int
	unconfirmed       int
	abandoned         int
	schedulingDelay   time.Duration
	answers           map[string]int
	faults            map[string]int
	rules             map[string]int // test runs in which a rule was broken
	broken            map[string]int // breaches, by rule
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{answers: map[string]int{}, faults: map[string]int{}, rules: map[string]int{}, broken: map[string]int{}}
}

// Add adds a report.
func (t *Table) Add(r *Report) {
	t.runsPlayed++
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
		t.broken[b.Rule]++
		if !seen[b.Rule] {
			seen[b.Rule] = true
			t.rules[b.Rule]++
		}
	}
	if len(r.Violations) == 0 {
		t.clean++
	}
}

// Write prints the table.
func (t *Table) Write(w io.Writer) {
	fmt.Fprintf(w, "%d plays, %d without a breach; %d processes, %d requests, %d runs, %d requests that crossed an end; the rig itself got no turn for %v\n", t.runsPlayed, t.clean, t.processes, t.requests, t.runs, t.crossed, t.schedulingDelay.Round(time.Millisecond))
	fmt.Fprintf(w, "answers: %s\nfaults: %s\n", counts(t.answers), counts(t.faults))
	fmt.Fprintf(w, "starts and replies that nobody could confirm: %d; runs written off: %d\n", t.unconfirmed, t.abandoned)
	for _, rule := range []string{RuleLost, RuleDuplicate, RuleDrain, RuleProcess} {
		fmt.Fprintf(w, "%-9s broken in %d plays, %d times\n", rule, t.rules[rule], t.broken[rule])
	}
}

func counts(m map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprint(name, " ", m[name]))
	}
	return strings.Join(parts, ", ")
}
