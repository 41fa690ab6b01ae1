package main

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/store"
	"sloehitch/internal/testing/standin"
)

// TestFleetCommands tries the sub-commands as a person would, against a store that is alone.
func TestFleetCommands(t *testing.T) {
	s, err := store.Open(store.Options{Name: "n1", CommitTimeout: time.Second, Logger: standin.DiscardLogger, LeaseTerms: store.DefaultLeaseTerms.WithDuration(time.Hour)}) // no machine is so slow
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	admin := httptest.NewServer(s.Handler())
	defer admin.Close()
	if _, err := s.RequestLease("backup", store.LeaseRequest{Action: "take", Holder: "n7", Reason: "nightly"}); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, args, out, err string }{
		{"a first version", "put release v1 --version 0 --by ann --why rollout", "revision 2", ""},
		{"the same again", "put release v1 --version 0 --by ann --why rollout", "", "release: version 2, not 0"},
		{"a next version", "put release v2 --version 2 --by bob --why fix --id once", "revision 3", ""},
		{"asked again", "put release v2 --version 2 --by bob --why fix --id once", "revision 3", ""},
		{"another under its id", "put release v3 --version 3 --by bob --why fix --id once", "", "was already used by another request"},
		{"both", "put release v3 --delete --version 3 --by bob --why fix", "", "not both"},
		{"no reason", "put release v3 --version 3 --by bob", "", "--why"},
		{"show", "show rel", "release\t3\tv2", ""},
		{"status", "status", "nothing is wrong", ""},
		{"a silent node", "put silent/n9 {\"by\":\"n7\",\"since\":1764576000000} --version 0 --by n7 --why sweep", "revision", ""},
		{"its status", "status", "node n9 is silent since 2025-12-01T08:00:00Z (marked by n7): see whether", "exit"},
		{"a failed job", "put duty/backup {\"job\":\"b1\",\"state\":\"failed\",\"step\":1,\"tries\":5,\"why\":\"disk-full\"} --version 0 --by n7 --why test", "revision", ""},
		{"its status too", "status", "job b1 failed at step 1, 5 times: disk-full", "exit"},
		{"no silent node", "put silent/n9 --delete --version 4 --by n7 --why back", "revision", ""},
		{"no failed job", "put duty/backup --delete --version 5 --by n7 --why over", "revision", ""},
		{"owners", "owners", "held, ", ""},
		{"history", "history", "rollout", ""},
		{"history of leases", "history", "duty backup: n7, token 1", ""},
		{"history after", "history --after 2", "fix", ""},
		{"delete", "put release --delete --version 3 --by bob --why over", "revision 8", ""},
		{"nothing is left", "show", "revision 8, confirmed by a majority\n", ""},
	} {
		cmd := command(append([]string{"fleet", "--admin", strings.TrimPrefix(admin.URL, "http://")}, strings.Fields(c.args)...)...)
		var out, errs strings.Builder
		cmd.Stdout, cmd.Stderr = &out, &errs
		err := cmd.Run()
		if (err == nil) != (c.err == "") || !strings.Contains(out.String(), c.out) || c.err != "exit" && !strings.Contains(errs.String(), c.err) {
			t.Errorf("%s: %v\nout %s\nerr %s", c.name, err, out.String(), errs.String())
		}
	}
}
