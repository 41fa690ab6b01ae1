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
	Name    string
	Version string
	Members []string // addresses that members of the store have for operators
	Every   time.Duration
	Silent  time.Duration // without a report after which a node is marked
	Timeout time.Duration // for one request to a member
	Pause   time.Duration // after what did not work
	Terms   lease.Terms
	State   func() map[string]any // what the node says of itself; called from another goroutine

	Memory *ledger.Store            // where what was applied outlives the process; nil: nowhere
	Apply  func(desiredstate.State) // does what the fleet wants of this node; must not block, and cannot fail; nil: it does nothing

	Clock lease.Clock            // nil: lease.Now
	Now   func() time.Time       // nil: time.Now
	Tell  func(faulthooks.Event) // is told what this node believes and does; nil: nobody
	// Reported is told how long each report took, and how it ended; nil: nobody.
	Reported func(took time.Duration, err error)

	Outs *Outs // how this node goes out of service by permit; nil: it never does, and grants none

	Dir  string        // where backups of the store go
	Each time.Duration // between them; 0: this node takes none
	Keep int           // the latest so many stay
	Log  *slog.Logger
}

// Check errs on options that can't be used, naming all that is wrong.
func (o *Options) Check() error {
	var errs []error
	want := func(ok bool, what string) {
		if !ok {
			errs = append(errs, errors.New(what))
		}
	}
	want(o.Name != "" && !strings.Contains(o.Name, "/"), "a name without slashes is wanted")
	want(len(o.Members) > 0, "members: the operators' addresses of the store's members are wanted")
	want(o.Every > 0 && o.Silent >= 2*o.Every, "silent must be at least twice as long as every, which must be above 0")
	want(o.Each == 0 || o.Dir != "" && o.Keep > 0, "backups need a folder, and how many to keep")
	return errors.Join(append(errs, o.Terms.Check())...)
}

// Fleet is one node's part.
type Fleet struct {
	opts  Options
	log   *lograte.Logger
	clock lease.Clock
	begun time.Time
	first atomic.Int64 // the member that is asked first

	mu     sync.Mutex
	sight  *Sight
	swept  lease.Instant // when this node last did the sweep; 0: never
	mine   map[string]string
	wishes *wishes

	settled settled // in service and well
	overdue bool    // out for longer than it was to take
	figures Figures
}

