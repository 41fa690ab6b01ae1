package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sloehitch/internal/testing/faults/linkproxy"
	"sloehitch/internal/testing/loopback"
)

// play is one play of a plan.
type play struct {
	plan     Plan
	command  Command
	dir      string
	trialDir string
	listen   string
	listener *os.File // that processes inherit; nil: each listens itself

	record     *Record
	requests   *requests
	catalogue  *catalogue
	clientLink *linkproxy.Proxy
	callLink   *linkproxy.Proxy
	directory  *directory
	conns      atomic.Int64
	over       atomic.Bool

	mu     sync.Mutex
	lives  []*life
	resets []time.Duration // of clients' connections, by a fault
	pauses []pause
	lags   []pause        // of the machine that the play runs on
	tries  map[string]int // of each key
	strays []string
	counts map[string]int // faults carried out, by kind
}

// pause is a time in which the process stood still.
type pause struct{ from, to time.Duration }

// Run plays a plan in a folder and judges it. It errs where the rig itself could not do its work.
func Run(plan Plan, command Command, dir string) (*Report, error) {
	p := &play{plan: plan, command: command, dir: dir, trialDir: filepath.Join(dir, "trial"),
		record: newRecord(), requests: newRequests(), tries: map[string]int{}, counts: map[string]int{}}
	if err := os.MkdirAll(p.trialDir, 0o700); err != nil {
		return nil, err
	}
	if err := p.open(); err != nil {
		return nil, err
	}
	defer p.close()
	first, err := p.startProcess()
	if err != nil {
		return nil, err
	}
	if err := p.untilReady(first); err != nil {
		return nil, err
	}
	p.traffic()
	return p.judge(), nil
}

// open starts the stand-ins and the links to them.
func (p *play) open() (err error) {
	addresses, err := loopback.Addresses(1)
	if err != nil {
		return err
	}
	p.listen = addresses[0]
	if p.plan.Site.Shared {
		if p.listener, err = sharedListener(p.listen); err != nil {
			return err
		}
	}
	if p.catalogue, err = newCatalogue(p.record, p.plan.Seed); err != nil {
		return err
	}
	if p.directory, err = newDirectory(p.record); err != nil {
		return err
	}
	if p.clientLink, err = p.link("client", p.listen); err != nil {
		return err
	}
	p.callLink, err = p.link("catalogue", p.catalogue.listener.Addr().String())
	return err
}

// sharedListener listens on an address for processes to inherit. Where this process starts another in the same moment, that one has the
// descriptors that were just closed here until it runs its program: the address is to be had a moment later.
func sharedListener(address string) (*os.File, error) {
	ln, err := net.Listen("tcp", address)
	for tries := 0; err != nil && tries < 100; tries++ {
		time.Sleep(machineLook)
		ln, err = net.Listen("tcp", address)
	}
	if err != nil {
		return nil, err
	}
	defer ln.Close() // the file is another descriptor of it
	return ln.(*net.TCPListener).File()
}

func (p *play) link(name, server string) (*linkproxy.Proxy, error) {
	l, err := linkproxy.New(server, p.plan.Seed)
	if err != nil {
		return nil, err
	}
	l.Set(linkproxy.ToServer, p.plan.Links[name].ToServer)
	l.Set(linkproxy.ToClient, p.plan.Links[name].ToClient)
	return l, nil
}

// close ends all that was started.
func (p *play) close() {
	p.over.Store(true)
	p.mu.Lock()
	lives := p.lives
	p.mu.Unlock()
	for _, l := range lives {
		p.signal(l, syscall.SIGCONT)
		p.signal(l, syscall.SIGKILL)
		<-l.done
	}
	for _, l := range append(p.runtimeLinks(), p.clientLink, p.callLink) {
		if l != nil {
			l.Close()
		}
	}
	if p.catalogue != nil {
		p.catalogue.listener.Close()
	}
	if p.directory != nil {
		p.directory.close()
	}
	if p.listener != nil {
		p.listener.Close()
	}
}

// runtimeLinks are the links of all processes to their runtimes.
func (p *play) runtimeLinks() (all []*linkproxy.Proxy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.lives {
		all = append(all, l.links...)
	}
	return all
}

