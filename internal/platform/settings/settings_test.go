package settings

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"

	"sloehitch/internal/testing/standin"
	"sloehitch/logic"
)

func parseJSON(t *testing.T, text string) (logic.Settings, *NameIndex, error) {
	t.Helper()
	var object map[string]any
	if err := json.Unmarshal([]byte(text), &object); err != nil {
		t.Fatal(err)
	}
	return Parse(Flatten(object))
}

func TestParseNestedSettings(t *testing.T) {
	s, v, err := parseJSON(t, standin.Settings)
	if err != nil {
		t.Fatal(err)
	}
	if v.Classes["book"] != 1 || v.Tenants["acme"] != 0 || len(v.GaugeNames) != 4 || v.GaugeNames[1] != "on_cores" {
		t.Errorf("unexpected names %+v", v)
	}
	b := s.Classes[1]
	if b.Idempotency != logic.IdempotentByKey || b.IdempotencyWindow != 90000000 || b.PriorityWeight != 3 || !b.CallsDependency || b.DegradedWeightShare != 0 || s.Classes[0].DegradedWeightShare != 0.6 {
		t.Errorf("unexpected classes %+v", s.Classes)
	}
	if s.Cores != 2 || s.StopMode != logic.StopPause || s.SignalMode != logic.SignalPriorityFloor || s.MaxRetryAfter != 1000000 || s.ResponseGrace != 80000 {
		t.Errorf("unexpected settings %+v", s)
	}
}

// minimal is a settings object that has only the required keys.
const minimal = `{"domain":{"cores":2,"memory-kb":20000},"classes":[{"name":"a","objective":1000000,"hard-limit":3000000,"semantics":"retryable"}]}`

func TestAbsentSettingsHaveUsableDefaults(t *testing.T) {
	s, v, err := parseJSON(t, minimal)
	if err != nil {
		t.Fatal(err)
	}
	if s.RunMemoryFactor != 1 || s.StepInterval != 4000 || s.MaxConcurrencyPerCore != 1000 || s.FleetSize != 1 || s.Classes[0].PriorityWeight != 1 || s.OverQuotaWeightShare != 1 ||
		s.MaxRetryAfter != 0 || s.DeadlinePropagated || s.StopMode != logic.StopOff || s.SignalMode != logic.SignalOff || len(v.GaugeNames) != 0 {
		t.Errorf("unexpected defaults %+v", s)
	}
	if _, err := logic.New(s, 1); err != nil {
		t.Error(err)
	}
}

