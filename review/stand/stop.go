package main

import (
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// firstStopped and lastStopped are the hosts of the entries, in the order in which they are stopped,
	// with stopGap between them.
	firstStopped, lastStopped = 41, 40
	stopGap                   = time.Second
	// gracePeriod is the time from SIGTERM to SIGKILL, lastSixth the part of it in which the rule excuses
	// requests that were sent no later than excusedUntil after SIGTERM.
	gracePeriod  = 8 * time.Second
	excusedUntil = 3 * time.Second
	// shortWork is the time to the first event of a short prompt; its last comes 0.2 s later.
	shortWork    = 1600 * time.Millisecond
	shortBudget  = 2500 * time.Millisecond
	shortEngines = 9
	longEngines  = 3
	longBudget   = 15 * time.Second
	sendInterval = 25 * time.Millisecond
	// leastServed is the least number of whole answers of a run that says anything: two thirds of the
	// short prompts of the seconds before the stops.
	leastServed = 100
)

// balancer is the platform's balancer as its page describes it: it asks each entry once a second whether
// it is ready, takes it out after two misses, and uses all of them if none is left.
type balancer struct {
	hosts  []int
	mu     sync.Mutex
	misses map[int]int
}

func newBalancer(hosts ...int) *balancer { return &balancer{hosts: hosts, misses: map[int]int{}} }

func (b *balancer) run(ended <-chan struct{}) {
	for {
		for _, host := range b.hosts {
			ready := isReady(host)
			b.mu.Lock()
			if b.misses[host]++; ready {
				b.misses[host] = 0
			}
			b.mu.Unlock()
		}
		select {
		case <-ended:
			return
		case <-time.After(time.Second):
		}
	}
}

// pick returns the entry for a caller.
func (b *balancer) pick(caller int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []int
	for _, host := range b.hosts {
		if b.misses[host] < 2 {
			in = append(in, host)
		}
	}
	if len(in) == 0 {
		in = b.hosts
	}
	return in[caller%len(in)]
}

// stops are the times at which entries got SIGTERM.
type stops struct {
	mu sync.Mutex
	at map[int]time.Time
}

func (s *stops) get(host int) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.at[host]
	return at, ok
}

