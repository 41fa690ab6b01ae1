package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"

	"sloehitch/internal/control/fleet"
	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/limits"
)

// replaceExitCode is the default exit code of a process that another one replaces (EX_TEMPFAIL of sysexits.h: try again).
const replaceExitCode = 75

// maxReplaceAttempts is how often the replace command is run before the drain counts as failed.
const maxReplaceAttempts = 2

// drainOptions returns the options for draining this node by permits; nil for a node that is in no group.
func (d *Daemon) drainOptions(c config.Fleet, durations config.Durations) (*fleet.DrainOptions, error) {
	if c.Zone == "" && c.Kind == "" && c.ReleaseFile == "" {
		return nil, nil // a node in no group is not drained by permits
	}
	release, err := d.deployedRelease(c)
	if err != nil {
		return nil, err
	}
	o := &fleet.DrainOptions{Zone: c.Zone, Kind: c.Kind, DeployedVersion: release, MinReady: durations.MinReady, MaxReplaceAttempts: maxReplaceAttempts,
		InFlight: func() int {
			running, queued := d.node.InFlight()
			return running + queued
		},
		Healthy: func() bool {
			return d.service.ready.Load() && !d.service.draining.Load() && !d.service.evacuated.Load() && !d.service.outOfService() && d.admission.Healthy()
		},
		LeaveService: func() { d.setOutByPermit(true) },
		EnterService: func() { d.setOutByPermit(false) },
	}
	if d.upstreams.pool != nil {
		o.Upstreams, o.ExcludeUpstreams = d.upstreamStatus, d.excludeUpstreams
	}
	if c.ReleaseFile != "" {
		o.ReplaceProcess = func(ctx context.Context, to string) error { return d.replaceProcess(ctx, c, to) }
	}
	return o, nil
}

// setOutByPermit takes the node out of service, or back into service, by a drain permit.
func (d *Daemon) setOutByPermit(out bool) {
	d.service.outByPermit.Store(out)
	d.advertise()
}

// replaceProcess runs the command that installs the release to, and makes this process exit. Without a command, the process's
// supervisor must install it.
func (d *Daemon) replaceProcess(ctx context.Context, c config.Fleet, to string) error {
	if len(c.Replace) > 0 {
		ctx, cancel := context.WithTimeout(ctx, limits.ReplaceTimeout)
		defer cancel()
		command := exec.CommandContext(ctx, c.Replace[0], c.Replace[1:]...)
		command.Env = append(os.Environ(), "SLOEHITCH_RELEASE="+to)
		if text, err := command.CombinedOutput(); err != nil {
			return fmt.Errorf("%s: %w: %.300s", c.Replace[0], err, text)
		}
	}
	code := c.ReplaceExit
	if code == 0 {
		code = replaceExitCode
	}
	select {
	case d.replaced <- code:
		return nil
	default:
		return errors.New("the process is already shutting down")
	}
}

// deployedRelease returns the release on this node: the first line of the release file, or the program's version if no file is configured.
func (d *Daemon) deployedRelease(c config.Fleet) (string, error) {
	if c.ReleaseFile == "" {
		return d.version, nil
	}
	text, err := os.ReadFile(c.ReleaseFile)
	if err != nil {
		return "", fmt.Errorf("fleet: release_file: %w", err)
	}
	line, _, _ := strings.Cut(string(text), "\n")
	release := strings.TrimSpace(line)
	if release == "" {
		return "", fmt.Errorf("fleet: release_file: %s: the first line is empty; it must name the release on this node", c.ReleaseFile)
	}
	return release, nil
}
