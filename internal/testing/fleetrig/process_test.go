package fleetrig

import (
	"bytes"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// TestUnexpectedExitEndsRunWithLastOutput checks that the run fails at once, with the last output of the daemon, if a daemon exits before
// the fleet is healthy. The run must not wait for the recovery time.
func TestUnexpectedExitEndsRunWithLastOutput(t *testing.T) {
	var log bytes.Buffer
	_, err := Play(Options{Nodes: 3, Lease: time.Second, Length: time.Second, Recovery: time.Hour, Dir: t.TempDir(), Log: &log,
		Command: func(string, string) *exec.Cmd {
			return exec.Command("sh", "-c", "echo the address is taken >&2; exit 3")
		}})
	if err == nil || !strings.Contains(err.Error(), "exited unexpectedly: exit status 3; its last output: the address is taken") {
		t.Errorf("Play returned error %v, want the unexpected exit with its last output", err)
	}
	if !strings.Contains(log.String(), "taken") {
		t.Errorf("the log is %q, want the daemons' output", log.String())
	}
}

// TestTailBufferRetainsEndOfOutput checks that the buffer retains the end of an output that is longer than the buffer.
func TestTailBufferRetainsEndOfOutput(t *testing.T) {
	w := &tailBuffer{}
	for range 100 {
		w.Write(bytes.Repeat([]byte("x"), 100))
	}
	w.Write([]byte("end\n"))
	if got := w.String(); len(got) != maxTailBytes-1 || !strings.HasSuffix(got, "xend") {
		t.Errorf("buffer has %d bytes, ending in %q", len(got), got[len(got)-8:])
	}
}
