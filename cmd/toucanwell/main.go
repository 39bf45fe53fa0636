// Command toucanwell is the command-line tool for operators. It checks and publishes
// configurations, and shows the state of a deployment's processes.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/toucanwell/toucanwell/internal/version"
)

// Exit codes other than 0.
const (
	exitFailed   = 1
	exitBadInput = 2
	exitConflict = 3
)

func main() {
	command := &cli.Command{
		Name:                  "toucanwell",
		Usage:                 "check and publish the router's configuration, and inspect its processes",
		Version:               version.String(),
		EnableShellCompletion: true,
		Description: "Exit codes: 0 success, 1 failure, 2 invalid input, 3 another version was published first, 4 no log line mentions the request.\n" +
			"The administration token is read from the environment variable TOUCANWELL_ADMIN_TOKEN.",
		Commands: []*cli.Command{
			checkCommand(),
			publishCommand(),
			showCommand(),
			statusCommand(),
			reportCommand(),
			explainCommand(),
			lossesCommand(),
			quarantineCommand(),
			limitsCommand(),
			queueCommand(),
			demoCommand(),
			replayCommand(),
			modelCommand(),
			traceCommand(),
			standinCommand(),
			versionCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "toucanwell:", err)
		if coder, ok := err.(cli.ExitCoder); ok {
			os.Exit(coder.ExitCode())
		}
		os.Exit(exitFailed)
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(context.Context, *cli.Command) error {
			fmt.Println(version.String())
			return nil
		},
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Usage: "text or json", Value: "text"}
}
