package parts

import (
	"testing"
	"time"
)

// Four entries send 20,000 tokens per second each to eight engines: 20,000 free tokens are
// replaced every two seconds, which retentionFactor extends to three. The estimate stays
// within its bounds for large, tiny and idle caches.
func TestRetentionFollowsCacheSize(t *testing.T) {
	var estimator RetentionEstimator
	at := now
	for range 200 {
		at = at.Add(50 * time.Millisecond)
		estimator.AddTokens(1000, at)
	}
	small := estimator.Retention(4, 8, 20_000, at)
	if want := 3 * time.Second; small < want*8/10 || small > want*12/10 {
		t.Errorf("retention of small caches is %v, want about %v", small, want)
	}
	if got := estimator.Retention(4, 8, 250_000, at); got != maxRetention {
		t.Errorf("retention of large caches is %v, want the maximum", got)
	}
	if got := estimator.Retention(4, 8, 1000, at); got != minRetention {
		t.Errorf("retention of tiny caches is %v, want the minimum", got)
	}
	if got := estimator.Retention(4, 8, 20_000, at.Add(time.Minute)); got != maxRetention {
		t.Errorf("retention of idle caches is %v, want the maximum", got)
	}
}