func TestErrorsNamePathValueAndRange(t *testing.T) {
	const class = `"classes":[{"name":"a","objective":1000000,"hard-limit":3000000,"semantics":"retryable"`
	withDomainKey := func(more string) string { return strings.Replace(minimal, `"domain":{`, `"domain":{`+more+`,`, 1) }
	withClassKey := func(more string) string { return strings.Replace(minimal, class, class+","+more, 1) }
	for _, c := range []struct {
		text  string
		words []string // that the error must contain
	}{
		{`{"classes":` + minimal[strings.Index(minimal, "[{"):], []string{"domain.cores is missing", "1 to 4096", "domain.memory-kb is missing"}},
		{strings.Replace(minimal, `"cores":2`, `"cores":-1`, 1), []string{`domain.cores is "-1"`, "whole number from 1 to 4096"}},
		{strings.Replace(minimal, `"cores":2`, `"cores":2.5`, 1), []string{`domain.cores is "2.5"`, "whole"}},
		{strings.Replace(minimal, `"cores":2`, `"cores":"two"`, 1), []string{`domain.cores is "two"`}},
		{strings.Replace(minimal, "20000", "0", 1), []string{`domain.memory-kb is "0"`, "above 0"}},
		{withDomainKey(`"run-factor":1e300`), []string{"domain.run-factor", "1000"}},
		{withDomainKey(`"downstream":"one_for_all","calls-out":-1,"calls-over":5000000`), []string{`domain.calls-out is "-1"`, "0 to 1000000"}},
		{withDomainKey(`"downstream":"one_for_all","calls-out":1`), []string{"domain.calls-over is missing", "span over which"}},
		{withDomainKey(`"downstream":"below"`), []string{`domain.downstream is "below"`, "off, one_for_all, tier"}},
		{withDomainKey(`"signal":"flor"`), []string{`domain.signal is "flor"`, "allowance, floor"}},
		{withDomainKey(`"stop-mode":7`), []string{`domain.stop-mode is "7"`, "discard"}},
		{withDomainKey(`"passes-deadline":"maybe"`), []string{`domain.passes-deadline is "maybe"`, "true or false"}},
		{withDomainKey(`"degraded-worth":[2]`), []string{`domain.degraded-worth is "2"`, "0 to 1"}},
		{withDomainKey(`"class-calls":["often"]`), []string{`domain.class-calls is "often"`}},
		{strings.Replace(minimal, "{", `{"rules":{"overload-factor":1e300},`, 1), []string{"rules.overload-factor", "1 to 1000"}},
		{strings.Replace(minimal, "{", `{"rules":{"fall":1e300},`, 1), []string{"rules.fall", "86400000000", "day"}},
		{strings.Replace(minimal, "{", `{"rules":{"grace-to-answer":-5},`, 1), []string{`rules.grace-to-answer is "-5"`}},
		{strings.Replace(minimal, "{", `{"rules":{"start-capacity":1.5},`, 1), []string{`rules.start-capacity is "1.5"`, "0 to 1"}},
		{strings.Replace(minimal, "{", `{"tick":"soon",`, 1), []string{`tick is "soon"`, "100 to 1000000"}},
		{strings.Replace(minimal, "{", `{"tick":1,`, 1), []string{`tick is "1"`}},
		{strings.Replace(minimal, "{", `{"counted-by":"weight",`, 1), []string{`counted-by is "weight"`, "request, work"}},
		{strings.Replace(minimal, "{", `{"projects":[{"name":"p"},{"name":"p"}],`, 1), []string{`projects[1].name is "p"`, "another"}},
		{strings.Replace(minimal, "{", `{"projects":[{"name":"p","quota-per-s":-3}],`, 1), []string{`projects[0].quota-per-s is "-3"`}},
		{strings.Replace(minimal, `"objective":1000000,`, "", 1), []string{"classes[0].objective is missing", "microseconds"}},
		{strings.Replace(minimal, `"hard-limit":3000000`, `"hard-limit":1e300`, 1), []string{"classes[0].hard-limit", "a day at most"}},
		{strings.Replace(minimal, `"name":"a",`, "", 1), []string{"classes[0].name is missing"}},
		{strings.Replace(minimal, `"retryable"`, `"sometimes"`, 1), []string{`classes[0].semantics is "sometimes"`, "dedup, fragile, retryable"}},
		{strings.Replace(minimal, `,"semantics":"retryable"`, "", 1), []string{"classes[0].semantics is missing"}},
		{strings.Replace(minimal, `"retryable"`, `"dedup"`, 1), []string{"classes[0].window is missing", "60000000"}},
		{withClassKey(`"late-worth":2`), []string{`classes[0].late-worth is "2"`}},
		{withClassKey(`"credit":-1`), []string{`classes[0].credit is "-1"`}},
		{withClassKey(`"aim-stretch":1e9`), []string{"classes[0].aim-stretch"}},
		{`{"domain":{"cores":2,"memory-kb":1}}`, []string{"classes is missing", "1 to 256"}},
		{`{"domain":{"cores":2,"memory-kb":1},"classes":"many"}`, []string{`classes is "many"`, "list of objects"}},
		{`{"domain":{"cores":2,"memory-kb":1},"classes.count":1e9}`, []string{"classes.count", "1 to 256"}},
	} {
		_, _, err := parseJSON(t, c.text)
		if err == nil {
			t.Errorf("%s: no error", c.text)
			continue
		}
		for _, w := range c.words {
			if !strings.Contains(err.Error(), w) {
				t.Errorf("%s\n  %q lacks %q", c.text, err, w)
			}
		}
	}
}

func TestErrorsAreReportedTogether(t *testing.T) {
	_, _, err := parseJSON(t, `{"tick":0,"domain":{"cores":-1,"run-factor":"x"},"classes":[{"name":"a","semantics":"dedup"}]}`)
	var fs FieldErrors
	if !errors.As(err, &fs) {
		t.Fatal(err)
	}
	var paths []string
	for _, f := range fs {
		paths = append(paths, f.Path)
	}
	slices.Sort(paths)
	want := []string{"classes[0].hard-limit", "classes[0].objective", "classes[0].window", "domain.cores", "domain.memory-kb", "domain.run-factor", "tick"}
	if !slices.Equal(paths, want) {
		t.Errorf("errors at %v, want %v", paths, want)
	}
	if f := fs.WithPrefix("settings"); !strings.HasPrefix(f[0].Path, "settings.") || strings.HasPrefix(fs[0].Path, "settings.") {
		t.Errorf("paths with a prefix: %v", f)
	}
	many := make(FieldErrors, 50)
	if text := many.Error(); !strings.HasSuffix(text, "and 30 more") {
		t.Errorf("text of fifty errors: %q, want \"and 30 more\" at its end", text)
	}
}

func TestFormsOfSettingsObject(t *testing.T) {
	for name, text := range map[string]string{
		"nested":         minimal,
		"paths":          `{"domain.cores":2,"domain.memory-kb":20000,"classes.count":1,"classes.0.name":"a","classes.0.objective":1e6,"classes.0.hard-limit":"3000000","classes.0.semantics":"retryable"}`,
		"without counts": `{"domain.cores":2,"domain.memory-kb":20000,"classes":{"0":{"name":"a","objective":1000000,"hard-limit":3000000,"semantics":"retryable"}}}`,
		"absent as null": strings.Replace(minimal, `"cores":2`, `"cores":2,"signal":null,"degraded-worth":[null],"stop-mode":"-"`, 1),
	} {
		s, _, err := parseJSON(t, text)
		if err != nil || len(s.Classes) != 1 || s.Classes[0].ClientTimeout != 3000000 || s.Cores != 2 {
			t.Errorf("form %q: settings %+v, error %v", name, s, err)
		}
	}
}
