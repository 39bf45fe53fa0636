// Command stand runs the scripts of the review: it plays the platform, its targets and its callers, and
// starts the router's own programs as processes.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// script is one case. It returns what breaks the rule.
type script func(root, folder string, rec *record, trouble bool) (broken []string, err error)

var scripts = map[string]script{"order": runOrder, "stop": runStop}

func main() {
	switch {
	case len(os.Args) > 1 && os.Args[1] == "engine":
		runEngine(os.Args[2:])
	case len(os.Args) == 4 && scripts[os.Args[1]] != nil:
		os.Exit(run(scripts[os.Args[1]], os.Args[2], os.Args[3]))
	default:
		fmt.Fprintln(os.Stderr, "usage: stand order|stop ROOT FOLDER, or stand engine FLAGS")
		os.Exit(exitNotRun)
	}
}

// maxDuration bounds a script.
const maxDuration = 110 * time.Second

// runLimited runs a script and ends its processes when it takes too long or is stopped.
func runLimited(s script, root, folder string, rec *record, trouble bool) ([]string, error) {
	type result struct {
		broken []string
		err    error
	}
	signals, done := make(chan os.Signal, 1), make(chan result, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		broken, err := s(root, folder, rec, trouble)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		return r.broken, r.err
	case <-time.After(maxDuration):
	case <-signals:
	}
	started.kill()
	return nil, errors.New("was stopped, or took too long")
}

// run runs a script and writes its record.
func run(s script, root, folder string) int {
	rec := newRecord()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("begins at %s, trouble: %t", time.Now().UTC().Format(time.RFC3339), trouble)
	broken, err := runLimited(s, root, folder, rec, trouble)
	code := exitHeld
	switch {
	case err != nil:
		rec.add("not run: %v", err)
		code = exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			rec.add("BROKEN: %s", b)
		}
		code = exitBroken
	default:
		rec.add("the rule held")
	}
	fmt.Printf("exit %d, %d breaks\n", code, len(broken))
	if err := rec.write(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}
