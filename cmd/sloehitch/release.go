package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"sloehitch/internal/control/fleet"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/release"
	"sloehitch/internal/daemon"
	"sloehitch/internal/store"
)

// releaseCmd contains the commands that roll out a release in waves.
type releaseCmd struct {
	Admin  string           `help:"Address of a store member's HTTP interface for operators." required:""`
	Plan   releasePlanCmd   `cmd:"" help:"Show the waves of a release and the budgets that limit them, without changing anything."`
	Start  releaseStartCmd  `cmd:"" help:"Start rolling out a release to the fleet."`
	Watch  releaseWatchCmd  `cmd:"" help:"Show the progress of releases until all are completed or halted."`
	Halt   releaseHaltCmd   `cmd:"" help:"Halt a release; returns once none of its drains can start on any node."`
	Resume releaseResumeCmd `cmd:"" help:"Resume a halted release."`
	Back   releaseBackCmd   `cmd:"" help:"Roll back the nodes already changed to their previous release, the last changed first, within the same budgets."`
}

func (c *releaseCmd) client() store.Client {
	state := stateCmd{Admin: c.Admin}
	return state.client()
}

// plannedRelease holds the arguments and flags from which a release is planned.
type plannedRelease struct {
	Name   string        `arg:"" help:"Name of the release."`
	To     string        `help:"The release that nodes must report once they are updated." required:""`
	Growth float64       `default:"2" help:"Factor by which each wave is larger than the one before."`
	Soak   time.Duration `default:"1m" help:"Time for which a wave is observed once all its nodes are back in service."`
	Late   time.Duration `default:"10m" help:"Time within which a node must be back in service after it went out."`
	Within time.Duration `default:"1m" help:"Time within which a node must have no requests left once it is out of service."`
}

func (c *plannedRelease) plan(client store.Client) (r release.Release, v drainView, err error) {
	if v, err = readDrainView(client); err != nil {
		return r, v, err
	}
	if c.Growth < 1 {
		return r, v, fmt.Errorf("--growth is %v, must be at least 1", c.Growth)
	}
	r = release.Release{Name: c.Name, TargetVersion: c.To, RequestedAtMS: v.NowMS, State: release.Running, SoakMS: c.Soak.Milliseconds(), ReturnTimeoutMS: c.Late.Milliseconds(), DrainTimeoutMS: c.Within.Milliseconds()}
	r.Waves, r.PreviousVersions = release.PlanWaves(v.Members, c.To, c.Growth)
	return r, v, r.Validate()
}

type releasePlanCmd struct{ plannedRelease }

func (c *releasePlanCmd) Run(_ *slog.Logger) error {
	r, v, err := c.plan(grammar.Release.client())
	if err != nil {
		return err
	}
	showPlan(r, v)
	return nil
}

// showPlan prints the waves, the budgets, the minimum duration, and the nodes that cannot be rolled back.
func showPlan(r release.Release, v drainView) {
	for i, w := range r.Waves {
		fmt.Printf("wave %d: %s\n", i+1, strings.Join(w, " "))
	}
	for _, rule := range v.Budgets {
		fmt.Println("budget:", fleetstate.Encode(rule))
	}
	if len(v.Budgets) == 0 {
		fmt.Println("no budget is set: no drain would start; set budgets with \"fleet budget --file\"")
	}
	fmt.Printf("at least %v of soaking, in addition to the time in which nodes drain, are replaced and warm up\n", time.Duration(len(r.Waves)+1)*time.Duration(r.SoakMS)*time.Millisecond)
	for _, w := range r.Waves {
		for _, n := range w {
			if r.PreviousVersions[n] == "" {
				fmt.Printf("%s can't be rolled back: it does not report its release\n", n)
			}
		}
	}
}

type releaseStartCmd struct {
	plannedRelease
	author
}

func (c *releaseStartCmd) Run(_ *slog.Logger) error {
	client := grammar.Release.client()
	r, v, err := c.plan(client)
	if err != nil {
		return err
	}
	r.RequestedBy, r.Reason = c.By, c.Why
	if err := fleet.StartRelease(client, r); err != nil {
		return err
	}
	showPlan(r, v)
	fmt.Println("started; \"release watch\" shows its progress")
	return nil
}

type releaseWatchCmd struct {
	Once bool `help:"Show the progress once and exit."`
}

func (c *releaseWatchCmd) Run(_ *slog.Logger) error {
	client := grammar.Release.client()
	last := ""
	for {
		v, err := readDrainView(client)
		if err != nil {
			return err
		}
		docs, _, err := client.Documents(release.KeyPrefix, true)
		if err != nil {
			return err
		}
		lines, open, halted := "", false, false
		for _, d := range docs {
			var r release.Release
			if err := json.Unmarshal([]byte(d.Value), &r); err != nil {
				return fmt.Errorf("%s: %w", d.Key, err)
			}
			lines += release.FormatStatus(r, v.View) + "\n"
			active := r.State == release.Running || r.State == release.RollingBack
			open = open || active
			halted = halted || active && (v.Halted[r.Name] || v.Halted[fleetstate.HaltAll])
		}
		if len(docs) == 0 {
			return errors.New("there is no release")
		}
		if lines != last {
			fmt.Print(lines)
			last = lines
		}
		if halted {
			fmt.Println("halted: continue with \"release resume\" or roll back with \"release back\"")
			return daemon.ExitCode(1)
		}
		if c.Once || !open {
			return nil
		}
		time.Sleep(time.Second)
	}
}

type releaseHaltCmd struct {
	Name string `arg:"" help:"Name of the release."`
	author
}

func (c *releaseHaltCmd) Run(_ *slog.Logger) error {
	return halt(grammar.Release.client(), c.Name, c.author)
}

type releaseResumeCmd struct {
	Name string `arg:"" help:"Name of the release."`
	author
}

func (c *releaseResumeCmd) Run(_ *slog.Logger) error {
	return resume(grammar.Release.client(), c.Name, c.author)
}

type releaseBackCmd struct {
	Name string `arg:"" help:"Name of the release."`
	author
}

func (c *releaseBackCmd) Run(_ *slog.Logger) error {
	if err := fleet.RollBackRelease(grammar.Release.client(), c.Name, c.By, c.Why); err != nil {
		return err
	}
	fmt.Println("rollback started; \"release watch\" shows its progress")
	return nil
}
