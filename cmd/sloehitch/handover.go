package main

import (
	"cmp"
	"os"

	"sloehitch/internal/daemon"
)

type handoverCmd struct {
	Show handoverShowCmd `cmd:"" help:"Print the snapshot that a process left for the one that replaces it, and whether that one would use it."`
}

type handoverShowCmd struct {
	Config string `help:"The platform's configuration file (JSON)." env:"GW_CONFIG" required:"" type:"path"`
	Dir    string `help:"The folder that the node's processes share; default: $TMPDIR." type:"path"`
}

func (c *handoverShowCmd) Run() error {
	return daemon.PrintHandover(os.Stdout, c.Config, cmp.Or(c.Dir, os.TempDir()))
}
