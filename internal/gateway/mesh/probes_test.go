package mesh

import (
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
)

// largeFakeMesh returns the mesh of an entry among 100 others that were all heard.
func largeFakeMesh() *fakeMesh {
	f := newFakeMesh(400 * time.Millisecond)
	for i := range 100 {
		f.heartbeat(i, 1)
	}
	f.expireMembers()
	return f
}

// probed returns the entries that the next round asks for a heartbeat.
func (f *fakeMesh) probed() []netip.AddrPort {
	var to []netip.AddrPort
	f.write = func(data []byte, address netip.AddrPort) {
		heartbeat := &peerv1.Beat{}
		if proto.Unmarshal(data, heartbeat) == nil && heartbeat.Probe {
			to = append(to, address)
		}
	}
	f.sendRound(true)
	return to
}

// An entry that nothing was heard of for long must be asked for a heartbeat before it counts as dead,
// and an entry that is asked must answer.
func TestOverdueEntryIsProbed(t *testing.T) {
	f := largeFakeMesh()
	timeout := f.heartbeatTimeout(true)
	f.now = f.now.Add(timeout*7/10 - time.Second)
	for i := range 99 {
		f.heartbeat(i, 2)
	}
	if to := f.probed(); len(to) != 0 {
		t.Errorf("probed early: %v", to)
	}
	f.now = f.now.Add(time.Second)
	if to := f.probed(); len(to) != 1 || to[0] != address(99) {
		t.Errorf("probed: %v", to)
	}
	f.now = f.now.Add(timeout)
	if to := f.probed(); len(to) != 0 {
		t.Errorf("dead entries were probed: %v", to)
	}
	probe := &peerv1.Beat{Incarnation: 9, Sequence: 1, Partial: true, Probe: true}
	if to := f.receivers(func() { f.handleHeartbeat(address(200), probe, received(f.now)) }); len(to) != 1 || to[0] != address(200) {
		t.Errorf("answered: %v", to)
	}
	if f.ByAddress(address(200)) != nil {
		t.Error("a probe of an unknown process made it a member")
	}
}

// Probes and their answers are bounded when half of a fleet is silent.
func TestProbesAreBounded(t *testing.T) {
	f := largeFakeMesh()
	f.now = f.now.Add(f.heartbeatTimeout(true) * 7 / 10)
	if to := f.probed(); len(to) != FanOut {
		t.Errorf("%d probes", len(to))
	}
	to := f.receivers(func() {
		for i := range 100 {
			f.handleHeartbeat(address(i), &peerv1.Beat{Incarnation: 1, Sequence: 5, Partial: true, Probe: true}, received(f.now))
		}
	})
	if len(to) != FanOut {
		t.Errorf("%d answers", len(to))
	}
}

// In a fleet with a full mesh every entry is heard directly, and none is probed.
func TestSmallFleetDoesNotProbe(t *testing.T) {
	f := newFakeMesh(100 * time.Millisecond)
	for i := range 12 {
		f.heartbeat(i, 1)
	}
	f.expireMembers()
	f.now = f.now.Add(minHeartbeatTimeout * 7 / 10)
	if to := f.probed(); len(to) != 0 {
		t.Errorf("probed: %v", to)
	}
}
