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

// exitRequestNotFound tells that no log line tells of the request.
const exitRequestNotFound = 4

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell one request's story from the logs of any number of processes",
		ArgsUsage: "REQUEST_ID|PRINT [LOG_FILE ...]",
		Description: "Reads the files, or standard input when none is named, in any order. Prints what was decided about\n" +
			"the request with the inputs, what its entry had learned in the 5 s before, and what is held against\n" +
			"it. A print, as on the request's lines, stands for all tries of its caller.\n" +
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

// openLogs opens log files, or standard input when none is named.
func openLogs(paths []string) (logs []io.Reader, closeLogs func(), err error) {
	if len(paths) == 0 {
		return []io.Reader{os.Stdin}, func() {}, nil
	}
	var files []*os.File
	closeLogs = func() {
		for _, file := range files {
			_ = file.Close() // it was only read
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
