package ratelimit

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/datagram"
	"github.com/toucanwell/toucanwell/internal/gateway/asof"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

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
		return LeaseResponse{ID: req.ID, Admitted: true, Leased: req.Queued}, true
	}
	limit = limit.Scaled(*l.share.Load())
	switch {
	case m.Coordinator(key) == l.options.Listen, !canCoordinate:
		// An entry that has just started does not know all others yet, but an entry that
		// sends it a request does.
		return l.coordinator.Handle(key, from, req, limit, *l.liveSince.Load(), now), true
	case fallback:
		req.Ahead, req.Demand = 0, 0
		part := Limit{PerSecond: limit.PerSecond * fallbackShare, Burst: limit.Burst * fallbackBurstShare}
		return l.fallback.Handle(key, from, req, part, now.Add(-fallbackIdleTimeout), now), true
	default:
		return LeaseResponse{}, false
	}
}

// sendRequest sends a pending request. The caller holds mu.
func (l *Limiter) sendRequest(p *pendingRequest, kind RequestKind) {
	ask := encodeRequest(p.request, p.fallback)
	if l.options.Stated != nil {
		if s, ok := l.options.Stated(p.key); ok {
			ask.Stated = EncodeStatedLimit(s)
		}
	}
	if l.options.OnRequest != nil {
		l.options.OnRequest(kind)
	}
	l.send(p.to, &peerv1.RateMessage{Id: p.request.ID, Incarnation: l.options.Incarnation, Key: p.key, Ask: ask})
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
	datagram.ReceiveTimed(l.conn, maxDatagramSize, l.options.Now, func(data []byte, from netip.AddrPort, idle time.Time) {
		m := &peerv1.RateMessage{}
		if proto.Unmarshal(data, m) == nil {
			l.handleMessage(from, m, asof.Message(idle, l.options.Now()))
		}
	})
}

func (l *Limiter) handleMessage(from netip.AddrPort, m *peerv1.RateMessage, receipt asof.Receipt) {
	now := receipt.At
	l.mu.Lock()
	l.reportedKnown.add(int(m.Known), now)
	l.mu.Unlock()
	switch {
	case m.Ask != nil:
		if m.Ask.Stated != nil && l.options.Learn != nil {
			l.options.Learn(m.Key, DecodeStatedLimit(m.Ask.Stated), from, receipt)
		}
		resp, ok := l.handleRequest(m.Key, Holder{Address: from, Incarnation: m.Incarnation}, decodeRequest(m.Id, m.Ask), m.Ask.InPlace, now)
		out := encodeResponse(resp)
		out.NotMine = !ok
		l.send(from, &peerv1.RateMessage{Id: m.Id, Incarnation: m.Incarnation, Key: m.Key, Answer: out})
	case m.Answer != nil && m.Incarnation == l.options.Incarnation:
		l.handleReply(from, m.Id, reply{LeaseResponse: decodeResponse(m.Id, m.Answer), notCoordinator: m.Answer.NotMine}, now)
	}
}

// handleReply passes a response to its pending request. Responses without one are dropped, and their
// leases expire.
func (l *Limiter) handleReply(from netip.AddrPort, id uint32, got reply, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pending[id]
	if p == nil || p.to != from {
		return
	}
	delete(l.pending, id)
	c := l.credit(p.key)
	l.handleResponse(c, p, got, now)
	l.advance(p.key, c, now)
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
		if c.reportDue(now) && c.mayRequest(now) {
			l.requestLease(key, c, now)
			l.schedule(key, c, now)
		}
		if now.Sub(c.lastUsedAt) > defaultIdleTimeout && len(c.queue.waiters) == 0 {
			c.stopTimer()
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
