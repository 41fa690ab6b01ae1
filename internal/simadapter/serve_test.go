package simadapter

import (
	"bytes"
	"strings"
	"testing"
)

const beginLine = "BEGIN 3 99 az=a classes.count=2 classes.0.credit=1.0 classes.0.hard-limit=4000000 " +
	"classes.0.name=read classes.0.objective=1000000 classes.0.semantics=retryable classes.0.window=0 " +
	"classes.1.credit=4.0 classes.1.hard-limit=4000000 classes.1.name=write classes.1.objective=1000000 " +
	"classes.1.semantics=dedup classes.1.window=6000000 domain.cores=2 domain.memory-kb=90000.0 " +
	"domain.run-factor=8.0 domain.kb-per-key=20.0 domain.signal=off domain.stop-mode=off unknown.key=7 " +
	"projects.count=1 projects.0.name=north projects.0.quota-per-s=10.0 rules.grace-to-answer=60000 " +
	"servers=4 tick=4000"

// serve runs the adapter on the given input lines and returns its output.
func serve(t *testing.T, lines ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out)
	return out.String(), err
}

func TestBatchActions(t *testing.T) {
	arrivalLine := "ORDER 3 42 read 24.5 - 77 2000000 north 0 0.25 - 1 50"
	for name, c := range map[string]struct {
		lines []string
		want  []string
	}{
		"empty batch":                  {[]string{"MARK 5 1", "FLUSH"}, []string{"NEXT 1"}},
		"arrival is run":               {[]string{"MARK 5 1", beginLine, arrivalLine, "FLUSH"}, []string{"HEALTH 3 1 1", "RUN 3 42", "NEXT 1"}},
		"key is stored before the run": {[]string{"MARK 5 1", beginLine, strings.Replace(arrivalLine, "read", "write", 1), "FLUSH"}, []string{"STORE_KEY 3 42", "RUN 3 42"}},
		"events of ended requests":     {[]string{"MARK 5 1", beginLine, "WORK_DONE 3 7 1 20", "GONE 3 8", "CALL_RESULT 3 9 3 80", "FLUSH"}, []string{"NEXT 1"}},
		"instance restarted in one batch": {[]string{"MARK 5 1", beginLine, "FLUSH", "MARK 6 2", "SHUTDOWN 3", beginLine, arrivalLine, "FLUSH"},
			[]string{"NEXT 1", "RUN 3 42", "NEXT 2"}},
		"ended instance has no actions":      {[]string{"MARK 5 1", beginLine, "FLUSH", "MARK 6 2", "SHUTDOWN 3", "FLUSH"}, []string{"NEXT 1", "NEXT 2"}},
		"timer with and without gauges":      {[]string{"MARK 5 1", beginLine, "FIRED 3 77 core_use:0.6,new_one:3,links:12", "FIRED 3 78 -", "FLUSH"}, []string{"NEXT 1"}},
		"arrival during a drain is rejected": {[]string{"MARK 5 1", beginLine, "QUIESCE 3 10", arrivalLine, "FLUSH"}, []string{"SHED 3 42", "NEXT 1"}},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := serve(t, c.lines...)
			if err != nil {
				t.Fatal(err)
			}
			rest := out
			for _, w := range c.want {
				i := strings.Index(rest, w)
				if i < 0 {
					t.Fatalf("no %q (in this order) in:\n%s", w, out)
				}
				rest = rest[i:]
			}
		})
	}
}

