package daemon

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/platform/config"
	"sloehitch/internal/store"
	"sloehitch/internal/testing/standin"
)

// TestReloadAppliesUwsgiServers checks that a reload applies the file's list of uwsgi servers unless operators have set another.
func TestReloadAppliesUwsgiServers(t *testing.T) {
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
	var servers []string
	for _, name := range []string{"first", "second", "third"} {
		servers = append(servers, standin.NewServer(t, func(string) string { return "HTTP/1.1 200 OK\r\n\r\n" + name }).Address)
	}
	s := serveNode(t, longDeadline, rt, servers[0])
	for _, c := range []struct{ file, set, want string }{
		{servers[0], "", "first"}, {servers[1], "", "second"}, {servers[0], servers[2], "third"}, {servers[0], "", "first"},
	} {
		if err := s.store.Set(store.KeyUwsgiServers, c.set); err != nil {
			t.Fatal(err)
		}
		s.load = func() (*Config, error) {
			return &Config{Platform: s.platform, Deploy: &config.Deploy{Uwsgi: config.Uwsgi{Listen: s.uwsgi, Servers: []string{c.file}}}}, nil
		}
		s.reload()
		if got := sendUwsgi(t, s.uwsgi, "", getVars("/slots")...); !strings.HasSuffix(got, c.want) {
			t.Errorf("servers in the file %s, set by operators %q: response %q", c.file, c.set, got)
		}
	}
}

// TestReloadChangesClasses checks that a reload adds and removes classes while requests are in flight and requests of a removed class are still
// served. A file that is truncated, lacks a key or has a timeout below 0 must be rejected as a whole and counted, and the running
// settings must stay. A request of an unknown class must be rejected without closing its connection.
func TestReloadChangesClasses(t *testing.T) {
	hold := make(chan struct{})
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) {
		if string(j.Body) == "held" {
			<-hold
		}
		return "OK", "r"
	})
	s := serveNode(t, longDeadline, rt)
	<-rt.Syncs
	b := standin.Dial(t, s.address)
	defer b.Close()
	for i := range 6 { // more than the number of bad messages allowed on a connection
		b.Do(i+1, "fresh", standin.RequestID(i+1), time.Now(), "x", "")
		if got := b.Read(); len(got) < 2 || got[1] == "ACK" {
			t.Fatalf("answer to a request of an unknown class: %q", got)
		}
	}
	b.Do(10, "book", standin.RequestID(10), time.Now(), "held", ",opkey=k1")
	base := standin.Config(s.address, rt.Address, "", longDeadline)
	from := strings.Index(base, `"classes":[`)
	to := strings.LastIndex(base[:strings.Index(base, `"counted-by"`)], "]")
	classes := func(list string) string { return base[:from] + `"classes":[` + list + base[to:] }
	const fresh, book = `{"name":"fresh","objective":400000,"hard-limit":600000,"credit":1,"semantics":"retryable","window":5000000}`,
		`{"name":"book","objective":400000,"hard-limit":60000000,"credit":3,"semantics":"dedup","window":90000000}`
	files := map[string]string{
		"dropped slot-search, added fresh": classes(fresh + "," + book),
		"no deadline":                      classes(strings.Replace(fresh, `"hard-limit":600000,`, ``, 1) + "," + book),
		"a deadline below 0":               classes(strings.Replace(fresh, `"hard-limit":600000`, `"hard-limit":-5`, 1) + "," + book),
		"cut short":                        classes(fresh + "," + book)[:len(base)/2],
	}
	for _, name := range []string{"dropped slot-search, added fresh", "no deadline", "a deadline below 0", "cut short"} {
		text := files[name]
		s.load = func() (*Config, error) {
			p, err := config.Parse([]byte(text))
			if err != nil {
				return nil, err
			}
			return &Config{Platform: p, Deploy: &config.Deploy{}}, nil
		}
		s.reload()
	}
	b.Do(11, "fresh", standin.RequestID(11), time.Now(), "y", "")
	b.Do(12, "slot-search", standin.RequestID(12), time.Now(), "z", "") // a removed class is still accepted from balancers that learn of the change late
	close(hold)
	for range 3 {
		if got := b.Read(); len(got) < 2 || got[1] != "ACK" {
			t.Errorf("answer after the reloads: %q, want ACK", got)
		}
	}
	report := operatorCalls{s.Daemon}.Report()
	if report.ConfigApplied != 1 || report.ConfigRejected != 3 {
		t.Errorf("files applied %d, rejected %d; want 1 and 3", report.ConfigApplied, report.ConfigRejected)
	}
	want := map[string][2]int{"fresh": {1, 6}, "book": {1, 0}, "slot-search": {1, 0}} // ok, shed
	for _, c := range report.Classes {
		if w, ok := want[c.Name]; ok && (c.OK != w[0] || c.Attempts != w[0]) {
			t.Errorf("class %s: %+v, want %d served and run", c.Name, c, w[0])
		}
		delete(want, c.Name)
	}
	if len(want) > 0 {
		t.Errorf("the report lacks the classes %v", want)
	}
}

