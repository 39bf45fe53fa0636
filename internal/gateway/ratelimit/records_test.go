package ratelimit

import (
	"net/netip"
	"testing"
	"time"
)

var (
	noon    = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	holder1 = Holder{Address: netip.MustParseAddrPort("10.0.0.1:7"), Incarnation: 1}
	holder2 = Holder{Address: netip.MustParseAddrPort("10.0.0.2:7"), Incarnation: 2}
	small   = Limit{PerSecond: 100, Burst: 100}
)

// An entry leases tokens and stands still for a minute. When it goes on they have lapsed:
// others have used the rate meanwhile.
func TestLeasedTokensLapse(t *testing.T) {
	c := &credit{}
	c.take(LeaseResponse{Leased: 50}, noon)
	if !c.spend(10, noon.Add(leaseFor-time.Millisecond)) {
		t.Error("leased tokens cannot be used in time")
	}
	if c.spend(10, noon.Add(time.Minute)) {
		t.Error("leased tokens can be used after a minute")
	}
}

// Tokens that one entry has leased and not used count against the burst: the bucket does not
// fill up beside them. Once they are reported as used, or have lapsed, it does.
func TestLeasedTokensCountAgainstTheBurst(t *testing.T) {
	c := NewCoordinator(time.Hour)
	a := c.Handle("w", holder1, LeaseRequest{ID: 1, Ahead: 40}, small, noon.Add(-time.Minute), noon)
	if a.Leased != 40 || a.Level != 60 {
		t.Fatalf("%+v", a)
	}
	later := noon.Add(time.Second)
	if a = c.Handle("w", holder2, LeaseRequest{ID: 1}, small, noon, later); a.Level != 60 {
		t.Errorf("the bucket holds %.0f beside 40 that are leased", a.Level)
	}
	c.Handle("w", holder1, LeaseRequest{ID: 2, Spent: 30}, small, noon, later)
	if a = c.Handle("w", holder2, LeaseRequest{ID: 2}, small, noon, later.Add(time.Second)); a.Level != 90 {
		t.Errorf("the bucket holds %.0f beside 10 that are leased", a.Level)
	}
	if a = c.Handle("w", holder2, LeaseRequest{ID: 3}, small, noon, later.Add(10*time.Second)); a.Level != 100 {
		t.Errorf("the bucket holds %.0f after the lease lapsed", a.Level)
	}
}

// A question reaches the coordinator twice, the second time late. It takes its cost once,
// and is answered the same.
func TestQuestionThatComesTwiceCountsOnce(t *testing.T) {
	c := NewCoordinator(time.Hour)
	ask := LeaseRequest{ID: 7, RequestCost: 30}
	first := c.Handle("w", holder1, ask, small, noon.Add(-time.Minute), noon)
	second := c.Handle("w", holder1, ask, small, noon, noon.Add(time.Millisecond))
	if !first.Admitted || second != first {
		t.Errorf("%+v, then %+v", first, second)
	}
	if a := c.Handle("w", holder2, LeaseRequest{ID: 1}, small, noon, noon.Add(time.Millisecond)); a.Level < 70 {
		t.Errorf("%.0f left of 100 after one request of 30", a.Level)
	}
}

// One prompt is larger than the workspace's burst. It is served when the bucket holds
// anything, and what it takes is owed before the next one is.
func TestRequestLargerThanTheBurst(t *testing.T) {
	c := NewCoordinator(time.Hour)
	if a := c.Handle("w", holder1, LeaseRequest{ID: 1, RequestCost: 250}, small, noon.Add(-time.Minute), noon); !a.Admitted {
		t.Error("it is never served")
	}
	a := c.Handle("w", holder1, LeaseRequest{ID: 2, RequestCost: 1}, small, noon, noon.Add(time.Second))
	if a.Admitted || a.RetryDelay < 400*time.Millisecond {
		t.Errorf("%+v: 150 are owed after a second of 100", a)
	}
	if a = c.Handle("w", holder1, LeaseRequest{ID: 3, RequestCost: 1, IsRetry: true}, small, noon, noon.Add(time.Second+a.RetryDelay)); !a.Admitted {
		t.Error("who comes back at the time told is refused again")
	}
}

// Operators lower a limit to a tenth while the bucket is full. What is left in it is the
// lower burst.
func TestLowerLimitHoldsForWhatIsInTheBucket(t *testing.T) {
	c := NewCoordinator(time.Hour)
	c.Handle("w", holder1, LeaseRequest{ID: 1}, small, noon.Add(-time.Minute), noon)
	if a := c.Handle("w", holder1, LeaseRequest{ID: 2}, small.Scaled(0.1), noon, noon.Add(time.Millisecond)); a.Level > 10 {
		t.Errorf("the bucket holds %.0f, allowed are 10 at once", a.Level)
	}
}

