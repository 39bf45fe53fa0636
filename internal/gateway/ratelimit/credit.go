package ratelimit

import (
	"math"
	"time"
)

const (
	// leaseAheadTime is how much an entry leases ahead, as time at its current demand.
	leaseAheadTime = 400 * time.Millisecond
	// longLeaseAheadTime is the same for requests that can't go elsewhere. It covers the time for
	// which a coordinator that has crashed is not replaced.
	longLeaseAheadTime = 1600 * time.Millisecond
	// demandWindow is the time constant of the demand average.
	demandWindow = time.Second
	// leaseAheadThreshold is the part of the amount to lease ahead below which more is
	// requested.
	leaseAheadThreshold = 0.5
	// longLeaseAheadThreshold is the same for requests that can't go elsewhere.
	longLeaseAheadThreshold = 0.8
	// leaseAheadInterval is the least time between two requests that only lease ahead.
	leaseAheadInterval = 100 * time.Millisecond
	// maxReportDelay is how long use may stay unreported. The coordinator counts it against
	// the burst until then.
	maxReportDelay = 250 * time.Millisecond
	// alternativeCacheTime bounds how long a refusal of a request that can go elsewhere also applies
	// to others.
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
	refunded  float64
	allowance overdraftAllowance
	// slowGrantedAt is when the entry last granted tokens by itself.
	slowGrantedAt time.Time
	// overdraft is the use beyond granted tokens that was not reported.
	overdraft float64
	// demand is the average use per second as of demandAt.
	demand   float64
	demandAt time.Time
	// refusedUntil is until when callers that can go elsewhere are refused without a request;
	// retryAt is when a caller would be admitted. Both apply to floors from refusedFloor on.
	refusedUntil, retryAt time.Time
	refusedFloor          float64
	// requestedAt is the time of the last lease request, lastUsedAt of the last caller's
	// request.
	requestedAt, lastUsedAt time.Time

	// queue has the callers that wait for tokens, booked those that will retry.
	queue     waitQueue
	booked    bookings
	classes   classCounts
	newcomers newcomerUse
	// admitted and refused count the decisions since the last lease request.
	admitted, refused uint32
	// hasAlternative is set if the last caller could go elsewhere.
	hasAlternative bool
	// leasedAfterAnswer is the tokens available after the last response.
	leasedAfterAnswer float64
	// level and rate are those of the last response, of answeredAt.
	level, rate float64
	answeredAt  time.Time
	contact     contact
	// nextRequestAt is when the coordinator allows the next lease request, after spacing.
	nextRequestAt time.Time
	spacing       time.Duration
	// timer calls Limiter.tick at timerAt, if that is set.
	timer   *time.Timer
	timerAt time.Time
}

// heldLease is a lease as its holder sees it.
type heldLease struct {
	tokens    float64
	expiresAt time.Time
	// unreported is set if the use of the tokens is not reported to the coordinator.
	unreported bool
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
	left, spent := cost, 0.0
	for i := range c.leases {
		used := math.Min(left, c.leases[i].tokens)
		c.leases[i].tokens -= used
		left -= used
		if !c.leases[i].unreported {
			spent += used
		}
	}
	if c.spent == c.reported {
		c.unreportedSince = now
	}
	c.spent += spent
	return true
}

// undoSpend returns the cost of a request that did not run to the leases, unless it was
// reported already. It reports whether it did.
func (c *credit) undoSpend(cost float64, expiresAt time.Time) bool {
	if c.spent-c.reported < cost {
		return false
	}
	c.spent -= cost
	c.leases = append(c.leases, heldLease{tokens: cost, expiresAt: expiresAt})
	return true
}

// recordDemand adds a request to the demand.
func (c *credit) recordDemand(cost float64, now time.Time) {
	c.demand = c.currentDemand(now) + cost/demandWindow.Seconds()
	c.demandAt, c.lastUsedAt = now, now
}

func (c *credit) currentDemand(now time.Time) float64 {
	if now.Equal(c.demandAt) {
		return c.demand
	}
	return c.demand * math.Exp(-now.Sub(c.demandAt).Seconds()/demandWindow.Seconds())
}

// aheadTarget returns how many tokens to hold for later requests.
func (c *credit) aheadTarget(now time.Time) float64 {
	if c.hasAlternative {
		return c.currentDemand(now) * leaseAheadTime.Seconds()
	}
	return c.currentDemand(now) * longLeaseAheadTime.Seconds()
}

// ahead returns how many more tokens to lease ahead.
func (c *credit) ahead(now time.Time) float64 {
	return math.Max(c.aheadTarget(now)-c.available(now), 0)
}

