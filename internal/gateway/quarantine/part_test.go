package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// partRun is a run of a prompt with the parts.
func partRun(request Fingerprint, workspace string, startedAt time.Time, steps int, ids ...string) PartsRun {
	run := PartsRun{Parts: PartsOf(ids), StartedAt: startedAt, Request: request, Workspace: workspace}
	for range ids {
		run.Steps = append(run.Steps, steps)
	}
	return run
}

func newPartRegistry() *Registry { return NewRegistry(testLimits, &countingObserver{}) }

// crashUnder crashes targets under runs with the parts, one step after the other.
func crashUnder(q *Registry, workspaces []string, steps int, ids ...string) time.Time {
	now := testStart
	for step := range steps {
		at := now.Add(100 * time.Millisecond)
		run := partRun(Fingerprint(step+1), workspaces[step%len(workspaces)], now, step, ids...)
		q.AttributePartsCrash(run, "r", Crash{Target: fleet.ID(step + 1), At: at, Elapsed: 80 * time.Millisecond, Targets: 9})
		now = at.Add(100 * time.Millisecond)
	}
	return now.Add(2 * decisionDelay)
}

// Guards against a workspace that makes others' requests be refused by naming their parts in its own
// that crash targets.
func TestOneWorkspaceAccusesPartsForItselfOnly(t *testing.T) {
	for _, c := range []struct {
		name      string
		accusers  []string
		requester string
		want      Verdict
	}{
		{"its own", []string{"evil"}, "evil", Refused},
		{"another one", []string{"evil"}, "town", Free},
		{"two accusers", []string{"evil", "fort"}, "town", Refused},
	} {
		q := newPartRegistry()
		now := crashUnder(q, c.accusers, 3, "p")
		if s, _ := q.PartsStatus(PartsOf([]string{"p"}), c.requester, now); s.Verdict != c.want {
			t.Errorf("%s: %v, want %v", c.name, s.Verdict, c.want)
		}
	}
}

// Guards against a part that is refused for the crashes of one request, which is refused itself.
func TestCrashesOfOneRequestAccuseNoPart(t *testing.T) {
	q, now := newPartRegistry(), testStart
	for step := range 3 {
		run := partRun(7, "town", now, step, "p")
		c := Crash{Target: fleet.ID(step + 1), Step: step, At: now.Add(time.Second / 10), Elapsed: 80 * time.Millisecond, Targets: 9}
		q.AttributeCrash(7, Caller{}, c)
		q.AttributePartsCrash(run, "r", c)
		now = now.Add(time.Second / 5)
	}
	if s, _ := q.PartsStatus(PartsOf([]string{"p"}), "town", now); s.Verdict >= Held {
		t.Errorf("its part is %v after the third crash", s.Verdict)
	}
	now = now.Add(2 * decisionDelay)
	if s := q.Status(7, now); s.Verdict != Refused {
		t.Errorf("the request is %v", s.Verdict)
	}
	if s, _ := q.PartsStatus(PartsOf([]string{"p"}), "town", now); s.Verdict != Free {
		t.Errorf("its part is %v", s.Verdict)
	}
}

// Guards against an outermost part that is refused because each request with a fatal one has it, too.
func TestSharedPartIsNotRefused(t *testing.T) {
	q := newPartRegistry()
	q.MarkPartsSound(PartsOf([]string{"common"}), testStart, testStart)
	now := crashUnder(q, []string{"town", "fort"}, 5, "common", "fatal")
	for _, at := range []time.Time{now.Add(-2 * decisionDelay), now} { // while the guilty part is held, and refused
		if s, part := q.PartsStatus(PartsOf([]string{"common", "other"}), "town", at); s.Verdict != Free {
			t.Errorf("%q is %v", part.ID, s.Verdict)
		}
	}
	if s, part := q.PartsStatus(PartsOf([]string{"common", "fatal"}), "town", now); s.Verdict != Refused || part.ID != "fatal" {
		t.Errorf("%q is %v", part.ID, s.Verdict)
	}
}

