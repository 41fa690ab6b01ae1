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
	Out     string `required:"" type:"path" help:"A folder for the results. One that holds a part of them is gone on with."`
	Workers int    `help:"Runs at once; by default one for each core."`
}

// Run runs an experiment and reports it.
func (c *runCmd) Run() error {
	f, err := experiment.ReadFile(c.File)
	if err != nil {
		return err
	}
	if c.Workers <= 0 {
		c.Workers = runtime.GOMAXPROCS(0)
	}
	debug.SetGCPercent(400) // runs make much that is short-lived, and little that stays
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	began, line := time.Now(), isatty.IsTerminal(os.Stderr.Fd())
	progress := func(done, all int) {
		if !line {
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

// revision returns the revision that this program was built from: results of another one are not continued.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	out := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.modified" && s.Value == "true" {
			out += " " + s.Value
		}
	}
	return out
}

type traceCmd struct {
	File    string  `arg:"" type:"existingfile" help:"The experiment."`
	Request string  `default:"r1000" help:"Whose life is told: r1, r2 and so on, as they come."`
	Arm     string  `help:"Of which arm; by default the first."`
	Load    float64 `help:"At which load of the sweep; by default the first."`
	Seed    uint64  `default:"1"`
	Out     string  `type:"path" help:"A file for all requests, in the Trace Event Format of trace viewers."`
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
	File    string `arg:"" type:"existingfile" help:"The experiment; its worlds are played with the daemon's decisions, in the emulator and for real."`
	Out     string `required:"" type:"path" help:"A new folder for the results."`
	Program string `default:"bin/sloehitch" type:"existingfile" help:"The daemon."`
	Seeds   int    `default:"1" help:"1 to so many: each run takes its length in real time."`
}

// Run runs the same load against the model and against real daemons on loopback.
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
	real := func(w emulator.World) (*emulator.Result, error) {
		fmt.Fprintf(os.Stderr, "%d daemons at a load of %.3g, %v\n", w.Nodes, w.Load, w.Duration)
		return loadrig.Play(w, loadrig.Options{Command: command, Dir: dir, Log: log})
	}
	told := 0
	broken := func(b *emulator.Violation) {
		if told++; told <= 5 {
			fmt.Fprintln(os.Stderr, b)
		}
	}
	if err := f.Compare(c.Out, c.Seeds, real, broken); err != nil {
		return err
	}
	if told > 0 {
		fmt.Fprintf(os.Stderr, "%d times a rule was broken\n", told)
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
	A string `arg:"" type:"existingdir" help:"Results before."`
	B string `arg:"" type:"existingdir" help:"Results after."`
}

// errWorse reports that a result is worse beyond noise; the output has said which.
var errWorse = errors.New("worse, beyond noise")

// Run prints what changed from A to B; it returns errWorse where something is worse beyond noise.
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
		word := "noise"
		switch {
		case d.Difference.Mean == 0 && !d.Significant:
			word = "the same"
		case d.Significant && d.Difference.Mean < 0:
			word, worse = "WORSE", true
		case d.Significant:
			word = "better"
		}
		fmt.Printf("load %.3g, %d nodes, %d retries, %s: goodput %.3f, by %+.3f [%+.3f, %+.3f]: %s\n", d.Cell.Load, d.Cell.Nodes, d.Cell.Retries, d.Cell.Arm,
			d.Cell.Goodput.Mean, d.Difference.Mean, d.Difference.Low, d.Difference.High, word)
	}
	if worse {
		return errWorse
	}
	return nil
}
