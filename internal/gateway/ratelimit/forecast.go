package ratelimit

import (
	"math"
	"slices"
	"time"
)

const (
	// maxRateAge is how long the rate of the coordinator's last response counts.
	maxRateAge = 3 * time.Second
	// returnReserve is the tokens, as time at the entry's rate, that are kept for callers that were
	// told when to retry. Those that go elsewhere leave no more than that unused.
	returnReserve = 300 * time.Millisecond
	// bookedUrgencies is how many urgencies are told apart among the callers that will retry.
	bookedUrgencies = 8
	// maxBookings bounds the callers that are expected to retry.
	maxBookings = 2000
	// bookingTolerance is by how much callers may miss the time that they were told.
	bookingTolerance = 200 * time.Millisecond
	// missedWeight is the weight of one caller in the share of callers that don't come back. That
	// share is known after about a second at ten callers a second.
	missedWeight = 1.0 / 8
	// idleSpacings and minIdleTime are the time without a lease request after which newcomers need not
	// wait for callers that have not come back yet, the former as a multiple of the spacing.
	idleSpacings = 2
	minIdleTime  = 100 * time.Millisecond
)

// bookings are the refused callers that are expected to retry.
type bookings struct {
	// list is in the order in which the callers were refused; cost has its sums by urgency.
	list []booking
	cost [bookedUrgencies]float64
	// missed is the recent share of callers that have not come back in time.
	missed float64
}

// booking is one refused caller that is expected to retry.
type booking struct {
	due     time.Time
	cost    float64
	urgency int
}

func bookedUrgency(urgency int) int { return min(max(urgency, 0), bookedUrgencies-1) }

// add books a caller that will retry at a time.
func (b *bookings) add(r *Request, due time.Time) {
	if len(b.list) == maxBookings {
		b.removeAt(0)
	}
	added := booking{due: due, cost: r.Cost, urgency: bookedUrgency(r.Urgency)}
	b.list = append(b.list, added)
	b.cost[added.urgency] += added.cost
}

// arrive removes the booking of a caller that retries, if there is one.
func (b *bookings) arrive(r *Request, now time.Time) {
	for i, o := range b.list {
		if o.cost == r.Cost && o.urgency == bookedUrgency(r.Urgency) && !o.due.After(now.Add(bookingTolerance)) {
			b.removeAt(i)
			b.missed -= b.missed * missedWeight
			return
		}
	}
}

// expire removes the bookings of callers that have not come back in time. Later ones that are due
// earlier may be removed late.
func (b *bookings) expire(now time.Time) {
	for len(b.list) > 0 && now.Sub(b.list[0].due) > bookingTolerance {
		b.removeAt(0)
		b.missed += (1 - b.missed) * missedWeight
	}
}

func (b *bookings) removeAt(i int) {
	removed := b.list[i]
	b.list = slices.Delete(b.list, i, i+1)
	b.cost[removed.urgency] -= removed.cost
	if len(b.list) == 0 {
		b.cost = [bookedUrgencies]float64{}
	}
}

// before returns the expected cost of the callers that precede newcomers of an urgency.
func (b *bookings) before(urgency int) float64 {
	sum := 0.0
	for _, cost := range b.cost[:bookedUrgency(urgency)+1] {
		sum += cost
	}
	return sum * (1 - b.missed)
}

// currentRate returns the rate at which the entry gets tokens; zero if the bucket is not known to be
// short.
func (c *credit) currentRate(now time.Time) float64 {
	if now.Sub(c.answeredAt) > maxRateAge {
		return 0
	}
	return c.rate
}

// forecast returns the time after which a caller is expected to get its tokens, given the cost of the
// callers that precede it.
func (c *credit) forecast(w *waiter, before float64, now time.Time) time.Duration {
	wait := max(c.nextRequestAt.Sub(now), c.retryAt.Sub(now), 0)
	rate := c.currentRate(now)
	if rate <= 0 {
		return wait
	}
	before -= c.available(now)
	if c.isHeldBack(w, now) {
		c.booked.expire(now)
		before += c.booked.before(w.request.Urgency)
	}
	return wait + Limit{PerSecond: rate}.refillTime(before)
}

// isHeldBack reports whether a caller comes after those that will retry. It does not if no tokens have
// been requested for some time although that is allowed: the others have not come back.
func (c *credit) isHeldBack(w *waiter, now time.Time) bool {
	return !w.request.IsRetry && !w.starved && now.Sub(c.requestedAt) < max(idleSpacings*c.spacing, minIdleTime)
}

// mayUseLeases reports whether a caller may use leased tokens before it waits: no other precedes it, and
// enough is left for callers that will retry.
func (c *credit) mayUseLeases(w *waiter, now time.Time) bool {
	if first := c.queue.first(); first != nil && !w.precedes(first) {
		return false
	}
	reserve := 0.0
	if rate := c.currentRate(now); rate > 0 && c.isHeldBack(w, now) {
		c.booked.expire(now)
		reserve = math.Min(c.booked.before(w.request.Urgency), rate*returnReserve.Seconds())
	}
	return reserve == 0 || c.available(now) >= w.request.Cost+reserve
}

// refuse returns the refusal of a caller and books its retry.
func (c *credit) refuse(w *waiter, delay time.Duration, source Source, now time.Time) Decision {
	delay = min(max(delay, minRetryDelay), maxRetryDelay)
	if delay <= w.request.MaxWait && c.currentRate(now) > 0 {
		c.booked.add(&w.request, now.Add(delay))
	}
	c.refused++
	return Decision{Source: source, Level: c.level, RetryAfter: delay}
}

// refuseKnown refuses a caller that can't be served in the time for which it may wait.
func (c *credit) refuseKnown(w *waiter, now time.Time) (Decision, bool) {
	if w.request.HasAlternative && c.isRefused(w.request.Floor, now) {
		return c.refuse(w, c.retryAt.Sub(now), CachedRefusal, now), true
	}
	if w.request.HasAlternative {
		hold := c.nextRequestAt.Sub(now)
		if hold > w.deadline.Sub(now) {
			return c.refuse(w, hold, CachedRefusal, now), true
		}
		return Decision{}, false
	}
	delay := c.forecast(w, c.queue.costBefore(w), now)
	if delay <= w.deadline.Sub(now) {
		return Decision{}, false
	}
	return c.refuse(w, delay, CachedRefusal, now), true
}

// serve admits waiting callers in order while the leased tokens suffice.
func (c *credit) serve(source Source, now time.Time) {
	for w := c.queue.first(); w != nil && c.spend(w.request.Cost, now); w = c.queue.first() {
		c.queue.removeAt(0)
		c.recordServed(&w.request)
		w.decided <- Decision{Admitted: true, Source: source, Level: c.level, expiresAt: now.Add(leaseDuration / 2)}
	}
}

func (c *credit) recordServed(r *Request) {
	c.admitted++
	c.classes.serve(r)
}

// refuseHopeless refuses the waiting callers that can't be served in time after a response.
func (c *credit) refuseHopeless(source Source, now time.Time) {
	before := 0.0
	kept := c.queue.waiters[:0]
	for _, w := range c.queue.waiters {
		delay := c.forecast(w, before, now)
		hopeless := delay > w.deadline.Sub(now)
		if w.request.HasAlternative {
			hopeless = c.isRefused(w.request.Floor, now) || c.nextRequestAt.After(w.deadline)
		}
		if !hopeless {
			kept = append(kept, w)
			before += w.request.Cost
			continue
		}
		w.decided <- c.refuse(w, delay, source, now)
	}
	clear(c.queue.waiters[len(kept):])
	c.queue.waiters, c.queue.cost = kept, before
}
