package ratelimit

import (
	"math"
	"net/netip"
	"sync"
	"time"
)

const (
	// leaseDuration is how long leased tokens may be used, counted from before the holder
	// sent its request. The coordinator counts them for leaseGrace longer.
	leaseDuration = 2 * time.Second
	leaseGrace    = 500 * time.Millisecond
	// callerLeaseDuration is how long the tokens for a waiting caller may be used, by another caller
	// if it has left. It is short because they count against the burst for all of that time, also
	// if they were used at once. The coordinator counts them for callerLeaseGrace longer.
	callerLeaseDuration = 500 * time.Millisecond
	callerLeaseGrace    = 100 * time.Millisecond
	// unleasedShare is the part of the bucket that is never leased ahead: tokens leased to
	// one entry are not available to the others.
	unleasedShare = 0.5
	// retryReserve is the part of the bucket reserved for callers that retry after a
	// refusal, for retryReserveTime after the last refusal.
	retryReserve     = 0.1
	retryReserveTime = time.Second
	// maxQueueTime bounds the queue by which refused callers get distinct retry delays.
	maxQueueTime = 5 * time.Second
	// defaultIdleTimeout is how long a bucket or a holder is kept without a request.
	defaultIdleTimeout = time.Minute
	// responseCacheSize is how many responses per entry are kept to respond to duplicate
	// requests.
	responseCacheSize = 8
)

// Holder is one incarnation of an entry.
type Holder struct {
	Address     netip.AddrPort
	Incarnation uint64
}

// LeaseRequest is an entry's request to a bucket's coordinator.
type LeaseRequest struct {
	// ID identifies the request among those of its entry. Duplicates get the same response
	// and are counted once.
	ID uint32
	// RequestCost is the cost of a request that waits for admission; zero for none.
	RequestCost float64
	// Ahead is how many tokens to lease for later requests.
	Ahead float64
	// Spent is the total use of leases by the entry's incarnation. Refunded is the cost of
	// admitted requests that did not run.
	Spent    float64
	Refunded float64
	// Overdraft is the use beyond granted tokens.
	Overdraft float64
	// IsRetry is set for a caller that was refused before.
	IsRetry bool
	// MaxWait is the longest time after which the caller would retry.
	MaxWait time.Duration
	// Floor is the share of the bucket's capacity that must be left for the waiting request to be
	// admitted. It leaves the last tokens to requests of a higher priority.
	Floor float64
	// Demand is the recent demand of the entry's callers, in tokens per second. If it is set,
	// RequestCost is the cost of the first of several waiting requests, and the tokens for it are
	// leased, too.
	Demand float64
	// Queued is the part of Ahead that is the cost of further waiting requests.
	Queued float64
	// Admitted and Refused count the requests that the entry has decided since its last lease
	// request, if Demand is set.
	Admitted, Refused uint32
}

// LeaseResponse is the coordinator's response to a LeaseRequest.
type LeaseResponse struct {
	ID uint32
	// Admitted is set if the waiting request is admitted.
	Admitted bool
	// Leased tokens may be used for leaseDuration from before the request was sent.
	Leased float64
	// RetryDelay is the time after which a refused request would be admitted.
	RetryDelay time.Duration
	// Level is the bucket's level.
	Level float64
	// NextDelay is the time after which the entry may send its next request for the bucket.
	NextDelay time.Duration
	// Rate is the number of tokens per second that the entry gets while the bucket is short; zero
	// while it is not.
	Rate float64
}

// Coordinator keeps the token buckets that an entry coordinates. Its decisions
// depend only on its arguments and its state. It is safe for concurrent use.
type Coordinator struct {
	// idleTimeout is how long a bucket or a holder is kept without a request.
	idleTimeout time.Duration
	mu          sync.Mutex
	buckets     map[string]*bucket
	evictedAt   time.Time
}

// bucket is the token bucket of one workspace or target.
type bucket struct {
	level      float64
	refilledAt time.Time
	holders    map[netip.AddrPort]*holder
	// queued is the cost of refused callers that are expected to retry.
	queued    float64
	refusedAt time.Time
	admitted  uint64
	refused   uint64
	requests  requestRate
}

// NewCoordinator returns a coordinator without buckets.
func NewCoordinator(idleTimeout time.Duration) *Coordinator {
	return &Coordinator{idleTimeout: idleTimeout, buckets: map[string]*bucket{}}
}

// Handle processes an entry's lease request for a bucket with a limit. A new bucket starts
// with what the rate has refilled since the given time, when this entry became the coordinator.
func (c *Coordinator) Handle(key string, from Holder, req LeaseRequest, limit Limit, since, now time.Time) LeaseResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evictIdle(now)
	b := c.buckets[key]
	if b == nil {
		b = &bucket{refilledAt: since, holders: map[netip.AddrPort]*holder{}}
		c.buckets[key] = b
	}
	return b.handle(from, req, limit, now)
}

