package reach

import (
	"testing"
	"time"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// The links of an entry's host fail: heartbeats stop, and engines cannot be
// connected to. It counts as cut off until a heartbeat or an answer comes.
func TestCutOffFromAllOthers(t *testing.T) {
	var b Book
	b.Heard(at(0))
	b.Answered(at(10))
	b.Failed(at(300))
	if b.CutOff(at(500)) {
		t.Error("cut off after half a second without heartbeats")
	}
	if !b.CutOff(at(900)) {
		t.Error("not cut off")
	}
	b.Heard(at(950))
	if b.CutOff(at(951)) {
		t.Error("cut off although a sidecar was heard")
	}
}

// One engine is dark, or heartbeats are lost while engines answer, or the fleet
// has a single process: the entry goes on.
func TestOneSignAloneIsNotEnough(t *testing.T) {
	var dark, deaf, alone Book
	dark.Heard(at(900))
	dark.Failed(at(950))
	deaf.Heard(at(0))
	deaf.Failed(at(100))
	deaf.Answered(at(950))
	alone.Failed(at(950))
	var both Book // all sidecars were killed, one engine is dark, the others answer
	both.Heard(at(0))
	both.Answered(at(800))
	both.Failed(at(950))
	for name, b := range map[string]*Book{"dark engine": &dark, "lost heartbeats": &deaf, "single process": &alone, "one of many": &both} {
		if b.CutOff(at(1000)) {
			t.Errorf("%s: counts as cut off", name)
		}
	}
}

// The balancer turns away, so that no request tells when the links are back. The
// entry offers itself again after a while.
func TestEvidenceOfTheCutGrowsOld(t *testing.T) {
	var b Book
	b.Heard(at(0))
	b.Failed(at(1000))
	if !b.CutOff(at(5900)) || b.CutOff(at(6100)) {
		t.Error("the evidence counts for another time than it should")
	}
}
