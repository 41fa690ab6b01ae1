package daemon

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// deployments are settings objects with different sets of fields, in different forms and at their extremes, so that the daemon does not
// rely on the settings of one site. Each lists the classes that the test sends requests of, without and with idempotency keys.
var deployments = []struct {
	name, settings string
	limits         string
	safe, keyed    []string
}{
	{"required fields only", `{"domain":{"cores":1,"memory-kb":2000},"classes":[{"name":"a","objective":20000000,"hard-limit":30000000,"semantics":"retryable"}]}`,
		"", []string{"a"}, nil},
	{"weight per request, no hints, Retry-After, one shared dependency", `{"ceilings":{"retry-after":true,"max-retry-after":1000000},"counted-by":"request",
 "classes":[{"name":"render","objective":25000000,"hard-limit":83000000,"credit":1,"semantics":"retryable","late-worth":0},
  {"name":"status","objective":10000000,"hard-limit":31000000,"credit":1,"semantics":"retryable"},
  {"name":"create","objective":21000000,"hard-limit":83000000,"credit":3,"semantics":"dedup","window":24879000}],
 "domain":{"cores":6,"memory-kb":43272,"run-factor":16,"kb-per-key":84.1,"passes-deadline":true,"downstream":"one_for_all","calls-out":3.84,"calls-over":5000000,
  "class-calls":[true,true,true],"signal":"off","stop-mode":"discard","idle":15000000,"linger":200000},
 "rules":{"grace-to-answer":100000,"stop-sending-within":2500000,"overload-factor":8,"fall":1500000,"cold":16000000,"start-capacity":0.29},
 "projects":[{"name":"p","quota-per-s":85}],"over-share-worth":0.05,"servers":13,"tick":2000}`,
		"", []string{"render", "status"}, []string{"create"}},
	{"all numbers at their minimum", `{"tick":100,"servers":0,"counted-by":"request","over-share-worth":0,"ceilings":{"retry-after":false,"max-retry-after":0},
 "domain":{"cores":1,"memory-kb":1000,"run-factor":0,"kb-per-key":0,"signal":"weight","stop-mode":"off","idle":0,"linger":0,"calls-out":0,"calls-over":0,"downstream":"off","meters":[]},
 "rules":{"grace-to-answer":0,"stop-sending-within":0,"overload-factor":1,"fall":0,"cold":0,"start-capacity":0},
 "classes":[{"name":"a","objective":20000000,"hard-limit":20000000,"credit":0,"late-worth":0,"aim-stretch":0,"semantics":"retryable","window":0},
  {"name":"k","objective":20000000,"hard-limit":20000000,"credit":0,"semantics":"dedup","window":1}],"projects":[]}`,
		"", []string{"a"}, []string{"k"}},
	{"all numbers at their maximum", `{"tick":1000000,"servers":1000000,"counted-by":"work","over-share-worth":1,"ceilings":{"retry-after":true,"max-retry-after":86400000000},
 "domain":{"cores":4096,"memory-kb":1e10,"run-factor":1000,"kb-per-key":1e7,"signal":"allowance","stop-mode":"freeze","idle":86400000000,"linger":86400000000,
  "calls-out":1e6,"calls-over":86400000000,"downstream":"one_for_all","just-started":true,"degraded-worth":[1,1],"class-calls":[1,1]},
 "rules":{"grace-to-answer":86400000000,"stop-sending-within":86400000000,"overload-factor":1000,"fall":86400000000,"cold":86400000000,"start-capacity":1},
 "classes":[{"name":"a","objective":86400000000,"hard-limit":86400000000,"credit":1e9,"late-worth":1,"aim-stretch":1e4,"semantics":"retryable"},
  {"name":"k","objective":86400000000,"hard-limit":86400000000,"credit":1e9,"semantics":"dedup","window":604800000000}],"projects":[{"name":"p","quota-per-s":1e9}]}`,
		"", []string{"a"}, []string{"k"}},
	{"values by path, without counts, with a fragile class", `{"domain.cores":2,"domain.memory-kb":20000,"domain.run-factor":"-","classes.0.name":"a","classes.0.objective":2e7,
 "classes.0.hard-limit":"30000000","classes.0.semantics":"fragile","classes.1.name":"k","classes.1.objective":2e7,"classes.1.hard-limit":3e7,"classes.1.semantics":"dedup","classes.1.window":1e6}`,
		"", []string{"a"}, []string{"k"}},
	{"a small machine", `{"domain":{"cores":2,"memory-kb":20000,"signal":"floor","meters":["on_cores"]},"classes":[{"name":"a","objective":20000000,"hard-limit":30000000,"semantics":"retryable"}]}`,
		`{"cores":0.5,"memory_mb":32,"sockets":384}`, []string{"a"}, nil},
	{"forty classes", `{"domain":{"cores":2,"memory-kb":20000},"classes":[` + strings.Repeat(`{"name":"c@","objective":20000000,"hard-limit":30000000,"semantics":"retryable"},`, 39) +
		`{"name":"k","objective":20000000,"hard-limit":30000000,"semantics":"dedup","window":5000000}]}`,
		"", []string{"c0", "c38"}, []string{"k"}},
}

