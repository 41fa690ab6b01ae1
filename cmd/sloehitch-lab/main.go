// Command sloehitch-lab has the tools for experiments and checks, which the daemon is kept free of.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"regexp"
	"time"

	"github.com/alecthomas/kong"

	"sloehitch/internal/platform/endpoint"
	"sloehitch/internal/testing/conformance"
)

var cli struct {
	Uwsgi   uwsgiCmd   `cmd:"" help:"Speak uwsgi."`
	Run     runCmd     `cmd:"" help:"Play an experiment in the emulator, and report it."`
	Load    loadCmd    `cmd:"" help:"Play an experiment's load against real daemons on loopback, and hold the emulator against them."`
	Soak    soakCmd    `cmd:"" help:"Play the daemon under faults by seed, between stand-ins of all that it talks to, and judge by their records."`
	Faulty  faultyCmd  `cmd:"" help:"Run a program whose system calls fail now and then, as Linux documents them."`
	Fleet   fleetCmd   `cmd:"" help:"Put faults between real processes of a fleet on loopback, and check what held."`
	Outage  outageCmd  `cmd:"" help:"Measure for how long a duty is at nobody's hands after its owner was killed, stopped, told to leave or cut off."`
	Reports reportsCmd `cmd:"" help:"Measure what the reports of many nodes cost the store; all in one process."`
	Walk    walkCmd    `cmd:"" help:"Play seeds of the models of leases or duties, in simulated time."`
	Trace   traceCmd   `cmd:"" help:"Tell the life of one emulated request, and write all of them for a trace viewer."`
	Report  reportCmd  `cmd:"" help:"Print and draw what a folder of results holds."`
	Diff    diffCmd    `cmd:"" help:"Say what changed between two folders of results, and whether it is beyond noise."`
}

type uwsgiCmd struct {
	Check checkCmd `cmd:"" help:"Check a speaker of the uwsgi protocol on this machine; exit with 1 if a case fails."`
	List  listCmd  `cmd:"" help:"List the cases and where they come from."`
}

type checkCmd struct {
	Address string        `required:"" help:"host:port or unix:/path, on this machine only."`
	Path    string        `default:"/" help:"Of an application that answers 200 to GET and POST."`
	Echo    bool          `help:"The application answers with the body that it got."`
	Only    string        `name:"run" help:"Only cases whose name matches this expression."`
	Timeout time.Duration `default:"10s" help:"For one case."`
	AtOnce  int           `default:"4" help:"Cases played at once."`
	Form    string        `default:"table" enum:"table,all,json,junit" help:"table: what failed; all: every case; json; junit."`
}

// errFailed says that cases failed; they have been told.
var errFailed = errors.New("cases failed")

func (c *checkCmd) Run() error {
	failed, err := c.check()
	if err == nil && failed > 0 {
		err = errFailed
	}
	return err
}

func (c *checkCmd) check() (failed int, err error) {
	e, err := endpoint.Parse(c.Address)
	if err != nil {
		return 0, err
	}
	if e.TLS {
		return 0, fmt.Errorf("address %s: the cases are sent byte by byte, without TLS", e)
	}
	if err := e.Local(); err != nil {
		return 0, err
	}
	var run *regexp.Regexp
	if c.Only != "" {
		if run, err = regexp.Compile(c.Only); err != nil {
			return 0, fmt.Errorf("--run: %w", err)
		}
	}
	target := conformance.Target{Address: e, Path: c.Path, Echo: c.Echo, Patience: c.Timeout}
	if err := target.Reach(context.Background()); err != nil {
		return 0, err
	}
	results := conformance.Run(target, run, c.AtOnce)
	if len(results) == 0 {
		return 0, fmt.Errorf("no case matches %q", c.Only)
	}
	switch c.Form {
	case "json":
		err = conformance.JSON(os.Stdout, results)
	case "junit":
		err = conformance.JUnit(os.Stdout, results)
	default:
		err = conformance.Table(os.Stdout, results, c.Form == "all")
	}
	return conformance.Failed(results), err
}

type listCmd struct {
	Path string `default:"/"`
}

func (c *listCmd) Run() error {
	for _, k := range conformance.Cases(c.Path) {
		if _, err := fmt.Printf("%s\t%s\t%s\n", k.Name, k.Want, k.From); err != nil {
			return err
		}
	}
	return nil
}

func main() {
	ctx := kong.Parse(&cli, kong.Name("sloehitch-lab"), kong.Description("Experiments and checks round sloehitch."))
	err := ctx.Run()
	if errors.Is(err, errFailed) {
		os.Exit(1)
	}
	var ended faultyEnded
	if errors.As(err, &ended) {
		os.Exit(int(ended))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sloehitch-lab:", err)
		os.Exit(2)
	}
}
