package daemon

import (
	"errors"
	"os"
	"testing"
	"time"

	"sloehitch/internal/platform/apispec"
	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

const api = `{"openapi":"3.0.3","info":{"title":"booking","version":"1"},"paths":{
 "/slots":{"get":{"responses":{"200":{"description":"ok"}},"x-sloehitch":{"class":"slot-search","semantics":"retryable"}}},
 "/book":{"post":{"responses":{"200":{"description":"ok"}},"x-sloehitch":{"class":"book","semantics":"dedup","key":"header:Idempotency-Key"}}}}}`

// testNode is a complete node on real sockets for one test.
type testNode struct {
	*Daemon
	address, uwsgi string
	stop           chan os.Signal
	stopped        chan error
}

// longDeadline is a deadline that is long enough for any test.
const longDeadline = 60 * time.Second

func serveNode(t testing.TB, deadline time.Duration, rt *standin.Runtime, servers ...string) *testNode {
	t.Helper()
	return serveWithLimits(t, limits.For(64, 256), deadline, rt, servers...)
}

func serveWithLimits(t testing.TB, lim limits.Limits, deadline time.Duration, rt *standin.Runtime, servers ...string) *testNode {
	t.Helper()
	return serveWithDeploy(t, lim, deadline, rt, func(*config.Deploy) {}, servers...)
}

// serveWithDeploy starts and runs a node whose deployment settings change has modified.
func serveWithDeploy(t testing.TB, lim limits.Limits, deadline time.Duration, rt *standin.Runtime, change func(*config.Deploy), servers ...string) *testNode {
	t.Helper()
	address, uwsgiAddress := standin.FreeAddress(t), standin.FreeAddress(t)
	p, err := config.Parse([]byte(standin.Config(address, rt.Address, "", deadline)))
	if err != nil {
		t.Fatal(err)
	}
	c := &Config{Platform: p, Deploy: &config.Deploy{}}
	if len(servers) > 0 {
		c.Deploy.Uwsgi = config.Uwsgi{Listen: uwsgiAddress, Servers: servers}
		if c.Operations, err = apispec.Load([]byte(api), &p.Logic, p.Names.Classes, p.Names.Tenants); err != nil {
			t.Fatal(err)
		}
	}
	change(c.Deploy)
	d, err := Start(c, Options{Limits: lim, Log: standin.DiscardLogger})
	if err != nil {
		t.Fatal(err)
	}
	s := &testNode{d, address, uwsgiAddress, make(chan os.Signal, 1), make(chan error, 1)}
	runUntilTestEnds(t, d, s.stop, s.stopped)
	t.Cleanup(d.listeners.closeAll)
	return s
}

// errTestEnded ends the nodes that a test has left running.
var errTestEnded = errors.New("the test has ended")

// runUntilTestEnds runs a node in the background and sends Run's result to stopped, which must have room for it. A node that still runs at
// the end of the test is ended, without a shutdown: its sweeps would otherwise go on in later tests, and write its snapshot into their
// folders.
func runUntilTestEnds(t testing.TB, d *Daemon, stop <-chan os.Signal, stopped chan<- error) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		stopped <- d.Run(ReceivedAt(stop))
	}()
	t.Cleanup(func() {
		select {
		case d.failed <- errTestEnded:
		case <-ended:
		}
		select {
		case <-ended:
		case <-time.After(standin.WaitTimeout):
			t.Error("a node still runs at the end of its test")
		}
	})
}

// expectNoMoreAnswers fails the test if the next message on the connection is not the answer to a health check that it sends.
func expectNoMoreAnswers(t *testing.T, b *standin.Balancer, tag string) {
	t.Helper()
	b.Send(standin.Array("PING", tag, ""))
	if got := b.Read(); len(got) < 2 || got[0] != tag || got[1] != "GREEN" {
		t.Errorf("message %q after the last answer", got)
	}
}
