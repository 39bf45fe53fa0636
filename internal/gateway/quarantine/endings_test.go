package quarantine

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
)

var engineAt = netip.MustParseAddrPort("10.0.0.1:80")

func life(instance string, born int64) fleet.Target {
	return fleet.NewTarget(fleet.Listing{Incarnation: fleet.Incarnation{Instance: instance, StartedMs: born}, Service: "engines", Address: engineAt})
}

// shows is a view with some targets, as listed at a time.
func shows(listedAt time.Time, targets ...fleet.Target) *view.View {
	return &view.View{Targets: map[string][]fleet.Target{"engines": targets}, Unresponsive: map[netip.AddrPort]bool{}, TargetsCurrentAt: listedAt}
}

func leaving(t fleet.Target) fleet.Target {
	t.Leaving = true
	return t
}

func silent(v *view.View) *view.View {
	v.Unresponsive[engineAt] = true
	return v
}

// A connection broke off. Whether its target has ended is told by whether anything listens
// there, by its sidecar, and by the list; a target that leaves as planned, one that reset a
// connection, and one that is cut off have not ended under a request.
func TestEndedTellsEndsFromBrokenConnections(t *testing.T) {
	one := life("i-1", 0)
	for _, c := range []struct {
		story    string
		refuses  bool
		unlisted bool
		view     *view.View
		want     Evidence
	}{
		{"the process is gone", true, false, shows(start, one), RefusesConnections},
		{"it listens: it reset a connection, or sent nonsense", false, false, shows(start, one), NoEvidence},
		{"its sidecar finds it silent", false, false, silent(shows(start, one)), UnresponsiveToSidecar},
		{"it leaves as planned, and ends", true, false, shows(start, leaving(one)), NoEvidence},
		{"it was taken off the list before it ended", true, false, shows(start), NoEvidence},
		{"the list has the next life at its address already", true, false, shows(start, life("i-2", 0)), OtherIncarnation},
		{"the list has not shown this life yet, and it is gone", true, true, shows(start, life("i-0", 0)), RefusesConnections},
		{"the list has not shown this life yet, and it listens", false, true, shows(start, life("i-0", 0)), NoEvidence},
		{"the list names when it was born, its sidecar does not", false, false, shows(start, life("i-1", 7)), NoEvidence},
	} {
		e := NewCrashDetector(func(context.Context, *fleet.Target) bool { return c.refuses })
		if got := e.Detect(context.Background(), c.view, SuspectedCrash{Target: one, Unlisted: c.unlisted, At: at(0)}); got != c.want {
			t.Errorf("%s: evidence %q, want %q", c.story, got, c.want)
		}
	}
}

// reported adds a sidecar's word of a target that was heard at a time.
func reported(v *view.View, t fleet.Target, heardAt time.Time) *view.View {
	v.Engines = map[fleet.Incarnation]view.EngineReport{t.Incarnation: {ReceivedAt: heardAt}}
	return v
}

