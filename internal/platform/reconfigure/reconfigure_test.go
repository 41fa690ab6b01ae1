package reconfigure

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"sloehitch/internal/platform/settings"
	"sloehitch/logic"
)

const running = `{"rules": {"grace-to-answer": 80000}, "domain": {"cores": 4, "memory-kb": 65536},
 "classes": [{"name": "search", "objective": 4300000, "hard-limit": 17000000, "semantics": "retryable", "window": 1},
             {"name": "book", "objective": 6500000, "hard-limit": 17000000, "semantics": "dedup"}]}`

func flat(t *testing.T, text string) map[string]string {
	t.Helper()
	var object map[string]any
	if err := json.Unmarshal([]byte(text), &object); err != nil {
		t.Fatal(err)
	}
	return settings.Flatten(object)
}

func TestCheckFile(t *testing.T) {
	for _, c := range []struct{ name, next, err string }{
		{"unchanged", running, ""},
		{"a class added", strings.Replace(running, `"window": 1},`, `"window": 1}, {"name": "new", "objective": 1, "hard-limit": 2, "semantics": "retryable"},`, 1), ""},
		{"a class removed", `{"rules": {"grace-to-answer": 1}, "domain": {"cores": 4, "memory-kb": 1},
		  "classes": [{"name": "book", "objective": 1, "hard-limit": 2, "semantics": "dedup"}]}`, ""},
		{"a key that only some classes had is optional", strings.Replace(running, `, "window": 1`, ``, 1), ""},
		{"empty", "  \n", "the file is empty"},
		{"a class lacks its client timeout", strings.Replace(running, `"hard-limit": 17000000, "semantics": "dedup"`, `"semantics": "dedup"`, 1), "classes.1.hard-limit"},
		{"a new class lacks a key", strings.Replace(running, `"window": 1},`, `"window": 1}, {"name": "new", "hard-limit": 2, "semantics": "retryable"},`, 1), "classes.1.objective"},
		{"a rule is missing", strings.Replace(running, `"grace-to-answer": 80000`, ``, 1), "rules.grace-to-answer"},
		{"no classes", `{"rules": {"grace-to-answer": 1}, "domain": {"cores": 4, "memory-kb": 1}}`, "keys missing: classes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var next map[string]string
			if strings.TrimSpace(c.next) != "" {
				next = flat(t, c.next)
			}
			err := CheckFile([]byte(c.next), flat(t, running), next)
			if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
				t.Errorf("got %v, want %q", err, c.err)
			}
		})
	}
}

func settingsOf(classes ...string) logic.Settings {
	s := logic.Settings{Cores: 4, MemoryKB: 65536}
	for i, name := range classes {
		s.Classes = append(s.Classes, logic.Class{Name: name, LatencyObjective: logic.Micros(1000 * (i + 1)), ClientTimeout: 5000})
	}
	return s
}

func TestMerge(t *testing.T) {
	next := settingsOf("c", "b", "d")
	next.Classes[1].ClientTimeout = 9000
	next.Classes[1].Idempotency = logic.NonIdempotent
	p, err := Merge(settingsOf("a", "b", "c"), next)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, c := range p.Settings.Classes {
		names = append(names, c.Name)
	}
	if !slices.Equal(names, []string{"a", "b", "c", "d"}) || !slices.Equal(p.Added, []string{"d"}) || !slices.Equal(p.Removed, []string{"a"}) {
		t.Errorf("classes %v, added %v, removed %v", names, p.Added, p.Removed)
	}
	if p.Settings.Classes[1].ClientTimeout != 9000 || p.Settings.Classes[0].ClientTimeout != 5000 {
		t.Errorf("b must have the new client timeout and a its own: %+v", p.Settings.Classes)
	}
	if got := fmt.Sprint(p.Idempotency); got != "[b: retryable to fragile]" {
		t.Errorf("changes of idempotency %s", got)
	}
	if p.ClassIndex["d"] != 3 || p.ClassIndex["a"] != 0 || len(p.ClassIndex) != 4 {
		t.Errorf("class index %v", p.ClassIndex)
	}
	bad := settingsOf("b")
	bad.Classes[0].ClientTimeout = 0
	if _, err := Merge(settingsOf("a", "b"), bad); err == nil {
		t.Error("a client timeout of 0 was accepted")
	}
	tenants := settingsOf("a")
	tenants.Tenants = []logic.Tenant{{Name: "t"}}
	if p, err := Merge(settingsOf("a"), tenants); err != nil || !p.TenantsChanged || len(p.Settings.Tenants) != 0 {
		t.Errorf("tenants changed: %v, %+v", err, p)
	}
}
