// Command sloehitch-lab has tools for experiments, fault injection tests, model checks and measurements. They are not part of the daemon.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

var cli struct {
	Uwsgi   uwsgiCmd            `cmd:"" help:"Test servers of the uwsgi protocol."`
	Run     runCmd              `cmd:"" help:"Run an experiment in the emulator, and write a report."`
	Load    loadCmd             `cmd:"" help:"Run an experiment's load against real daemons on loopback, and compare them with the emulator."`
	Soak    soakCmd             `cmd:"" help:"Run the daemon against stand-ins of all its peers, with faults drawn from seeds, and check the stand-ins' records."`
	Faulty  systemCallFaultsCmd `cmd:"" help:"Run a program and make some of its system calls fail, with errors that Linux documents."`
	Fleet   fleetCmd            `cmd:"" help:"Run a fleet of real processes on loopback with injected faults, and check its guarantees."`
	Outage  outageCmd           `cmd:"" help:"Measure how long a leased task has no holder after its holder was killed, stopped, shut down or isolated."`
	Reports reportsCmd          `cmd:"" help:"Measure the load that the reports of many nodes put on the store, all in one process."`
	Walk    modelCheckCmd       `cmd:"" help:"Run model checks of leases, leased tasks, members, permits or releases for many seeds, in simulated time."`
	Trace   traceCmd            `cmd:"" help:"Print the trace of one emulated request, and write the traces of all requests for a trace viewer."`
	Report  reportCmd           `cmd:"" help:"Print the table and draw the charts of a folder of results."`
	Diff    diffCmd             `cmd:"" help:"Compare two folders of results, and tell significant changes from noise."`
}

// errCheckFailed reports that a check failed; its details are already printed.
var errCheckFailed = errors.New("a check failed")

func main() {
	ctx := kong.Parse(&cli, kong.Name("sloehitch-lab"), kong.Description("Experiments, tests and measurements for sloehitch."))
	err := ctx.Run()
	if errors.Is(err, errCheckFailed) {
		os.Exit(1)
	}
	var exit programExit
	if errors.As(err, &exit) {
		os.Exit(int(exit))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sloehitch-lab:", err)
		os.Exit(2)
	}
}
