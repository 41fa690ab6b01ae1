package conformance_test

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/xml"
	"regexp"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/platform/endpoint"
	"sloehitch/internal/testing/conformance"
	"sloehitch/internal/testing/standin"
)

func check(t *testing.T, address string) []conformance.Result {
	t.Helper()
	e, err := endpoint.Parse(address)
	if err != nil {
		t.Fatal(err)
	}
	return conformance.Run(conformance.Target{Address: e, Path: "/", Echo: true, Timeout: standin.WaitTimeout}, nil, 8)
}

// TestCasesAreUniqueAndComplete checks that each case has a unique name with a group, a source and a class of answers, and that there are
// at least 150 cases.
func TestCasesAreUniqueAndComplete(t *testing.T) {
	names := map[string]bool{}
	for _, c := range conformance.Cases("/") {
		if names[c.Name] || c.From == "" || c.Want == "" || !strings.Contains(c.Name, "/") {
			t.Errorf("duplicate or incomplete case: %+v", c)
		}
		names[c.Name] = true
	}
	if len(names) < 150 {
		t.Errorf("%d cases, want 150 or more", len(names))
	}
}

// TestCorrectServerPassesAllCases checks that a correct server passes all cases.
func TestCorrectServerPassesAllCases(t *testing.T) {
	results := check(t, standin.NewEcho(t, "").Address)
	if conformance.Failed(results) > 0 {
		var b bytes.Buffer
		if err := conformance.Table(&b, results, false); err != nil {
			t.Fatal(err)
		}
		t.Error(b.String())
	}
}

// TestReachFailsForBrokenServer checks that Reach fails for a server that answers an ordinary request with a malformed or truncated
// response.
func TestReachFailsForBrokenServer(t *testing.T) {
	for _, mutant := range []string{"", "malformed response head", "closes early"} {
		e, err := endpoint.Parse(standin.NewEcho(t, mutant).Address)
		if err != nil {
			t.Fatal(err)
		}
		if err := (conformance.Target{Address: e, Path: "/", Timeout: standin.WaitTimeout}).Reach(context.Background()); (err == nil) != (mutant == "") {
			t.Errorf("Reach of a server with the fault %q: %v", mutant, err)
		}
	}
}

// TestEachMutantFailsItsCase checks that a server that violates the protocol in one way fails the case for this violation, which a correct
// server passes.
func TestEachMutantFailsItsCase(t *testing.T) {
	caseByMutant := map[string]string{
		"length too large": "length/10 bytes", "length too small": "length/10 bytes", "closes early": "length/10 bytes",
		"responds twice": "variables/as they are", "drops the body": "length/10 bytes",
		"accepts duplicate names": "variables/twice: HTTP_HOST", "accepts a length and chunks": "length/5 and chunks",
		"accepts signs in lengths": `length/as "\+5"`, "accepts bare line feeds in chunks": "bad chunks/line feeds only",
		"rejects pings": "ping/whole", "wrong response to pings": "ping/whole", "accepts all modifiers": "modifier/173",
		"accepts line ends in values": "variables/a line end in a value", "truncates bodies at 4096 bytes": "length/4097 bytes",
		"hangs on malformed requests": "length/as \"five\"", "accepts short bodies": "length/a body that is too short",
		"body to HEAD": "method/HEAD", "echoes the framing": "chunks/one", "reads past the body": "length/a body that is too long",
		"malformed response head": "variables/as they are", "accepts any coding": `bad chunks/coding "xchunked"`,
	}
	for _, m := range standin.Mutants {
		name, known := caseByMutant[m]
		if !known {
			t.Errorf("no case is listed for the violation %q", m)
		}
		for _, mutant := range []string{"", m} {
			e, err := endpoint.Parse(standin.NewEcho(t, mutant).Address)
			if err != nil {
				t.Fatal(err)
			}
			target := conformance.Target{Address: e, Path: "/", Echo: true, Timeout: standin.WaitTimeout}
			if strings.HasPrefix(mutant, "hangs") {
				target.Timeout = 100 * time.Millisecond
			}
			results := conformance.Run(target, regexp.MustCompile("^"+name+"$"), 1)
			if len(results) != 1 || results[0].Passed != (mutant == "") {
				t.Errorf("server with the violation %q, case %s: results %+v, want one that passes only without a violation", mutant, name, results)
			}
		}
	}
}

// TestReportsMarkFailedCases checks that each output format has the results and marks the failed ones.
func TestReportsMarkFailedCases(t *testing.T) {
	results := []conformance.Result{{Case: conformance.Case{Name: "a/b", From: "here", Want: conformance.Served}, Passed: true, Took: time.Second},
		{Case: conformance.Case{Name: "a/<c>", From: "there", Want: conformance.Refused}, Why: "it was served", Got: `"x"`}}
	var table, all, list, unit bytes.Buffer
	for _, err := range []error{conformance.Table(&table, results, false), conformance.Table(&all, results, true),
		conformance.JSON(&list, results), conformance.JUnit(&unit, results)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	if got := table.String(); strings.Contains(got, "a/b") || !strings.Contains(got, "it was served") || !strings.HasSuffix(got, "1 passed, 1 failed\n") {
		t.Error(got)
	}
	if !strings.Contains(all.String(), "a/b") {
		t.Error(all.String())
	}
	var back []map[string]any
	if err := json.Unmarshal(list.Bytes(), &back); err != nil || len(back) != 2 || back[0]["passed"] != true || back[1]["why"] != "it was served" {
		t.Errorf("JSON report: got %v, error %v", back, err)
	}
	var doc struct {
		Failures int `xml:"failures,attr"`
		Cases    []struct {
			Name    string    `xml:"name,attr"`
			Failure *struct{} `xml:"failure"`
		} `xml:"testcase"`
	}
	if err := xml.Unmarshal(unit.Bytes(), &doc); err != nil || doc.Failures != 1 || len(doc.Cases) != 2 || doc.Cases[1].Name != "<c>" || doc.Cases[1].Failure == nil {
		t.Errorf("JUnit report: got %+v, error %v", doc, err)
	}
}
