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
	quiet := slog.New(slog.DiscardHandler)
	addresses, err := loopback.Addresses(2 * c.Members)
	if err != nil {
		return err
	}
	var members []store.Member
	var admins []string
	for i := range c.Members {
		members = append(members, store.Member{Name: fmt.Sprint("m", i), RaftAddress: addresses[2*i], AdminAddress: addresses[2*i+1]})
		admins = append(admins, addresses[2*i+1])
	}
	var stores []*store.Store
	for _, m := range members {
		s, err := store.Open(store.Options{Name: m.Name, Members: members, Dir: filepath.Join(dir, m.Name), CommitTimeout: 5 * time.Second, ElectionTimeout: time.Second, Logger: quiet})
		if err != nil {
			return err
		}
		defer s.Close()
		ln, err := net.Listen("tcp", m.AdminAddress)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: s.Handler()}
		defer server.Close()
		go server.Serve(ln)
		stores = append(stores, s)
	}
	for end := time.Now().Add(30 * time.Second); stores[0].Members().Leader == ""; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("the store has no leader after 30 s")
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	latency, failed := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), 0
	counting := false
	var wg sync.WaitGroup
	for i := range c.Nodes {
		f, err := fleet.New(fleet.Options{Name: fmt.Sprint("n", i), StoreMembers: admins, ReportInterval: c.Every, SilentAfter: 5 * c.Every, RequestTimeout: 2500 * time.Millisecond, RetryDelay: time.Second, LeaseTerms: store.DefaultLeaseTerms, Log: quiet,
			OnReport: func(took time.Duration, err error) {
				mu.Lock()
				defer mu.Unlock()
				switch {
				case !counting:
				case err != nil:
					failed++
				default:
					_ = latency.RecordValue(took.Microseconds()) // within a minute, as the client's patience is
				}
			}})
		if err != nil {
			return err
		}
		wg.Go(func() {
			select {
			case <-time.After(time.Duration(i) * c.Every / time.Duration(c.Nodes)): // spread, as nodes that start by themselves are
				f.Serve(ctx)
			case <-ctx.Done():
			}
		})
	}
	time.Sleep(2 * c.Every)
	before := used()
	_, from, _ := stores[0].Documents("", false)
	mu.Lock()
	counting = true
	mu.Unlock()
	time.Sleep(c.For)
	mu.Lock()
	counting = false
	fmt.Printf("%d nodes, %d members, a report each %v: %.0f reports a second, p50 %v, p99 %v, %d failed; %.2f cores of members and nodes together",
		c.Nodes, c.Members, c.Every, float64(latency.TotalCount())/c.For.Seconds(), time.Duration(latency.ValueAtQuantile(50))*time.Microsecond, time.Duration(latency.ValueAtQuantile(99))*time.Microsecond, failed, (used()-before).Seconds()/c.For.Seconds())
	mu.Unlock()
	_, to, _ := stores[0].Documents("", false)
	fmt.Printf("; %.1f revisions a second\n", float64(to.Revision-from.Revision)/c.For.Seconds())
	cancel()
	wg.Wait()
	return nil
}

// used is the processor time of this process.
func used() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
