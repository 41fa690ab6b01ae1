package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sloehitch/internal/control/fleet"
	"sloehitch/internal/store"
)

// reportsCmd measures what many nodes' load reports cost the store, with members and nodes in this process, on loopback.
type reportsCmd struct {
	Nodes   int           `default:"100" help:"Nodes that report."`
	Members int           `default:"3" help:"Members of the store."`
	Every   time.Duration `default:"2s" help:"Between a node's reports."`
	For     time.Duration `default:"10s" help:"How long it is measured."`
}

func (c *reportsCmd) Run() (err error) {
	dir, err := os.MkdirTemp("", "sloehitch-reports-*")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	group, err := startStoreGroup(dir, c.Members)
	if err != nil {
		return errors.Join(err, group.close())
	}
	defer func() { err = errors.Join(err, group.close()) }()
	if err := group.awaitLeader(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m := &reportMeter{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	var nodes sync.WaitGroup
	for i := range c.Nodes {
		if err := c.startNode(ctx, &nodes, i, group.admins, m); err != nil {
			return err
		}
	}
	c.measure(group.stores[0], m)
	cancel()
	nodes.Wait()
	return nil
}

// startNode has a node report until the context is canceled. The nodes' first reports are spread over an interval, as those of nodes that start by themselves are.
func (c *reportsCmd) startNode(ctx context.Context, nodes *sync.WaitGroup, i int, admins []string, m *reportMeter) error {
	f, err := fleet.New(fleet.Options{Name: fmt.Sprint("n", i), StoreMembers: admins, ReportInterval: c.Every, SilentAfter: 5 * c.Every,
		RequestTimeout: 2500 * time.Millisecond, RetryDelay: time.Second, LeaseTerms: store.DefaultLeaseTerms, Log: slog.New(slog.DiscardHandler), OnReport: m.observe})
	if err != nil {
		return err
	}
	nodes.Go(func() {
		select {
		case <-time.After(time.Duration(i) * c.Every / time.Duration(c.Nodes)):
			f.Serve(ctx)
		case <-ctx.Done():
		}
	})
	return nil
}

// measure counts reports for a while and prints what they cost.
func (c *reportsCmd) measure(s *store.Store, m *reportMeter) {
	time.Sleep(2 * c.Every)
	before := used()
	_, from, _ := s.Documents("", false)
	m.count(true)
	time.Sleep(c.For)
	m.count(false)
	cores := (used() - before).Seconds() / c.For.Seconds()
	reports := float64(m.latency.TotalCount()) / c.For.Seconds()
	p50 := time.Duration(m.latency.ValueAtQuantile(50)) * time.Microsecond
	p99 := time.Duration(m.latency.ValueAtQuantile(99)) * time.Microsecond
	fmt.Printf("%d nodes, %d members, a report each %v: %.0f reports a second, p50 %v, p99 %v, %d failed; %.2f cores of members and nodes together",
		c.Nodes, c.Members, c.Every, reports, p50, p99, m.failed, cores)
	_, to, _ := s.Documents("", false)
	fmt.Printf("; %.1f revisions a second\n", float64(to.Revision-from.Revision)/c.For.Seconds())
}

// reportMeter takes the latencies of reports while it counts.
type reportMeter struct {
	mu       sync.Mutex
	counting bool
	latency  *hdrhistogram.Histogram // microseconds
	failed   int
}

func (m *reportMeter) count(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counting = on
}

func (m *reportMeter) observe(took time.Duration, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.counting:
	case err != nil:
		m.failed++
	default:
		_ = m.latency.RecordValue(took.Microseconds()) // within a minute, as the client's timeout is
	}
}

// used returns the processor time that this process has used.
func used() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
