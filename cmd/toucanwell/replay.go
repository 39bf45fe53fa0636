package main

import (
	"context"
	"fmt"
	"iter"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/replay"
	"github.com/toucanwell/toucanwell/internal/routing"
	"github.com/toucanwell/toucanwell/internal/trace"
)

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:  "replay",
		Usage: "replay a trace on a virtual clock against several routing policies",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "shape", Usage: "marktlizenz or olaje", Value: "olaje"},
			&cli.StringFlag{Name: "trace", Usage: "trace file (JSON lines) in place of a generated one"},
			&cli.IntFlag{Name: "engines", Value: 18},
			&cli.IntFlag{Name: "entries", Value: 3},
			&cli.BoolFlag{Name: "contended", Usage: "every workspace sends as much as the others"},
			&cli.FloatFlag{Name: "load", Usage: "share of the oracle's capacity", Value: 0.9},
			&cli.FloatFlag{Name: "rate", Usage: "requests a second and engine, in place of a load"},
			&cli.DurationFlag{Name: "length", Value: 60 * time.Second},
			&cli.DurationFlag{Name: "lag", Usage: "age of load reports and cache events", Value: time.Second},
			&cli.FloatFlag{Name: "loss", Usage: "share of cache events lost", Value: 0.05},
			&cli.IntFlag{Name: "prefilling", Usage: "prefills that a gate lets run at once", Value: 1},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "fault", Usage: "at half the length: crash (a third of the engines) or zone (one availability zone is gone)"},
			&cli.StringFlag{Name: "policies", Usage: "words of policy names, divided by commas; empty means all"},
			&cli.StringSliceFlag{Name: "variant", Usage: "another weighing to replay, like waste=2/4/8;content=50ms;rounds=2/6/16 (oracle=1 for the oracle's)"},
		},
		Action: runReplay,
	}
}

func runReplay(_ context.Context, c *cli.Command) error {
	shape, err := shapeNamed(c.String("shape"))
	if err != nil {
		return err
	}
	if c.Bool("contended") {
		shape = trace.Contended(shape)
	}
	rate := c.Float("rate")
	if rate == 0 && c.String("trace") == "" {
		rate = c.Float("load") * replay.CapacityRate(shape, replay.DefaultCosts, c.Uint64("seed"))
	}
	fmt.Printf("%s: %d engines, %d entries, %.2f requests a second and engine, %v, lag %v, loss %.2f, seed %d\n", shape.Name,
		c.Int("engines"), c.Int("entries"), rate, c.Duration("length"), c.Duration("lag"), c.Float("loss"), c.Uint64("seed"))
	var results []*replay.Result
	policies, err := policiesOf(c)
	if err != nil {
		return err
	}
	faults, err := faultsOf(c)
	if err != nil {
		return err
	}
	for _, policy := range policies {
		records, done, err := recordsOf(c, shape, rate)
		if err != nil {
			return err
		}
		results = append(results, replay.Run(replay.Setup{
			Engines: c.Int("engines"), Entries: c.Int("entries"), Zones: zones, Costs: replay.DefaultCosts, Policy: policy,
			Weights: replay.Weights(shape), ReportLag: c.Duration("lag"), EventLoss: c.Float("loss"),
			MaxPrefilling: c.Int("prefilling"), BlockTokens: shape.BlockTokens, Seed: c.Uint64("seed"), Warmup: c.Duration("length") / 6, Faults: faults,
		}, records))
		if err := done(); err != nil {
			return err
		}
	}
	if err := replay.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	for _, f := range faults {
		for _, r := range results {
			hit, ttft := r.Recovery(f.At)
			fmt.Printf("%s: hit rate recovered after %d s, mean TTFT after %d s (-1: not in the trace)\n", r.Policy, hit, ttft)
		}
	}
	return nil
}

const zones = 3

