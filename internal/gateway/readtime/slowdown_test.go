package readtime

import (
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

var start = time.Unix(1000, 0)

// A slow engine is detected after a few requests. Without further samples its slowdown
// decays, so that it is tried again.
func TestSlowEngineIsDetectedAndTriedAgain(t *testing.T) {
	s := NewSlowdowns()
	now := start
	for range 10 {
		now = now.Add(50 * time.Millisecond)
		s.Record(fleet.Incarnation{Instance: "slow"}, 800*time.Millisecond, 100*time.Millisecond, now)
		s.Record(fleet.Incarnation{Instance: "normal"}, 95*time.Millisecond, 100*time.Millisecond, now)
	}
	if got := s.Factor(fleet.Incarnation{Instance: "slow"}, now); got < 4 {
		t.Errorf("slow engine: factor %.1f", got)
	}
	if got := s.Factor(fleet.Incarnation{Instance: "normal"}, now); got < 0.9 || got > 1.1 {
		t.Errorf("normal engine: factor %.1f", got)
	}
	if got := s.Factor(fleet.Incarnation{Instance: "slow"}, now.Add(5*slowdownHalfLife)); got > 1.3 {
		t.Errorf("slow engine after %v: factor %.1f", 5*slowdownHalfLife, got)
	}
	if got := s.Factor(fleet.Incarnation{Instance: "unknown"}, now); got != 1 {
		t.Errorf("unknown engine: factor %.1f", got)
	}
}

// A single outlier has a bounded effect, and short predictions yield no sample.
func TestOutlierIsBounded(t *testing.T) {
	s := NewSlowdowns()
	s.Record(fleet.Incarnation{Instance: "x"}, time.Minute, 100*time.Millisecond, start)
	if got := s.Factor(fleet.Incarnation{Instance: "x"}, start); got > 1+smoothing*maxSample {
		t.Errorf("factor %.1f after one outlier", got)
	}
	s.Record(fleet.Incarnation{Instance: "y"}, time.Hour, time.Millisecond, start)
	if got := s.Factor(fleet.Incarnation{Instance: "y"}, start); got != 1 {
		t.Errorf("factor %.1f after a request with a short prediction", got)
	}
}
