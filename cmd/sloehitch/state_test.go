package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"sloehitch/client/uwsgi"
	"sloehitch/internal/store"
	"sloehitch/internal/testing/standin"
)

// slotsDescription is an OpenAPI document with one operation, /slots.
const slotsDescription = `openapi: 3.0.3
info: {title: Chair times, version: "1"}
paths:
  /slots:
    get:
      responses: {"200": {description: free times}}
      x-sloehitch: {class: slot-search, semantics: retryable}
`

// standaloneNode is a node with a uwsgi front and a store on a data directory without members. Its processes follow one another.
type standaloneNode struct {
	address, uwsgi string
	config, deploy string
	operator       store.Client
}

// newStandaloneNode returns a node whose deployment file names the given uwsgi server.
func newStandaloneNode(t *testing.T, server string) *standaloneNode {
	t.Helper()
	dir := t.TempDir()
	n := &standaloneNode{address: standin.FreeAddress(t), uwsgi: standin.FreeAddress(t),
		config: filepath.Join(dir, "config.json"), deploy: filepath.Join(dir, "deploy.toml"),
		operator: store.Client{Address: standin.FreeAddress(t), Timeout: standin.WaitTimeout}}
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
	rt.Syncs = make(chan uint64, 100)
	for path, text := range map[string]string{
		n.config:                           standin.Config(n.address, rt.Address, "", longDeadline),
		filepath.Join(dir, "openapi.yaml"): slotsDescription,
		n.deploy: fmt.Sprintf("[uwsgi]\nlisten = %q\nservers = [%q]\nopenapi = \"openapi.yaml\"\n[store]\nadmin = %q\ndir = %q\n",
			n.uwsgi, server, n.operator.Address, filepath.Join(dir, "store")),
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return n
}

// firstRequests starts the node, and sends requests from the moment at which it accepts them.
func (n *standaloneNode) firstRequests(t *testing.T) *daemonProcess {
	t.Helper()
	k := &daemonProcess{Cmd: command("serve", "--config", n.config, "--deploy", n.deploy)}
	k.Stderr = &k.log
	if err := k.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.kill)
	client := uwsgi.Client{Address: n.uwsgi, MaxAttempts: 1}
	served := 0
	for end := time.Now().Add(standin.WaitTimeout); served < 20; {
		response, err := client.Do(t.Context(), &uwsgi.Request{Path: "/slots"})
		if err == nil {
			served++
			_ = response.Body.Close()
		}
		if time.Now().After(end) {
			k.kill()
			t.Fatalf("%d requests were served: %v; log:\n%s", served, err, k.log.String())
		}
	}
	return k
}

// TestRestartKeepsOperatorStateWithoutMembers guards against a daemon that forgets acknowledged changes of the operators' state at
// a restart, because its store has a data directory and no members, and sends requests to servers that operators removed.
func TestRestartKeepsOperatorStateWithoutMembers(t *testing.T) {
	answer := func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }
	removed, current := standin.NewServer(t, answer), standin.NewServer(t, answer)
	n := newStandaloneNode(t, removed.Address)
	k := n.firstRequests(t)
	if err := n.operator.Set(store.KeyUwsgiServers, current.Address); err != nil {
		t.Fatal(err)
	}
	before := removed.Runs("")
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		if err := k.Process.Signal(signal); err != nil {
			t.Fatal(err)
		}
		_ = k.Wait() // a killed process returns an error
		k = n.firstRequests(t)
		values, err := n.operator.All()
		if err != nil || values[store.KeyUwsgiServers] != current.Address {
			t.Errorf("after %v: the state is %v, want %s=%s; %v", signal, values, store.KeyUwsgiServers, current.Address, err)
		}
		if got := removed.Runs(""); got != before {
			t.Fatalf("after %v: %d requests were sent to the removed server", signal, got-before)
		}
	}
}

// TestReplacementKeepsOperatorStateWithoutMembers guards against a process that ignores or loses the operators' state, or ends,
// because the process that it replaces still holds the store's data directory.
func TestReplacementKeepsOperatorStateWithoutMembers(t *testing.T) {
	operator := store.Client{Address: standin.FreeAddress(t), Timeout: standin.WaitTimeout}
	s := newSharedNode(t, fmt.Sprintf("[store]\nadmin = %q\ndir = %q\n", operator.Address, filepath.Join(t.TempDir(), "store")))
	expectHealth := func(when, want string) {
		t.Helper()
		for range 12 { // whichever process takes the connection
			b := standin.Dial(t, s.address)
			b.Send(standin.Array("PING", "1", ""))
			if got := b.Read(); len(got) < 2 || got[1] != want {
				t.Errorf("%s: health %q, want %s", when, got, want)
			}
			b.Close()
		}
	}
	old, _ := s.start()
	standin.WaitFor(t, "a change", func() bool { return operator.Set(store.KeyClosedNodes, "n1") == nil })
	next, _ := s.start()
	expectHealth("with both processes", "RED")
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := old.Wait(); err != nil {
		t.Fatalf("the old process ended with %v; log:\n%s", err, old.log.String())
	}
	expectHealth("after the replacement", "RED")
	standin.WaitFor(t, "a change by the new process", func() bool { return operator.Set(store.KeyUwsgiServers, "127.0.0.1:1") == nil })
	next.kill()
	s.start()
	expectHealth("after a kill", "RED")
	values, err := operator.All()
	if err != nil || values[store.KeyClosedNodes] != "n1" || values[store.KeyUwsgiServers] != "127.0.0.1:1" {
		t.Errorf("after a kill: the state is %v, %v", values, err)
	}
}
