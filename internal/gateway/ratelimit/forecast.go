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
	// bookedRanks is how many ranks are told apart among the callers that will retry: one for those of
	// starved classes, the others for urgencies.
	bookedRanks = 9
	// maxBookings bounds the callers that are expected to retry.
	maxBookings = 2000
	// bookingTolerance is by how much callers may miss the time that they were told.
	bookingTolerance = 200 * time.Millisecond
	// newcomerWindow is the time constant of the use by newcomers. minRateShare is the share of the rate
	// on which a caller can count whatever more urgent ones use: some of its class are always served.
	newcomerWindow = 2 * time.Second
	minRateShare   = 0.1
	// missedWeight is the weight of one caller in the share of callers that don't come back. That
	// share is known after about a second at ten callers a second.
	missedWeight = 1.0 / 8
	// idleSpacings and minIdleTime are the time without a lease request after which newcomers need not
	// wait for callers that have not come back yet, the former as a multiple of the spacing.
	idleSpacings = 2
	minIdleTime  = 100 * time.Millisecond
	// turnMargin is how long before a lease request callers are told to retry. It covers the jitter of
	// their delay and the time at a busy host, and is less than they wait.
	turnMargin = 100 * time.Millisecond
)

// rank returns the rank of a caller among those that will retry; 0 is served first.
func (w *waiter) rank() int {
	if w.starved {
		return 0
	}
	return min(max(w.request.Urgency, 0)+1, bookedRanks-1)
}

// bookings are the refused callers that are expected to retry.
type bookings struct {
	// list is in the order in which the callers were refused.
	list []booking
	// cost has the sums by rank, missed the recent share of callers that have not come back in
	// time. Both are kept for callers that were refused once and for those refused again, who are
	// less likely to come back.
	cost   [2][bookedRanks]float64
	missed [2]float64
}

// booking is one refused caller that is expected to retry.
type booking struct {
	due     time.Time
	cost    float64
	urgency int
	rank    int
	// refusals is 0 for a caller that was refused once, 1 for one refused again.
	refusals int
}

// add books a caller that will retry at a time.
func (b *bookings) add(w *waiter, due time.Time) {
	if len(b.list) == maxBookings {
		b.removeAt(0)
	}
	added := booking{due: due, cost: w.request.Cost, urgency: w.request.Urgency, rank: w.rank()}
	if w.request.IsRetry {
		added.refusals = 1
	}
	b.list = append(b.list, added)
	b.cost[added.refusals][added.rank] += added.cost
}

// arrive removes the booking of a caller that retries and reports whether there is one.
func (b *bookings) arrive(r *Request, now time.Time) bool {
	for i, o := range b.list {
		if o.cost == r.Cost && o.urgency == r.Urgency && !o.due.After(now.Add(bookingTolerance)) {
			b.removeAt(i)
			b.missed[o.refusals] -= b.missed[o.refusals] * missedWeight
			return true
		}
	}
	return false
}

// expire removes the bookings of callers that have not come back in time. Later ones that are due
// earlier may be removed late.
func (b *bookings) expire(now time.Time) {
	for len(b.list) > 0 && now.Sub(b.list[0].due) > bookingTolerance {
		missed := &b.missed[b.list[0].refusals]
		*missed += (1 - *missed) * missedWeight
		b.removeAt(0)
	}
}

func (b *bookings) removeAt(i int) {
	removed := b.list[i]
	b.list = slices.Delete(b.list, i, i+1)
	b.cost[removed.refusals][removed.rank] -= removed.cost
	if len(b.list) == 0 {
		b.cost = [2][bookedRanks]float64{}
	}
}

// before returns the expected cost of the callers that precede newcomers of a rank.
func (b *bookings) before(rank int) float64 {
	sum := 0.0
	for refusals, costs := range b.cost {
		for _, cost := range costs[:rank+1] {
			sum += cost * (1 - b.missed[refusals])
		}
	}
	return sum
}

// newcomerUse is the recent use by callers that were not refused before, in tokens per second by
// rank. Callers of lower ranks can't count on these tokens.
type newcomerUse struct {
	perSecond [bookedRanks]float64
	at        time.Time
}

func (u *newcomerUse) add(w *waiter, now time.Time) {
	if w.request.IsRetry {
		return
	}
	if elapsed := now.Sub(u.at); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / newcomerWindow.Seconds())
		for i := range u.perSecond {
			u.perSecond[i] *= factor
		}
		u.at = now
	}
	u.perSecond[w.rank()] += w.request.Cost / newcomerWindow.Seconds()
}

