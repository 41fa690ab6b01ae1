package main

import (
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"sloehitch/internal/daemon"
	"sloehitch/internal/platform/limits"
)

type serveCmd struct {
	files
	LogLevel slog.Level `help:"The lowest level that is logged; debug logs each step of each request, and why each connection was closed." default:"info" env:"SLOEHITCH_LOG_LEVEL"`
}

func (c *serveCmd) Run(log *slog.Logger, level *slog.LevelVar) error {
	level.Set(c.LogLevel)
	reload, stop := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // first of all, since these signals end the process unless they are handled
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	shutdown := daemon.ReceivedAt(stop)
	l, err := c.load()
	if err != nil {
		return err
	}
	lim := limits.For(l.Platform.Limits.MemoryMB, l.Platform.Limits.Sockets)
	debug.SetMemoryLimit(lim.MemoryBytes)
	d, err := daemon.Start(l, daemon.Options{Version: version, Limits: lim, Log: log.With("node", l.Platform.Name), Reload: reload, Load: c.load})
	if err != nil {
		return err
	}
	debug.FreeOSMemory() // memory used to read the configuration would stay resident in a mostly idle process
	return d.Run(shutdown)
}
