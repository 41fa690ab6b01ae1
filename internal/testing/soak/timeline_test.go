package soak

import (
	"strings"
	"testing"
)

// TestEveryViolationIsWritten guards against violations that can't be looked into later: of a run with many, only the first ones were
// printed, so the times of the others were unknown.
func TestEveryViolationIsWritten(t *testing.T) {
	r := &Report{Record: newRecord(), Logs: []string{"msg=read request=0a01 peer=127.0.0.1:40\nmsg=closed peer=127.0.0.1:4\nmsg=read request=0b02"}}
	r.Record.add("client", "write", "0a01", "", "first")
	r.Record.add("client", "write", "0b02", "", "second")
	r.addViolation(RuleLost, "request 0a01 was due at 1s", "0a01", "peer=127.0.0.1:4 ")
	r.addViolation(RuleLost, "request 0b02 was due at 2s", "0b02")
	var out strings.Builder
	r.WriteTimelines(&out, 1)
	for _, part := range []string{"request 0a01 was due at 1s", "first", "request=0a01", "msg=closed", "request 0b02 was due at 2s"} {
		if strings.Count(out.String(), part) != 1 {
			t.Errorf("%q is not written once", part)
		}
	}
	for _, part := range []string{"second", "request=0b02"} {
		if strings.Contains(out.String(), part) {
			t.Errorf("%q is written, though only the first violation has a timeline", part)
		}
	}
	if t.Failed() {
		t.Log(out.String())
	}
}
