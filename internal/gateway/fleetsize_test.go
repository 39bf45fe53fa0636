package gateway

import (
	"testing"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/feed"
	"github.com/toucanwell/toucanwell/internal/gateway/hostclock"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/settings"
)

// Guards against hundreds of sidecars that follow every store of cached parts while a fleet starts,
// because they do not know its size yet.
func TestNoCacheBroadcastBeforeTheFleetSizeIsKnown(t *testing.T) {
	replica := feed.NewReplica(feed.ReplicaOptions{OutageGap: outageGap})
	c := &clusterState{targets: feed.NewFollower(nil, nil, replica, feed.Options{})}
	if c.broadcastsCaches() {
		t.Error("caches are broadcast before the list of targets is known")
	}
	replica.MarkCurrent(time.Now())
	if !c.broadcastsCaches() {
		t.Error("caches are not broadcast in a small fleet")
	}
	c.large.Store(true)
	if c.broadcastsCaches() {
		t.Error("caches are broadcast in a large fleet")
	}
}

// Guards against a new process of a large fleet that broadcasts as in a small one until its list and its
// members are complete, and against processes that keep each other in a belief that none can see.
func TestNewProcessTakesTheFleetSizeFromPeers(t *testing.T) {
	clock := hostclock.New()
	c := &clusterState{settings: &Settings{Role: settings.RoleSidecar, LargeEngines: 60, LargeEntries: 24}, clock: clock, mesh: emptyMesh(t), startedAt: clock.Now()}
	c.updateFleetSize(nil)
	if c.large.Load() {
		t.Error("a process that knows nobody takes the fleet for large")
	}
	c.onHeartbeat(&mesh.Member{Heartbeat: &peerv1.Beat{LargeFleet: true}})
	c.updateFleetSize(nil)
	if !c.large.Load() {
		t.Error("a new process does not go by what a peer says")
	}
	if c.seesLarge {
		t.Error("a process passes on what it does not see itself")
	}
	c.startedAt = clock.Now().Add(-fleetSizeSettleTime)
	c.updateFleetSize(nil)
	if c.large.Load() {
		t.Error("a process goes by what a peer said long after its start")
	}
}
