package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"time"

	"sloehitch/internal/testing/fleetrig"
)

// outageCmd measures how long a leased task has no holder after a fault of its holder.
type outageCmd struct {
	Daemon  string        `default:"bin/sloehitch" help:"The program to start." type:"existingfile"`
	Kind    string        `arg:"" enum:"kill,stop,leave,isolate" help:"Fault of the node that holds the leased task: kill, stop, leave or isolate."`
	Repeats int           `default:"20" help:"Number of faults."`
	Lease   time.Duration `default:"1s" help:"Duration of the lease."`
	Quiet   bool          `help:"Print only the result."`
}

func (c *outageCmd) Run() (err error) {
	o := fleetrig.Options{Nodes: 3, Lease: c.Lease, Recovery: 60 * time.Second, Command: daemonCommand(c.Daemon)}
	if !c.Quiet {
		o.Progress = os.Stdout
	}
	if o.Dir, err = os.MkdirTemp("", "sloehitch-fleet-*"); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(o.Dir)) }()
	took, err := fleetrig.Outages(o, fleetrig.Kind(c.Kind), c.Repeats)
	if len(took) > 0 {
		fmt.Printf("%s, lease %v, %d faults: time until another node ran the task: p50 %v, p99 %v\n", c.Kind, c.Lease, len(took),
			took[len(took)/2].Round(time.Millisecond), took[len(took)*99/100].Round(time.Millisecond))
	}
	return err
}

func daemonCommand(daemon string) func(config, deploy string) *exec.Cmd {
	return func(config, deploy string) *exec.Cmd {
		return exec.Command(daemon, "serve", "--config", config, "--deploy", deploy)
	}
}
