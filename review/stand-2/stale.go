package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	staleEntries = 4
	staleEngines = 5
	// versionTime is VersionMs of the deployment, contactTime its ContactMs.
	versionTime = 8 * time.Second
	contactTime = 3 * time.Second
	// restartAfter is when the entries start again, from the acknowledgement of the version.
	restartAfter = 12 * time.Second
	// staleClients is the number of clients that send to each entry, staleBurst that in a burst.
	staleClients = 50
	staleBurst   = 85
	staleBurstAt = contactTime + 500*time.Millisecond
)

// runStale lets one engine without a sidecar keep its weights, and restarts two of four entries long after new
// weights were named. It checks whether requests begin on the old weights.
func runStale(d *deployment, trouble bool) ([]string, error) {
	group, err := d.startEngines(staleEngines, 76, 30*time.Millisecond)
	if err != nil {
		return nil, err
	}
	if err := d.declare(1, nil); err != nil {
		return nil, err
	}
	entries, err := d.start(staleEntries, staleEngines-1)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	c := newClients(d)
	var running sync.WaitGroup
	end := make(chan struct{})
	for i := range staleEntries {
		for range staleClients {
			running.Go(func() { c.repeatPrompts(i, end) })
		}
	}
	time.Sleep(2 * time.Second)
	named := time.Now()
	d.nameVersion(2)
	time.Sleep(time.Until(named.Add(restartAfter)))
	if trouble {
		for i := range staleEntries / 2 {
			entries[i].kill()
			d.rec.note("%s is killed and starts again", entries[i].name)
			if _, err := d.startEntry(i, meshPort); err != nil {
				return nil, err
			}
		}
	}
	restarted := time.Now()
	time.Sleep(staleBurstAt)
	d.rec.note("burst: %d clients for each entry instead of %d", staleBurst, staleClients)
	burstEnd := make(chan struct{})
	for i := range staleEntries {
		for range staleBurst - staleClients {
			running.Go(func() { c.repeatPrompts(i, burstEnd) })
		}
	}
	time.Sleep(burstFor)
	close(burstEnd)
	time.Sleep(2 * time.Second)
	close(end)
	running.Wait()
	d.rec.note("%d requests were served", c.served)
	if c.served == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	var violations []string
	group.mu.Lock()
	defer group.mu.Unlock()
	for _, e := range group.all {
		for _, r := range e.runs {
			// All entries are in touch from ContactMs after the restart on.
			if r.version < 2 && r.at.Sub(named) > versionTime && (r.at.Before(restarted) || r.at.Sub(restarted) > contactTime) {
				violations = append(violations, fmt.Sprintf("%s: request %s begins on version %d, %v after version 2 was acknowledged", e.id, r.requestID, r.version, r.at.Sub(named).Round(time.Millisecond)))
			}
		}
	}
	return violations, nil
}
