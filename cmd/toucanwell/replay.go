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
		Usage: "simulate several routing policies with a trace on a virtual clock",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "shape", Usage: "marktlizenz or olaje", Value: "olaje"},
			&cli.StringFlag{Name: "trace", Usage: "trace file (JSON lines) to use instead of a generated trace"},
			&cli.IntFlag{Name: "engines", Value: 18},
			&cli.IntFlag{Name: "entries", Value: 3},
			&cli.BoolFlag{Name: "contended", Usage: "all workspaces send equal traffic"},
			&cli.FloatFlag{Name: "load", Usage: "rate as a fraction of the oracle's capacity", Value: 0.9},
			&cli.FloatFlag{Name: "rate", Usage: "requests per second and engine; overrides --load"},
			&cli.DurationFlag{Name: "length", Value: 60 * time.Second},
			&cli.DurationFlag{Name: "lag", Usage: "age of load reports and cache events", Value: time.Second},
			&cli.FloatFlag{Name: "loss", Usage: "fraction of cache events that are lost", Value: 0.05},
			&cli.IntFlag{Name: "prefilling", Usage: "maximum number of concurrent prefills per gate", Value: 1},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "fault", Usage: "fault at half the length: crash (a third of the engines) or zone (loss of one availability zone)"},
			&cli.StringFlag{Name: "policies", Usage: "substrings of policy names, separated by commas; empty selects all"},
			&cli.StringSliceFlag{Name: "variant", Usage: "an additional policy variant, such as waste=2/4/8;content=50ms;rounds=2/6/16 (oracle=1 for a variant of the oracle)"},
		},
		Action: runReplay,
	}
}

func runReplay(_ context.Context, c *cli.Command) error {
	shape, err := findShape(c.String("shape"))
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
	fmt.Printf("%s: %d engines, %d entries, %.2f requests per second and engine, %v, lag %v, loss %.2f, seed %d\n", shape.Name,
		c.Int("engines"), c.Int("entries"), rate, c.Duration("length"), c.Duration("lag"), c.Float("loss"), c.Uint64("seed"))
	var results []*replay.Result
	policies, err := selectPolicies(c)
	if err != nil {
		return err
	}
	faults, err := parseFaults(c)
	if err != nil {
		return err
	}
	for _, policy := range policies {
		records, done, err := openRecords(c, shape, rate)
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
			fmt.Printf("%s: hit rate recovered after %d s, mean TTFT after %d s (-1: not within the trace)\n", r.Policy, hit, ttft)
		}
	}
	return nil
}

// zones is the number of availability zones.
const zones = 3

// parseFaults returns the fault selected by the fault flag.
func parseFaults(c *cli.Command) ([]replay.Fault, error) {
	f := replay.Fault{At: c.Duration("length") / 2}
	var affected []int
	for i := 0; i < c.Int("engines"); i += zones {
		affected = append(affected, i)
	}
	switch c.String("fault") {
	case "":
		return nil, nil
	case "crash":
		f.Crash = affected
	case "zone":
		f.Kill = affected
	default:
		return nil, errors.Newf("unknown fault %q; known are crash and zone", c.String("fault"))
	}
	return []replay.Fault{f}, nil
}

// selectPolicies returns the selected policies and the variants.
func selectPolicies(c *cli.Command) ([]replay.Policy, error) {
	var policies []replay.Policy
	for _, policy := range replay.Policies() {
		if matchesAny(policy.Name(), c.String("policies")) {
			policies = append(policies, policy)
		}
	}
	for _, text := range c.StringSlice("variant") {
		policy, err := parseVariant(text)
		if err != nil {
			return nil, err
		}
		policies = append(policies, policy)
	}
	return policies, nil
}

// parseVariant parses a policy variant such as "waste=2/4/8;content=50ms".
func parseVariant(text string) (replay.Policy, error) {
	policy := routing.DefaultPolicy
	oracle := false
	for _, part := range strings.Split(text, ";") {
		key, value, _ := strings.Cut(part, "=")
		var err error
		switch key {
		case "waste":
			policy.PrefillWeight, err = parseFactors(value)
		case "price":
			policy.BusyPenalty, err = strconv.ParseFloat(value, 64)
		case "power":
			policy.BusyExponent, err = strconv.ParseFloat(value, 64)
		case "miss":
			policy.AcceptablePrefill, err = time.ParseDuration(value)
		case "content":
			policy.AcceptableWait, err = time.ParseDuration(value)
		case "rounds":
			policy.Rounds, err = parseRounds(value)
		case "oracle":
			oracle = true
		default:
			err = errors.Newf("unknown key %q; known are waste, price, power, miss, content, rounds and oracle", key)
		}
		if err != nil {
			return nil, errors.Wrapf(err, "variant %q", text)
		}
	}
	if oracle {
		return &replay.Oracle{Policy: policy, Label: text}, nil
	}
	return &replay.Probing{Policy: policy, Label: text}, nil
}

// parseFactors parses one factor per class, separated by slashes.
func parseFactors(text string) (factors [config.NumClasses]float64, err error) {
	fields := strings.Split(text, "/")
	if len(fields) != config.NumClasses {
		return factors, errors.Newf("%d factors given, %d required, separated by /", len(fields), config.NumClasses)
	}
	for i, field := range fields {
		if factors[i], err = strconv.ParseFloat(field, 64); err != nil {
			return factors, err
		}
	}
	return factors, nil
}

func parseRounds(text string) ([]int, error) {
	var rounds []int
	for _, field := range strings.Split(text, "/") {
		n, err := strconv.Atoi(field)
		if err != nil {
			return nil, err
		}
		rounds = append(rounds, n)
	}
	return rounds, nil
}

// openRecords returns the records of the trace file, or generated ones if there is none, and a
// function that returns the reader's error and closes the file.
func openRecords(c *cli.Command, shape trace.Shape, rate float64) (iter.Seq[trace.Record], func() error, error) {
	path := c.String("trace")
	if path == "" {
		records := trace.Generate(shape, rate*float64(c.Int("engines")), c.Duration("length"), c.Uint64("seed"))
		return records, func() error { return nil }, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open trace")
	}
	var readErr error
	records := func(yield func(trace.Record) bool) {
		for record, err := range trace.Read(file) {
			if err != nil {
				readErr = err
				return
			}
			if !yield(record) {
				return
			}
		}
	}
	return records, func() error { return errors.CombineErrors(readErr, file.Close()) }, nil
}

func findShape(name string) (trace.Shape, error) {
	switch name {
	case "marktlizenz":
		return trace.Marktlizenz(), nil
	case "olaje":
		return trace.Olaje(), nil
	}
	return trace.Shape{}, errors.Newf("unknown shape %q; known are marktlizenz and olaje", name)
}

// matchesAny reports whether a name contains one of the substrings in a comma-separated list. An
// empty list matches every name.
func matchesAny(name, list string) bool {
	if list == "" {
		return true
	}
	for _, field := range strings.Split(list, ",") {
		if strings.Contains(name, strings.TrimSpace(field)) {
			return true
		}
	}
	return false
}
