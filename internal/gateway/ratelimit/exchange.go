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

// nextAsk is the question for a request that waits.
func (l *Limiter) nextAsk(r Request, now time.Time) LeaseRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	a := l.credit(r.Workspace).ask(l.number, r.Cost, now)
	a.IsRetry, a.MaxWait = r.IsRetry, r.MaxWait
	return a
}

// ask asks an entry for a request's cost and waits for the answer. It reports false when
// there is none.
func (l *Limiter) ask(ctx context.Context, to netip.AddrPort, r Request, inPlace bool) (LeaseResponse, bool) {
	now := l.options.Now()
	if !to.IsValid() {
		return LeaseResponse{}, false
	}
	a := l.nextAsk(r, now)
	if to == l.options.Listen {
		answer, ok := l.answerFor(r.Workspace, l.self(), a, inPlace, now)
		l.takeAnswer(r.Workspace, answer, now)
		return answer, ok
	}
	q := &question{workspace: r.Workspace, to: to, cost: r.Cost, askedAt: now, answers: make(chan reply, 1)}
	wait := l.begin(a.ID, q)
	l.send(to, r.Workspace, a, inPlace)
	if !wait {
		return LeaseResponse{}, false
	}
	timer := time.NewTimer(askTime)
	defer timer.Stop()
	select {
	case got := <-q.answers:
		return got.LeaseResponse, !got.notMine
	case <-timer.C:
	case <-ctx.Done():
	}
	return l.giveUp(a.ID, q)
}

// begin notes a question, and reports whether its answer should be waited for.
func (l *Limiter) begin(number uint32, q *question) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.misses[q.to]
	quiet := m.count >= quietAfter && l.options.Now().Sub(m.last) < quietFor
	if quiet {
		q.answers = nil
	}
	l.open[number] = q
	return !quiet
}

// giveUp stops to wait for an answer, unless it has just come. What it brings later is given
// back.
func (l *Limiter) giveUp(number uint32, q *question) (LeaseResponse, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case got := <-q.answers:
		return got.LeaseResponse, !got.notMine
	default:
	}
	q.answers = nil
	l.misses[q.to] = miss{count: l.misses[q.to].count + 1, last: l.options.Now()}
	return LeaseResponse{}, false
}

// askAhead asks a workspace's coordinator for tokens for the requests that follow, and
// reports what was used. The caller holds mu.
func (l *Limiter) askAhead(workspace string, c *credit, now time.Time) {
	first := l.members.Load().Coordinator(workspace)
	if !first.IsValid() {
		return
	}
	l.number++
	a := c.ask(l.number, 0, now)
	if first == l.options.Listen {
		if answer, ok := l.answerFor(workspace, l.self(), a, false, now); ok {
			c.take(answer, now)
		}
		return
	}
	l.open[a.ID] = &question{workspace: workspace, to: first, askedAt: now}
	l.send(first, workspace, a, false)
}

// takeAnswer takes in what an answer leases.
func (l *Limiter) takeAnswer(workspace string, a LeaseResponse, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.credit(workspace).take(a, asked)
}

// answerFor answers as the workspace's coordinator, or in its place. It reports false when
// this entry is not to.
func (l *Limiter) answerFor(workspace string, from Holder, a LeaseRequest, inPlace bool, now time.Time) (LeaseResponse, bool) {
	m := l.members.Load()
	settled := m.CanCoordinate(now)
	if !settled && (inPlace || from.Address == l.options.Listen || now.Sub(m.AsOf) >= staleAfter) {
		return LeaseResponse{}, false
	}
	limit := l.options.LimitOf(workspace)
	if !limit.Limited() {
		return LeaseResponse{ID: a.ID, Admitted: true}, true
	}
	limit = limit.Scaled(*l.share.Load())
	switch {
	case m.Coordinator(workspace) == l.options.Listen, !settled:
		// Who has just started has not heard all others; those who ask it have.
		return l.mine.Handle(workspace, from, a, limit, *l.since.Load(), now), true
	case inPlace:
		a.Ahead = 0
		part := Limit{PerSecond: limit.PerSecond * inPlaceShare, Burst: limit.Burst * inPlaceAtOnce}
		return l.inPlace.Handle(workspace, from, a, part, now.Add(-inPlaceKept), now), true
	default:
		return LeaseResponse{}, false
	}
}

func (l *Limiter) send(to netip.AddrPort, workspace string, a LeaseRequest, inPlace bool) {
	l.write(to, &peerv1.RateMessage{Id: a.ID, Incarnation: l.options.Incarnation, Workspace: workspace, Ask: askOut(a, inPlace)})
}

func (l *Limiter) write(to netip.AddrPort, m *peerv1.RateMessage) {
	m.Known = uint32(l.members.Load().Known)
	data, err := proto.Marshal(m)
	if err != nil || len(data) > maxDatagram {
		return // a name that long: the entry goes by its own share
	}
	l.transmit(data, to)
}

// Serve answers the other entries and takes in their answers until Close.
func (l *Limiter) Serve() {
	datagram.Receive(l.conn, maxDatagram, func(data []byte, from netip.AddrPort) {
		m := &peerv1.RateMessage{}
		if proto.Unmarshal(data, m) == nil {
			l.receive(from, m)
		}
	})
}

func (l *Limiter) receive(from netip.AddrPort, m *peerv1.RateMessage) {
	now := l.options.Now()
	l.mu.Lock()
	l.told.add(int(m.Known), now)
	l.mu.Unlock()
	switch {
	case m.Ask != nil:
		a, ok := l.answerFor(m.Workspace, Holder{Address: from, Incarnation: m.Incarnation}, askIn(m.Id, m.Ask), m.Ask.InPlace, now)
		out := answerOut(a)
		out.NotMine = !ok
		l.write(from, &peerv1.RateMessage{Id: m.Id, Incarnation: m.Incarnation, Workspace: m.Workspace, Answer: out})
	case m.Answer != nil && m.Incarnation == l.options.Incarnation:
		l.answered(from, m.Id, reply{LeaseResponse: answerIn(m.Id, m.Answer), notMine: m.Answer.NotMine}, now)
	}
}

// answered hands an answer to its question. Tokens for a request that is no longer waiting
// are given back; those of an answer that comes too late lapse.
func (l *Limiter) answered(from netip.AddrPort, number uint32, got reply, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.misses, from)
	q := l.open[number]
	if q == nil || q.to != from {
		return
	}
	delete(l.open, number)
	c := l.credit(q.workspace)
	c.take(got.LeaseResponse, q.askedAt)
	if q.answers != nil {
		q.answers <- got
		return
	}
	if got.Admitted {
		c.returned += q.cost
	}
}

// Report tells coordinators regularly what was used, until the context ends.
func (l *Limiter) ReportUsage(ctx context.Context) {
	for sleep.For(ctx, reportPeriod) {
		l.report(l.options.Now())
	}
}

func (l *Limiter) report(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for workspace, c := range l.credits {
		if c.owesReport(now) {
			l.askAhead(workspace, c, now)
		}
		if now.Sub(c.usedAt) > keepFor {
			delete(l.credits, workspace)
		}
	}
	for number, q := range l.open {
		if now.Sub(q.askedAt) > leaseFor {
			delete(l.open, number)
		}
	}
}

// Close ends Serve.
func (l *Limiter) Close() { _ = l.conn.Close() }
