package ratelimit

import (
	"math"
	"net/netip"
	"sync"
	"time"
)

const (
	// leaseFor is how long leased tokens may be used, and leaseMargin how much longer the
	// coordinator counts them: the holder counts from before it asked.
	leaseFor    = 2 * time.Second
	leaseMargin = 500 * time.Millisecond
	// leasedShare is the part of the bucket that leases leave for requests that ask: tokens
	// that lie leased at one entry are missing at the others.
	leasedShare = 0.5
	// reservedShare is the part of the bucket that is kept for callers who come back after a
	// refusal, while any were refused lately.
	reservedShare = 0.1
	// refusedLately is how long a refusal counts for that.
	refusedLately = time.Second
	// longestQueue bounds the time by which refused callers are told to come back one after
	// the other.
	longestQueue = 5 * time.Second
	// keepFor is how long a bucket or a holder is kept without a question.
	keepFor = time.Minute
	// answersKept is how many answers to one entry are kept, for questions that come twice.
	answersKept = 8
)

// Holder is one life of an entry.
type Holder struct {
	Address     netip.AddrPort
	Incarnation uint64
}

// Ask is what an entry asks of a workspace's coordinator.
type LeaseRequest struct {
	// Number names the question among those of its entry; one that comes twice is answered
	// twice and counted once.
	ID uint32
	// Need is the cost of a request that waits; zero for none.
	RequestCost float64
	// Want is what the entry would lease for the requests that follow.
	Ahead float64
	// Spent is all that the entry's life has used of leases, Returned what it gives back of
	// earlier needs that were not used.
	Spent    float64
	Refunded float64
	// Extra is what it used beyond what it was granted.
	Overdraft float64
	// ComesBack is set for a caller who was refused before.
	IsRetry bool
	// Patience is the longest time after which the caller would come back.
	MaxWait time.Duration
}

// Answer is what the coordinator says.
type LeaseResponse struct {
	ID uint32
	// Admitted is set when the request that waits may go on.
	Admitted bool
	// Leased tokens may be used for leaseFor from before the question.
	Leased float64
	// Wait is after what time a request that is not admitted would be.
	RetryDelay time.Duration
	// Level is what the bucket holds.
	Level float64
}

// Coordinator keeps the buckets of the workspaces that an entry coordinates. It decides by
// nothing but its arguments and its records. It is safe for concurrent use.
type Coordinator struct {
	// keep is how long a bucket is kept without a question.
	keep    time.Duration
	mu      sync.Mutex
	buckets map[string]*bucket
	sweptAt time.Time
}

// bucket is one workspace's.
type bucket struct {
	level   float64
	at      time.Time
	holders map[netip.AddrPort]*holder
	// queued is what refused callers were told to come back for, one after the other.
	queued    float64
	refusedAt time.Time
	used      uint64
	refused   uint64
}

// holder is what a bucket knows of one entry.
type holder struct {
	incarnation uint64
	spent       float64
	leases      []lease
	answers     [answersKept]LeaseResponse
	next        int
	heardAt     time.Time
}

type lease struct {
	tokens float64
	at     time.Time
}

// NewCoordinator returns one without buckets; one that is not asked for is kept for a time.
func NewCoordinator(keep time.Duration) *Coordinator {
	return &Coordinator{keep: keep, buckets: map[string]*bucket{}}
}

// Answer answers an entry's question about a workspace with a limit. A new bucket holds what
// the rate has brought since a time: nobody else has given any of it out since then.
func (c *Coordinator) Handle(workspace string, from Holder, ask LeaseRequest, limit Limit, since, now time.Time) LeaseResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	b := c.buckets[workspace]
	if b == nil {
		b = &bucket{at: since, holders: map[netip.AddrPort]*holder{}}
		c.buckets[workspace] = b
	}
	return b.answer(from, ask, limit, now)
}

func (b *bucket) answer(from Holder, ask LeaseRequest, limit Limit, now time.Time) LeaseResponse {
	h := b.holder(from, now)
	if known, ok := h.answered(ask.ID); ok {
		return known
	}
	h.report(ask.Spent)
	b.refill(limit, ask.Refunded, now)
	b.level -= ask.Overdraft
	a := LeaseResponse{ID: ask.ID}
	if ask.RequestCost > 0 {
		a.Admitted, a.RetryDelay = b.admit(ask, limit, now)
	}
	if a.Admitted || ask.RequestCost == 0 {
		a.Leased = b.lease(h, ask.Ahead, limit, now)
	}
	a.Level = b.level
	h.keep(a)
	return a
}

// refill adds what the rate has brought since the last time, and what was given back.
func (b *bucket) refill(limit Limit, returned float64, now time.Time) {
	brought := limit.PerSecond * math.Max(now.Sub(b.at).Seconds(), 0)
	b.level = math.Min(b.level+brought+returned, b.ceiling(limit, now))
	b.queued = math.Max(b.queued-brought, 0)
	b.at = now
}

