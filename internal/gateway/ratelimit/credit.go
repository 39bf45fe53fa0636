package ratelimit

import (
	"math"
	"time"
)

const (
	// aheadFor is the time for which an entry leases tokens ahead, at the rate at which its
	// callers use them lately.
	aheadFor = 400 * time.Millisecond
	// demandTime is the time over which that rate is averaged.
	demandTime = time.Second
	// leastAhead is the part of what is leased ahead below which more is asked for.
	leastAhead = 0.5
	// aheadPause is the least time between two questions for that alone.
	aheadPause = 100 * time.Millisecond
	// reportAfter is how long use may stay unreported: the coordinator counts it against the
	// burst until then.
	reportAfter = 250 * time.Millisecond
	// emptyFor is the longest time for which a coordinator's refusal is taken to hold for new
	// callers too, without asking again.
	emptyFor = 100 * time.Millisecond
)

// credit is what one entry holds of one workspace's tokens. Its methods are pure but for the
// record itself; times are of one clock, which counts the time that the host was suspended.
type credit struct {
	leases []holding
	// spent is all that was used of leases, reported what the coordinator was told of it.
	spent, reported float64
	spentAt         time.Time
	// returned is what is to be given back of needs that were not used.
	returned float64
	// extra is what was used beyond what was granted, and not told yet.
	extra float64
	// demand is the use per second, averaged, as of demandAt.
	demand   float64
	demandAt time.Time
	// emptyUntil is until when the bucket is taken to be empty, backAt when a new caller
	// would be admitted.
	emptyUntil, backAt time.Time
	// askedAt is when the coordinator was last asked, usedAt when a request last came.
	askedAt, usedAt time.Time
}

// holding is one lease as its holder sees it.
type holding struct {
	tokens float64
	until  time.Time
}

// stock is what may be used now.
func (c *credit) stock(now time.Time) float64 {
	left, sum := c.leases[:0], 0.0
	for _, l := range c.leases {
		if l.tokens > 0 && now.Before(l.until) {
			left, sum = append(left, l), sum+l.tokens
		}
	}
	c.leases = left
	return sum
}

// spend takes a request's cost out of what is leased, if that is enough.
func (c *credit) spend(cost float64, now time.Time) bool {
	if c.stock(now) < cost {
		return false
	}
	left := cost
	for i := range c.leases {
		part := math.Min(left, c.leases[i].tokens)
		c.leases[i].tokens -= part
		left -= part
	}
	if c.spent == c.reported {
		c.spentAt = now
	}
	c.spent += cost
	return true
}

// unspend takes a use back that did not come about. What was reported stays used.
func (c *credit) unspend(cost float64, until time.Time) {
	if c.spent-c.reported < cost {
		return
	}
	c.spent -= cost
	c.leases = append(c.leases, holding{tokens: cost, until: until})
}

// note counts a request towards the demand.
func (c *credit) note(cost float64, now time.Time) {
	c.demand = c.demandNow(now) + cost/demandTime.Seconds()
	c.demandAt, c.usedAt = now, now
}

func (c *credit) demandNow(now time.Time) float64 {
	return c.demand * math.Exp(-now.Sub(c.demandAt).Seconds()/demandTime.Seconds())
}

// want is how much more should be leased ahead.
func (c *credit) want(now time.Time) float64 {
	return math.Max(c.demandNow(now)*aheadFor.Seconds()-c.stock(now), 0)
}

// asksAhead reports whether tokens should be asked for although no request waits.
func (c *credit) asksAhead(now time.Time) bool {
	target := c.demandNow(now) * aheadFor.Seconds()
	return c.stock(now) < leastAhead*target && now.Sub(c.askedAt) >= aheadPause && !now.Before(c.emptyUntil)
}

// owesReport reports whether use was not reported for long.
func (c *credit) owesReport(now time.Time) bool {
	return c.spent > c.reported && now.Sub(c.spentAt) >= reportAfter || c.returned > 0 || c.extra > 0
}

// ask is the question for a request that waits; with a cost of zero only tokens are asked
// for ahead. What is given back leaves the record first: if the message is lost, so is it.
func (c *credit) ask(number uint32, cost float64, now time.Time) LeaseRequest {
	a := LeaseRequest{ID: number, RequestCost: cost, Ahead: c.want(now), Spent: c.spent, Refunded: c.returned, Overdraft: c.extra}
	c.reported, c.returned, c.extra, c.askedAt = c.spent, 0, 0, now
	return a
}

// take takes in an answer to a question that was asked at a time.
func (c *credit) take(a LeaseResponse, asked time.Time) {
	if a.Leased > 0 {
		c.leases = append(c.leases, holding{tokens: a.Leased, until: asked.Add(leaseFor)})
	}
}

// empty notes that a request was not admitted, and would be after a time.
func (c *credit) empty(wait time.Duration, now time.Time) {
	c.emptyUntil, c.backAt = now.Add(min(wait, emptyFor)), now.Add(wait)
}
