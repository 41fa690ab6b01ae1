package fleetrig

import (
	"bytes"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// TestUnexpectedExit: a daemon that exits unexpectedly ends the run at once, with its last output, instead of being waited for.
func TestUnexpectedExit(t *testing.T) {
	var log bytes.Buffer
	_, err := Play(Options{Nodes: 3, Lease: time.Second, Length: time.Second, Recovery: time.Hour, Dir: t.TempDir(), Log: &log,
		Command: func(string, string) *exec.Cmd {
			return exec.Command("sh", "-c", "echo the address is taken >&2; exit 3")
		}})
	if err == nil || !strings.Contains(err.Error(), "exited unexpectedly: exit status 3; its last output: the address is taken") {
		t.Errorf("%v", err)
	}
	if !strings.Contains(log.String(), "taken") {
		t.Errorf("the log has %q", log.String())
	}
}

// TestTailBuffer: the end of the output is retained, however long the output is.
func TestTailBuffer(t *testing.T) {
	w := &tailBuffer{}
	for range 100 {
		w.Write(bytes.Repeat([]byte("x"), 100))
	}
	w.Write([]byte("end\n"))
	if got := w.String(); len(got) != maxTailBytes-1 || !strings.HasSuffix(got, "xend") {
		t.Errorf("%d bytes, %q", len(got), got[len(got)-8:])
	}
}
