package gateway

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/asof"
	"github.com/toucanwell/toucanwell/internal/gateway/feed"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/hostclock"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
)

// delayedHeartbeat is a heartbeat that may have waited for three seconds, while its receiver was stopped.
func delayedHeartbeat(b *peerv1.Beat) *mesh.Member {
	now := time.Now()
	return &mesh.Member{Address: netip.MustParseAddrPort("127.0.0.2:1"), Name: "peer", Heartbeat: b, Receipt: asof.Message(now.Add(-3*time.Second), now)}
}

func stateForHeartbeats(t *testing.T) *clusterState {
	t.Helper()
	replica := feed.NewReplica(feed.ReplicaOptions{OutageGap: outageGap})
	replica.Replace(feed.Snapshot{Records: []feed.Record{{Key: "a", Value: []byte("1")}}, End: 1}, time.Now().Add(-10*time.Second))
	return &clusterState{
		clock: hostclock.New(), logger: logr.Discard(), mesh: emptyMesh(t), engineReports: map[fleet.Incarnation]view.EngineReport{}, unresponsive: map[netip.AddrPort]time.Time{},
		targets: feed.NewFollower(nil, nil, replica, feed.Options{}), declarations: feed.NewFollower(nil, nil, replica, feed.Options{}),
		wantedWeights: map[string]weights.History{}, replicaSeenAt: map[string]time.Time{}, retainedSeen: map[retainedSet]bool{},
	}
}

// Guards against an engine that counts as newer than the target list, and against one that counts as running
// although it has crashed, by reports that waited while the process was stopped.
func TestEngineReportIsAsOldAsItsHeartbeatMayBe(t *testing.T) {
	c := stateForHeartbeats(t)
	m := delayedHeartbeat(&peerv1.Beat{Engine: &peerv1.EngineState{Instance: "i", Address: "127.0.0.2:2", Phase: peerv1.EnginePhase_ENGINE_PHASE_SERVING, BeganWithinMs: 500}})
	c.applyEngineReport(m)
	report := c.engineReports[fleet.Incarnation{Instance: "i"}]
	if report.AsOf != m.Receipt.After {
		t.Errorf("the report holds as of %s after the heartbeat may have been written", report.AsOf.Sub(m.Receipt.After))
	}
	if want := m.Receipt.After.Add(-500 * time.Millisecond); report.StartedAfter != want {
		t.Errorf("the engine counts as started %s later than it may have", report.StartedAfter.Sub(want))
	}
	if report.PhaseSince != m.Receipt.At {
		t.Errorf("the phase counts as lasting for %s longer than is known", m.Receipt.At.Sub(report.PhaseSince))
	}
}

// Guards against a report of an unresponsive engine that counts as new although it waited.
func TestUnresponsiveReportIsAsOldAsItsHeartbeatMayBe(t *testing.T) {
	c := stateForHeartbeats(t)
	m := delayedHeartbeat(&peerv1.Beat{Engine: &peerv1.EngineState{Instance: "i", Address: "127.0.0.2:2", Phase: peerv1.EnginePhase_ENGINE_PHASE_SILENT}})
	c.applyEngineReport(m)
	if at := c.unresponsive[netip.MustParseAddrPort("127.0.0.2:2")]; at != m.Receipt.After {
		t.Errorf("the report holds as of %s after the heartbeat may have been written", at.Sub(m.Receipt.After))
	}
}

// Guards against a replica that counts as current by a peer's heartbeat that waited.
func TestReplicaIsCurrentAsOfThePeersHeartbeat(t *testing.T) {
	c := stateForHeartbeats(t)
	m := delayedHeartbeat(&peerv1.Beat{Topics: []*peerv1.TopicPosition{{Topic: topicTargets, End: 1, SeenFrom: 1, AgeMs: 200}}})
	c.onHeartbeat(m)
	replica := c.targets.Replica()
	if want := m.Receipt.After.Add(-200 * time.Millisecond); replica.CurrentAt() != want {
		t.Errorf("current as of %s after what the heartbeat shows", replica.CurrentAt().Sub(want))
	}
	if want := m.Receipt.At.Add(-200 * time.Millisecond); replica.ConfirmedAt() != want {
		t.Errorf("confirmed %s after the heartbeat was processed", replica.ConfirmedAt().Sub(want))
	}
}

// Guards against ages that grow without end between two processes which tell each other since when a version is
// wanted, as each message may have waited.
func TestWantedAgesDoNotGrowBetweenProcesses(t *testing.T) {
	c := stateForHeartbeats(t)
	since := time.Now().Add(-20 * time.Second)
	c.wantedWeights["m"] = c.wantedWeights["m"].Add(weights.WantedVersion{Version: 2, Since: since})
	c.onWanted(delayedHeartbeat(&peerv1.Beat{Wanted: []*peerv1.WantedWeights{{Model: "m", Version: 2, AgeMs: uint32(time.Since(since).Milliseconds())}}}))
	if got := c.wantedWeights["m"][0].Since; since.Sub(got) > minBackdate {
		t.Errorf("the version counts as wanted for %s longer", since.Sub(got))
	}
}
