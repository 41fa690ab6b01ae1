package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sloehitch/internal/testing/faults/linkproxy"
)

// Plan is all that a seed determines.
type Plan struct {
	Seed     uint64
	Length   time.Duration // of traffic
	Site     Site
	Clients  Clients
	Links    map[string]Link // by the name of what lies behind: client, runtime, catalogue
	Faults   []Fault         // in the order of their times
	Restarts []Restart
}

// Site is the settings that the node is given.
type Site struct {
	Cores           int
	ReadDeadline    time.Duration
	BookDeadline    time.Duration
	Window          time.Duration // of keys
	DrainGrace      time.Duration
	TellsWait       bool
	StopMode        string
	BookMayOmitCall bool
	Sockets         int
	MemoryMB        int
	Shared          bool // clients come from a listener that all processes of the node inherit, and each process replaces the one before in service
}

// killSpare is by how much the kill comes after the longest deadline, and killDeadlineMost the most of a deadline that it waits for.
const (
	killSpare        = 700 * time.Millisecond
	killDeadlineMost = 3 * time.Second
)

// Stop is how long after SIGTERM the process is killed: the earliest that the protocol's pages allow.
func (s Site) Stop() time.Duration {
	return min(max(s.ReadDeadline, s.BookDeadline), killDeadlineMost) + killSpare
}

// Clients is how many there are of each habit, and how often each sends.
type Clients struct {
	Steady   int // close a connection when asked to
	Stubborn int // use a connection until it ends
	Resting  int // send again after a rest
	Slow     int // write and read in small pieces
	Bad      int // send half lines, nonsense and nothing
	Crowd    int // come all at once for a while
	Interval time.Duration
	Work     time.Duration // the mean of a run
	CallPart float64       // of the runs make a call; half of them a second one
}

// Link is what lies on the way to a stand-in, each way.
type Link struct{ ToServer, ToClient linkproxy.Conditions }

// delay is the most that the link holds a byte back, both ways together.
func (l Link) delay() time.Duration {
	return l.ToServer.Delay + l.ToServer.Jitter + l.ToClient.Delay + l.ToClient.Jitter
}

// FaultKind is one kind of trouble.
type FaultKind string

// The kinds of trouble.
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

// Kinds are all kinds of trouble.
var Kinds = []FaultKind{ResetRuntime, StallToRuntime, StallToNode, ResetClients, ResetCatalogue, CatalogueDown, Pause, Reload, StepWallClock, DirectorySilent}

// Fault is one trouble at one time.
type Fault struct {
	At   time.Duration
	Kind FaultKind
	For  time.Duration
	Step time.Duration // of the wall clock
}

// Restart ends the process and starts the next.
type Restart struct {
	At      time.Duration
	Kill    bool // without notice
	Signals int  // SIGTERMs in a row, and SIGHUPs between them
}

// Draw derives the plan of a seed. Of the kinds of trouble only those given occur; none given: all.
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
		quiet = length / 3 // trouble begins after a long quiet time
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
		Window: between(r, 2*time.Second, time.Minute), DrainGrace: between(r, 0, 2*time.Second), TellsWait: r.IntN(2) == 0,
		StopMode: []string{"off", "freeze", "discard"}[r.IntN(3)], BookMayOmitCall: r.IntN(3) == 0,
		Sockets: 96 + r.IntN(300), MemoryMB: 32 + r.IntN(97),
	}
}

func drawClients(r *rand.Rand) Clients {
	c := Clients{Steady: 1 + r.IntN(4), Stubborn: 1 + r.IntN(3), Resting: 1 + r.IntN(4), Slow: r.IntN(3), Bad: r.IntN(3),
		Interval: between(r, 10*time.Millisecond, 120*time.Millisecond), Work: between(r, 5*time.Millisecond, 120*time.Millisecond), CallPart: r.Float64()}
	if r.IntN(3) == 0 {
		c.Crowd = 20 + r.IntN(60)
	}
	return c
}

func drawLink(r *rand.Rand) Link {
	one := func() linkproxy.Conditions {
		c := linkproxy.Conditions{Delay: between(r, 0, 90*time.Millisecond), Jitter: between(r, 0, 40*time.Millisecond)}
		switch r.IntN(6) {
		case 0:
			c = linkproxy.Conditions{}
		case 1:
			c.Piece = 1 + r.IntN(40)
		}
		return c
	}
	return Link{one(), one()}
}

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(max(1, most-least))))
}

// settings is the settings object that the node finds in its configuration.
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
		s.BookDeadline.Microseconds()*2/3, s.BookDeadline.Microseconds(), s.Cores, book, s.TellsWait, s.StopMode, s.DrainGrace.Microseconds())
}

// deadline is the longest that a request of a class may wait for its answer.
func (s Site) deadline(class string) time.Duration {
	if class == "read" {
		return s.ReadDeadline
	}
	return s.BookDeadline
}
