package sites

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// span is a range from which a simulated day draws a value. A single value is a range whose ends are equal.
type span [2]float64

// validate checks a site file and returns all errors, joined. Each error names the file and the key.
func validate(file, text, unlocked string) error {
	var site map[string]any
	if err := toml.Unmarshal([]byte(text), &site); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	var errs []error
	report := func(key, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%s: %s: %s", file, key, fmt.Sprintf(format, args...)))
	}
	table := func(parent map[string]any, key string) map[string]any {
		if t, ok := parent[key].(map[string]any); ok {
			return t
		}
		report(key, "the section is missing")
		return map[string]any{}
	}
	tables := func(parent map[string]any, path, key string) (out []map[string]any) {
		entries, _ := parent[key].([]any)
		for _, e := range entries {
			if t, ok := e.(map[string]any); ok {
				out = append(out, t)
			}
		}
		if len(out) == 0 {
			report(path+key, "missing, want at least one entry")
		}
		return out
	}
	number := func(v any) (float64, bool) {
		switch v := v.(type) {
		case int64:
			return float64(v), true
		case float64:
			return v, true
		}
		return 0, false
	}
	// readRange reads a value or a range, which must lie from low to high.
	readRange := func(parent map[string]any, path, key string, low, high float64) span {
		v, found := parent[key]
		if !found {
			report(path+key, "missing")
			return span{}
		}
		var s span
		ends, isRange := v.([]any)
		if !isRange {
			ends = []any{v, v}
		}
		if len(ends) != 2 {
			report(path+key, "%v is not a range of two values", v)
			return span{}
		}
		for i := range s {
			var ok bool
			if s[i], ok = number(ends[i]); !ok {
				report(path+key, "%v is not a number", ends[i])
				return span{}
			}
			if s[i] < low || s[i] > high {
				report(path+key, "%v is not from %v to %v", s[i], low, high)
				return s
			}
		}
		if s[0] > s[1] {
			report(path+key, "the end of range %v is below its start", v)
		}
		return s
	}
	readWord := func(parent map[string]any, path, key string, allowed ...string) string {
		w, _ := parent[key].(string)
		for _, a := range allowed {
			if w == a {
				return w
			}
		}
		if len(allowed) > 0 {
			report(path+key, "%q is not one of %s", w, strings.Join(allowed, ", "))
		} else if w == "" {
			report(path+key, "missing")
		}
		return w
	}
	if name := readWord(site, "", "name"); name != strings.TrimSuffix(filepath.Base(file), ".toml") {
		report("name", "%q does not match the file name", name)
	}
	rules := table(site, "rules")
	readRange(rules, "rules.", "drain_grace_ms", 0, 60000)
	readRange(rules, "rules.", "fall_multiple", 1, 100)
	readRange(rules, "rules.", "fall_ms", 1, 60000)
	shares := 0.0
	classes := tables(site, "", "class")
	for i, c := range classes {
		path := fmt.Sprintf("class[%d].", i)
		readWord(c, path, "name")
		shares += readRange(c, path, "share", 0.001, 1)[0]
		readRange(c, path, "work_ms", 0.1, 60000)
		readRange(c, path, "worth", 0.001, 1000)
		aim, deadline := readRange(c, path, "aim_ms", 1, 600000), readRange(c, path, "deadline_ms", 1, 600000)
		if aim[1] > deadline[0] {
			report(path+"aim_ms", "%v is beyond the deadline of %v", aim[1], deadline[0])
		}
		if readWord(c, path, "effect", "safe", "keyed", "unsafe") == "keyed" {
			if window := readRange(c, path, "window_ms", 1, 604800000); window[0] < deadline[1] {
				report(path+"window_ms", "%v is shorter than the deadline of %v: an attempt could outlive its key", window[0], deadline[1])
			}
		}
	}
	if shares < 0.98 || shares > 1.02 {
		report("class[].share", "the shares add up to %.3f, want 1", shares)
	}
	family := table(site, "fam")
	if n := len(tables(family, "fam.", "class")); n != len(classes) {
		report("fam.class", "%d entries for %d classes", n, len(classes))
	}
	readRange(family, "fam.", "intake", 0, 1)
	readRange(family, "fam.", "run_factor", 1, 100)
	shares = 0
	for i, tenant := range tables(site, "", "tenant") {
		path := fmt.Sprintf("tenant[%d].", i)
		readWord(tenant, path, "name")
		shares += readRange(tenant, path, "share", 0.001, 1)[0]
	}
	if shares < 0.98 || shares > 1.02 {
		report("tenant[].share", "the shares add up to %.3f, want 1", shares)
	}
	for i, tier := range tables(site, "", "tier") {
		for k, kind := range tables(tier, fmt.Sprintf("tier[%d].", i), "kind") {
			path := fmt.Sprintf("tier[%d].kind[%d].", i, k)
			readRange(kind, path, "cores", 1, 4096)
			readRange(kind, path, "speed", 0.01, 100)
			readRange(kind, path, "cold_from", 0.01, 1)
			readRange(kind, path, "cold_s", 0.1, 600)
		}
	}
	for i, trouble := range tables(site, "", "trouble") {
		path := fmt.Sprintf("trouble[%d].", i)
		if name := readWord(trouble, path, "name"); !strings.Contains(unlocked, name) {
			report(path+"name", "%q is not listed in unlock.txt", name)
		}
		readRange(trouble, path, "len_s", 0.1, 600)
	}
	return errors.Join(errs...)
}

