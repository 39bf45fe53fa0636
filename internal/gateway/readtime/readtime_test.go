package readtime

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// engineMs is an engine that reads 66 tokens a millisecond, with the square term
// of attention and a fixed start.
func engineMs(tokens int) float64 {
	n := float64(tokens)
	return 16 + n/66.2 + 0.276*n*n/2/1e6
}

// Prompts of all lengths are measured, each a little off. Long and short ones
// are predicted within a tenth, after some dozens.
func TestMeterLearnsBothTerms(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	m := NewPredictor()
	for range 80 {
		n := int(math.Exp(r.NormFloat64()*1.2 + 8))
		noise := 1 + 0.1*r.NormFloat64()
		m.Record(n, time.Duration(engineMs(n)*noise*float64(time.Millisecond)))
	}
	for _, n := range []int{1000, 5000, 20_000, 40_000} {
		got := float64(m.PrefillTime(n)) / float64(time.Millisecond)
		if want := engineMs(n); math.Abs(got-want) > 0.15*want {
			t.Errorf("%d tokens: %.0f ms, want %.0f", n, got, want)
		}
	}
}

// A few measurements that are far off leave predictions within bounds.
func TestPredictionsStayWithinBounds(t *testing.T) {
	m := NewPredictor()
	for _, took := range []time.Duration{0, time.Hour, time.Nanosecond} {
		m.Record(2000, took)
		for _, n := range []int{0, 10, 1000, 100_000} {
			if got := m.PrefillTime(n); got < 0 || got > time.Duration(slowest*max(float64(n)/1000, 1))*time.Millisecond {
				t.Errorf("%d tokens after %v: %v", n, took, got)
			}
		}
	}
}
