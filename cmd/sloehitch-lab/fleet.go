package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"time"

	"sloehitch/internal/testing/fleetrig"
)

// fleetCmd runs a fleet of real processes with injected faults.
type fleetCmd struct {
	Daemon   string        `default:"bin/sloehitch" help:"The program to start." type:"existingfile"`
	Nodes    int           `default:"3" help:"Number of nodes, each a process; up to 16."`
	Members  int           `help:"Number of nodes that are members of the store: 3 or 5; default: all."`
	Drains   bool          `help:"Drain and replace nodes during the faults; use it with --nodes 6 --members 3, for example."`
	Seed     uint64        `default:"1" help:"The first seed; a schedule of faults is drawn from each seed."`
	Seeds    int           `default:"1" help:"Number of seeds."`
	Schedule string        `help:"A file with a schedule of faults, in the printed form, to use instead of a drawn one." type:"existingfile"`
	Length   time.Duration `default:"5s" help:"Duration of the clients' operations and the faults."`
	Lease    time.Duration `default:"1s" help:"Duration of the leases."`
	Recovery time.Duration `default:"60s" help:"Time after the last fault within which the fleet must be healthy again."`
	Chart    string        `help:"A file (svg, png or pdf) for a timeline of the last seed's leaseholders, leaders and faults."`
	Quiet    bool          `help:"Do not print each fault."`
}

func (c *fleetCmd) Run() error {
	failedSeeds := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
		failed, err := c.runSeed(seed)
		if err != nil {
			return err
		}
		if failed {
			failedSeeds++
		}
	}
	if failedSeeds > 0 {
		fmt.Printf("%d of %d seeds with violations\n", failedSeeds, c.Seeds)
		return errCheckFailed
	}
	return nil
}

func (c *fleetCmd) runSeed(seed uint64) (failed bool, err error) {
	o := fleetrig.Options{Nodes: c.Nodes, Members: c.Members, Drains: c.Drains, Seed: seed, Lease: c.Lease, Length: c.Length, Recovery: c.Recovery, Schedule: fleetrig.Draw(seed, c.Nodes, cmp.Or(c.Members, c.Nodes), c.Length, c.Lease),
		Command: daemonCommand(c.Daemon)}
	if c.Schedule != "" {
		text, err := os.ReadFile(c.Schedule)
		if err != nil {
			return false, err
		}
		if o.Schedule, err = fleetrig.ParseSchedule(string(text), c.Nodes); err != nil {
			return false, fmt.Errorf("%s: %w", c.Schedule, err)
		}
	}
	if !c.Quiet {
		o.Progress = os.Stdout
	}
	if o.Dir, err = os.MkdirTemp("", "sloehitch-fleet-*"); err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(o.Dir)) }()
	r, err := fleetrig.Play(o)
	if err != nil {
		return false, fmt.Errorf("seed %d: %w", seed, err)
	}
	fmt.Printf("seed %d: %d faults, %d writes, %d reads in %d attempts, %d lease owner changes, %d jobs, %d desired states applied, %d restored members excluded, healthy after %v\n",
		seed, len(o.Schedule), r.Writes, r.Reads, r.Attempts, r.OwnerChanges, r.Jobs, r.DesiredStates, r.Exclusions, r.Recovered.Round(time.Millisecond))
	if c.Drains {
		fmt.Printf("drains: %+v\n", r.Drains)
	}
	if c.Chart != "" {
		if err := timeline(r.Spans, fmt.Sprintf("seed %d", seed), c.Chart); err != nil {
			return false, err
		}
	}
	for _, violation := range r.Violations {
		fmt.Println("WRONG:", violation)
	}
	if len(r.Violations) > 0 {
		fmt.Printf("the schedule of faults, for use with --schedule:\n%s", o.Schedule)
	}
	return len(r.Violations) > 0, nil
}
