package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/toucanwell/toucanwell/api/admin/oas"
)

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name:  "quarantine",
		Usage: "list and release requests that targets crashed on",
		Commands: []*cli.Command{
			{
				Name:  "list",
				Usage: "list the requests that an entry refuses or suspects; all entries agree within a second",
				Flags: []cli.Flag{adminFlag(), outputFlag()},
				Action: func(ctx context.Context, c *cli.Command) error {
					return withFirstProcess(func(ctx context.Context, client *oas.Client) error {
						q, err := client.GetQuarantine(ctx)
						if err != nil {
							return err
						}
						return printQuarantine(os.Stdout, q, c.String("output"))
					})(ctx, c)
				},
			},
			{
				Name:      "release",
				Usage:     "release a request by its fingerprint; all entries discard its crash history",
				ArgsUsage: "PRINT",
				Flags:     []cli.Flag{adminFlag()},
				Action: func(ctx context.Context, c *cli.Command) error {
					if c.Args().Len() != 1 {
						return cli.Exit("fingerprint is missing; usage: toucanwell quarantine release PRINT", exitBadInput)
					}
					return withFirstProcess(func(ctx context.Context, client *oas.Client) error {
						return client.ReleaseRequest(ctx, oas.ReleaseRequestParams{Print: c.Args().First()})
					})(ctx, c)
				},
			},
		},
	}
}

func printQuarantine(out io.Writer, q *oas.Quarantine, output string) error {
	if output == "json" {
		return json.NewEncoder(out).Encode(q)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PRINT\tVERDICT\tENDS\tSERVED\tWORKSPACE\tROUTE\tPART\tLAST CHANGE\tHELD FOR")
	for _, r := range q.Requests {
		held := ""
		if ms, ok := r.HeldMs.Get(); ok {
			held = roundedMillis(ms).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s ago\t%s\n", r.Print, r.Verdict, r.Ends, r.Served, r.Workspace, r.Route, r.Part.Or(""), roundedMillis(r.ChangedMsAgo), held)
	}
	return w.Flush()
}

// roundedMillis converts milliseconds to a duration rounded to seconds.
func roundedMillis(ms int64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second)
}
