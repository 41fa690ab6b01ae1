// Command sloehitch decides which requests on a server run, wait or are rejected.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"time"

	"github.com/alecthomas/kong"

	"sloehitch/internal/daemon"
	"sloehitch/internal/ledger"
	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/operatorapi"
	"sloehitch/internal/platform/apispec"
	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/store"
)

// version is the version of the program. CHANGELOG.md lists the changes of each version.
const version = "0.2.0"

// grammar is the command line.
var grammar struct {
	Serve    serveCmd    `cmd:"" help:"Serve until a shutdown signal."`
	Check    checkCmd    `cmd:"" help:"Check a configuration and print a summary of it."`
	Describe describeCmd `cmd:"" help:"Print the AsyncAPI description of the platform's messages."`
	State    stateCmd    `cmd:"" help:"Show or change the operators' state, on all members of the store."`
	Ledger   ledgerCmd   `cmd:"" help:"Inspect, check, copy or repair a ledger's folder."`
	Ops      opsCmd      `cmd:"" help:"Make an operators' call to a running daemon: readyz, telemetry, evacuate or activate."`
	Fleet    fleetCmd    `cmd:"" help:"Show and change the fleet's replicated state: duties and their owners, documents, history."`
	Release  releaseCmd  `cmd:"" help:"Roll out a release to the fleet in waves; halt it, resume it or roll it back."`
	Store    storeCmd    `cmd:"" help:"Inspect the folder of a store member that is not running, or recover the store from it after a majority was lost."`
	Handover handoverCmd `cmd:"" help:"Inspect the snapshot that a process leaves for the one that replaces it."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

// serveGrammar is the command line of serve alone. serve keeps running, and the grammar of all commands would stay in its memory.
var serveGrammar struct {
	Serve serveCmd `cmd:"" help:"Serve until a shutdown signal."`
}

type opsCmd struct {
	Address string        `help:"The daemon's address for operators' calls (ops)." env:"GW_OPS" required:""`
	Timeout time.Duration `help:"How long to wait for the whole answer." default:"2s"`
	Call    string        `arg:"" help:"The call: readyz, telemetry, evacuate or activate."`
}

func (c *opsCmd) Run() error {
	answer, err := operatorapi.Ask(c.Address, c.Call, c.Timeout)
	fmt.Print(answer)
	return err
}

// files are the flags that name configuration files.
type files struct {
	Config string `help:"The platform's configuration file (JSON)." env:"GW_CONFIG" required:"" type:"path"`
	Deploy string `help:"The deployment file (TOML); if it does not exist, everything that it configures is off." default:"deploy/sloehitch.toml" type:"path"`
}

func (f *files) load() (*daemon.Config, error) { return daemon.Load(f.Config, f.Deploy) }

type checkCmd struct{ files }

func (c *checkCmd) Run(log *slog.Logger) error {
	l, err := c.load()
	if err != nil {
		return err
	}
	p := l.Platform
	fmt.Printf("%s: node %s on %s, %d classes, %d tenants, %d MB, %d descriptors\n", c.Config, p.Name, p.Listen,
		len(p.Logic.Classes), len(p.Logic.Tenants), p.Limits.MemoryMB, p.Limits.Sockets)
	if u := l.Deploy.Uwsgi; u.Listen != "" {
		fmt.Printf("%s: uwsgi on %s, servers %v\n", c.Deploy, u.Listen, u.Servers)
	}
	if s := l.Deploy.Store; s.Admin != "" || len(s.Members) > 0 {
		fmt.Printf("%s: %s\n", c.Deploy, describeStore(s))
	}
	return c.checkLedger(l.Deploy.Ledger, log)
}

// describeStore returns a sentence on where the store keeps acknowledged changes.
func describeStore(s config.Store) string {
	members := "of this daemon alone"
	if len(s.Members) > 0 {
		members = fmt.Sprintf("of %d members", len(s.Members))
	}
	if s.Dir == "" {
		return "store " + members + ", in memory only: a restart loses its changes"
	}
	return fmt.Sprintf("store %s in %s, flushed before a change is acknowledged", members, s.Dir)
}

// checkLedger checks the ledger's settings and verifies its folder without changing it.
func (c *checkCmd) checkLedger(l config.Ledger, log *slog.Logger) error {
	if l.Dir == "" {
		return nil
	}
	interval, err := l.FlushInterval()
	if err != nil {
		return err
	}
	flush := "each start flushed before the run begins"
	if interval > 0 {
		flush = fmt.Sprintf("flushed every %v: a power failure may lose the records of keyed runs that started in the last %v", interval, interval)
	}
	state := "a new store"
	if _, err := os.Stat(filepath.Join(l.Dir, "MANIFEST")); err == nil {
		v, err := ledger.Verify(disk.Dir(l.Dir), ledger.Options{Limits: limits.ForLedger(l.IndexBytes()), Log: log})
		if err != nil {
			return fmt.Errorf("ledger: %w", err)
		}
		if state = fmt.Sprintf("%s, %d keys", v.State, v.Recovery.Keys); v.State == ledger.StateDamaged {
			return fmt.Errorf("ledger: %s: %s at offset %d: %s; see `sloehitch ledger repair`", l.Dir, v.File, v.Offset, v.Reason)
		}
	}
	fmt.Printf("%s: ledger in %s (%s), %d MB for keys, %s\n", c.Deploy, l.Dir, state, l.IndexBytes()>>20, flush)
	return nil
}

type describeCmd struct{}

func (describeCmd) Run(_ *slog.Logger) error {
	_, err := os.Stdout.Write(apispec.PlatformAsyncAPI)
	return err
}

type stateCmd struct {
	Admin string       `help:"Address of a daemon's HTTP interface for operators." required:""`
	Show  stateShowCmd `cmd:"" help:"Print all keys that are set."`
	Set   stateSetCmd  `cmd:"" help:"Set a key; an empty value clears it."`
}

func (c *stateCmd) client() store.Client {
	return store.Client{Address: c.Admin, Timeout: limits.For(0, 0).CommitTimeout}
}

type stateShowCmd struct{}

func (stateShowCmd) Run(_ *slog.Logger) error {
	values, err := grammar.State.client().All()
	if err != nil {
		return err
	}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		fmt.Printf("%s=%s\n", key, values[key])
	}
	return nil
}

type stateSetCmd struct {
	Key   string `arg:"" help:"The key: closed (names of nodes out of service) or uwsgi-servers (addresses)."`
	Value string `arg:"" optional:""`
}

func (c *stateSetCmd) Run(_ *slog.Logger) error { return grammar.State.client().Set(c.Key, c.Value) }

type versionCmd struct{}

func (versionCmd) Run(_ *slog.Logger) error {
	lines := []any{"sloehitch " + version}
	if info, ok := debug.ReadBuildInfo(); ok {
		lines = append(lines, "\n", info.GoVersion)
	}
	_, err := fmt.Print(append(lines, "\n")...)
	return err
}

func main() {
	level := new(slog.LevelVar)
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	commands := any(&grammar)
	if len(os.Args) > 1 && os.Args[1] == "serve" {
		commands = &serveGrammar
	}
	ctx := kong.Parse(commands, kong.Name("sloehitch"), kong.Bind(log, level),
		kong.Description("Decides which requests on a server run, wait or are rejected."))
	err := ctx.Run(log)
	var code daemon.ExitCode
	switch {
	case errors.As(err, &code):
		os.Exit(int(code))
	case err != nil:
		log.Error("stopped", "error", err)
		os.Exit(1)
	}
}
