package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"github.com/wcharczuk/go-chart/v2"

	"github.com/toucanwell/toucanwell/api/admin/oas"
	"github.com/toucanwell/toucanwell/internal/burn"
	"github.com/toucanwell/toucanwell/internal/config"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "show the burn rates of the service-level objectives' error budgets",
		Flags: []cli.Flag{adminFlag(), outputFlag(), &cli.StringFlag{Name: "plot", Usage: "write a chart of the burn rate by minute (PNG if the name ends in .png, else SVG)"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := collectReport(ctx, c.StringSlice("admin"), time.Now())
			if err != nil {
				return err
			}
			if path := c.String("plot"); path != "" {
				if err := r.plot(path); err != nil {
					return err
				}
			}
			if c.String("output") == "json" {
				return json.NewEncoder(os.Stdout).Encode(r)
			}
			return r.print()
		},
	}
}

// report is the error budget burn across all queried entries.
type report struct {
	Rows []burn.Row `json:"rows"`
	// Missing lists the entries that don't cover the whole slow window.
	Missing []string `json:"missing"`

	goals  []burn.Goal
	counts []burn.Count
	now    time.Time
}

// collectReport queries the entries and computes the report.
func collectReport(ctx context.Context, addresses []string, now time.Time) (*report, error) {
	r := &report{now: now, Missing: []string{}}
	responses := queryAll(ctx, addresses, func(ctx context.Context, client *oas.Client) (*oas.Burn, error) { return client.GetBurn(ctx) })
	for _, a := range responses {
		if a.err != nil {
			r.Missing = append(r.Missing, fmt.Sprintf("%s did not respond: %v", a.address, a.err))
			continue
		}
		if since := time.UnixMilli(a.value.SinceUnixMs); since.After(now.Add(-burn.SlowWindow)) {
			r.Missing = append(r.Missing, fmt.Sprintf("%s has counts only since %s", a.address, since.UTC().Format(time.RFC3339)))
		}
		for _, row := range a.value.Rows {
			key := burn.Key{Service: row.Service, Class: row.Class, Workspace: row.Workspace}
			r.counts = append(r.counts, burn.Count{Key: key, Minute: row.MinuteUnix, Good: row.Good, Bad: row.Bad})
		}
	}
	if r.goals = reportedGoals(responses); len(r.goals) == 0 {
		goals, err := objectives(ctx, addresses)
		if err != nil {
			return nil, err
		}
		r.goals = goals
	}
	goals := r.goals
	r.Rows = burn.Report(goals, r.counts, now)
	return r, nil
}

// reportedGoals returns the goals of the first process that reports any.
func reportedGoals(responses []response[*oas.Burn]) []burn.Goal {
	for _, a := range responses {
		if a.err != nil || len(a.value.Goals) == 0 {
			continue
		}
		var goals []burn.Goal
		for _, g := range a.value.Goals {
			goals = append(goals, burn.Goal{Service: g.Service, Class: g.Class, Goal: g.Goal})
		}
		return goals
	}
	return nil
}

// objectives returns the goals of the newest configuration that a process reports.
func objectives(ctx context.Context, addresses []string) ([]burn.Goal, error) {
	responses := queryAll(ctx, addresses, func(ctx context.Context, client *oas.Client) (*oas.Configuration, error) {
		return client.GetConfiguration(ctx)
	})
	var newest *oas.Configuration
	for _, a := range responses {
		if a.err == nil && (newest == nil || a.value.Version > newest.Version) {
			newest = a.value
		}
	}
	if newest == nil {
		return nil, errors.New("no process reported its configuration")
	}
	parsed, err := config.Parse("configuration in force", newest.Text)
	if err != nil {
		return nil, err
	}
	var goals []burn.Goal
	for _, o := range parsed.Objectives {
		goals = append(goals, burn.Goal{Service: o.Service, Class: o.Class, Goal: o.Goal})
	}
	return goals, nil
}

func (r *report) print() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tCLASS\tWORKSPACE\tGOAL\tGOOD\tBAD\tBURN 5M\tBURN 1H\tBUDGET LEFT")
	for _, row := range r.Rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%d\t%d\t%.2f\t%.2f\t%.0f%%\n", row.Service, row.Class, row.Workspace, row.Goal,
			row.Good, row.Bad, row.FastBurn, row.SlowBurn, row.BudgetLeft*100)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, m := range r.Missing {
		fmt.Println("missing:", m)
	}
	return nil
}

const (
	plotWidth  = 1100
	plotHeight = 420
	plotTop    = 50
	plotLeft   = 160
	// minPlottedBurn is the minimum height of the vertical axis. It keeps the line of the even
	// burn, 1, visible.
	minPlottedBurn = 2.0
)

// plot draws each objective's burn rate by minute, and the rate that would exhaust the budget
// exactly at the end of its period.
func (r *report) plot(path string) error {
	graph := chart.Chart{
		Title:      "error budget burn by minute (UTC)",
		Width:      plotWidth,
		Height:     plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: plotTop, Left: plotLeft}},
		XAxis:      chart.XAxis{ValueFormatter: chart.TimeValueFormatterWithFormat("15:04")},
	}
	highest := minPlottedBurn
	for _, g := range r.goals {
		s := r.series(g)
		highest = max(highest, slices.Max(s.YValues))
		graph.Series = append(graph.Series, s)
	}
	graph.Series = append(graph.Series, r.evenBurn())
	graph.YAxis = chart.YAxis{Name: "burn", Range: &chart.ContinuousRange{Min: 0, Max: highest}}
	graph.Elements = []chart.Renderable{chart.LegendLeft(&graph)}
	return writeChart(&graph, path)
}

// writeChart writes a chart to a file, as PNG if its name ends in .png and as SVG otherwise.
func writeChart(graph *chart.Chart, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	renderer := chart.SVG
	if strings.HasSuffix(path, ".png") {
		renderer = chart.PNG
	}
	err = graph.Render(renderer, file)
	return errors.CombineErrors(errors.Wrap(err, "plot"), file.Close())
}

// series returns an objective's burn rate by minute.
func (r *report) series(g burn.Goal) chart.TimeSeries {
	good := map[int64]int64{}
	bad := map[int64]int64{}
	for _, c := range r.counts {
		if c.Service == g.Service && c.Class == g.Class {
			good[c.Minute] += c.Good
			bad[c.Minute] += c.Bad
		}
	}
	s := chart.TimeSeries{Name: g.Service + " " + g.Class}
	for m := r.firstMinute(); m <= r.now.Unix()/60; m++ {
		y := 0.0
		if n := good[m] + bad[m]; n > 0 {
			y = float64(bad[m]) / float64(n) / (1 - g.Goal)
		}
		s.XValues = append(s.XValues, time.Unix(m*60, 0).UTC())
		s.YValues = append(s.YValues, y)
	}
	return s
}

func (r *report) firstMinute() int64 { return r.now.Unix()/60 - burn.Minutes + 1 }

// evenBurn returns the line at a burn rate of 1.
func (r *report) evenBurn() chart.TimeSeries {
	return chart.TimeSeries{
		Name:    "even burn",
		Style:   chart.Style{StrokeColor: chart.ColorRed, StrokeDashArray: []float64{5, 5}},
		XValues: []time.Time{time.Unix(r.firstMinute()*60, 0).UTC(), r.now.UTC()},
		YValues: []float64{1, 1},
	}
}
