package fleet

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sloehitch/internal/control/desiredstate"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/control/leasedtask"
	"sloehitch/internal/ledger"
	"sloehitch/internal/platform/lograte"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/faulthooks"
)

// Options say what a node tells and does.
type Options struct {
	Name           string
	Version        string
	StoreMembers   []string // addresses that members of the store have for operators
	ReportInterval time.Duration
	SilentAfter    time.Duration // without a report after which a node is marked
	RequestTimeout time.Duration // for one request to a member
	RetryDelay     time.Duration // after what did not work
	LeaseTerms     lease.Terms
	NodeState      func() map[string]any // what the node says of itself; called from another goroutine

	Ledger            *ledger.Store            // where what was applied outlives the process; nil: nowhere
	ApplyDesiredState func(desiredstate.State) // does what the fleet wants of this node; must not block, and cannot fail; nil: it does nothing

	Clock   lease.Clock            // nil: lease.Now
	Now     func() time.Time       // nil: time.Now
	OnEvent func(faulthooks.Event) // is told what this node believes and does; nil: nobody
	// OnReport is told how long each report took, and how it ended; nil: nobody.
	OnReport func(took time.Duration, err error)

	Drain *DrainOptions // how this node goes out of service by permit; nil: it never does, and grants none

	BackupDir      string        // where backups of the store go
	BackupInterval time.Duration // between them; 0: this node takes none
	BackupsKept    int           // the latest so many stay
	Log            *slog.Logger
}

// Validate errs on options that can't be used, naming all that is wrong.
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

// Participant is one node's part.
type Participant struct {
	options         Options
	log             *lograte.Logger
	clock           lease.Clock
	startedAt       time.Time
	preferredMember atomic.Int64 // the member that is asked first

	mu        sync.Mutex
	detector  *FailureDetector
	lastSweep lease.Instant // when this node last did the sweep; 0: never
	endedJobs map[string]string
	applier   *stateApplier

	inService    conditionTimer // in service and well
	drainOverdue bool           // out for longer than it was to take
	stats        Stats
}

// New returns a part that does nothing until Serve.
func New(o Options) (*Participant, error) {
	if err := o.Validate(); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
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
	w, err := newStateApplier(o.Ledger, o.ApplyDesiredState)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return &Participant{options: o, log: lograte.New(o.Log, time.Second), clock: o.Clock, startedAt: time.Now(), detector: NewFailureDetector(o.SilentAfter), endedJobs: map[string]string{}, applier: w,
		stats: Stats{Reports: map[string]uint64{}, Permits: map[string]uint64{}}}, nil
}

// preferredClient is a member to ask, and its turn: what asks it first now.
func (f *Participant) preferredClient() (c store.Client, turn int64) {
	turn = f.preferredMember.Load()
	return f.clientAt(turn), turn
}

func (f *Participant) clientAt(turn int64) store.Client {
	return store.Client{Address: f.options.StoreMembers[turn%int64(len(f.options.StoreMembers))], Timeout: f.options.RequestTimeout}
}

// skipMember takes that the member of a turn gave no answer: another is asked first from now on, unless that is so already. (Where several
// found out at once and each had gone on by one, they would have come round to the same one.)
func (f *Participant) skipMember(turn int64) { f.preferredMember.CompareAndSwap(turn, turn+1) }

// tryMembers asks one member after the other until one answers, which is asked first from now on.
func (f *Participant) tryMembers(ask func(c store.Client) error) (err error) {
	turn := f.preferredMember.Load()
	for i := range int64(len(f.options.StoreMembers)) {
		if err = ask(f.clientAt(turn + i)); err == nil || errors.Is(err, store.ErrConflict) {
			f.preferredMember.CompareAndSwap(turn, turn+i)
			return err
		}
	}
	return err
}

// Serve reports and takes turns at duties until the context ends; then duties are handed over. It blocks.
func (f *Participant) Serve(ctx context.Context) {
	list := []PeriodicTask{{Name: "sweep", Interval: f.options.SilentAfter, Steps: []string{"mark"}, RunStep: f.markSilentNodes}}
	if f.options.BackupInterval > 0 {
		list = append(list, PeriodicTask{Name: "backup", Interval: f.options.BackupInterval, Steps: []string{"write", "prune"}, RunStep: f.backup})
	}
	var wg sync.WaitGroup
	for _, d := range list {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.runPeriodicTask(ctx, d)
		}()
	}
	wg.Go(func() { f.followDesiredState(ctx) })
	if f.options.Drain != nil {
		wg.Go(func() { f.runDrainAgent(ctx) })
		wg.Go(func() { f.runGrantTask(ctx) })
		wg.Go(func() { f.runReleaseTask(ctx) })
		if f.options.Drain.ExcludeUpstreams != nil {
			wg.Go(func() { f.followExcludedUpstreams(ctx) })
		}
	}
	tick := time.NewTicker(f.options.ReportInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		f.publishReport()
		f.observeReportsWhileSweeping()
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	wg.Wait()
}

