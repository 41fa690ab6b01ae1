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

// TestIdleClientsFillTheDescriptors: the real program with as many descriptors as its configuration tells, and a directory that is
// down. Clients take every connection that they can get and rest. Calls, the link, health checks, operators' calls and a true
// request still get theirs.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	for _, sockets := range []int{64, 128} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) { return "OK", string(j.Call("call")) })
			catalog := standin.NewCatalogue(t, func(id string, c net.Conn) { fmt.Fprintf(c, "%s DATA 5\r\nreply\r\n", id) })
			address, operators, lookup := standin.FreeAddress(t), standin.FreeAddress(t), standin.FreeAddress(t)
			var object map[string]any
			if err := json.Unmarshal([]byte(standin.Config(address, rt.Address, catalog, ample)), &object); err != nil {
				t.Fatal(err)
			}
			object["lookup"] = lookup // nobody is there
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
			k := &killable{Cmd: exec.Command("sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, sockets)}, serve.Args...)...)}
			k.Env, k.Stderr = append(serve.Env, "GW_OPS="+operators), &k.log
			if err := k.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(k.kill)
			select {
			case <-rt.Syncs:
			case <-time.After(standin.WaitTimeout):
				k.kill()
				t.Fatalf("it does not serve:\n%s", k.log.String())
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
				case 0: // has spoken
					io.WriteString(c, standin.Array("PING", "1"))
				case 1: // half of it
					io.WriteString(c, "*2\r\n$4\r\nPI")
				}
			}
			for i := range 20 {
				b := standin.Dial(t, address)
				b.Send(standin.Array("PING", "1"))
				if got := b.Read(); len(got) < 2 || got[1] != "GREEN" {
					fail("check %d: %q", i, got)
				}
				for n := range 4 { // each with a call
					b.Do(n+2, "slot-search", standin.RequestID(100*i+n), time.Now(), fmt.Sprint(i, n), "")
				}
				for range 4 {
					if got := b.Read(); len(got) < 4 || got[1] != "ACK" || got[3] != "reply" {
						fail("request of %d: %q", i, got)
					}
				}
				if answer, err := operatorapi.Ask(operators, "readyz", ample); err != nil || answer != "ACK ready\n" {
					fail("readyz %d: %q, %v", i, answer, err)
				}
			}
			rt.Disconnect() // the link that comes next needs a descriptor too
			select {
			case <-rt.Syncs:
			case <-time.After(standin.WaitTimeout):
				fail("no new link")
			}
		})
	}
}

// ample is a deadline that no test reaches by chance.
const ample = 60 * time.Second
