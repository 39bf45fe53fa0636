package readtime

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

const (
	// speedHalfLife is the time after which a sample counts half.
	speedHalfLife = time.Minute
	// speedTTL is how long an engine is kept after its last sample. Its samples weigh 3 % by then.
	speedTTL = 5 * speedHalfLife
	// minSpeedSamples is the number of samples from which there is an estimate, minSpeedWeight what they
	// must still weigh. An entry of a fleet of 24 sends an engine some 20 prompts a minute. With fewer
	// samples, all may be of prompts of the same length, and the prediction may be off for that length.
	minSpeedSamples = 20
	minSpeedWeight  = 9
	// maxResidual bounds the effect of one sample, as a logarithm: samples further off count as if
	// they were off by half. The time to the first event includes delays that are not the engine's.
	maxResidual = 0.405
	// maxDeviation bounds a sample's effect on the deviation, as a logarithm. It is larger than maxResidual,
	// so that samples that agree on nothing, since the predictions are wrong, yield no narrow error.
	maxDeviation = 1.5
	// initialDeviation is the assumed mean absolute deviation of a sample's logarithm, with the weight
	// initialDeviationSamples, until samples show their own.
	initialDeviation        = 0.25
	initialDeviationSamples = 5
	// standardDeviations is the ratio of the standard to the mean absolute deviation of normal samples.
	standardDeviations = 1.25
	// maxMeanDeviation is the mean absolute deviation of samples' logarithms from which there is no
	// estimate. Engines' noise and waits give 0.2 to 0.4; the deviation of the few samples since a change
	// must be at most maxChangeDeviation. More means that predictions are wrong for some
	// lengths of prompts, so that the samples tell the mix of lengths instead of the speed.
	maxMeanDeviation   = 0.5
	maxChangeDeviation = 0.35
	// errorsInBand is the number of standard errors within which an estimate counts as equal to
	// another: two, and half as many again because consecutive samples are correlated. They wait behind
	// the same prompts.
	errorsInBand = 3
	// minBand is the least error assumed, as a logarithm. It covers what does not average out,
	// such as an entry that is itself slow.
	minBand = 0.05
	// changeResidual, changeSamples and changeTime define a change of speed: so many samples on the same
	// side, each off by at least the residual (a factor of 1.3), over at least that time, of which a
	// sample in between that is not takes back runSetback. Shorter changes are transient slowdowns, see
	// [Slowdowns].
	changeResidual = 0.262
	changeSamples  = 10
	changeTime     = slowdownHalfLife
	runSetback     = 3
	// changeDeviations is the least residual in mean absolute deviations. Where samples vary much, many in a
	// row are off on the same side while a queue is longer than expected.
	changeDeviations = 1.25
)

// Speed is the estimated speed of an engine: the ratio of the time that it takes to the time
// predicted for a usual engine. The zero value is an unknown speed.
type Speed struct {
	// Factor is the estimate, Low and High bound it by its error.
	Factor, Low, High float64
}

// Known reports whether there is an estimate.
func (s Speed) Known() bool { return s.Factor > 0 }

// Reported returns the factor that a sidecar reports without its error: zero while two engines of
// equal speed could be found uneven by their errors.
func (s Speed) Reported() float64 {
	if !s.Known() || s.High > s.Low*unevenFactor {
		return 0
	}
	return s.significant()
}

// FromReport returns the speed for a reported factor.
func FromReport(factor float64) Speed { return Speed{Factor: factor, Low: factor, High: factor} }

// significant returns the factor, or 1 if the error includes 1.
func (s Speed) significant() float64 {
	if s.Low <= 1 && s.High >= 1 {
		return 1
	}
	return s.Factor
}

// speedEstimate is a running median-like estimate of the logarithm of an engine's factor.
type speedEstimate struct {
	// weight is the number of samples that count, logFactor their center, deviation the mean absolute
	// deviation of one sample.
	weight, logFactor, deviation float64
	updatedAt                    time.Time
	// recent are the last samples, count is the number of all.
	recent [minSpeedSamples]float64
	count  int
	// run counts samples since runSince that are off by changeResidual, on the side given by its sign.
	run      int
	runSince time.Time
}

func (e *speedEstimate) weightAt(now time.Time) float64 {
	return e.weight * math.Exp2(-max(now.Sub(e.updatedAt), 0).Seconds()/speedHalfLife.Seconds())
}

func (e *speedEstimate) add(logRatio float64, now time.Time) {
	e.weight = e.weightAt(now) + 1
	if now.After(e.updatedAt) {
		e.updatedAt = now
	}
	e.recent[e.count%minSpeedSamples] = logRatio
	e.count++
	residual := logRatio - e.logFactor
	switch {
	case e.count < minSpeedSamples:
		return
	case e.count == minSpeedSamples:
		e.restart(minSpeedSamples)
		return
	case e.hasChanged(residual, now) && e.restart(changeSamples):
		return
	}
	e.logFactor += clamp(residual, maxResidual) / e.weight
	e.deviation += (min(math.Abs(residual), maxDeviation) - e.deviation) / (e.weight + initialDeviationSamples)
}

