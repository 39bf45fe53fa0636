package quarantine

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
)

var engineAddress = netip.MustParseAddrPort("10.0.0.1:80")

func newTarget(instance string, startTime int64) fleet.Target {
	return fleet.NewTarget(fleet.Listing{Incarnation: fleet.Incarnation{Instance: instance, StartedMs: startTime}, Service: "engines", Address: engineAddress})
}

// listenerState returns the probe result of a target that refuses connections or accepts them.
func listenerState(refuses bool) upstream.ListenerState {
	if refuses {
		return upstream.ListenerRefuses
	}
	return upstream.ListenerAccepts
}

// newView returns a view of the targets in a list that was read at listedAt.
func newView(listedAt time.Time, targets ...fleet.Target) *view.View {
	return &view.View{Targets: map[string][]fleet.Target{"engines": targets}, Unresponsive: map[netip.AddrPort]bool{}, TargetsCurrentAt: listedAt}
}

func withDraining(t fleet.Target) fleet.Target {
	t.Leaving = true
	return t
}

func withUnresponsive(v *view.View) *view.View {
	v.Unresponsive[engineAddress] = true
	return v
}

// Broken connections must not count as crashes: a target may reset a connection, be draining or
// be unreachable.
func TestDetect(t *testing.T) {
	target := newTarget("i-1", 0)
	for _, c := range []struct {
		name     string
		refuses  bool
		unlisted bool
		view     *view.View
		want     Evidence
	}{
		{"connection refused", true, false, newView(testStart, target), RefusesConnections},
		{"listening after a connection reset or a malformed response", false, false, newView(testStart, target), NoEvidence},
		{"unresponsive to its sidecar", false, false, withUnresponsive(newView(testStart, target)), UnresponsiveToSidecar},
		{"draining, then stopped", true, false, newView(testStart, withDraining(target)), NoEvidence},
		{"removed from the list before it stopped", true, false, newView(testStart), NoEvidence},
		{"next incarnation listed at its address", true, false, newView(testStart, newTarget("i-2", 0)), OtherIncarnation},
		{"not listed yet, connection refused", true, true, newView(testStart, newTarget("i-0", 0)), RefusesConnections},
		{"not listed yet, listening", false, true, newView(testStart, newTarget("i-0", 0)), NoEvidence},
		{"start time known to the list only", false, false, newView(testStart, newTarget("i-1", 7)), NoEvidence},
	} {
		d := NewCrashDetector(func(context.Context, *fleet.Target) (upstream.ListenerState, error) {
			return listenerState(c.refuses), nil
		})
		if got := d.Detect(context.Background(), c.view, SuspectedCrash{Target: target, Unlisted: c.unlisted, At: atMs(0)}).Evidence; got != c.want {
			t.Errorf("%s: evidence %q, want %q", c.name, got, c.want)
		}
	}
}

// withReport adds a sidecar's report of the target, received at receivedAt.
func withReport(v *view.View, t fleet.Target, receivedAt time.Time) *view.View {
	v.Engines = map[fleet.Incarnation]view.EngineReport{t.Incarnation: {AsOf: receivedAt}}
	return v
}

// A crash without immediate evidence is confirmed by later views of the target list and the
// sidecar, and dropped if the target is still alive after the timeout.
func TestResolve(t *testing.T) {
	target := newTarget("i-1", 0)
	for _, c := range []struct {
		name  string
		later *view.View
		after time.Duration
		want  Evidence
	}{
		{"unresponsive to its sidecar", withUnresponsive(newView(atMs(100), target)), 100 * time.Millisecond, UnresponsiveToSidecar},
		{"other incarnation at its address", newView(atMs(100), newTarget("i-2", 0)), 100 * time.Millisecond, OtherIncarnation},
		{"list entry expired", newView(atMs(3600)), 3600 * time.Millisecond, Unlisted},
		{"list entry gone, still reported by its sidecar", withReport(newView(atMs(3600)), target, atMs(3500)), 3600 * time.Millisecond, NoEvidence},
		{"list entry gone, last sidecar report from before the crash could show", withReport(newView(atMs(3600)), target, atMs(100)), 3600 * time.Millisecond, Unlisted},
		{"missing from an older list", newView(atMs(-1)), 100 * time.Millisecond, NoEvidence},
		{"still listed", newView(atMs(4000), target), 4 * time.Second, NoEvidence},
		{"draining", newView(atMs(100), withDraining(target)), 100 * time.Millisecond, NoEvidence},
		{"list entry expired after the timeout", newView(atMs(8000)), 8 * time.Second, NoEvidence},
	} {
		d := NewCrashDetector(func(context.Context, *fleet.Target) (upstream.ListenerState, error) {
			return upstream.ListenerAccepts, nil
		})
		d.Detect(context.Background(), newView(testStart, target), SuspectedCrash{Fingerprint: 7, Target: target, At: atMs(0)})
		resolved, reasons := d.Resolve(c.later, testStart.Add(c.after))
		if c.want == NoEvidence {
			if len(resolved) != 0 {
				t.Errorf("%s: got %+v with evidence %v, want none", c.name, resolved, reasons)
			}
			continue
		}
		if len(resolved) != 1 || resolved[0].Fingerprint != 7 || reasons[0] != c.want {
			t.Errorf("%s: got %+v with evidence %v, want %q", c.name, resolved, reasons, c.want)
		}
		if again, _ := d.Resolve(c.later, testStart.Add(c.after)); len(again) != 0 {
			t.Errorf("%s: resolved twice", c.name)
		}
	}
}

