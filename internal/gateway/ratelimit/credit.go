package ratelimit

import (
	"math"
	"time"
)

const (
	// leaseAheadTime is how much an entry leases ahead, as time at its current demand.
	leaseAheadTime = 400 * time.Millisecond
	// demandWindow is the time constant of the demand average.
	demandWindow = time.Second
	// leaseAheadThreshold is the part of the amount to lease ahead below which more is
	// requested.
	leaseAheadThreshold = 0.5
	// leaseAheadInterval is the least time between two requests that only lease ahead.
	leaseAheadInterval = 100 * time.Millisecond
	// maxReportDelay is how long use may stay unreported. The coordinator counts it against
	// the burst until then.
	maxReportDelay = 250 * time.Millisecond
	// refusalCacheTime bounds how long a coordinator's refusal also applies to other callers
	// without another request.
	refusalCacheTime = 100 * time.Millisecond
	// alternativeCacheTime is the same for requests that can go elsewhere.
	alternativeCacheTime = time.Second
)

// credit is the tokens that an entry holds of one bucket, with their use and the demand. All
// times are of one clock, which includes time that the host was suspended.
type credit struct {
	leases []heldLease
	// spent is the total use of leases, reported the part of it reported to the coordinator.
	spent, reported float64
	// unreportedSince is the time of the first use that was not reported.
	unreportedSince time.Time
	// refunded is the cost of admitted requests that did not run, to be sent to the
	// coordinator.
	refunded float64
	// overdraft is the use beyond granted tokens that was not reported.
	overdraft float64
	// demand is the average use per second as of demandAt.
	demand   float64
	demandAt time.Time
	// refusedUntil is until when callers that do not retry are refused without a request;
	// retryAt is when such a caller would be admitted. Both apply to floors from refusedFloor on.
	refusedUntil, retryAt time.Time
	refusedFloor          float64
	// requestedAt is the time of the last lease request, lastUsedAt of the last caller's
	// request.
	requestedAt, lastUsedAt time.Time
}

// heldLease is a lease as its holder sees it.
type heldLease struct {
	tokens    float64
	expiresAt time.Time
}

// available returns the leased tokens that may be used, and removes expired leases.
func (c *credit) available(now time.Time) float64 {
	left, sum := c.leases[:0], 0.0
	for _, l := range c.leases {
		if l.tokens > 0 && now.Before(l.expiresAt) {
			left, sum = append(left, l), sum+l.tokens
		}
	}
	c.leases = left
	return sum
}

// spend takes a cost from the leases and reports whether they had enough tokens.
func (c *credit) spend(cost float64, now time.Time) bool {
	if c.available(now) < cost {
		return false
	}
	left := cost
	for i := range c.leases {
		used := math.Min(left, c.leases[i].tokens)
		c.leases[i].tokens -= used
		left -= used
	}
	if c.spent == c.reported {
		c.unreportedSince = now
	}
	c.spent += cost
	return true
}

// undoSpend returns the cost of a request that did not run to the leases, unless it was
// reported already.
func (c *credit) undoSpend(cost float64, expiresAt time.Time) {
	if c.spent-c.reported < cost {
		return
	}
	c.spent -= cost
	c.leases = append(c.leases, heldLease{tokens: cost, expiresAt: expiresAt})
}

// recordDemand adds a request to the demand.
func (c *credit) recordDemand(cost float64, now time.Time) {
	c.demand = c.currentDemand(now) + cost/demandWindow.Seconds()
	c.demandAt, c.lastUsedAt = now, now
}

func (c *credit) currentDemand(now time.Time) float64 {
	return c.demand * math.Exp(-now.Sub(c.demandAt).Seconds()/demandWindow.Seconds())
}

// ahead returns how many more tokens to lease ahead.
func (c *credit) ahead(now time.Time) float64 {
	return math.Max(c.currentDemand(now)*leaseAheadTime.Seconds()-c.available(now), 0)
}

// shouldLeaseAhead reports whether to lease tokens ahead although no request waits for them.
func (c *credit) shouldLeaseAhead(now time.Time) bool {
	target := c.currentDemand(now) * leaseAheadTime.Seconds()
	return c.available(now) < leaseAheadThreshold*target && now.Sub(c.requestedAt) >= leaseAheadInterval && !now.Before(c.refusedUntil)
}

// reportDue reports whether there is use or a refund to report.
func (c *credit) reportDue(now time.Time) bool {
	return c.spent > c.reported && now.Sub(c.unreportedSince) >= maxReportDelay || c.refunded > 0 || c.overdraft > 0
}

// newRequest returns a lease request for a waiting request's cost; with a cost of zero it only
// leases ahead. Refunds and overdrafts are cleared before the message is sent, so a lost message
// loses them.
func (c *credit) newRequest(id uint32, cost float64, now time.Time) LeaseRequest {
	req := LeaseRequest{ID: id, RequestCost: cost, Ahead: c.ahead(now), Spent: c.spent, Refunded: c.refunded, Overdraft: c.overdraft}
	c.reported, c.refunded, c.overdraft, c.requestedAt = c.spent, 0, 0, now
	return req
}

// addLease adds the tokens leased by a response to a request sent at sentAt.
func (c *credit) addLease(resp LeaseResponse, sentAt time.Time) {
	if resp.Leased > 0 {
		c.leases = append(c.leases, heldLease{tokens: resp.Leased, expiresAt: sentAt.Add(leaseDuration)})
	}
}

// recordRefusal records that a request was refused and would be admitted after a delay.
func (c *credit) recordRefusal(floor float64, retryDelay, cacheTime time.Duration, now time.Time) {
	c.refusedUntil, c.retryAt, c.refusedFloor = now.Add(min(retryDelay, cacheTime)), now.Add(retryDelay), floor
}

// isRefused reports whether a request with a floor is refused without asking the coordinator.
func (c *credit) isRefused(floor float64, now time.Time) bool {
	return now.Before(c.refusedUntil) && floor >= c.refusedFloor
}
