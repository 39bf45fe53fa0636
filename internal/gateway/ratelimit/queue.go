package ratelimit

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// maxWaiters bounds the callers that wait for the tokens of one bucket at an entry.
	maxWaiters = 1000
	// maxTokenWait and maxTokenWaitShare bound how long a caller waits for tokens: a time that it
	// hardly notices, and a quarter of the time that it has, which is three times MaxWait.
	maxTokenWait      = 250 * time.Millisecond
	maxTokenWaitShare = 0.25 * 3
	// alternativeWait is how long a request that can go elsewhere waits for a response.
	alternativeWait = 100 * time.Millisecond
)

// waiter is a caller that waits for tokens.
type waiter struct {
	request  Request
	sequence uint64
	// starved is set if few of the requests of its class are served, or if its class asks for less than
	// its share.
	starved  bool
	deadline time.Time
	// decided receives the decision.
	decided chan Decision
}

// maxWait returns how long the request waits for tokens at most.
func (r *Request) maxWait() time.Duration {
	if r.HasAlternative {
		return alternativeWait
	}
	return min(maxTokenWait, time.Duration(maxTokenWaitShare*float64(r.MaxWait)))
}

// precedes reports whether a caller is served before another one. A class of which hardly any
// request is served comes first, since its callers would otherwise never be served beside a flood
// that precedes them.
func (w *waiter) precedes(o *waiter) bool {
	switch {
	case w.starved != o.starved:
		return w.starved
	case w.request.Urgency != o.request.Urgency:
		return w.request.Urgency < o.request.Urgency
	case w.request.Floor != o.request.Floor:
		return w.request.Floor < o.request.Floor
	case w.request.IsRetry != o.request.IsRetry:
		return w.request.IsRetry
	default:
		return w.sequence < o.sequence
	}
}

// waitQueue holds the waiting callers of a bucket in the order in which they are served.
type waitQueue struct {
	waiters []*waiter
	cost    float64
}

// first returns the caller that is served next, or nil.
func (q *waitQueue) first() *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return q.waiters[0]
}

// waitsBeyond reports whether a caller waits for longer than until the given time.
func (q *waitQueue) waitsBeyond(at time.Time) bool {
	return slices.ContainsFunc(q.waiters, func(w *waiter) bool { return w.deadline.After(at) })
}

// add adds a caller and returns the last one if there are too many.
func (q *waitQueue) add(w *waiter) (dropped *waiter) {
	q.waiters = slices.Insert(q.waiters, q.position(w), w)
	q.cost += w.request.Cost
	if len(q.waiters) <= maxWaiters {
		return nil
	}
	last := q.waiters[len(q.waiters)-1]
	q.removeAt(len(q.waiters) - 1)
	return last
}

// position returns the number of callers that precede a caller.
func (q *waitQueue) position(w *waiter) int {
	return sort.Search(len(q.waiters), func(i int) bool { return w.precedes(q.waiters[i]) })
}

// costBefore returns the cost of the callers that precede a caller.
func (q *waitQueue) costBefore(w *waiter) float64 {
	sum := 0.0
	for _, o := range q.waiters {
		if !o.precedes(w) {
			break
		}
		sum += o.request.Cost
	}
	return sum
}

func (q *waitQueue) remove(w *waiter) {
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.removeAt(i)
	}
}

func (q *waitQueue) removeAt(i int) {
	q.cost -= q.waiters[i].request.Cost
	q.waiters = slices.Delete(q.waiters, i, i+1)
	if len(q.waiters) == 0 {
		q.cost = 0
	}
}

const (
	// classWindow is the time constant of the counts of a class. It covers a retry of its callers.
	classWindow = 5 * time.Second
	// starvedShare is the part of the share served of all requests below which a class is starved.
	// Each class is to get at least a quarter, with a margin for the delay of the correction.
	starvedShare = 0.5
	// minClassArrivals is how many recent requests of a class are needed for a judgement.
	minClassArrivals = 4
	// maxClasses bounds the classes that are counted.
	maxClasses = 256
)

// classCounts counts the recent requests of a bucket by class.
type classCounts struct {
	all       classCount
	byClass   map[string]*classCount
	decayedAt time.Time
}

// classCount counts requests, without retries, their cost, and those of them that were served.
type classCount struct{ arrived, served, cost float64 }

func (c *classCounts) arrive(r *Request, now time.Time) {
	c.decay(now)
	if r.Class == "" || r.IsRetry {
		return
	}
	class := c.byClass[r.Class]
	if class == nil && len(c.byClass) < maxClasses {
		if c.byClass == nil {
			c.byClass = map[string]*classCount{}
		}
		class = &classCount{}
		c.byClass[r.Class] = class
	}
	if class != nil {
		class.arrived++
		class.cost += r.Cost
		c.all.arrived++
	}
}

func (c *classCounts) serve(r *Request) {
	if class := c.byClass[r.Class]; class != nil {
		class.served++
		c.all.served++
	}
}

// decay reduces the counts. It does so in steps, so that most requests need not.
func (c *classCounts) decay(now time.Time) {
	elapsed := now.Sub(c.decayedAt)
	if elapsed < classWindow/10 {
		return
	}
	c.decayedAt = now
	factor := math.Exp(-elapsed.Seconds() / classWindow.Seconds())
	c.all.arrived, c.all.served = c.all.arrived*factor, c.all.served*factor
	for name, class := range c.byClass {
		class.arrived, class.served, class.cost = class.arrived*factor, class.served*factor, class.cost*factor
		if class.arrived < 0.01 {
			delete(c.byClass, name)
		}
	}
}

// isStarved reports whether much fewer requests of a class are served than of all.
func (c *classCounts) isStarved(name string) bool {
	class := c.byClass[name]
	if class == nil || class.arrived < minClassArrivals {
		return false
	}
	return class.served*c.all.arrived < starvedShare*c.all.served*class.arrived
}

// isWithinShare reports whether a class asks for no more than its part of a rate that is divided equally
// among the classes.
func (c *classCounts) isWithinShare(name string, perSecond float64) bool {
	class := c.byClass[name]
	if class == nil {
		return false
	}
	return class.cost*float64(len(c.byClass)) <= perSecond*classWindow.Seconds()
}
