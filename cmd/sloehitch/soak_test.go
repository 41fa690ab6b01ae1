package main

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/soak"
)

var (
	soakSeeds  = flag.Uint64("soak.seeds", 9, "how many seeds the daemon is played with under faults")
	soakLength = flag.Duration("soak.length", 6*time.Second, "for how long the traffic of a play goes on")
	soakBeside = flag.Int("soak.beside", 3, "how many plays run beside one another")
)

// TestSoak plays real processes under all faults by seed, and judges them by the records of what they talk to. sloehitch-lab soak plays more.
func TestSoak(t *testing.T) {
	program, dir := built(t), t.TempDir()
	table := soak.NewTable()
	seeds := soak.Seeds{First: 1, Last: *soakSeeds, Length: *soakLength, Beside: *soakBeside, Dir: dir, Command: func(config string) *exec.Cmd {
		command := exec.Command(program, "serve", "--config", config, "--deploy", filepath.Join(dir, "none.toml"))
		command.Env = os.Environ()
		return command
	}}
	err := seeds.Run(func(r *soak.Report) {
		table.Add(r)
		if len(r.Breaches) > 0 {
			var text strings.Builder
			r.WriteTimelines(&text, 2)
			t.Errorf("seed %d: %d breaches:\n%s", r.Plan.Seed, len(r.Breaches), text.String())
		}
		if r.Requests < 50 || r.Runs < 10 {
			t.Errorf("seed %d: %d requests, %d runs: it has shown little", r.Plan.Seed, r.Requests, r.Runs)
		}
	})
	if err != nil {
		t.Error(err)
	}
	var text strings.Builder
	table.Write(&text)
	t.Log(text.String())
}
