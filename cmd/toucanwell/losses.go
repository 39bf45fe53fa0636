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
		Usage:     "tell from the logs of entries which requests were not served in time, when and why",
		ArgsUsage: "[LOG_FILE ...]",
		Description: "Reads the files, or standard input when none is named. A row for each route and window of time:\n" +
			"how many were in time, late, refused or failed, the shared tokens that were held or fetched, and reasons.",
		Flags: []cli.Flag{
			outputFlag(),
			&cli.DurationFlag{Name: "window", Usage: "time of a row", Value: 2 * time.Second},
			&cli.StringSliceFlag{Name: "aim", Usage: "ROUTE=DURATION within which the first event is in time; a duration alone is for all others"},
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

// defaultAim judges routes of which no aim is named.
const defaultAim = 500 * time.Millisecond

func lossesOptions(window time.Duration, aims []string) (losses.Options, error) {
	o := losses.Options{Window: window, DefaultObjective: defaultAim, Objectives: map[string]time.Duration{}}
	if window <= 0 {
		return o, errors.Newf("window is %s; allowed is a time above 0", window)
	}
	for _, text := range aims {
		route, value, named := strings.Cut(text, "=")
		if !named {
			value = text
		}
		aim, err := time.ParseDuration(value)
		if err != nil || aim <= 0 {
			return o, errors.Newf("aim is %q; allowed is ROUTE=DURATION or DURATION", text)
		}
		if named {
			o.Objectives[route] = aim
		} else {
			o.DefaultObjective = aim
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

// shownReasons is how many reasons a row names, the most frequent first.
const shownReasons = 3

func printLosses(w io.Writer, rows []losses.Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "route\tfrom s\trequests\tin time\tlate\tgone\theld\tfetched\treasons")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%.0f\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", r.Route, r.Start, r.Requests, r.InTime, r.Late, r.Cancelled,
			shareOf(r.CachedTokens, r.SharedTokens), shareOf(r.FetchedTokens, r.SharedTokens), mainReasons(r.Reasons))
	}
	return t.Flush()
}

// shareOf is a share as a row shows it; a dash where there is nothing to share.
func shareOf(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", share(part, whole))
}

func mainReasons(reasons map[string]int) string {
	names := slices.SortedFunc(maps.Keys(reasons), func(a, b string) int {
		if reasons[a] != reasons[b] {
			return reasons[b] - reasons[a]
		}
		return strings.Compare(a, b)
	})
	var all []string
	for _, name := range names[:min(len(names), shownReasons)] {
		all = append(all, fmt.Sprintf("%d %s", reasons[name], name))
	}
	return strings.Join(all, ", ")
}
