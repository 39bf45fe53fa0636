package queue

import "time"

// Queue orders the requests of an entry that wait for a target. Create it with New.
type Queue struct {
	policy   Policy
	lines    map[string]*line
	entries  map[uint64]*entry
	checks   indexed[*entry]
	waiting  int
	bytes    int64
	stopping bool
	refused  refusedCallers
}

// New returns an empty queue.
func New(p Policy) *Queue {
	q := &Queue{
		lines: map[string]*line{}, entries: map[uint64]*entry{},
		checks: indexed[*entry]{less: func(a, b *entry) bool { return a.checkAt.Before(b.checkAt) }, place: func(e *entry) *int { return &e.checkPlace }},
	}
	q.SetPolicy(p)
	return q
}

// line returns the queue of a service, with the time since its last event taken into account.
func (q *Queue) line(service string, now time.Time) *line {
	l := q.lines[service]
	if l == nil {
		l = newLine(service)
		l.meter.at = now
		q.lines[service] = l
	}
	l.meter.advance(now, l.waiting > 0)
	return l
}

// Add adds an item. It may attempt placement at once if no waiting request precedes it. Each item
// that was not refused leaves the queue by Placed, Leave or a refusal.
func (q *Queue) Add(it Item, now time.Time) Decision {
	it.Urgency = min(max(it.Urgency, 0), Urgencies-1)
	it.Cost = max(it.Cost, 1)
	q.classify(&it, now)
	l := q.line(it.Service, now)
	l.turns.probed = it.Probed
	e := &entry{Item: it}
	e.setGroup(now)
	q.entries[it.ID] = e
	if l.isFirst(e, now) {
		return Decision{Action: Try, Position: 1, Forecast: 0}
	}
	d := q.enqueue(l, e, now)
	if d.Action == Wait {
		l.schedule(now, now)
	}
	return d
}

// enqueue lets an entry wait, or refuses it.
func (q *Queue) enqueue(l *line, e *entry, now time.Time) Decision {
	e.queuedAt, e.placedBefore, e.state = now, l.placed, waiting
	e.setGroup(now)
	e.flow = l.flow(&e.Item, &q.policy)
	q.attach(l, e)
	o := l.outlook(e)
	d := Decision{Action: Wait, Position: o.position, Ahead: o.ahead, Forecast: o.wait, Tag: e.flow.tag}
	until, reason := e.assess(o, now)
	if q.stopping {
		reason = Stopping
	}
	if reason == "" {
		d.Evicted, reason = q.evict(e, now)
	}
	if reason != "" {
		d.Action, d.Refusal = Refuse, q.refuse(l, e, reason, o.wait, now)
		return d
	}
	e.checkAt = until
	q.checks.push(e)
	return d
}

// evict refuses the last in order until the bounds are met. It returns a reason if that is e itself.
func (q *Queue) evict(e *entry, now time.Time) ([]Refusal, Reason) {
	var evicted []Refusal
	for q.waiting > q.policy.MaxRequests || q.bytes > q.policy.MaxBytes {
		l := q.fullest(e.Service)
		last := l.last()
		if last == nil || last == e || last.state == attempting || int64(e.Bytes) > q.policy.MaxBytes {
			return evicted, Full
		}
		evicted = append(evicted, q.refuse(l, last, Full, l.outlook(last).wait, now))
	}
	return evicted, ""
}

// fullest returns the queue that takes most of the exceeded bound; that of the given service if others
// take as much.
func (q *Queue) fullest(service string) *line {
	fullest := q.lines[service]
	for _, l := range q.lines {
		if q.waiting > q.policy.MaxRequests && l.waiting > fullest.waiting || q.waiting <= q.policy.MaxRequests && l.bytes > fullest.bytes {
			fullest = l
		}
	}
	return fullest
}

func (q *Queue) attach(l *line, e *entry) {
	l.attach(e)
	q.waiting++
	q.bytes += int64(e.Bytes)
}

// detach removes an entry that waits or attempts placement with a turn.
func (q *Queue) detach(l *line, e *entry) {
	l.detach(e)
	q.waiting--
	q.bytes -= int64(e.Bytes)
	q.checks.remove(e)
}

// refuse removes an entry that waits and tells its caller when to come back.
func (q *Queue) refuse(l *line, e *entry, reason Reason, wait time.Duration, now time.Time) Refusal {
	q.detach(l, e)
	e.flow.class.settle()
	delete(q.entries, e.ID)
	e.flow.workspace.refused++
	r := Refusal{Item: e.Item, Reason: reason, Forecast: wait, Waited: now.Sub(e.queuedAt), RetryAfter: stoppingRetryAfter}
	if reason != Stopping {
		r.RetryAfter = l.scheduleReturn(&e.Item, wait, now)
	}
	q.refused.remember(e.Key, refusedCaller{firstArrival: e.FirstArrival, due: now.Add(min(r.RetryAfter, e.callerWait(now)))})
	return r
}

