// Package readtime predicts the prefill time of prompts.
//
// Prefill time is modelled as a polynomial of degree two in the number of tokens; the square
// term is due to attention. The coefficients are learned by recursive least squares from
// prompts that had their engine to themselves.
package readtime

import (
	"sync"
	"time"
)

const (
	// Initial coefficients in milliseconds: constant, per 1,000 tokens, and per square of
	// 1,000 tokens. They suit a large model on few accelerators.
	initialConstant  = 15.0
	initialLinear    = 18.0
	initialQuadratic = 0.1
	// forgettingFactor weighs past samples; at this value the last few hundred count.
	forgettingFactor = 0.995
	// initialVariance is the variance of the initial coefficients, and its upper bound
	// later on.
	initialVariance = 100.0
	// minMsPerThousand and maxMsPerThousand bound a prediction, in milliseconds per 1,000
	// tokens. Results beyond them come from too few samples.
	minMsPerThousand = 1.0
	maxMsPerThousand = 200.0
	terms            = 3
)

// Predictor learns and predicts prefill times. It is safe for concurrent use.
type Predictor struct {
	mu sync.Mutex
	// coefficients of the constant, the linear and the quadratic term.
	coefficients [terms]float64
	covariance   [terms][terms]float64
}

// NewPredictor returns a predictor with the initial coefficients.
func NewPredictor() *Predictor {
	p := &Predictor{coefficients: [terms]float64{initialConstant, initialLinear, initialQuadratic}}
	for i := range terms {
		p.covariance[i][i] = initialVariance
	}
	return p
}

func features(tokens int) [terms]float64 {
	k := float64(tokens) / 1000
	return [terms]float64{1, k, k * k}
}

// Record adds the measured prefill time of a prompt that had its engine to itself. Samples
// are weighted by the inverse of their length, so that the relative error counts.
func (p *Predictor) Record(tokens int, measured time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := features(tokens)
	size := x[0] + x[1]
	for i := range terms {
		x[i] /= size
	}
	var gain [terms]float64
	scale := forgettingFactor
	for i := range terms {
		for j := range terms {
			gain[i] += p.covariance[i][j] * x[j]
		}
		scale += x[i] * gain[i]
	}
	residual := float64(measured)/float64(time.Millisecond)/size - p.evaluate(x)
	for i := range terms {
		p.coefficients[i] += gain[i] / scale * residual
	}
	p.updateCovariance(gain, scale)
}

func (p *Predictor) updateCovariance(gain [terms]float64, scale float64) {
	for i := range terms {
		for j := range terms {
			p.covariance[i][j] = (p.covariance[i][j] - gain[i]*gain[j]/scale) / forgettingFactor
		}
		p.covariance[i][i] = min(p.covariance[i][i], initialVariance)
	}
}

func (p *Predictor) evaluate(x [terms]float64) float64 {
	sum := 0.0
	for i := range terms {
		sum += p.coefficients[i] * x[i]
	}
	return sum
}

// PrefillTime predicts the prefill time of a number of tokens.
func (p *Predictor) PrefillTime(tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := features(tokens)
	ms := min(max(p.evaluate(x), minMsPerThousand*x[1]), maxMsPerThousand*max(x[1], 1))
	return time.Duration(ms * float64(time.Millisecond))
}

// BlockingTime predicts how long the prefill of a number of tokens blocks other prompts. The
// constant part overlaps with other prefills and does not count.
func (p *Predictor) BlockingTime(tokens int) time.Duration {
	if tokens <= 0 {
		return 0
	}
	return max(p.PrefillTime(tokens)-p.PrefillTime(1), 0)
}
