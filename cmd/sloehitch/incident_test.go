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

// nodeBehindProxy is the real program, whose link to its runtime goes through a proxy.
type nodeBehindProxy struct {
	*killable
	address string
	link    *linkproxy.Proxy
}

// startBehindProxy starts the real program with room for many runs at once and a deadline for its requests.
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
	return &nodeBehindProxy{startKillable(t, config, "none.toml", address), address, link}
}

// TestAKeyedRunStartsOnceThoughItsLinkBreaks.
//
// Seen: keyed runs were started a second time, 0.11 to 0.17 s after the notice that they had ended was written.
//
// How: the link to the runtime was reset. On the next one the node asked for the gauges and took their echo for the word that it had read
// all notices; it sent again each start of which it had heard nothing. A run that ended after the echo was written and before its start
// came again ran twice, since the runtime keeps nothing of a run that is over.
//
// Cause: what has not been heard of was taken for what has not happened. With delay on the link the two differ by a round trip.
//
// Proof: runs that end 10 ms apart, the link reset while all of them are on, 50 ms of delay each way. Those that end within a round trip
// around the echo run twice; without delay none does.
func TestAKeyedRunStartsOnceThoughItsLinkBreaks(t *testing.T) {
	const runs, delay = 40, 50 * time.Millisecond
	begun, reset := make(chan struct{}, runs), make(chan struct{})
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) {
		var nth int
		if _, err := fmt.Sscanf(string(j.Body), "run %d", &nth); err != nil {
			return "ERROR", ""
		}
		begun <- struct{}{}
		<-reset
		time.Sleep(time.Duration(nth) * 10 * time.Millisecond)
		return "OK", string(j.Body)
	})
	n := startBehindProxy(t, rt, ample)
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
		case <-begun:
		case <-time.After(standin.WaitTimeout):
			t.Fatalf("not all runs began:\n%s", n.log.String())
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
	// A second start would be on its way before this one, and the link keeps the order.
	balancers[0].Do(runs+1, "book", standin.RequestID(runs+1), time.Now(), fmt.Sprint("run ", runs), ",opkey=last")
	if got := balancers[0].Read(); len(got) < 2 || got[1] != "ACK" {
		t.Errorf("%q, want ACK", got)
	}
	for i := range runs {
		if ran := rt.Runs(fmt.Sprint("run ", i)); ran != 1 {
			t.Errorf("run %d was started %d times", i, ran)
		}
	}
}

// TestTheWallClockIsStepped: the process's wall clock jumps forward and back while requests come, run and hang. Each is served, and each that
// hangs is answered when it is due, by real time.
func TestTheWallClockIsStepped(t *testing.T) {
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
		time.Sleep(100 * time.Millisecond) // the step takes hold within 10 ms
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

// TestANewConfigurationIsAnnouncedAsItStarts: SIGHUP comes at any moment of the start, by the command line that deployments use. The process lives,
// and takes a later one for what it is.
func TestANewConfigurationIsAnnouncedAsItStarts(t *testing.T) {
	var deploy struct{ Run string }
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	program := built(t)
	for play := range 20 {
		rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
		address := standin.FreeAddress(t)
		config := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(config, []byte(standin.Config(address, rt.Address, "", ample)), 0o600); err != nil {
			t.Fatal(err)
		}
		line := strings.Replace(strings.Replace(deploy.Run, "bin/sloehitch", program, 1), "exec ", "echo; exec ", 1)
		k := &killable{Cmd: exec.Command("/bin/sh", "-c", line)}
		k.Env, k.Stderr = append(os.Environ(), "GW_CONFIG="+config), &k.log
		out, err := k.StdoutPipe()
		if err == nil {
			err = k.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		if _, err := out.Read(make([]byte, 1)); err != nil { // the program is about to be started
			t.Fatal(err)
		}
		time.Sleep(time.Duration(play) * time.Millisecond / 2) // and is at any point of its start
		if err := k.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		select {
		case <-rt.Syncs:
		case <-time.After(standin.WaitTimeout):
			k.kill()
			t.Fatalf("play %d: it does not serve:\n%s", play, k.log.String())
		}
		k.kill()
	}
}
