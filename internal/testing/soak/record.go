// Package soak plays a node of the built program, as a real process, against stand-ins of everything that it talks to, with faults between
// them drawn by seed, and judges from the stand-ins' records alone whether the protocol's rules held. Traffic stays on loopback, and all that
// it starts it ends.
package soak

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// Event is one thing that a stand-in saw or did.
type Event struct {
	At      time.Duration // since the play began, by the monotonic clock
	Who     string        // client, runtime, catalogue, process or fault
	What    string
	Request string // the id of the try; empty where it is about none
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

// now is the time since the play began.
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
