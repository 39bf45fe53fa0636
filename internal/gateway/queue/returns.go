package queue

import "time"

const (
	// unknownRetryAfter is the retry delay while nothing is known about when requests are placed, and
	// unknownInterval the time between the returns of two callers then.
	unknownRetryAfter = 300 * time.Millisecond
	unknownInterval   = 5 * time.Millisecond
	// minRetryAfter is the shortest retry delay.
	minRetryAfter = 50 * time.Millisecond
	// stoppingRetryAfter is the retry delay while the process stops: another entry takes the request
	// at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// maxRemembered bounds the refused callers that are remembered. It covers the refusals of 20 s at
	// the rate of a busy entry.
	maxRemembered = 4096
	// rememberedFor is how long a refused caller is remembered after it is due.
	rememberedFor = 30 * time.Second
	// earlyTolerance is how much earlier than told a caller may return: delays are stated in
	// milliseconds.
	earlyTolerance = 5 * time.Millisecond
)

// scheduleReturn returns the delay after which the caller of a refused item is to come back: the
// expected wait for its place in order, after the returns that are already due. A caller that would
// not wait for so long is told the same, so that it does not return early, but takes no turn.
func (l *line) scheduleReturn(it *Item, wait time.Duration, now time.Time) time.Duration {
	interval := unknownInterval
	if wait == Unknown {
		wait = unknownRetryAfter
	} else if rate := l.meter.rate(it.Urgency); rate > 0 {
		interval = fromSeconds(it.Cost / rate)
	}
	at := now.Add(wait)
	if next := l.returns[it.Urgency]; next.After(at) && !next.After(now.Add(maxForecast)) {
		at = next
	}
	delay := at.Sub(now)
	if delay <= it.callerWait(now) {
		l.returns[it.Urgency] = at.Add(interval)
	}
	return max(delay, minRetryAfter)
}

// refusedCaller is a caller that was told to come back.
type refusedCaller struct {
	firstArrival, due time.Time
}

// refusedCallers remembers the callers that were refused last.
type refusedCallers struct {
	byKey map[uint64]refusedCaller
	// keys is a ring of the remembered keys, oldest at next once it is full.
	keys []uint64
	next int
}

func (r *refusedCallers) remember(key uint64, c refusedCaller) {
	if key == 0 {
		return
	}
	if r.byKey == nil {
		r.byKey = map[uint64]refusedCaller{}
	}
	r.byKey[key] = c
	if len(r.keys) < maxRemembered {
		r.keys = append(r.keys, key)
		return
	}
	if r.keys[r.next] != key {
		delete(r.byKey, r.keys[r.next])
	}
	r.keys[r.next] = key
	r.next = (r.next + 1) % maxRemembered
}

// claim forgets a caller. It returns whether the caller was remembered, and what was.
func (r *refusedCallers) claim(key uint64, now time.Time) (refusedCaller, bool) {
	c, ok := r.byKey[key]
	delete(r.byKey, key)
	return c, ok && now.Before(c.due.Add(rememberedFor))
}

// classify decides whether an item returns at the time that its caller was told. Callers that return
// early count as new.
func (q *Queue) classify(it *Item, now time.Time) {
	c, known := q.refused.claim(it.Key, now)
	if known {
		it.Returned, it.FirstArrival = !now.Add(earlyTolerance).Before(c.due), c.firstArrival
	}
	if !it.Returned || it.FirstArrival.IsZero() {
		it.FirstArrival = it.Arrived
	}
}
