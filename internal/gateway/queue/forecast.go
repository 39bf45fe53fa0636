package queue

import (
	"math"
	"time"
)

const (
	// rateWindow is the time over which placements are averaged. An entry of the smallest size
	// places some twenty requests in it under load; a shorter one would forecast noise.
	rateWindow = 2 * time.Second
	// minMeasured is how long requests must have waited within the window before there is a forecast.
	minMeasured = 250 * time.Millisecond
	// rateLifetime is how long a rate is used after the last request has waited. It is the usual time
	// between bursts of a busy service; the engines may have changed since.
	rateLifetime = 10 * time.Second
	// maxForecast bounds forecasts.
	maxForecast = 30 * time.Second
)

// meter measures the cost placed per second while requests wait. While none waits, the placements
// show only what callers ask for.
type meter struct {
	placed [Urgencies]float64
	// measured is the length of the measurement, in seconds.
	measured float64
	at       time.Time
	idle     time.Duration
}

// advance takes the time since the last event into account. contended tells whether requests waited
// in that time.
func (m *meter) advance(now time.Time, contended bool) {
	elapsed := now.Sub(m.at)
	m.at = now
	if elapsed <= 0 {
		return // also when the clock has jumped back
	}
	if !contended {
		if m.idle += elapsed; m.idle > rateLifetime {
			m.placed, m.measured = [Urgencies]float64{}, 0
		}
		return
	}
	m.idle = 0
	decay := math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	for u := range m.placed {
		m.placed[u] *= decay
	}
	m.measured = m.measured*decay + rateWindow.Seconds()*(1-decay)
}

// rate returns the cost placed per second of an urgency and all less urgent ones; zero if unknown.
func (m *meter) rate(urgency int) float64 {
	if m.measured < minMeasured.Seconds() {
		return 0
	}
	sum := 0.0
	for _, placed := range m.placed[urgency:] {
		sum += placed
	}
	return sum / m.measured
}

// outlook is what is known about when an entry is placed.
type outlook struct {
	// ahead is the cost ahead of the entry, position its approximate place in order, from 1.
	ahead    float64
	position int
	// wait is the expected wait, or Unknown.
	wait time.Duration
}

// outlook returns the outlook of an entry that is in line.
//
// More urgent requests are placed at the rate of all. The requests of the entry's urgency get what
// more urgent arrivals leave: the rate of this urgency and of those that it precedes.
func (l *line) outlook(e *entry) outlook {
	f, c := e.flow, e.flow.class
	urgent, position := 0.0, 1
	for _, other := range l.classes[:c.urgency] {
		urgent += other.cost
		position += other.waiting
	}
	own, n := f.order.ahead(e)
	weight := f.workspace.weight
	distance := max(f.tag-c.time, 0) + own/weight
	others := max(min(c.cost-f.cost(), distance*(c.weight-weight)), 0)
	position += n
	if rest := c.cost - f.cost(); rest > 0 {
		position += int(float64(c.waiting-f.size()) * min(others/rest, 1))
	}
	o := outlook{ahead: urgent + own + others, position: position, wait: Unknown}
	all, rest := l.meter.rate(0), l.meter.rate(c.urgency)
	if rest <= 0 {
		return o
	}
	wait := urgent/all + (own+others+e.Cost)/rest
	if floor := f.workspace.floor; floor > 0 {
		wait = min(wait, (own+e.Cost)/(floor*all))
	}
	o.wait = fromSeconds(wait)
	return o
}

func fromSeconds(s float64) time.Duration {
	return time.Duration(min(s, maxForecast.Seconds()) * float64(time.Second))
}

// minLateFactor is how many objectives away a deadline must be for a late answer to be of use. A
// caller whose deadline is nearer gives up soon after its objective.
const minLateFactor = 3

// latestOnTime returns the latest placement that meets the item's objective; limited is false if it
// has none.
func (it *Item) latestOnTime() (latest time.Time, limited bool) {
	if it.Objective.IsZero() {
		return time.Time{}, false
	}
	return it.Objective.Add(-it.FirstEvent), true
}

// latest returns the latest placement that is of use to the caller.
func (it *Item) latest() time.Time {
	end := it.Deadline.Add(-it.ExpectedRun)
	onTime, limited := it.latestOnTime()
	if !limited || it.Deadline.Sub(it.Arrived) >= minLateFactor*it.Objective.Sub(it.Arrived) || end.Before(onTime) {
		return end
	}
	return onTime
}

// callerWait is how long the caller waits before it retries, if a Retry-After is longer: a third of
// the time that it has left.
func (it *Item) callerWait(now time.Time) time.Duration { return max(it.Deadline.Sub(now), 0) / 3 }

// canRetry reports whether the caller could still be served in time if it were refused now.
func (it *Item) canRetry(now time.Time) bool {
	return it.Deadline.Sub(now)-it.callerWait(now) > it.ExpectedRun
}

// assess returns how long an entry may wait before it is assessed again, or the reason to refuse it.
func (e *entry) assess(o outlook, now time.Time) (until time.Time, refuse Reason) {
	latest := e.latest()
	if !now.Before(latest) {
		return time.Time{}, TooLate
	}
	again := now.Add(max(e.callerWait(now), minAssessment))
	if again.After(latest) || !e.canRetry(now) {
		again = latest
	}
	if o.wait != Unknown && now.Add(o.wait).After(latest) {
		return time.Time{}, TooLate
	}
	if o.wait == Unknown && e.canRetry(now) {
		end := e.queuedAt.Add(min(e.Deadline.Sub(e.queuedAt)/3, maxUnknownWait))
		if !now.Before(end) {
			return time.Time{}, NoForecast
		}
		again = minTime(again, end)
	}
	return again, ""
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// maxUnknownWait is the longest wait while nothing is known about when requests are placed. Loads of
// weights take less; callers without a deadline would otherwise wait 40 s for a service without targets.
const maxUnknownWait = 5 * time.Second

// minAssessment is the least time between two assessments of an entry.
const minAssessment = 20 * time.Millisecond
