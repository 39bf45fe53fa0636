package parts

import (
	"testing"
	"time"
)

// Four entries send 20,000 tokens a second each to eight engines with room for
// 50,000 tokens: an engine is filled anew every 5 s. Engines of the same fleet
// that have more than ten times the room keep parts for as long as is believed at all.
func TestSmallCachesKeepPartsForLess(t *testing.T) {
	var turnover RetentionEstimator
	at := now
	for range 200 {
		at = at.Add(50 * time.Millisecond)
		turnover.AddTokens(1000, at)
	}
	small := turnover.Retention(4, 8, 20_000, at)
	if want := 3 * time.Second; small < want*8/10 || small > want*12/10 {
		t.Errorf("small caches keep parts for %v, want about %v", small, want)
	}
	if got := turnover.Retention(4, 8, 250_000, at); got != mostKept {
		t.Errorf("large caches keep parts for %v", got)
	}
	if got := turnover.Retention(4, 8, 1000, at); got != leastKept {
		t.Errorf("tiny caches keep parts for %v", got)
	}
	if got := turnover.Retention(4, 8, 20_000, at.Add(time.Minute)); got != mostKept {
		t.Errorf("idle caches keep parts for %v", got)
	}
}
