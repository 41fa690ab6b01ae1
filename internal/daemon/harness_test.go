package daemon

import (
	"os"
	"sloehitch/internal/platform/apispec"
	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
	"testing"
	"time"
)

const api = `{"openapi":"3.0.3","info":{"title":"booking","version":"1"},"paths":{
 "/slots":{"get":{"responses":{"200":{"description":"ok"}},"x-sloehitch":{"class":"slot-search","semantics":"retryable"}}},
 "/book":{"post":{"responses":{"200":{"description":"ok"}},"x-sloehitch":{"class":"book","semantics":"dedup","key":"header:Idempotency-Key"}}}}}`

// served is a complete node on real sockets for one test.
type served struct {
	*Daemon
	address, uwsgi string
	stop           chan os.Signal
	stopped        chan error
}

// ample is a deadline that is long enough for any test.
const ample = 60 * time.Second

func serveNode(t testing.TB, deadline time.Duration, rt *standin.Runtime, servers ...string) *served {
	t.Helper()
	return serveWithin(t, limits.For(64, 256), deadline, rt, servers...)
}

func serveWithin(t testing.TB, lim limits.Limits, deadline time.Duration, rt *standin.Runtime, servers ...string) *served {
	t.Helper()
	return serveDeployed(t, lim, deadline, rt, func(*config.Deploy) {}, servers...)
}

// serveDeployed starts and runs a node whose deployment settings more has modified.
func serveDeployed(t testing.TB, lim limits.Limits, deadline time.Duration, rt *standin.Runtime, more func(*config.Deploy), servers ...string) *served {
	t.Helper()
	own, ownUwsgi := standin.FreeAddress(t), standin.FreeAddress(t)
	p, err := config.Parse([]byte(standin.Config(own, rt.Address, "", deadline)))
	if err != nil {
		t.Fatal(err)
	}
	l := &Config{Platform: p, Deploy: &config.Deploy{}}
	if len(servers) > 0 {
		l.Deploy.Uwsgi = config.Uwsgi{Listen: ownUwsgi, Servers: servers}
		if l.Operations, err = apispec.Load([]byte(api), &p.Logic, p.Names.Classes, p.Names.Tenants); err != nil {
			t.Fatal(err)
		}
	}
	more(l.Deploy)
	d, err := Start(l, Options{Limits: lim, Log: standin.DiscardLogger})
	if err != nil {
		t.Fatal(err)
	}
	s := &served{d, own, ownUwsgi, make(chan os.Signal, 1), make(chan error, 1)}
	go func() { s.stopped <- d.Run(ReceivedAt(s.stop)) }()
	t.Cleanup(func() {
		d.listeners.closeAll()
	})
	return s
}

// only fails the test if the next message on the connection is not the answer to a health check that it sends.
func only(t *testing.T, b *standin.Balancer, tag string) {
	t.Helper()
	b.Send(standin.Array("PING", tag, ""))
	if got := b.Read(); len(got) < 2 || got[0] != tag || got[1] != "GREEN" {
		t.Errorf("message %q after the last answer", got)
	}
}
