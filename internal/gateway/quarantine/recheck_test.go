package quarantine

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
)

// A target that still listens, or does not answer, when it breaks off a request is probed again,
// so that its crash is known before the list or its sidecar shows it.
func TestTargetIsProbedAgain(t *testing.T) {
	const accepts, refuses, unknown = upstream.ListenerAccepts, upstream.ListenerRefuses, upstream.ListenerUnknown
	for _, c := range []struct {
		name string
		// states are the results of the probes; the last one repeats.
		states []upstream.ListenerState
		// confirmed or dismissed after is when it is known whether the target has crashed.
		confirmedAfter, dismissedAfter time.Duration
		probes                         int
	}{
		{"its listener closes later", []upstream.ListenerState{accepts, refuses}, firstRecheck, 0, 2},
		{"its listener closes after a recheck", []upstream.ListenerState{accepts, accepts, refuses}, firstRecheck + recheckInterval, 0, 3},
		{"the first probe came to nothing", []upstream.ListenerState{unknown, refuses}, firstRecheck, 0, 2},
		{"alive", []upstream.ListenerState{accepts}, 0, firstRecheck + recheckInterval, 3},
		{"alive, but slow", []upstream.ListenerState{unknown, unknown, accepts}, 0, firstRecheck + 2*recheckInterval, 4},
		{"unreachable", []upstream.ListenerState{unknown}, 0, 0, 1 + int(unconfirmedTimeout/recheckInterval)},
	} {
		synctest.Test(t, func(t *testing.T) {
			probes := 0
			d := NewCrashDetector(func(context.Context, *fleet.Target) (upstream.ListenerState, error) {
				probes++
				return c.states[min(probes, len(c.states))-1], nil
			})
			target := newTarget("i-1", 0)
			v := newView(time.Now(), target)
			start := time.Now()
			var confirmedAfter, dismissedAfter time.Duration
			d.OnRecheck(time.Now, func() {
				if resolved, _ := d.Resolve(v, time.Now()); len(resolved) == 1 {
					confirmedAfter = time.Since(start)
				}
				if len(d.TakeDismissed()) == 1 {
					dismissedAfter = time.Since(start)
				}
			})
			if got := d.Detect(t.Context(), v, SuspectedCrash{Fingerprint: 7, Target: target, At: start}); !got.Suspected {
				t.Fatalf("%s: got %+v", c.name, got)
			}
			time.Sleep(suspicionTimeout)
			synctest.Wait()
			if confirmedAfter != c.confirmedAfter || dismissedAfter != c.dismissedAfter || probes != c.probes {
				t.Errorf("%s: confirmed after %v, dismissed after %v, %d probes", c.name, confirmedAfter, dismissedAfter, probes)
			}
		})
	}
}

// Many requests that one target broke off share its probes.
func TestRechecksAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		probes := 0
		d := NewCrashDetector(func(context.Context, *fleet.Target) (upstream.ListenerState, error) {
			probes++
			return upstream.ListenerAccepts, nil
		})
		target := newTarget("i-1", 0)
		v := newView(time.Now(), target)
		const requests = 50
		for i := range requests {
			d.Detect(t.Context(), v, SuspectedCrash{Fingerprint: Fingerprint(i), Target: target, At: time.Now()})
		}
		time.Sleep(time.Second)
		if n := len(d.TakeDismissed()); n != requests || probes != 1+acceptsToDismiss {
			t.Errorf("%d dismissed after %d probes", n, probes)
		}
	})
}

// A target that was found alive may have been another incarnation at the address; the list still
// shows the crash.
func TestDismissedCrashIsConfirmedByTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewCrashDetector(func(context.Context, *fleet.Target) (upstream.ListenerState, error) {
			return upstream.ListenerAccepts, nil
		})
		target := newTarget("i-1", 0)
		d.Detect(t.Context(), newView(time.Now(), target), SuspectedCrash{Fingerprint: 7, Target: target, At: time.Now()})
		time.Sleep(time.Second)
		if n := len(d.TakeDismissed()); n != 1 {
			t.Fatalf("%d dismissed", n)
		}
		if resolved, reasons := d.Resolve(newView(time.Now(), newTarget("i-2", 0)), time.Now()); len(resolved) != 1 || reasons[0] != OtherIncarnation {
			t.Errorf("got %+v with evidence %v", resolved, reasons)
		}
	})
}

