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

// span holds the parts of a written span that the tests check.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	StartTime   time.Time
	EndTime     time.Time
	Status      struct{ Code, Description string }
	Events      []struct{ Name string }
}

func readSpans(t *testing.T, path string) (spans []span) {
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

// TestRecordRequestWritesSpans checks that a request with two attempts is traced as part of the client's trace.
func TestRecordRequestWritesSpans(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(1764576000000 + int64(ms)) }
	path := filepath.Join(t.TempDir(), "spans")
	for range 2 { // the second time the spans are appended
		tr, err := Open(path, "n1", 0, limits.For(64, 256), standin.DiscardLogger)
		if err != nil {
			t.Fatal(err)
		}
		r := uwsgi.RequestTimes{ID: "1", ReadAt: at(0), AnsweredAt: at(90), Outcome: "failed", Run: uwsgi.RunTimes{StartedAt: at(20), DoneAt: at(80), Attempts: []uwsgi.AttemptTimes{
			{Server: "a", StartedAt: at(20), EndedAt: at(30), Failure: "refused"}, {Server: "b", StartedAt: at(30), ConnectedAt: at(31), FirstByteAt: at(70), EndedAt: at(80)}}}}
		tr.RecordRequest(r) // not traced: the sample rate is 0
		r.TraceParent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00"
		tr.RecordRequest(r) // not traced: the client does not sample it
		r.TraceParent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
		tr.RecordRequest(r)
		if err := tr.Close(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	spans := readSpans(t, path)
	var got []string
	for _, s := range spans[:min(len(spans), 4)] {
		var events []string
		for _, e := range s.Events {
			events = append(events, e.Name)
		}
		got = append(got, fmt.Sprint(s.Name, " ", s.StartTime.Sub(at(0)), " ", s.EndTime.Sub(at(0)), " ", s.Status.Description, events))
		if s.SpanContext.TraceID != "0af7651916cd43dd8448eb211c80319c" || (s.Name == "request") != (s.Parent.SpanID == "b7ad6b7169203331") {
			t.Errorf("span %s is in trace %s with parent %s", s.Name, s.SpanContext.TraceID, s.Parent.SpanID)
		}
	}
	const want = "held 0s 20ms []; try 1 20ms 30ms refused[]; try 2 30ms 80ms [connected first byte]; request 0s 90ms failed[]"
	if s := strings.Join(got, "; "); s != want || len(spans) != 8 {
		t.Errorf("%d spans: %s", len(spans), s)
	}
}

// TestSampledFractionOfRequests checks that about the configured fraction of requests is traced, and always the same ones.
func TestSampledFractionOfRequests(t *testing.T) {
	tr := &Traces{sampleRate: 0.25}
	n := 0
	for i := range 10000 {
		id := fmt.Sprint("uwsgi-", i)
		first := tr.sampled(id)
		if first {
			n++
		}
		if again := tr.sampled(id); again != first {
			t.Fatal("sampling of the same request differs between two calls")
		}
	}
	if n < 2000 || n > 3000 {
		t.Errorf("%d of 10,000 requests sampled, want about 2500", n)
	}
	if (&Traces{sampleRate: 0}).sampled("x") || !(&Traces{sampleRate: 1}).sampled("x") {
		t.Error("rate 0 sampled a request, or rate 1 did not")
	}
}

// BenchmarkRequest measures the cost of tracing a request, without writing to a disk.
func BenchmarkRequest(b *testing.B) {
	tr, err := Open(os.DevNull, "n1", 1, limits.For(64, 256), standin.DiscardLogger)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Now()
	r := uwsgi.RequestTimes{ID: "1", ReadAt: now, AnsweredAt: now, Outcome: "served", Run: uwsgi.RunTimes{StartedAt: now, DoneAt: now, Attempts: []uwsgi.AttemptTimes{{Server: "a", StartedAt: now, EndedAt: now}}}}
	b.ReportAllocs()
	for b.Loop() {
		tr.RecordRequest(r)
	}
}
