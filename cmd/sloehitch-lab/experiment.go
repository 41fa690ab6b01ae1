package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/mattn/go-isatty"

	"sloehitch/internal/emulator"
	"sloehitch/internal/emulator/experiment"
	"sloehitch/internal/testing/loadrig"
)

type runCmd struct {
	File    string `arg:"" type:"existingfile" help:"The experiment, as TOML (docs/operators/lab.md)."`
	Out     string `required:"" type:"path" help:"A folder for the results. A folder with partial results is continued."`
	Workers int    `help:"Number of concurrent runs; default: one per core."`
}

// Run runs an experiment in the emulator and writes its report.
func (c *runCmd) Run() error {
	f, err := experiment.ReadFile(c.File)
	if err != nil {
		return err
	}
	if c.Workers <= 0 {
		c.Workers = runtime.GOMAXPROCS(0)
	}
	debug.SetGCPercent(400) // runs allocate many short-lived objects and retain little
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	began, isTerminal := time.Now(), isatty.IsTerminal(os.Stderr.Fd())
	progress := func(done, all int) {
		if !isTerminal {
			return
		}
		left := time.Since(began) / time.Duration(done) * time.Duration(all-done)
		fmt.Fprintf(os.Stderr, "\r%d of %d runs, %v left   ", done, all, left.Round(time.Second))
		if done == all {
			fmt.Fprintln(os.Stderr)
		}
	}
	if err := f.Run(ctx, experiment.Options{Dir: c.Out, Workers: c.Workers, Version: revision(), Progress: progress}); err != nil {
		return err
	}
	return (&reportCmd{Dir: c.Out}).Run()
}

// revision returns the revision that this program was built from. The results of another revision are not continued.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	description := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.modified" && s.Value == "true" {
			description += " " + s.Value
		}
	}
	return description
}

type traceCmd struct {
	File    string  `arg:"" type:"existingfile" help:"The experiment."`
	Request string  `default:"r1000" help:"The request whose trace is printed: r1, r2 and so on, in the order of arrival."`
	Arm     string  `help:"The arm of the experiment; default: the first."`
	Load    float64 `help:"The load of the sweep; default: the first."`
	Seed    uint64  `default:"1"`
	Out     string  `type:"path" help:"A file for the traces of all requests, in the Trace Event Format."`
}

// Run runs one emulation and prints the trace of one of its requests.
func (c *traceCmd) Run() error {
	f, err := experiment.ReadFile(c.File)
	if err != nil {
		return err
	}
	steps, err := f.Trace(c.Arm, c.Load, c.Seed)
	if err != nil {
		return err
	}
	if err := emulator.WriteTimeline(os.Stdout, steps, c.Request); err != nil || c.Out == "" {
		return err
	}
	out, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	return errors.Join(emulator.WriteTrace(out, steps), out.Close())
}

type loadCmd struct {
	File    string `arg:"" type:"existingfile" help:"The experiment; its worlds run with the daemon's decisions, both in the emulator and against real daemons."`
	Out     string `required:"" type:"path" help:"A new folder for the results."`
	Program string `default:"bin/sloehitch" type:"existingfile" help:"The daemon's program."`
	Seeds   int    `default:"1" help:"Number of seeds, from 1; each run takes its length in real time."`
}

// Run runs the same load in the emulator and against real daemons on loopback, and compares the results.
func (c *loadCmd) Run() error {
	f, err := experiment.ReadFile(c.File)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "sloehitch-lab-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	log, err := os.Create(filepath.Join(dir, "daemons.log"))
	if err != nil {
		return err
	}
	defer log.Close()
	command := func(config, deploy string) *exec.Cmd {
		return exec.Command(c.Program, "serve", "--config", config, "--deploy", deploy)
	}
	runDaemons := func(w emulator.World) (*emulator.Result, error) {
		fmt.Fprintf(os.Stderr, "%d daemons at a load of %.3g, %v\n", w.Nodes, w.Load, w.Duration)
		return loadrig.Play(w, loadrig.Options{Command: command, Dir: dir, Log: log})
	}
	violations := 0
	onViolation := func(b *emulator.Violation) {
		if violations++; violations <= 5 {
			fmt.Fprintln(os.Stderr, b)
		}
	}
	if err := f.Compare(c.Out, c.Seeds, runDaemons, onViolation); err != nil {
		return err
	}
	if violations > 0 {
		fmt.Fprintf(os.Stderr, "%d violations of rules\n", violations)
	}
	return (&reportCmd{Dir: c.Out}).Run()
}

type reportCmd struct {
	Dir string `arg:"" type:"existingdir" help:"A folder of results."`
}

// Run prints the table, and writes the charts and the page.
func (c *reportCmd) Run() error {
	table, err := experiment.WriteReport(c.Dir)
	if err != nil {
		return err
	}
	fmt.Print(table)
	return nil
}

type diffCmd struct {
	A string `arg:"" type:"existingdir" help:"Folder of the earlier results."`
	B string `arg:"" type:"existingdir" help:"Folder of the later results."`
}

// errWorse reports that a result is significantly worse; the details are already printed.
var errWorse = errors.New("at least one result is significantly worse")

// Run prints the changes from A to B. It returns errWorse if a result is significantly worse.
func (c *diffCmd) Run() error {
	a, err := experiment.ReadRows(c.A)
	if err != nil {
		return err
	}
	b, err := experiment.ReadRows(c.B)
	if err != nil {
		return err
	}
	changes, err := experiment.Diff(a, b)
	if err != nil {
		return err
	}
	worse := false
	for _, d := range changes {
		verdict := "noise"
		switch {
		case d.Difference.Mean == 0 && !d.Significant:
			verdict = "the same"
		case d.Significant && d.Difference.Mean < 0:
			verdict, worse = "WORSE", true
		case d.Significant:
			verdict = "better"
		}
		fmt.Printf("load %.3g, %d nodes, %d retries, %s: goodput %.3f, by %+.3f [%+.3f, %+.3f]: %s\n", d.Cell.Load, d.Cell.Nodes, d.Cell.Retries, d.Cell.Arm,
			d.Cell.Goodput.Mean, d.Difference.Mean, d.Difference.Low, d.Difference.High, verdict)
	}
	if worse {
		return errWorse
	}
	return nil
}
