// Command sloehitch decides on a server which requests run, wait or are refused.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"sloehitch/internal/config"
)

// version is the product's; the changelog says what each one brought.
const version = "0.1.0"

var cli struct {
	Serve   serveCmd   `cmd:"" help:"Serve until told to stop."`
	Check   checkCmd   `cmd:"" help:"Check a configuration and say what it would do."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// files are the flags that name configuration files.
type files struct {
	Config string `help:"The platform's configuration, as JSON." env:"GW_CONFIG" required:"" type:"path"`
}

type checkCmd struct{ files }

func (c *checkCmd) Run(_ *slog.Logger) error {
	p, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	fmt.Printf("%s: node %s on %s, %d classes, %d tenants, %d MB, %d descriptors\n", c.Config, p.Name, p.Listen,
		len(p.Logic.Classes), len(p.Logic.Tenants), p.Caps.MemoryMB, p.Caps.Sockets)
	return nil
}

type versionCmd struct{}

func (versionCmd) Run(_ *slog.Logger) error {
	fmt.Println("sloehitch", version)
	if info, ok := debug.ReadBuildInfo(); ok {
		fmt.Println(info.GoVersion)
	}
	return nil
}

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	ctx := kong.Parse(&cli, kong.Name("sloehitch"), kong.Bind(log),
		kong.Description("Decides on a server which requests run, wait or are refused."))
	if err := ctx.Run(log); err != nil {
		log.Error("stopped", "error", err)
		os.Exit(1)
	}
}
