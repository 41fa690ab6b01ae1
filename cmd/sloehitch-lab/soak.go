package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"sloehitch/internal/testing/soak"
)

// soakCmd runs the daemon with faults drawn from seeds.
type soakCmd struct {
	First   uint64        `default:"1" help:"The first seed."`
	Last    uint64        `default:"50" help:"The last seed."`
	For     time.Duration `default:"12s" help:"Duration of the traffic of a test run."`
	Jobs    int           `default:"4" help:"Number of concurrent test runs."`
	Faults  []string      `help:"Only these kinds of fault: reset-runtime, stall-to-runtime, stall-from-runtime, reset-clients, reset-catalogue, catalogue-down, pause, reload, step-wall-clock, directory-silent."`
	Calls   float64       `help:"The rate at which system calls on the daemon's sockets fail or are short, such as 0.003; 0: none."`
	Show    int           `default:"1" help:"Number of violations per test run that are printed with their timelines; the others have a line each."`
	Logs    string        `help:"A folder for the process logs of test runs with violations."`
	Program string        `default:"bin/sloehitch" type:"existingfile" help:"The daemon's program."`
}

func (c *soakCmd) Run() error {
	kinds := make([]soak.FaultKind, 0, len(c.Faults))
	for _, f := range c.Faults {
		kinds = append(kinds, soak.FaultKind(f))
	}
	dir, err := os.MkdirTemp("", "sloehitch-soak-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	table := soak.NewTable()
	failedRuns := 0
	seeds := soak.Seeds{First: c.First, Last: c.Last, Length: c.For, Kinds: kinds, Parallel: c.Jobs, Dir: dir,
		Command: func(config string) *exec.Cmd {
			command := exec.Command(c.Program, "serve", "--config", config, "--deploy", filepath.Join(dir, "none.toml"))
			if c.Calls > 0 {
				wrapper := []string{"faulty", "--seed", fmt.Sprint(c.First), "--rate", fmt.Sprint(c.Calls)}
				command = exec.Command(self, append(wrapper, command.Args...)...)
			}
			command.Env = os.Environ()
			return command
		}}
	err = seeds.Run(func(r *soak.Report) {
		table.Add(r)
		fmt.Printf("seed %d: %d requests, %d runs, %d processes, %d violations\n", r.Plan.Seed, r.Requests, r.Runs, r.Processes,
			len(r.Violations))
		if len(r.Violations) == 0 {
			return
		}
		failedRuns++
		r.WriteTimelines(os.Stdout, c.Show)
		c.keepLogs(r)
	})
	table.Write(os.Stdout)
	if err == nil && failedRuns > 0 {
		err = errCheckFailed
	}
	return err
}

func (c *soakCmd) keepLogs(r *soak.Report) {
	if c.Logs == "" {
		return
	}
	for i, text := range r.Logs {
		path := filepath.Join(c.Logs, fmt.Sprintf("seed-%d-process-%d.log", r.Plan.Seed, i+1))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
}
