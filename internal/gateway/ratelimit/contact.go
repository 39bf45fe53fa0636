package ratelimit

import (
	"math"
	"net/netip"
	"time"
)

const (
	// firstRetransmitDelay is the time after which a lease request is repeated; each further delay is
	// twice as long. A round trip between availability zones takes some milliseconds, a busy host
	// some tens of milliseconds more.
	firstRetransmitDelay = 60 * time.Millisecond
	// silenceTimeout is the time without a response after which the next in rank is asked. A
	// coordinator that is only slow must not be replaced: two entries would grant tokens.
	silenceTimeout = time.Second
	// slowGrantTime is how long after the coordinator's last response an entry grants tokens by itself, and
	// how long it may use them. Entries that the coordinator does not hear for longer get no part any more.
	slowGrantTime = time.Second
	// contactTime is the time since the last response within which silence begins with that.
	contactTime = 500 * time.Millisecond
	// fallbackTimeout is how long to wait for the response of a fallback entry.
	fallbackTimeout = 100 * time.Millisecond
	// probeInterval is the time between requests to a silent coordinator.
	probeInterval = time.Second
	// rankResetTime is the time after which the entries that have not responded either are asked
	// again.
	rankResetTime = 2 * time.Second
	// notCoordinatorDelay is the time after which an entry is asked again that is not the coordinator
	// by its own knowledge.
	notCoordinatorDelay = 50 * time.Millisecond
	// timerResolution is the least delay of a timer.
	timerResolution = time.Millisecond
)

// contact is an entry's exchange with a bucket's coordinator, and with those that replace it.
type contact struct {
	coordinator netip.AddrPort
	// pending is the only lease request that is waited for. Its retransmissions have its ID.
	pending *pendingRequest
	// heardAt is when the coordinator last responded. silentSince is that time, or the time of the
	// first request without a response if contact was rare; zero if the coordinator responds.
	heardAt, silentSince time.Time
	// rank is the rank of the fallback that is asked while the coordinator is silent, since rankedAt.
	rank     int
	rankedAt time.Time
	probedAt time.Time
}

// pendingRequest is a lease request without a response.
type pendingRequest struct {
	key      string
	to       netip.AddrPort
	request  LeaseRequest
	fallback bool
	sentAt   time.Time
	// retransmitAt is when the request is repeated next, retransmitDelay the delay before that.
	retransmitAt    time.Time
	retransmitDelay time.Duration
}

// reply is a response as received.
type reply struct {
	LeaseResponse
	notCoordinator bool
}

// isSilent reports whether the coordinator has not responded for silenceTimeout.
func (c *contact) isSilent(now time.Time) bool {
	return !c.silentSince.IsZero() && now.Sub(c.silentSince) >= silenceTimeout
}

// follow starts with another coordinator.
func (c *contact) follow(coordinator netip.AddrPort) {
	*c = contact{coordinator: coordinator}
}

// nextRank moves on to the next fallback.
func (c *contact) nextRank(now time.Time) {
	c.rank, c.rankedAt = c.rank+1, now
}

// mayRequest reports whether a lease request may be sent now.
func (c *credit) mayRequest(now time.Time) bool {
	return c.contact.pending == nil && !now.Before(c.nextRequestAt)
}

// advance serves the waiting callers, repeats or sends a lease request if one is due and allowed, and
// sets the timer. The caller holds mu.
func (l *Limiter) advance(key string, c *credit, now time.Time) {
	l.checkPending(c, now)
	c.grantWhileSlow(now)
	c.serve(Leased, now)
	if c.mayRequest(now) && (c.queue.waitsBeyond(now) || c.shouldLeaseAhead(now)) {
		l.requestLease(key, c, now)
	}
	l.schedule(key, c, now)
}

// checkPending handles the time-outs of the pending request.
func (l *Limiter) checkPending(c *credit, now time.Time) {
	switch p := c.contact.pending; {
	case p == nil:
	case p.fallback && now.Sub(p.sentAt) >= fallbackTimeout:
		c.contact.pending = nil
		c.contact.nextRank(now)
	case p.fallback:
	case c.contact.isSilent(now):
		c.contact.pending = nil
		// The coordinator may have counted the overdraft. Twice is better than not at all.
		c.overdraft += p.request.Overdraft
	case !now.Before(p.retransmitAt):
		p.retransmitDelay *= 2
		p.retransmitAt = now.Add(p.retransmitDelay)
		l.sendRequest(p, Retransmission)
	}
}

