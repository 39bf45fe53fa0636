package gateway

import (
	"math"
	"runtime/metrics"
	"time"
)

// schedulingDelayMetric is the Go runtime's histogram of the time that goroutines were ready to run before they ran.
const schedulingDelayMetric = "/sched/latencies:seconds"

// schedulingDelays observes how long goroutines of this process wait for the processor. It is not safe for
// concurrent use.
type schedulingDelays struct{ before []uint64 }

// quantile returns a quantile of the delays since the last call; zero if no goroutine has run.
func (d *schedulingDelays) quantile(q float64) time.Duration {
	sample := []metrics.Sample{{Name: schedulingDelayMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	histogram := sample[0].Value.Float64Histogram()
	counts := make([]uint64, len(histogram.Counts))
	var total uint64
	for i, n := range histogram.Counts {
		counts[i] = n
		if len(d.before) == len(histogram.Counts) {
			counts[i] -= d.before[i]
		}
		total += counts[i]
	}
	d.before = append(d.before[:0], histogram.Counts...)
	return quantileOf(counts, histogram.Buckets, uint64(math.Ceil(q*float64(total))))
}

// quantileOf returns the upper end of the bucket that holds the nth of the counted delays.
func quantileOf(counts []uint64, bounds []float64, n uint64) time.Duration {
	if n == 0 {
		return 0
	}
	for i, count := range counts {
		if count < n {
			n -= count
			continue
		}
		if end := bounds[i+1]; !math.IsInf(end, 1) {
			return time.Duration(end * float64(time.Second))
		}
		return time.Duration(bounds[i] * float64(time.Second))
	}
	return 0
}