// configure writes a process's configuration, whole or not at all.
func (p *play) configure(l *life) error {
	p.mu.Lock()
	link := l.links[l.link]
	p.mu.Unlock()
	config := map[string]any{"name": "n1", "listen": p.listen, "runtime": link.Address(), "catalog": p.callLink.Address(), "lookup": p.directory.address(),
		"seed": fmt.Sprint(p.plan.Seed), "stop_ms": p.plan.Site.Stop().Milliseconds(),
		"limits": map[string]any{"cores": 1, "memory_mb": p.plan.Site.MemoryMB, "sockets": p.plan.Site.Sockets}, "settings": json.RawMessage(p.plan.Site.settings())}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(l.config+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(l.config+".new", l.config)
}

// readyMost is how long a process may take until it serves.
const readyMost = 10 * time.Second

func (p *play) untilReady(l *life) error {
	for end := time.Now().Add(readyMost); time.Now().Before(end); time.Sleep(time.Millisecond) {
		p.mu.Lock()
		ready, ended := l.ready > 0, l.ended > 0
		p.mu.Unlock()
		if ready {
			return nil
		}
		if ended {
			break
		}
	}
	return fmt.Errorf("process %d does not serve:\n%s", l.number, l.log.String())
}

// traffic has the clients send and the faults happen until the plan's length is over, and waits for what is owed then.
func (p *play) traffic() {
	var all sync.WaitGroup
	p.startClients(&all)
	all.Add(2)
	go p.watchMachine()
	go func() { defer all.Done(); p.faults() }()
	go func() { defer all.Done(); p.restarts() }()
	time.Sleep(p.plan.Length)
	p.over.Store(true)
	all.Wait()
	time.Sleep(max(p.plan.Site.ReadDeadline, p.plan.Site.BookDeadline) + p.plan.Links["client"].delay() + answerSlack)
}

// The rig's own machine may stand still for a moment when others use it: what it is late by is no fault of the node's.
const (
	machineLook = 10 * time.Millisecond
	machineLate = 15 * time.Millisecond
)

// watchMachine notes for how long this process, and so perhaps the node, got no turn.
func (p *play) watchMachine() {
	for p.sending() {
		from := p.record.now()
		time.Sleep(machineLook)
		if to := p.record.now(); to-from > machineLook+machineLate {
			p.mu.Lock()
			p.lags = append(p.lags, pause{from + machineLook, to})
			p.mu.Unlock()
		}
	}
}

func (p *play) startClients(all *sync.WaitGroup) {
	c, number := p.plan.Clients, 0
	start := func(count int, h habit, after, interval time.Duration) {
		for range count {
			number++
			one := &client{play: p, habit: h, number: number, random: rand.New(rand.NewPCG(p.plan.Seed, uint64(number)))}
			all.Add(1)
			go func() {
				defer all.Done()
				time.Sleep(after)
				one.run(interval)
				one.conn.finish()
			}()
		}
	}
	start(c.Steady, steady, 0, c.Interval)
	start(c.Stubborn, stubborn, 0, c.Interval)
	start(c.Resting, resting, 0, c.Interval)
	start(c.Slow, slow, 0, c.Interval)
	start(c.Crowd, crowding, p.plan.Length/2, c.Interval*time.Duration(max(1, c.Crowd/6)))
	for i := range c.Bad {
		all.Add(1)
		go func() { defer all.Done(); p.misbehave(rand.New(rand.NewPCG(p.plan.Seed, uint64(1000+i)))) }()
	}
}

// restarts ends the process and starts the next, as the plan says.
func (p *play) restarts() {
	random := rand.New(rand.NewPCG(p.plan.Seed, 3))
	for _, r := range p.plan.Restarts {
		p.sleepUntil(r.At)
		l := p.current()
		if l == nil || !p.sending() {
			return
		}
		switch {
		case p.plan.Site.Shared:
		case r.Kill:
			p.kill(l)
		default:
			p.leave(l, r.Signals)
		}
		time.Sleep(between(random, 0, 200*time.Millisecond))
		next, err := p.startProcess()
		if err == nil {
			err = p.untilReady(next)
		}
		if err != nil {
			p.mu.Lock()
			p.strays = append(p.strays, err.Error())
			p.mu.Unlock()
			return
		}
		if p.plan.Site.Shared { // it is replaced in service
			p.leave(l, r.Signals)
		}
	}
}

func (p *play) sleepUntil(at time.Duration) { time.Sleep(at - p.record.now()) }

// sending says whether the play's traffic goes on.
func (p *play) sending() bool { return !p.over.Load() }

func (p *play) clientAddress() string { return p.clientLink.Address() }

func (p *play) nextConn() int { return int(p.conns.Add(1)) }

// current is the process that is up.
func (p *play) current() *life {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.lives[len(p.lives)-1]; l.ended == 0 {
		return l
	}
	return nil
}

// life is the number of the process started last.
func (p *play) life() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.lives)
}

// mayRetry counts a further try of a key, and says whether it may be made.
func (p *play) mayRetry(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tries[key]++
	return p.tries[key] < triesMost
}

// stray notes an answer to what is not open.
func (p *play) stray(conn int, tag string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.strays = append(p.strays, fmt.Sprintf("conn %d tag %s", conn, tag))
}

// resetByFault says whether a fault has reset clients' connections just before.
func (p *play) resetByFault(at time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, reset := range p.resets {
		if at >= reset && at-reset < 200*time.Millisecond {
			return true
		}
	}
	return false
}