// Concurrent requests must share one probe of their target, must not wait long for an
// unresponsive host, and must probe again once the result is outdated.
func TestProbeIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		probes := 0
		result := make(chan bool)
		d := NewCrashDetector(func(ctx context.Context, _ *fleet.Target) (upstream.ListenerState, error) {
			probes++
			select {
			case refuses := <-result:
				return listenerState(refuses), nil
			case <-ctx.Done():
				return upstream.ListenerUnknown, ctx.Err()
			}
		})
		target := newTarget("i-1", 0)
		v := newView(time.Now(), target)
		const requests = 60
		got := make(chan Evidence, requests)
		detect := func() {
			got <- d.Detect(context.Background(), v, SuspectedCrash{Target: target, At: time.Now()}).Evidence
		}
		for range requests {
			go detect()
		}
		synctest.Wait()
		result <- true
		for range requests {
			if evidence := <-got; evidence != RefusesConnections {
				t.Fatalf("got evidence %q", evidence)
			}
		}
		if probes != 1 {
			t.Errorf("%d probes, want 1", probes)
		}
		second := newTarget("i-2", 0)
		v = newView(time.Now(), second)
		started := time.Now()
		if evidence := d.Detect(context.Background(), v, SuspectedCrash{Target: second, At: started}).Evidence; evidence != NoEvidence || time.Since(started) > probeTimeout {
			t.Errorf("unresponsive host: got evidence %q after %v", evidence, time.Since(started))
		}
		time.Sleep(reprobeAfter + time.Millisecond)
		go func() { result <- true }()
		if evidence := d.Detect(context.Background(), v, SuspectedCrash{Target: second, At: time.Now()}).Evidence; evidence != RefusesConnections {
			t.Errorf("crashed later: got evidence %q", evidence)
		}
	})
}

// A target may already have started a run when it is cancelled. If it crashes shortly after, the
// crash counts against the request; a crash much later does not.
func TestCrashAfterRunWasCancelled(t *testing.T) {
	target := newTarget("i-1", 0)
	v := newView(testStart, target)
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{100 * time.Millisecond, 1}, {2 * time.Second, 0}} {
		synctest.Test(t, func(t *testing.T) {
			d := NewCrashDetector(func(context.Context, *fleet.Target) (upstream.ListenerState, error) {
				return upstream.ListenerRefuses, nil
			})
			d.AddCancelled(SuspectedCrash{Fingerprint: 7, Target: target, Step: 2, At: atMs(0)})
			if resolved, _ := d.Resolve(v, atMs(10)); len(resolved) != 0 {
				t.Errorf("resolved while the target is alive: %+v", resolved)
			}
			d.Detect(context.Background(), v, SuspectedCrash{Fingerprint: 8, Target: target, At: testStart.Add(c.after)})
			resolved, reasons := d.Resolve(v, testStart.Add(c.after+10*time.Millisecond))
			if len(resolved) != c.want || c.want == 1 && (resolved[0].Fingerprint != 7 || resolved[0].Step != 2 || reasons[0] != RefusesConnections) {
				t.Errorf("crash after %v: got %+v with evidence %v", c.after, resolved, reasons)
			}
		})
	}
}