// faultsOf returns the fault that the flag names.
func faultsOf(c *cli.Command) ([]replay.Fault, error) {
	f := replay.Fault{At: c.Duration("length") / 2}
	var part []int
	for i := 0; i < c.Int("engines"); i += zones {
		part = append(part, i)
	}
	switch c.String("fault") {
	case "":
		return nil, nil
	case "crash":
		f.Crash = part
	case "zone":
		f.Kill = part
	default:
		return nil, errors.Newf("fault %q found; allowed are crash and zone", c.String("fault"))
	}
	return []replay.Fault{f}, nil
}

// policiesOf returns the wanted policies and the variants.
func policiesOf(c *cli.Command) ([]replay.Policy, error) {
	var policies []replay.Policy
	for _, policy := range replay.Policies() {
		if wanted(policy.Name(), c.String("policies")) {
			policies = append(policies, policy)
		}
	}
	for _, text := range c.StringSlice("variant") {
		policy, err := variant(text)
		if err != nil {
			return nil, err
		}
		policies = append(policies, policy)
	}
	return policies, nil
}

// variant builds a policy from a text like "waste=2/4/8;content=50ms".
func variant(text string) (replay.Policy, error) {
	weighing := routing.DefaultPolicy
	oracle := false
	for _, part := range strings.Split(text, ";") {
		key, value, _ := strings.Cut(part, "=")
		var err error
		switch key {
		case "waste":
			weighing.PrefillWeight, err = parseFactors(value)
		case "price":
			weighing.BusyPenalty, err = strconv.ParseFloat(value, 64)
		case "power":
			weighing.BusyExponent, err = strconv.ParseFloat(value, 64)
		case "miss":
			weighing.AcceptablePrefill, err = time.ParseDuration(value)
		case "content":
			weighing.AcceptableWait, err = time.ParseDuration(value)
		case "rounds":
			weighing.Rounds, err = parseRounds(value)
		case "oracle":
			oracle = true
		default:
			err = errors.Newf("key %q found; allowed are waste, price, power, content, rounds and oracle", key)
		}
		if err != nil {
			return nil, errors.Wrapf(err, "variant %q", text)
		}
	}
	if oracle {
		return &replay.Oracle{Policy: weighing, Label: text}, nil
	}
	return &replay.Probing{Policy: weighing, Label: text}, nil
}

// parseFactors reads one factor for each class.
func parseFactors(text string) (factors [config.NumClasses]float64, err error) {
	words := strings.Split(text, "/")
	if len(words) != config.NumClasses {
		return factors, errors.Newf("%d factors found; allowed are %d, divided by /", len(words), config.NumClasses)
	}
	for i, word := range words {
		if factors[i], err = strconv.ParseFloat(word, 64); err != nil {
			return factors, err
		}
	}
	return factors, nil
}

func parseRounds(text string) ([]int, error) {
	var rounds []int
	for _, word := range strings.Split(text, "/") {
		n, err := strconv.Atoi(word)
		if err != nil {
			return nil, err
		}
		rounds = append(rounds, n)
	}
	return rounds, nil
}

// recordsOf returns the records of the trace file or of the generator.
func recordsOf(c *cli.Command, shape trace.Shape, rate float64) (iter.Seq[trace.Record], func() error, error) {
	path := c.String("trace")
	if path == "" {
		records := trace.Generate(shape, rate*float64(c.Int("engines")), c.Duration("length"), c.Uint64("seed"))
		return records, func() error { return nil }, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open trace")
	}
	var problem error
	records := func(yield func(trace.Record) bool) {
		for record, err := range trace.Read(file) {
			if err != nil {
				problem = err
				return
			}
			if !yield(record) {
				return
			}
		}
	}
	return records, func() error { return errors.CombineErrors(problem, file.Close()) }, nil
}

func shapeNamed(name string) (trace.Shape, error) {
	switch name {
	case "marktlizenz":
		return trace.Marktlizenz(), nil
	case "olaje":
		return trace.Olaje(), nil
	}
	return trace.Shape{}, errors.Newf("shape %q found; allowed are marktlizenz and olaje", name)
}

func wanted(name, list string) bool {
	if list == "" {
		return true
	}
	for _, word := range strings.Split(list, ",") {
		if strings.Contains(name, strings.TrimSpace(word)) {
			return true
		}
	}
	return false
}
