package reach

import (
	"testing"
	"time"
)

func afterMs(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// A host that gets no heartbeats and cannot connect counts as partitioned until the next
// heartbeat.
func TestPartitionedUntilAHeartbeat(t *testing.T) {
	var m Monitor
	m.HeartbeatReceived(afterMs(0))
	m.EngineResponded(afterMs(10))
	m.ConnectFailed(afterMs(300))
	if m.Partitioned(afterMs(500)) {
		t.Error("partitioned after half a second without heartbeats")
	}
	if !m.Partitioned(afterMs(900)) {
		t.Error("not partitioned")
	}
	m.HeartbeatReceived(afterMs(950))
	if m.Partitioned(afterMs(951)) {
		t.Error("partitioned although a sidecar sent a heartbeat")
	}
}

// An unresponsive engine, lost heartbeats or a fleet of a single process is not a
// partition.
func TestOneSignAloneIsNotEnough(t *testing.T) {
	var unresponsive, lost, single Monitor
	unresponsive.HeartbeatReceived(afterMs(900))
	unresponsive.ConnectFailed(afterMs(950))
	lost.HeartbeatReceived(afterMs(0))
	lost.ConnectFailed(afterMs(100))
	lost.EngineResponded(afterMs(950))
	single.ConnectFailed(afterMs(950))
	var oneOfMany Monitor // no sidecar is left, one engine is unresponsive, the others respond
	oneOfMany.HeartbeatReceived(afterMs(0))
	oneOfMany.EngineResponded(afterMs(800))
	oneOfMany.ConnectFailed(afterMs(950))
	for name, m := range map[string]*Monitor{"unresponsive engine": &unresponsive, "lost heartbeats": &lost, "single process": &single, "one of many": &oneOfMany} {
		if m.Partitioned(afterMs(1000)) {
			t.Errorf("%s: counts as partitioned", name)
		}
	}
}

// A connection failure expires: a partitioned entry gets no requests that would show that it
// is connected again.
func TestConnectFailureExpires(t *testing.T) {
	var m Monitor
	m.HeartbeatReceived(afterMs(0))
	m.ConnectFailed(afterMs(1000))
	if !m.Partitioned(afterMs(5900)) || m.Partitioned(afterMs(6100)) {
		t.Error("the connection failure does not count for failureTTL")
	}
}
