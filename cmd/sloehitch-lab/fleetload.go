package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sloehitch/internal/control/fleet"
	"sloehitch/internal/store"
	"sloehitch/internal/testing/fleetrig"
	"sloehitch/internal/testing/loopback"
)

// outageCmd measures for how long a duty is at nobody's hands.
type outageCmd struct {
	Daemon  string        `default:"bin/sloehitch" help:"The program to start." type:"existingfile"`
	Kind    string        `arg:"" enum:"kill,stop,leave,isolate" help:"What befalls the node that does the duty: kill, stop, leave or isolate."`
	Repeats int           `default:"20" help:"How often."`
	Lease   time.Duration `default:"1s" help:"Of the duties."`
	Quiet   bool          `help:"Only the result."`
}

func (c *outageCmd) Run() (err error) {
	o := fleetrig.Options{Nodes: 3, Lease: c.Lease, Recovery: 60 * time.Second, Command: daemonCommand(c.Daemon)}
	if !c.Quiet {
		o.Say = os.Stdout
	}
	if o.Dir, err = os.MkdirTemp("", "sloehitch-fleet-*"); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(o.Dir)) }()
	took, err := fleetrig.Outages(o, fleetrig.Kind(c.Kind), c.Repeats)
	if len(took) > 0 {
		fmt.Printf("%s, lease %v, %d times: until another was at the duty p50 %v, p99 %v\n", c.Kind, c.Lease, len(took), took[len(took)/2].Round(time.Millisecond), took[len(took)*99/100].Round(time.Millisecond))
	}
	return err
}

func daemonCommand(daemon string) func(config, deploy string) *exec.Cmd {
	return func(config, deploy string) *exec.Cmd {
		return exec.Command(daemon, "serve", "--config", config, "--deploy", deploy)
	}
}

// reportsCmd measures what many nodes' reports cost the store: members and nodes in this one process, on loopback.
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

// storeGroup is the members of a store in this process, and their operators' addresses.
type storeGroup struct {
	stores  []*store.Store
	servers []*http.Server
	admins  []string
}

// startStoreGroup starts members of a store with folders in dir. What it returns is to be closed also on an error.
func startStoreGroup(dir string, n int) (*storeGroup, error) {
	g := &storeGroup{}
	addresses, err := loopback.Addresses(2 * n)
	if err != nil {
		return g, err
	}
	var members []store.Member
	for i := range n {
		members = append(members, store.Member{Name: fmt.Sprint("m", i), RaftAddress: addresses[2*i], AdminAddress: addresses[2*i+1]})
		g.admins = append(g.admins, addresses[2*i+1])
	}
	for _, m := range members {
		s, err := store.Open(store.Options{Name: m.Name, Members: members, Dir: filepath.Join(dir, m.Name), CommitTimeout: 5 * time.Second,
			ElectionTimeout: time.Second, Logger: slog.New(slog.DiscardHandler)})
		if err != nil {
			return g, err
		}
		g.stores = append(g.stores, s)
		ln, err := net.Listen("tcp", m.AdminAddress)
		if err != nil {
			return g, err
		}
		server := &http.Server{Handler: s.Handler()}
		g.servers = append(g.servers, server)
		go func() { _ = server.Serve(ln) }() // until it is closed
	}
	return g, nil
}

// awaitLeader blocks until a leader is elected, for 30 s at most.
func (g *storeGroup) awaitLeader() error {
	for end := time.Now().Add(30 * time.Second); g.stores[0].Members().Leader == ""; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("the store has no leader after 30 s")
		}
	}
	return nil
}

func (g *storeGroup) close() (err error) {
	for _, server := range g.servers {
		err = errors.Join(err, server.Close())
	}
	for _, s := range g.stores {
		err = errors.Join(err, s.Close())
	}
	return err
}

// used is the processor time of this process.
func used() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