func TestInvalidInputNamesLineAndReason(t *testing.T) {
	for name, c := range map[string]struct {
		line string
		want string
	}{
		"unknown message":           {"HELLO 3 1", "HELLO"},
		"unknown class":             {"ORDER 3 42 gold 24.5 - 77 2000000 north 0 0.25 - 1 50", "gold"},
		"unknown tenant":            {"ORDER 3 42 read 24.5 - 77 2000000 south 0 0.25 - 1 50", "south"},
		"invalid number":            {"ORDER 3 42 read abc - 77 2000000 north 0 0.25 - 1 50", "abc"},
		"not finite":                {"ORDER 3 42 read NaN - 77 2000000 north 0 0.25 - 1 50", "NaN"},
		"negative duration":         {"ORDER 3 42 read 1 - 77 -5 north 0 0.25 - 1 50", "-5"},
		"unknown outcome":           {"WORK_DONE 3 42 9 20", "9"},
		"missing field":             {"WORK_DONE 3", "request id"},
		"trailing text":             {"GONE 3 42 why", "why"},
		"instance not running":      {"GONE 4 42", "instance 4"},
		"invalid setting":           {strings.Replace(beginLine, "domain.cores=2", "domain.cores=two", 1), "domain.cores"},
		"invalid semantics":         {strings.Replace(beginLine, "dedup", "maybe", 1), "semantics"},
		"invalid settings":          {strings.Replace(beginLine, "domain.cores=2", "domain.cores=0", 1), "cores"},
		"negative time":             {strings.Replace(beginLine, "rules.grace-to-answer=60000", "rules.grace-to-answer=-1", 1), "grace-to-answer"},
		"infinite":                  {beginLine + " rules.overload-factor=Inf", "overload-factor"},
		"negative call limit":       {beginLine + " domain.downstream=one_for_all domain.calls-out=-0.5", "calls-out"},
		"call limit without window": {beginLine + " domain.downstream=one_for_all domain.calls-out=0.5 domain.calls-over=0", "share of calls"},
		"infinite weight":           {beginLine + " domain.degraded-worth=1e999,0", "degraded-worth"},
		"batch in batch":            {"MARK 6 2", "MARK"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := serve(t, "MARK 5 1", beginLine, c.line, "FLUSH")
			if err == nil {
				t.Fatal("no error")
			}
			if msg := err.Error(); !strings.Contains(msg, "line 3") || !strings.Contains(msg, c.want) {
				t.Errorf("error %q does not contain both \"line 3\" and %q", msg, c.want)
			}
		})
	}
}

func TestEndInsideBatchIsError(t *testing.T) {
	if _, err := serve(t, "MARK 5 1", beginLine); err == nil {
		t.Error("no error although the input ends inside a batch")
	}
}

func TestInstancesAreIndependent(t *testing.T) {
	other := strings.Replace(beginLine, "BEGIN 3", "BEGIN 4", 1)
	alone, err := serve(t, "MARK 5 1", beginLine, "FLUSH", "MARK 9 2", "ORDER 3 1 read 1 - - 2000000 - 0 0 - 1 0", "FLUSH")
	if err != nil {
		t.Fatal(err)
	}
	both, err := serve(t, "MARK 5 1", beginLine, other, "FLUSH", "MARK 7 1", "QUIESCE 4 100", "FLUSH",
		"MARK 9 2", "ORDER 3 1 read 1 - - 2000000 - 0 0 - 1 0", "FLUSH")
	if err != nil {
		t.Fatal(err)
	}
	linesOfInstance3 := func(text string) (kept []string) {
		for _, l := range strings.Split(text, "\n") {
			if f := strings.Fields(l); len(f) > 1 && f[1] == "3" {
				kept = append(kept, l)
			}
		}
		return kept
	}
	if a, b := strings.Join(linesOfInstance3(alone), "\n"), strings.Join(linesOfInstance3(both), "\n"); a != b {
		t.Errorf("actions of instance 3 depend on instance 4; alone:\n%s\nwith instance 4:\n%s", a, b)
	}
}

func TestCallConcurrencyLimitFromSettings(t *testing.T) {
	for name, c := range map[string]struct {
		more string
		want float64
	}{
		"absent":                {"", 0},
		"zero":                  {"domain.downstream=one_for_all domain.calls-out=0.0 domain.calls-over=5000000", 0},
		"under one":             {"domain.downstream=one_for_all domain.calls-out=0.25 domain.calls-over=5000000", 0.25},
		"dependency not shared": {"domain.downstream=tier domain.calls-out=0.25 domain.calls-over=5000000", 0},
		"no dependency":         {"domain.downstream=off domain.calls-out=0.25 domain.calls-over=5000000", 0},
		"dash as limit":         {"domain.downstream=one_for_all domain.calls-out=- domain.calls-over=5000000", 0},
	} {
		t.Run(name, func(t *testing.T) {
			_, rest, _ := strings.Cut(strings.TrimPrefix(beginLine, "BEGIN 3 "), " ")
			s, _, err := parseSettings(&lineFields{rest: rest + " " + c.more})
			if err != nil {
				t.Fatal(err)
			}
			if s.CallConcurrencyLimit != c.want {
				t.Errorf("limit %v, want %v", s.CallConcurrencyLimit, c.want)
			}
		})
	}
}
