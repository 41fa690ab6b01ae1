package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloehitch/logic"

	"sloehitch/internal/testing/standin"
)

func TestParse(t *testing.T) {
	valid := standin.Config("127.0.0.1:4100", "127.0.0.1:6100", "", time.Second)
	for _, c := range []struct{ name, text, wrong string }{
		{"fine", valid, ""},
		{"unknown keys", strings.Replace(valid, `"name"`, `"new":{"a":[1]},"name"`, 1), ""},
		{"not JSON", "{", "unexpected end"},
		{"no settings", `{"name":"n1","listen":"127.0.0.1:1"}`, "settings"},
		{"no name", strings.Replace(valid, `"n1"`, `""`, 1), "name"},
		{"no port", strings.Replace(valid, ":4100", "", 1), "listen"},
		{"runtime without a port", strings.Replace(valid, ":6100", "", 1), "runtime"},
		{"no memory", strings.Replace(valid, `"memory_mb":64`, `"memory_mb":0`, 1), "memory_mb"},
		{"no cores", strings.Replace(valid, `"cores":2`, `"cores":0`, 1), "cores"},
		{"unknown semantics", strings.Replace(valid, "dedup", "maybe", 1), "semantics"},
		{"calls-out below 0", strings.Replace(valid, `"cores":2`, `"cores":2,"calls-out":-1`, 1), `settings.domain.calls-out is "-1"`},
		{"several at once", strings.Replace(strings.Replace(valid, `"n1"`, `""`, 1), `"stop_ms":3000`, `"stop_ms":0`, 1), `name is missing: must be the node's name, under which the directory lists it; stop_ms is "0"`},
		{"string for a number", strings.Replace(valid, `"stop_ms":3000`, `"stop_ms":"soon"`, 1), "stop_ms is \"a JSON string\""},
		{"settings are no object", `{"name":"n1","listen":"127.0.0.1:1","settings":[1]}`, "settings is missing"},
		{"too few descriptors", strings.Replace(valid, `"sockets":256`, `"sockets":3`, 1), "16 to 1048576"},
		{"negative stop", strings.Replace(valid, `"stop_ms":3000`, `"stop_ms":-1`, 1), "stop_ms"},
	} {
		p, err := Parse([]byte(c.text))
		if (err == nil) != (c.wrong == "") || err != nil && !strings.Contains(err.Error(), c.wrong) {
			t.Errorf("%s: %v, want an error on %q", c.name, err, c.wrong)
		}
		if err == nil && (p.KillAfter() != 3*time.Second || p.Limits.Sockets != 256 || len(p.Logic.Classes) != 2) {
			t.Errorf("%s: unexpected configuration %+v", c.name, p)
		}
	}
}