// TestReloadRejectsFileThatLacksAnyKey guards against applying a file that lacks one key of the running one: the key's default took
// the place of the platform's value, so a node took longer to shut down than the platform let it live, and lost its requests.
func TestReloadRejectsFileThatLacksAnyKey(t *testing.T) {
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
	s := serveNode(t, longDeadline, rt)
	text := strings.Replace(standin.Config(s.address, rt.Address, "127.0.0.1:1", longDeadline), `"stop_ms":3000`, `"stop_ms":1500,"lookup":"127.0.0.1:2"`, 1)
	apply := func(text []byte) {
		s.load = func() (*Config, error) {
			p, err := config.Parse(text)
			if err != nil {
				return nil, err
			}
			return &Config{Platform: p, Deploy: &config.Deploy{}}, nil
		}
		s.reload()
	}
	apply([]byte(text))
	running := s.platform
	var file map[string]any
	if err := json.Unmarshal([]byte(text), &file); err != nil {
		t.Fatal(err)
	}
	rejected := 0
	for _, object := range []map[string]any{file, file["limits"].(map[string]any)} {
		for key, value := range maps.Clone(object) {
			for _, absent := range []bool{true, false} { // a key without a value is as good as none
				if object[key] = nil; absent {
					delete(object, key)
				}
				changed, err := json.Marshal(file)
				if err != nil {
					t.Fatal(err)
				}
				apply(changed)
				if rejected++; s.platform != running || int(s.counts.rejected.Load()) != rejected || s.counts.applied.Load() != 1 {
					t.Fatalf("a file was applied in which %s is absent (%t) or null", key, absent)
				}
			}
			object[key] = value
		}
	}
	if apply([]byte(text)); s.counts.applied.Load() != 2 {
		t.Error("the complete file was not applied after the others")
	}
}

// TestReloadWithoutUwsgiSectionKeepsServers guards against a uwsgi front without servers after SIGHUP with an empty deployment file:
// turning the front off takes a restart, and until then it serves.
func TestReloadWithoutUwsgiSectionKeepsServers(t *testing.T) {
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
	server := standin.NewServer(t, func(string) string { return "HTTP/1.1 200 OK\r\n\r\nserved" }).Address
	s := serveNode(t, longDeadline, rt, server)
	for range 2 {
		s.load = func() (*Config, error) { return &Config{Platform: s.platform, Deploy: &config.Deploy{}}, nil }
		s.reload()
		if got := sendUwsgi(t, s.uwsgi, "", getVars("/slots")...); !strings.HasSuffix(got, "served") {
			t.Errorf("response after a reload without the section: %q", got)
		}
	}
}

// TestReloadExtendsAgeOfTimestamps guards against rejected requests after a reload with longer deadlines: time stamps were still bounded
// by the deadlines of the start.
func TestReloadExtendsAgeOfTimestamps(t *testing.T) {
	withDeadline := func(micros string) rigFiles {
		class := strings.Replace(rigClass("search", "retryable"), "60000000", micros, 1)
		return rigFiles{withoutUwsgi: true, classes: class}
	}
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
	r := serveFiles(t, withDeadline("2000000"), rt.Address)
	<-rt.Syncs
	b := standin.Dial(t, r.address)
	defer b.Close()
	old := 20 * time.Second
	b.Do(1, "search", standin.RequestID(1), time.Now().Add(-old), "x", "")
	if got := b.Read(); len(got) < 2 || got[1] == "ACK" {
		t.Errorf("answer to a stamp beyond the deadlines: %q", got)
	}
	if !r.reload(withDeadline("60000000")) {
		t.Fatal("the files were rejected")
	}
	older := old + 10*time.Second // another clock than that of the rejected stamp
	b.Do(2, "search", standin.RequestID(2), time.Now().Add(-older), "y", "")
	if got := b.Read(); len(got) < 2 || got[1] != "ACK" {
		t.Errorf("answer to a stamp within the new deadlines: %q", got)
	}
}

