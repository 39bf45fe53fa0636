package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/toucanwell/toucanwell/internal/losses"
)

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "report from the logs of entries how many requests missed their latency objective, when and why",
		ArgsUsage: "[LOG_FILE ...]",
		Description: "Reads the files, or standard input if none is given. Prints a row for each route and time window with the\n" +
			"number of requests in time and late, the cached and fetched shares of shared tokens, the sends past targets that had\nasked for fewer requests, and the main reasons.",
		Flags: []cli.Flag{
			outputFlag(),
			&cli.DurationFlag{Name: "window", Usage: "time window of a row", Value: 2 * time.Second},
			&cli.StringSliceFlag{Name: "aim", Usage: "latency objective for the first event as ROUTE=DURATION; a DURATION alone applies to all other routes"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			options, err := lossesOptions(c.Duration("window"), c.StringSlice("aim"))
			if err != nil {
				return cli.Exit(err.Error(), exitBadInput)
			}
			rows, err := readLosses(options, c.Args().Slice())
			if err != nil {
				return err
			}
			if c.String("output") == "json" {
				return json.NewEncoder(os.Stdout).Encode(rows)
			}
			return printLosses(os.Stdout, rows)
		},
	}
}

// defaultObjective applies to routes without an --aim flag.
const defaultObjective = 500 * time.Millisecond

func lossesOptions(window time.Duration, aims []string) (losses.Options, error) {
	o := losses.Options{Window: window, DefaultObjective: defaultObjective, Objectives: map[string]time.Duration{}}
	if window <= 0 {
		return o, errors.Newf("window is %s; it must be positive", window)
	}
	for _, text := range aims {
		route, value, named := strings.Cut(text, "=")
		if !named {
			value = text
		}
		objective, err := time.ParseDuration(value)
		if err != nil || objective <= 0 {
			return o, errors.Newf("aim is %q; it must be ROUTE=DURATION or DURATION with a positive duration", text)
		}
		if named {
			o.Objectives[route] = objective
		} else {
			o.DefaultObjective = objective
		}
	}
	return o, nil
}

func readLosses(o losses.Options, paths []string) ([]losses.Row, error) {
	logs, closeLogs, err := openLogs(paths)
	if err != nil {
		return nil, err
	}
	defer closeLogs()
	return losses.Read(o, logs...)
}

// maxCounts is the number of reasons and of detours shown per row, most frequent first.
const maxCounts = 3

func printLosses(w io.Writer, rows []losses.Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "route\tfrom s\trequests\tin time\tlate\tgone\theld\tfetched\tdetours\treasons")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%.0f\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", r.Route, r.Start, r.Requests, r.InTime, r.Late, r.Cancelled,
			formatShare(r.CachedTokens, r.SharedTokens), formatShare(r.FetchedTokens, r.SharedTokens), topCounts(r.Detours), topCounts(r.Reasons))
	}
	return t.Flush()
}

// formatShare formats a fraction, or a dash if the whole is 0.
func formatShare(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", share(part, whole))
}

// topCounts formats the highest counts with their names.
func topCounts(counts map[string]int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return strings.Compare(a, b)
	})
	var all []string
	for _, name := range names[:min(len(names), maxCounts)] {
		all = append(all, fmt.Sprintf("%d %s", counts[name], name))
	}
	return strings.Join(all, ", ")
}
