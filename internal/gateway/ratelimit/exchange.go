package ratelimit

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/datagram"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

// newRequest returns the lease request for a caller's request.
func (l *Limiter) newRequest(r Request, now time.Time) LeaseRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	req := l.credit(r.Key).newRequest(l.lastID, r.Cost, now)
	req.IsRetry, req.MaxWait, req.Floor = r.IsRetry, r.MaxWait, r.Floor
	return req
}

// requestLease sends a lease request to an entry and waits for the response. It returns false if
// there is none.
func (l *Limiter) requestLease(ctx context.Context, to netip.AddrPort, r Request, fallback bool) (LeaseResponse, bool) {
	now := l.options.Now()
	if !to.IsValid() {
		return LeaseResponse{}, false
	}
	req := l.newRequest(r, now)
	if to == l.options.Listen {
		resp, ok := l.handleRequest(r.Key, l.self(), req, fallback, now)
		l.addLease(r.Key, resp, now)
		return resp, ok
	}
	p := &pendingRequest{key: r.Key, to: to, cost: r.Cost, sentAt: now, replies: make(chan reply, 1)}
	wait := l.register(req.ID, p)
	l.sendRequest(to, r.Key, req, fallback)
	if !wait {
		return LeaseResponse{}, false
	}
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	select {
	case got := <-p.replies:
		return got.LeaseResponse, !got.notCoordinator
	case <-timer.C:
	case <-ctx.Done():
	}
	return l.abandon(req.ID, p)
}

// register adds a pending request and reports whether to wait for its response.
func (l *Limiter) register(id uint32, p *pendingRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.misses[p.to]
	unresponsive := m.count >= missThreshold && l.options.Now().Sub(m.last) < missTimeout
	if unresponsive {
		p.replies = nil
	}
	l.pending[id] = p
	return !unresponsive
}

// abandon stops waiting for a response, unless it has just arrived. Tokens that a later response
// grants are refunded.
func (l *Limiter) abandon(id uint32, p *pendingRequest) (LeaseResponse, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case got := <-p.replies:
		return got.LeaseResponse, !got.notCoordinator
	default:
	}
	p.replies = nil
	l.misses[p.to] = miss{count: l.misses[p.to].count + 1, last: l.options.Now()}
	return LeaseResponse{}, false
}

// leaseAhead requests tokens for later requests from a bucket's coordinator and reports use.
// The caller holds mu.
func (l *Limiter) leaseAhead(key string, c *credit, now time.Time) {
	coordinator := l.members.Load().Coordinator(key)
	if !coordinator.IsValid() {
		return
	}
	l.lastID++
	req := c.newRequest(l.lastID, 0, now)
	if coordinator == l.options.Listen {
		if resp, ok := l.handleRequest(key, l.self(), req, false, now); ok {
			c.addLease(resp, now)
		}
		return
	}
	l.pending[req.ID] = &pendingRequest{key: key, to: coordinator, sentAt: now}
	l.sendRequest(coordinator, key, req, false)
}

// addLease adds the tokens leased by a response to the bucket's credit.
func (l *Limiter) addLease(key string, resp LeaseResponse, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.credit(key).addLease(resp, sentAt)
}

// handleRequest handles a lease request as the bucket's coordinator or as a fallback for it.
// It returns false if this entry may not do so.
func (l *Limiter) handleRequest(key string, from Holder, req LeaseRequest, fallback bool, now time.Time) (LeaseResponse, bool) {
	m := l.members.Load()
	canCoordinate := m.CanCoordinate(now)
	if !canCoordinate && (fallback || from.Address == l.options.Listen || now.Sub(m.AsOf) >= maxMembersAge) {
		return LeaseResponse{}, false
	}
	limit := l.options.LimitOf(key)
	if !limit.Limited() {
		return LeaseResponse{ID: req.ID, Admitted: true}, true
	}
	limit = limit.Scaled(*l.share.Load())
	switch {
	case m.Coordinator(key) == l.options.Listen, !canCoordinate:
		// An entry that has just started does not know all others yet, but an entry that
		// sends it a request does.
		return l.coordinator.Handle(key, from, req, limit, *l.liveSince.Load(), now), true
	case fallback:
		req.Ahead = 0
		part := Limit{PerSecond: limit.PerSecond * fallbackShare, Burst: limit.Burst * fallbackBurstShare}
		return l.fallback.Handle(key, from, req, part, now.Add(-fallbackIdleTimeout), now), true
	default:
		return LeaseResponse{}, false
	}
}

