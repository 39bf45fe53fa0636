package ratelimit

import (
	"net/netip"
	"testing"
	"time"
)

var (
	testStart  = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	holder1    = Holder{Address: netip.MustParseAddrPort("10.0.0.1:7"), Incarnation: 1}
	holder2    = Holder{Address: netip.MustParseAddrPort("10.0.0.2:7"), Incarnation: 2}
	smallLimit = Limit{PerSecond: 100, Burst: 100}
)

// Guards against an entry that uses leased tokens after it was suspended: others have used the
// rate meanwhile.
func TestLeasesExpire(t *testing.T) {
	c := &credit{}
	c.addLease(LeaseResponse{Leased: 50}, testStart)
	if !c.spend(10, testStart.Add(leaseDuration-time.Millisecond)) {
		t.Error("leased tokens cannot be used before the lease expires")
	}
	if c.spend(10, testStart.Add(time.Minute)) {
		t.Error("leased tokens can be used after a minute")
	}
}

// Guards against a bucket that refills to its capacity beside leased tokens. They count against
// the burst until they are reported as used or the lease expires.
func TestLeasedTokensCountAgainstTheBurst(t *testing.T) {
	c := NewCoordinator(time.Hour)
	resp := c.Handle("w", holder1, LeaseRequest{ID: 1, Ahead: 40}, smallLimit, testStart.Add(-time.Minute), testStart)
	if resp.Leased != 40 || resp.Level != 60 {
		t.Fatalf("got %+v, want 40 leased and a level of 60", resp)
	}
	later := testStart.Add(time.Second)
	if resp = c.Handle("w", holder2, LeaseRequest{ID: 1}, smallLimit, testStart, later); resp.Level != 60 {
		t.Errorf("level %.0f with 40 tokens leased", resp.Level)
	}
	c.Handle("w", holder1, LeaseRequest{ID: 2, Spent: 30}, smallLimit, testStart, later)
	if resp = c.Handle("w", holder2, LeaseRequest{ID: 2}, smallLimit, testStart, later.Add(time.Second)); resp.Level != 90 {
		t.Errorf("level %.0f with 10 tokens leased", resp.Level)
	}
	if resp = c.Handle("w", holder2, LeaseRequest{ID: 3}, smallLimit, testStart, later.Add(10*time.Second)); resp.Level != 100 {
		t.Errorf("level %.0f after the lease expired", resp.Level)
	}
}

// Guards against a duplicate lease request that is counted twice or gets another response.
func TestDuplicateRequestCountsOnce(t *testing.T) {
	c := NewCoordinator(time.Hour)
	req := LeaseRequest{ID: 7, RequestCost: 30}
	first := c.Handle("w", holder1, req, smallLimit, testStart.Add(-time.Minute), testStart)
	second := c.Handle("w", holder1, req, smallLimit, testStart, testStart.Add(time.Millisecond))
	if !first.Admitted || second != first {
		t.Errorf("first response %+v, second %+v", first, second)
	}
	if resp := c.Handle("w", holder2, LeaseRequest{ID: 1}, smallLimit, testStart, testStart.Add(time.Millisecond)); resp.Level < 70 {
		t.Errorf("level %.0f of 100 after one request of 30", resp.Level)
	}
}

// Guards against a request larger than the burst that is never admitted. It leaves the bucket
// below zero, which later requests have to wait for.
func TestRequestLargerThanTheBurst(t *testing.T) {
	c := NewCoordinator(time.Hour)
	if resp := c.Handle("w", holder1, LeaseRequest{ID: 1, RequestCost: 250}, smallLimit, testStart.Add(-time.Minute), testStart); !resp.Admitted {
		t.Error("the request is refused")
	}
	resp := c.Handle("w", holder1, LeaseRequest{ID: 2, RequestCost: 1}, smallLimit, testStart, testStart.Add(time.Second))
	if resp.Admitted || resp.RetryDelay < 400*time.Millisecond {
		t.Errorf("got %+v one second later, with a deficit of 150 at 100 per second", resp)
	}
	if resp = c.Handle("w", holder1, LeaseRequest{ID: 3, RequestCost: 1, IsRetry: true}, smallLimit, testStart, testStart.Add(time.Second+resp.RetryDelay)); !resp.Admitted {
		t.Error("a retry after the retry delay is refused")
	}
}

