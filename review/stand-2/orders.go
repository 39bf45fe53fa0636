package main

import (
	"fmt"
	"time"
)

const (
	orderEntries = 4
	orderEngines = 9
	// leaseTime is LeaseMs of the deployment.
	leaseTime = 3 * time.Second
	// cutLength is how long one machine is cut off from all others.
	cutLength = 12 * time.Second
	// Times of the new versions, from the start of the cut.
	secondVersionAt = 7500 * time.Millisecond
	thirdVersionAt  = 9500 * time.Millisecond
	rolloutTime     = 8 * time.Second
)

// runOrders restarts one entry while it is cut off from all other machines, and names new weights. It checks
// who orders the engines to load them.
func runOrders(d *deployment, trouble bool) ([]string, error) {
	group, err := d.startEngines(orderEngines, 10, 20*time.Millisecond)
	if err != nil {
		return nil, err
	}
	if err := d.declare(1, nil); err != nil {
		return nil, err
	}
	entries, err := d.start(orderEntries, orderEngines)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	d.nameVersion(2)
	if err := await(2*rolloutTime, "all engines have version 2", func() bool { return group.haveVersion(2) }); err != nil {
		return nil, err
	}
	d.rec.note("all engines have version 2")
	cut := time.Now()
	if trouble {
		last := orderEntries - 1
		entries[last].kill()
		d.rec.note("%s is killed, and starts again cut off from all other machines; it reaches the store and the engines", entries[last].name)
		if _, err := d.startEntry(last, isolatedMeshPort); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(cut.Add(secondVersionAt)))
	d.nameVersion(3)
	time.Sleep(time.Until(cut.Add(thirdVersionAt)))
	d.nameVersion(4)
	time.Sleep(time.Until(cut.Add(cutLength)))
	return group.checkOrders(), nil
}

func (d *deployment) nameVersion(version int64) {
	d.store.SetWantedVersion(modelName, version)
	d.rec.note("the store has acknowledged version %d of the weights", version)
}

func (g *engines) haveVersion(version int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.all {
		if e.version != version || e.busy {
			return false
		}
	}
	return true
}

// checkOrders checks the orders to each engine in the order of their arrival: no two holders have one token,
// no lower token follows a higher one, and no holder gives an order, another one next, and the first one again,
// each within the lease time of the one before.
func (g *engines) checkOrders() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var violations []string
	for _, e := range g.all {
		var last, beforeLast *order
		highest := &order{}
		for i := range g.orders {
			o := &g.orders[i]
			if o.engine != e.id {
				continue
			}
			what := fmt.Sprintf("%s: the order of %s for version %d with token %d (status %d)", e.id, o.holder, o.version, o.token, o.status)
			if o.token < highest.token {
				violations = append(violations, fmt.Sprintf("%s follows the higher token %d of %s", what, highest.token, highest.holder))
			}
			if o.token == highest.token && o.holder != highest.holder {
				violations = append(violations, fmt.Sprintf("%s has the token of %s", what, highest.holder))
			}
			if beforeLast != nil && beforeLast.holder == o.holder && last.holder != o.holder && o.at.Sub(last.at) < leaseTime && last.at.Sub(beforeLast.at) < leaseTime {
				violations = append(violations, fmt.Sprintf("%s comes %v after one of %s, and that %v after the one before", what, o.at.Sub(last.at).Round(time.Millisecond), last.holder, last.at.Sub(beforeLast.at).Round(time.Millisecond)))
			}
			if o.token > highest.token {
				highest = o
			}
			last, beforeLast = o, last
		}
	}
	return violations
}
