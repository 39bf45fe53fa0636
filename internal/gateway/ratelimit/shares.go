package ratelimit

import (
	"math"
	"time"
)

const (
	// maxRequestRate is the number of lease requests per second for one bucket that its coordinator
	// asks for at most. An entry with a seventh of a core spends a sixth of it on them.
	maxRequestRate = 200
	// highRequestRate is the number of lease requests per second from which the coordinator spaces
	// them although the bucket is not short.
	highRequestRate = 300
	// minSpacing is the least time between two lease requests of an entry while a bucket is short.
	// Callers hardly notice it, and small fleets need no more messages.
	minSpacing = 20 * time.Millisecond
	// maxNextDelay is the longest time after which an entry is to send its next request. Leases are
	// reported before they expire.
	maxNextDelay = time.Second
	// activeTime is how long an entry's last request counts for the division of the rate.
	activeTime = 2500 * time.Millisecond
	// shortLevel is the part of the capacity below which the rate is divided among the entries.
	// Above it, all that is asked for is granted.
	shortLevel = 0.25
	// shortDemand is the demand, as a part of the rate, up to which a low bucket refills by itself, as
	// after a change of the coordinator.
	shortDemand = 0.9
	// targetLevel is the part of the capacity at which the shares add up to the rate. They are
	// reduced below it to minShareFactor, so that the bucket has tokens for each entry whose turn it
	// is, and increased above it to maxShareFactor, so that shares that entries don't use are used by
	// others.
	targetLevel    = 0.025
	minShareFactor = 0.9
	maxShareFactor = 2
	// maxSaved and maxOwed are the limits of what an entry may be behind or ahead of its share.
	maxSaved = time.Second
	maxOwed  = 10 * time.Second
)

// holderShare is an entry's share of a bucket that is short.
type holderShare struct {
	demand float64
	// balance is the tokens that the entry is behind its share; negative if it is ahead.
	balance   float64
	updatedAt time.Time
}

// bucketTotals are the sums over a bucket's holders.
type bucketTotals struct {
	// leased is how many leased tokens entries may still use.
	leased float64
	// demand and holders are the sum of the demands and the number of the entries that sent a request
	// recently.
	demand  float64
	holders int
}

func (b *bucket) totals(now time.Time) bucketTotals {
	t := bucketTotals{}
	for _, h := range b.holders {
		if len(h.leases)+len(h.callerLeases) > 0 {
			t.leased += h.leased(now)
		}
		if now.Sub(h.lastSeenAt) < activeTime {
			t.holders++
			t.demand += h.share.demand
		}
	}
	return t
}

// spacing returns the time between two lease requests of an entry with which the coordinator gets at
// most maxRequestRate.
func (b *bucket) spacing(holders int) time.Duration {
	return min(max(time.Duration(holders)*time.Second/maxRequestRate, minSpacing), maxNextDelay)
}

// handleShared decides on the request of an entry on behalf of its waiting callers. All tokens count
// against the burst until they are used or expire.
//
// While the bucket is short, each entry has a balance that grows in proportion to its demand. An entry
// whose balance is positive gets the whole cost of its first caller and may be ahead of its share
// afterwards. A large request therefore waits no longer than a small one.
func (b *bucket) handleShared(h *holder, req LeaseRequest, totals bucketTotals, limit Limit, now time.Time) LeaseResponse {
	b.admitted += uint64(req.Admitted)
	b.refused += uint64(req.Refused)
	part := req.Demand / math.Max(totals.demand, req.Demand)
	short := b.level < shortLevel*limit.capacity() && totals.demand > shortDemand*limit.PerSecond
	b.updateBalance(h, part, totals, short, limit, now)

	resp := LeaseResponse{ID: req.ID}
	floor := req.Floor * limit.capacity()
	left := req.RequestCost
	if left > 0 && b.level > floor && (!short || h.share.balance > 0) {
		resp.Admitted, left = true, 0
		b.leaseForCaller(h, req.RequestCost, now)
		h.share.balance -= req.RequestCost
	}
	if left == 0 && req.Ahead > 0 {
		resp.Leased = b.grantShared(h, req, part, short, limit, now)
	}
	if left > 0 {
		resp.RetryDelay = limit.refillTime(floor-b.level) + minRetryDelay
		if short {
			resp.RetryDelay = max(resp.RetryDelay, limit.Scaled(part).refillTime(-h.share.balance)+minRetryDelay)
		}
	}
	if short || b.requests.isHigh(now) {
		resp.NextDelay = min(max(b.spacing(totals.holders), resp.RetryDelay), maxNextDelay)
	}
	if short {
		resp.Rate = limit.PerSecond * part
	}
	resp.Level = b.level
	return resp
}

// updateBalance adds the entry's share of the rate since its last request to its balance.
func (b *bucket) updateBalance(h *holder, part float64, totals bucketTotals, short bool, limit Limit, now time.Time) {
	s := &h.share
	elapsed := now.Sub(s.updatedAt)
	if s.updatedAt.IsZero() || elapsed > activeTime {
		elapsed = b.spacing(totals.holders)
	}
	s.updatedAt = now
	if !short {
		s.balance = 0
		return
	}
	factor := math.Min(math.Max(1+(b.level/limit.capacity()-targetLevel)/shortLevel, minShareFactor), maxShareFactor)
	rate := limit.PerSecond * part
	s.balance += rate * factor * elapsed.Seconds()
	s.balance = math.Min(math.Max(s.balance, -rate*maxOwed.Seconds()), rate*maxSaved.Seconds())
}

// grantShared leases tokens for callers that wait behind the first one, and ahead. While the bucket is
// short these are what the entry is behind its share.
func (b *bucket) grantShared(h *holder, req LeaseRequest, part float64, short bool, limit Limit, now time.Time) float64 {
	tokens := math.Min(h.share.balance, b.level)
	if !short {
		spare := b.level - shortLevel*limit.capacity()
		tokens = math.Min(req.Queued, spare)
		leasable := unleasedShare * limit.capacity()
		ahead := math.Min(b.level-tokens-leasable, math.Max(part*leasable-h.leased(now), req.Demand*leaseAheadTime.Seconds()))
		tokens += math.Max(math.Min(ahead, req.Ahead-req.Queued), 0)
	}
	tokens = math.Floor(math.Min(tokens, req.Ahead))
	if tokens <= 0 {
		return 0
	}
	b.lease(h, tokens, now)
	h.share.balance -= tokens
	return tokens
}

// requestRate counts a bucket's lease requests in periods of requestPeriod.
type requestRate struct {
	periodStart     time.Time
	count, previous int
}

const requestPeriod = 500 * time.Millisecond

func (r *requestRate) add(now time.Time) {
	r.advance(now)
	r.count++
}

func (r *requestRate) advance(now time.Time) {
	elapsed := now.Sub(r.periodStart)
	if elapsed < requestPeriod {
		return
	}
	r.previous = r.count
	if elapsed >= 2*requestPeriod {
		r.previous = 0
	}
	r.periodStart, r.count = now, 0
}

// isHigh reports whether more requests than highRequestRate arrive.
func (r *requestRate) isHigh(now time.Time) bool {
	r.advance(now)
	return max(r.previous, r.count) > int(highRequestRate*requestPeriod.Seconds())
}
