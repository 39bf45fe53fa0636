package readtime

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

var engine = fleet.Incarnation{Instance: "e"}

// recordNoisy records n samples, one every interval, of which a share are off by a factor of 20.
func recordNoisy(s *Speeds, r *rand.Rand, factor, noise, outliers float64, n int, interval time.Duration, now *time.Time) {
	for range n {
		*now = now.Add(interval)
		ratio := factor * math.Exp(noise*r.NormFloat64())
		if r.Float64() < outliers {
			ratio *= math.Pow(20, float64(1-2*r.IntN(2)))
		}
		s.Record(engine, time.Duration(ratio*float64(100*time.Millisecond)), 100*time.Millisecond, *now)
	}
}

// Guards against estimates that outliers pull away, and against errors that are stated too low. Samples
// are independent here, so that the error is that of three standard errors: 0.3 % may lie outside.
func TestSpeedIsRobust(t *testing.T) {
	outside, runs := 0, 0
	for seed := range uint64(1000) {
		r := rand.New(rand.NewPCG(seed, 1))
		for _, factor := range []float64{0.7, 1, 1.7} {
			s, now := NewSpeeds(), start
			recordNoisy(s, r, factor, 0.2+0.2*r.Float64(), 0.05, 60, 300*time.Millisecond, &now)
			got := s.Speed(engine, now)
			runs++
			if !got.Known() {
				outside++
				continue
			}
			if math.Abs(math.Log(got.Factor/factor)) > 0.3 {
				t.Errorf("seed %d: speed %.2f estimated as %+v", seed, factor, got)
			}
			if got.Low > factor || got.High < factor {
				outside++
			}
		}
	}
	if float64(outside) > 0.003*float64(runs) {
		t.Errorf("%d of %d speeds outside of the stated error", outside, runs)
	}
}

// Guards against equal engines that are treated as uneven, at any number of samples and although each
// placement compares many engines.
func TestEqualEnginesAreNotUneven(t *testing.T) {
	spread, engines := NewSpread(), make([]*Speeds, 60)
	for i := range engines {
		engines[i] = NewSpeeds()
	}
	now := start
	for round := range 40 {
		speeds, reported := make([]Speed, len(engines)), make([]Speed, len(engines))
		var at time.Time
		for i, s := range engines {
			at = now
			recordNoisy(s, rand.New(rand.NewPCG(uint64(i), uint64(round))), 1.2, 0.3, 0.02, 5, time.Second, &at)
			speeds[i] = s.Speed(engine, at)
			reported[i] = FromReport(speeds[i].Reported())
		}
		now = at
		if spread.Note("s", speeds, now) || spread.Note("s", reported, now) {
			t.Fatalf("uneven after %d samples", 5*(round+1))
		}
	}
}

// Guards against a factor from too few samples, and against one that outlives its samples.
func TestSpeedNeedsRecentSamples(t *testing.T) {
	s, now := NewSpeeds(), start
	recordNoisy(s, rand.New(rand.NewPCG(1, 1)), 1.7, 0, 0, minSpeedSamples-1, 0, &now)
	if got := s.Speed(engine, now); got.Known() || FactorOf(got, 1) != 1 {
		t.Errorf("speed %+v after %d samples", got, minSpeedSamples-1)
	}
	recordNoisy(s, rand.New(rand.NewPCG(1, 1)), 1.7, 0.1, 0, 60, 100*time.Millisecond, &now)
	if got := s.Speed(engine, now); got.Reported() < 1.5 {
		t.Errorf("speed %+v after many samples", got)
	}
	if got := s.Speed(engine, now.Add(speedTTL)); got.Known() {
		t.Errorf("speed %+v without samples for %v", got, speedTTL)
	}
}

// Guards against an engine whose speed changes and that is treated by its old speed for minutes, and
// against a transient slowdown that is taken for a change.
func TestSpeedFollowsChanges(t *testing.T) {
	s, r, now := NewSpeeds(), rand.New(rand.NewPCG(1, 1)), start
	recordNoisy(s, r, 0.7, 0.2, 0, 600, 100*time.Millisecond, &now)
	recordNoisy(s, r, 1.7, 0.2, 0, 20, 100*time.Millisecond, &now)
	if got := s.Speed(engine, now).Factor; got > 0.75 {
		t.Errorf("factor %.2f after a slowdown of 2 s", got)
	}
	recordNoisy(s, r, 0.7, 0.2, 0, 50, 100*time.Millisecond, &now)
	recordNoisy(s, r, 1.7, 0.2, 0, 150, 100*time.Millisecond, &now)
	if got := s.Speed(engine, now).Factor; got < 1.5 {
		t.Errorf("factor %.2f 15 s after the speed changed to 1.7", got)
	}
}

