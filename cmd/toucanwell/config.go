package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/configlog"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/platform"
)

const publishTimeout = 60 * time.Second

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a configuration file",
		ArgsUsage: "FILE",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "platform", Usage: "check the file as the platform's estate record"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Bool("platform") {
				return checkEstate(c.Args().First())
			}
			_, text, err := readConfig(c)
			if err != nil {
				return err
			}
			fmt.Printf("%s: valid, %d bytes\n", c.Args().First(), len(text))
			return nil
		},
	}
}

// checkEstate checks an estate record as a gateway does before applying it.
func checkEstate(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return cli.Exit(err.Error(), exitBadInput)
	}
	e, err := platform.DecodeEstate(text)
	if err != nil {
		return cli.Exit(path+": "+err.Error(), exitBadInput)
	}
	fmt.Printf("%s: valid, version %d, %d routes, %d services\n", path, e.Version, len(e.Routes()), len(e.Services()))
	return nil
}

// readConfig reads and parses the configuration file given as the first argument.
func readConfig(c *cli.Command) (*config.Config, string, error) {
	path := c.Args().First()
	if path == "" {
		return nil, "", cli.Exit("configuration file is missing", exitBadInput)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, "", cli.Exit(err.Error(), exitBadInput)
	}
	parsed, err := config.Parse(path, string(text))
	if err != nil {
		return nil, "", cli.Exit(err.Error(), exitBadInput)
	}
	return parsed, string(text), nil
}

func logFlag() cli.Flag {
	return &cli.StringFlag{Name: "log", Usage: "base URL of the platform's log", Required: true, Sources: cli.EnvVars("TOUCANWELL_LOG_URL")}
}

func publishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "publish a configuration file",
		ArgsUsage: "FILE",
		Description: "--base is the version that the file was edited from. If another version has been published since, the\n" +
			"command fails with exit code 3: fetch the version in force, reapply the change and publish again.",
		Flags: []cli.Flag{
			logFlag(), outputFlag(),
			&cli.Uint64Flag{Name: "base", Usage: "version that the file was edited from; 0 for the first"},
			&cli.BoolFlag{Name: "recover", Usage: "publish the file when neither the log nor any process has a configuration left"},
		},
		Action: publish,
	}
}

func publish(ctx context.Context, c *cli.Command) error {
	_, text, err := readConfig(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	log := external.NewHTTPLog(c.String("log"), external.NewHTTPClient())
	nonce := uuid.NewString()
	if c.Bool("recover") {
		version, err := configlog.Recover(ctx, log, nonce, text)
		if err != nil {
			return err
		}
		fmt.Printf("recovered as version %d\n", version)
		return nil
	}
	verdict, err := configlog.Publish(ctx, log, nonce, c.Uint64("base"), text)
	if errors.Is(err, configlog.ErrConflict) {
		return cli.Exit(err.Error(), exitConflict)
	}
	if err != nil {
		return err
	}
	if c.String("output") == "json" {
		return json.NewEncoder(os.Stdout).Encode(map[string]any{"version": verdict.Offset, "accepted": true})
	}
	fmt.Printf("accepted as version %d; see 'toucanwell status' for where it is in force\n", verdict.Offset)
	return nil
}