func (l *Limiter) sendRequest(to netip.AddrPort, key string, req LeaseRequest, fallback bool) {
	ask := encodeRequest(req, fallback)
	if l.options.Stated != nil {
		if s, ok := l.options.Stated(key); ok {
			ask.Stated = EncodeStatedLimit(s)
		}
	}
	l.send(to, &peerv1.RateMessage{Id: req.ID, Incarnation: l.options.Incarnation, Key: key, Ask: ask})
}

func (l *Limiter) send(to netip.AddrPort, m *peerv1.RateMessage) {
	m.Known = uint32(l.members.Load().Known)
	data, err := proto.Marshal(m)
	if err != nil || len(data) > maxDatagramSize {
		return // the key is too long: the entry uses its own share
	}
	l.transmit(data, to)
}

// Serve handles messages of other entries until Close.
func (l *Limiter) Serve() {
	datagram.Receive(l.conn, maxDatagramSize, func(data []byte, from netip.AddrPort) {
		m := &peerv1.RateMessage{}
		if proto.Unmarshal(data, m) == nil {
			l.handleMessage(from, m)
		}
	})
}

func (l *Limiter) handleMessage(from netip.AddrPort, m *peerv1.RateMessage) {
	now := l.options.Now()
	l.mu.Lock()
	l.reportedKnown.add(int(m.Known), now)
	l.mu.Unlock()
	switch {
	case m.Ask != nil:
		if m.Ask.Stated != nil && l.options.Learn != nil {
			l.options.Learn(m.Key, DecodeStatedLimit(m.Ask.Stated), from)
		}
		resp, ok := l.handleRequest(m.Key, Holder{Address: from, Incarnation: m.Incarnation}, decodeRequest(m.Id, m.Ask), m.Ask.InPlace, now)
		out := encodeResponse(resp)
		out.NotMine = !ok
		l.send(from, &peerv1.RateMessage{Id: m.Id, Incarnation: m.Incarnation, Key: m.Key, Answer: out})
	case m.Answer != nil && m.Incarnation == l.options.Incarnation:
		l.handleReply(from, m.Id, reply{LeaseResponse: decodeResponse(m.Id, m.Answer), notCoordinator: m.Answer.NotMine}, now)
	}
}

// handleReply passes a response to its pending request. If no caller waits any more, the cost of
// an admitted request is refunded; responses without a pending request are dropped, and their
// leases expire.
func (l *Limiter) handleReply(from netip.AddrPort, id uint32, got reply, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.misses, from)
	p := l.pending[id]
	if p == nil || p.to != from {
		return
	}
	delete(l.pending, id)
	c := l.credit(p.key)
	c.addLease(got.LeaseResponse, p.sentAt)
	if p.replies != nil {
		p.replies <- got
		return
	}
	if got.Admitted {
		c.refunded += p.cost
	}
}

// ReportUsage reports use to the coordinators at an interval until the context ends.
func (l *Limiter) ReportUsage(ctx context.Context) {
	for sleep.For(ctx, reportInterval) {
		l.sendReports(l.options.Now())
	}
}

// sendReports sends the reports that are due, and removes unused credits and old pending requests.
func (l *Limiter) sendReports(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, c := range l.credits {
		if c.reportDue(now) {
			l.leaseAhead(key, c, now)
		}
		if now.Sub(c.lastUsedAt) > defaultIdleTimeout {
			delete(l.credits, key)
		}
	}
	for id, p := range l.pending {
		if now.Sub(p.sentAt) > leaseDuration {
			delete(l.pending, id)
		}
	}
}

// Close ends Serve.
func (l *Limiter) Close() { _ = l.conn.Close() }
