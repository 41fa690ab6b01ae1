package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"time"

	"sloehitch/internal/testing/fleetrig"
)

// fleetCmd runs a fleet of real processes under faults.
type fleetCmd struct {
	Daemon   string        `default:"bin/sloehitch" help:"The program to start." type:"existingfile"`
	Nodes    int           `default:"3" help:"Processes, up to 16."`
	Members  int           `help:"Of them, the first, that keep the store: 3 or 5; all where it is left out."`
	Drains   bool          `help:"Nodes go out by permit and are replaced while the faults come; with --nodes 6 --members 3 or so."`
	Seed     uint64        `default:"1" help:"The first seed; a schedule is drawn by each."`
	Seeds    int           `default:"1" help:"How many."`
	Schedule string        `help:"A file with the faults, instead of drawn ones: as they are printed, edited by hand." type:"existingfile"`
	Length   time.Duration `default:"5s" help:"Of the writes, during which the faults come."`
	Lease    time.Duration `default:"1s" help:"Of the duties."`
	Recovery time.Duration `default:"60s" help:"By which the fleet has to be at work again after the last fault."`
	Chart    string        `help:"A file (svg, png or pdf) for a time line of owners, leaders and faults of the last seed."`
	Quiet    bool          `help:"Do not tell of each fault."`
}

func (c *fleetCmd) Run() error {
	broken := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
		wrong, err := c.play(seed)
		if err != nil {
			return err
		}
		if wrong {
			broken++
		}
	}
	if broken > 0 {
		fmt.Printf("%d of %d broken\n", broken, c.Seeds)
		return errCheckFailed
	}
	return nil
}

func (c *fleetCmd) play(seed uint64) (wrong bool, err error) {
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
	fmt.Printf("seed %d: %d faults, %d writes, %d reads in %d tries, %d changes of owner, %d jobs, %d wishes applied, %d older copies kept out, at work again after %v\n",
		seed, len(o.Schedule), r.Writes, r.Reads, r.Attempts, r.OwnerChanges, r.Jobs, r.DesiredStates, r.Exclusions, r.Recovered.Round(time.Millisecond))
	if c.Drains {
		fmt.Printf("drains: %+v\n", r.Drains)
	}
	if c.Chart != "" {
		if err := timeline(r.Spans, fmt.Sprintf("seed %d", seed), c.Chart); err != nil {
			return false, err
		}
	}
	for _, w := range r.Violations {
		fmt.Println("WRONG:", w)
	}
	if len(r.Violations) > 0 {
		fmt.Printf("the schedule, to be kept in a file and shortened by hand:\n%s", o.Schedule)
	}
	return len(r.Violations) > 0, nil
}