// restart begins the estimate with the median of the last n samples. A running estimate that began with an
// outlier, or with the speed before a change, would take dozens of samples to leave it.
// It reports false, and leaves the estimate, if samples after a change disagree.
func (e *speedEstimate) restart(n int) bool {
	samples := make([]float64, n)
	for i := range samples {
		samples[i] = e.recent[(e.count-n+i)%minSpeedSamples]
	}
	slices.Sort(samples)
	median := (samples[(n-1)/2] + samples[n/2]) / 2
	sum := initialDeviationSamples * initialDeviation
	for _, sample := range samples {
		sum += min(math.Abs(sample-median), maxDeviation)
	}
	deviation := sum / float64(n+initialDeviationSamples)
	if n < minSpeedSamples && deviation > maxChangeDeviation {
		return false
	}
	e.logFactor, e.deviation = median, max(e.deviation, deviation)
	e.weight, e.run = min(e.weight, float64(n)), 0
	return true
}

func clamp(x, bound float64) float64 { return min(max(x, -bound), bound) }

// hasChanged adds a sample's residual and reports whether recent samples show that the engine's speed has
// changed. The estimate then restarts instead of waiting until the old samples have decayed.
func (e *speedEstimate) hasChanged(residual float64, now time.Time) bool {
	side := 0
	if math.Abs(residual) >= max(changeResidual, changeDeviations*e.deviation) {
		side = int(math.Copysign(1, residual))
	}
	switch {
	case side == 0 && e.run > 0:
		e.run = max(e.run-runSetback, 0)
	case side == 0:
		e.run = min(e.run+runSetback, 0)
	case side*e.run > 0:
		e.run += side
	default:
		e.run, e.runSince = side, now
	}
	return max(e.run, -e.run) >= changeSamples && now.Sub(e.runSince) >= changeTime
}

func (e *speedEstimate) speed(now time.Time) Speed {
	weight := e.weightAt(now)
	if weight < minSpeedWeight || e.count < minSpeedSamples || e.deviation > maxMeanDeviation {
		return Speed{}
	}
	band := max(errorsInBand*standardDeviations*e.deviation/math.Sqrt(weight), minBand)
	return Speed{Factor: math.Exp(e.logFactor), Low: math.Exp(e.logFactor - band), High: math.Exp(e.logFactor + band)}
}

// Speeds estimates the speed of each engine over about a minute. It is safe for concurrent use.
//
// [Slowdowns] forgets within seconds and reports slow engines only. It finds an engine that is slow
// for a while, but not that one always takes 0.7 of the usual time.
type Speeds struct {
	mu       sync.Mutex
	byEngine map[fleet.Incarnation]*speedEstimate
}

// NewSpeeds returns an empty estimator.
func NewSpeeds() *Speeds { return &Speeds{byEngine: map[fleet.Incarnation]*speedEstimate{}} }

// Record adds the measured time to the first event of a request at an engine, and the time
// predicted for a usual engine with the same queue.
func (s *Speeds) Record(incarnation fleet.Incarnation, measured, predicted time.Duration, now time.Time) {
	if predicted < minPredicted || measured <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.byEngine[incarnation]
	if e == nil {
		s.sweep(now)
		e = &speedEstimate{updatedAt: now}
		s.byEngine[incarnation] = e
	}
	e.add(math.Log(float64(measured)/float64(predicted)), now)
}

// sweep drops engines without recent samples. The caller holds mu.
func (s *Speeds) sweep(now time.Time) {
	for incarnation, e := range s.byEngine {
		if now.Sub(e.updatedAt) > speedTTL {
			delete(s.byEngine, incarnation)
		}
	}
}

// Speed returns the speed of an engine.
func (s *Speeds) Speed(incarnation fleet.Incarnation, now time.Time) Speed {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.byEngine[incarnation]
	if e == nil {
		return Speed{}
	}
	return e.speed(now)
}

// Relative divides the known speeds of all engines of a service by their harmonic mean, the speed that an
// entry would see if it sent each engine prompts in proportion to what it computes.
//
// A factor that all engines have in common is a fault of the prediction: an entry learns of the others'
// sends late, so that prompts take longer than it expects at all engines. Services with even engines keep
// that reserve too; without it, fewer prompts of a burst are given up as late in favor of the others.
func Relative(speeds []Speed) {
	sum, known := 0.0, 0.0
	for _, s := range speeds {
		if s.Known() {
			sum += 1 / s.Factor
			known++
		}
	}
	if known == 0 {
		return
	}
	for i := range speeds {
		s := &speeds[i]
		s.Factor, s.Low, s.High = s.Factor*sum/known, s.Low*sum/known, s.High*sum/known
	}
}

// FactorOf returns the factor that placement uses for an engine of a service with uneven speeds:
// its long-term speed, or its recent slowdown if that is larger by more than the error of
// predictions. A slowdown of 1 says only that there is none of minSlowdown or more.
func FactorOf(s Speed, slowdown float64) float64 {
	if !s.Known() || slowdown >= minSlowdown && slowdown > minSlowdown*s.Factor {
		return max(slowdown, 1)
	}
	return s.significant()
}
