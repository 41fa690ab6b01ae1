package fleetstate

import (
	"strings"
	"testing"

	"sloehitch/internal/control/disruption"
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

// TestInvalidBudgetsAreRejectedAndIgnored guards against a budget without a bound, which ended each node that decided on drains: it
// is neither accepted for storage nor used if it is stored, and without budgets nothing is permitted.
func TestInvalidBudgetsAreRejectedAndIgnored(t *testing.T) {
	for _, value := range []string{`[{"group":"zone"}]`, `[{"group":"zone","most_out":1,"least_in":1}]`, `[{"group":"zone","most_out":-1}]`,
		`[{"group":"fleet","most_out_share":1.5}]`, `[{"group":"moon","most_out":1}]`, `[null]`, `{}`, `[{"group":"zone","most_out":1}] []`} {
		if err := CheckDocument(BudgetsKey, value); err == nil {
			t.Errorf("%s is accepted", value)
		}
		view, _, err := DecodeView([]document.Document{{Key: BudgetsKey, Value: value, Version: 1}}, DefaultDecoder, 0)
		if err == nil || len(view.Budgets) > 0 {
			t.Errorf("%s: budgets %v, error %v; want none and an error", value, view.Budgets, err)
		}
		view.Members = []ObservedMember{{Name: "n1", Report: NodeReport{Zone: "a"}}, {Name: "n2", Report: NodeReport{Zone: "a"}}}
		if granted := disruption.Decide(view.Budgets, view.BudgetMembers(0), []disruption.Request{{Member: "n1"}}); len(granted.Granted) > 0 {
			t.Errorf("%s: granted %+v", value, granted)
		}
	}
	if err := CheckDocument(BudgetsKey, `[{"group":"zone","most_out":1}]`); err != nil {
		t.Errorf("a valid budget is rejected: %v", err)
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
