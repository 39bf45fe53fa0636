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

// memoryShare is the part of a process's memory at which the garbage collector
// works harder; the rest is for stacks and what it has not yet returned.
const memoryShare = 0.7

// gatewayCommand runs a process in a deployment whose state lies in the
// platform's store.
func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:   "gateway",
		Usage:  "run one process in front of a platform's own targets",
		Action: runGateway,
	}
}

func runGateway(_ context.Context, command *cli.Command) error {
	s, err := gateway.LoadSettings(command.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if command.Bool("check") {
		fmt.Println("settings are good")
		return nil
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryShare))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	p, err := gateway.Start(s, platform.New(s.Store.Address), os.Stdout)
	if err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	return serve(p, command.String("settings"), signals)
}

// reloadPeriod is how often the settings file is looked at: it may change
// without a signal.
const reloadPeriod = 2 * time.Second

// serve runs until a signal to stop, and takes over changed settings.
func serve(p *gateway.Process, path string, signals <-chan os.Signal) error {
	changed := changedAt(path)
	tick := time.NewTicker(reloadPeriod)
	defer tick.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				p.Stop()
				return nil
			}
			changed = changedAt(path)
			reload(p, path)
		case <-tick.C:
			if now := changedAt(path); now != changed {
				changed = now
				reload(p, path)
			}
		case err := <-p.ServeErrors():
			p.Close()
			return cli.Exit(err.Error(), exitFailed)
		}
	}
}

// changedAt is when the settings file was written last; the zero time when it
// cannot be looked at, which the next reload tells.
func changedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func reload(p *gateway.Process, path string) {
	next, err := gateway.LoadSettings(path)
	if err != nil {
		p.ReloadFailed(err)
		return
	}
	p.Reload(next)
}
