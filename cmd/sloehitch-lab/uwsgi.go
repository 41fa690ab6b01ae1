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
	Check checkCmd `cmd:"" help:"Check a server of the uwsgi protocol on this machine; exit with 1 if a case fails."`
	List  listCmd  `cmd:"" help:"List the cases and the parts of the specifications that require them."`
}

type checkCmd struct {
	Address string        `required:"" help:"host:port or unix:/path, on this machine only."`
	Path    string        `default:"/" help:"Path of an application that answers 200 to GET and POST."`
	Echo    bool          `help:"The application answers with the request's body."`
	Only    string        `name:"run" help:"Run only the cases whose names match this regular expression."`
	Timeout time.Duration `default:"10s" help:"Timeout of a case."`
	AtOnce  int           `default:"4" help:"Number of concurrent cases."`
	Form    string        `default:"table" enum:"table,all,json,junit" help:"Output format: table (failed cases), all (all cases), json or junit."`
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
		return 0, fmt.Errorf("address %s: TLS is not supported, since the cases send raw bytes", e)
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
	for _, testCase := range conformance.Cases(c.Path) {
		if _, err := fmt.Printf("%s\t%s\t%s\n", testCase.Name, testCase.Want, testCase.From); err != nil {
			return err
		}
	}
	return nil
}
