package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/toucanwell/toucanwell/internal/gateway"
	"github.com/toucanwell/toucanwell/platform"
)

// gatewayCommand returns the command that runs a gateway process, whose state is in the
// platform's store.
func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:   "gateway",
		Usage:  "run one gateway process in front of the platform's targets",
		Action: runGateway,
	}
}

func runGateway(_ context.Context, command *cli.Command) error {
	s, err := gateway.LoadSettings(command.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if command.Bool("check") {
		fmt.Println("settings are valid")
		return nil
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryLimitRatio))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	p, err := gateway.Start(s, platform.New(s.Store.Address), os.Stdout)
	if err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	return serve(p, command.String("settings"), signals)
}

// reloadPeriod is how often the settings file is checked for changes without a signal.
const reloadPeriod = 2 * time.Second

// serve runs until the process fails or receives a stop signal. It reloads settings on SIGHUP
// and when the file changes.
func serve(p *gateway.Process, path string, signals <-chan os.Signal) error {
	changed := modTime(path)
	tick := time.NewTicker(reloadPeriod)
	defer tick.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				p.Stop()
				return nil
			}
			changed = modTime(path)
			reload(p, path)
		case <-tick.C:
			if now := modTime(path); now != changed {
				changed = now
				reload(p, path)
			}
		case err := <-p.ServeErrors():
			p.Close()
			return cli.Exit(err.Error(), exitFailed)
		}
	}
}

// modTime returns the settings file's modification time, or the zero time if the file cannot
// be read. The next reload reports that error.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings file, or reports why it is invalid.
func reload(p *gateway.Process, path string) {
	next, err := gateway.LoadSettings(path)
	if err != nil {
		p.ReloadFailed(err)
		return
	}
	p.Reload(next)
}
