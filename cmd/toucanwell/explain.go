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

// exitRequestNotFound is the exit code when no log line mentions the request.
const exitRequestNotFound = 4

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain the handling of one request from the logs of any number of processes",
		ArgsUsage: "REQUEST_ID|PRINT [LOG_FILE ...]",
		Description: "Reads the files in any order, or standard input if none is given. Prints the decisions about the\n" +
			"request with their inputs, the state changes at its entry from 5 s before, and its quarantine status.\n" +
			"A PRINT is the request's fingerprint from its log lines; it selects all attempts of the caller.\n" +
			"Exit code 4: no log line mentions the request.",
		Flags: []cli.Flag{outputFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 1 {
				return cli.Exit("request ID is missing; usage: toucanwell explain REQUEST_ID|PRINT [LOG_FILE ...]", exitBadInput)
			}
			story, err := readStory(c.Args().First(), c.Args().Tail())
			if err != nil {
				return err
			}
			if err := printStory(story, c.String("output")); err != nil {
				return err
			}
			if len(story.Lines) == 0 {
				return cli.Exit("", exitRequestNotFound)
			}
			return nil
		},
	}
}

func readStory(id string, paths []string) (*explain.Story, error) {
	logs, closeLogs, err := openLogs(paths)
	if err != nil {
		return nil, err
	}
	defer closeLogs()
	return explain.Read(id, logs...)
}

// openLogs opens the log files, or returns standard input if there are none.
func openLogs(paths []string) (logs []io.Reader, closeLogs func(), err error) {
	if len(paths) == 0 {
		return []io.Reader{os.Stdin}, func() {}, nil
	}
	var files []*os.File
	closeLogs = func() {
		for _, file := range files {
			_ = file.Close() // opened for reading only
		}
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			closeLogs()
			return nil, nil, cli.Exit(errors.Wrap(err, "logs").Error(), exitBadInput)
		}
		files = append(files, file)
		logs = append(logs, file)
	}
	return logs, closeLogs, nil
}

func printStory(s *explain.Story, output string) error {
	if output == "json" {
		return json.NewEncoder(os.Stdout).Encode(s)
	}
	return s.Print(os.Stdout)
}