// TestReloadTellsWhatNeedsRestart guards against a changed value that neither takes effect nor is told: the limits of the uwsgi front,
// metrics, traces, the seed and the meters were read once, without a line in the log. Each key of the files is either named here or
// among those that a reload applies, so that a new key must be put in one of the two lists.
func TestReloadTellsWhatNeedsRestart(t *testing.T) {
	servers := newBreakingServers(t)
	base := oneClass("retryable", "")
	r := serveFiles(t, base, "", servers.addresses...)
	reloaded := func(files rigFiles) (added string) {
		before := len(r.log.String())
		if !r.reload(files) {
			t.Fatalf("the files were rejected: %+v\n%s", files, r.log.String())
		}
		return r.log.String()[before:]
	}
	const untilRestart = "not applied until a restart"
	for _, c := range []struct{ uwsgi, deploy, replace, with, want string }{
		{uwsgi: "modifiers = [0, 5]\n", want: "section [uwsgi] are not applied until a restart\" keys=[modifiers]"},
		{uwsgi: "mode = \"0600\"\n", want: "keys=[mode]"},
		{uwsgi: "half_close = \"leaves\"\n", want: "keys=[half_close]"},
		{uwsgi: "deadline = \"HTTP_X\"\n", want: "keys=[deadline]"},
		{uwsgi: "per_source = 3\n", want: "keys=[per_source]"},
		{uwsgi: "body_mb = 3\n", want: "keys=[body_mb]"},
		{uwsgi: "server_most = 3\n", want: "keys=[server_most]"},
		{uwsgi: "tls.cert = \"c\"\ntls.key = \"k\"\n", want: "TLS file names"},
		{uwsgi: "servers_tls.ca = \"c\"\n", want: "TLS file names"},
		{deploy: "[metrics]\nlisten = \"127.0.0.1:1\"\n", want: "section [metrics]"},
		{deploy: "[traces]\nfile = \"f\"\n", want: "section [traces]"},
		{deploy: "[traces]\nshare = 0.5\n", want: "section [traces]"},
		{deploy: "[ledger]\ndir = \"l\"\n", want: "section [ledger]"},
		{deploy: "[store]\nadmin = \"127.0.0.1:1\"\n", want: "section [store]"},
		{deploy: "[fleet]\nzone = \"z\"\n", want: "section [fleet]"},
		{replace: `"seed":"1"`, with: `"seed":"2"`, want: "the seed"},
		{replace: `"name":"n1"`, with: `"name":"n2"`, want: "changes of the name"},
		{replace: `"memory_mb":64`, with: `"memory_mb":65`, want: "limits"},
		{replace: `"core_use","on_cores"`, with: `"on_cores","core_use"`, want: "the meters"},
		{replace: `"quota-per-s":1000`, with: `"quota-per-s":999`, want: "tenants"},
	} {
		files := base
		files.uwsgi, files.deploy, files.replace, files.with = c.uwsgi, c.deploy, c.replace, c.with
		for range 2 { // told for as long as the files differ from the running node
			if added := reloaded(files); !strings.Contains(added, c.want) || !strings.Contains(added, untilRestart) {
				t.Errorf("%+v: the log lacks %q:\n%s", c, c.want, added)
			}
		}
		if added := reloaded(base); strings.Contains(added, untilRestart) {
			t.Errorf("%+v: told of a restart although the files are those of the start again:\n%s", c, added)
		}
	}
}

// TestEachKeyIsAppliedOrTold checks that the tests of reloads know each key of the files.
func TestEachKeyIsAppliedOrTold(t *testing.T) {
	for _, c := range []struct {
		name    string
		section any
		tag     string
		known   string // keys that a reload applies, then those whose change it tells
	}{
		{"the deployment file", config.Deploy{}, "toml", "uwsgi; store fleet ledger metrics traces"},
		{"[uwsgi]", config.Uwsgi{}, "toml", "servers openapi; listen mode modifiers half_close deadline per_source body_mb server_most tls servers_tls"},
		{"the platform's file", config.Platform{}, "json", "runtime lookup catalog stop_ms settings; name listen ops seed limits"},
	} {
		known := strings.Fields(strings.ReplaceAll(c.known, ";", " "))
		section := reflect.TypeOf(c.section)
		for i := range section.NumField() {
			key := section.Field(i).Tag.Get(c.tag)
			if key != "-" && !slices.Contains(known, key) {
				t.Errorf("%s: key %q is neither known as applied at a reload nor as told", c.name, key)
			}
		}
	}
}
