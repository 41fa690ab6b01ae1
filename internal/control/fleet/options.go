package fleet

import (
	"errors"
	"log/slog"
	"strings"
	"time"

	"sloehitch/internal/control/desiredstate"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/ledger"
	"sloehitch/internal/testing/faulthooks"
)

// Options configure a Participant.
type Options struct {
	Name    string // of the node
	Version string // of the program

	StoreMembers   []string      // operator addresses of the store's members
	ReportInterval time.Duration // between reports of the node
	SilentAfter    time.Duration // without a new report, after which a node counts as silent
	RequestTimeout time.Duration // of one request to a member of the store
	RetryDelay     time.Duration // after a request that failed, and between turns of a task
	LeaseTerms     lease.Terms   // of the tasks' leases, and of the start window of drain permits

	// NodeState returns what the node reports of itself. It is called from another goroutine.
	NodeState func() map[string]any

	// Ledger persists the desired state that was applied last, and fencing tokens. nil: they are forgotten
	// with the process.
	Ledger *ledger.Store
	// ApplyDesiredState applies a desired state. It must not block, and cannot fail. nil: nothing is applied.
	ApplyDesiredState func(desiredstate.State)

	Clock lease.Clock      // nil: lease.Now
	Now   func() time.Time // nil: time.Now
	// OnEvent is called with what this node believes and does. nil: with nothing.
	OnEvent func(faulthooks.Event)
	// OnReport is called after each report, with how long it took and how it ended. nil: it is not.
	OnReport func(took time.Duration, err error)

	// Drain is how this node goes out of service under drain permits. nil: it never does, and neither grants
	// permits nor runs releases.
	Drain *DrainOptions

	BackupDir      string        // where backups of the store are written
	BackupInterval time.Duration // 0: this node writes no backups
	BackupsKept    int           // the newest, when older ones are removed

	Log *slog.Logger
}

// Validate returns an error that names everything that is wrong with the options, or nil.
func (o *Options) Validate() error {
	var errs []error
	want := func(ok bool, what string) {
		if !ok {
			errs = append(errs, errors.New(what))
		}
	}
	want(o.Name != "" && !strings.Contains(o.Name, "/"), "a name without slashes is wanted")
	want(len(o.StoreMembers) > 0, "members: the operators' addresses of the store's members are wanted")
	want(o.ReportInterval > 0 && o.SilentAfter >= 2*o.ReportInterval, "silent must be at least twice as long as every, which must be above 0")
	want(o.BackupInterval == 0 || o.BackupDir != "" && o.BackupsKept > 0, "backups need a folder, and how many to keep")
	return errors.Join(append(errs, o.LeaseTerms.Validate())...)
}

// setDefaults fills in the functions that may be left out.
func (o *Options) setDefaults() {
	if o.ApplyDesiredState == nil {
		o.ApplyDesiredState = func(desiredstate.State) {}
	}
	if o.Clock == nil {
		o.Clock = lease.Now
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.OnEvent == nil {
		o.OnEvent = func(faulthooks.Event) {}
	}
}
