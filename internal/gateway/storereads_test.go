package gateway

import (
	"net/netip"
	"testing"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/asof"
	"github.com/toucanwell/toucanwell/internal/gateway/feed"
	"github.com/toucanwell/toucanwell/internal/gateway/hostclock"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/settings"
)

// Guards against a store that is read by every process of a fleet that starts, and against entries
// with callers that wait for peers which have no replica either.
func TestNewProcessWaitsForPeers(t *testing.T) {
	for name, c := range map[string]struct {
		wait peerWait
		want bool
	}{
		"first start, nobody heard":                     {peerWait{sinceStart: 2 * time.Second}, true},
		"first start, nobody heard for long":            {peerWait{sinceStart: 4 * time.Second}, false},
		"first start, a peer has a replica":             {peerWait{sinceStart: 2 * time.Second, replicaSeen: true}, true},
		"first start, no fetch for long":                {peerWait{sinceStart: 4 * time.Second, replicaSeen: true}, false},
		"first start, only empty peers":                 {peerWait{sinceStart: 2 * time.Second, emptySeen: true}, true},
		"restart, nobody heard":                         {peerWait{sinceStart: 100 * time.Millisecond, mayHaveCallers: true}, true},
		"restart, nobody answers":                       {peerWait{sinceStart: 400 * time.Millisecond, mayHaveCallers: true}, false},
		"restart, peers have just started":              {peerWait{sinceStart: 10 * time.Millisecond, mayHaveCallers: true, emptySeen: true}, false},
		"restart, some peers have just started":         {peerWait{sinceStart: 10 * time.Millisecond, mayHaveCallers: true, emptySeen: true, replicaSeen: true}, true},
		"restart, a peer has a replica but no time yet": {peerWait{sinceStart: 400 * time.Millisecond, mayHaveCallers: true, replicaSeen: true}, false},
	} {
		if got := c.wait.shouldWait(); got != c.want {
			t.Errorf("%s: waits %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a store that all entries of a fleet read for some seconds after their start because
// each knows of no other yet and takes itself for the first.
func TestNewEntryDoesNotTakeItselfForTheFirst(t *testing.T) {
	clock := hostclock.New()
	entry := func(name, address string, startedAgo time.Duration) *clusterState {
		return &clusterState{
			settings: &Settings{Name: name, Role: settings.RoleEntry, MeshListen: address, Seeds: []string{"10.0.0.1:1"}}, clock: clock,
			startedAt: clock.Now().Add(-startedAgo), mesh: emptyMesh(t),
		}
	}
	for name, c := range map[string]struct {
		state *clusterState
		first bool
	}{
		"new entry":     {entry("a", "10.0.0.9:7000", time.Second), false},
		"seed":          {entry("b", "10.0.0.1:7000", time.Second), true},
		"settled entry": {entry("c", "10.0.0.9:7000", 3*time.Second), true},
	} {
		for _, large := range []bool{false, true} {
			c.state.large.Store(large)
			if reads := c.state.targetsReadAge() == firstEntryReadAge; reads != c.first {
				t.Errorf("%s, large %v: reads the list as the first %v", name, large, reads)
			}
			if polls := c.state.longPollsDeclarations(); polls != c.first {
				t.Errorf("%s, large %v: polls the declarations %v", name, large, polls)
			}
		}
	}
}

// emptyMesh returns a mesh without members.
func emptyMesh(t *testing.T) *mesh.Mesh {
	t.Helper()
	m, err := mesh.New(control.NewLoop(1, func(time.Duration) {}), mesh.Options{
		Self: &peerv1.Beat{}, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Now: time.Now, Compose: func(*peerv1.Beat) {},
		Period: func(bool) time.Duration { return time.Second }, RoundSize: func(bool) int { return mesh.FanOut },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return m
}

// Guards against an entry that starts with the replica of a peer that is cut off from the store, and serves by an old
// configuration until others tell it of a newer one.
func TestStartingEntryReadsTheStoreAfterAnOldReplica(t *testing.T) {
	for name, c := range map[string]struct {
		age  time.Duration
		want bool
	}{
		"the peer is cut off":     {age: 5 * time.Second, want: true},
		"the peer knows the news": {age: 500 * time.Millisecond, want: false},
	} {
		clock := hostclock.New()
		state := &clusterState{
			settings: &Settings{Role: settings.RoleEntry, MeshListen: "10.0.0.9:7000", Seeds: []string{"10.0.0.1:1"}, Bounds: BoundsSettings{Configuration: settings.Duration{Duration: 4 * time.Second}}},
			clock:    clock, startedAt: clock.Now(), mesh: emptyMesh(t),
		}
		state.large.Store(true)
		follower := feed.NewFollower(nil, nil, feed.NewReplica(feed.ReplicaOptions{OutageGap: outageGap}), feed.Options{OnChange: func([]string) {}})
		page := feed.Page{Full: true, Snapshot: feed.Snapshot{End: 1, Records: []feed.Record{{Key: "config", Value: []byte("1")}}}}
		now := clock.Now()
		if !follower.ApplyPage(page, feed.Position{}, asof.Answer(now, now), c.age, "10.0.0.2:7000") {
			t.Fatalf("%s: the page is not applied", name)
		}
		if got := state.shouldReadDeclarations(follower.Replica().ConfirmedAt()); got != c.want {
			t.Errorf("%s, %v ago: the entry reads the store %v, want %v", name, c.age, got, c.want)
		}
	}
}
