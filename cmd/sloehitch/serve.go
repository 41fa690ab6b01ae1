package main

import (
	"hash/fnv"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"sloehitch/internal/catalogue"
	"sloehitch/internal/config"
	"sloehitch/internal/directory"
	"sloehitch/internal/gate"
	"sloehitch/internal/limits"
	"sloehitch/internal/node"
	"sloehitch/internal/resp"
	"sloehitch/internal/runtime"
)

type serveCmd struct{ files }

// systemClock is the system's Unix clock.
type systemClock struct{}

// Now drops the monotonic reading, so that spans follow the Unix clock too.
func (systemClock) Now() time.Time { return time.Now().Round(0) }

func (c *serveCmd) Run(log *slog.Logger) error {
	p, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	lim := limits.For(p.Caps.MemoryMB, p.Caps.Sockets)
	debug.SetMemoryLimit(lim.MemoryBytes)
	return serve(p, lim, log.With("node", p.Name))
}

// serve wires the parts and runs them until the notice to leave has been carried out.
func serve(p *config.Platform, lim limits.Limits, log *slog.Logger) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	clock := systemClock{}
	gateOptions := gate.Options{Seed: seed(p.Seed), Now: clock.Now, Patience: lim.Gauges}

	var link *runtime.Link
	var g *gate.Gate
	if p.Runtime != "" {
		link = runtime.New(runtime.Options{Address: p.Runtime, Meters: p.Names.Meters, Limits: lim, Log: log,
			Gauges: func(m gate.Gauges) { g.Tick(m) }})
		gateOptions.Ask = link.Ask
	}
	g, err := gate.New(p.Logic, gateOptions)
	if err != nil {
		return err
	}
	options := node.Options{Settings: p.Logic, Gate: g, Clock: clock, Limits: lim, Log: log}
	if p.Catalog != "" {
		options.Caller = catalogue.New(p.Catalog, lim, log)
	}
	n := node.New(options)
	go n.Serve()
	if link != nil {
		go link.Serve(n)
	}
	front := resp.New(resp.Options{Core: n, Standing: g, Runner: link, Classes: p.Names.Classes,
		Tenants: p.Names.Tenants, Limits: lim, Log: log})
	ln, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- front.Serve(ln) }()
	pulse := directory.New(p.Name)
	if p.Lookup != "" {
		go func() {
			if err := pulse.Serve(p.Lookup, lim.Pulse, nil); err != nil {
				log.Warn("no reports to the directory", "error", err)
			}
		}()
	}
	log.Info("serving", "listen", p.Listen, "runtime", p.Runtime, "catalogue", p.Catalog, "version", version)
	sweep := time.NewTicker(lim.Sweep)
	defer sweep.Stop()
	for {
		select {
		case err := <-failed:
			return err
		case <-sweep.C:
			n.Sweep()
			front.Sweep()
		case <-stop:
			leave(p, lim, n, front, ln, pulse, log)
			return nil
		}
	}
}

// leave carries out the notice to leave: callers are sent elsewhere at once, what is in hand goes on, and the end
// comes when nothing is owed and the callers have closed, or just before the kill.
func leave(p *config.Platform, lim limits.Limits, n *node.Node, front *resp.Front, ln net.Listener, pulse *directory.Pulse, log *slog.Logger) {
	kill := time.After(p.Stop() - lim.KillSpare/2)
	log.Info("leaving", "stop", p.Stop())
	done := n.Leave(p.Stop())
	pulse.Leave()
	ln.Close() // a refused connection proves that nothing ran
	front.Leave()
	look := time.NewTicker(lim.RetryLeast)
	defer look.Stop()
	for {
		select {
		case <-kill:
			log.Info("left at the last moment", "open", front.Open())
			return
		case <-look.C:
			select {
			case <-done:
				if front.Open() == 0 {
					log.Info("left")
					return
				}
			default:
			}
		}
	}
}

// seed turns the platform's seed into a number.
func seed(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}
