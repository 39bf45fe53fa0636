package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/toucanwell/toucanwell/api/admin/oas"
)

const adminTimeout = 5 * time.Second

func adminFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "admin", Usage: "administration address of a process; may be given often", Required: true, Sources: cli.EnvVars("TOUCANWELL_ADMIN")}
}

type adminToken string

// AdminToken implements oas.SecuritySource.
func (t adminToken) AdminToken(context.Context, oas.OperationName) (oas.AdminToken, error) {
	return oas.AdminToken{Token: string(t)}, nil
}

func adminClient(address string) (*oas.Client, error) {
	token := adminToken(os.Getenv("TOUCANWELL_ADMIN_TOKEN"))
	client, err := oas.NewClient("http://"+address, token, oas.WithClient(&http.Client{Timeout: adminTimeout}))
	return client, errors.Wrap(err, address)
}

// response is what one process said.
type response[T any] struct {
	address string
	value   T
	err     error
}

// queryAll asks all processes at once and keeps their order.
func queryAll[T any](ctx context.Context, addresses []string, ask func(context.Context, *oas.Client) (T, error)) []response[T] {
	answers := make([]response[T], len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i].address = address
			client, err := adminClient(address)
			if err != nil {
				answers[i].err = err
				return
			}
			answers[i].value, answers[i].err = ask(ctx, client)
		}()
	}
	wg.Wait()
	return answers
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show which version each process has in force, and whether it is ready",
		Flags: []cli.Flag{adminFlag(), outputFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			answers := queryAll(ctx, c.StringSlice("admin"), func(ctx context.Context, client *oas.Client) (*oas.State, error) {
				return client.GetState(ctx)
			})
			if c.String("output") == "json" {
				return printStatesJSON(answers)
			}
			return printStates(answers)
		},
	}
}

func printStates(answers []response[*oas.State]) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PROCESS\tROLE\tZONE\tVERSION\tREADY\tDRAINING\tIN FLIGHT\tSINCE")
	failed := 0
	for _, a := range answers {
		if a.err != nil {
			failed++
			fmt.Fprintf(w, "%s\t%v\n", a.address, a.err)
			continue
		}
		s := a.value
		since := time.UnixMilli(s.StartedUnixMs).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%v\t%d\t%s\n", s.Name, s.Role, s.AvailabilityZone, s.ConfigVersion, s.Ready, s.Draining, s.InFlight, since)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if failed > 0 {
		return errors.Newf("%d of %d processes gave no answer", failed, len(answers))
	}
	return nil
}

func printStatesJSON(answers []response[*oas.State]) error {
	type row struct {
		Address string     `json:"address"`
		State   *oas.State `json:"state,omitempty"`
		Error   string     `json:"error,omitempty"`
	}
	rows := make([]row, 0, len(answers))
	for _, a := range answers {
		r := row{Address: a.address, State: a.value}
		if a.err != nil {
			r.Error = a.err.Error()
		}
		rows = append(rows, r)
	}
	return json.NewEncoder(os.Stdout).Encode(rows)
}

func showCommand() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "show what one process has",
		Commands: []*cli.Command{
			{
				Name:  "configuration",
				Usage: "print the text in force; its version goes to standard error",
				Flags: []cli.Flag{adminFlag()},
				Action: withFirstProcess(func(ctx context.Context, client *oas.Client) error {
					configuration, err := client.GetConfiguration(ctx)
					if err != nil {
						return err
					}
					fmt.Fprintf(os.Stderr, "version %d\n", configuration.Version)
					fmt.Print(configuration.Text)
					return nil
				}),
			},
			{
				Name:  "targets",
				Usage: "list the targets with their states",
				Flags: []cli.Flag{adminFlag()},
				Action: withFirstProcess(func(ctx context.Context, client *oas.Client) error {
					list, err := client.GetTargets(ctx)
					if err != nil {
						return err
					}
					w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
					fmt.Fprintln(w, "TARGET\tSERVICE\tZONE\tADDRESS\tSTATE")
					for _, t := range list.Targets {
						fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", t.Name, t.Service, t.AvailabilityZone, t.Address, t.State)
					}
					return w.Flush()
				}),
			},
			showRouteCommand(),
		},
	}
}

// forEachProcess runs an action against one process named after the other.
func forEachProcess(action func(context.Context, *oas.Client) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		for _, address := range c.StringSlice("admin") {
			client, err := adminClient(address)
			if err != nil {
				return err
			}
			if err := action(ctx, client); err != nil {
				return fmt.Errorf("%s: %w", address, err)
			}
		}
		return nil
	}
}

// withFirstProcess runs an action against the first process named.
func withFirstProcess(action func(context.Context, *oas.Client) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		client, err := adminClient(c.StringSlice("admin")[0])
		if err != nil {
			return err
		}
		return action(ctx, client)
	}
}
