package ratelimit

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
)

// benchLimiter returns a limiter among the given number of entries that sends no messages.
func benchLimiter(entries int) *Limiter {
	self := netip.MustParseAddrPort("10.0.0.1:7")
	limit := Limit{PerSecond: 1e12, Burst: 1e12}
	l := newLimiter(Options{Listen: self, Incarnation: 1, LimitOf: func(string) Limit { return limit }, Now: time.Now}, func([]byte, netip.AddrPort) {})
	m := &Members{AsOf: time.Now().Add(time.Hour), StartedAt: time.Now().Add(-time.Hour), Self: self, Known: entries, HeardPeer: true}
	for i := range entries {
		m.Live = append(m.Live, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i + 1)}), 7))
	}
	l.SetMembers(m)
	return l
}

// BenchmarkAdmitLeased measures admission by leased tokens.
func BenchmarkAdmitLeased(b *testing.B) {
	l := benchLimiter(420)
	r := Request{Key: "w", Limit: l.options.LimitOf("w"), Cost: 2400}
	l.credit("w").leases = []heldLease{{tokens: 1e18, expiresAt: time.Now().Add(time.Hour)}}
	for b.Loop() {
		if !l.Admit(context.Background(), r).Admitted {
			b.Fatal("refused")
		}
	}
}

// BenchmarkCoordinatorHandle measures a lease request at the coordinator, by the number of
// entries that hold leases.
func BenchmarkCoordinatorHandle(b *testing.B) {
	for _, entries := range []int{30, 420} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			l := benchLimiter(entries)
			now := time.Now()
			c := NewCoordinator(defaultIdleTimeout)
			limit := Limit{PerSecond: 1e9, Burst: 1e9}
			n := uint32(0)
			for b.Loop() {
				n++
				from := Holder{Address: l.members.Load().Live[int(n)%entries], Incarnation: 1}
				c.Handle("w", from, LeaseRequest{ID: n, RequestCost: 2400, Ahead: 10_000, Spent: float64(n)}, limit, now, now)
			}
		})
	}
}

// BenchmarkRank measures the lookup of a workspace's coordinator.
func BenchmarkRank(b *testing.B) {
	for _, entries := range []int{30, 420} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			l := benchLimiter(entries)
			for b.Loop() {
				l.members.Load().Coordinator("workspace-17")
			}
		})
	}
}

// Guards against large messages: a lease request and its response take at most a hundred bytes
// each with a short workspace name.
func TestMessagesStaySmall(t *testing.T) {
	request := &peerv1.RateMessage{Id: 1 << 31, Incarnation: 1 << 63, Key: "w", Known: 420, Ask: encodeRequest(LeaseRequest{RequestCost: 70_000, Ahead: 300_000, Spent: 1e12, Refunded: 70_000, Overdraft: 70_000, IsRetry: true, MaxWait: 5 * time.Second}, true)}
	response := &peerv1.RateMessage{Id: 1 << 31, Incarnation: 1 << 63, Key: "w", Known: 420, Answer: encodeResponse(LeaseResponse{Admitted: true, Leased: 300_000, RetryDelay: 5 * time.Second, Level: 1e6})}
	for _, m := range []*peerv1.RateMessage{request, response} {
		if n := proto.Size(m); n > 100 {
			t.Errorf("%d bytes, want at most 100: %v", n, m)
		} else {
			t.Logf("%d bytes", n)
		}
	}
}
