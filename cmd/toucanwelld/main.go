// Command toucanwelld is the daemon. It runs one process of the router, an entry or a sidecar
// according to its settings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/toucanwell/toucanwell/internal/daemon"
	"github.com/toucanwell/toucanwell/internal/settings"
	"github.com/toucanwell/toucanwell/internal/version"
	"github.com/toucanwell/toucanwell/platform"
)

const (
	exitSettings = 2
	exitFailed   = 1
	// memoryLimitRatio is the ratio of the Go runtime's soft memory limit to the process's memory.
	memoryLimitRatio = 0.7
)

func main() {
	command := &cli.Command{
		Name:    "toucanwelld",
		Usage:   "run one process of the router",
		Version: version.String(),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings file (TOML)", Sources: cli.EnvVars(platform.SettingsVariable), Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action:   run,
		Commands: []*cli.Command{gatewayCommand()},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "toucanwelld:", err)
		if coder, ok := err.(cli.ExitCoder); ok {
			os.Exit(coder.ExitCode())
		}
		os.Exit(exitFailed)
	}
}

func run(_ context.Context, command *cli.Command) error {
	s, err := settings.Load(command.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if command.Bool("check") {
		fmt.Println("settings are valid")
		return nil
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryLimitRatio))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, err := daemon.New(s, os.Stderr)
	if err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	select {
	case <-signals:
		d.Stop()
		return nil
	case err := <-d.Failed():
		d.Close()
		return cli.Exit(err.Error(), exitFailed)
	}
}
