package fleet

import (
	"strings"
	"testing"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/testing/standin"
)

func TestNewRejectsInvalidOptions(t *testing.T) {
	valid := Options{Name: "n1", StoreMembers: []string{"127.0.0.1:1"}, ReportInterval: time.Second, SilentAfter: 5 * time.Second, LeaseTerms: lease.Terms{Duration: 10 * time.Second}, Log: standin.DiscardLogger}
	for _, c := range []struct {
		change func(*Options)
		want   string
	}{
		{func(*Options) {}, ""},
		{func(o *Options) { o.Name = "a/b" }, "name must not be empty or contain slashes"},
		{func(o *Options) { o.StoreMembers = nil }, "members must have the operator addresses of the store's members"},
		{func(o *Options) { o.SilentAfter = time.Second }, "silent must be at least twice as long as every, which must be above 0"},
		{func(o *Options) { o.BackupInterval = time.Hour }, "backups need a directory and the number of backups to keep"},
		{func(o *Options) { o.LeaseTerms.MaxDrift = 2 }, "drift"},
	} {
		o := valid
		c.change(&o)
		if _, err := New(o); (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("New: %v, want %q", err, c.want)
		}
	}
}
