package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/toucanwell/toucanwell/api/admin/oas"
)

func queueCommand() *cli.Command {
	return &cli.Command{
		Name:  "queue",
		Usage: "show the requests that wait for a target, by service and workspace; pass all entries for the sums of the deployment",
		Flags: []cli.Flag{adminFlag(), outputFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			responses := queryAll(ctx, c.StringSlice("admin"), func(ctx context.Context, client *oas.Client) (*oas.Queue, error) {
				return client.GetQueue(ctx)
			})
			return reportQueue(os.Stdout, os.Stderr, responses, c.String("output"))
		},
	}
}

// reportQueue prints the rows of the entries that responded. It fails if one did not respond.
func reportQueue(out, notes io.Writer, responses []response[*oas.Queue], output string) error {
	failed := 0
	for _, r := range responses {
		switch {
		case r.err != nil:
			failed++
			fmt.Fprintf(notes, "%s: %v\n", r.address, r.err)
		case !r.value.Enabled:
			fmt.Fprintf(notes, "%s: the queue is disabled\n", r.address)
		}
	}
	if err := printQueue(out, mergeQueues(responses), output); err != nil {
		return err
	}
	if failed > 0 {
		return errors.Newf("%d of %d processes did not respond", failed, len(responses))
	}
	return nil
}

// queueRow is a workspace's part in the queues of several entries for a service.
type queueRow struct {
	Service       string  `json:"service"`
	Workspace     string  `json:"workspace"`
	Waiting       int     `json:"waiting"`
	Placed        int64   `json:"placed"`
	Refused       int64   `json:"refused"`
	Share         float64 `json:"share"`
	Weight        float64 `json:"weight"`
	Floor         float64 `json:"floor"`
	LongestWaitMs int64   `json:"longest_wait_ms"`
	// Differs is set if the settings of the entries differ; Weight and Floor are then of one entry.
	Differs bool `json:"differs,omitempty"`
	seen    bool
}

type queueKey struct{ service, workspace string }

// mergeQueues sums the queues of the entries. The shares count by what each entry places per second while
// requests wait there.
func mergeQueues(responses []response[*oas.Queue]) []queueRow {
	merged := map[queueKey]*queueRow{}
	costs := map[string]float64{}
	for _, r := range responses {
		if r.err != nil {
			continue
		}
		for _, s := range r.value.Services {
			costs[s.Service] += s.CostPerSecond
			for _, w := range s.Workspaces {
				key := queueKey{s.Service, w.Workspace}
				row := merged[key]
				if row == nil {
					row = &queueRow{Service: s.Service, Workspace: w.Workspace}
					merged[key] = row
				}
				row.add(&w, s.CostPerSecond)
			}
		}
	}
	rows := make([]queueRow, 0, len(merged))
	for _, row := range merged {
		if total := costs[row.Service]; total > 0 {
			row.Share /= total
		}
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b queueRow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Share, a.Share), cmp.Compare(a.Workspace, b.Workspace))
	})
	return rows
}

// add adds the part of one entry. Share sums the cost placed per second.
func (r *queueRow) add(w *oas.QueueWorkspace, costPerSecond float64) {
	r.Waiting += w.Waiting
	r.Placed += w.Placed
	r.Refused += w.Refused
	r.Share += w.Share * costPerSecond
	r.LongestWaitMs = max(r.LongestWaitMs, w.LongestWaitMs)
	r.Differs = r.Differs || r.seen && (r.Weight != w.Weight || r.Floor != w.Floor)
	r.Weight, r.Floor, r.seen = w.Weight, w.Floor, true
}

func printQueue(out io.Writer, rows []queueRow, output string) error {
	if output == "json" {
		return json.NewEncoder(out).Encode(map[string][]queueRow{"workspaces": rows})
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tWORKSPACE\tWAITING\tPLACED\tREFUSED\tSHARE\tWEIGHT\tFLOOR\tLONGEST WAIT")
	for _, r := range rows {
		weight, floor := strconv.FormatFloat(r.Weight, 'g', 4, 64), strconv.FormatFloat(r.Floor, 'g', 4, 64)
		if r.Differs {
			weight, floor = "differs", "differs"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.2f\t%s\t%s\t%v\n", r.Service, r.Workspace, r.Waiting, r.Placed, r.Refused, r.Share, weight, floor,
			time.Duration(r.LongestWaitMs)*time.Millisecond)
	}
	return w.Flush()
}
