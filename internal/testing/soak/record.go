// Package soak runs a node of the built program as a real process against stand-ins of all its peers, with faults drawn from a seed, and
// checks from the stand-ins' records alone whether the node kept the protocol's rules. Traffic stays on loopback; a run ends all processes
// that it starts.
//
// Draw derives a Plan from a seed; Run executes it and returns a Report; Seeds runs many plans. Each check_*.go file checks one rule. The
// stand-ins are in client.go, runtime.go, catalogue.go and directory.go.
package soak

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// Event is an observation or action of a stand-in or the rig.
type Event struct {
	At      time.Duration // since the test run began, by the monotonic clock
	Who     string        // client, runtime, catalogue, process or fault
	What    string
	Request string // the id of the attempt concerned; empty: none
	Key     string
	Detail  string
}

// Record collects events. Its methods may be called from any goroutine.
type Record struct {
	began time.Time

	mu     sync.Mutex
	events []Event
}

func newRecord() *Record { return &Record{began: time.Now()} }

// now returns the time since the test run began.
func (r *Record) now() time.Duration { return time.Since(r.began) }

func (r *Record) add(who, what, request, key, detail string) time.Duration {
	at := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, Event{at, who, what, request, key, detail})
	return at
}

// Timeline writes the events that concern the given requests or keys, and all faults, process events and runtime connections.
func (r *Record) Timeline(w io.Writer, names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if e.Who == "fault" || e.Who == "process" || e.What == "link" || e.Request != "" && slices.Contains(names, e.Request) || e.Key != "" && slices.Contains(names, e.Key) {
			fmt.Fprintf(w, "%8.3f  %-9s %-14s %s %s %s\n", e.At.Seconds(), e.Who, e.What, e.Request, e.Key, e.Detail)
		}
	}
}
