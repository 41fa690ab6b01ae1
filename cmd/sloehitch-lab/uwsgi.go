package main

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"time"

	"sloehitch/internal/platform/endpoint"
	"sloehitch/internal/testing/conformance"
)

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

func (c *checkCmd) Run() error {
	failed, err := c.check()
	if err == nil && failed > 0 {
		err = errCheckFailed
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
	target := conformance.Target{Address: e, Path: c.Path, Echo: c.Echo, Timeout: c.Timeout}
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
