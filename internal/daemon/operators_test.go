package daemon

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/operatorapi"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/store"
	"sloehitch/internal/testing/standin"
)

// TestOperatorStateSetsHealthAndServers checks that the operators' state takes a node out of service and changes its uwsgi servers.
func TestOperatorStateSetsHealthAndServers(t *testing.T) {
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
	first := standin.NewServer(t, func(string) string { return "HTTP/1.1 200 OK\r\n\r\nfirst" })
	second := standin.NewServer(t, func(string) string { return "HTTP/1.1 200 OK\r\n\r\nsecond" })
	s := serveNode(t, longDeadline, rt, first.Address)
	b := standin.Dial(t, s.address)
	for _, c := range []struct{ closed, servers, health, response string }{
		{"", "", "GREEN", "first"}, {"n2,n1", second.Address, "RED", "second"}, {"n2", "", "GREEN", "first"},
	} {
		if err := errors.Join(s.store.Set(store.KeyClosedNodes, c.closed), s.store.Set(store.KeyUwsgiServers, c.servers)); err != nil {
			t.Fatal(err)
		}
		b.Send(standin.Array("PING", "1", ""))
		if got := b.Read(); len(got) < 2 || got[1] != c.health {
			t.Errorf("closed nodes %q: unexpected health %q", c.closed, got)
		}
		if got := sendUwsgi(t, s.uwsgi, "", getVars("/slots")...); !strings.HasSuffix(got, c.response) {
			t.Errorf("servers %q: unexpected response %q", c.servers, got)
		}
	}
}

// TestOperatorCalls checks the calls on the operators' address: telemetry matches the requests served, evacuate makes health checks fail
// while requests are still served, and activate makes them succeed again.
func TestOperatorCalls(t *testing.T) {
	operators := standin.FreeAddress(t)
	t.Setenv("GW_OPS", operators)
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
	s := serveNode(t, longDeadline, rt)
	<-rt.Syncs
	call := func(line string) []string {
		t.Helper()
		c, err := net.Dial("tcp", operators)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(longDeadline))
		fmt.Fprintf(c, "%s\n", line)
		text, err := io.ReadAll(c)
		if err != nil {
			t.Fatal(err)
		}
		return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	}
	if got := call("readyz"); got[0] != "ACK ready" {
		t.Errorf("readyz: %q", got)
	}
	b := standin.Dial(t, s.address)
	defer b.Close()
	health := func(tag, want string) {
		t.Helper()
		if b.Send(standin.Array("PING", tag)); b.Read()[1] != want {
			t.Errorf("health check %s: want %s", tag, want)
		}
	}
	for i := range 3 {
		b.Do(i+1, "slot-search", standin.RequestID(i+1), time.Now(), "a", "")
		if got := b.Read(); len(got) < 2 || got[1] != "ACK" {
			t.Fatalf("answer %q", got)
		}
		if i == 0 {
			if got := call("evacuate"); got[0] != "ACK evacuating" {
				t.Errorf("evacuate: %q", got)
			}
			health("7", "RED")
		}
	}
	b.Do(9, "fresh", standin.RequestID(9), time.Now(), "a", "")
	b.Read()
	telemetry := call("telemetry")
	for _, want := range []string{"ACK", "app.responses.slot-search.ok:3|c", "app.responses.slot-search.tries:3|c", "app.responses.slot-search.shed:0|c",
		"app.responses.book.ok:0|c", "app.responses.fresh.shed:1|c", "app.active:0|g", "app.config_applied:0|c", "--"} {
		if !slices.Contains(telemetry, want) {
			t.Errorf("telemetry lacks %q: %q", want, telemetry)
		}
	}
	if telemetry[len(telemetry)-1] != "--" {
		t.Errorf("telemetry does not end in --: %q", telemetry)
	}
	if got := call("activate"); got[0] != "ACK active" {
		t.Errorf("activate: %q", got)
	}
	health("8", "GREEN")
	if got := call("drain now"); !strings.HasPrefix(got[0], "NAK") {
		t.Errorf("answer to an unknown call: %q, want NAK", got)
	}
	health("10", "GREEN")
}

// TestOperatorCallsWithAllSlotsTaken opens more connections than the front has slots for, half of them with an incomplete request,
// on a node with half the memory and descriptors. Operators' calls must be answered, and a request on a new connection must be
// served.
func TestOperatorCallsWithAllSlotsTaken(t *testing.T) {
	operators := standin.FreeAddress(t)
	t.Setenv("GW_OPS", operators)
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
	lim := limits.For(32, 192)
	s := serveWithLimits(t, lim, longDeadline, rt)
	<-rt.Syncs
	var conns []net.Conn
	for i := range lim.MaxConnections + 20 {
		c, err := net.Dial("tcp", s.address)
		if err != nil {
			t.Fatal(err)
		}
		if i%2 == 0 {
			c.Write([]byte("*3\r\n$2\r\nDO")) // half a message
		}
		conns = append(conns, c)
	}
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for _, call := range []string{"readyz", "telemetry", "evacuate", "activate"} {
		if answer, err := operatorapi.Ask(operators, call, longDeadline); err != nil || !strings.HasPrefix(answer, "ACK") {
			t.Errorf("%s with all slots taken: %q, %v", call, answer, err)
		}
	}
	b := standin.Dial(t, s.address)
	defer b.Close()
	b.Do(1, "slot-search", standin.RequestID(1), time.Now(), "a", "")
	if got := b.Read(); len(got) < 2 || got[1] != "ACK" {
		t.Errorf("answer to a request with all slots taken: %q, want ACK", got)
	}
}
