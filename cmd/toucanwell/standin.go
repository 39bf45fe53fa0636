package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/toucanwell/toucanwell/internal/cluster"
	"github.com/toucanwell/toucanwell/internal/standin"
	"github.com/toucanwell/toucanwell/internal/trace"
)

// storeConcurrency is the number of concurrent fetches that an engine's weight store supports.
const storeConcurrency = 2

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:      "standin",
		Usage:     "serve a stand-in for a platform service: log, hosts, engine or plain",
		ArgsUsage: "KIND",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:20000"},
			&cli.StringFlag{Name: "weights", Usage: "weights that the engine has loaded at its start", Value: "2026-11"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			handler, err := standinHandler(c.Args().First(), c.String("weights"))
			if err != nil {
				return err
			}
			fmt.Printf("%s on http://%s\n", c.Args().First(), c.String("listen"))
			server := &http.Server{Addr: c.String("listen"), Handler: handler, ReadHeaderTimeout: 10 * time.Second}
			return server.ListenAndServe()
		},
	}
}

func standinHandler(kind, weights string) (http.Handler, error) {
	switch kind {
	case "log":
		return standin.NewLog().Handler(), nil
	case "hosts":
		return standin.NewHosts().Handler(), nil
	case "engine":
		return standin.NewEngine(cluster.DefaultEngineCosts, weights, standin.NewWeightStore(storeConcurrency)).Handler(), nil
	case "plain":
		return standin.NewPlain().Handler(), nil
	}
	return nil, cli.Exit(fmt.Sprintf("unknown stand-in %q; known are log, hosts, engine and plain", kind), exitBadInput)
}

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:  "trace",
		Usage: "write a generated trace (JSON lines)",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "shape", Usage: "marktlizenz or olaje", Value: "olaje"},
			&cli.FloatFlag{Name: "rate", Usage: "requests per second", Value: 10},
			&cli.DurationFlag{Name: "length", Value: time.Minute},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			shape, err := findShape(c.String("shape"))
			if err != nil {
				return err
			}
			if c.Float("rate") <= 0 {
				return errors.Newf("rate is %v; it must be positive", c.Float("rate"))
			}
			return trace.Write(os.Stdout, trace.Generate(shape, c.Float("rate"), c.Duration("length"), c.Uint64("seed")))
		},
	}
}