// The recent slowdown applies beyond the speed, and a speed below 1 only if its error allows.
func TestFactorOf(t *testing.T) {
	for _, c := range []struct {
		speed          Speed
		slowdown, want float64
	}{
		{Speed{}, 0, 1}, {Speed{}, 2, 2}, {FromReport(0.7), 1, 0.7}, {FromReport(0.7), 3, 3}, {FromReport(1.7), 1.8, 1.7},
		{Speed{Factor: 0.9, Low: 0.8, High: 1.05}, 1, 1}, {Speed{Factor: 0.9, Low: 0.85, High: 0.95}, 1, 0.9},
	} {
		if got := FactorOf(c.speed, c.slowdown); got != c.want {
			t.Errorf("%+v, slowdown %.1f: %.2f, want %.2f", c.speed, c.slowdown, got, c.want)
		}
	}
}

// Guards against predictions that are off for all engines and taken for a difference between them, and
// against a rule that alternates while only some placements see both kinds of engines.
func TestUnevenComparesOnePlacement(t *testing.T) {
	s := NewSpread()
	if s.Note("a", []Speed{FromReport(0.6), FromReport(0.7), {}}, start) || s.Note("a", []Speed{FromReport(1.5), FromReport(1.4)}, start) {
		t.Error("uneven although the engines of each placement are alike")
	}
	if !s.Note("a", []Speed{FromReport(0.7), {}, FromReport(1.7)}, start) || !s.Note("a", nil, start.Add(unevenFor/2)) {
		t.Error("not uneven")
	}
	if s.Note("b", nil, start) || s.Note("a", nil, start.Add(2*unevenFor)) {
		t.Error("uneven in another service or for too long")
	}
}

// The prediction follows the number of running requests, and a stream that was interrupted hardly
// changes it.
func TestStepTimesAreLearned(t *testing.T) {
	s, r := NewStepTimes(), rand.New(rand.NewPCG(1, 1))
	for i := range 200 {
		running := 1 + r.IntN(20)
		pause := time.Duration((10 + 2*float64(running)) * (1 + 0.1*r.NormFloat64()) * float64(time.Millisecond))
		if i%50 == 49 {
			pause = time.Minute
		}
		s.Record("a", running, pause, start.Add(time.Duration(i)*100*time.Millisecond))
		if i == 10 && s.Pause("a", 5) != 0 {
			t.Error("a prediction from few samples")
		}
	}
	for running, want := range map[int]time.Duration{1: 12 * time.Millisecond, 30: 70 * time.Millisecond} {
		if got := s.Pause("a", running); got < want*8/10 || got > want*12/10 {
			t.Errorf("%d running: %v, want %v", running, got, want)
		}
	}
}

// Guards against estimates that are not finite or leave the range of the samples, whatever their values
// and times.
func FuzzSpeed(f *testing.F) {
	f.Add([]byte{0, 255, 3, 17, 250, 0, 0, 1, 2})
	f.Add([]byte{255, 255, 255, 255, 255, 255, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, now := NewSpeeds(), start
		low, high := 1.0, 1.0
		for ; len(data) >= 3; data = data[3:] {
			measured := time.Duration(math.Exp(float64(data[0])/10) * float64(time.Microsecond))
			predicted := time.Duration(data[1]) * 10 * time.Millisecond
			now = now.Add(time.Duration(int8(data[2])) * 100 * time.Millisecond)
			if predicted >= minPredicted {
				ratio := float64(measured) / float64(predicted)
				low, high = min(low, ratio), max(high, ratio)
			}
			s.Record(engine, measured, predicted, now)
			got := s.Speed(engine, now)
			if !got.Known() {
				continue
			}
			if margin := 1 + 1e-9; !(got.Low <= got.Factor && got.Factor <= got.High) || got.Factor < low/margin || got.Factor > high*margin || math.IsInf(got.High, 0) {
				t.Fatalf("%+v from samples between %g and %g", got, low, high)
			}
		}
	})
}

// BenchmarkSpeeds measures the additional work of a decision among 60 engines, and of a sample.
func BenchmarkSpeeds(b *testing.B) {
	s, spread, now := NewSpeeds(), NewSpread(), start
	engines := make([]fleet.Incarnation, 60)
	for i := range engines {
		engines[i] = fleet.Incarnation{Instance: string(rune('a' + i))}
		for range 100 {
			s.Record(engines[i], time.Duration(70+i)*time.Millisecond, 100*time.Millisecond, now)
		}
	}
	b.Run("decision", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			speeds := make([]Speed, len(engines))
			for i := range engines {
				speeds[i] = s.Speed(engines[i], now)
			}
			spread.Note("s", speeds, now)
			Relative(speeds)
		}
	})
	b.Run("sample", func(b *testing.B) {
		for b.Loop() {
			s.Record(engines[0], 70*time.Millisecond, 100*time.Millisecond, now)
		}
	})
}
