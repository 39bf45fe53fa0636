package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/toucanwell/toucanwell/examples"
	"github.com/toucanwell/toucanwell/internal/cluster"
	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/load"
	"github.com/toucanwell/toucanwell/internal/standin"
	"github.com/toucanwell/toucanwell/internal/trace"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run both deployments with stand-ins on loopback, send requests, print the measures",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "length", Usage: "time of sending for each deployment", Value: 10 * time.Second},
			&cli.FloatFlag{Name: "rate", Usage: "requests a second", Value: 40},
			&cli.BoolFlag{Name: "logs", Usage: "print the processes' logs"},
		},
		Action: demo,
	}
}

const demoSeed = 16

type deployment struct {
	shape trace.Shape
	text  string
	model string
}

func demo(ctx context.Context, c *cli.Command) error {
	deployments := []deployment{
		{trace.Marktlizenz(), examples.Marktlizenz, "pruefer-lm"},
		{trace.Olaje(), examples.Olaje, "oleaje-lm"},
	}
	for _, d := range deployments {
		if err := d.run(ctx, c); err != nil {
			return errors.Wrap(err, d.shape.Name)
		}
	}
	return nil
}

func (d *deployment) run(ctx context.Context, c *cli.Command) error {
	logs := io.Discard
	if c.Bool("logs") {
		logs = os.Stderr
	}
	parsed, err := config.Parse(d.shape.Name, d.text)
	if err != nil {
		return err
	}
	for i := range d.shape.Workspaces {
		d.shape.Workspaces[i].Name = parsed.Workspaces[i].Name
	}
	costs := cluster.DefaultEngineCosts
	costs.CacheBlocks = cluster.DefaultEngineCosts.CacheBlocks * 4
	running, err := cluster.Start(ctx, cluster.Options{ConfigText: d.text, Entries: 3, EngineCosts: costs, LogOutput: logs})
	if err != nil {
		return err
	}
	defer running.Close()
	var entries []string
	for i := range running.Entries {
		entries = append(entries, running.EntryURL(i))
	}
	records := slices.Collect(trace.Generate(d.shape, c.Float("rate"), c.Duration("length"), demoSeed))
	outcomes := load.Run(ctx, load.Options{
		Entries: entries, Model: d.model, MaxOpen: 200,
		Token: func(workspace string) string { return workspace + "-token" },
	}, slices.Values(records))
	return d.print(running, outcomes, distinctTokens(records))
}

// distinctTokens is the number of tokens that must be computed once at least.
func distinctTokens(records []trace.Record) int {
	seen := map[uint64]bool{}
	tokens := 0
	for _, r := range records {
		for _, id := range r.HashIDs {
			if !seen[id] {
				seen[id] = true
				tokens += r.BlockTokens
			}
		}
	}
	return tokens
}

func (d *deployment) print(running *cluster.Cluster, outcomes []load.Outcome, distinct int) error {
	var total standin.EngineStats
	for _, e := range running.Engines {
		s := e.Stats()
		total.NeededTokens += s.NeededTokens
		total.PrefillTokens += s.PrefillTokens
	}
	ttft := map[string][]time.Duration{}
	whole, prompt, cached := 0, 0, 0
	problems := map[string]int{}
	for _, o := range outcomes {
		if o.Failure != "" {
			problems[o.Failure]++
			continue
		}
		whole++
		prompt += o.Prompt
		cached += o.Cached
		ttft[o.Class] = append(ttft[o.Class], o.TTFT)
	}
	fmt.Printf("%s: %d entries, %d sidecars, %d requests, %d whole and in order\n",
		d.shape.Name, len(running.Entries), len(running.Sidecars), len(outcomes), whole)
	fmt.Printf("  prefix hit rate %.3f, wasted recomputation %.3f of %d prompt tokens\n",
		share(cached, prompt), share(max(total.PrefillTokens-distinct, 0), total.NeededTokens), total.NeededTokens)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "  CLASS\tREQUESTS\tTTFT P50\tP95\tP99")
	for _, class := range []string{"alert", "interactive", "batch"} {
		times := ttft[class]
		if len(times) == 0 {
			continue
		}
		slices.Sort(times)
		fmt.Fprintf(w, "  %s\t%d\t%v\t%v\t%v\n", class, len(times), quantile(times, 0.5), quantile(times, 0.95), quantile(times, 0.99))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for p, n := range problems {
		fmt.Printf("  %d requests: %s\n", n, p)
	}
	if whole < len(outcomes) {
		return errors.Newf("%d of %d requests were not answered", len(outcomes)-whole, len(outcomes))
	}
	return nil
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))].Round(time.Millisecond)
}

func share(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
