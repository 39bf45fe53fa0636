package main

import (
	"fmt"
	"time"

	"github.com/toucanwell/toucanwell/platform/standin"
)

const (
	// sharedParts is a prompt that begins with parts that requests of all workspaces share.
	sharedParts = "5c1e07a2:800,91bd3f06:410,%08x:250"
	// applyTime is ConfigApplyMs of the deployment, with a margin.
	applyTime    = 2*time.Second + 500*time.Millisecond
	wallRequests = 6
)

// runWall isolates a workspace whose requests have made cached parts, and checks whether requests of another
// workspace use these parts afterwards.
func runWall(d *deployment, trouble bool) ([]string, error) {
	group, err := d.startEngines(2, 10, 20*time.Millisecond)
	if err != nil {
		return nil, err
	}
	if err := d.declare(1, nil); err != nil {
		return nil, err
	}
	if _, err := d.start(2, 2); err != nil {
		return nil, err
	}
	c := newClients(d)
	for i := range wallRequests {
		c.prompt(i%2, "town-key", i)
	}
	d.rec.note("town has made its parts")
	isolated := time.Now()
	if err := d.declare(2, func(config *standin.Config) { config.Tenants[0].Isolated = trouble }); err != nil {
		return nil, err
	}
	time.Sleep(applyTime)
	for i := range wallRequests {
		c.prompt(i%2, "fort-key", wallRequests+i)
	}
	if c.served < 2*wallRequests {
		return nil, fmt.Errorf("only %d of %d requests were served", c.served, 2*wallRequests)
	}
	if !trouble {
		return nil, nil // no workspace is isolated
	}
	group.mu.Lock()
	defer group.mu.Unlock()
	var violations []string
	for _, u := range group.uses {
		if u.maker != u.user && u.at.Sub(isolated) > applyTime {
			violations = append(violations, fmt.Sprintf("%s: request %s of %s uses part %s that a request of %s made, %v after the manifest that isolates town was acknowledged",
				u.engine, u.requestID, u.user, u.part, u.maker, u.at.Sub(isolated).Round(time.Millisecond)))
		}
	}
	return violations, nil
}
