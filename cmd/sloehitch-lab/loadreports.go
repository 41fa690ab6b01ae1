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

// reportsCmd measures the load that the reports of many nodes put on the store, with members and nodes in this process, on loopback.
type reportsCmd struct {
	Nodes   int           `default:"100" help:"Number of nodes that report."`
	Members int           `default:"3" help:"Number of members of the store."`
	Every   time.Duration `default:"2s" help:"Interval between a node's reports."`
	For     time.Duration `default:"10s" help:"Duration of the measurement."`
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

// startNode starts a node that reports until the context is canceled. The nodes' first reports are spread over an interval, as those of
// independent nodes are.
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

// measure counts reports for the given time and prints their rate, latency and processor use.
func (c *reportsCmd) measure(s *store.Store, m *reportMeter) {
	time.Sleep(2 * c.Every)
	before := processorTime()
	_, from, _ := s.Documents("", false)
	m.count(true)
	time.Sleep(c.For)
	m.count(false)
	cores := (processorTime() - before).Seconds() / c.For.Seconds()
	reports := float64(m.latency.TotalCount()) / c.For.Seconds()
	p50 := time.Duration(m.latency.ValueAtQuantile(50)) * time.Microsecond
	p99 := time.Duration(m.latency.ValueAtQuantile(99)) * time.Microsecond
	fmt.Printf("%d nodes, %d members, a report every %v: %.0f reports/s, p50 %v, p99 %v, %d failed; %.2f cores used by members and nodes together",
		c.Nodes, c.Members, c.Every, reports, p50, p99, m.failed, cores)
	_, to, _ := s.Documents("", false)
	fmt.Printf("; %.1f revisions/s\n", float64(to.Revision-from.Revision)/c.For.Seconds())
}

// reportMeter records the latencies of reports while counting is on.
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
		_ = m.latency.RecordValue(took.Microseconds()) // in range, since the client's timeout is below a minute
	}
}

// processorTime returns the processor time of this process so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
