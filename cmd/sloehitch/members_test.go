package main

import (
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/store"
	"sloehitch/internal/testing/standin"
)

// TestMembersCommands runs the commands for members, backups and data folders against a store of two members.
func TestMembersCommands(t *testing.T) {
	dir := t.TempDir()
	var members []store.Member
	var admins []*httptest.Server
	for _, name := range []string{"n0", "n1"} {
		a := httptest.NewUnstartedServer(nil)
		admins = append(admins, a)
		members = append(members, store.Member{Name: name, RaftAddress: standin.FreeAddress(t), AdminAddress: a.Listener.Addr().String()})
	}
	var stores []*store.Store
	for i, m := range members {
		s, err := store.Open(store.Options{Name: m.Name, Members: members, Dir: filepath.Join(dir, m.Name), CommitTimeout: 10 * time.Second, ElectionTimeout: 500 * time.Millisecond, Logger: standin.DiscardLogger})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		stores = append(stores, s)
		admins[i].Config.Handler = s.Handler()
		admins[i].Start()
		defer admins[i].Close()
	}
	leader := ""
	standin.WaitFor(t, "a leader", func() bool {
		m, known := stores[0].Leader()
		leader = m.Name
		return known && stores[0].Members().StoreID != "" && stores[1].Members().StoreID != ""
	})
	next := map[string]string{"n0": "n1", "n1": "n0"}[leader]
	backup := filepath.Join(dir, "backup.json")
	type step struct{ name, args, out, err string }
	run := func(steps []step) {
		t.Helper()
		for _, c := range steps {
			cmd := command(strings.Fields(strings.ReplaceAll(c.args, "BACKUP", backup))...)
			var out, errs strings.Builder
			cmd.Stdout, cmd.Stderr = &out, &errs
			err := cmd.Run()
			if (err == nil) != (c.err == "") || !strings.Contains(out.String(), c.out) || c.err != "exit" && !strings.Contains(errs.String(), c.err) {
				t.Errorf("%s: %v\nout %s\nerr %s", c.name, err, out.String(), errs.String())
			}
		}
	}
	at := "fleet --admin " + members[0].AdminAddress + " "
	why := " --by ann --why trial"
	standin.WaitFor(t, "contact between the members", func() bool {
		m, _ := store.Client{Address: members[0].AdminAddress, Timeout: time.Second}.Members(false)
		return len(m.Members) == 2 && m.Members[0].SinceContact >= 0 && m.Members[1].SinceContact >= 0
	})
	run([]step{
		{"members", at + "members", leader + "      leads", ""},
		{"members --local", "fleet --admin " + members[1].AdminAddress + " members --local", "as n1 sees it; leader " + leader, ""},
		{"status", at + "status", "WRONG: 2 voters tolerate no more losses than 1", "exit"},
		{"add a name with a slash", at + "members add n/2 --raft 127.0.0.1:1 --member-admin 127.0.0.1:2" + why, "", "a word without slashes"},
		{"add", at + "members add n2 --raft 127.0.0.1:1 --member-admin 127.0.0.1:2" + why, "n2      learns  never", ""},
		{"status of a learner", at + "status", "member n2 is a learner without a vote", "exit"},
		{"promote a member that never answered", at + "members promote n2" + why, "", "n2 has not answered since the current leader was elected: it could not use its vote"},
		{"remove a learner", at + "members remove n2" + why, "votes", ""},
		{"remove the leader", at + "members remove " + leader + why, "", "transfer the leadership to another member first"},
		{"lead", at + "members lead " + next + why, "", ""},
		{"remove without a reason", at + "members remove n2 --by ann", "", "--why"},
		{"put", at + "put a 1 --version 0" + why, "revision", ""},
		{"backup", at + "backup BACKUP", "", ""},
		{"backup to an existing file", at + "backup BACKUP", "", "file exists"},
		{"put after the backup", at + "put b 1 --version 0" + why, "revision", ""},
		{"restore", at + "restore BACKUP" + why, "restored; the store continues from revision", ""},
		{"show what the backup had", at + "show a", "\t1\n", ""},
		{"put what the backup did not have", at + "put b 2 --version 0" + why, "revision", ""},
		{"history of the restore", at + "history", "restore: trial", ""},
	})
	for _, s := range stores {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}
	folder := filepath.Join(dir, "n0")
	if err := os.WriteFile(backup, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	run([]step{
		{"folder", "store folder " + folder + " --name n0", "member n0 of the store ", ""},
		{"another member's folder", "store folder " + folder + " --name n1", "", "the data directory belongs to member n0, but this is member n1"},
		{"no member's folder", "store folder " + dir + " --name n0", "", "not the data directory of a member"},
		{"recover without --lose-the-rest", "store recover " + folder + " --name n0 --raft " + members[0].RaftAddress, "", "Nothing was done"},
		{"recover", "store recover " + folder + " --name n0 --raft " + members[0].RaftAddress + " --lose-the-rest", "now: member n0 alone, of a new store", ""},
		{"folder after recover", "store folder " + folder + " --name n0", "one of 1 voters", ""},
	})
}
