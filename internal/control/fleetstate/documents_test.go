package fleetstate

import (
	"strings"
	"testing"

	"sloehitch/internal/store/document"
)

func TestDecodeRejectsInvalidRequest(t *testing.T) {
	for _, c := range []struct{ text, err string }{
		{`{"id":"a","by":"ann","why":"disk","at":5}`, ""},
		{`{"id":"a","until":7,"within_ms":3,"release":"r","to":"v2","failed":"no"}`, ""},
		{`{"id":"a"`, "cannot decode the document: unexpected EOF"},
		{`{"id":"a","noon":1}`, `cannot decode the document: json: unknown field "noon"`},
		{`{"id":"a"}{"id":"b"}`, "cannot decode the document: it has more than one JSON value"},
	} {
		request, err := Decode[DrainRequest](c.text)
		if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: error %v, want %q", c.text, err, c.err)
		}
		if err == nil && request.ID != "a" {
			t.Errorf("%s: decoded as %+v, want the ID a", c.text, request)
		}
	}
}

func TestKeysYieldTheirMembers(t *testing.T) {
	if member, found := RequestMember(RequestKey("n1")); !found || member != "n1" {
		t.Errorf("request of %q, %v, want n1", member, found)
	}
	if member, found := PermitMember(PermitKey(UpstreamName("a:1"))); !found || !IsUpstream(member) || UpstreamAddress(member) != "a:1" {
		t.Errorf("permit of %q, %v, want the upstream server a:1", member, found)
	}
	for _, key := range []string{PermitKey("n1"), "node/n1/ask", "out/n1"} {
		if member, found := RequestMember(key); found {
			t.Errorf("key %s counts as a request of %q", key, member)
		}
	}
}

// TestDecodeViewCountsUndecodablePermitAsOut: a permit that cannot be decoded counts as out of service. Other
// documents that cannot be decoded are omitted. The error names all of them.
func TestDecodeViewCountsUndecodablePermitAsOut(t *testing.T) {
	view, versions, err := DecodeView([]document.Document{
		{Key: RequestKey("n1"), Value: `{"id":"a"}`, Version: 3},
		{Key: RequestKey("n2"), Value: `{`, Version: 4},
		{Key: PermitKey("n2"), Value: `{`, Version: 5},
		{Key: HaltKeyPrefix + "r", Value: "ann: disk", Version: 6},
		{Key: BudgetsKey, Value: `[{"group":"fleet","most_out":1}]`, Version: 7},
		{Key: "node/n1", Value: `{}`, Version: 8},
	}, DefaultDecoder, 9)
	if err == nil || !strings.Contains(err.Error(), "out/n2/ask") || !strings.Contains(err.Error(), "out/n2/permit") {
		t.Errorf("error %v, want both documents of n2 named", err)
	}
	if len(view.Requests) != 1 || view.Requests["n1"].ID != "a" || view.RequestOrder["n1"] != 3 || view.Permits["n2"].State != PermitOutOfService {
		t.Errorf("requests %v, permits %v; want one request, of n1, and the permit of n2 out of service", view.Requests, view.Permits)
	}
	if !view.IsHalted(DrainRequest{ReleaseName: "r"}) || view.IsHalted(DrainRequest{}) || len(view.Budgets) != 1 || versions["node/n1"] != 8 {
		t.Errorf("halted %v, budgets %v, versions %v; want only r halted, one budget and version 8 of node/n1", view.Halted, view.Budgets, versions)
	}
}
