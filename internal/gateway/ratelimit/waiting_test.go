package ratelimit

import (
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/asof"
)

// received is the receipt of a message that comes to a limiter without delay.
func received(l *Limiter) asof.Receipt { return asof.Message(l.options.Now(), l.options.Now()) }

// remoteLimiter returns a limiter whose bucket is coordinated by another entry, and the lease requests
// that it sends to that and to the next in rank.
func remoteLimiter(t *testing.T) (l *Limiter, toCoordinator, toOthers *[]*peerv1.RateMessage, coordinator netip.AddrPort) {
	toCoordinator, toOthers = &[]*peerv1.RateMessage{}, &[]*peerv1.RateMessage{}
	self := netip.MustParseAddrPort("10.0.0.3:7")
	m := &Members{AsOf: time.Now().Add(time.Hour), Self: self, Known: 3, HeardPeer: true, Live: []netip.AddrPort{self, netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.2:7")}}
	ranked := m.Ranked("b", 3)
	if coordinator = ranked[0]; ranked[2] != self {
		t.Fatalf("the entry must have the lowest rank: %v", ranked)
	}
	l = newLimiter(Options{Listen: self, Incarnation: 1, LimitOf: func(string) Limit { return smallLimit }, Now: time.Now}, func(data []byte, to netip.AddrPort) {
		got := &peerv1.RateMessage{}
		if err := proto.Unmarshal(data, got); err != nil {
			t.Error(err)
		}
		if to == coordinator {
			*toCoordinator = append(*toCoordinator, got)
		} else {
			*toOthers = append(*toOthers, got)
		}
	})
	l.SetMembers(m)
	return l, toCoordinator, toOthers, coordinator
}

// Guards against a lease request for each caller, against retransmissions that the coordinator counts
// twice, against the replacement of a coordinator that is only slow, and against the loss of the
// tokens of a late response.
func TestCallersWaitForOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, late = 20, 800 * time.Millisecond
		l, sent, others, coordinator := remoteLimiter(t)
		decisions := make(chan Decision, callers)
		for range callers {
			go func() {
				decisions <- l.Admit(t.Context(), Request{Key: "b", Limit: smallLimit, Cost: 1, MaxWait: time.Second})
			}()
		}
		for range callers {
			if d := <-decisions; d.Admitted || d.Took > maxTokenWait || d.RetryAfter < 500*time.Millisecond {
				t.Errorf("without a response: got %+v", d)
			}
		}
		time.Sleep(late - maxTokenWait)
		ids := map[uint32]bool{}
		for _, m := range *sent {
			ids[m.Id] = true
		}
		if len(ids) != 1 || len(*sent) < 2 || len(*others) > 0 {
			t.Errorf("%d requests with %d IDs to the coordinator, %d to others", len(*sent), len(ids), len(*others))
		}
		l.handleMessage(coordinator, &peerv1.RateMessage{Id: (*sent)[0].Id, Incarnation: 1, Key: "b", Answer: &peerv1.RateAnswer{Leased: 5, NextMs: 500}}, received(l))
		if d := l.Admit(t.Context(), Request{Key: "b", Limit: smallLimit, Cost: 4, MaxWait: time.Second}); !d.Admitted || d.Source != Leased {
			t.Errorf("after a late response: got %+v", d)
		}
		before := len(*sent)
		for range callers {
			if d := l.Admit(t.Context(), Request{Key: "b", Limit: smallLimit, Cost: 4, IsRetry: true, MaxWait: time.Second}); d.Admitted || d.RetryAfter < 100*time.Millisecond {
				t.Errorf("before the next request is allowed: got %+v", d)
			}
		}
		if len(*sent) > before {
			t.Errorf("%d requests before the time that the coordinator named", len(*sent)-before)
		}
	})
}

// Guards against a fallback that is never asked: it is, after a second without a response.
func TestFallbackIsAskedAfterASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _, others, _ := remoteLimiter(t)
		start := time.Now()
		for len(*others) == 0 && time.Since(start) < 3*time.Second {
			l.Admit(t.Context(), Request{Key: "b", Limit: smallLimit, Cost: 1, MaxWait: time.Second})
		}
		if silent := time.Since(start); silent < silenceTimeout || silent > silenceTimeout+2*maxTokenWait {
			t.Errorf("the fallback was asked within %s", silent)
		}
	})
}

// Callers are served in the order of starved classes, urgency, retries and arrival. A full queue drops
// the last.
func TestOrderOfWaitingCallers(t *testing.T) {
	q := &waitQueue{}
	for i, w := range []waiter{
		{request: Request{Urgency: 1, IsRetry: true}}, {request: Request{}}, {request: Request{}}, {request: Request{IsRetry: true}},
		{request: Request{Urgency: 1}}, {request: Request{Urgency: 2}, starved: true},
	} {
		w.sequence = uint64(i)
		q.add(&w)
	}
	var order []uint64
	for _, w := range q.waiters {
		order = append(order, w.sequence)
	}
	if want := []uint64{5, 3, 1, 2, 0, 4}; !slices.Equal(order, want) {
		t.Errorf("got %v, want %v", order, want)
	}
	for len(q.waiters) < maxWaiters {
		q.add(&waiter{sequence: 100})
	}
	if dropped := q.add(&waiter{sequence: 101}); dropped == nil || dropped.sequence != 4 {
		t.Errorf("a full queue drops %+v", dropped)
	}
}

