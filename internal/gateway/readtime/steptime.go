package readtime

import (
	"math"
	"sync"
	"time"
)

const (
	// stepHalfLife is the time after which a stream counts half.
	stepHalfLife = 2 * time.Minute
	// minStepSamples is the weight of streams from which pauses are predicted.
	minStepSamples = 20
	// maxStepSample bounds the effect of one stream, as a multiple of the prediction. Longer pauses
	// come from a network or a caller that was interrupted.
	maxStepSample = 3
)

// StepTimes predicts the pause between two events of a stream as a linear function of the number of
// requests that its engine runs. It is safe for concurrent use.
type StepTimes struct {
	mu        sync.Mutex
	byService map[string]*stepSums
}

// stepSums are the weighted sums of a linear regression of pauses, in milliseconds, on numbers of
// running requests.
type stepSums struct {
	weight, x, y, xx, xy float64
	updatedAt            time.Time
}

// NewStepTimes returns a predictor without streams.
func NewStepTimes() *StepTimes { return &StepTimes{byService: map[string]*stepSums{}} }

// Record adds the mean pause of a stream of a service, scaled to an engine of usual speed, and the
// number of requests that the engine ran when the stream began.
func (s *StepTimes) Record(service string, running int, pause time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sums := s.byService[service]
	if sums == nil {
		sums = &stepSums{updatedAt: now}
		s.byService[service] = sums
	}
	sums.decay(now)
	x, y := float64(running), float64(pause)/float64(time.Millisecond)
	if predicted := sums.predict(x); predicted > 0 {
		y = min(y, maxStepSample*predicted)
	}
	sums.weight++
	sums.x += x
	sums.y += y
	sums.xx += x * x
	sums.xy += x * y
}

func (s *stepSums) decay(now time.Time) {
	factor := math.Exp2(-max(now.Sub(s.updatedAt), 0).Seconds() / stepHalfLife.Seconds())
	for _, sum := range []*float64{&s.weight, &s.x, &s.y, &s.xx, &s.xy} {
		*sum *= factor
	}
	s.updatedAt = now
}

// predict returns the pause in milliseconds, zero if there are too few samples. The pause does not
// shorten with more requests, whatever the noise of the samples.
func (s *stepSums) predict(running float64) float64 {
	if s.weight < minStepSamples {
		return 0
	}
	meanX, meanY := s.x/s.weight, s.y/s.weight
	slope := 0.0
	if variance := s.xx/s.weight - meanX*meanX; variance > 0.25 { // below, samples differ by less than a request
		slope = max((s.xy/s.weight-meanX*meanY)/variance, 0)
	}
	return max(meanY+slope*(running-meanX), 0)
}

// Pause predicts the pause between events at an engine of usual speed that runs a number of requests;
// zero if unknown.
func (s *StepTimes) Pause(service string, running int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	sums := s.byService[service]
	if sums == nil {
		return 0
	}
	return time.Duration(sums.predict(float64(running)) * float64(time.Millisecond))
}
