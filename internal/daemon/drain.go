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

// replaceExitCode is the exit code of a process that is to be replaced by another (EX_TEMPFAIL of sysexits.h: try again).
const replaceExitCode = 75

// maxReplaceAttempts is how often the command that replaces the process is run before the drain counts as failed.
const maxReplaceAttempts = 2

// drainOptions are how this node goes out of service by a drain permit; nil for a node that is in no group.
func (d *Daemon) drainOptions(c config.Fleet, spans config.Durations) (*fleet.DrainOptions, error) {
	if c.Zone == "" && c.Kind == "" && c.ReleaseFile == "" {
		return nil, nil // a node in no group takes no part in it
	}
	release, err := d.deployedRelease(c)
	if err != nil {
		return nil, err
	}
	o := &fleet.DrainOptions{Zone: c.Zone, Kind: c.Kind, DeployedVersion: release, MinReady: spans.MinReady, MaxReplaceAttempts: maxReplaceAttempts,
		InFlight: func() int {
			running, held := d.node.InFlight()
			return running + held
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

// setOutByPermit takes the node out of service by a drain permit, or back into it.
func (d *Daemon) setOutByPermit(out bool) {
	d.service.outByPermit.Store(out)
	d.advertise()
}

// replaceProcess runs the command that installs another release, and has this process end. Without a command, what starts the process again installs it.
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
		return errors.New("the process is ending already")
	}
}

// deployedRelease is the release that runs on this node: the first line of the release file, else the program's version.
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
		return "", fmt.Errorf("fleet: release_file: %s: its first line is empty; write what is deployed on this node", c.ReleaseFile)
	}
	return release, nil
}
