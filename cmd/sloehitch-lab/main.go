// Command sloehitch-lab has tools for experiments, tests with faults, model checks and measurements that are not part of the daemon.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

var cli struct {
	Uwsgi   uwsgiCmd            `cmd:"" help:"Speak uwsgi."`
	Run     runCmd              `cmd:"" help:"Play an experiment in the emulator, and report it."`
	Load    loadCmd             `cmd:"" help:"Play an experiment's load against real daemons on loopback, and hold the emulator against them."`
	Soak    soakCmd             `cmd:"" help:"Play the daemon under faults by seed, between stand-ins of all that it talks to, and judge by their records."`
	Faulty  systemCallFaultsCmd `cmd:"" help:"Run a program whose system calls fail now and then, as Linux documents them."`
	Fleet   fleetCmd            `cmd:"" help:"Put faults between real processes of a fleet on loopback, and check what held."`
	Outage  outageCmd           `cmd:"" help:"Measure for how long a duty is at nobody's hands after its owner was killed, stopped, told to leave or cut off."`
	Reports reportsCmd          `cmd:"" help:"Measure what the reports of many nodes cost the store; all in one process."`
	Walk    modelCheckCmd       `cmd:"" help:"Play seeds of the models of leases or duties, in simulated time."`
	Trace   traceCmd            `cmd:"" help:"Tell the life of one emulated request, and write all of them for a trace viewer."`
	Report  reportCmd           `cmd:"" help:"Print and draw what a folder of results holds."`
	Diff    diffCmd             `cmd:"" help:"Say what changed between two folders of results, and whether it is beyond noise."`
}

// errCheckFailed reports that a check failed; the output has said which.
var errCheckFailed = errors.New("cases failed")

func main() {
	ctx := kong.Parse(&cli, kong.Name("sloehitch-lab"), kong.Description("Experiments and checks round sloehitch."))
	err := ctx.Run()
	if errors.Is(err, errCheckFailed) {
		os.Exit(1)
	}
	var ended programExit
	if errors.As(err, &ended) {
		os.Exit(int(ended))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sloehitch-lab:", err)
		os.Exit(2)
	}
}