// Guards against a part that stays refused although a run of it went well.
func TestServedRunClearsPart(t *testing.T) {
	q := newPartRegistry()
	now := crashUnder(q, []string{"town", "fort"}, 3, "p")
	q.MarkPartsSound(PartsOf([]string{"p"}), testStart, now)
	if s, _ := q.PartsStatus(PartsOf([]string{"p"}), "town", now); s.Verdict != Refused {
		t.Errorf("a run that began before the crashes cleared the part: %v", s.Verdict)
	}
	q.MarkPartsSound(PartsOf([]string{"p"}), now, now.Add(time.Second))
	if s, _ := q.PartsStatus(PartsOf([]string{"p"}), "town", now.Add(time.Second)); s.Verdict != Free {
		t.Errorf("the part is still %v", s.Verdict)
	}
}

// Guards against a flood of parts that evicts a refused one or fills the memory.
func TestFloodOfPartsIsBounded(t *testing.T) {
	q := newPartRegistry()
	now := crashUnder(q, []string{"town", "fort"}, 3, "p")
	for i := range 20 * testLimits.MaxRecords {
		id := fmt.Sprint("flood-", i)
		q.MarkPartsSound(PartsOf([]string{id}), now, now)
		q.AttributePartsCrash(partRun(Fingerprint(1000+i), "evil", now, 0, id+"x"), "r", Crash{Target: fleet.ID(1000 + i), At: now, Targets: 9})
	}
	if n := len(q.records); n > testLimits.MaxRecords {
		t.Errorf("%d records, want at most %d", n, testLimits.MaxRecords)
	}
	if n := len(q.soundParts.current) + len(q.soundParts.previous); n > 2*maxSoundParts {
		t.Errorf("%d parts are remembered as sound", n)
	}
	if s, _ := q.PartsStatus(PartsOf([]string{"p"}), "town", now); s.Verdict != Refused {
		t.Errorf("the refused part is %v", s.Verdict)
	}
}

// Guards against entries that judge a part differently after they have exchanged the same records, in
// whichever order, lost or repeated.
func TestPartRecordsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, b := newPartRegistry(), newPartRegistry()
		now := testStart
		parts := PartsOf([]string{"p", "q"})
		for range rapid.IntRange(1, 25).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(rt, "ms")) * time.Millisecond)
			q := rapid.SampledFrom([]*Registry{a, b}).Draw(rt, "at")
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0, 1:
				part := rapid.SampledFrom([]string{"p", "q"}).Draw(rt, "part")
				step := rapid.IntRange(0, 3).Draw(rt, "step")
				target := fleet.ID(rapid.IntRange(1, 6).Draw(rt, "target"))
				q.AttributePartsCrash(partRun(Fingerprint(rapid.IntRange(1, 5).Draw(rt, "request")), rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "workspace"), now.Add(-50*time.Millisecond), step, part), "r", Crash{Target: target, At: now, Elapsed: 50 * time.Millisecond, Targets: 9})
			case 2:
				q.MarkPartsSound(parts, now.Add(-20*time.Millisecond), now)
			case 3:
				if fp := parts[0].Fingerprint; q.records[fp] != nil {
					q.Release(fp, now)
				}
			}
		}
		for range 3 {
			for _, pair := range [][2]*Registry{{a, b}, {b, a}} {
				for _, r := range pair[0].records {
					pair[1].Merge(FromMessage(ToMessage(r, now), now), false, now)
				}
			}
		}
		now = now.Add(2 * decisionDelay)
		for _, workspace := range []string{"x", "y", "z"} {
			for _, part := range parts {
				sa, _ := a.PartsStatus([]Part{part}, workspace, now)
				sb, _ := b.PartsStatus([]Part{part}, workspace, now)
				if sa.Verdict != sb.Verdict {
					rt.Fatalf("%s for %s: %v and %v", part.ID, workspace, sa, sb)
				}
			}
		}
	})
}