// runStop stops two entries in turn, while callers keep sending prompts that take their engines 1.8 s.
func runStop(root, folder string, rec *record, trouble bool) ([]string, error) {
	d, err := startDeployment(root, rec, filepath.Join(folder, "manifest.json"), hostIP(firstStopped)+":18783", hostIP(lastStopped)+":18783")
	if err != nil {
		return nil, err
	}
	defer d.close()
	for i := range shortEngines {
		if err := startPair(d, 10+i, fmt.Sprintf("i-short-%d", i), "short-engines", "-model", "m", "-work", shortWork.String(), "-gap", "100ms", "-events", "3"); err != nil {
			return nil, err
		}
	}
	for i := range longEngines {
		if err := startPair(d, 30+i, fmt.Sprintf("i-long-%d", i), "long-engines", "-model", "n", "-work", "400ms", "-gap", "150ms", "-events", "76"); err != nil {
			return nil, err
		}
	}
	var mu sync.Mutex
	running := map[int]*process{}
	for _, host := range []int{firstStopped, lastStopped} {
		if err := d.startEntry(host, func(p *process) {
			mu.Lock()
			defer mu.Unlock()
			running[host] = p
		}); err != nil {
			return nil, err
		}
	}
	for _, host := range []int{firstStopped, lastStopped} {
		if err := d.awaitReady(host); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	s := &stops{at: map[int]time.Time{}}
	ended := make(chan struct{})
	vip := newBalancer(firstStopped, lastStopped)
	var background, callers sync.WaitGroup
	background.Go(func() { vip.run(ended) })
	time.Sleep(500 * time.Millisecond)
	c := &stopCallers{vip: vip, rec: rec, stops: s}
	background.Go(func() { c.keepSending(&callers, ended) })
	time.Sleep(4 * time.Second)
	if trouble {
		for i, host := range []int{firstStopped, lastStopped} {
			if i > 0 {
				time.Sleep(stopGap)
			}
			mu.Lock()
			p := running[host]
			mu.Unlock()
			s.mu.Lock()
			s.at[host] = time.Now()
			s.mu.Unlock()
			rec.add("entry-%d gets SIGTERM", host)
			p.signal(syscall.SIGTERM)
			time.AfterFunc(gracePeriod, func() { p.signal(syscall.SIGKILL) })
		}
	}
	time.Sleep(gracePeriod + 3*time.Second)
	close(ended)
	background.Wait()
	callers.Wait()
	rec.add("%d answers were whole", c.served)
	if c.served < leastServed {
		return nil, fmt.Errorf("only %d answers were whole, want %d", c.served, leastServed)
	}
	return c.broken, nil
}

// startPair starts an engine and its sidecar at a host.
func startPair(d *deployment, host int, instance, service string, args ...string) error {
	if _, err := d.startEngine(host, instance, service, args...); err != nil {
		return err
	}
	return d.startSidecar(host, service)
}

// stopCallers are the callers of runStop.
type stopCallers struct {
	vip    *balancer
	rec    *record
	stops  *stops
	mu     sync.Mutex
	broken []string
	// served counts the whole answers.
	served int
}

// keepSending sends a short prompt every sendInterval, and a long one every twentieth time.
func (c *stopCallers) keepSending(callers *sync.WaitGroup, ended <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-ended:
			return
		case <-time.After(sendInterval):
		}
		short := &request{id: newID(), path: "/short/1", budget: shortBudget, prompt: "2368,15", model: "m"}
		callers.Go(func() { c.call(n, short) })
		if n%20 == 0 {
			long := &request{id: newID(), path: "/long/1", budget: longBudget, prompt: "11992,380", model: "n"}
			callers.Go(func() { c.call(n/20, long) })
		}
	}
}

// call sends a request and judges the answer. A caller whose connection is refused goes to the other entry.
func (c *stopCallers) call(caller int, r *request) {
	host := c.vip.pick(caller)
	c.rec.add("%s sent to entry-%d (%s)", r.id, host, r.path)
	a := send(host, r)
	if errors.Is(a.err, syscall.ECONNREFUSED) {
		host = firstStopped + lastStopped - host
		c.rec.add("%s is refused a connection and goes to entry-%d", r.id, host)
		a = send(host, r)
	}
	c.rec.add("%s got status %d, %d bytes after %s, complete: %t, error: %v", r.id, a.status, len(a.body), a.took.Round(time.Millisecond), a.complete, a.err)
	if a.status >= 400 {
		c.rec.add("%s: %s", r.id, a.body)
	}
	problem := c.judge(host, r, &a)
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.status == 200 && a.complete {
		c.served++
	}
	if problem != "" {
		c.broken = append(c.broken, problem)
	}
}

// judge reports a request that the entry passed on and whose connection ended without a complete answer
// because the entry stopped.
func (c *stopCallers) judge(host int, r *request, a *answer) string {
	stoppedAt, stopped := c.stops.get(host)
	endedAt := a.sentAt.Add(a.took)
	switch {
	case !stopped, a.complete, a.took >= r.budget:
		return ""
	case endedAt.Before(stoppedAt), endedAt.After(stoppedAt.Add(gracePeriod + time.Second)):
		return ""
	case a.sentAt.Sub(stoppedAt) <= excusedUntil:
		return "" // its engine may be at work in the last sixth of the grace period
	case !c.rec.has(": runs " + r.id + " "):
		return "" // not passed on: a connection that was refused, or closed before the request was read
	}
	return fmt.Sprintf("%s was sent %.1f s after the SIGTERM of entry-%d, ran, and its connection ended after %s without a complete answer, %s before its deadline: %v",
		r.id, a.sentAt.Sub(stoppedAt).Seconds(), host, a.took.Round(time.Millisecond), (r.budget - a.took).Round(time.Millisecond), a.err)
}
