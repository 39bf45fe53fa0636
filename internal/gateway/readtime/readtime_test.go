package readtime

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// simulatedMs is the prefill time of an engine that computes 66 tokens a millisecond, plus a
// constant and a quadratic term.
func simulatedMs(tokens int) float64 {
	n := float64(tokens)
	return 16 + n/66.2 + 0.276*n*n/2/1e6
}

// The predictor converges for long and short prompts after some dozens of noisy samples.
func TestPredictorLearnsAllTerms(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	p := NewPredictor()
	for range 80 {
		n := int(math.Exp(r.NormFloat64()*1.2 + 8))
		noise := 1 + 0.1*r.NormFloat64()
		p.Record(n, time.Duration(simulatedMs(n)*noise*float64(time.Millisecond)))
	}
	for _, n := range []int{1000, 5000, 20_000, 40_000} {
		got := float64(p.PrefillTime(n)) / float64(time.Millisecond)
		if want := simulatedMs(n); math.Abs(got-want) > 0.15*want {
			t.Errorf("%d tokens: %.0f ms, want %.0f", n, got, want)
		}
	}
}

// Predictions stay within bounds after extreme samples.
func TestPredictionsStayWithinBounds(t *testing.T) {
	p := NewPredictor()
	for _, measured := range []time.Duration{0, time.Hour, time.Nanosecond} {
		p.Record(2000, measured)
		for _, n := range []int{0, 10, 1000, 100_000} {
			if got := p.PrefillTime(n); got < 0 || got > time.Duration(maxMsPerThousand*max(float64(n)/1000, 1))*time.Millisecond {
				t.Errorf("%d tokens after %v: %v", n, measured, got)
			}
		}
	}
}
