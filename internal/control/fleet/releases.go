package fleet

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strings"
	"time"

	"sloehitch/internal/control/canary"
	"sloehitch/internal/control/drainpermit"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/control/release"
	"sloehitch/internal/platform/latency"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/faulthooks"
)

// verdicts are the terms by which releases are judged, with spans of two reports.
func (f *Fleet) verdicts() canary.Terms {
	span := 2 * f.opts.Every
	return canary.Terms{FalseAlarm: 0.01, Looks: 200, Least: 8, Smooth: int((latency.Longest + span - 1) / span)}
}

// keptSpans is how many spans of reports are kept to compare by.
const keptSpans = 400

// releasing is one candidate for that duty.
type releasing struct {
	*standing
	sight  *Sight
	owners map[string]*release.Owner
	judges map[string]*canary.Recorder
	taken  lease.Instant // when the last span ended
}

// keepReleases takes this node's turn at releases, while there are any, until the context ends.
func (f *Fleet) keepReleases(ctx context.Context) {
	k := &releasing{}
	k.standing = &standing{Fleet: f, duty: release.Duty, prefix: release.Prefix, do: k.goOn, reset: func() {
		k.sight = NewSight(f.opts.Silent)
		k.owners, k.judges = map[string]*release.Owner{}, map[string]*canary.Recorder{}
		f.figure(func(x *Figures) { x.Releases = nil })
	}}
	k.serve(ctx)
}

// goOn has each release go on by a step.
func (k *releasing) goOn(token uint64) (idle bool, err error) {
	v, at, docs, err := k.view(k.sight)
	if err != nil {
		return false, err
	}
	now := k.clock()
	span := now.Add(-2*k.opts.Every) >= k.taken
	if span {
		k.taken = now
	}
	idle = true
	var rolling []release.Stand
	for _, d := range docs {
		if !strings.HasPrefix(d.Key, release.Prefix) {
			continue
		}
		r, err := release.Read(d)
		if err != nil || r.Check() != nil || release.Prefix+r.Name != d.Key || r.Wave < 0 || r.Wave >= len(r.Waves) {
			k.log.Warn("a release can't be read", fmt.Errorf("%s: %w", d.Key, errors.Join(err, r.Check())))
			continue
		}
		if r.State != release.Running && r.State != release.Back {
			continue
		}
		idle = false
		rolling = append(rolling, release.StandOf(r, v))
		if k.owners[r.Name] == nil {
			k.owners[r.Name], k.judges[r.Name] = &release.Owner{}, canary.NewRecorder(keptSpans)
		}
		if span {
			k.judges[r.Name].Take(r.Reports(v, k.opts.Outs.Settle))
		}
		j := canary.Judge(k.verdicts(), k.judges[r.Name].Nodes())
		step := k.owners[r.Name].Next(r, v, j, k.opts.Outs.Settle, now)
		if err := k.take(r, step, v, at, token); err != nil && !errors.Is(err, store.ErrConflict) {
			return false, err
		}
	}
	k.figure(func(x *Figures) { x.Releases = rolling })
	return idle, nil
}

// take makes what a step of a release is, and says so.
func (k *releasing) take(r release.Release, step release.Step, v drainpermit.View, at drainpermit.Versions, token uint64) error {
	for _, t := range step.Transactions(r, v, at, token, k.opts.Name, rand.Text) {
		if err := k.make(t); err != nil {
			return err
		}
	}
	switch {
	case step.Halt != "":
		k.opts.Log.Warn("a release halted by itself", "release", r.Name, "why", step.Halt)
		k.opts.Tell(faulthooks.Event{What: "halts", Duty: r.Name, ID: step.Halt})
	case step.Next != nil:
		k.opts.Log.Info("a release goes on", "release", r.Name, "state", step.Next.State, "wave", step.Next.Wave+1, "of", len(r.Waves), "note", step.Next.Note)
		k.opts.Tell(faulthooks.Event{What: "release", Duty: r.Name, ID: string(step.Next.State), N: uint64(step.Next.Wave)})
	}
	return nil
}

// StartRelease puts a release on record, which whoever has the duty then takes through the fleet. It errs with store.ErrConflict where there is
// one of that name. One that is over makes room for another of its name.
func StartRelease(ask store.Client, r release.Release) error {
	if err := r.Check(); err != nil {
		return err
	}
	was, _, err := ask.Document(release.Prefix+r.Name, false)
	if err != nil {
		return err
	}
	if was.Version > 0 {
		old, err := release.Read(was)
		if err != nil || old.State == release.Running || old.State == release.Back {
			return fmt.Errorf("%w: there is a release %s that is not over", store.ErrConflict, r.Name)
		}
	}
	_, err = ask.Make(document.Transaction{ID: rand.Text(), By: r.By, Why: "release " + r.Name + " to " + r.To + ": " + r.Why, If: []document.Condition{{Key: was.Key, Version: was.Version}, {Key: drainpermit.Halts + r.Name}},
		Do: []document.Operation{{Key: was.Key, Value: drainpermit.Text(r)}}})
	return err
}

// BackRelease has a release go back: what is changed goes back to what it was, newest first, under the same budgets. It may have been halted
// before; it goes on then.
func BackRelease(ask store.Client, name, by, why string) error {
	key := release.Prefix + name
	for range 5 { // its owner may write at the same time
		was, _, err := ask.Document(key, false)
		if err != nil {
			return err
		}
		r, err := release.Read(was)
		if err != nil {
			return err
		}
		halted, _, err := ask.Document(drainpermit.Halts+name, false)
		if err != nil {
			return err
		}
		if r.State == release.Undone {
			return fmt.Errorf("release %s has gone back already", name)
		}
		r.State, r.Note = release.Back, "back, by "+by+": "+why
		t := document.Transaction{ID: rand.Text(), By: by, Why: "release " + name + " goes back: " + why, If: []document.Condition{{Key: key, Version: was.Version}, {Key: halted.Key, Version: halted.Version}},
			Do: []document.Operation{{Key: key, Value: drainpermit.Text(r)}}}
		if halted.Version > 0 {
			t.Do = append(t.Do, document.Operation{Key: halted.Key, Delete: true})
		}
		if _, err = ask.Make(t); !errors.Is(err, store.ErrConflict) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%w: it changes all the time; ask again", store.ErrConflict)
}
