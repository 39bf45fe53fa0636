package mesh

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
)

// bench is a mesh without sockets, on a clock of the test's.
type bench struct {
	*Mesh
	now time.Time
}

func newBench(period time.Duration) *bench {
	b := &bench{now: time.Unix(1000, 0)}
	b.Mesh = &Mesh{
		options: Options{
			Self: &peerv1.Beat{Name: "self", Entry: true}, Listen: netip.MustParseAddrPort("10.0.0.1:7000"),
			OnHeartbeat: func(*Member) {}, Period: func(bool) time.Duration { return period },
			Now: func() time.Time { return b.now }, Logger: logr.Discard(),
		},
		members: map[netip.AddrPort]*Member{}, due: map[bool][]netip.AddrPort{},
	}
	return b
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(i%250 + 1)}), 7000)
}

func (b *bench) beat(i int, sequence uint64) {
	b.hear(address(i), &peerv1.Beat{Name: address(i).String(), Entry: true, Incarnation: 1, Sequence: sequence})
}

// 102 other entries live, more than a round reaches. Drawn anew each round, some are not
// reached for seconds and take this entry for dead. Each is reached once in five rounds.
func TestEveryMemberIsReachedInTurn(t *testing.T) {
	b := newBench(400 * time.Millisecond)
	var all []netip.AddrPort
	for i := range 102 {
		all = append(all, address(i))
	}
	reached := map[netip.AddrPort]int{}
	for range 5 {
		for _, to := range b.nextDue(true, append([]netip.AddrPort(nil), all...)) {
			reached[to]++
		}
	}
	if len(reached) != len(all) {
		t.Errorf("%d of %d were reached", len(reached), len(all))
	}
	for to, n := range reached {
		if n > 1 {
			t.Errorf("%v was reached %d times", to, n)
		}
	}
}

// In a large fleet a heartbeat of a given entry comes every two seconds. One that is lost
// must not make its sender look dead; a sender that died must be found out all the same.
func TestLostHeartbeatIsNoDeath(t *testing.T) {
	b := newBench(400 * time.Millisecond)
	for i := range 102 {
		b.beat(i, 1)
	}
	b.forget()
	b.now = b.now.Add(2 * 5 * 400 * time.Millisecond) // two rotations
	if live := len(b.Live(true)); live != 102 {
		t.Errorf("%d of 102 live after one lost heartbeat", live)
	}
	b.now = b.now.Add(10 * time.Second)
	if live := len(b.Live(true)); live != 0 {
		t.Errorf("%d of 102 live after ten silent seconds", live)
	}
}

// A small fleet's heartbeats reach all in each round: a death is found as soon as ever.
func TestSmallFleetFindsDeathsSoon(t *testing.T) {
	b := newBench(100 * time.Millisecond)
	for i := range 12 {
		b.beat(i, 1)
	}
	b.forget()
	b.now = b.now.Add(liveFor + time.Millisecond)
	if live := len(b.Live(true)); live != 0 {
		t.Errorf("%d live after %v", live, liveFor)
	}
}

// An older heartbeat comes late. It must not bring back what its sender took back.
func TestOlderHeartbeatChangesNothing(t *testing.T) {
	b := newBench(100 * time.Millisecond)
	b.beat(1, 5)
	b.hear(address(1), &peerv1.Beat{Name: "late", Entry: true, Incarnation: 1, Sequence: 4, Leaving: true})
	if m := b.ByAddress(address(1)); m.Name == "late" || m.Leaving {
		t.Errorf("member %+v", m)
	}
}
