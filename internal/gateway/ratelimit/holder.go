package ratelimit

import (
	"math"
	"time"
)

// holder is a bucket's state for one entry.
type holder struct {
	incarnation uint64
	spent       float64
	leases      []lease
	// callerLeases are the tokens for waiting callers. Their use is not reported.
	callerLeases []lease
	responses    [responseCacheSize]LeaseResponse
	next         int
	lastSeenAt   time.Time
	share        holderShare
}

type lease struct {
	tokens    float64
	grantedAt time.Time
}

// holder returns the state of an entry's incarnation. It replaces that of a previous one, whose
// leases count until they expire.
func (b *bucket) holder(from Holder, now time.Time) *holder {
	h := b.holders[from.Address]
	if h == nil {
		h = &holder{incarnation: from.Incarnation}
		b.holders[from.Address] = h
	}
	if h.incarnation != from.Incarnation {
		*h = holder{incarnation: from.Incarnation, leases: h.leases, callerLeases: h.callerLeases}
	}
	h.lastSeenAt = now
	return h
}

func (h *holder) cachedResponse(id uint32) (LeaseResponse, bool) {
	for _, resp := range h.responses {
		if resp.ID == id && id != 0 {
			return resp, true
		}
	}
	return LeaseResponse{}, false
}

func (h *holder) cacheResponse(resp LeaseResponse) {
	h.responses[h.next%responseCacheSize] = resp
	h.next++
}

// recordSpent applies an entry's report of its total use to its leases. Reports that arrive out
// of order are ignored.
func (h *holder) recordSpent(spent float64) {
	used := spent - h.spent
	if used <= 0 {
		return
	}
	h.spent = spent
	for i := range h.leases {
		tokens := math.Min(used, h.leases[i].tokens)
		h.leases[i].tokens -= tokens
		used -= tokens
	}
}

// leased returns how many leased tokens the entry may still use, and removes expired leases.
func (h *holder) leased(now time.Time) float64 {
	var held, forCallers float64
	h.leases, held = dropExpired(h.leases, now, leaseDuration+leaseGrace)
	h.callerLeases, forCallers = dropExpired(h.callerLeases, now, callerLeaseDuration+callerLeaseGrace)
	return held + forCallers
}

// dropExpired returns the leases that are not expired or used up, and their sum.
func dropExpired(leases []lease, now time.Time, duration time.Duration) ([]lease, float64) {
	left, sum := leases[:0], 0.0
	for _, l := range leases {
		if l.tokens > 0 && now.Sub(l.grantedAt) < duration {
			left, sum = append(left, l), sum+l.tokens
		}
	}
	return left, sum
}
