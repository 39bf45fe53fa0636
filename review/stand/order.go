package main

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	orderEvents = 40
	// orderLine is the length of the data lines.
	orderLine    = 4096
	orderEngines = 4
	orderStreams = 12
	orderEntry   = 40
	orderBudget  = 15 * time.Second
)

// runOrder ends one of four engines while streams that may be resumed run, and compares what callers
// read with what the engines write for their requests.
func runOrder(root, folder string, rec *record, trouble bool) ([]string, error) {
	d, err := startDeployment(root, rec, filepath.Join(folder, "manifest.json"), hostIP(orderEntry)+":18783")
	if err != nil {
		return nil, err
	}
	defer d.close()
	var engines []*process
	for i := range orderEngines {
		e, err := d.startEngine(10+i, fmt.Sprintf("i-engine-%d", i), "engines", "-model", "m", "-work", "80ms", "-gap", "100ms", "-events", fmt.Sprint(orderEvents), "-line", fmt.Sprint(orderLine))
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
		if err := d.startSidecar(10+i, "engines"); err != nil {
			return nil, err
		}
	}
	if err := d.startEntry(orderEntry, func(*process) {}); err != nil {
		return nil, err
	}
	if err := d.awaitReady(orderEntry); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var wait sync.WaitGroup
	var mu sync.Mutex
	var broken []string
	begun := 0
	for range orderStreams {
		wait.Go(func() {
			r := &request{id: newID(), path: "/check/1", budget: orderBudget, prompt: "1000,200", model: "m"}
			rec.add("%s sent", r.id)
			a := send(orderEntry, r)
			rec.add("%s got status %d, %d bytes, complete: %t, error: %v", r.id, a.status, len(a.body), a.complete, a.err)
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 {
				begun++
			}
			if problem := checkOrder(r.id, &a); problem != "" {
				broken = append(broken, problem)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	if trouble {
		time.Sleep(time.Second)
		rec.add("%s is killed", engines[0].name)
		_ = engines[0].cmd.Process.Kill()
	}
	wait.Wait()
	rec.add("%d of %d streams began", begun, orderStreams)
	if begun < orderStreams {
		return nil, fmt.Errorf("only %d of %d streams began", begun, orderStreams)
	}
	return broken, nil
}

// checkOrder compares what a caller read with what the engines write for the request. An answer that is
// broken off is no fault: what it holds must be in order.
func checkOrder(id string, a *answer) string {
	if a.status != 200 {
		return ""
	}
	read := events(a.body)
	for i, e := range read {
		want := eventText(id, i+1, orderEvents, orderLine)
		if got := strings.Join(e.data, "\n"); e.id != fmt.Sprint(i+1) || got != want {
			at := bytes.Index(a.body, []byte(fmt.Sprintf("\nid: %s\n", e.id)))
			return fmt.Sprintf("%s: in place of event %d the caller reads one with id %s and %d data lines of %d bytes; around byte %d: %q", id, i+1, e.id, len(e.data), len(got), at, a.body[max(at-12, 0):min(at+24, len(a.body))])
		}
	}
	if a.complete && len(read) < orderEvents {
		return fmt.Sprintf("%s: the stream ends as complete after %d of %d events", id, len(read), orderEvents)
	}
	return ""
}
