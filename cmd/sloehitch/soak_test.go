package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/testing/soak"
)

var (
	soakSeeds    = flag.Uint64("soak.seeds", 9, "number of seeds to run the daemon with under faults")
	soakLength   = flag.Duration("soak.length", 6*time.Second, "duration of the traffic in each run")
	soakParallel = flag.Int("soak.beside", 3, "number of concurrent runs")
)

// TestSoakOfSeed117 guards against a lost request: once, with many connections just after a pause of 0.47 s, a request on an evicted
// connection got no answer.
func TestSoakOfSeed117(t *testing.T) { runSeeds(t, 117, 117, 12*time.Second) }

// TestSoakWithPausesAndEvictions runs seeds whose only fault is pauses of the process, in which requests on evicted connections
// were lost. When all slots are taken, each new connection evicts an idle one. During a pause requests arrive on many idle
// connections, and afterwards these are evicted faster than they are read. On some of them the first request was rejected and
// reading stopped with more requests in the buffer (the log has "nothing more is read ... its place was given away"). Others were
// closed before the rejection was written, because more connections were being closed than may be at once ("a connection is cut ...
// unread=0 open=0" after "a connection makes room"). One run lost 32 requests with seed 1030, and one with seed 1043.
func TestSoakWithPausesAndEvictions(t *testing.T) {
	program := buildProgram(t)
	for _, seed := range []uint64{1030, 1043} {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) { runSeed(t, program, seed, 8*time.Second, soak.Pause) })
	}
}

// TestSoakWithFailingCalls runs 60 clients while a fiftieth of the program's system calls on sockets fail. The program runs under a tracer, a
// single thread that stops it at each call and is busy for 87 to 93% of its core under this load. Requests with little time left are therefore
// read up to 0.28 s late, and those that are queued when the process is killed count as lost. Without the tracer none are lost. With the tracer
// and no failing calls none are lost on an otherwise idle machine, and about 350 beside three other soak runs.
func TestSoakWithFailingCalls(t *testing.T) {
	program, tracer := buildProgram(t), filepath.Join(t.TempDir(), "sloehitch-lab")
	if out, err := exec.Command("go", "build", "-o", tracer, "../sloehitch-lab").CombinedOutput(); err != nil {
		t.Fatalf("build of sloehitch-lab: %v: %s", err, out)
	}
	for _, seed := range []uint64{2108} {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			runSeedWith(t, func(args ...string) *exec.Cmd {
				faulty := []string{"faulty", "--seed", fmt.Sprint(seed), "--rate", "0.02", program}
				return exec.Command(tracer, append(faulty, args...)...)
			}, seed, 8*time.Second)
		})
	}
}

// TestSoak runs the program under all kinds of faults by seed, and checks its behavior by the records of its peers. sloehitch-lab soak runs more
// seeds.
func TestSoak(t *testing.T) {
	program := buildProgram(t)
	slots := make(chan struct{}, max(1, *soakParallel))
	for seed := uint64(1); seed <= *soakSeeds; seed++ {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runSeed(t, program, seed, *soakLength)
		})
	}
}

// runSeeds runs the seeds from first to last one after the other, with all kinds of faults.
func runSeeds(t *testing.T, first, last uint64, length time.Duration) {
	t.Helper()
	program := buildProgram(t)
	for seed := first; seed <= last; seed++ {
		runSeed(t, program, seed, length)
	}
}

// runSeed runs one seed with the given kinds of faults, or with all if none are given.
func runSeed(t *testing.T, program string, seed uint64, length time.Duration, kinds ...soak.FaultKind) {
	t.Helper()
	runSeedWith(t, func(args ...string) *exec.Cmd { return exec.Command(program, args...) }, seed, length, kinds...)
}

// runSeedWith is runSeed for a program that run starts with the given arguments.
func runSeedWith(t *testing.T, run func(args ...string) *exec.Cmd, seed uint64, length time.Duration, kinds ...soak.FaultKind) {
	t.Helper()
	dir := t.TempDir()
	table := soak.NewTable()
	seeds := soak.Seeds{First: seed, Last: seed, Length: length, Kinds: kinds, Dir: dir, Command: func(config string) *exec.Cmd {
		command := run("serve", "--config", config, "--deploy", filepath.Join(dir, "none.toml"))
		command.Env = os.Environ()
		return command
	}}
	err := seeds.Run(func(r *soak.Report) {
		table.Add(r)
		if len(r.Violations) > 0 {
			var text strings.Builder
			r.WriteTimelines(&text, 2)
			t.Errorf("seed %d: %d violations:\n%s", r.Plan.Seed, len(r.Violations), text.String())
		}
		if r.Requests < 50 || r.Runs < 10 {
			t.Errorf("seed %d: %d requests, %d runs: too few for a meaningful test", r.Plan.Seed, r.Requests, r.Runs)
		}
	})
	if err != nil {
		t.Error(err)
	}
	var text strings.Builder
	table.Write(&text)
	t.Log(text.String())
}
