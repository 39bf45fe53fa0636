package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
)

// Operators stop all entries within two seconds. The first one goes on taking
// callers until another that has started again is given connections; before, its
// port was closed while no other took callers.
func TestStoppingEntryWaitsForItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		back := began.Add(time.Second)
		awaitSuccessor(context.Background(), func() bool {
			other := &mesh.Member{Leaving: time.Now().Before(back), StopsSince: began.Add(-time.Second), Since: back}
			return acceptsCallers(other, began, time.Now())
		})
		if took := time.Since(began); took < 2200*time.Millisecond || took > 2400*time.Millisecond {
			t.Errorf("waited %s", took)
		}
	})
}

// A caller keeps a connection open and asks nothing. The entry ends all the same
// soon after its last request; it used to wait for its whole grace period.
func TestStoppingEntryEndsWhenIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		inFlight := func() int {
			if time.Since(began) < time.Second {
				return 1
			}
			return 0
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		awaitIdle(ctx, inFlight)
		if took := time.Since(began); took < 1100*time.Millisecond || took > 1400*time.Millisecond {
			t.Errorf("ended after %s", took)
		}
	})
}

// Two entries stop, and the second takes callers until the first is back: the
// first may end at once. Both going on to the end of their time left callers
// without an entry when they ended together.
func TestEntryThatStopsFirstEndsFirst(t *testing.T) {
	began := time.Unix(1000, 0)
	later := &mesh.Member{Leaving: true, StopsSince: began.Add(2 * time.Second)}
	if !acceptsCallers(later, began, began.Add(3*time.Second)) {
		t.Error("the first waits for itself")
	}
	first := &mesh.Member{Leaving: true, StopsSince: began}
	if acceptsCallers(first, began.Add(2*time.Second), began.Add(3*time.Second)) {
		t.Error("the second leaves callers to the first, which ends")
	}
}
