package main

import (
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"sloehitch/internal/testing/faults/systemcalls"
)

// systemCallFaultsCmd runs a program and injects faults into its system calls.
type systemCallFaultsCmd struct {
	Seed    uint64   `default:"1" help:"The seed; the same seed makes the same calls fail if the program makes the same calls."`
	Rate    float64  `default:"0.005" help:"Fraction of the calls on sockets that fail, and of reads and writes that transfer fewer bytes than requested."`
	Program string   `arg:"" type:"existingfile"`
	Args    []string `arg:"" optional:"" passthrough:""`
}

// programExit is the nonzero exit status of the program, as an error.
type programExit int

func (e programExit) Error() string { return fmt.Sprint("the program exited with status ", int(e)) }

func (c *systemCallFaultsCmd) Run() error {
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT)
	forwardSignals := func(pid int) {
		go func() {
			for s := range signals {
				_ = syscall.Kill(pid, s.(syscall.Signal)) // the process may have ended
			}
		}()
	}
	status, counts, err := systemcalls.Run(c.Program, c.Args, systemcalls.NewOutcomeSource(c.Seed, c.Rate), forwardSignals)
	if err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(os.Stderr, "system calls that failed: %s %d\n", name, counts[name])
	}
	if status != 0 {
		return programExit(status)
	}
	return nil
}