// grantWhileSlow grants tokens to the waiting callers while a response of the coordinator is overdue, at the
// entry's part of the rate as last stated. The parts of all entries add up to the limit. The coordinator
// learns of these tokens as an overdraft with the next request.
func (c *credit) grantWhileSlow(now time.Time) {
	p := c.contact.pending
	if p == nil || p.fallback || c.hasAlternative || now.Sub(p.sentAt) < firstRetransmitDelay || now.Sub(c.answeredAt) > slowGrantTime {
		return
	}
	from := p.sentAt
	if c.slowGrantedAt.After(from) {
		from = c.slowGrantedAt
	}
	tokens := math.Min(c.currentRate(now)*now.Sub(from).Seconds(), c.queue.cost-c.available(now))
	if first := c.queue.first(); first == nil || tokens < first.request.Cost {
		return
	}
	c.slowGrantedAt = now
	c.overdraft += tokens
	c.leases = append(c.leases, heldLease{tokens: tokens, expiresAt: now.Add(slowGrantTime), unreported: true})
}

// requestLease requests tokens from the coordinator. If that is silent, it asks the entries with the
// next ranks in turn, and at last uses the entry's own share.
func (l *Limiter) requestLease(key string, c *credit, now time.Time) {
	m := l.members.Load()
	if !c.contact.coordinator.IsValid() {
		c.contact.coordinator = m.Coordinator(key)
	}
	l.lastID++
	if !c.contact.isSilent(now) && c.contact.coordinator.IsValid() {
		l.transact(c, &pendingRequest{key: key, to: c.contact.coordinator, request: c.newQueueRequest(l.lastID, now), sentAt: now}, now)
		return
	}
	l.probe(key, c, now)
	first := c.queue.first()
	if first == nil {
		return
	}
	l.lastID++
	req := LeaseRequest{ID: l.lastID, RequestCost: max(first.request.Cost-c.available(now), 1), IsRetry: first.request.IsRetry, MaxWait: first.request.MaxWait, Floor: first.request.Floor}
	c.requestedAt = now
	ranked := m.Ranked(key, maxRanked)
	if c.contact.rank == 0 || now.Sub(c.contact.rankedAt) > rankResetTime {
		c.contact.rank, c.contact.rankedAt = 1, now
	}
	if c.contact.rank < len(ranked) {
		l.transact(c, &pendingRequest{key: key, to: ranked[c.contact.rank], request: req, fallback: true, sentAt: now}, now)
		return
	}
	own := first.request.Limit.Scaled(localShare / float64(max(len(m.Live), 1)))
	resp := l.local.Handle(key, l.self(), req, own, now, now)
	c.applyResponse(&pendingRequest{request: req, fallback: true, sentAt: now}, resp, OwnShare, now)
}

// transact sends a lease request, or handles it at once if it is to this entry.
func (l *Limiter) transact(c *credit, p *pendingRequest, now time.Time) {
	if !p.fallback && c.contact.silentSince.IsZero() {
		c.contact.silentSince = now
		if now.Sub(c.contact.heardAt) < contactTime {
			c.contact.silentSince = c.contact.heardAt
		}
	}
	if p.to == l.options.Listen {
		resp, ok := l.handleRequest(p.key, l.self(), p.request, p.fallback, now)
		c.contact.pending = p
		l.handleResponse(c, p, reply{resp, !ok}, now)
		return
	}
	p.retransmitDelay = firstRetransmitDelay
	p.retransmitAt = now.Add(p.retransmitDelay)
	c.contact.pending = p
	l.pending[p.request.ID] = p
	kind := Ask
	if p.fallback {
		kind = FallbackAsk
	}
	l.sendRequest(p, kind)
}

// probe sends a report to a silent coordinator, whose response ends the silence.
func (l *Limiter) probe(key string, c *credit, now time.Time) {
	to := c.contact.coordinator
	if !to.IsValid() || to == l.options.Listen && now.Sub(c.contact.probedAt) < notCoordinatorDelay || to != l.options.Listen && now.Sub(c.contact.probedAt) < probeInterval {
		return
	}
	c.contact.probedAt = now
	p := &pendingRequest{key: key, to: to, request: c.newRequest(l.lastID, 0, now), sentAt: now}
	p.request.Ahead = 0
	if to == l.options.Listen {
		resp, ok := l.handleRequest(key, l.self(), p.request, false, now)
		l.handleResponse(c, p, reply{resp, !ok}, now)
		return
	}
	l.pending[p.request.ID] = p
	l.sendRequest(p, Ask)
}

