package traces

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/frontend/uwsgi"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// span is the part of a written span that is looked at.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	StartTime   time.Time
	EndTime     time.Time
	Status      struct{ Code, Description string }
	Events      []struct{ Name string }
}

func written(t *testing.T, path string) (spans []span) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for in := bufio.NewScanner(f); in.Scan(); {
		var s span
		if err := json.Unmarshal(in.Bytes(), &s); err != nil {
			t.Fatal(err)
		}
		spans = append(spans, s)
	}
	return spans
}

// TestRequest: a request with two tries tells where its time went, within the client's own trace.
func TestRequest(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(1764576000000 + int64(ms)) }
	path := filepath.Join(t.TempDir(), "spans")
	for range 2 { // the second one appends
		tr, err := Open(path, "n1", 0, limits.For(64, 256), standin.Quiet)
		if err != nil {
			t.Fatal(err)
		}
		r := uwsgi.RequestTimes{ID: "1", Read: at(0), Answered: at(90), Outcome: "failed", Run: uwsgi.RunTimes{Started: at(20), Done: at(80), Tries: []uwsgi.TryTimes{
			{Server: "a", Began: at(20), Ended: at(30), Why: "refused"}, {Server: "b", Began: at(30), Connected: at(31), FirstByte: at(70), Ended: at(80)}}}}
		tr.Request(r) // a share of none: not traced
		r.Parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00"
		tr.Request(r) // nor does the client trace it
		r.Parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
		tr.Request(r)
		if err := tr.Close(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	spans := written(t, path)
	var got []string
	for _, s := range spans[:min(len(spans), 4)] {
		var events []string
		for _, e := range s.Events {
			events = append(events, e.Name)
		}
		got = append(got, fmt.Sprint(s.Name, " ", s.StartTime.Sub(at(0)), " ", s.EndTime.Sub(at(0)), " ", s.Status.Description, events))
		if s.SpanContext.TraceID != "0af7651916cd43dd8448eb211c80319c" || (s.Name == "request") != (s.Parent.SpanID == "b7ad6b7169203331") {
			t.Errorf("%s is in trace %s below %s", s.Name, s.SpanContext.TraceID, s.Parent.SpanID)
		}
	}
	const want = "held 0s 20ms []; try 1 20ms 30ms refused[]; try 2 30ms 80ms [connected first byte]; request 0s 90ms failed[]"
	if s := strings.Join(got, "; "); s != want || len(spans) != 8 {
		t.Errorf("%d spans: %s", len(spans), s)
	}
}

// TestShare: about the share of requests is traced, the same ones each time.
func TestShare(t *testing.T) {
	tr := &Traces{share: 0.25}
	n := 0
	for i := range 10000 {
		id := fmt.Sprint("uwsgi-", i)
		first := tr.sampled(id)
		if first {
			n++
		}
		if again := tr.sampled(id); again != first {
			t.Fatal("not the same twice")
		}
	}
	if n < 2000 || n > 3000 {
		t.Errorf("%d of 10,000", n)
	}
	if (&Traces{share: 0}).sampled("x") || !(&Traces{share: 1}).sampled("x") {
		t.Error("none and all")
	}
}

// BenchmarkRequest is what a traced request costs, apart from the writing.
func BenchmarkRequest(b *testing.B) {
	tr, err := Open(os.DevNull, "n1", 1, limits.For(64, 256), standin.Quiet)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Now()
	r := uwsgi.RequestTimes{ID: "1", Read: now, Answered: now, Outcome: "served", Run: uwsgi.RunTimes{Started: now, Done: now, Tries: []uwsgi.TryTimes{{Server: "a", Began: now, Ended: now}}}}
	b.ReportAllocs()
	for b.Loop() {
		tr.Request(r)
	}
}
