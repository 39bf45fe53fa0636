package health

import (
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

var start = time.Unix(1000, 0)

func recordAll(m *Monitor, instance string, now time.Time, outcomes ...Outcome) {
	for _, o := range outcomes {
		m.Record("s", fleet.Incarnation{Instance: instance}, o, now)
	}
}

// An unreachable target is ejected at the first failure, and longer each time until it
// responds.
func TestUnreachableTargetIsEjectedAtOnce(t *testing.T) {
	m := NewMonitor(nil)
	now := start
	recordAll(m, "x", now, Unreachable)
	if _, ok := m.Ejected(now)[fleet.Incarnation{Instance: "x"}]; !ok {
		t.Fatal("not ejected")
	}
	first := m.Ejected(now)[fleet.Incarnation{Instance: "x"}].Sub(now)
	now = now.Add(first + time.Millisecond)
	if len(m.Ejected(now)) != 0 {
		t.Error("still ejected")
	}
	recordAll(m, "x", now, Unreachable)
	if again := m.Ejected(now)[fleet.Incarnation{Instance: "x"}].Sub(now); again <= first {
		t.Errorf("ejected for %v, then for %v", first, again)
	}
	now = now.Add(maxEjection)
	recordAll(m, "x", now, Good)
	recordAll(m, "x", now, Unreachable)
	if after := m.Ejected(now)[fleet.Incarnation{Instance: "x"}].Sub(now); after != baseEjection {
		t.Errorf("ejected for %v after a good response", after)
	}
}

// A target that fails more often than the others of its service is ejected.
func TestTargetThatFailsMoreThanTheOthersIsEjected(t *testing.T) {
	m := NewMonitor(nil)
	for range 10 {
		recordAll(m, "healthy", start, Good)
		recordAll(m, "failing", start, Good, Failed)
	}
	ejected := m.Ejected(start)
	if _, ok := ejected[fleet.Incarnation{Instance: "failing"}]; !ok {
		t.Error("the failing target is not ejected")
	}
	if _, ok := ejected[fleet.Incarnation{Instance: "healthy"}]; ok {
		t.Error("the healthy target is ejected")
	}
}

// No target is ejected when all targets of the service fail alike.
func TestServiceThatFailsEverywhereIsNotEjected(t *testing.T) {
	m := NewMonitor(nil)
	for range 30 {
		for _, name := range []string{"x", "y", "z"} {
			recordAll(m, name, start, Good, Good, Good, Good, Failed)
		}
	}
	if ejected := m.Ejected(start); len(ejected) != 0 {
		t.Errorf("ejected %v", ejected)
	}
}

// Consecutive broken requests eject a target before its failure rate does.
func TestConsecutiveBrokenRequestsEject(t *testing.T) {
	m := NewMonitor(nil)
	recordAll(m, "x", start, Good, Good, Good, Good, Good, Good, Good, Good, Good, Good)
	recordAll(m, "x", start, Broken, Broken)
	if len(m.Ejected(start)) != 0 {
		t.Error("ejected after two broken requests")
	}
	recordAll(m, "x", start, Broken)
	if len(m.Ejected(start)) != 1 {
		t.Error("not ejected after three broken requests")
	}
}

// A restarted target does not inherit the ejection of its previous incarnation.
func TestNextIncarnationIsNotEjected(t *testing.T) {
	m := NewMonitor(nil)
	m.Record("s", fleet.Incarnation{Instance: "x", StartedMs: 1}, Unreachable, start)
	ejected := m.Ejected(start)
	if _, ok := ejected[fleet.Incarnation{Instance: "x", StartedMs: 1}]; !ok {
		t.Error("the unreachable incarnation is not ejected")
	}
	if _, ok := ejected[fleet.Incarnation{Instance: "x", StartedMs: 2}]; ok {
		t.Error("the next incarnation is ejected")
	}
}

// Guards against requests that fail again and again at an address where something else than a target listens,
// and against a target that stays out of use once it answers.
func TestForeignResponderIsEjectedForLong(t *testing.T) {
	m, now := NewMonitor(nil), time.Unix(1000, 0)
	i := fleet.Incarnation{Instance: "i"}
	tried := 0
	for end := now.Add(10 * time.Minute); now.Before(end); now = now.Add(time.Second) {
		if _, ejected := m.Ejected(now)[i]; !ejected {
			tried++
			m.Record("s", i, Foreign, now)
		}
	}
	if tried < 10 || tried > 15 { // after four shorter ones, an ejection takes a minute
		t.Errorf("%d requests in ten minutes", tried)
	}
	now = now.Add(maxForeignEjection)
	m.Record("s", i, Good, now)
	if len(m.Ejected(now)) > 0 {
		t.Error("a target that answers is ejected")
	}
}