// ceiling is how much the bucket may hold beside what is leased.
func (b *bucket) ceiling(limit Limit, now time.Time) float64 {
	return limit.size() - b.leased(now)
}

// leased is what entries may still use.
func (b *bucket) leased(now time.Time) float64 {
	sum := 0.0
	for _, h := range b.holders {
		sum += h.leased(now)
	}
	return sum
}

// admit takes a request's cost out of the bucket, or says when that would be possible.
//
// The bucket only has to hold something, and may go below zero by one request: a request
// that is larger than the burst is served, and large ones wait no longer than small ones.
func (b *bucket) admit(ask LeaseRequest, limit Limit, now time.Time) (bool, time.Duration) {
	floor := 0.0
	if !ask.IsRetry && now.Sub(b.refusedAt) < refusedLately {
		floor = reservedShare * limit.size()
	}
	if b.level > floor {
		b.level -= ask.RequestCost
		b.used++
		return true, 0
	}
	b.refused++
	b.refusedAt = now
	wait := limit.until(floor-b.level+b.queued) + leastWait
	if wait <= ask.MaxWait && b.queued < limit.PerSecond*longestQueue.Seconds() {
		b.queued += ask.RequestCost
	}
	return false, wait
}

// leastWait is the shortest time to come back: less is within the way of a message.
const leastWait = 5 * time.Millisecond

// lease leases some tokens, as long as enough are left for requests that ask.
func (b *bucket) lease(h *holder, want float64, limit Limit, now time.Time) float64 {
	tokens := math.Floor(math.Min(want, b.level-leasedShare*limit.size()))
	if tokens <= 0 {
		return 0
	}
	b.level -= tokens
	h.leases = append(h.leases, lease{tokens: tokens, at: now})
	return tokens
}

// holder returns the record of an entry's life; that of an earlier life is replaced, and
// what it had leased counts until it has lapsed.
func (b *bucket) holder(from Holder, now time.Time) *holder {
	h := b.holders[from.Address]
	if h == nil {
		h = &holder{incarnation: from.Incarnation}
		b.holders[from.Address] = h
	}
	if h.incarnation != from.Incarnation {
		*h = holder{incarnation: from.Incarnation, leases: h.leases}
	}
	h.heardAt = now
	return h
}

func (h *holder) answered(number uint32) (LeaseResponse, bool) {
	for _, a := range h.answers {
		if a.ID == number && number != 0 {
			return a, true
		}
	}
	return LeaseResponse{}, false
}

func (h *holder) keep(a LeaseResponse) {
	h.answers[h.next%answersKept] = a
	h.next++
}

// report takes in how much of its leases an entry has used. A report that comes late says
// less than is known.
func (h *holder) report(spent float64) {
	used := spent - h.spent
	if used <= 0 {
		return
	}
	h.spent = spent
	for i := range h.leases {
		part := math.Min(used, h.leases[i].tokens)
		h.leases[i].tokens -= part
		used -= part
	}
}

// leased is what the entry may still use, and forgets what has lapsed.
func (h *holder) leased(now time.Time) float64 {
	left, sum := h.leases[:0], 0.0
	for _, l := range h.leases {
		if l.tokens > 0 && now.Sub(l.at) < leaseFor+leaseMargin {
			left, sum = append(left, l), sum+l.tokens
		}
	}
	h.leases = left
	return sum
}

// Retain forgets the buckets of workspaces that this entry no longer coordinates.
func (c *Coordinator) Retain(mine func(workspace string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for workspace := range c.buckets {
		if !mine(workspace) {
			delete(c.buckets, workspace)
		}
	}
}

// Use is what a coordinator knows of one workspace.
type BucketStats struct {
	Workspace string
	// Level and Leased are tokens: in the bucket, and leased to entries.
	Level, Leased float64
	// Holders are the entries that asked lately.
	Holders int
	// Admitted and Refused count questions since the bucket was made.
	Admitted, Refused uint64
}

// Uses returns what is known of each workspace.
func (c *Coordinator) Stats(now time.Time) []BucketStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []BucketStats
	for workspace, b := range c.buckets {
		all = append(all, BucketStats{Workspace: workspace, Level: b.level, Leased: b.leased(now), Holders: len(b.holders), Admitted: b.used, Refused: b.refused})
	}
	return all
}

// sweep forgets what was not asked for in a long time.
func (c *Coordinator) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < c.keep {
		return
	}
	c.sweptAt = now
	for workspace, b := range c.buckets {
		if now.Sub(b.at) > c.keep {
			delete(c.buckets, workspace)
			continue
		}
		for address, h := range b.holders {
			if now.Sub(h.heardAt) > c.keep {
				delete(b.holders, address)
			}
		}
	}
}
