package daemon

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"

	"sloehitch/internal/control/drainpermit"
	"sloehitch/internal/control/fleet"
	"sloehitch/internal/frontend/uwsgi/balancer"
	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/endpoint"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/store"
)

// replaceExit is the code that a process ends with which another is to take the place of (EX_TEMPFAIL of sysexits.h: try again).
const replaceExit = 75

// outs is how this node goes out of service by the fleet's permission.
func (d *Daemon) outs(c config.Fleet, spans config.Spans) (*fleet.Outs, error) {
	if c.Zone == "" && c.Kind == "" && c.ReleaseFile == "" {
		return nil, nil // a node in no group takes no part in it
	}
	release := d.version
	if c.ReleaseFile != "" {
		text, err := os.ReadFile(c.ReleaseFile)
		if err != nil {
			return nil, fmt.Errorf("fleet: release_file: %w", err)
		}
		line, _, _ := strings.Cut(string(text), "\n")
		if release = strings.TrimSpace(line); release == "" {
			return nil, fmt.Errorf("fleet: release_file: %s: its first line is empty; write what is deployed on this node", c.ReleaseFile)
		}
	}
	o := &fleet.Outs{Zone: c.Zone, Kind: c.Kind, Release: release, Settle: spans.Settle, Tries: 2,
		InHand: func() int {
			running, held := d.node.Hand()
			return running + held
		},
		Well: func() bool {
			return d.ready.Load() && !d.leaving.Load() && !d.evacuated.Load() && !d.away() && d.gate.Well()
		},
		Leave: func() { d.drain(true) },
		Enter: func() { d.drain(false) },
	}
	if d.servers != nil {
		o.Below, o.LeaveAlone = d.serversBelow, d.leaveAlone
	}
	if c.ReleaseFile != "" {
		o.Replace = func(ctx context.Context, to string) error { return d.replace(ctx, c, to) }
	}
	return o, nil
}

// drain has the node go out of service by a permit, or come back.
func (d *Daemon) drain(out bool) {
	d.drained.Store(out)
	d.outOfService()
}

// replace runs the command that puts another release in place, and has this process end. Without a command it is for what starts the
// process again to do that.
func (d *Daemon) replace(ctx context.Context, c config.Fleet, to string) error {
	if len(c.Replace) > 0 {
		ctx, cancel := context.WithTimeout(ctx, limits.Replace)
		defer cancel()
		command := exec.CommandContext(ctx, c.Replace[0], c.Replace[1:]...)
		command.Env = append(os.Environ(), "SLOEHITCH_RELEASE="+to)
		if text, err := command.CombinedOutput(); err != nil {
			return fmt.Errorf("%s: %w: %.300s", c.Replace[0], err, text)
		}
	}
	code := c.ReplaceExit
	if code == 0 {
		code = replaceExit
	}
	select {
	case d.replaced <- code:
		return nil
	default:
		return errors.New("the process is ending already")
	}
}

// leaveAlone has this node send no more to servers that are permitted to be out. Those that are so no longer begin with a small share.
func (d *Daemon) leaveAlone(addresses []string) {
	d.serving.Lock()
	same := slices.Equal(d.alone, addresses)
	d.alone = addresses
	d.serving.Unlock()
	if !same {
		d.log.Info("servers below are left alone, as permitted", "servers", addresses)
		d.useServers(d.store.Get(store.UwsgiServers))
	}
}

// serversBelow are the servers as this node sees them.
func (d *Daemon) serversBelow() map[string]drainpermit.Below {
	below, listed := map[string]drainpermit.Below{}, map[string]string{} // the pool has them as they are parsed
	d.serving.Lock()
	for _, a := range d.listed {
		below[a] = drainpermit.Below{}
		if e, err := endpoint.Parse(a); err == nil {
			listed[e.String()] = a
		}
	}
	d.serving.Unlock()
	for _, s := range d.servers.Servers() {
		below[cmp.Or(listed[s.Name], s.Name)] = drainpermit.Below{Uses: s.State != balancer.Draining, Open: s.Open, Well: s.State == balancer.In || s.State == balancer.Warming}
	}
	return below
}