// Placed records that an item got a target, and returns the items whose turn it is now.
func (q *Queue) Placed(id uint64, now time.Time) (Placement, []uint64) {
	e := q.entries[id]
	if e == nil {
		return Placement{}, nil
	}
	delete(q.entries, id)
	l := q.line(e.Service, now)
	contended := l.waiting > 0
	p := Placement{Item: e.Item, Queued: !e.queuedAt.IsZero()}
	if p.Queued {
		p.Waited, p.Before = now.Sub(e.queuedAt), l.placed-e.placedBefore
	}
	l.placed++
	l.workspace(e.Workspace, &q.policy).placed++
	if e.state != fresh {
		q.detach(l, e)
	}
	if contended {
		l.recordContended(e, &q.policy, now)
	}
	return p, l.finish(e, now)
}

// recordContended charges a placement that was made while requests waited.
func (l *line) recordContended(e *entry, p *Policy, now time.Time) {
	l.meter.placed[e.Urgency] += e.Cost
	l.share.add(e.Cost, now)
	w := l.workspace(e.Workspace, p)
	w.share.add(e.Cost, now)
	if e.state == fresh && l.classes[e.Urgency].waiting == 0 {
		l.chargeFloor(w, e.Cost)
		return // no request of its urgency competes with it
	}
	f := l.flow(&e.Item, p)
	l.charge(f, e.Cost)
	f.class.settle()
}

// Failed records that no target took an item. It returns what happens with it, and the items whose
// turn it is now.
func (q *Queue) Failed(id uint64, now time.Time) (Decision, []uint64) {
	e := q.entries[id]
	if e == nil {
		return Decision{Action: Refuse, Refusal: Refusal{Reason: NoForecast, RetryAfter: unknownRetryAfter, Forecast: Unknown}}, nil
	}
	l := q.line(e.Service, now)
	if e.state == fresh {
		d := q.enqueue(l, e, now)
		l.turns.failedAt = now
		l.schedule(now, now.Add(minWalkInterval))
		return d, nil
	}
	e.state = waiting
	o := l.outlook(e)
	d := Decision{Action: Wait, Position: o.position, Ahead: o.ahead, Forecast: o.wait, Tag: e.flow.tag}
	if reason := q.check(l, e, o, now); reason != "" {
		// The refusal precedes the next turn, which would otherwise be this entry's again.
		d.Action, d.Refusal = Refuse, q.refuse(l, e, reason, o.wait, now)
	}
	return d, l.fail(e, now)
}

// check assesses an entry if that is due, and returns the reason to refuse it.
func (q *Queue) check(l *line, e *entry, o outlook, now time.Time) Reason {
	if q.stopping {
		return Stopping
	}
	if now.Before(e.checkAt) {
		if !q.checks.has(e) {
			q.checks.push(e)
		}
		return ""
	}
	until, reason := e.assess(o, now)
	if reason == "" {
		q.checks.remove(e)
		e.checkAt = until
		q.checks.push(e)
	}
	return reason
}

// Leave removes an item whose caller has disconnected or which ended otherwise. It returns the item,
// how long it waited and the items whose turn it is now.
func (q *Queue) Leave(id uint64, now time.Time) (it Item, waited time.Duration, turns []uint64) {
	e := q.entries[id]
	if e == nil {
		return Item{}, 0, nil
	}
	delete(q.entries, id)
	if e.state == fresh {
		return e.Item, 0, nil
	}
	l := q.line(e.Service, now)
	q.detach(l, e)
	e.flow.class.settle()
	return e.Item, now.Sub(e.queuedAt), l.finish(e, now)
}

// Defer takes an item out of the order that has a target but does not use it yet. It attempts
// placement again when it likes.
func (q *Queue) Defer(id uint64, now time.Time) []uint64 {
	e := q.entries[id]
	if e == nil || e.state == fresh {
		return nil
	}
	l := q.line(e.Service, now)
	q.detach(l, e)
	e.flow.class.settle()
	e.state = fresh
	return l.finish(e, now)
}

// RetryAfter returns the retry delay for an item that is refused for another reason than its place in
// the queue, and the forecast for it, which may be Unknown. The item must still be in the queue.
func (q *Queue) RetryAfter(id uint64, now time.Time) (retryAfter, forecast time.Duration) {
	e := q.entries[id]
	if e == nil {
		return unknownRetryAfter, Unknown
	}
	l := q.line(e.Service, now)
	forecast = Unknown
	if e.state != fresh {
		forecast = l.outlook(e).wait
	}
	retryAfter = l.scheduleReturn(&e.Item, forecast, now)
	q.refused.remember(e.Key, refusedCaller{firstArrival: e.FirstArrival, due: now.Add(min(retryAfter, e.callerWait(now)))})
	return retryAfter, forecast
}