// shouldLeaseAhead reports whether to lease tokens ahead although no request waits for them. A
// bucket that has less than the target is not asked again for the difference, since it
// would refuse that again.
func (c *credit) shouldLeaseAhead(now time.Time) bool {
	if now.Before(c.nextRequestAt) || now.Before(c.refusedUntil) {
		return false
	}
	// While the bucket is short, tokens ahead are requested with those for waiting callers only: a
	// request without one would use up the entry's share, and large requests would hardly be served.
	if c.currentRate(now) > 0 || now.Sub(c.requestedAt) < leaseAheadInterval {
		return false
	}
	target, threshold := c.aheadTarget(now), leaseAheadThreshold
	if !c.hasAlternative {
		threshold = longLeaseAheadThreshold
		target = math.Min(target, c.leasedAfterAnswer)
	}
	return c.available(now) < threshold*target
}

// requestDue reports whether to repeat the pending lease request or to lease tokens ahead.
func (c *credit) requestDue(now time.Time) bool {
	if p := c.contact.pending; p != nil {
		return !now.Before(p.retransmitAt)
	}
	return c.shouldLeaseAhead(now)
}

// reportDue reports whether there is use or a refund to report.
func (c *credit) reportDue(now time.Time) bool {
	return c.spent > c.reported && now.Sub(c.unreportedSince) >= maxReportDelay || c.refunded > 0 || c.overdraft > 0
}

// newRequest returns a lease request for a waiting request's cost; with a cost of zero it only
// leases ahead. Refunds and overdrafts are cleared before the message is sent; undoRequest restores
// them.
func (c *credit) newRequest(id uint32, cost float64, now time.Time) LeaseRequest {
	req := LeaseRequest{ID: id, RequestCost: cost, Ahead: c.ahead(now), Spent: c.spent, Refunded: c.refunded, Overdraft: c.overdraft}
	c.reported, c.refunded, c.overdraft, c.requestedAt = c.spent, 0, 0, now
	return req
}

// newQueueRequest returns a lease request for the waiting callers.
func (c *credit) newQueueRequest(id uint32, now time.Time) LeaseRequest {
	first := c.queue.first()
	if first == nil {
		req := c.newRequest(id, 0, now)
		c.describeDemand(&req, now)
		return req
	}
	req := c.newRequest(id, math.Max(math.Ceil(first.request.Cost-c.available(now)), 1), now)
	req.IsRetry, req.MaxWait, req.Floor = first.request.IsRetry, first.request.MaxWait, first.request.Floor
	req.Queued = c.queue.cost - first.request.Cost
	req.Ahead += req.Queued
	c.describeDemand(&req, now)
	return req
}

// describeDemand adds the demand to a lease request. Requests that can go elsewhere keep no share of
// the bucket: its coordinator admits them as they come.
func (c *credit) describeDemand(req *LeaseRequest, now time.Time) {
	if c.hasAlternative {
		return
	}
	req.Demand = math.Max(c.currentDemand(now), 1)
	req.Admitted, req.Refused = c.admitted, c.refused
	c.admitted, c.refused = 0, 0
}

// undoRequest restores what a lease request reported that its receiver has not counted.
func (c *credit) undoRequest(req LeaseRequest) {
	c.refunded += req.Refunded
	c.overdraft += req.Overdraft
}

// addLease adds the tokens leased by a response to a request sent at sentAt.
func (c *credit) addLease(resp LeaseResponse, sentAt time.Time) {
	if resp.Leased > 0 {
		c.leases = append(c.leases, heldLease{tokens: resp.Leased, expiresAt: sentAt.Add(leaseDuration)})
	}
}

// addGrant adds the tokens of a response. Those for the first of the waiting callers are not reported
// as used: the coordinator counts them for a fixed time.
func (c *credit) addGrant(p *pendingRequest, resp LeaseResponse) {
	if resp.Admitted && p.request.RequestCost > 0 {
		c.leases = append(c.leases, heldLease{tokens: p.request.RequestCost, expiresAt: p.sentAt.Add(callerLeaseDuration), unreported: true})
	}
	if resp.Leased > 0 {
		c.leases = append(c.leases, heldLease{tokens: resp.Leased, expiresAt: p.sentAt.Add(leaseDuration), unreported: p.fallback})
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

// forgetRefusal ends the refusal of another entry than the coordinator.
func (c *credit) forgetRefusal() { c.refusedUntil, c.retryAt = time.Time{}, time.Time{} }