// Guards against tokens for waiting callers that don't count against the burst while the entry may use
// them, as after its crash.
func TestTokensForWaitingCallersCountUntilTheyExpire(t *testing.T) {
	c := NewCoordinator(time.Hour)
	req := LeaseRequest{ID: 1, RequestCost: 60, Demand: 10}
	if resp := c.Handle("w", holder1, req, smallLimit, testStart.Add(-time.Minute), testStart); !resp.Admitted || resp.Level != 40 {
		t.Fatalf("got %+v", resp)
	}
	for _, s := range []struct {
		after time.Duration
		level float64
	}{{callerLeaseDuration, 40}, {callerLeaseDuration + callerLeaseGrace, 50}} {
		if resp := c.Handle("w", holder2, LeaseRequest{ID: uint32(s.after), Demand: 10}, smallLimit, testStart, testStart.Add(s.after)); resp.Level != s.level {
			t.Errorf("level %.0f after %s, want %.0f", resp.Level, s.after, s.level)
		}
	}
}

// Guards against a raised limit that is not used under overload. It is to be in force within 3 s.
func TestRaisedLimitIsUsedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const within, measured, minUse = 3 * time.Second, 8 * time.Second, 0.9
		f := newFleet(t, 30, testLimit.Scaled(0.5), 7)
		f.run(2*time.Second, skewedDemand(0, 0), noop)
		f.run(4*time.Second, overload(30), noop)
		f.mu.Lock()
		f.limit = testLimit
		for _, e := range f.entries {
			e.limit = testLimit
		}
		f.mu.Unlock()
		raised, sum := time.Since(f.start), 0.0
		f.run(within+measured, overload(30), noop)
		for _, u := range f.used {
			if u.at > raised+within && u.at <= raised+within+measured {
				sum += u.cost
			}
		}
		f.checkUse(testLimit, raised+within)
		if least := minUse * testLimit.PerSecond * measured.Seconds(); sum < least {
			t.Errorf("%.0f tokens used, want %.0f", sum, least)
		}
	})
}

// Guards against messages that grow: all fields of an aggregated request and its response take less than
// a hundred bytes.
func TestAggregatedMessagesStaySmall(t *testing.T) {
	request := &peerv1.RateMessage{Id: 1 << 31, Incarnation: 1 << 63, Known: 420, Ask: encodeRequest(LeaseRequest{
		RequestCost: 70_000, Ahead: 3e6, Spent: 1e12, Refunded: 70_000, Overdraft: 70_000, IsRetry: true, MaxWait: 5 * time.Second, Floor: 0.9,
		Demand: 2e7, Queued: 2e6, Admitted: 10_000, Refused: 10_000,
	}, true)}
	response := &peerv1.RateMessage{Id: 1 << 31, Incarnation: 1 << 63, Known: 420, Answer: encodeResponse(LeaseResponse{Admitted: true, Leased: 3e6, RetryDelay: 5 * time.Second, Level: 1e7, NextDelay: time.Second, Rate: 2e7})}
	for _, m := range []*peerv1.RateMessage{request, response} {
		n := proto.Size(m)
		if n >= 100 {
			t.Errorf("%d bytes, want less than 100: %v", n, m)
		}
		t.Logf("%d bytes", n)
	}
}

// BenchmarkRefuse measures the refusal of a caller while as many others wait as may.
func BenchmarkRefuse(b *testing.B) {
	l := benchLimiter(420)
	now := time.Now()
	r := Request{Key: "w", Limit: l.options.LimitOf("w"), Cost: 2400, MaxWait: time.Second, Class: "c"}
	c := l.credit("w")
	c.rate, c.answeredAt, c.nextRequestAt = 5000, now.Add(time.Hour), now.Add(time.Hour)
	for i := range maxWaiters {
		c.queue.add(&waiter{request: r, sequence: uint64(i), deadline: now.Add(time.Hour)})
	}
	for b.Loop() {
		if l.Admit(b.Context(), r).Admitted {
			b.Fatal("admitted")
		}
	}
}

// Guards against callers that are refused while a coordinator is slow, although their entry's part of the
// rate is known, and against an entry that goes on granting tokens when the coordinator stays silent.
func TestPartOfTheRateIsUsedWhileTheCoordinatorIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond, interval = 100, 10 * time.Millisecond
		l, sent, _, coordinator := remoteLimiter(t)
		admit := func() Decision {
			return l.Admit(t.Context(), Request{Key: "b", Limit: smallLimit, Cost: 1, MaxWait: time.Second})
		}
		go admit()
		synctest.Wait()
		l.handleMessage(coordinator, &peerv1.RateMessage{Id: (*sent)[0].Id, Incarnation: 1, Key: "b", Answer: &peerv1.RateAnswer{Admitted: true, Rate: perSecond}}, received(l))
		answered := time.Now()
		type outcome struct {
			Decision
			at time.Duration
		}
		done := make(chan outcome, 1000)
		for range int(3 * time.Second / interval) {
			go func() {
				d := admit()
				done <- outcome{d, time.Since(answered)}
			}()
			time.Sleep(interval)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		close(done)
		admitted, last := 0, time.Duration(0)
		for o := range done {
			if o.Admitted && o.Source == Leased {
				admitted, last = admitted+1, max(last, o.at)
			}
		}
		if admitted < perSecond/2 || admitted > perSecond {
			t.Errorf("%d requests admitted, want most of the part of one second: %d", admitted, perSecond)
		}
		if last > slowGrantTime+maxTokenWait {
			t.Errorf("a request admitted %s after the last response", last)
		}
	})
}