func (b *bucket) handle(from Holder, req LeaseRequest, limit Limit, now time.Time) LeaseResponse {
	h := b.holder(from, now)
	if cached, ok := h.cachedResponse(req.ID); ok {
		return cached
	}
	h.recordSpent(req.Spent)
	h.share.demand = req.Demand
	totals := b.totals(now)
	b.refill(limit, req.Refunded, totals.leased, now)
	b.level -= req.Overdraft
	b.requests.add(now)
	if req.Demand > 0 {
		resp := b.handleShared(h, req, totals, limit, now)
		h.cacheResponse(resp)
		return resp
	}
	resp := LeaseResponse{ID: req.ID}
	if req.RequestCost > 0 {
		resp.Admitted, resp.RetryDelay = b.admit(req, limit, now)
	}
	if resp.Admitted || req.RequestCost == 0 {
		resp.Leased = b.grant(h, req.Ahead, limit, now)
	}
	resp.Level = b.level
	if short := req.RequestCost > 0 && !resp.Admitted; short || b.requests.isHigh(now) {
		resp.NextDelay = b.spacing(totals.holders)
	}
	h.cacheResponse(resp)
	return resp
}

// refill adds refunds and what the rate has accrued since the last refill, up to the bucket's capacity
// less the tokens that are leased.
func (b *bucket) refill(limit Limit, refunded, leased float64, now time.Time) {
	accrued := limit.PerSecond * math.Max(now.Sub(b.refilledAt).Seconds(), 0)
	b.level = math.Min(b.level+accrued+refunded, limit.capacity()-leased)
	b.queued = math.Max(b.queued-accrued, 0)
	b.refilledAt = now
}

// admit takes a request's cost from the bucket, or returns the delay after which a retry would
// be admitted.
//
// A request is admitted if the bucket holds anything at all, and may leave it below zero.
// Requests larger than the burst are therefore served, and wait no longer than small ones.
func (b *bucket) admit(req LeaseRequest, limit Limit, now time.Time) (bool, time.Duration) {
	floor := req.Floor * limit.capacity()
	if !req.IsRetry && now.Sub(b.refusedAt) < retryReserveTime {
		floor = math.Max(floor, retryReserve*limit.capacity())
	}
	if b.level > floor {
		b.level -= req.RequestCost
		b.admitted++
		return true, 0
	}
	b.refused++
	b.refusedAt = now
	retryDelay := limit.refillTime(floor-b.level+b.queued) + minRetryDelay
	if retryDelay <= req.MaxWait && b.queued < limit.PerSecond*maxQueueTime.Seconds() {
		b.queued += req.RequestCost
	}
	return false, retryDelay
}

// minRetryDelay is the shortest retry delay; shorter ones are within a message's latency.
const minRetryDelay = 5 * time.Millisecond

// grant leases up to the given number of tokens ahead, and leaves unleasedShare in the bucket.
func (b *bucket) grant(h *holder, ahead float64, limit Limit, now time.Time) float64 {
	tokens := math.Floor(math.Min(ahead, b.level-unleasedShare*limit.capacity()))
	if tokens <= 0 {
		return 0
	}
	b.lease(h, tokens, now)
	return tokens
}

// lease moves tokens from the bucket to a holder.
func (b *bucket) lease(h *holder, tokens float64, now time.Time) {
	b.level -= tokens
	h.leases = append(h.leases, lease{tokens: tokens, grantedAt: now})
}

// leaseForCaller moves the cost of a waiting caller from the bucket to a holder.
func (b *bucket) leaseForCaller(h *holder, tokens float64, now time.Time) {
	b.level -= tokens
	h.callerLeases = append(h.callerLeases, lease{tokens: tokens, grantedAt: now})
}

// Retain removes the buckets for which keep returns false.
func (c *Coordinator) Retain(keep func(key string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.buckets {
		if !keep(key) {
			delete(c.buckets, key)
		}
	}
}

// BucketStats describes one bucket.
type BucketStats struct {
	Key string
	// Level and Leased are the tokens in the bucket and those leased to entries.
	Level, Leased float64
	// Holders is the number of entries that sent requests recently.
	Holders int
	// Admitted and Refused count requests since the bucket was created.
	Admitted, Refused uint64
}

// Stats returns the stats of all buckets.
func (c *Coordinator) Stats(now time.Time) []BucketStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []BucketStats
	for key, b := range c.buckets {
		all = append(all, BucketStats{Key: key, Level: b.level, Leased: b.totals(now).leased, Holders: len(b.holders), Admitted: b.admitted, Refused: b.refused})
	}
	return all
}

// evictIdle removes buckets and holders without a request for idleTimeout.
func (c *Coordinator) evictIdle(now time.Time) {
	if now.Sub(c.evictedAt) < c.idleTimeout {
		return
	}
	c.evictedAt = now
	for key, b := range c.buckets {
		if now.Sub(b.refilledAt) > c.idleTimeout {
			delete(c.buckets, key)
			continue
		}
		for address, h := range b.holders {
			if now.Sub(h.lastSeenAt) > c.idleTimeout {
				delete(b.holders, address)
			}
		}
	}
}
