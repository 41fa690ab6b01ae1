package fleet

import (
	"fmt"
	"testing"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
)

func TestFailureDetectorTimesOutUnchangedReports(t *testing.T) {
	detector := NewFailureDetector(10 * time.Second)
	instant := func(sec int) lease.Instant { return lease.Instant(sec) * lease.Instant(time.Second) }
	silentAt := func(sec int, reports ...document.Document) string {
		detector.Observe(reports, instant(sec))
		return fmt.Sprint(detector.SilentNodes(instant(sec)))
	}
	a, b := document.Document{Key: "node/a", Version: 1}, document.Document{Key: "node/b", Version: 2}
	for _, c := range []struct {
		sec     int
		reports []document.Document
		want    string
	}{
		{1000, []document.Document{a, b}, "[]"}, // the timeout starts here, whatever the age of the reports
		{1009, []document.Document{a, b}, "[]"},
		{1010, []document.Document{a, {Key: "node/b", Version: 3}}, "[{a 10s}]"},
		{1015, []document.Document{{Key: "node/a", Version: 9}, {Key: "node/b", Version: 3}}, "[]"},
		{1021, []document.Document{{Key: "node/b", Version: 3}}, "[{b 11s}]"}, // a has no report any more
		{1022, []document.Document{{Key: "node/a", Version: 9}}, "[]"},        // a is observed as a new node
	} {
		if got := silentAt(c.sec, c.reports...); got != c.want {
			t.Errorf("at %d s: silent nodes %s, want %s", c.sec, got, c.want)
		}
	}
}
