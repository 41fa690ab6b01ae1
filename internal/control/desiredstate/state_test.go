package desiredstate

import (
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	for _, c := range []struct{ text, err string }{
		{`{"out":true,"by":"ann","why":"disk"}`, ""},
		{`{"out":true,"duty":"drain","token":7}`, ""},
		{`{}`, ""},
		{``, "can't be read"},
		{`{"out":true`, "can't be read"},
		{`{"out":true}{"out":false}`, "more than one"},
		{`{"out":true,"until":"noon"}`, "until"},
		{`{"out":true,"duty":"drain"}`, "without a token"},
		{`{"out":true,"token":7}`, "without a duty"},
	} {
		if _, err := Parse(c.text); (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: %v, want %q", c.text, err, c.err)
		}
	}
}
