package desiredstate

import (
	"strings"
	"testing"
)

func TestParseRejectsInvalidState(t *testing.T) {
	for _, c := range []struct{ text, err string }{
		{`{"out":true,"by":"ann","why":"disk"}`, ""},
		{`{"out":true,"duty":"drain","token":7}`, ""},
		{`{}`, ""},
		{``, "cannot decode the desired state: EOF"},
		{`{"out":true`, "cannot decode the desired state: unexpected EOF"},
		{`{"out":true}{"out":false}`, "cannot decode the desired state: it has more than one JSON value"},
		{`{"out":true,"until":"noon"}`, `cannot decode the desired state: json: unknown field "until"`},
		{`{"out":true,"duty":"drain"}`, "desired state has a duty without a token, or a token without a duty"},
		{`{"out":true,"token":7}`, "desired state has a duty without a token, or a token without a duty"},
	} {
		if _, err := Parse(c.text); (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("Parse of %s: %v, want %q", c.text, err, c.err)
		}
	}
}
