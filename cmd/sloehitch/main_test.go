package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/platform/config"
	"sloehitch/internal/store"
	"sloehitch/internal/testing/standin"
)

// TestLoadReportsErrorsInOneLine checks that an invalid configuration is reported in one line that names the file or the problem.
func TestLoadReportsErrorsInOneLine(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	fine := file("fine.json", standin.Config("127.0.0.1:4100", "127.0.0.1:6100", "", time.Second))
	idle := file("idle.json", standin.Config("127.0.0.1:4100", "", "", time.Second))
	file("bad.yaml", "openapi: 3.0.3\ninfo: {title: a, version: '1'}\npaths: {}\n")
	for _, c := range []struct{ name, config, deploy, wrong string }{
		{"repository's deployment file", fine, "../../deploy/sloehitch.toml", ""},
		{"no deployment file", fine, filepath.Join(dir, "none.toml"), ""},
		{"example files", "../../example/config.json", "../../example/sloehitch.toml", ""},
		{"no configuration", filepath.Join(dir, "none.json"), "", "no such file"},
		{"nothing to serve", idle, "", "nothing to serve"},
		{"invalid deployment file", fine, file("bad.toml", "uwsgi = 1"), "bad.toml"},
		{"invalid OpenAPI document", fine, file("on.toml", "[uwsgi]\nlisten = \"127.0.0.1:1\"\nservers = [\"127.0.0.1:2\"]\nopenapi = \"bad.yaml\"\n"), "bad.yaml"},
	} {
		f := files{Config: c.config, Deploy: c.deploy}
		if c.deploy == "" {
			f.Deploy = filepath.Join(dir, "none.toml")
		}
		_, err := f.load()
		if (err == nil) != (c.wrong == "") || err != nil && (!strings.Contains(err.Error(), c.wrong) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%s: %v, want one line on %q", c.name, err, c.wrong)
		}
	}
}

// TestCheckTellsWhereStoreIsKept guards against operators who take a store for durable that is in memory only.
func TestCheckTellsWhereStoreIsKept(t *testing.T) {
	for _, c := range []struct {
		settings config.Store
		want     string
	}{
		{config.Store{Admin: "127.0.0.1:1"}, "store of this daemon alone, in memory only: a restart loses its changes"},
		{config.Store{Dir: "d"}, "store of this daemon alone in d, flushed before a change is acknowledged"},
		{config.Store{Dir: "d", Members: make([]store.Member, 3)}, "store of 3 members in d, flushed before a change is acknowledged"},
	} {
		if got := describeStore(c.settings); got != c.want {
			t.Errorf("%+v: %q, want %q", c.settings, got, c.want)
		}
	}
}
