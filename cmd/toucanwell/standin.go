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

// storeBears is how many fetches the store behind one engine bears.
const storeBears = 2

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:      "standin",
		Usage:     "serve a stand-in of the platform on loopback: log, hosts, engine or plain",
		ArgsUsage: "KIND",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:20000"},
			&cli.StringFlag{Name: "weights", Usage: "weights that an engine has loaded", Value: "2026-11"},
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
		return standin.NewEngine(cluster.DefaultEngineCosts, weights, standin.NewWeightStore(storeBears)).Handler(), nil
	case "plain":
		return standin.NewPlain().Handler(), nil
	}
	return nil, cli.Exit(fmt.Sprintf("%q found; allowed are log, hosts, engine and plain", kind), exitBadInput)
}

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:  "trace",
		Usage: "write a generated trace (JSON lines)",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "shape", Usage: "marktlizenz or olaje", Value: "olaje"},
			&cli.FloatFlag{Name: "rate", Usage: "requests a second", Value: 10},
			&cli.DurationFlag{Name: "length", Value: time.Minute},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			shape, err := shapeNamed(c.String("shape"))
			if err != nil {
				return err
			}
			if c.Float("rate") <= 0 {
				return errors.Newf("rate: %v found; allowed are numbers above 0", c.Float("rate"))
			}
			return trace.Write(os.Stdout, trace.Generate(shape, c.Float("rate"), c.Duration("length"), c.Uint64("seed")))
		},
	}
}