// before returns the use by callers of higher ranks.
func (u *newcomerUse) before(rank int, now time.Time) float64 {
	sum := 0.0
	for _, perSecond := range u.perSecond[:rank] {
		sum += perSecond
	}
	return sum * math.Exp(-now.Sub(u.at).Seconds()/newcomerWindow.Seconds())
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
		before += c.booked.before(w.rank())
	}
	rate = math.Max(rate-c.newcomers.before(w.rank(), now), minRateShare*rate)
	return wait + Limit{PerSecond: rate}.refillTime(before)
}

// isHeldBack reports whether a caller comes after those that will retry. It does not if no tokens have
// been requested for some time although that is allowed: the others have not come back.
func (c *credit) isHeldBack(w *waiter, now time.Time) bool {
	return !w.request.IsRetry && now.Sub(c.requestedAt) < max(idleSpacings*c.spacing, minIdleTime)
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
		reserve = math.Min(c.booked.before(w.rank()), rate*returnReserve.Seconds())
	}
	return reserve == 0 || c.available(now) >= w.request.Cost+reserve
}

// overdraftShare is the part of its rate that an entry may admit without tokens, overdraftTime the time for
// which it accrues. It is small against the tolerance of a limit, since the coordinator learns of it late.
const (
	overdraftShare = 0.1
	overdraftTime  = 3 * time.Second
)

// overdraftAllowance is how much may be admitted without tokens as of a time.
type overdraftAllowance struct {
	tokens float64
	at     time.Time
}

func (a *overdraftAllowance) accrue(rate float64, now time.Time) {
	most := overdraftShare * rate * overdraftTime.Seconds()
	a.tokens = math.Min(a.tokens+overdraftShare*rate*math.Max(now.Sub(a.at).Seconds(), 0), most)
	a.at = now
}

// isWithinShare reports whether the class of a request asks for less than its share of the entry's rate.
func (c *credit) isWithinShare(r *Request, now time.Time) bool {
	rate := c.currentRate(now)
	return rate > 0 && !r.HasAlternative && c.classes.isWithinShare(r.Class, rate)
}

// overdraw admits a request without tokens if its class asks for less than its share of the entry's rate.
// Without that, short calls would be refused as often as the long prompts that use up the limit, although
// all of them together cost hardly anything.
func (c *credit) overdraw(r *Request, now time.Time) bool {
	if !c.isWithinShare(r, now) {
		return false
	}
	c.allowance.accrue(c.currentRate(now), now)
	if c.allowance.tokens < r.Cost {
		return false
	}
	c.allowance.tokens -= r.Cost
	c.overdraft += r.Cost
	return true
}

// refuse returns the refusal of a caller and books its retry.
func (c *credit) refuse(w *waiter, delay time.Duration, source Source, now time.Time) Decision {
	delay = min(max(c.nextTurn(delay, now), minRetryDelay), maxRetryDelay)
	if delay <= w.request.MaxWait && !w.request.HasAlternative {
		c.booked.add(w, now.Add(delay))
	}
	c.refused++
	return Decision{Source: source, Level: c.level, RetryAfter: delay}
}

// nextTurn returns the time shortly before the first lease request that is allowed after a delay. Where
// requests are rare, a caller that comes between two of them could not wait for the next.
func (c *credit) nextTurn(delay time.Duration, now time.Time) time.Duration {
	hold := max(c.nextRequestAt.Sub(now), 0)
	if c.spacing <= maxTokenWait || delay < hold || c.currentRate(now) <= 0 {
		return delay
	}
	turns := math.Ceil(float64(delay-hold) / float64(c.spacing))
	return hold + time.Duration(turns*float64(c.spacing)) - turnMargin
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
	if c.queue.first() == nil && c.mayRequest(now) {
		// Otherwise an entry that refuses all callers by an old response would never ask again.
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
		c.recordServed(w, now)
		w.decided <- Decision{Admitted: true, Source: source, Level: c.level, expiresAt: now.Add(leaseDuration / 2)}
	}
}

func (c *credit) recordServed(w *waiter, now time.Time) {
	c.admitted++
	if c.currentRate(now) > 0 {
		c.newcomers.add(w, now)
	}
	c.classes.serve(&w.request)
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