func TestParseDeploy(t *testing.T) {
	const enabled = "[uwsgi]\nlisten = \"127.0.0.1:3030\"\nservers = [\"127.0.0.1:3031\"]\nopenapi = \"api.yaml\"\n"
	for _, c := range []struct{ name, text, wrong string }{
		{"empty", "", ""},
		{"off", "[uwsgi]\nlisten = \"\"\n", ""},
		{"on", enabled, ""},
		{"misspelt", "[uwsgi]\nlisen = \"\"\n", "strict"},
		{"not TOML", "[uwsgi", "toml"},
		{"no servers", strings.Replace(enabled, "[\"127.0.0.1:3031\"]", "[]", 1), "servers"},
		{"no description", strings.Replace(enabled, "api.yaml", "", 1), "openapi"},
		{"store members", "[store]\nadmin = \"127.0.0.1:1\"\n[[store.members]]\nname = \"n1\"\nraft = \"127.0.0.1:2\"\n", ""},
		{"member without a name", "[[store.members]]\nraft = \"127.0.0.1:2\"\n", "name"},
		{"admin without a port", "[store]\nadmin = \"127.0.0.1\"\n", "port"},
		{"store of one daemon", "[store]\nadmin = \"127.0.0.1:1\"\ndir = \"d\"\n", ""},
		{"joining without members", "[store]\ndir = \"d\"\njoin = true\n", "join"},
		{"fleet", "[fleet]\nmembers = [\"127.0.0.1:1\"]\ndir = \"d\"\nbackups = \"b\"\n", ""},
		{"fleet folder without members", "[fleet]\ndir = \"d\"\n", "members"}, // it would be ignored
		{"backups without members", "[fleet]\nbackups = \"b\"\n", "members"},  // none would be taken
		{"Unix socket and TLS servers", strings.Replace(strings.Replace(enabled, "127.0.0.1:3030", "unix:/run/s", 1), "\"127", "\"suwsgi://127", 1) + "mode = \"0600\"\nmodifiers = [0, 5]\nhalf_close = \"leaves\"\n", ""},
		{"invalid mode", enabled + "mode = \"rw\"\n", "octal"},
		{"reserved modifier", enabled + "modifiers = [100]\n", "modifier 100"},
		{"invalid half_close", enabled + "half_close = \"maybe\"\n", "leaves"},
		{"negative bound", enabled + "per_source = -1\n", "per_source"},
		{"TLS without keys", strings.Replace(enabled, "127.0.0.1:3030", "suwsgi://127.0.0.1:3030", 1), "tls.cert"},
		{"certificate without its key", enabled + "[uwsgi.servers_tls]\ncert = \"a\"\n", "together"},
		{"unknown scheme", strings.Replace(enabled, "127.0.0.1:3031", "http://127.0.0.1:3031", 1), "scheme"},
		{"traces", "[traces]\nfile = \"t\"\nshare = 0.1\n", ""},
		{"trace share above 1", "[traces]\nshare = 2.0\n", "0 to 1"},
		{"ledger", "[ledger]\ndir = \"d\"\nflush = \"20ms\"\nmemory_mb = 8\n", ""},
		{"ledger with defaults", "[ledger]\ndir = \"d\"\n", ""},
		{"ledger without a folder", "[ledger]\nflush = \"each\"\n", "dir"},
		{"flush interval without a unit", "[ledger]\ndir = \"d\"\nflush = \"20\"\n", "1ms"},
		{"flush interval too long", "[ledger]\ndir = \"d\"\nflush = \"1h\"\n", "10s"},
		{"negative memory", "[ledger]\ndir = \"d\"\nmemory_mb = -1\n", "memory_mb"},
		{"server without a port", strings.Replace(enabled, ":3031", "", 1), "port"},
	} {
		if _, err := ParseDeploy([]byte(c.text)); (err == nil) != (c.wrong == "") || err != nil && !strings.Contains(err.Error(), c.wrong) {
			t.Errorf("%s: %v, want an error on %q", c.name, err, c.wrong)
		}
	}
}

func TestLoadDeploy(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "sloehitch.toml")
	if d, err := LoadDeploy(path); err != nil || d.Uwsgi.Listen != "" {
		t.Errorf("no file: %+v, %v; want uwsgi off", d, err)
	}
	text := "[uwsgi]\nlisten = \"127.0.0.1:3030\"\nservers = [\"127.0.0.1:3031\"]\nopenapi = \"api.yaml\"\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadDeploy(path); err == nil {
		t.Error("no error for a missing OpenAPI document")
	}
	if err := os.WriteFile(filepath.Join(dir, "api.yaml"), []byte("openapi"), 0o600); err != nil {
		t.Fatal(err)
	}
	if d, err := LoadDeploy(path); err != nil || string(d.OpenAPI) != "openapi" {
		t.Errorf("deployment file with an OpenAPI document: %+v, %v", d, err)
	}
	// The deployment file in the repository must keep the uwsgi front off on the platform.
	if d, err := LoadDeploy("../../../deploy/sloehitch.toml"); err != nil || d.Uwsgi.Listen != "" {
		t.Errorf("deploy/sloehitch.toml: %+v, %v; want uwsgi off", d, err)
	}
}

func TestKillAfterReplaced(t *testing.T) {
	for _, c := range []struct {
		stopMS    int64
		deadlines []logic.Micros
		want      time.Duration
	}{
		{4500, []logic.Micros{17_000_000, 1_000_000}, 3700 * time.Millisecond},
		{4500, []logic.Micros{1_000_000, 2_000_000}, 2700 * time.Millisecond},
		{2000, []logic.Micros{17_000_000}, 2 * time.Second},
	} {
		p := Platform{StopMS: c.stopMS}
		for _, d := range c.deadlines {
			p.Logic.Classes = append(p.Logic.Classes, logic.Class{ClientTimeout: d})
		}
		if got := p.KillAfterReplaced(); got != c.want {
			t.Errorf("stop_ms %d, deadlines %v: %v, want %v", c.stopMS, c.deadlines, got, c.want)
		}
	}
}