// handleResponse applies a response. Tokens of a late one are used while their lease lasts.
func (l *Limiter) handleResponse(c *credit, p *pendingRequest, got reply, now time.Time) {
	awaited := c.contact.pending == p
	if awaited {
		c.contact.pending = nil
	}
	switch {
	case got.notCoordinator:
		c.undoRequest(p.request)
		if p.fallback && awaited {
			c.contact.nextRank(now)
		}
		c.nextRequestAt = maxTime(c.nextRequestAt, now.Add(notCoordinatorDelay))
		return
	case !p.fallback && p.to == c.contact.coordinator:
		if c.contact.isSilent(now) {
			c.forgetRefusal()
		}
		c.contact.silentSince, c.contact.heardAt, c.contact.rank = time.Time{}, now, 0
	}
	if !awaited {
		c.addGrant(p, got.LeaseResponse)
		c.serve(Coordinated, now)
		return
	}
	c.applyResponse(p, got.LeaseResponse, sourceOf(p.fallback), now)
}

func sourceOf(fallback bool) Source {
	if fallback {
		return Fallback
	}
	return Coordinated
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// applyResponse serves the waiting callers from a response and refuses those that can't be served in
// time.
func (c *credit) applyResponse(p *pendingRequest, resp LeaseResponse, source Source, now time.Time) {
	c.addGrant(p, resp)
	c.level, c.rate, c.answeredAt, c.retryAt = resp.Level, resp.Rate, now, time.Time{}
	delay := resp.NextDelay
	if p.request.RequestCost > 0 && !resp.Admitted {
		c.recordRefusal(p.request.Floor, resp.RetryDelay, alternativeCacheTime, now)
		delay = max(delay, min(resp.RetryDelay, minRetryDelay))
	}
	c.nextRequestAt, c.spacing = now.Add(delay), delay
	c.serve(source, now)
	c.leasedAfterAnswer = c.available(now)
	c.refuseHopeless(source, now)
}

// refuseLate refuses a caller that has waited for as long as it may.
func (c *credit) refuseLate(w *waiter, now time.Time) Decision {
	source, delay := Unanswered, c.forecast(w, c.queue.costBefore(w), now)
	if c.contact.silentSince.IsZero() {
		source = Coordinated
	} else if left := c.contact.silentSince.Add(silenceTimeout).Sub(now); left > 0 {
		delay = max(delay, left)
	}
	if w.request.HasAlternative {
		delay = max(delay, alternativeWait)
		c.recordRefusal(w.request.Floor, delay, alternativeCacheTime, now)
	}
	return c.refuse(w, delay, source, now)
}

// schedule sets the timer for the next event that no message brings, as long as a caller waits for it.
// The caller holds mu.
func (l *Limiter) schedule(key string, c *credit, now time.Time) {
	at := maxTime(c.nextRequestAt, now.Add(timerResolution))
	if p := c.contact.pending; p != nil {
		at = maxTime(l.pendingTimeout(c, p), now.Add(timerResolution))
	}
	if !c.queue.waitsBeyond(at) || c.timerAt.After(now) && !c.timerAt.After(at) {
		return // an earlier timer sets the next one
	}
	c.timerAt = at
	if c.timer == nil {
		c.timer = time.AfterFunc(at.Sub(now), func() { l.tick(key, c) })
		return
	}
	c.timer.Reset(at.Sub(now))
}

// pendingTimeout returns when the pending request is to be repeated or given up.
func (l *Limiter) pendingTimeout(c *credit, p *pendingRequest) time.Time {
	if p.fallback {
		return p.sentAt.Add(fallbackTimeout)
	}
	if silent := c.contact.silentSince.Add(silenceTimeout); silent.Before(p.retransmitAt) {
		return silent
	}
	return p.retransmitAt
}

func (c *credit) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
	}
}

// tick advances a bucket for which callers wait.
func (l *Limiter) tick(key string, c *credit) {
	now := l.options.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c.timerAt = time.Time{}
	if c.queue.waitsBeyond(now) {
		l.advance(key, c, now)
	}
}

// followCoordinators turns to the new coordinators of buckets after a change of the members.
func (l *Limiter) followCoordinators(m *Members) {
	now := l.options.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, c := range l.credits {
		coordinator := m.Coordinator(key)
		if coordinator == c.contact.coordinator || !c.contact.coordinator.IsValid() {
			continue
		}
		if p := c.contact.pending; p != nil && !p.fallback {
			c.overdraft += p.request.Overdraft
		}
		c.contact.follow(coordinator)
		c.forgetRefusal()
		l.advance(key, c, now)
	}
}
