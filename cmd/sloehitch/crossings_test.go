package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sloehitch/internal/operatorapi"
	"sloehitch/internal/testing/standin"
	"testing"
	"time"
)

// TestServesWhileIdleClientsUseAllDescriptors runs the program with exactly as many descriptors as it is configured for, and with a
// directory that is down. Clients open as many connections as they can and stay idle. The runtime link, calls, health checks,
// operators' calls and further requests must still get descriptors.
func TestServesWhileIdleClientsUseAllDescriptors(t *testing.T) {
	for _, sockets := range []int{64, 128} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) { return "OK", string(j.Call("call")) })
			catalog := standin.NewCatalogue(t, func(id string, c net.Conn) { fmt.Fprintf(c, "%s DATA 5\r\nreply\r\n", id) })
			address, operators, lookup := standin.FreeAddress(t), standin.FreeAddress(t), standin.FreeAddress(t)
			var object map[string]any
			if err := json.Unmarshal([]byte(standin.Config(address, rt.Address, catalog, longDeadline)), &object); err != nil {
				t.Fatal(err)
			}
			object["lookup"] = lookup // nothing listens there
			object["limits"].(map[string]any)["sockets"] = sockets
			text, err := json.Marshal(object)
			if err != nil {
				t.Fatal(err)
			}
			file := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(file, text, 0o600); err != nil {
				t.Fatal(err)
			}
			serve := command("serve", "--config", file, "--deploy", "none.toml")
			k := &daemonProcess{Cmd: exec.Command("sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, sockets)}, serve.Args...)...)}
			k.Env, k.Stderr = append(serve.Env, "GW_OPS="+operators), &k.log
			if err := k.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(k.kill)
			select {
			case <-rt.Syncs:
			case <-time.After(standin.WaitTimeout):
				k.kill()
				t.Fatalf("the daemon does not serve; log:\n%s", k.log.String())
			}
			fail := func(format string, args ...any) {
				t.Helper()
				k.kill()
				t.Fatalf(format+"\n%s", append(args, k.log.String())...)
			}
			for i := range 4 * sockets {
				c, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				switch i % 3 {
				case 0: // a complete health check
					io.WriteString(c, standin.Array("PING", "1"))
				case 1: // half of one
					io.WriteString(c, "*2\r\n$4\r\nPI")
				}
			}
			for i := range 20 {
				b := standin.Dial(t, address)
				b.Send(standin.Array("PING", "1"))
				if got := b.Read(); len(got) < 2 || got[1] != "GREEN" {
					fail("health check %d: %q, want GREEN", i, got)
				}
				for n := range 4 { // each with a call
					b.Do(n+2, "slot-search", standin.RequestID(100*i+n), time.Now(), fmt.Sprint(i, n), "")
				}
				for range 4 {
					if got := b.Read(); len(got) < 4 || got[1] != "ACK" || got[3] != "reply" {
						fail("answer on connection %d: %q, want ACK with the reply", i, got)
					}
				}
				if answer, err := operatorapi.Ask(operators, "readyz", longDeadline); err != nil || answer != "ACK ready\n" {
					fail("readyz %d: %q, %v", i, answer, err)
				}
			}
			rt.Disconnect() // the next link needs a descriptor too
			select {
			case <-rt.Syncs:
			case <-time.After(standin.WaitTimeout):
				fail("the daemon did not connect to the runtime again")
			}
		})
	}
}

// longDeadline is a deadline that is long enough for any test.
const longDeadline = 60 * time.Second
