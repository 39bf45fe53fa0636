package mesh

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/asof"
)

// fakeMesh is a mesh without sockets and with a manual clock.
type fakeMesh struct {
	*Mesh
	now time.Time
}

func newFakeMesh(period time.Duration) *fakeMesh {
	f := &fakeMesh{now: time.Unix(1000, 0)}
	f.Mesh = &Mesh{
		options: Options{
			Self: &peerv1.Beat{Name: "self", Entry: true}, Listen: netip.MustParseAddrPort("10.0.0.1:7000"),
			OnHeartbeat: func(*Member) {}, Period: func(bool) time.Duration { return period }, RoundSize: func(bool) int { return FanOut },
			Hosts: func() []netip.Addr { return nil }, Compose: func(*peerv1.Beat) {},
			Now: func() time.Time { return f.now }, Logger: logr.Discard(),
		},
		write: func([]byte, netip.AddrPort) {}, members: map[netip.AddrPort]*Member{}, pendingReceivers: map[bool][]netip.AddrPort{}, fullMeshSize: FanOut,
	}
	return f
}

// received is the receipt of a heartbeat that comes without delay.
func received(now time.Time) asof.Receipt { return asof.Message(now, now) }

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(i%250 + 1)}), 7000)
}

func (f *fakeMesh) heartbeat(i int, sequence uint64) {
	f.handleHeartbeat(address(i), &peerv1.Beat{Name: address(i).String(), Entry: true, Incarnation: 1, Sequence: sequence}, received(f.now))
}

// Each of 102 members, more than one round reaches, must be reached once in five rounds. Members
// that are left out for seconds would consider this entry dead.
func TestRotationReachesEveryMember(t *testing.T) {
	f := newFakeMesh(400 * time.Millisecond)
	var all []netip.AddrPort
	for i := range 102 {
		all = append(all, address(i))
	}
	reached := map[netip.AddrPort]int{}
	for range 5 {
		for _, to := range f.nextReceivers(true, append([]netip.AddrPort(nil), all...)) {
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

// In a small fleet, where each round reaches all members, a dead member must be detected within
// minHeartbeatTimeout.
func TestSmallFleetDetectsDeadMember(t *testing.T) {
	f := newFakeMesh(100 * time.Millisecond)
	for i := range 12 {
		f.heartbeat(i, 1)
	}
	f.expireMembers()
	f.now = f.now.Add(minHeartbeatTimeout + time.Millisecond)
	if live := len(f.Live(true)); live != 0 {
		t.Errorf("%d live after %v", live, minHeartbeatTimeout)
	}
}

// receivers returns the receivers of the heartbeats that send writes.
func (f *fakeMesh) receivers(send func()) []netip.AddrPort {
	var to []netip.AddrPort
	f.write = func(_ []byte, address netip.AddrPort) { to = append(to, address) }
	send()
	return to
}

func (f *fakeMesh) hostsAt(numbers ...int) {
	f.options.Hosts = func() []netip.Addr {
		var hosts []netip.Addr
		for _, i := range numbers {
			hosts = append(hosts, address(i).Addr())
		}
		return hosts
	}
}

// A host that another process has named must be sent a heartbeat as soon as it is known to run a
// target. Otherwise its sidecar learns of a restarted entry, and tells it the contents of its cache,
// only in the next round.
func TestNamedHostIsIntroduced(t *testing.T) {
	f := newFakeMesh(400 * time.Millisecond)
	f.hostsAt(1, 2)
	f.applySighting(address(1), 7, 1)
	if to := f.receivers(f.Introduce); len(to) != 2 {
		t.Errorf("first introduction: sent to %v", to)
	}
	f.handleHeartbeat(address(2), &peerv1.Beat{Name: "sidecar", Incarnation: 1, Sequence: 1}, received(f.now))
	if to := f.receivers(f.Introduce); len(to) != 0 {
		t.Errorf("second introduction: sent to %v", to)
	}
}

// A process that is heard for the first time, or again after its restart, must be sent a heartbeat
// at once: it may know only this process's earlier incarnation.
func TestHeardProcessIsAnswered(t *testing.T) {
	f := newFakeMesh(400 * time.Millisecond)
	for _, c := range []struct {
		name                  string
		incarnation, sequence uint64
		want                  int
	}{{"first heartbeat", 1, 1, 1}, {"second heartbeat", 1, 2, 0}, {"next incarnation", 2, 1, 1}, {"its second heartbeat", 2, 2, 0}} {
		to := f.receivers(func() {
			f.handleHeartbeat(address(3), &peerv1.Beat{Name: "sidecar", Incarnation: c.incarnation, Sequence: c.sequence}, received(f.now))
		})
		if len(to) != c.want {
			t.Errorf("%s: sent to %v", c.name, to)
		}
	}
}

// In a large fleet a new process hears hundreds of others and must not answer each of them.
func TestHeardProcessIsNotAnsweredInALargeFleet(t *testing.T) {
	f := newFakeMesh(400 * time.Millisecond)
	hearAll := func() {
		for i := range 300 {
			f.heartbeat(i, 1)
		}
	}
	if to := f.receivers(hearAll); len(to) > FanOut {
		t.Errorf("before the first round: answered %d", len(to))
	}
	f = newFakeMesh(400 * time.Millisecond)
	f.knownEntries = FanOut + 1
	if to := f.receivers(hearAll); len(to) != 0 {
		t.Errorf("answered %d", len(to))
	}
}

// A delayed heartbeat must not overwrite the state of a newer one.
func TestDelayedHeartbeatIsIgnored(t *testing.T) {
	f := newFakeMesh(100 * time.Millisecond)
	f.heartbeat(1, 5)
	f.handleHeartbeat(address(1), &peerv1.Beat{Name: "late", Entry: true, Incarnation: 1, Sequence: 4, Leaving: true}, received(f.now))
	if m := f.ByAddress(address(1)); m.Name == "late" || m.Leaving {
		t.Errorf("member %+v", m)
	}
}
