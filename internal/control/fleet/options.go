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
	SilentAfter    time.Duration // time without a new report after which a node counts as silent
	RequestTimeout time.Duration // of one request to a member of the store
	RetryDelay     time.Duration // after a failed request, and between turns of a task
	LeaseTerms     lease.Terms   // of the tasks' leases, and of the start window of drain permits

	// NodeState returns the node's own fields of its report. It is called from another goroutine.
	NodeState func() map[string]any

	// Ledger persists the last applied desired state and fencing tokens. If nil, they are lost when the process
	// ends.
	Ledger *ledger.Store
	// ApplyDesiredState applies a desired state. It must not block, and cannot fail. If nil, no state is applied.
	ApplyDesiredState func(desiredstate.State)

	Clock lease.Clock      // lease.Now if nil
	Now   func() time.Time // time.Now if nil
	// OnEvent, if not nil, is called for the events that test rigs check.
	OnEvent func(faulthooks.Event)
	// OnReport, if not nil, is called after each report with its duration and its error.
	OnReport func(took time.Duration, err error)

	// Drain configures how this node goes out of service under drain permits. If nil, it never does, and neither
	// grants permits nor runs releases.
	Drain *DrainOptions

	BackupDir      string        // directory for backups of the store
	BackupInterval time.Duration // 0 if this node writes no backups
	BackupsKept    int           // how many of the newest backups pruning keeps

	Log *slog.Logger
}

// Validate returns an error that lists all problems of the options, or nil.
func (o *Options) Validate() error {
	var errs []error
	require := func(ok bool, message string) {
		if !ok {
			errs = append(errs, errors.New(message))
		}
	}
	require(o.Name != "" && !strings.Contains(o.Name, "/"), "name must not be empty or contain slashes")
	require(len(o.StoreMembers) > 0, "members must have the operator addresses of the store's members")
	require(o.ReportInterval > 0 && o.SilentAfter >= 2*o.ReportInterval, "silent must be at least twice as long as every, which must be above 0")
	require(o.BackupInterval == 0 || o.BackupDir != "" && o.BackupsKept > 0, "backups need a directory and the number of backups to keep")
	return errors.Join(append(errs, o.LeaseTerms.Validate())...)
}

// setDefaults sets the optional functions that are nil.
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