// A use that did not come about is taken back, unless the coordinator was told of it.
func TestUseTakenBack(t *testing.T) {
	c := &credit{}
	c.take(LeaseResponse{Leased: 50}, noon)
	c.spend(30, noon)
	c.unspend(30, noon.Add(time.Second))
	if got := c.stock(noon); got != 50 {
		t.Errorf("%.0f of 50 left", got)
	}
	c.spend(30, noon)
	c.ask(1, 0, noon)
	c.unspend(30, noon.Add(time.Second))
	if got := c.stock(noon); got != 20 {
		t.Errorf("%.0f left, reported were 30 of 50", got)
	}
}

// Many callers are refused at once. Each is told a time of its own to come back, one after
// the other as the rate brings tokens.
func TestRefusedCallersAreToldOneAfterTheOther(t *testing.T) {
	c := NewCoordinator(time.Hour)
	c.Handle("w", holder1, LeaseRequest{ID: 1, RequestCost: 120}, small, noon.Add(-time.Minute), noon)
	last := time.Duration(0)
	for n := uint32(2); n < 6; n++ {
		a := c.Handle("w", holder1, LeaseRequest{ID: n, RequestCost: 20, MaxWait: time.Minute}, small, noon, noon)
		if a.Admitted || a.RetryDelay <= last {
			t.Errorf("question %d: %+v after %s", n, a, last)
		}
		last = a.RetryDelay
	}
}

// A coordinator stands still for some seconds; another has given out the rate meanwhile. When
// it goes on and hears the others again, its bucket is empty, whatever the rate would have
// brought in the time.
func TestCoordinatorThatStoodStillBeginsEmpty(t *testing.T) {
	now := noon
	self, other := netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.2:7")
	l := newLimiter(Options{Listen: self, Incarnation: 1, LimitOf: func(string) Limit { return small }, Now: func() time.Time { return now }}, func([]byte, netip.AddrPort) {})
	see := func(live ...netip.AddrPort) {
		l.SetMembers(&Members{AsOf: now, StartedAt: noon.Add(-time.Hour), Self: self, Live: live, Known: 2, Unreachable: 2 - len(live), HeardPeer: true})
	}
	workspace := "w"
	for (&Members{Live: []netip.AddrPort{self, other}}).Coordinator(workspace) != self {
		workspace += "w"
	}
	see(self, other)
	now = now.Add(10 * time.Second)
	see(self, other)
	if a, ok := l.answerFor(workspace, holder2, LeaseRequest{ID: 1}, false, now); !ok || a.Level != small.Burst {
		t.Fatalf("%+v, %v", a, ok)
	}
	see(self)
	now = now.Add(time.Millisecond)
	see(self, other)
	if a, _ := l.answerFor(workspace, holder2, LeaseRequest{ID: 2}, false, now); a.Level > small.Burst/2+1 {
		t.Errorf("the bucket holds %.0f of %.0f when the other entry is back", a.Level, small.Burst)
	}
}

// A workspace's coordinator has ended, and another takes its place, which does not know what
// was used. Its bucket holds what the rate has brought since then, and no burst.
func TestNewBucketHoldsWhatTheRateHasBroughtSince(t *testing.T) {
	for _, c := range []struct {
		since time.Duration
		level float64
	}{{0, 0}, {300 * time.Millisecond, 30}, {time.Hour, 100}} {
		a := NewCoordinator(time.Hour).Handle("w", holder1, LeaseRequest{ID: 1}, small, noon.Add(-c.since), noon)
		if a.Level != c.level {
			t.Errorf("coordinating for %s: the bucket holds %.0f", c.since, a.Level)
		}
	}
}

// A group that was cut off hears others again. It gives out more only when those have had
// time to notice whom they no longer hear: both groups would count the same entries.
func TestPartThatRoseIsHeldDown(t *testing.T) {
	s := &shares{}
	s.add(0.5, noon)
	s.add(1, noon.Add(time.Second))
	if got := s.least(); got != 0.5 {
		t.Errorf("a second after it rose: %.2f", got)
	}
	s.add(1, noon.Add(sharesFor+time.Millisecond))
	if got := s.least(); got != 1 {
		t.Errorf("three seconds after it was low: %.2f", got)
	}
}
