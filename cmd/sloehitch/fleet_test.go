package main

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/store"
	"sloehitch/internal/testing/standin"
)

// TestFleetCommands runs the fleet commands against a store with a single member.
func TestFleetCommands(t *testing.T) {
	s, err := store.Open(store.Options{Name: "n1", CommitTimeout: time.Second, Logger: standin.DiscardLogger, LeaseTerms: store.DefaultLeaseTerms.WithDuration(time.Hour)}) // longer than the test takes on any machine
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
		{"put first version", "put release v1 --version 0 --by ann --why rollout", "revision 2", ""},
		{"put with an outdated version", "put release v1 --version 0 --by ann --why rollout", "", "release: version 2, not 0"},
		{"put next version", "put release v2 --version 2 --by bob --why fix --id once", "revision 3", ""},
		{"put repeated with its id", "put release v2 --version 2 --by bob --why fix --id once", "revision 3", ""},
		{"another put with that id", "put release v3 --version 3 --by bob --why fix --id once", "", "was already used by another request"},
		{"put with a value and --delete", "put release v3 --delete --version 3 --by bob --why fix", "", "not both"},
		{"put without a reason", "put release v3 --version 3 --by bob", "", "--why"},
		{"show", "show rel", "release\t3\tv2", ""},
		{"status", "status", "nothing is wrong", ""},
		{"mark a node silent", "put silent/n9 {\"by\":\"n7\",\"since\":1764576000000} --version 0 --by n7 --why sweep", "revision", ""},
		{"status with a silent node", "status", "node n9 has been silent since 2025-12-01T08:00:00Z (marked by n7): check whether", "exit"},
		{"record a failed job", "put duty/backup {\"job\":\"b1\",\"state\":\"failed\",\"step\":1,\"tries\":5,\"why\":\"disk-full\"} --version 0 --by n7 --why test", "revision", ""},
		{"status with a failed job", "status", "job b1 failed at step 1, 5 times: disk-full", "exit"},
		{"delete the silence mark", "put silent/n9 --delete --version 4 --by n7 --why back", "revision", ""},
		{"delete the failed job", "put duty/backup --delete --version 5 --by n7 --why over", "revision", ""},
		{"owners", "owners", "held, ", ""},
		{"history", "history", "rollout", ""},
		{"history of leases", "history", "duty backup: n7, token 1", ""},
		{"history after a revision", "history --after 2", "fix", ""},
		{"delete", "put release --delete --version 3 --by bob --why over", "revision 8", ""},
		{"show after all is deleted", "show", "revision 8, confirmed by a majority\n", ""},
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