func TestServesUnderVariousSettings(t *testing.T) {
	for _, dep := range deployments {
		t.Run(dep.name, func(t *testing.T) {
			settings := dep.settings
			for i := 0; strings.Contains(settings, "c@"); i++ {
				settings = strings.Replace(settings, "c@", fmt.Sprint("c", i), 1)
			}
			limitsJSON := dep.limits
			if limitsJSON == "" {
				limitsJSON = `{"cores":1,"memory_mb":64,"sockets":256}`
			}
			rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) { return "OK", "done" })
			p, err := config.Parse([]byte(fmt.Sprintf(`{"name":"n1","listen":%q,"runtime":%q,"stop_ms":3000,"limits":%s,"settings":%s}`, standin.FreeAddress(t), rt.Address, limitsJSON, settings)))
			if err != nil {
				t.Fatal(err)
			}
			d, err := Start(&Config{Platform: p, Deploy: &config.Deploy{}}, Options{Limits: limits.For(p.Limits.MemoryMB, p.Limits.Sockets), Log: standin.DiscardLogger})
			if err != nil {
				t.Fatal(err)
			}
			stop, stopped := make(chan os.Signal, 1), make(chan error, 1)
			runUntilTestEnds(t, d, stop, stopped)
			t.Cleanup(d.listeners.closeAll)

			b := standin.Dial(t, p.Listen)
			tag := 0
			ask := func(class, fields string) {
				tag++
				b.Send(standin.Array("DO", fmt.Sprint(tag), class, fmt.Sprintf("req=%s,ts=%d,need=0.1%s", standin.RequestID(tag), time.Now().UnixMilli(), fields), fmt.Sprint("body of ", class)))
				if got := b.Read(); len(got) < 4 || got[0] != fmt.Sprint(tag) || got[1] != "ACK" || got[3] != "done" {
					t.Errorf("class %s with fields %q: answer %q", class, fields, got)
				}
			}
			for _, class := range dep.safe {
				ask(class, "")                                                                    // without optional fields
				ask(class, ",via=4,timeout=15000,ms=12.50,level=0.6250,subject=7f3a9c21e0b4d655") // with all optional fields
			}
			for _, class := range dep.keyed {
				ask(class, ",opkey=5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
			}
		})
	}
}

// TestAnswersOnceByRequestTimeout checks that a request with a timeout of its own is answered by then, though its class has a far longer one.
func TestAnswersOnceByRequestTimeout(t *testing.T) {
	hold := make(chan struct{})
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { <-hold; return "OK", "late" })
	b := standin.Dial(t, serveNode(t, longDeadline, rt).address)
	defer close(hold)
	began := time.Now()
	b.Do(1, "book", standin.RequestID(1), began, "a", ",opkey=k1,timeout=400")
	if got := b.Read(); len(got) < 2 || got[0] != "1" || got[1] != "FAIL" {
		t.Fatalf("answer %q, want FAIL at the request's timeout", got)
	}
	if took := time.Since(began); took < 300*time.Millisecond || took > longDeadline/2 {
		t.Errorf("answered after %v, with a timeout of 0.4 s", took)
	}
	expectNoMoreAnswers(t, b, "2")
}
