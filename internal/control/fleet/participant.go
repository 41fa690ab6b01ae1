package fleet

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/platform/lograte"
)

// Participant connects one node to the fleet. Its exported methods may be called concurrently.
type Participant struct {
	options   Options
	log       *lograte.Logger
	clock     lease.Clock
	startedAt time.Time

	// preferredMember only grows. Modulo the number of members, it is the index of the member of the store to which
	// requests are sent first.
	preferredMember atomic.Int64

	mu           sync.Mutex // guards the following fields
	detector     *FailureDetector
	lastSweep    lease.Instant     // when this node last ran the sweep; 0 if never
	endedJobs    map[string]string // last job that this node ended, by task
	applier      *stateApplier
	inService    conditionTimer // in service and healthy
	drainOverdue bool
	stats        Stats
}

// New returns a participant, which is idle until Serve. It applies the desired state that is in the ledger. It
// returns an error for invalid options, and if the state in the ledger cannot be read.
func New(o Options) (*Participant, error) {
	if err := o.Validate(); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	o.setDefaults()
	applier, err := newStateApplier(o.Ledger, o.ApplyDesiredState)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return &Participant{
		options:   o,
		log:       lograte.New(o.Log, time.Second),
		clock:     o.Clock,
		startedAt: time.Now(),
		detector:  NewFailureDetector(o.SilentAfter),
		endedJobs: map[string]string{},
		applier:   applier,
		stats:     Stats{Reports: map[string]uint64{}, Permits: map[string]uint64{}},
	}, nil
}

// Serve reports the node and runs the fleet's tasks until the context ends, and then hands leases over. It blocks,
// and must be called only once.
func (p *Participant) Serve(ctx context.Context) {
	var wg sync.WaitGroup
	for _, run := range p.loops() {
		wg.Go(func() { run(ctx) })
	}
	ticker := time.NewTicker(p.options.ReportInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		p.publishReport()
		p.observeReportsWhileSweeping()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	wg.Wait()
}

// loops returns the functions that Serve runs concurrently with the reports. Each runs until its context ends.
func (p *Participant) loops() (loops []func(context.Context)) {
	for _, task := range p.periodicTasks() {
		loops = append(loops, func(ctx context.Context) { p.runPeriodicTask(ctx, task) })
	}
	loops = append(loops, p.followDesiredState)
	if p.options.Drain == nil {
		return loops
	}
	loops = append(loops, p.runDrainAgent, p.runGrantTask, p.runReleaseTask)
	if p.options.Drain.ExcludeUpstreams != nil {
		loops = append(loops, p.followExcludedUpstreams)
	}
	return loops
}

// periodicTasks returns the periodic tasks that this node takes part in.
func (p *Participant) periodicTasks() []PeriodicTask {
	tasks := []PeriodicTask{{Name: sweepTaskName, Interval: p.options.SilentAfter, Steps: []string{"mark"}, RunStep: p.markSilentNodes}}
	if p.options.BackupInterval > 0 {
		steps := []string{backupStepWrite, backupStepPrune}
		tasks = append(tasks, PeriodicTask{Name: "backup", Interval: p.options.BackupInterval, Steps: steps, RunStep: p.backup})
	}
	return tasks
}

// pause waits for the retry delay, or until the context ends.
func (p *Participant) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(p.options.RetryDelay):
	}
}
