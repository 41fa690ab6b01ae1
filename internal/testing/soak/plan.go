package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sloehitch/internal/testing/faults/linkproxy"
)

// Plan is a test scenario, determined by its seed.
type Plan struct {
	Seed     uint64
	Length   time.Duration // of traffic
	Site     Site
	Clients  Clients
	Links    map[string]Link // by the peer's name: client, runtime or catalogue
	Faults   []Fault         // in the order of their times
	Restarts []Restart
}

// Site is the node's settings.
type Site struct {
	Cores           int
	ReadDeadline    time.Duration
	BookDeadline    time.Duration
	Window          time.Duration // of idempotency keys
	DrainGrace      time.Duration
	SendsTimeout    bool
	StopMode        string
	BookMayOmitCall bool
	Sockets         int
	MemoryMB        int
	Shared          bool // all processes of the node inherit one listener, and each process replaces its predecessor in service
}

// The time from SIGTERM to SIGKILL: the longest deadline, at most maxDeadlineBeforeKill, plus killMargin.
const (
	killMargin            = 700 * time.Millisecond
	maxDeadlineBeforeKill = 3 * time.Second
)

// Stop returns how long after SIGTERM the process is killed: the earliest that the protocol allows.
func (s Site) Stop() time.Duration {
	return min(max(s.ReadDeadline, s.BookDeadline), maxDeadlineBeforeKill) + killMargin
}

// Clients is the number of clients of each behavior, and how often each sends.
type Clients struct {
	Steady       int // close a connection when asked to
	IgnoreClose  int // ignore requests to close, and use a connection until it ends
	Idling       int // send again after an idle time, on a connection that the node may have asked to close
	Slow         int // write and read in small pieces
	Malformed    int // send incomplete and malformed messages, or nothing
	Burst        int // all start sending at the same time, halfway through the run
	Interval     time.Duration
	Work         time.Duration // mean duration of a run
	CallFraction float64       // fraction of the runs that make a call; half of these make a second one
}

// Link is the network conditions of a connection's two directions.
type Link struct{ ToServer, ToClient linkproxy.Conditions }

// delay returns the longest round-trip delay that the link adds.
func (l Link) delay() time.Duration {
	return l.ToServer.Delay + l.ToServer.Jitter + l.ToClient.Delay + l.ToClient.Jitter
}

// FaultKind is one kind of fault.
type FaultKind string

// The kinds of fault.
const (
	ResetRuntime    FaultKind = "reset-runtime"
	StallToRuntime  FaultKind = "stall-to-runtime"
	StallToNode     FaultKind = "stall-from-runtime"
	ResetClients    FaultKind = "reset-clients"
	ResetCatalogue  FaultKind = "reset-catalogue"
	CatalogueDown   FaultKind = "catalogue-down"
	Pause           FaultKind = "pause"
	Reload          FaultKind = "reload"
	StepWallClock   FaultKind = "step-wall-clock"
	DirectorySilent FaultKind = "directory-silent"
)

// Kinds lists all kinds of fault.
var Kinds = []FaultKind{ResetRuntime, StallToRuntime, StallToNode, ResetClients, ResetCatalogue, CatalogueDown, Pause, Reload, StepWallClock, DirectorySilent}

// Fault is a fault at a time since the start of the run. For is its length, and Step the change of the wall clock.
type Fault struct {
	At   time.Duration
	Kind FaultKind
	For  time.Duration
	Step time.Duration
}

// Restart is the end of a process and the start of the next.
type Restart struct {
	At      time.Duration
	Kill    bool // with SIGKILL, without a SIGTERM before
	Signals int  // number of SIGTERMs, with a SIGHUP between each two
}

// Draw derives the plan of a seed, whose traffic lasts for length. Only the given kinds of fault occur, or all kinds if none is given. A
// change of the order of the draws changes the plan of every seed.
func Draw(seed uint64, length time.Duration, kinds []FaultKind) Plan {
	r := rand.New(rand.NewPCG(seed, 0x5e0a))
	if len(kinds) == 0 {
		kinds = Kinds
	}
	p := Plan{Seed: seed, Length: length, Site: drawSite(r), Links: map[string]Link{}}
	p.Clients = drawClients(r)
	for _, name := range []string{"client", "runtime", "catalogue"} {
		p.Links[name] = drawLink(r)
	}
	quiet := time.Duration(0)
	if r.IntN(4) == 0 {
		quiet = length / 3 // faults begin after a long time without any
	}
	for at := quiet + between(r, 100*time.Millisecond, time.Second); at < length; at += between(r, 50*time.Millisecond, 1500*time.Millisecond) {
		f := Fault{At: at, Kind: kinds[r.IntN(len(kinds))], For: between(r, 20*time.Millisecond, 600*time.Millisecond)}
		f.Step = []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -7 * time.Second, 0}[r.IntN(5)]
		p.Faults = append(p.Faults, f)
	}
	p.Site.Shared = r.IntN(4) == 0
	for at := between(r, time.Second, length/2); at < length; at += p.Site.Stop() + between(r, 500*time.Millisecond, length/2) {
		p.Restarts = append(p.Restarts, Restart{At: at, Kill: r.IntN(4) == 0 && !p.Site.Shared, Signals: 1 + r.IntN(3)})
	}
	return p
}

