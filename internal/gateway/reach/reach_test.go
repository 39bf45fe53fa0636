package reach

import (
	"testing"
	"time"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// The links of an entry's host fail: heartbeats stop, and engines cannot be
// connected to. It counts as cut off until a heartbeat or an answer comes.
func TestCutOffFromAllOthers(t *testing.T) {
	var b Monitor
	b.HeartbeatReceived(at(0))
	b.EngineResponded(at(10))
	b.ConnectFailed(at(300))
	if b.Partitioned(at(500)) {
		t.Error("cut off after half a second without heartbeats")
	}
	if !b.Partitioned(at(900)) {
		t.Error("not cut off")
	}
	b.HeartbeatReceived(at(950))
	if b.Partitioned(at(951)) {
		t.Error("cut off although a sidecar was heard")
	}
}

// One engine is dark, or heartbeats are lost while engines answer, or the fleet
// has a single process: the entry goes on.
func TestOneSignAloneIsNotEnough(t *testing.T) {
	var dark, deaf, alone Monitor
	dark.HeartbeatReceived(at(900))
	dark.ConnectFailed(at(950))
	deaf.HeartbeatReceived(at(0))
	deaf.ConnectFailed(at(100))
	deaf.EngineResponded(at(950))
	alone.ConnectFailed(at(950))
	var both Monitor // all sidecars were killed, one engine is dark, the others answer
	both.HeartbeatReceived(at(0))
	both.EngineResponded(at(800))
	both.ConnectFailed(at(950))
	for name, b := range map[string]*Monitor{"dark engine": &dark, "lost heartbeats": &deaf, "single process": &alone, "one of many": &both} {
		if b.Partitioned(at(1000)) {
			t.Errorf("%s: counts as cut off", name)
		}
	}
}

// The balancer turns away, so that no request tells when the links are back. The
// entry offers itself again after a while.
func TestEvidenceOfTheCutGrowsOld(t *testing.T) {
	var b Monitor
	b.HeartbeatReceived(at(0))
	b.ConnectFailed(at(1000))
	if !b.Partitioned(at(5900)) || b.Partitioned(at(6100)) {
		t.Error("the evidence counts for another time than it should")
	}
}
