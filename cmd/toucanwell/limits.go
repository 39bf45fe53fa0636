package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/toucanwell/toucanwell/api/admin/oas"
)

func limitsCommand() *cli.Command {
	return &cli.Command{
		Name:  "limits",
		Usage: "show the workspaces' rate limits and usage; pass all entries to see every workspace's usage",
		Flags: []cli.Flag{adminFlag(), outputFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			var all []oas.WorkspaceLimit
			err := forEachProcess(func(ctx context.Context, client *oas.Client) error {
				l, err := client.GetLimits(ctx)
				if err == nil {
					all = append(all, l.Workspaces...)
				}
				return err
			})(ctx, c)
			if err != nil {
				return err
			}
			return printLimits(os.Stdout, mergeLimits(all), c.String("output"))
		},
	}
}

// mergeLimits keeps one row per workspace and prefers that of its coordinator.
func mergeLimits(rows []oas.WorkspaceLimit) []oas.WorkspaceLimit {
	merged := map[string]oas.WorkspaceLimit{}
	for _, r := range rows {
		if known, ok := merged[r.Workspace]; !ok || !known.Use.IsSet() {
			merged[r.Workspace] = r
		}
	}
	all := make([]oas.WorkspaceLimit, 0, len(merged))
	for _, r := range merged {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b oas.WorkspaceLimit) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return all
}

func printLimits(out io.Writer, all []oas.WorkspaceLimit, output string) error {
	if output == "json" {
		return json.NewEncoder(out).Encode(oas.Limits{Workspaces: all})
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WORKSPACE\tLIMIT\tBURST\tLEFT\tLEASED\tENTRIES\tADMITTED\tREFUSED\tSHARE\tCOORDINATOR")
	for _, r := range all {
		fmt.Fprintf(w, "%s\t%.0f %s/s\t%.0f\t", r.Workspace, r.PerSecond, r.Unit, r.Burst)
		if u, ok := r.Use.Get(); ok {
			fmt.Fprintf(w, "%.0f\t%.0f\t%d\t%d\t%d\t%.2f\t", u.Level, u.Leased, u.Entries, u.Admitted, u.Refused, u.Share)
		} else {
			fmt.Fprint(w, "?\t?\t?\t?\t?\t?\t")
		}
		fmt.Fprintln(w, r.Coordinator)
	}
	return w.Flush()
}
