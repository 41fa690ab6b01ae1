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

// releaseCmd takes another release through the fleet, in steps.
type releaseCmd struct {
	Admin  string           `help:"Address that a member of the store has for operators." required:""`
	Plan   releasePlanCmd   `cmd:"" help:"Show the waves that a release would go in, and what binds them; nothing is changed."`
	Start  releaseStartCmd  `cmd:"" help:"Have it go through the fleet."`
	Watch  releaseWatchCmd  `cmd:"" help:"How far releases are, until they are over or halted."`
	Halt   releaseHaltCmd   `cmd:"" help:"Have nothing of it begin any more; returns once that holds everywhere."`
	Resume releaseResumeCmd `cmd:"" help:"Let it go on."`
	Back   releaseBackCmd   `cmd:"" help:"Have those changed go back to what they were, newest first, by the same budgets."`
}

func (c *releaseCmd) client() store.Client {
	state := stateCmd{Admin: c.Admin}
	return state.client()
}

// plannedRelease is a release as it would go.
type plannedRelease struct {
	Name   string        `arg:"" help:"The release's name."`
	To     string        `help:"What nodes are to report as deployed." required:""`
	Growth float64       `default:"2" help:"By which waves grow."`
	Soak   time.Duration `default:"1m" help:"For which a wave is watched once all of it is back."`
	Late   time.Duration `default:"10m" help:"In which a node should be back, from when it went out."`
	Within time.Duration `default:"1m" help:"In which a node should be empty, once out."`
}

func (c *plannedRelease) plan(ask store.Client) (r release.Release, v drainView, err error) {
	if v, err = readDrainView(ask); err != nil {
		return r, v, err
	}
	if c.Growth < 1 {
		return r, v, fmt.Errorf("--growth %v: 1 or more is wanted", c.Growth)
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

// showPlan prints waves, budgets, how long it takes at the least, and which steps have no way back.
func showPlan(r release.Release, v drainView) {
	for i, w := range r.Waves {
		fmt.Printf("wave %d: %s\n", i+1, strings.Join(w, " "))
	}
	for _, rule := range v.Budgets {
		fmt.Println("budget:", fleetstate.Encode(rule))
	}
	if len(v.Budgets) == 0 {
		fmt.Println("no budget is set: nothing would begin; \"fleet budget --file\" sets them")
	}
	fmt.Printf("at the least %v of watching, beside what nodes take to empty, be replaced and warm up\n", time.Duration(len(r.Waves)+1)*time.Duration(r.SoakMS)*time.Millisecond)
	for _, w := range r.Waves {
		for _, n := range w {
			if r.PreviousVersions[n] == "" {
				fmt.Printf("%s can't go back: it does not report what is deployed on it\n", n)
			}
		}
	}
}

type releaseStartCmd struct {
	plannedRelease
	author
}

func (c *releaseStartCmd) Run(_ *slog.Logger) error {
	ask := grammar.Release.client()
	r, v, err := c.plan(ask)
	if err != nil {
		return err
	}
	r.RequestedBy, r.Reason = c.By, c.Why
	if err := fleet.StartRelease(ask, r); err != nil {
		return err
	}
	showPlan(r, v)
	fmt.Println("begun; \"release watch\" tells how far it is")
	return nil
}

type releaseWatchCmd struct {
	Once bool `help:"Look once."`
}

func (c *releaseWatchCmd) Run(_ *slog.Logger) error {
	ask := grammar.Release.client()
	last := ""
	for {
		v, err := readDrainView(ask)
		if err != nil {
			return err
		}
		docs, _, err := ask.Documents(release.KeyPrefix, true)
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
			mine := r.State == release.Running || r.State == release.RollingBack
			open = open || mine
			halted = halted || mine && (v.Halted[r.Name] || v.Halted[fleetstate.HaltAll])
		}
		if len(docs) == 0 {
			return errors.New("there is no release")
		}
		if lines != last {
			fmt.Print(lines)
			last = lines
		}
		if halted {
			fmt.Println("halted: \"release resume\" or \"release back\"")
			return daemon.ExitCode(1)
		}
		if c.Once || !open {
			return nil
		}
		time.Sleep(time.Second)
	}
}

type releaseHaltCmd struct {
	Name string `arg:"" help:"The release's name."`
	author
}

func (c *releaseHaltCmd) Run(_ *slog.Logger) error {
	return halt(grammar.Release.client(), c.Name, c.author)
}

type releaseResumeCmd struct {
	Name string `arg:"" help:"The release's name."`
	author
}

func (c *releaseResumeCmd) Run(_ *slog.Logger) error {
	return resume(grammar.Release.client(), c.Name, c.author)
}

type releaseBackCmd struct {
	Name string `arg:"" help:"The release's name."`
	author
}

func (c *releaseBackCmd) Run(_ *slog.Logger) error {
	if err := fleet.RollBackRelease(grammar.Release.client(), c.Name, c.By, c.Why); err != nil {
		return err
	}
	fmt.Println("it goes back; \"release watch\" tells how far it is")
	return nil
}