// Guards against a full bucket that grants the old burst after operators lower the limit.
func TestLowerLimitAppliesToTheBucketLevel(t *testing.T) {
	c := NewCoordinator(time.Hour)
	c.Handle("w", holder1, LeaseRequest{ID: 1}, smallLimit, testStart.Add(-time.Minute), testStart)
	if resp := c.Handle("w", holder1, LeaseRequest{ID: 2}, smallLimit.Scaled(0.1), testStart, testStart.Add(time.Millisecond)); resp.Level > 10 {
		t.Errorf("level %.0f, the burst is 10", resp.Level)
	}
}

// The cost of a request that did not run returns to the leases, unless it was reported as spent.
func TestUndoSpend(t *testing.T) {
	c := &credit{}
	c.addLease(LeaseResponse{Leased: 50}, testStart)
	c.spend(30, testStart)
	c.undoSpend(30, testStart.Add(time.Second))
	if got := c.available(testStart); got != 50 {
		t.Errorf("%.0f of 50 available", got)
	}
	c.spend(30, testStart)
	c.newRequest(1, 0, testStart)
	c.undoSpend(30, testStart.Add(time.Second))
	if got := c.available(testStart); got != 20 {
		t.Errorf("%.0f of 50 available after 30 were reported as spent", got)
	}
}

// Guards against callers that are refused together and all retry at the same time.
func TestRefusedCallersGetDistinctRetryDelays(t *testing.T) {
	c := NewCoordinator(time.Hour)
	c.Handle("w", holder1, LeaseRequest{ID: 1, RequestCost: 120}, smallLimit, testStart.Add(-time.Minute), testStart)
	last := time.Duration(0)
	for id := uint32(2); id < 6; id++ {
		resp := c.Handle("w", holder1, LeaseRequest{ID: id, RequestCost: 20, MaxWait: time.Minute}, smallLimit, testStart, testStart)
		if resp.Admitted || resp.RetryDelay <= last {
			t.Errorf("request %d: got %+v after a retry delay of %s", id, resp, last)
		}
		last = resp.RetryDelay
	}
}

// Guards against a suspended coordinator that, when it resumes and hears from the others again,
// grants the rate of the time in which another entry coordinated.
func TestResumedCoordinatorStartsEmpty(t *testing.T) {
	now := testStart
	self, other := netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.2:7")
	l := newLimiter(Options{Listen: self, Incarnation: 1, LimitOf: func(string) Limit { return smallLimit }, Now: func() time.Time { return now }}, func([]byte, netip.AddrPort) {})
	setLive := func(live ...netip.AddrPort) {
		l.SetMembers(&Members{AsOf: now, StartedAt: testStart.Add(-time.Hour), Self: self, Live: live, Known: 2, Unreachable: 2 - len(live), HeardPeer: true})
	}
	key := "w"
	for (&Members{Live: []netip.AddrPort{self, other}}).Coordinator(key) != self {
		key += "w"
	}
	setLive(self, other)
	now = now.Add(10 * time.Second)
	setLive(self, other)
	if resp, ok := l.handleRequest(key, holder2, LeaseRequest{ID: 1}, false, now); !ok || resp.Level != smallLimit.Burst {
		t.Fatalf("got %+v, %v, want a full bucket", resp, ok)
	}
	setLive(self)
	now = now.Add(time.Millisecond)
	setLive(self, other)
	if resp, _ := l.handleRequest(key, holder2, LeaseRequest{ID: 2}, false, now); resp.Level > smallLimit.Burst/2+1 {
		t.Errorf("level %.0f of %.0f after the other entry is back", resp.Level, smallLimit.Burst)
	}
}

// Guards against a new coordinator that grants a burst although it does not know what was used
// before. Its bucket holds what the rate has refilled since it became the coordinator.
func TestNewBucketStartsWithoutABurst(t *testing.T) {
	for _, c := range []struct {
		since time.Duration
		level float64
	}{{0, 0}, {300 * time.Millisecond, 30}, {time.Hour, 100}} {
		resp := NewCoordinator(time.Hour).Handle("w", holder1, LeaseRequest{ID: 1}, smallLimit, testStart.Add(-c.since), testStart)
		if resp.Level != c.level {
			t.Errorf("coordinator for %s: level %.0f", c.since, resp.Level)
		}
	}
}

// Guards against a share that rises as soon as a partition heals, while both sides still count
// the same entries.
func TestShareRisesLate(t *testing.T) {
	h := &shareHistory{}
	h.add(0.5, testStart)
	h.add(1, testStart.Add(time.Second))
	if got := h.lowest(); got != 0.5 {
		t.Errorf("share %.2f one second after it rose", got)
	}
	h.add(1, testStart.Add(shareWindow+time.Millisecond))
	if got := h.lowest(); got != 1 {
		t.Errorf("share %.2f three seconds after it was low", got)
	}
}
