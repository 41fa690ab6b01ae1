package metrics

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleet"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/release"
	"sloehitch/internal/frontend/uwsgi"
	"sloehitch/internal/frontend/uwsgi/balancer"
	"sloehitch/internal/ledger"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// TestScrapeReturnsConfiguredSources checks that a scrape over a socket returns the metrics of all sources, and none of sources that are nil.
func TestScrapeReturnsConfiguredSources(t *testing.T) {
	scrape := func(s Sources, runs ...uwsgi.RunTimes) string {
		t.Helper()
		ln := standin.Listen(t)
		m := New(s)
		go m.Serve(ln, limits.For(64, 256), standin.DiscardLogger)
		for _, r := range runs {
			m.ObserveRun(r)
		}
		resp, err := http.Get("http://" + ln.Addr().String() + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("GET /metrics: status %s, error %v: %s", resp.Status, err, text)
		}
		return string(text)
	}
	at := time.UnixMilli(1764576000000)
	all := scrape(Sources{
		Core: func() (node.Counts, int, int) {
			return node.Counts{Read: 7, Rejected: 3, RecordFailures: 1, WaitedElsewhere: 6, ServedFromElsewhere: 8}, 2, 5
		},
		Resp:  func() int { return 4 },
		Uwsgi: func() (uwsgi.Counts, int) { return uwsgi.Counts{Malformed: 6}, 8 },
		Servers: func() []balancer.Server {
			return []balancer.Server{{Name: "127.0.0.1:1", State: balancer.StateEjected, InFlight: 1, Capacity: 9}}
		},
		Ledger: func() ledger.Stats { return ledger.Stats{Keys: 11, Broken: "a flush failed"} },
		Classes: func() map[string]node.ClassCounts {
			return map[string]node.ClassCounts{"book": {Served: 4, Rejected: 2, Started: 5}}
		},
		Config: func() (int, int) { return 2, 1 },
		Fleet: func() fleet.Stats {
			return fleet.Stats{OutOfService: true, Reports: map[string]uint64{"failed": 4}, Permits: map[string]uint64{"granted": 6}, Grants: &fleet.GrantStats{Waiting: 3, Permits: map[fleetstate.PermitState]int{fleetstate.PermitStarted: 2}, Unavailable: map[disruption.Availability]int{disruption.Silent: 5}},
				Releases: []release.Status{{Name: "r", State: "running", Halted: true, Nodes: 9, Updated: 7, Wave: 2}}}
		},
	}, uwsgi.RunTimes{StartedAt: at, Attempts: []uwsgi.AttemptTimes{{ConnectedAt: at.Add(time.Millisecond), FirstByteAt: at.Add(3 * time.Second)}}, DoneAt: at.Add(4 * time.Second), Outcome: "ok"},
		uwsgi.RunTimes{StartedAt: at, DoneAt: at.Add(time.Second), Outcome: "moot"})
	for _, line := range []string{`sloehitch_requests_total{outcome="refused"} 3`, `sloehitch_bookings_unrecorded_total 1`, `sloehitch_tries_abroad_total{how="waited"} 6`, `sloehitch_tries_abroad_total{how="heard"} 8`, `sloehitch_requests_in_hand 2`,
		`sloehitch_keys 5`, `sloehitch_connections{front="resp"} 4`, `sloehitch_connections{front="uwsgi"} 8`, `sloehitch_uwsgi_requests_total{what="malformed"} 6`,
		`sloehitch_uwsgi_server_state{server="127.0.0.1:1",state="out"} 1`, `sloehitch_uwsgi_server_room{server="127.0.0.1:1"} 9`, `sloehitch_ledger_keys 11`,
		`sloehitch_ledger_broken 1`, `sloehitch_uwsgi_run_seconds_sum{outcome="ok",stage="first_byte"} 3`,
		`sloehitch_uwsgi_run_seconds_count{outcome="moot",stage="done"} 1`, `go_goroutines`,
		`sloehitch_class_responses_total{class="book",result="ok"} 4`, `sloehitch_class_responses_total{class="book",result="shed"} 2`,
		`sloehitch_class_tries_total{class="book"} 5`, `sloehitch_fleet_out{how="by permit"} 1`, `sloehitch_fleet_out{how="overdue"} 0`, `sloehitch_fleet_reports_total{result="failed"} 4`,
		`sloehitch_fleet_permits_total{what="granted"} 6`, `sloehitch_fleet_permits_total{what="begun"} 0`, `sloehitch_fleet_asks_waiting 3`, `sloehitch_fleet_permits{state="begun"} 2`, `sloehitch_fleet_counted_out{why="silent"} 5`,
		`sloehitch_release_nodes{release="r",which="changed"} 7`, `sloehitch_release_wave{release="r",state="running"} 2`, `sloehitch_release_halted{release="r"} 1`, `sloehitch_config_reloads_total{result="rejected"} 1`} {
		if !strings.Contains(all, "\n"+line) {
			t.Errorf("the response has no line %q", line)
		}
	}
	if strings.Contains(all, `outcome="moot",stage="connected"`) {
		t.Error("a stage that was not reached is counted")
	}
	if few := scrape(Sources{Core: func() (node.Counts, int, int) { return node.Counts{}, 0, 0 }}); strings.Contains(few, "ledger") || strings.Contains(few, "fleet") || strings.Contains(few, "uwsgi") {
		t.Errorf("metrics of sources that are nil:\n%s", few)
	}
}
