package forward

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/origin"
	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
)

// Guards against a stream that an engine goes on with after its caller has taken it up elsewhere, and against
// an answer that looks whole.
func TestStreamThatIsTakenUpElsewhereEnds(t *testing.T) {
	cancelled := make(chan struct{})
	target := startTarget(t, "target-a", nil)
	target.handle = func(w io.Writer, r *http.Request, _ string) bool {
		target.writeStreamHead(w, r)
		writeChunk(w, event(1))
		for {
			if _, err := io.WriteString(w, "2\r\n: \r\n"); err != nil {
				close(cancelled)
				return false
			}
			<-time.After(time.Millisecond)
		}
	}
	e := newTestEnv(t, target)
	origins := &fakeOrigins{}
	e.Origins = origins
	e.view.Targets["plain"][0].SoftwareVersion = "v1"
	go func() {
		for {
			origins.mu.Lock()
			end := origins.end
			origins.mu.Unlock()
			if end != nil {
				end(netip.MustParseAddrPort("10.0.0.2:7"))
				return
			}
			<-time.After(time.Millisecond)
		}
	}()
	if _, body, err := e.post(t, "/resume/x", ""); err == nil {
		t.Errorf("the answer looks whole: %q", body)
	}
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		t.Error("the target goes on")
	}
	if origins.epoch != firstEpoch || origins.target != uint32(e.view.Targets["plain"][0].ID) {
		t.Errorf("served at epoch %d, recorded at target %d", origins.epoch, origins.target)
	}
	deadline := time.Now().Add(5 * time.Second)
	for released := 0; released == 0 && time.Now().Before(deadline); {
		origins.mu.Lock()
		released = origins.released
		origins.mu.Unlock()
	}
	if origins.released != 1 {
		t.Errorf("released %d times", origins.released)
	}
}

// Guards against a stream that goes on at another target while the entry before, which does not answer, may still
// have it run where it was; and against one that does not go on, since it cannot run there.
func TestStreamGoesOnWhereItRan(t *testing.T) {
	for _, c := range []struct {
		name     string
		answered bool
		leaving  bool
		// unresponsive is set if its sidecar says that the target does not respond.
		unresponsive bool
		target       uint32
		// stays is set if it must go on where it ran.
		stays bool
	}{
		{name: "unanswered", stays: true},
		{name: "unanswered, the target leaves", leaving: true},
		{name: "unanswered, the target does not respond", unresponsive: true},
		{name: "unanswered, the target is not known", target: 99},
		{name: "answered", answered: true},
	} {
		elsewhere := 0
		for seed := range uint64(8) {
			e := newVersionedEnv(t, "v1", "v1", "v1", "v1")
			e.random.Store(seed << 60)
			e.knows("first", origin.VersionOf("plain", "v1"))
			targets := e.view.Targets["plain"]
			targets[3].Leaving = c.leaving
			if c.unresponsive {
				e.view.Unresponsive = map[netip.AddrPort]bool{targets[3].Address: true}
			}
			e.origins.previous = origin.Run{Server: 1, Target: uint32(targets[3].ID), Epoch: 4}
			if c.target != 0 {
				e.origins.previous.Target = c.target
			}
			if !c.answered {
				e.origins.ended = make(chan struct{})
			}
			_, body, err := e.post(t, "/resume/x", "", wiretest.LastEventID, "2", wiretest.Resumes, "first")
			if err != nil || body != event(3)+event(4) || e.runs() != 1 {
				t.Errorf("%s: body %q, error %v, %d runs", c.name, body, err, e.runs())
			}
			if e.targets[3].runs.Load() == 0 {
				elsewhere++
			}
			if e.origins.epoch != 5 {
				t.Errorf("%s: taken up at epoch %d", c.name, e.origins.epoch)
			}
		}
		if c.stays == (elsewhere > 0) {
			t.Errorf("%s: went on elsewhere %d times of 8", c.name, elsewhere)
		}
	}
}

// Guards against a stream that goes on at another target while the entry before, which stands still, has it run at
// one that refuses it; and against one that waits for long, since that entry is dead.
func TestStreamThatCannotGoOnWhereItRanWaitsForTheEntryBefore(t *testing.T) {
	for _, c := range []struct {
		name string
		// endsAfter is when the entry before answers; zero if it does not.
		endsAfter          time.Duration
		leaving, isRefused bool
		atLeast            time.Duration
	}{
		{"the target refuses, the entry goes on", 200 * time.Millisecond, false, true, 200 * time.Millisecond},
		{"the target leaves, the entry goes on", 200 * time.Millisecond, true, false, 200 * time.Millisecond},
		{"the target refuses, the entry is dead", 0, false, true, maxEndWait},
	} {
		e := newVersionedEnv(t, "v1", "v1")
		e.knows("first", origin.VersionOf("plain", "v1"))
		previous := &e.view.Targets["plain"][1]
		previous.Leaving = c.leaving
		e.origins.previous = origin.Run{Server: 1, Target: uint32(previous.ID), Epoch: 1}
		e.origins.ended = make(chan struct{})
		if c.isRefused {
			target := e.targets[1]
			target.handle = func(w io.Writer, r *http.Request, _ string) bool {
				return target.writeNotRun(w, r, http.StatusServiceUnavailable)
			}
		}
		if c.endsAfter > 0 {
			time.AfterFunc(c.endsAfter, func() { close(e.origins.ended) })
		}
		start := time.Now()
		_, body, err := e.post(t, "/resume/x", "", wiretest.LastEventID, "2", wiretest.Resumes, "first")
		took := time.Since(start)
		if err != nil || body != event(3)+event(4) || took < c.atLeast {
			t.Errorf("%s: body %q, error %v, went on within %v, want %v or more", c.name, body, err, took, c.atLeast)
		}
	}
}

// Guards against a request that a link has delivered late, after its caller has left, and that ends the stream
// where the caller reads it by now.
func TestRequestWhoseCallerHasLeftTakesNothingOver(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		e := newVersionedEnv(t, "v1")
		e.knows("first", origin.VersionOf("plain", "v1"))
		e.origins.previous = origin.Run{Server: 1, Target: 1, Epoch: 1}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e.origins.asking = func(served context.Context) {
			if leaves {
				cancel()
				<-served.Done()
			}
		}
		_, _, _ = e.postContext(ctx, t, "/resume/x", "", wiretest.LastEventID, "2", wiretest.Resumes, "first")
		for e.InFlight() > 0 {
			<-time.After(time.Millisecond) // its caller does not wait for the entry
		}
		e.origins.mu.Lock()
		got := e.origins.takenOver
		e.origins.mu.Unlock()
		if got != map[bool]int{false: 1, true: 0}[leaves] || leaves && e.origins.epoch != 0 {
			t.Errorf("the caller has left %v: %d takeovers, served at epoch %d", leaves, got, e.origins.epoch)
		}
	}
}
