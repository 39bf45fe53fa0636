// Command stand-2 runs the cases of the second review: it starts the project's processes on loopback
// addresses, plays their platform, servers and clients, and checks one rule of the platform's pages.
//
// Usage: stand-2 CASE FOLDER TROUBLE, in the root of the repository. It writes FOLDER/record.txt and exits with 1
// if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE 0 it leaves out the
// disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// maxRunTime ends a case that hangs.
	maxRunTime = 110 * time.Second
)

// scenario is one case. It returns the violations of the rule that it found.
type scenario func(d *deployment, trouble bool) (violations []string, err error)

var scenarios = map[string]scenario{
	"orders":  runOrders,
	"late":    runLate,
	"memory":  runMemory,
	"wall":    runWall,
	"stale":   runStale,
	"smuggle": runSmuggle,
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE FOLDER TROUBLE")
		os.Exit(exitNotRun)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2], os.Args[3] != "0"))
}

func run(s scenario, folder string, trouble bool) int {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	d, err := newDeployment(rec)
	if err != nil {
		rec.note("not run: %v", err)
		return exitNotRun
	}
	defer d.close()
	type result struct {
		violations []string
		err        error
	}
	done := make(chan result, 1)
	go func() {
		violations, err := s(d, trouble)
		done <- result{violations, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var r result
	select {
	case r = <-done:
	case sig := <-signals:
		r.err = fmt.Errorf("ended by signal %v", sig)
	case <-time.After(maxRunTime):
		r.err = fmt.Errorf("not done after %v", maxRunTime)
	}
	if r.err != nil {
		rec.note("not run: %v", r.err)
		return exitNotRun
	}
	for _, v := range r.violations {
		rec.note("BROKEN: %s", v)
	}
	rec.note("disruption: %t; violations: %d", trouble, len(r.violations))
	if len(r.violations) > 0 {
		return exitBroken
	}
	return exitHeld
}
