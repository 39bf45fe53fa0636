// Command toucanwell is the operators' tool.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/toucanwell/toucanwell/internal/version"
)

func main() {
	command := &cli.Command{
		Name:    "toucanwell",
		Usage:   "check, publish and watch the router's configuration",
		Version: version.String(),
		Commands: []*cli.Command{
			replayCommand(),
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "toucanwell:", err)
		os.Exit(1)
	}
}
