package pushback

import (
	"fmt"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// Guards against a departure that a later response of the same incarnation takes back, and against
// a log line for each response that states it.
func TestLeavingIsFinal(t *testing.T) {
	r := newResponses()
	for ms := 100; ms < 200; ms += 10 {
		r.at(ms, ms-5, wire.Pushback{Leaving: true, OmitsRateLimit: true})
	}
	r.at(300, 250, wire.Pushback{OmitsRateLimit: true})
	if now := start.Add(300 * time.Millisecond); !r.Leaving(now)[1] {
		t.Error("the target no longer leaves")
	}
	if got, want := fmt.Sprint(r.events), "[t leaves by 100]"; got != want {
		t.Errorf("reported %s, want %s", got, want)
	}
	if now := start.Add(2 * leavingTTL); r.Leaving(now) != nil {
		t.Error("the departure is remembered for ever")
	}
}

// Guards against entries that go on with a target because another entry got its response, or that
// learn of its departure again and again.
func TestDepartureReachesAllEntries(t *testing.T) {
	const within = 8 // rounds, of 0.4 s
	for _, n := range []int{2, 48, 420} {
		g := newGossip(n)
		g.record(0, 1, wire.Pushback{Leaving: true}, g.now)
		for range within {
			g.round()
		}
		for i, r := range g.registries {
			if !r.Leaving(g.now)[1] {
				t.Errorf("%d entries: entry %d does not know of the departure after %d rounds", n, i, within)
			}
			if events := r.observer.(*recorder).events; len(events) > 1 {
				t.Errorf("%d entries: entry %d reported %q", n, i, events)
			}
		}
	}
}

// Guards against a departure that is forgotten while its target is still listed, or remembered for ever
// because entries announce it to each other.
func TestDepartureIsKeptWhileListed(t *testing.T) {
	g := newGossip(2)
	g.record(0, 1, wire.Pushback{Leaving: true}, g.now)
	g.round()
	for range 3 {
		g.now = g.now.Add(leavingTTL / 2)
		g.registries[0].KeepListed(func(id fleet.ID) bool { return id == 1 }, g.now)
		g.round()
	}
	if !g.registries[0].Leaving(g.now)[1] {
		t.Error("forgotten while listed")
	}
	for range 4 {
		g.now = g.now.Add(leavingTTL / 2)
		g.round()
	}
	for i, r := range g.registries {
		if r.Leaving(g.now) != nil {
			t.Errorf("entry %d remembers the departure for ever", i)
		}
	}
}
