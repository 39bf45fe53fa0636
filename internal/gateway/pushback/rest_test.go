package pushback

import (
	"fmt"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

func restFor(d time.Duration) wire.Pushback {
	return wire.Pushback{RetryAfter: d, OmitsRateLimit: true}
}

func msAfter(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newRests returns responses without a random extension of rests.
func newRests() *responses {
	r := newResponses()
	r.random = func() float64 { return 0 }
	return r
}

// Guards against requests to a target during its rest, and against a rest that a later, shorter one or
// the response to an earlier request cuts short.
func TestTargetRestsUntilItsTimeIsOver(t *testing.T) {
	r := newRests()
	r.at(100, 50, restFor(3*time.Second))
	r.at(200, 60, restFor(time.Second))
	r.at(300, 70, wire.Pushback{OmitsRateLimit: true})
	for _, ms := range []int{300, 3099} {
		if _, ok := r.BeginTrial(1, msAfter(ms)); ok || r.Resting(msAfter(ms)) == nil {
			t.Errorf("a request is allowed after %d ms", ms)
		}
	}
	if until := r.Resting(msAfter(300))[1]; !until.Equal(msAfter(3100)) {
		t.Errorf("the rest ends after %v, want 3.1 s", until.Sub(start))
	}
	if got, want := fmt.Sprint(r.events), "[t rests for 3s by 100]"; got != want {
		t.Errorf("reported %s, want %s", got, want)
	}
}

// Guards against all requests of an entry that go to a target at once when its rest is over, only to be
// turned away together.
func TestOneRequestIsTheTrialAfterARest(t *testing.T) {
	r := newRests()
	r.at(100, 50, restFor(time.Second))
	now := msAfter(1100)
	if trial, ok := r.BeginTrial(1, now); !trial || !ok {
		t.Fatalf("no trial after the rest: %v, %v", trial, ok)
	}
	if _, ok := r.BeginTrial(1, now); ok || r.Resting(now) == nil {
		t.Error("a second request is sent during the trial")
	}
	r.EndTrial(1)
	if trial, ok := r.BeginTrial(1, now); !trial || !ok {
		t.Error("no trial after one without a response")
	}
	r.at(1200, 1110, wire.Pushback{OmitsRateLimit: true})
	for range 2 {
		if trial, ok := r.BeginTrial(1, msAfter(1200)); trial || !ok {
			t.Errorf("after a response: trial %v, allowed %v", trial, ok)
		}
	}
	r.at(1300, 1210, restFor(time.Second))
	if _, ok := r.BeginTrial(1, msAfter(1300)); ok {
		t.Error("a request is sent during the next rest")
	}
}

// Guards against a target that is left out for ever because the request that was its trial hangs.
func TestTrialThatHangsIsReplaced(t *testing.T) {
	r := newRests()
	r.at(100, 50, restFor(time.Second))
	r.BeginTrial(1, msAfter(1100))
	if trial, ok := r.BeginTrial(1, msAfter(1100).Add(maxTrial)); !trial || !ok {
		t.Errorf("after %v: trial %v, allowed %v", maxTrial, trial, ok)
	}
}

// Guards against entries that come back to a target at the same time, and against a rest that ends
// early.
func TestRestsOfEntriesEndAtDifferentTimes(t *testing.T) {
	ends := map[time.Time]bool{}
	for range 20 {
		r := newResponses()
		r.at(100, 50, restFor(3*time.Second))
		end := r.Resting(msAfter(200))[1]
		if rest := end.Sub(msAfter(100)); rest < 3*time.Second || rest > 3300*time.Millisecond {
			t.Errorf("a rest of %v, asked were 3 s", rest)
		}
		ends[end] = true
	}
	if len(ends) < 10 {
		t.Errorf("%d different ends of 20", len(ends))
	}
}

// Guards against a rest that other entries observe although the target has not asked them.
func TestRestIsNotAnnounced(t *testing.T) {
	g := newGossip(2)
	g.record(0, 1, restFor(3*time.Second), g.now)
	g.round()
	if g.registries[1].Resting(g.now) != nil {
		t.Error("another entry observes the rest")
	}
}

// Guards against memory that grows with the targets that ever asked for rest.
func TestRecordsOfRestsExpire(t *testing.T) {
	r := newResponses()
	for i := range 2 * maxTargets {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		r.Record(Response{Target: fleet.ID(i), Pushback: restFor(time.Second), SentAt: now}, now)
	}
	if n := len(r.targets); n > maxTargets {
		t.Errorf("%d records", n)
	}
}
