package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"sloehitch/internal/testing/faults/linkproxy"
)

// faults carries out the plan's troubles, one after the other.
func (p *play) faults() {
	for _, f := range p.plan.Faults {
		p.sleepUntil(f.At)
		if !p.sending() {
			return
		}
		p.record.add("fault", string(f.Kind), "", "", fmt.Sprint("for ", f.For))
		p.mu.Lock()
		p.counts[string(f.Kind)]++
		p.mu.Unlock()
		p.carryOut(f)
	}
}

func (p *play) carryOut(f Fault) {
	switch f.Kind {
	case ResetRuntime:
		for _, l := range p.runtimeLinks() {
			l.Reset()
		}
	case StallToRuntime:
		p.stall(linkproxy.ToServer, f.For)
	case StallToNode:
		p.stall(linkproxy.ToClient, f.For)
	case ResetClients:
		at := p.record.now()
		p.mu.Lock()
		p.resets = append(p.resets, at)
		p.mu.Unlock()
		p.clientLink.Reset()
	case ResetCatalogue:
		p.callLink.Reset()
	case CatalogueDown:
		p.callLink.Refuse(true)
		p.callLink.Reset()
		time.Sleep(f.For)
		p.callLink.Refuse(false)
	case Pause:
		p.pause(f.For)
	case Reload:
		p.reload()
	case StepWallClock:
		// A file that is replaced whole: the process looks at it at any moment.
		path := filepath.Join(p.trialDir, "clock")
		if os.WriteFile(path+".new", fmt.Appendf(nil, "%v 1", f.Step), 0o600) == nil {
			_ = os.Rename(path+".new", path)
		}
	case DirectorySilent:
		p.directory.silent(f.For)
	}
}

// stall holds back one direction of the links to the runtime.
func (p *play) stall(d linkproxy.Direction, span time.Duration) {
	conditions := p.plan.Links["runtime"].ToServer
	if d == linkproxy.ToClient {
		conditions = p.plan.Links["runtime"].ToClient
	}
	stalled := conditions
	stalled.Stalled = true
	held := p.runtimeLinks()
	for _, l := range held {
		l.Set(d, stalled)
	}
	time.Sleep(span)
	for _, l := range held {
		l.Set(d, conditions)
	}
}

// pause has the process stand still.
func (p *play) pause(span time.Duration) {
	l := p.current()
	if l == nil {
		return
	}
	from := p.record.now()
	p.mu.Lock()
	index := len(p.pauses)
	p.pauses = append(p.pauses, pause{from, from + span}) // known at once: a kill that comes due in it waits
	p.mu.Unlock()
	p.signal(l, syscall.SIGSTOP)
	time.Sleep(span)
	p.signal(l, syscall.SIGCONT)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pauses[index].to = p.record.now()
}

// reload has the process read a configuration that names another way to the runtime.
func (p *play) reload() {
	l := p.current()
	if l == nil {
		return
	}
	p.mu.Lock()
	l.link = 1 - l.link
	ready := l.ready > 0 // before that the signal would end it
	p.mu.Unlock()
	if p.configure(l) == nil && ready {
		p.signal(l, syscall.SIGHUP)
	}
}
