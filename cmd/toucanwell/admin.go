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
	return &cli.StringSliceFlag{Name: "admin", Usage: "administration address of a process; can be repeated", Required: true, Sources: cli.EnvVars("TOUCANWELL_ADMIN")}
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

// response is the response of one process.
type response[T any] struct {
	address string
	value   T
	err     error
}

// queryAll queries all processes concurrently and returns the responses in order.
func queryAll[T any](ctx context.Context, addresses []string, query func(context.Context, *oas.Client) (T, error)) []response[T] {
	responses := make([]response[T], len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			responses[i].address = address
			client, err := adminClient(address)
			if err != nil {
				responses[i].err = err
				return
			}
			responses[i].value, responses[i].err = query(ctx, client)
		}()
	}
	wg.Wait()
	return responses
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show each process's configuration version and readiness",
		Flags: []cli.Flag{adminFlag(), outputFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			responses := queryAll(ctx, c.StringSlice("admin"), func(ctx context.Context, client *oas.Client) (*oas.State, error) {
				return client.GetState(ctx)
			})
			if c.String("output") == "json" {
				return printStatesJSON(responses)
			}
			return printStates(responses)
		},
	}
}

func printStates(responses []response[*oas.State]) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PROCESS\tROLE\tZONE\tVERSION\tREADY\tDRAINING\tIN FLIGHT\tSINCE")
	failed := 0
	for _, a := range responses {
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
		return errors.Newf("%d of %d processes did not respond", failed, len(responses))
	}
	return nil
}

func printStatesJSON(responses []response[*oas.State]) error {
	type row struct {
		Address string     `json:"address"`
		State   *oas.State `json:"state,omitempty"`
		Error   string     `json:"error,omitempty"`
	}
	rows := make([]row, 0, len(responses))
	for _, a := range responses {
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
		Usage: "show the state of one process",
		Commands: []*cli.Command{
			{
				Name:  "configuration",
				Usage: "print the configuration in force; its version is printed to standard error",
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

// forEachProcess runs an action against each given process in turn.
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

// withFirstProcess runs an action against the first given process.
func withFirstProcess(action func(context.Context, *oas.Client) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		client, err := adminClient(c.StringSlice("admin")[0])
		if err != nil {
			return err
		}
		return action(ctx, client)
	}
}
