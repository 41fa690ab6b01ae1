package uwsgi

import (
	"bytes"
	"testing"

	"sloehitch/internal/platform/endpoint"
	"sloehitch/internal/testing/conformance"
	"sloehitch/internal/testing/standin"
)

// TestConformance runs the conformance suite against the front, with a correct server behind it.
func TestConformance(t *testing.T) {
	r := newHarness(t, []string{standin.NewEcho(t, "").Address}, nil)
	e, err := endpoint.Parse(r.address)
	if err != nil {
		t.Fatal(err)
	}
	results := conformance.Run(conformance.Target{Address: e, Path: "/", Echo: true, Timeout: standin.WaitTimeout}, nil, 4)
	if conformance.Failed(results) > 0 {
		var b bytes.Buffer
		if err := conformance.Table(&b, results, false); err != nil {
			t.Fatal(err)
		}
		counts, inFlight, keys := r.node.Totals()
		t.Errorf("%s\nnode %+v, %d in flight, %d keys; front %+v; servers %+v", b.String(), counts, inFlight, keys, r.Totals(), r.pool.Servers())
	}
	standin.WaitFor(t, "all connections and requests have ended", func() bool { return r.OpenConnections() == 0 && r.node.Unanswered() == 0 })
}
