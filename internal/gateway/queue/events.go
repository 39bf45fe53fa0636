package queue

import "time"

// Wake returns the items of a service that may attempt placement after a change of its targets.
func (q *Queue) Wake(service string, now time.Time) []uint64 {
	l := q.lines[service]
	if l == nil || l.waiting == 0 {
		return nil
	}
	l.meter.advance(now, true)
	return l.wake(now)
}

// Notify takes a change at other processes into account, which may concern all services. Turns follow
// by Tick, since such changes come in quick succession.
func (q *Queue) Notify(now time.Time) {
	for _, l := range q.lines {
		if l.waiting > 0 && !l.turns.probed {
			l.schedule(now, now)
		}
	}
}

// Expire refuses the items that have waited as long as they may.
func (q *Queue) Expire(now time.Time) []Refusal {
	var refused []Refusal
	for {
		e, ok := q.checks.first()
		if !ok || e.checkAt.After(now) {
			return refused
		}
		if e.state == attempting {
			q.checks.remove(e) // the end of the attempt decides
			continue
		}
		l := q.line(e.Service, now)
		o := l.outlook(e)
		if reason := q.check(l, e, o, now); reason != "" {
			refused = append(refused, q.refuse(l, e, reason, o.wait, now))
		}
	}
}

// Tick does what is due by Next. It returns the items whose turn it is, and refusals.
func (q *Queue) Tick(now time.Time) ([]uint64, []Refusal) {
	refused := q.Expire(now)
	var turns []uint64
	for _, l := range q.lines {
		if l.waiting == 0 {
			l.turns.due = time.Time{}
			continue
		}
		if due := l.turns.due; !due.After(now) || due.Sub(now) > attemptTimeout {
			l.meter.advance(now, true)
			turns = append(turns, l.wake(now)...)
		}
	}
	return turns, refused
}

// Next returns when Tick is due; the zero time if nothing waits.
func (q *Queue) Next() time.Time {
	var next time.Time
	if e, ok := q.checks.first(); ok {
		next = e.checkAt
	}
	for _, l := range q.lines {
		if due := l.turns.due; l.waiting > 0 && !due.IsZero() && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	return next
}

// Stop refuses all items that wait. From then on, items that find no target are refused at once.
func (q *Queue) Stop(now time.Time) []Refusal {
	q.stopping = true
	var refused []Refusal
	for _, e := range q.entries {
		if e.state == waiting {
			refused = append(refused, q.refuse(q.line(e.Service, now), e, Stopping, Unknown, now))
		}
	}
	return refused
}
