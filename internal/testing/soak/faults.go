package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"sloehitch/internal/testing/faults/linkproxy"
)

// injectFaults injects the plan's faults one after the other.
func (run *testRun) injectFaults() {
	for _, f := range run.plan.Faults {
		run.sleepUntil(f.At)
		if !run.trafficOn() {
			return
		}
		run.record.add("fault", string(f.Kind), "", "", fmt.Sprint("for ", f.For))
		run.mu.Lock()
		run.counts[string(f.Kind)]++
		run.mu.Unlock()
		run.injectFault(f)
	}
}

func (run *testRun) injectFault(f Fault) {
	switch f.Kind {
	case ResetRuntime:
		for _, proxy := range run.runtimeProxies() {
			proxy.Reset()
		}
	case StallToRuntime:
		run.stallRuntimeLinks(linkproxy.ToServer, f.For)
	case StallToNode:
		run.stallRuntimeLinks(linkproxy.ToClient, f.For)
	case ResetClients:
		at := run.record.now()
		run.mu.Lock()
		run.resets = append(run.resets, at)
		run.mu.Unlock()
		run.clientProxy.Reset()
	case ResetCatalogue:
		run.catalogueProxy.Reset()
	case CatalogueDown:
		run.catalogueProxy.Refuse(true)
		run.catalogueProxy.Reset()
		time.Sleep(f.For)
		run.catalogueProxy.Refuse(false)
	case Pause:
		run.pause(f.For)
	case Reload:
		run.reload()
	case StepWallClock:
		// The file is replaced atomically, because the process may read it at any moment.
		path := filepath.Join(run.hookDir, "clock")
		if os.WriteFile(path+".new", fmt.Appendf(nil, "%v 1", f.Step), 0o600) == nil {
			_ = os.Rename(path+".new", path)
		}
	case DirectorySilent:
		run.directory.takeDown(f.For)
	}
}

// stallRuntimeLinks holds back one direction of the links to the runtimes for a time.
func (run *testRun) stallRuntimeLinks(d linkproxy.Direction, span time.Duration) {
	conditions := run.plan.Links["runtime"].ToServer
	if d == linkproxy.ToClient {
		conditions = run.plan.Links["runtime"].ToClient
	}
	stalled := conditions
	stalled.Stalled = true
	proxies := run.runtimeProxies()
	for _, proxy := range proxies {
		proxy.Set(d, stalled)
	}
	time.Sleep(span)
	for _, proxy := range proxies {
		proxy.Set(d, conditions)
	}
}

// pause stops the process with SIGSTOP for a time.
func (run *testRun) pause(span time.Duration) {
	proc := run.runningProcess()
	if proc == nil {
		return
	}
	from := run.record.now()
	run.mu.Lock()
	index := len(run.pauses)
	run.pauses = append(run.pauses, pause{from, from + span}) // recorded at once, so that a kill that becomes due during the pause waits
	run.mu.Unlock()
	run.signal(proc, syscall.SIGSTOP)
	time.Sleep(span)
	run.signal(proc, syscall.SIGCONT)
	run.mu.Lock()
	defer run.mu.Unlock()
	run.pauses[index].to = run.record.now()
}

// reload makes the process reload its configuration, which now names the other proxy of its runtime.
func (run *testRun) reload() {
	proc := run.runningProcess()
	if proc == nil {
		return
	}
	run.mu.Lock()
	proc.activeProxy = 1 - proc.activeProxy
	ready := proc.readyAt > 0 // before it is ready, SIGHUP would end the process
	run.mu.Unlock()
	if run.configure(proc) == nil && ready {
		run.signal(proc, syscall.SIGHUP)
	}
}