// A target may crash some time after a run on it was cancelled, and listen again soon after. The crash
// counts against the request.
func TestTargetOfCancelledRunIsProbed(t *testing.T) {
	for _, c := range []struct {
		name string
		// crashAfter and restartAfter are the times from the cancellation; zero for none.
		crashAfter, restartAfter time.Duration
		want                     bool
	}{
		{"crashes at once", time.Millisecond, 300 * time.Millisecond, true},
		{"crashes after two probes found it listening", 200 * time.Millisecond, 500 * time.Millisecond, true},
		{"crashes late", 900 * time.Millisecond, 2 * time.Second, true},
		{"alive", 0, 0, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			start, probes := time.Now(), 0
			var confirmed atomic.Bool
			d := NewCrashDetector(func(context.Context, *fleet.Target) (upstream.ListenerState, error) {
				probes++
				since := time.Since(start)
				return listenerState(c.crashAfter > 0 && since >= c.crashAfter && since < c.restartAfter), nil
			})
			target := newTarget("i-1", 0)
			v := newView(start, target)
			d.OnRecheck(time.Now, func() {
				if resolved, _ := d.Resolve(v, time.Now()); len(resolved) > 0 {
					confirmed.Store(true)
				}
			})
			d.AddCancelled(SuspectedCrash{Fingerprint: 7, Target: target, At: start})
			time.Sleep(suspicionTimeout)
			synctest.Wait()
			if confirmed.Load() != c.want {
				t.Errorf("%s: confirmed %v", c.name, confirmed.Load())
			}
			if most := int(unconfirmedTimeout / recheckInterval); probes > most {
				t.Errorf("%s: %d probes, want %d at most", c.name, probes, most)
			}
			d.Resolve(v, time.Now())
			if dismissed, expired := len(d.TakeDismissed()), len(d.TakeExpired()); dismissed > 0 || (expired == 1) == c.want {
				t.Errorf("%s: %d dismissed, %d expired", c.name, dismissed, expired)
			}
		})
	}
}

// A target that a caller left is probed once. Only a crash counts: a target that hangs makes many
// callers leave.
func TestAbandonedRun(t *testing.T) {
	target := newTarget("i-1", 0)
	for _, c := range []struct {
		name  string
		state upstream.ListenerState
		view  func() *view.View
		want  Evidence
	}{
		{"crashed", upstream.ListenerRefuses, func() *view.View { return newView(time.Now(), target) }, RefusesConnections},
		{"replaced", upstream.ListenerAccepts, func() *view.View { return newView(time.Now(), newTarget("i-2", 0)) }, OtherIncarnation},
		{"alive", upstream.ListenerAccepts, func() *view.View { return newView(time.Now(), target) }, NoEvidence},
		{"silent", upstream.ListenerAccepts, func() *view.View { return withUnresponsive(newView(time.Now(), target)) }, NoEvidence},
		{"unreachable", upstream.ListenerUnknown, func() *view.View { return newView(time.Now(), target) }, NoEvidence},
	} {
		synctest.Test(t, func(t *testing.T) {
			probes := 0
			d := NewCrashDetector(func(context.Context, *fleet.Target) (upstream.ListenerState, error) {
				probes++
				return c.state, nil
			})
			for range 3 {
				d.AddAbandoned(SuspectedCrash{Fingerprint: 7, Target: target, At: time.Now()})
			}
			time.Sleep(abandonedProbeDelay + time.Millisecond)
			synctest.Wait()
			resolved, reasons := d.Resolve(c.view(), time.Now())
			if probes != 1 || (c.want == NoEvidence) != (len(resolved) == 0) || len(resolved) > 0 && reasons[0] != c.want {
				t.Errorf("%s: %d probes, evidence %v", c.name, probes, reasons)
			}
			if len(d.TakeDismissed()) != 0 {
				t.Errorf("%s: a suspicion was dismissed that there never was", c.name)
			}
		})
	}
}
