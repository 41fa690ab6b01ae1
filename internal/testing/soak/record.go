// Package soak runs a node of the built program, as a real process, against stand-ins of everything that it talks to, with faults drawn by
// seed, and checks by the stand-ins' records alone whether the protocol's rules held. Traffic stays on loopback; all processes that a run
// starts are ended by it.
//
// Draw derives a Plan from a seed; Run carries it out and returns a Report; Seeds runs many. Each rule is a check_*.go file. The stand-ins
// are client.go, runtime.go, catalogue.go and directory.go.
package soak

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// Event is something that a stand-in or the rig observed or did.
type Event struct {
	At      time.Duration // since the test run began, by the monotonic clock
	Who     string        // client, runtime, catalogue, process or fault
	What    string
	Request string // the id of the attempt; empty where it is about none
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

// Timeline writes the events that concern the given requests or keys, and all faults and signals between them.
func (r *Record) Timeline(w io.Writer, names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if e.Who == "fault" || e.Who == "process" || e.What == "link" || e.Request != "" && slices.Contains(names, e.Request) || e.Key != "" && slices.Contains(names, e.Key) {
			fmt.Fprintf(w, "%8.3f  %-9s %-14s %s %s %s\n", e.At.Seconds(), e.Who, e.What, e.Request, e.Key, e.Detail)
		}
	}
}
