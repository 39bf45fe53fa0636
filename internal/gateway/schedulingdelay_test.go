package gateway

import (
	"math"
	"runtime"
	"testing"
	"time"
)

// Guards against a delay that is taken from the wrong bucket, or that does not end.
func TestQuantileIsTheEndOfItsBucket(t *testing.T) {
	bounds := []float64{0, 0.001, 0.01, math.Inf(1)}
	for _, c := range []struct {
		counts []uint64
		n      uint64
		want   time.Duration
	}{
		{[]uint64{0, 0, 0}, 0, 0},
		{[]uint64{8, 2, 0}, 8, time.Millisecond},
		{[]uint64{8, 2, 0}, 9, 10 * time.Millisecond},
		{[]uint64{0, 0, 4}, 1, 10 * time.Millisecond},
	} {
		if got := quantileOf(c.counts, bounds, c.n); got != c.want {
			t.Errorf("%d of %v: %v, want %v", c.n, c.counts, got, c.want)
		}
	}
}

// Guards against a runtime that no longer has the histogram: the delay would always be logged as none.
func TestSchedulingDelaysAreObserved(t *testing.T) {
	var d schedulingDelays
	for range 1000 {
		done := make(chan struct{})
		go close(done)
		<-done
		runtime.Gosched()
	}
	if d.quantile(1) <= 0 {
		t.Error("no delay was observed")
	}
}
