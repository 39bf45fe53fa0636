package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/toucanwell/toucanwell/api/admin/oas"
)

func showRouteCommand() *cli.Command {
	return &cli.Command{
		Name:  "route",
		Usage: "show where an entry would send a request now, and why; does not send it",
		Flags: []cli.Flag{
			adminFlag(), outputFlag(),
			&cli.StringFlag{Name: "host", Usage: "host name of the request", Required: true},
			&cli.StringFlag{Name: "path", Usage: "path of the request", Required: true},
			&cli.StringFlag{Name: "workspace", Usage: "workspace of the caller"},
			&cli.StringFlag{Name: "model", Usage: "model of the prompt"},
			&cli.IntFlag{Name: "prompt-tokens", Usage: "length of the prompt"},
			&cli.IntFlag{Name: "max-tokens", Usage: "maximum length of the output"},
			&cli.StringSliceFlag{Name: "part", Usage: "a part of the prompt as ID:TOKENS, in order; can be repeated"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := adminClient(c.StringSlice("admin")[0])
			if err != nil {
				return err
			}
			p, err := client.GetPlacement(ctx, oas.GetPlacementParams{
				Host: c.String("host"), Path: c.String("path"), Workspace: optional(c.String("workspace")), Model: optional(c.String("model")),
				PromptTokens: oas.NewOptInt(c.Int("prompt-tokens")), MaxTokens: oas.NewOptInt(c.Int("max-tokens")), Parts: c.StringSlice("part"),
			})
			if err != nil {
				return err
			}
			if c.String("output") == "json" {
				return json.NewEncoder(os.Stdout).Encode(p)
			}
			return printPlacement(p)
		},
	}
}

func optional(text string) oas.OptString {
	if text == "" {
		return oas.OptString{}
	}
	return oas.NewOptString(text)
}

func printPlacement(p *oas.Placement) error {
	fmt.Printf("route %s to service %s, with configuration version %d and a target list %d ms old\n", p.Route, p.Service, p.ConfigVersion, p.ListAgeMs)
	if refusal, ok := p.Refusal.Get(); ok {
		fmt.Printf("would be refused with %s: %s\n", refusal, p.Detail.Or(""))
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\tTARGET\tZONE\tCOST\tWAIT MS\tREAD MS\tFETCH MS\tHELD\tFETCHED\tRUNNING\tFACTOR\tWEIGHTS\tREMARKS")
	for _, c := range p.Candidates {
		chosen := ""
		if c.Target == p.Chosen.Or("") {
			chosen = "->"
		}
		remarks := strings.Join(append(c.Marks, c.Filtered.Or("")), ", ")
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%.2f\t%d\t%s\n", chosen, c.Target, c.AvailabilityZone, c.Cost,
			c.WaitMs, c.ReadMs, c.FetchMs, c.Held, c.Fetched, c.Running, c.Factor.Or(1), c.Weights, strings.TrimSuffix(remarks, ", "))
	}
	return w.Flush()
}
