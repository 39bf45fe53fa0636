package readtime

import (
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

var start = time.Unix(1000, 0)

// An engine turns eight times slower while its health is good. A few requests
// show it; it is used less. When it is not used at all any more, the belief
// fades, so that it is tried again.
func TestSlowEngineIsKnownAndTriedAgain(t *testing.T) {
	p := NewSlowdowns()
	now := start
	for range 10 {
		now = now.Add(50 * time.Millisecond)
		p.Record(fleet.Incarnation{Instance: "slow"}, 800*time.Millisecond, 100*time.Millisecond, now)
		p.Record(fleet.Incarnation{Instance: "fine"}, 95*time.Millisecond, 100*time.Millisecond, now)
	}
	if got := p.Factor(fleet.Incarnation{Instance: "slow"}, now); got < 4 {
		t.Errorf("slow by %.1f", got)
	}
	if got := p.Factor(fleet.Incarnation{Instance: "fine"}, now); got < 0.9 || got > 1.1 {
		t.Errorf("fine by %.1f", got)
	}
	if got := p.Factor(fleet.Incarnation{Instance: "slow"}, now.Add(5*paceHalfLife)); got > 1.3 {
		t.Errorf("after %v still slow by %.1f", 5*paceHalfLife, got)
	}
	if got := p.Factor(fleet.Incarnation{Instance: "unknown"}, now); got != 1 {
		t.Errorf("unknown by %.1f", got)
	}
}

// One request that hung for a minute does not rule an engine out.
func TestOneOutlierIsBounded(t *testing.T) {
	p := NewSlowdowns()
	p.Record(fleet.Incarnation{Instance: "x"}, time.Minute, 100*time.Millisecond, start)
	if got := p.Factor(fleet.Incarnation{Instance: "x"}, start); got > 1+paceSmoothing*maxPace {
		t.Errorf("slow by %.1f", got)
	}
	p.Record(fleet.Incarnation{Instance: "y"}, time.Hour, time.Millisecond, start)
	if got := p.Factor(fleet.Incarnation{Instance: "y"}, start); got != 1 {
		t.Errorf("a request that says nothing counts: %.1f", got)
	}
}
