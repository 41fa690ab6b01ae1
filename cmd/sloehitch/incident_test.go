package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"sloehitch/internal/testing/faulthooks"
	"sloehitch/internal/testing/faults/linkproxy"
	"sloehitch/internal/testing/standin"
)

// nodeBehindProxy is the program with a proxy between it and its runtime.
type nodeBehindProxy struct {
	*daemonProcess
	address string
	link    *linkproxy.Proxy
}

// startBehindProxy starts the program with 64 cores, so that many runs are concurrent, and a deadline for its requests.
func startBehindProxy(t *testing.T, rt *standin.Runtime, deadline time.Duration) *nodeBehindProxy {
	t.Helper()
	link, err := linkproxy.New(rt.Address, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	address := standin.FreeAddress(t)
	config := filepath.Join(t.TempDir(), "config.json")
	text := strings.Replace(standin.Config(address, link.Address(), "", deadline), `"cores":2`, `"cores":64`, 1)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return &nodeBehindProxy{startDaemon(t, config, "none.toml", address), address, link}
}

// TestKeyedRunStartsOnceAfterLinkReset guards against a second start of keyed runs, 0.11 to 0.17 s after the notice of their end was
// written. After a reset of the link the node took the echo of the gauges as proof that it had read all notices, and repeated every start
// without a notice. A run that ended between the writing of the echo and the arrival of the repeated start ran twice, because the runtime
// forgets runs that have ended. The fault occurs only with delay on the link, since the window is one round trip: here runs end 10 ms apart, the link is
// reset while all of them run, and the delay is 50 ms each way. Without delay no run started twice.
func TestKeyedRunStartsOnceAfterLinkReset(t *testing.T) {
	const runs, delay = 40, 50 * time.Millisecond
	started, reset := make(chan struct{}, runs), make(chan struct{})
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) {
		var nth int
		if _, err := fmt.Sscanf(string(j.Body), "run %d", &nth); err != nil {
			return "ERROR", ""
		}
		started <- struct{}{}
		<-reset
		time.Sleep(time.Duration(nth) * 10 * time.Millisecond)
		return "OK", string(j.Body)
	})
	n := startBehindProxy(t, rt, longDeadline)
	for _, d := range []linkproxy.Direction{linkproxy.ToServer, linkproxy.ToClient} {
		n.link.Set(d, linkproxy.Conditions{Delay: delay})
	}
	const perConn = 20
	var balancers []*standin.Balancer
	for i := range runs {
		if i%perConn == 0 {
			balancers = append(balancers, standin.Dial(t, n.address))
		}
		balancers[i/perConn].Do(i+1, "book", standin.RequestID(i+1), time.Now(), fmt.Sprint("run ", i), fmt.Sprint(",opkey=k", i))
	}
	for range runs {
		select {
		case <-started:
		case <-time.After(standin.WaitTimeout):
			t.Fatalf("not all runs started; log:\n%s", n.log.String())
		}
	}
	n.link.Reset()
	close(reset)
	for i, b := range balancers {
		for range perConn {
			if got := b.Read(); len(got) < 2 || got[1] != "ACK" {
				t.Errorf("balancer %d: %q, want ACK", i, got)
			}
		}
	}
	// Any second start would have been sent before this one, and the link keeps the order.
	balancers[0].Do(runs+1, "book", standin.RequestID(runs+1), time.Now(), fmt.Sprint("run ", runs), ",opkey=last")
	if got := balancers[0].Read(); len(got) < 2 || got[1] != "ACK" {
		t.Errorf("last request: %q, want ACK", got)
	}
	for i := range runs {
		if ran := rt.Runs(fmt.Sprint("run ", i)); ran != 1 {
			t.Errorf("run %d was started %d times", i, ran)
		}
	}
}

// TestDeadlinesHoldWhenWallClockSteps steps the process's wall clock forward and back while requests arrive, run and hang. Each
// must be served, and each that hangs must be answered at its deadline in real time.
func TestDeadlinesHoldWhenWallClockSteps(t *testing.T) {
	const deadline, work, slack = 2 * time.Second, 50 * time.Millisecond, 130 * time.Millisecond
	hang := make(chan struct{})
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) {
		if strings.HasPrefix(string(j.Body), "hang") {
			<-hang
		}
		time.Sleep(work)
		return "OK", string(j.Body)
	})
	defer close(hang)
	dir := t.TempDir()
	t.Setenv(faulthooks.Variable, dir)
	n := startBehindProxy(t, rt, deadline)
	type answer struct {
		word string
		took time.Duration
	}
	var answers [2][]chan answer
	ask := func(kind int, body string) {
		b, got, began := standin.Dial(t, n.address), make(chan answer, 1), time.Now()
		b.Do(1, "book", standin.RequestID(100*kind+len(answers[kind])+1), time.Now(), body, ",opkey="+body)
		answers[kind] = append(answers[kind], got)
		go func() {
			parts := append(b.Read(), "", "no answer")
			got <- answer{parts[1], time.Since(began)}
		}()
	}
	steps := []string{"0s", "1h", "0s", "-1h", "5s", "-7s", "0s"}
	for i, step := range steps {
		if err := os.WriteFile(filepath.Join(dir, "clock"), []byte(step+" 1"), 0o600); err != nil {
			t.Fatal(err)
		}
		ask(0, fmt.Sprint("serve before ", i))
		ask(1, fmt.Sprint("hang ", i))
		time.Sleep(100 * time.Millisecond) // the step takes effect within 10 ms
		ask(0, fmt.Sprint("serve after ", i))
	}
	for i, got := range answers[0] {
		if a := <-got; a.word != "ACK" {
			t.Errorf("request %d: %+v, want ACK", i, a)
		}
	}
	for i, got := range answers[1] {
		if a := <-got; a.word != "FAIL" || a.took < deadline-slack || a.took > deadline+slack {
			t.Errorf("hanging request %d, clock at %s: %+v, want FAIL at %v", i, steps[i], a, deadline)
		}
	}
}

// TestReloadSignalDuringStart sends SIGHUP at different moments of the start, with the command line that deployments use. The signal
// must not end the process.
func TestReloadSignalDuringStart(t *testing.T) {
	var deploy struct{ Run string }
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	program := buildProgram(t)
	for i := range 20 {
		rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
		address := standin.FreeAddress(t)
		config := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(config, []byte(standin.Config(address, rt.Address, "", longDeadline)), 0o600); err != nil {
			t.Fatal(err)
		}
		line := strings.Replace(strings.Replace(deploy.Run, "bin/sloehitch", program, 1), "exec ", "echo; exec ", 1)
		k := &daemonProcess{Cmd: exec.Command("/bin/sh", "-c", line)}
		k.Env, k.Stderr = append(os.Environ(), "GW_CONFIG="+config), &k.log
		out, err := k.StdoutPipe()
		if err == nil {
			err = k.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		if _, err := out.Read(make([]byte, 1)); err != nil { // the shell is about to start the program
			t.Fatal(err)
		}
		time.Sleep(time.Duration(i) * time.Millisecond / 2) // so the signal arrives at different points of its start
		if err := k.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		select {
		case <-rt.Syncs:
		case <-time.After(standin.WaitTimeout):
			k.kill()
			t.Fatalf("iteration %d: the daemon does not serve; log:\n%s", i, k.log.String())
		}
		k.kill()
	}
}
