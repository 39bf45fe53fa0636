package gateway

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
)

// When all entries stop within two seconds, the first must accept callers until a restarted
// entry receives connections. Otherwise no port is open in between.
func TestStoppingEntryWaitsForItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		restartedAt := start.Add(time.Second)
		awaitSuccessor(context.Background(), func() bool {
			other := &mesh.Member{Leaving: time.Now().Before(restartedAt), StoppingSince: start.Add(-time.Second), AliveSince: restartedAt}
			return acceptsCallers(other, start, time.Now())
		})
		if took := time.Since(start); took < 2200*time.Millisecond || took > 2400*time.Millisecond {
			t.Errorf("waited %s for the successor", took)
		}
	})
}

// An idle open connection must not delay the exit until the end of the grace period.
func TestStoppingEntryEndsWhenIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		inFlight := func() int {
			if time.Since(start) < time.Second {
				return 1
			}
			return 0
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		awaitIdle(ctx, inFlight)
		if took := time.Since(start); took < 1100*time.Millisecond || took > 1400*time.Millisecond {
			t.Errorf("became idle after %s", took)
		}
	})
}

// Of entries that stop at the same time, one half must accept callers while the other restarts. If all
// waited for a successor, none could serve long requests before the end of the grace period; if none did,
// no port would be open.
func TestHalfOfTheEntriesStopsFirst(t *testing.T) {
	start := time.Unix(1000, 0)
	address := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1)
	}
	for _, c := range []struct{ entries, want int }{{1, 0}, {2, 1}, {3, 1}, {4, 2}, {7, 3}} {
		first := 0
		for self := range c.entries {
			others := []*mesh.Member{{Address: address(100), Leaving: true, StoppingSince: start.Add(-time.Second)}}
			for n := range c.entries {
				if n != self {
					others = append(others, &mesh.Member{Address: address(n), Leaving: true, StoppingSince: start.Add(20 * time.Millisecond)})
				}
			}
			if stopsFirst(others, address(self), start) {
				first++
			}
		}
		if first != c.want {
			t.Errorf("%d of %d entries stop first, want %d", first, c.entries, c.want)
		}
	}
}

// Of two stopping entries, the one that start first may exit while the second accepts
// callers. If both waited for the end of the grace period, they would exit together.
func TestEntryThatStopsFirstEndsFirst(t *testing.T) {
	start := time.Unix(1000, 0)
	later := &mesh.Member{Leaving: true, StoppingSince: start.Add(2 * time.Second)}
	if !acceptsCallers(later, start, start.Add(3*time.Second)) {
		t.Error("the first entry does not accept the second as its successor")
	}
	first := &mesh.Member{Leaving: true, StoppingSince: start}
	if acceptsCallers(first, start.Add(2*time.Second), start.Add(3*time.Second)) {
		t.Error("the second entry accepts the first, which is exiting, as its successor")
	}
}
