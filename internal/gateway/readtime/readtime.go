// Package readtime learns how long engines take to read prompts.
//
// The time grows with a prompt's length and, by the attention among its tokens,
// with the square of it: a prompt of 50,000 tokens takes half as long again as
// fifty of 1,000. Both, and a fixed part, are learned by recursive least squares
// from the prompts that met no others at their engine.
package readtime

import (
	"sync"
	"time"
)

const (
	// The values assumed until some are measured: a fixed part in milliseconds,
	// for 1,000 tokens, and for the square of that; of a large model on few
	// accelerators.
	firstFixed    = 15.0
	firstThousand = 18.0
	firstSquare   = 0.1
	// forget is the weight of what was learned before one more measurement. With
	// it the last few hundred count.
	forget = 0.995
	// trust is how far the first values may be off, as a variance.
	trust = 100.0
	// fastest and slowest bound a prediction, in milliseconds for 1,000 tokens:
	// what lies beyond was learned from too few prompts.
	fastest = 1.0
	slowest = 200.0
	terms   = 3
)

// Meter is safe for concurrent use.
type Predictor struct {
	mu sync.Mutex
	// weights of the fixed part, of thousands of tokens, and of their square.
	weights [terms]float64
	spread  [terms][terms]float64
}

// New returns a meter that has measured nothing.
func NewPredictor() *Predictor {
	m := &Predictor{weights: [terms]float64{firstFixed, firstThousand, firstSquare}}
	for i := range terms {
		m.spread[i][i] = trust
	}
	return m
}

func features(tokens int) [terms]float64 {
	k := float64(tokens) / 1000
	return [terms]float64{1, k, k * k}
}

// Note takes in how long an engine took to read a prompt that met no others. Long
// prompts are measured with larger errors and weigh less by their length, so
// that the relative error counts.
func (m *Predictor) Record(tokens int, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := features(tokens)
	size := x[0] + x[1]
	for i := range terms {
		x[i] /= size
	}
	var gain [terms]float64
	scale := forget
	for i := range terms {
		for j := range terms {
			gain[i] += m.spread[i][j] * x[j]
		}
		scale += x[i] * gain[i]
	}
	missed := float64(took)/float64(time.Millisecond)/size - m.predict(x)
	for i := range terms {
		m.weights[i] += gain[i] / scale * missed
	}
	m.shrink(gain, scale)
}

func (m *Predictor) shrink(gain [terms]float64, scale float64) {
	for i := range terms {
		for j := range terms {
			m.spread[i][j] = (m.spread[i][j] - gain[i]*gain[j]/scale) / forget
		}
		m.spread[i][i] = min(m.spread[i][i], trust)
	}
}

func (m *Predictor) predict(x [terms]float64) float64 {
	sum := 0.0
	for i := range terms {
		sum += m.weights[i] * x[i]
	}
	return sum
}

// Of predicts how long an engine takes to read so many tokens.
func (m *Predictor) PrefillTime(tokens int) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := features(tokens)
	ms := min(max(m.predict(x), fastest*x[1]), slowest*max(x[1], 1))
	return time.Duration(ms * float64(time.Millisecond))
}

// Occupies predicts for how long the reading of so many tokens holds up other prompts:
// the fixed part passes while others are read.
func (m *Predictor) BlockingTime(tokens int) time.Duration {
	if tokens <= 0 {
		return 0
	}
	return max(m.PrefillTime(tokens)-m.PrefillTime(1), 0)
}
