package daemon

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// TestOperatorsDrainNodeAndServer runs the operators' commands against a node: no drain without a budget, a drain and undrain of
// the node, one of a uwsgi server that the node confirms, and a halt.
func TestOperatorsDrainNodeAndServer(t *testing.T) {
	program := filepath.Join(t.TempDir(), "sloehitch")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/sloehitch").CombinedOutput(); err != nil {
		t.Fatalf("build of sloehitch: %v: %s", err, out)
	}
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
	first := standin.NewServer(t, func(string) string { return "HTTP/1.1 200 OK\r\n\r\nfirst" })
	second := standin.NewServer(t, func(string) string { return "HTTP/1.1 200 OK\r\n\r\nsecond" })
	admin := standin.FreeAddress(t)
	s := serveWithDeploy(t, limits.For(64, 256), longDeadline, rt, func(d *config.Deploy) {
		d.Store = config.Store{Admin: admin, LeaseDuration: "1s"}
		d.Fleet = config.Fleet{Members: []string{admin}, ReportInterval: "100ms", SilentAfter: "30s", LeaseDuration: "1s", MinReady: "100ms", Zone: "a"}
	}, first.Address, second.Address)
	t.Cleanup(s.leaveFleet)
	run := func(args string, more ...string) (out, errs string) {
		t.Helper()
		var o, e strings.Builder
		cmd := exec.Command(program, append(strings.Fields(args), more...)...)
		cmd.Stdout, cmd.Stderr = &o, &e
		_ = cmd.Run() // the callers check the output
		return o.String(), e.String()
	}
	fleet := "fleet --admin " + admin + " "
	budgets := filepath.Join(t.TempDir(), "budgets.toml")
	setBudgets := func(text, want string) {
		t.Helper()
		if err := os.WriteFile(budgets, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if out, errs := run(fleet+"budget --by me --why test --file", budgets); !strings.Contains(out+errs, want) {
			t.Errorf("budgets: %s%s, want %q", out, errs, want)
		}
	}
	waitOuts := func(want string) {
		t.Helper()
		standin.WaitFor(t, want, func() bool {
			out, _ := run(fleet + "outs")
			return strings.Contains(out, want)
		})
	}
	standin.WaitFor(t, "the node's report", func() bool {
		out, _ := run(fleet + "show node/")
		return strings.Contains(out, `"below":{`)
	})
	if out, errs := run(fleet + "drain n9 --by me --why test"); !strings.Contains(errs, "no such node has reported") {
		t.Errorf("draining an unknown node: %s%s", out, errs)
	}
	setBudgets("[[budget]]\ngroup = \"rack\"\nmost_out = 1\n", `unknown group \"rack\": must be one of fleet, zone, kind, service`)
	run(fleet + "drain n1 --by me --why test")
	waitOuts("no disruption budget covers it; set one first")
	setBudgets("[[budget]]\ngroup = \"fleet\"\nmost_out = 1\n[[budget]]\ngroup = \"service\"\nmost_out = 1\n", "2 budgets")
	waitHealth := func(want string) {
		t.Helper()
		b := standin.Dial(t, s.address)
		standin.WaitFor(t, want, func() bool {
			b.Send(standin.Array("PING", "1", ""))
			got := b.Read()
			return len(got) > 1 && got[1] == want
		})
	}
	waitHealth("RED")
	waitOuts("out ")
	run(fleet + "undrain n1 --by me --why test")
	waitHealth("GREEN")
	standin.WaitFor(t, "the return of the permit", func() bool {
		out, _ := run(fleet + "show out/")
		return !strings.Contains(out, "out/")
	})
	if stats := s.fleet.Stats(); stats.OutOfService || stats.Permits["begun"] != 1 || stats.Permits["granted"] != 1 || stats.Reports["made"] == 0 {
		t.Errorf("statistics after one drain: %+v", stats)
	}
	server := "server=" + first.Address
	run(fleet + "drain " + server + " --by me --why test")
	waitOuts("out, confirmed by every node")
	for range 8 {
		if got := sendUwsgi(t, s.uwsgi, "", getVars("/slots")...); !strings.HasSuffix(got, "second") {
			t.Errorf("response while the first server is drained: %q", got)
		}
	}
	if out, errs := run(fleet + "halt --by me --why test"); !strings.Contains(out, "halted: no further drain that the halt covers can start. Open permits: 1") {
		t.Errorf("fleet halt: %s%s", out, errs)
	}
	run(fleet + "drain n1 --by me --why test")
	waitOuts("HALTED: all")
	waitOuts("halted")
	run(fleet + "undrain n1 " + server + " --by me --why test")
	standin.WaitFor(t, "the first server to be used again", func() bool {
		out, _ := run(fleet + "show node/")
		return strings.Contains(out, fmt.Sprintf(`%q:{"uses":true`, first.Address))
	})
	if out, errs := run("release --admin " + admin + " plan r --to v2"); !strings.Contains(out, "wave 1: n1\n") || strings.Contains(out, "server:") {
		t.Errorf("release plan: %s%s", out, errs)
	}
	if out, errs := run("release --admin " + admin + " watch"); !strings.Contains(errs, "there is no release") {
		t.Errorf("release watch: %s%s", out, errs)
	}
}
