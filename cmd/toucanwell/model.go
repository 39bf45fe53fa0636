package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"github.com/wcharczuk/go-chart/v2"

	"github.com/toucanwell/toucanwell/internal/batchmodel"
)

func modelCommand() *cli.Command {
	return &cli.Command{
		Name:  "model",
		Usage: "play traffic on a model of batching engines, the routing policies side by side",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "shape", Usage: "desk or swell", Value: "desk"},
			&cli.StringFlag{Name: "loads", Usage: "multiples of the shape's rates, with commas", Value: "1"},
			&cli.StringFlag{Name: "policies", Usage: "policies with commas", Value: strings.Join(batchmodel.Policies, ",")},
			&cli.DurationFlag{Name: "lag", Usage: "age of what policies know of caches", Value: 100 * time.Millisecond},
			&cli.DurationFlag{Name: "length", Usage: "virtual time", Value: 34 * time.Second},
			&cli.Uint64Flag{Name: "seed", Usage: "of the traffic", Value: 1},
			&cli.StringFlag{Name: "plot", Usage: "write a picture of worth by load (SVG, or PNG by the ending)"},
			outputFlag(),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			rows, err := playModel(c)
			if err != nil {
				return cli.Exit(err.Error(), exitBadInput)
			}
			if path := c.String("plot"); path != "" {
				if err := plotModel(rows, path); err != nil {
					return err
				}
			}
			if c.String("output") == "json" {
				return json.NewEncoder(os.Stdout).Encode(rows)
			}
			return printModel(rows)
		},
	}
}

// modelRow is one policy's result at one load.
type modelRow struct {
	Load float64 `json:"load"`
	*batchmodel.Result
}

func playModel(c *cli.Command) ([]modelRow, error) {
	spec, ok := batchmodel.Shapes[c.String("shape")]
	if !ok {
		return nil, errors.Newf("shape %q; there are %v", c.String("shape"), slices.Sorted(maps.Keys(batchmodel.Shapes)))
	}
	spec.CacheViewLag, spec.Duration, spec.Seed = c.Duration("lag"), c.Duration("length"), c.Uint64("seed")
	var rows []modelRow
	for _, text := range strings.Split(c.String("loads"), ",") {
		load, err := strconv.ParseFloat(text, 64)
		if err != nil || load <= 0 || load > 10 {
			return nil, errors.Newf("load %q; allowed is above 0 and up to 10", text)
		}
		spec.LoadFactor = load
		for _, policy := range strings.Split(c.String("policies"), ",") {
			r, err := batchmodel.Run(spec, policy)
			if err != nil {
				return nil, err
			}
			rows = append(rows, modelRow{load, r})
		}
	}
	return rows, nil
}

func printModel(rows []modelRow) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "LOAD\tPOLICY\tWORTH\tHIT\tREAD AGAIN\tREFUSED\tLEFT")
	for _, c := range rows[0].Classes {
		fmt.Fprintf(w, "\t%s IN TIME\tP50\tP99", strings.ToUpper(c.Name))
	}
	fmt.Fprintln(w)
	for _, r := range rows {
		fmt.Fprintf(w, "%.2f\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f", r.Load, r.Policy, r.Worth, r.Hit, r.Again, r.Refused, r.Left)
		for _, c := range r.Classes {
			fmt.Fprintf(w, "\t%.3f\t%s\t%s", c.InTime, c.P50.Round(time.Millisecond), c.P99.Round(time.Millisecond))
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// plotModel draws the worth of each policy by load.
func plotModel(rows []modelRow, path string) error {
	var order []string
	series := map[string]*chart.ContinuousSeries{}
	for _, r := range rows {
		s := series[r.Policy]
		if s == nil {
			s = &chart.ContinuousSeries{Name: r.Policy}
			series[r.Policy] = s
			order = append(order, r.Policy)
		}
		s.XValues, s.YValues = append(s.XValues, r.Load), append(s.YValues, r.Worth)
	}
	graph := chart.Chart{
		Title: "worth by load", Width: plotWidth, Height: plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: plotTop, Left: plotLeft}},
		XAxis:      chart.XAxis{Name: "load"},
		YAxis:      chart.YAxis{Name: "worth", Range: &chart.ContinuousRange{Min: 0, Max: 1}},
	}
	for _, policy := range order {
		graph.Series = append(graph.Series, *series[policy])
	}
	graph.Elements = []chart.Renderable{chart.LegendLeft(&graph)}
	return writeChart(&graph, path)
}
