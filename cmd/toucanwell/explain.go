package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/toucanwell/toucanwell/internal/explain"
)

// exitNoLines tells that no log line tells of the request.
const exitNoLines = 4

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell one request's story from the logs of any number of processes",
		ArgsUsage: "REQUEST_ID [LOG_FILE ...]",
		Description: "Reads the files, or standard input when none is named, in any order. Prints what was decided about\n" +
			"the request with the inputs, and what its entry had learned in the 5 s before.\n" +
			"Exit code 4: no line tells of the request.",
		Flags: []cli.Flag{outputFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 1 {
				return cli.Exit("name the request: toucanwell explain REQUEST_ID [LOG_FILE ...]", exitBadInput)
			}
			story, err := readStory(c.Args().First(), c.Args().Tail())
			if err != nil {
				return err
			}
			if err := printStory(story, c.String("output")); err != nil {
				return err
			}
			if len(story.Lines) == 0 {
				return cli.Exit("", exitNoLines)
			}
			return nil
		},
	}
}

func readStory(id string, paths []string) (*explain.Story, error) {
	if len(paths) == 0 {
		return explain.Read(id, os.Stdin)
	}
	var logs []io.Reader
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, cli.Exit(errors.Wrap(err, "explain").Error(), exitBadInput)
		}
		defer file.Close()
		logs = append(logs, file)
	}
	return explain.Read(id, logs...)
}

func printStory(s *explain.Story, output string) error {
	if output == "json" {
		return json.NewEncoder(os.Stdout).Encode(s)
	}
	return s.Print(os.Stdout)
}