// New returns a part that does nothing until Serve.
func New(o Options) (*Fleet, error) {
	if err := o.Check(); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if o.Apply == nil {
		o.Apply = func(desiredstate.State) {}
	}
	if o.Clock == nil {
		o.Clock = lease.Now
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Tell == nil {
		o.Tell = func(faulthooks.Event) {}
	}
	w, err := newWishes(o.Memory, o.Apply)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return &Fleet{opts: o, log: lograte.New(o.Log, time.Second), clock: o.Clock, begun: time.Now(), sight: NewSight(o.Silent), mine: map[string]string{}, wishes: w,
		figures: Figures{Reports: map[string]uint64{}, Permits: map[string]uint64{}}}, nil
}

// member is a member to ask, and its turn: what asks it first now.
func (f *Fleet) member() (c store.Client, turn int64) {
	turn = f.first.Load()
	return f.at(turn), turn
}

func (f *Fleet) at(turn int64) store.Client {
	return store.Client{Address: f.opts.Members[turn%int64(len(f.opts.Members))], Timeout: f.opts.Timeout}
}

// gaveNone takes that the member of a turn gave no answer: another is asked first from now on, unless that is so already. (Where several
// found out at once and each had gone on by one, they would have come round to the same one.)
func (f *Fleet) gaveNone(turn int64) { f.first.CompareAndSwap(turn, turn+1) }

// each asks one member after the other until one answers, which is asked first from now on.
func (f *Fleet) each(ask func(c store.Client) error) (err error) {
	turn := f.first.Load()
	for i := range int64(len(f.opts.Members)) {
		if err = ask(f.at(turn + i)); err == nil || errors.Is(err, store.ErrConflict) {
			f.first.CompareAndSwap(turn, turn+i)
			return err
		}
	}
	return err
}

// Serve reports and takes turns at duties until the context ends; then duties are handed over. It blocks.
func (f *Fleet) Serve(ctx context.Context) {
	list := []Duty{{Name: "sweep", Every: f.opts.Silent, Steps: []string{"mark"}, Do: f.sweep}}
	if f.opts.Each > 0 {
		list = append(list, Duty{Name: "backup", Every: f.opts.Each, Steps: []string{"write", "prune"}, Do: f.backup})
	}
	var wg sync.WaitGroup
	for _, d := range list {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.serve(ctx, d)
		}()
	}
	wg.Go(func() { f.follow(ctx) })
	if f.opts.Outs != nil {
		wg.Go(func() { f.out(ctx) })
		wg.Go(func() { f.keepPermits(ctx) })
		wg.Go(func() { f.keepReleases(ctx) })
		if f.opts.Outs.LeaveAlone != nil {
			wg.Go(func() { f.leaveAlone(ctx) })
		}
	}
	tick := time.NewTicker(f.opts.Every)
	defer tick.Stop()
	for ctx.Err() == nil {
		f.report()
		f.look()
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	wg.Wait()
}

// report tells the store of this node.
func (f *Fleet) report() {
	state := map[string]any{"version": f.opts.Version, "since": f.begun.UnixMilli(), "pid": os.Getpid()}
	f.mu.Lock()
	state["desired"] = f.wishes.follower.Last()
	if turned := f.wishes.gate.Turned(); turned > 0 {
		state["turned_away"] = turned
	}
	f.mu.Unlock()
	if f.opts.State != nil {
		for name, value := range f.opts.State() {
			state[name] = value
		}
	}
	if f.opts.Outs != nil {
		f.reportOut(state)
	}
	text, err := json.Marshal(state)
	begun := time.Now()
	if err == nil {
		_, err = f.makes(document.Transaction{ID: rand.Text(), By: f.opts.Name, Why: "report", Do: []document.Operation{{Key: nodes + f.opts.Name, Value: string(text), Passing: true}}})
	}
	if f.opts.Reported != nil {
		f.opts.Reported(time.Since(begun), err)
	}
	ended := "made"
	if err != nil {
		ended = "failed"
	}
	f.figure(func(x *Figures) { x.Reports[ended]++ })
	if err != nil {
		f.log.Warn("no report to the fleet: the node serves on", err)
	}
}

// look takes in when others last reported, on the node that does the sweep: reports of all read by all would be as many as the
// square of the nodes.
func (f *Fleet) look() {
	f.mu.Lock()
	sweeps := f.swept != 0 && f.clock() < f.swept.Add(4*f.opts.Silent)
	f.mu.Unlock()
	if sweeps {
		_ = f.watch() // the report has said so
	}
}

// watch reads all reports.
func (f *Fleet) watch() error {
	docs, err := f.documents(nodes)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sight.Look(docs, f.clock())
	return nil
}

// mark is what stands on a node that is silent.
type mark struct {
	By    string `json:"by"`
	Since int64  `json:"since"` // Unix milliseconds, by the clock of who marked it
}

// sweep marks the nodes that are silent and takes marks off those that are back, each under the token.
func (f *Fleet) sweep(_ context.Context, a leasedtask.Action) error {
	marks, err := f.documents(silent)
	if err != nil {
		return err
	}
	if err := f.watch(); err != nil {
		return err
	}
	f.mu.Lock()
	f.swept = f.clock()
	quiet := f.sight.Silent(f.swept)
	f.mu.Unlock()
	t := document.Transaction{ID: a.ID + "/" + rand.Text(), By: f.opts.Name, Why: "sweep", If: []document.Condition{{Duty: "sweep", Token: a.Token}}}
	marked := map[string]bool{}
	for _, m := range marks {
		name := strings.TrimPrefix(m.Key, silent)
		marked[name] = true
		if f.heard(name) { // a sweeper that has just begun takes no mark off that another has set
			t.Do = append(t.Do, document.Operation{Key: m.Key, Delete: true})
		}
	}
	for _, q := range quiet {
		if marked[q.Node] {
			continue
		}
		text, err := json.Marshal(mark{f.opts.Name, f.opts.Now().Add(-q.For).UnixMilli()})
		if err != nil {
			return err
		}
		t.Do = append(t.Do, document.Operation{Key: silent + q.Node, Value: string(text)})
	}
	if len(t.Do) == 0 {
		return nil
	}
	t.Do = t.Do[:min(len(t.Do), document.Ordinary.Operations)] // the rest at the next turn
	_, err = f.makes(t)
	return err
}

// heard says whether a node has reported since this one looks, or is not there any more.
func (f *Fleet) heard(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sight.Heard(name, f.clock())
}

// backup writes one, or removes those that are too old. A backup's name has its token: what an owner that was overtaken
// still writes stands beside, and does no harm.
func (f *Fleet) backup(_ context.Context, a leasedtask.Action) error {
	if a.Step == "prune" {
		return f.prune()
	}
	if err := os.MkdirAll(f.opts.Dir, 0o700); err != nil {
		return err
	}
	name := filepath.Join(f.opts.Dir, fmt.Sprintf("%s-%d.json", a.Record.Job, a.Token))
	tmp, err := os.CreateTemp(f.opts.Dir, "unfinished-*")
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
func (f *Fleet) copyStore(to *os.File) error {
	return f.each(func(c store.Client) error {
		if _, err := to.Seek(0, io.SeekStart); err != nil {
			return err
		}
		return errors.Join(to.Truncate(0), c.Backup(to))
	})
}

func (f *Fleet) prune() error {
	names, err := filepath.Glob(filepath.Join(f.opts.Dir, "backup-*.json"))
	if err != nil {
		return err
	}
	slices.Sort(names) // jobs count up, in so many digits
	var errs []error
	for _, name := range names[:max(0, len(names)-f.opts.Keep)] {
		errs = append(errs, os.Remove(name))
	}
	return errors.Join(errs...)
}
