package ratelimit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

var largeFleet = flag.Bool("large", false, "also share the limits of targets among 420 entries")

const (
	// targetWindow, targetFactor and targetSlack define how many requests a target may get in
	// relation to the limit that it states.
	targetWindow = 4 * time.Second
	targetFactor = 1.5
	targetSlack  = 5
)

func allowedAtTarget(perSecond float64) float64 {
	return targetFactor*perSecond*targetWindow.Seconds() + targetSlack
}

// newTargetFleet returns a fleet that shares the limit of a target.
func newTargetFleet(t *testing.T, n int, perSecond float64, seed uint64) *fleetSim {
	f := newFleet(t, n, TargetLimit(perSecond), seed)
	f.hasAlternative = true
	return f
}

// targetDemand spreads requests unevenly over the entries.
func targetDemand(perSecond float64, n int) demand {
	d := skewedDemand(perSecond, n)
	return func(entry int, at time.Duration) (float64, float64) {
		rate, _ := d(entry, at)
		return rate, 1
	}
}

// checkWindows returns the first window in which more was used than the largest limit that was in
// force in it or shortly before allows; "" if there is none.
func (f *fleetSim) checkWindows(limitAt func(at time.Duration) float64) string {
	slices.SortFunc(f.used, func(a, b use) int { return int(a.at - b.at) })
	for first := range f.used {
		begin, n := f.used[first].at, 0
		for _, u := range f.used[first:] {
			if u.at >= begin+targetWindow {
				break
			}
			n++
		}
		if allowed := allowedAtTarget(limitAt(begin)); float64(n) > allowed {
			return fmt.Sprintf("%d requests within %s from %s on, allowed are %.1f", n, targetWindow, begin, allowed)
		}
	}
	return ""
}

// Guards against a target that gets more than the limit that it states, and against one that is
// left idle because each of many entries holds a share of it.
func TestTargetLimitIsKeptAndUsed(t *testing.T) {
	// maxDemand is how many requests a second the simulation makes for one entry.
	const maxDemand = 200
	sizes := []int{1, 2, 12, 48}
	if *largeFleet {
		sizes = append(sizes, 420)
	}
	for _, n := range sizes {
		for _, perSecond := range []float64{0.3, 2, 30, 300} {
			if perSecond > float64(n*maxDemand) {
				continue
			}
			t.Run(fmt.Sprintf("%d entries, %g per second", n, perSecond), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					const duration, overload, minUse = 24 * time.Second, 3, 0.8
					f := newTargetFleet(t, n, perSecond, 1)
					f.run(time.Second, skewedDemand(0, 0), noop)
					f.run(duration, targetDemand(overload*perSecond, n), noop)
					if problem := f.checkWindows(func(time.Duration) float64 { return perSecond }); problem != "" {
						t.Error(problem)
					}
					used := float64(len(f.used)) / (perSecond * duration.Seconds())
					if used < minUse {
						t.Errorf("%.2f of the limit used, want %.2f", used, minUse)
					}
					t.Logf("%.2f of the limit used, %.2f messages per request", used, float64(f.messages)/float64(f.requests))
				})
			})
		}
	}
}

// Guards against overuse of a target's limit while its value changes and entries are killed,
// suspended, restarted and cut off, with messages lost and doubled.
func TestTargetLimitHoldsUnderFaults(t *testing.T) {
	// learnedWithin is the time in which all entries learn a new value.
	const learnedWithin = time.Second
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		n := rapid.IntRange(1, 12).Draw(r, "entries")
		problem := ""
		var faults []string
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			perSecond := []float64{0.3, 2, 20}[random.IntN(3)]
			f := newTargetFleet(t, n, perSecond, seed)
			f.loss, f.duplication = 0.1*random.Float64(), 0.1*random.Float64()
			values := []limitValue{{0, perSecond}}
			f.run(time.Second, skewedDemand(0, 0), noop)
			for range 4 {
				if random.IntN(3) == 0 {
					perSecond = []float64{0.3, 2, 20}[random.IntN(3)]
					values = append(values, limitValue{time.Since(f.start), perSecond})
				}
				f.run(time.Duration(1+random.IntN(4))*time.Second, targetDemand(10*random.Float64()*perSecond, n), func(at time.Duration) {
					if at == 500*time.Millisecond {
						f.injectFault(random)
					}
					f.learnLimit(at, learnedWithin, TargetLimit(perSecond))
				})
			}
			problem = f.checkWindows(func(at time.Duration) float64 { return largestLimit(values, at) })
			faults = f.faults
		})
		if problem != "" {
			r.Fatalf("%s; faults %q", problem, faults)
		}
	})
}

// limitValue is a limit in requests per second and when it was stated.
type limitValue struct {
	at        time.Duration
	perSecond float64
}

// largestLimit returns the largest limit in force between shortly before a window and its end.
func largestLimit(values []limitValue, begin time.Duration) float64 {
	const grace = 3 * time.Second
	largest := 0.0
	for i, v := range values {
		replaced := i+1 < len(values) && values[i+1].at+grace < begin
		if v.at < begin+targetWindow && !replaced {
			largest = max(largest, v.perSecond)
		}
	}
	return largest
}

// learnLimit lets the entries learn a new limit one after the other.
func (f *fleetSim) learnLimit(at, within time.Duration, limit Limit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limit = limit
	for i, e := range f.entries {
		if at >= within*time.Duration(i)/time.Duration(len(f.entries)) {
			e.limit = limit
		}
	}
}

// Guards against requests of low priority that leave no room for those of high priority while the
// limit suffices for the latter, and against room that nobody uses.
func TestHigherPriorityIsAdmittedFirst(t *testing.T) {
	for _, perSecond := range []float64{1, 2, 20} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const entries, duration, lowFloor = 4, 60 * time.Second, 0.6
				f := newTargetFleet(t, entries, perSecond, 1)
				f.run(time.Second, skewedDemand(0, 0), noop)
				var asked, admitted [2]int
				ask := func(priority int) {
					asked[priority]++
					r := Request{Key: "w", Limit: TargetLimit(perSecond), Cost: 1, Floor: lowFloor * float64(priority), HasAlternative: true}
					f.mu.Lock()
					l := f.entries[f.random.IntN(entries)].limiter
					f.mu.Unlock()
					f.tasks.Go(func() {
						if l.Admit(t.Context(), r).Admitted {
							f.mu.Lock()
							defer f.mu.Unlock()
							admitted[priority]++
						}
					})
				}
				f.run(duration, skewedDemand(0, 0), func(time.Duration) {
					if f.arrives(0.5 * perSecond) {
						ask(0)
					}
					if f.arrives(3 * perSecond) {
						ask(1)
					}
				})
				high := float64(admitted[0]) / float64(asked[0])
				used := float64(admitted[0]+admitted[1]) / (perSecond * duration.Seconds())
				if high < 0.9 || used < 0.85 {
					t.Errorf("%.2f of the requests of high priority admitted, want 0.9; %.2f of the limit used, want 0.85", high, used)
				}
				t.Logf("%.2f of high, %.2f of low priority admitted, %.2f of the limit used", high, float64(admitted[1])/float64(asked[1]), used)
			})
		})
	}
}