func readFile(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestSiteFilesAreValid checks that the site files on which later versions are evaluated are complete and within plausible bounds.
func TestSiteFilesAreValid(t *testing.T) {
	files, err := filepath.Glob("*.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("found site files %v, %v, want at least 2", files, err)
	}
	for _, file := range files {
		if err := validate(file, readFile(t, file), readFile(t, "unlock.txt")); err != nil {
			t.Error(err)
		}
	}
}

// TestErrorNamesFileAndKey checks that an invalid site file gives an error of one line that names the file and the key.
func TestErrorNamesFileAndKey(t *testing.T) {
	valid, unlocked := readFile(t, "harbour-tight.toml"), readFile(t, "unlock.txt")
	for _, c := range []struct{ from, to, want string }{
		{"aim_ms = 350\n", "", "harbour-tight.toml: class[0].aim_ms: missing"},
		{"aim_ms = 350\n", "aim_ms = 1350\n", "harbour-tight.toml: class[0].aim_ms: 1350 is beyond the deadline of 1100"},
		{"window_ms = 5400\n", "window_ms = 540\n", "harbour-tight.toml: class[2].window_ms: 540 is shorter than the deadline of 1800: an attempt could outlive its key"},
		{"share = 0.25\nwork_ms = [60", "share = 0.5\nwork_ms = [60", "harbour-tight.toml: class[].share: the shares add up to 1.250, want 1"},
		{"work_ms = [50, 90]", "work_ms = [90, 50]", "harbour-tight.toml: class[3].work_ms: the end of range [90 50] is below its start"},
		{"work_ms = [50, 90]", `work_ms = ["50", 90]`, "harbour-tight.toml: class[3].work_ms: 50 is not a number"},
		{"fall_multiple = 4", "fall_multiple = -4", "harbour-tight.toml: rules.fall_multiple: -4 is not from 1 to 100"},
		{`effect = "unsafe"`, `effect = "odd"`, `harbour-tight.toml: class[3].effect: "odd" is not one of safe, keyed, unsafe`},
		{`name = "balancer_crash"`, `name = "fire"`, `harbour-tight.toml: trouble[0].name: "fire" is not listed in unlock.txt`},
		{`name = "harbour-tight"`, `name = "other"`, `harbour-tight.toml: name: "other" does not match the file name`},
		{"[rules]", "[rule]", "harbour-tight.toml: rules: the section is missing"},
		{"[day]", "[day", "harbour-tight.toml: toml: "},
	} {
		text := strings.Replace(valid, c.from, c.to, 1)
		if text == valid {
			t.Fatalf("the site file does not contain %q", c.from)
		}
		err := validate("harbour-tight.toml", text, unlocked)
		if err == nil || !strings.HasPrefix(err.Error(), c.want) || c.want != "harbour-tight.toml: rules: the section is missing" && strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", c.to, err, c.want)
		}
	}
}