// Nothing could be told at once. What the sidecar or the list says soon after settles it;
// a target that is still there after some seconds lives.
func TestDoubtsAreSettledLater(t *testing.T) {
	one := life("i-1", 0)
	for _, c := range []struct {
		story string
		later *view.View
		after time.Duration
		want  Evidence
	}{
		{"its sidecar finds it silent", silent(shows(at(100), one)), 100 * time.Millisecond, UnresponsiveToSidecar},
		{"another life is at its address", shows(at(100), life("i-2", 0)), 100 * time.Millisecond, OtherIncarnation},
		{"its entry has run out", shows(at(3600)), 3600 * time.Millisecond, Unlisted},
		{"its entry is gone and its sidecar reports it", reported(shows(at(3600)), one, at(3500)), 3600 * time.Millisecond, NoEvidence},
		{"its entry is gone and its sidecar was heard before it could know", reported(shows(at(3600)), one, at(100)), 3600 * time.Millisecond, Unlisted},
		{"an older list lacks it", shows(at(-1)), 100 * time.Millisecond, NoEvidence},
		{"it is still there", shows(at(4000), one), 4 * time.Second, NoEvidence},
		{"it began to leave", shows(at(100), leaving(one)), 100 * time.Millisecond, NoEvidence},
		{"its entry has run out, long after", shows(at(8000)), 8 * time.Second, NoEvidence},
	} {
		e := NewCrashDetector(func(context.Context, *fleet.Target) bool { return false })
		e.Detect(context.Background(), shows(start, one), SuspectedCrash{Fingerprint: 7, Target: one, At: at(0)})
		doubts, why := e.Resolve(c.later, start.Add(c.after))
		if c.want == NoEvidence {
			if len(doubts) != 0 {
				t.Errorf("%s: %+v for %v", c.story, doubts, why)
			}
			continue
		}
		if len(doubts) != 1 || doubts[0].Fingerprint != 7 || why[0] != c.want {
			t.Errorf("%s: %+v for %v, want %q", c.story, doubts, why, c.want)
		}
		if again, _ := e.Resolve(c.later, start.Add(c.after)); len(again) != 0 {
			t.Errorf("%s: settled twice", c.story)
		}
	}
}

// Sixty requests break off with their engine. It is asked once, and all wait for the
// answer, but not for long when its host answers nothing. One that was found to listen may
// end later, and is asked again.
func TestATargetIsAskedOnceForAllItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		answer := make(chan bool)
		e := NewCrashDetector(func(ctx context.Context, _ *fleet.Target) bool {
			asked++
			select {
			case a := <-answer:
				return a
			case <-ctx.Done():
				return false
			}
		})
		one := life("i-1", 0)
		v := shows(time.Now(), one)
		const requests = 60
		got := make(chan Evidence, requests)
		ask := func() { got <- e.Detect(context.Background(), v, SuspectedCrash{Target: one, At: time.Now()}) }
		for range requests {
			go ask()
		}
		synctest.Wait()
		answer <- true
		for range requests {
			if evidence := <-got; evidence != RefusesConnections {
				t.Fatalf("evidence %q", evidence)
			}
		}
		if asked != 1 {
			t.Errorf("asked %d times", asked)
		}
		two := life("i-2", 0)
		v = shows(time.Now(), two)
		began := time.Now()
		if evidence := e.Detect(context.Background(), v, SuspectedCrash{Target: two, At: began}); evidence != NoEvidence || time.Since(began) > askFor {
			t.Errorf("a dark host: %q after %v", evidence, time.Since(began))
		}
		time.Sleep(askAgain + time.Millisecond)
		go func() { answer <- true }()
		if evidence := e.Detect(context.Background(), v, SuspectedCrash{Target: two, At: time.Now()}); evidence != RefusesConnections {
			t.Errorf("later it has ended: %q", evidence)
		}
	})
}

// A request waits at a target when another one ends under it, and its send there is given
// up. But the target has begun to run it, and ends a moment later with others, who find it
// gone. That end counts against the request, too; one long after does not.
func TestTargetThatEndsAfterItsSendWasGivenUp(t *testing.T) {
	one := life("i-1", 0)
	v := shows(start, one)
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{100 * time.Millisecond, 1}, {2 * time.Second, 0}} {
		e := NewCrashDetector(func(context.Context, *fleet.Target) bool { return true })
		e.AddCancelled(SuspectedCrash{Fingerprint: 7, Target: one, Step: 2, At: at(0)})
		if doubts, _ := e.Resolve(v, at(10)); len(doubts) != 0 {
			t.Errorf("blamed while it lives: %+v", doubts)
		}
		e.Detect(context.Background(), v, SuspectedCrash{Fingerprint: 8, Target: one, At: start.Add(c.after)})
		doubts, why := e.Resolve(v, start.Add(c.after+10*time.Millisecond))
		if len(doubts) != c.want || c.want == 1 && (doubts[0].Fingerprint != 7 || doubts[0].Step != 2 || why[0] != RefusesConnections) {
			t.Errorf("ended after %v: %+v for %v", c.after, doubts, why)
		}
	}
}
