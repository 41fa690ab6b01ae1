package main

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func TestParseRejectsMalformedLists(t *testing.T) {
	const fine = "cmd/x.TestA/seed_7 | a permit is given twice | 26\n"
	for _, c := range []struct{ text, wrong string }{
		{"", ""},
		{"\n" + fine + "\n  \n", ""},
		{fine + "a.TestB|c|1\na-b/c.TestB/one/two|c|2\n", ""},
		{"TestA | no package | 1", `list:1: test: "TestA"`},
		{"cmd/x.A | no test | 1", `list:1: test: "cmd/x.A"`},
		{fine + "cmd/x.TestB | | 1", "list:2: cause: missing"},
		{"cmd/x.TestB | cause", "list:1: 2 fields"},
		{"cmd/x.TestB | cause | 1 | more", "list:1: 4 fields"},
		{"cmd/x.TestB | cause | soon", `list:1: issue: "soon"`},
		{fine + "\n" + fine, "list:3: test: cmd/x.TestA/seed_7 is listed twice"},
		{fine + "a.TestB|c|1\na.TestC|c|1\na.TestD|c|1\n", "list:4: 3 tests are known"},
	} {
		_, err := parse("list", c.text)
		if (err == nil) != (c.wrong == "") || err != nil && !strings.HasPrefix(err.Error(), c.wrong) {
			t.Errorf("parse of %q: error %v, want %q", c.text, err, c.wrong)
		}
	}
	list, err := parse("list", fine)
	if err != nil || !slices.Equal(list, []knownFailure{{"cmd/x", "TestA/seed_7", "a permit is given twice", "26"}}) || list[0].pattern() != "^TestA$/^seed_7$" {
		t.Errorf("parsed %+v, error %v, want one entry with its fields and pattern", list, err)
	}
}

// TestRunAcceptsOnlyListedFailures checks, in a temporary module, that only listed tests may fail and that each listed test must exist.
func TestRunAcceptsOnlyListedFailures(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"go.mod":           "module m\n\ngo 1.24\n",
		"a/a_test.go":      "package a\n\nimport \"testing\"\n\nfunc TestFine(t *testing.T) {}\n",
		"b/b_test.go":      "package b\n\nimport \"testing\"\n\nfunc TestFine(t *testing.T) {}\n\nfunc TestSeeds(t *testing.T) {\n\tt.Run(\"1\", func(*testing.T) {})\n\tt.Run(\"2\", func(t *testing.T) { t.Error(\"seed 2\") })\n}\n",
		"nested/c_test.go": "package nested\n\nimport \"testing\"\n\nfunc TestSeeds(t *testing.T) {\n\tt.Run(\"2\", func(t *testing.T) {})\n}\n",
	} {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Chdir(dir)
	for _, c := range []struct {
		name, text, wrong, printed string
	}{
		{"a failing test that is not listed", "", "exit status 1", "seed 2"},
		{"a listed subtest that fails", "b.TestSeeds/2 | why | 1", "", "KNOWN RED: b.TestSeeds/2 fails, as expected (why; issue 1)"},
		{"a listed test that passes", "b.TestSeeds/2 | why | 1\na.TestFine | why | 2", "", "KNOWN RED: a.TestFine passed this time"},
		{"a listed test whose subtest fails", "b.TestSeeds | why | 1", "", "KNOWN RED: b.TestSeeds fails"},
		{"another subtest is listed", "b.TestSeeds/1 | why | 1", "exit status 1", "seed 2"},
		{"the same subtest of another package is listed", "nested.TestSeeds/2 | why | 1", "exit status 1", "seed 2"},
		{"a test that does not exist", "b.TestNone | why | 1", "names the test b.TestNone, which does not exist", ""},
		{"a subtest that does not exist", "b.TestSeeds/2 | why | 1\nb.TestSeeds/3 | why | 1",
			"names the test b.TestSeeds/3, which does not exist", ""},
		{"a package that does not exist", "c.TestSeeds | why | 1", "names the package c, which does not exist", ""},
		{"a malformed line", "b.TestSeeds/2 why", "KNOWN-RED.txt:1: 1 fields", ""},
	} {
		if err := os.WriteFile("KNOWN-RED.txt", []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		err := runMain(&out, []string{"KNOWN-RED.txt", "go", "test", "./..."})
		if (err == nil) != (c.wrong == "") || err != nil && !strings.Contains(err.Error(), c.wrong) || !strings.Contains(out.String(), c.printed) {
			t.Errorf("%s: error %v, want %q; printed:\n%s", c.name, err, c.wrong, out.String())
		}
	}
}