// publishReport tells the store of this node.
func (f *Participant) publishReport() {
	state := map[string]any{"version": f.options.Version, "since": f.startedAt.UnixMilli(), "pid": os.Getpid()}
	f.mu.Lock()
	state["desired"] = f.applier.follower.LastApplied()
	if turned := f.applier.gate.RejectedCount(); turned > 0 {
		state["turned_away"] = turned
	}
	f.mu.Unlock()
	if f.options.NodeState != nil {
		for name, value := range f.options.NodeState() {
			state[name] = value
		}
	}
	if f.options.Drain != nil {
		f.addDrainReport(state)
	}
	text, err := json.Marshal(state)
	begun := time.Now()
	if err == nil {
		_, err = f.transact(document.Transaction{ID: rand.Text(), Author: f.options.Name, Reason: "report", Operations: []document.Operation{{Key: nodeKeyPrefix + f.options.Name, Value: string(text), ExcludeFromHistory: true}}})
	}
	if f.options.OnReport != nil {
		f.options.OnReport(time.Since(begun), err)
	}
	ended := "made"
	if err != nil {
		ended = "failed"
	}
	f.updateStats(func(x *Stats) { x.Reports[ended]++ })
	if err != nil {
		f.log.Warn("no report to the fleet: the node serves on", err)
	}
}

// observeReportsWhileSweeping takes in when others last reported, on the node that does the sweep: reports of all read by all would be as many as the
// square of the nodes.
func (f *Participant) observeReportsWhileSweeping() {
	f.mu.Lock()
	sweeps := f.lastSweep != 0 && f.clock() < f.lastSweep.Add(4*f.options.SilentAfter)
	f.mu.Unlock()
	if sweeps {
		_ = f.observeReports() // the report has said so
	}
}

// observeReports reads all reports.
func (f *Participant) observeReports() error {
	docs, err := f.documents(nodeKeyPrefix)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.detector.Observe(docs, f.clock())
	return nil
}

// silentMark is what stands on a node that is silent.
type silentMark struct {
	By    string `json:"by"`
	Since int64  `json:"since"` // Unix milliseconds, by the clock of who marked it
}

// markSilentNodes marks the nodes that are silent and takes marks off those that are back, each under the token.
func (f *Participant) markSilentNodes(_ context.Context, a leasedtask.Action) error {
	marks, err := f.documents(silentKeyPrefix)
	if err != nil {
		return err
	}
	if err := f.observeReports(); err != nil {
		return err
	}
	f.mu.Lock()
	f.lastSweep = f.clock()
	quiet := f.detector.SilentNodes(f.lastSweep)
	f.mu.Unlock()
	t := document.Transaction{ID: a.ID + "/" + rand.Text(), Author: f.options.Name, Reason: "sweep", Conditions: []document.Condition{{Task: "sweep", Token: a.Token}}}
	marked := map[string]bool{}
	for _, m := range marks {
		name := strings.TrimPrefix(m.Key, silentKeyPrefix)
		marked[name] = true
		if f.isAlive(name) { // a sweeper that has just begun takes no mark off that another has set
			t.Operations = append(t.Operations, document.Operation{Key: m.Key, Delete: true})
		}
	}
	for _, q := range quiet {
		if marked[q.Node] {
			continue
		}
		text, err := json.Marshal(silentMark{f.options.Name, f.options.Now().Add(-q.Silence).UnixMilli()})
		if err != nil {
			return err
		}
		t.Operations = append(t.Operations, document.Operation{Key: silentKeyPrefix + q.Node, Value: string(text)})
	}
	if len(t.Operations) == 0 {
		return nil
	}
	t.Operations = t.Operations[:min(len(t.Operations), document.DefaultLimits.MaxOperations)] // the rest at the next turn
	_, err = f.transact(t)
	return err
}

// isAlive says whether a node has reported since this one looks, or is not there any more.
func (f *Participant) isAlive(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.detector.Alive(name, f.clock())
}

// backup writes one, or removes those that are too old. A backup's name has its token: what an owner that was overtaken
// still writes stands beside, and does no harm.
func (f *Participant) backup(_ context.Context, a leasedtask.Action) error {
	if a.Step == "prune" {
		return f.pruneBackups()
	}
	if err := os.MkdirAll(f.options.BackupDir, 0o700); err != nil {
		return err
	}
	name := filepath.Join(f.options.BackupDir, fmt.Sprintf("%s-%d.json", a.Record.JobID, a.Token))
	tmp, err := os.CreateTemp(f.options.BackupDir, "unfinished-*")
	if err != nil {
		return err
	}
	err = errors.Join(f.copyStore(tmp), tmp.Sync(), tmp.Close())
	if err == nil {
		err = os.Rename(tmp.Name(), name)
	}
	if err != nil {
		return errors.Join(err, os.Remove(tmp.Name()))
	}
	return nil
}

// copyStore writes all that the store keeps, from the first member that can confirm it.
func (f *Participant) copyStore(to *os.File) error {
	return f.tryMembers(func(c store.Client) error {
		if _, err := to.Seek(0, io.SeekStart); err != nil {
			return err
		}
		return errors.Join(to.Truncate(0), c.Backup(to))
	})
}

func (f *Participant) pruneBackups() error {
	names, err := filepath.Glob(filepath.Join(f.options.BackupDir, "backup-*.json"))
	if err != nil {
		return err
	}
	slices.Sort(names) // jobs count up, in so many digits
	var errs []error
	for _, name := range names[:max(0, len(names)-f.options.BackupsKept)] {
		errs = append(errs, os.Remove(name))
	}
	return errors.Join(errs...)
}