func drawSite(r *rand.Rand) Site {
	return Site{
		Cores: 2 + r.IntN(7), ReadDeadline: between(r, 600*time.Millisecond, 5*time.Second), BookDeadline: between(r, 600*time.Millisecond, 5*time.Second),
		Window: between(r, 2*time.Second, time.Minute), DrainGrace: between(r, 0, 2*time.Second), SendsTimeout: r.IntN(2) == 0,
		StopMode: []string{"off", "freeze", "discard"}[r.IntN(3)], BookMayOmitCall: r.IntN(3) == 0,
		Sockets: 96 + r.IntN(300), MemoryMB: 32 + r.IntN(97),
	}
}

func drawClients(r *rand.Rand) Clients {
	c := Clients{Steady: 1 + r.IntN(4), IgnoreClose: 1 + r.IntN(3), Idling: 1 + r.IntN(4), Slow: r.IntN(3), Malformed: r.IntN(3),
		Interval: between(r, 10*time.Millisecond, 120*time.Millisecond), Work: between(r, 5*time.Millisecond,
			120*time.Millisecond), CallFraction: r.Float64()}
	if r.IntN(3) == 0 {
		c.Burst = 20 + r.IntN(60)
	}
	return c
}

func drawLink(r *rand.Rand) Link {
	direction := func() linkproxy.Conditions {
		c := linkproxy.Conditions{Delay: between(r, 0, 90*time.Millisecond), Jitter: between(r, 0, 40*time.Millisecond)}
		switch r.IntN(6) {
		case 0:
			c = linkproxy.Conditions{}
		case 1:
			c.Piece = 1 + r.IntN(40)
		}
		return c
	}
	return Link{direction(), direction()}
}

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(max(1, most-least))))
}

// settings returns the JSON settings object for the node's configuration.
func (s Site) settings() string {
	book := 0.0
	if s.BookMayOmitCall {
		book = 0.4
	}
	return fmt.Sprintf(`{"az":"a","ceilings":{"retry-after":true,"max-retry-after":1000000},
 "classes":[{"name":"read","objective":%d,"hard-limit":%d,"credit":1,"semantics":"retryable","window":5000000},
  {"name":"book","objective":%d,"hard-limit":%d,"credit":3,"semantics":"dedup","window":%d},
  {"name":"move","objective":%d,"hard-limit":%d,"credit":2,"semantics":"fragile","window":5000000}],
 "counted-by":"work","domain":{"class-calls":[true,true,true],"cores":%d,"degraded-worth":[0.6,%g,0],"downstream":"tier",
  "hangup-seen":true,"idle":3000000,"just-started":false,"kb-per-key":1,"memory-kb":100000,"run-factor":8,"passes-deadline":%v,
  "meters":["core_use","on_cores","heap_share","links"],"signal":"floor","stop-mode":%q},
 "projects":[{"name":"acme","quota-per-s":1000,"share":1}],
 "rules":{"cold":1000000,"fall":1500000,"grace-to-answer":80000,"overload-factor":5,"start-capacity":0.2,
  "stop-sending-within":%d},"servers":1,"tick":4000}`, s.ReadDeadline.Microseconds()*2/3, s.ReadDeadline.Microseconds(),
		s.BookDeadline.Microseconds()*2/3, s.BookDeadline.Microseconds(), s.Window.Microseconds(),
		s.BookDeadline.Microseconds()*2/3, s.BookDeadline.Microseconds(), s.Cores, book, s.SendsTimeout, s.StopMode, s.DrainGrace.Microseconds())
}

// deadline returns how long a request of a class may wait for its answer.
func (s Site) deadline(class string) time.Duration {
	if class == "read" {
		return s.ReadDeadline
	}
	return s.BookDeadline
}
