package health

import (
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

var start = time.Unix(1000, 0)

func note(b *Monitor, instance string, now time.Time, outcomes ...Outcome) {
	for _, o := range outcomes {
		b.Record("s", fleet.Incarnation{Instance: instance}, o, now)
	}
}

// A target takes no connection. It is rested at the first one, for longer each
// time, and used again when it is back.
func TestUnreachableTargetRestsAtOnce(t *testing.T) {
	b := NewMonitor(nil)
	now := start
	note(b, "x", now, Unreachable)
	if _, ok := b.Ejected(now)[fleet.Incarnation{Instance: "x"}]; !ok {
		t.Fatal("not rested")
	}
	first := b.Ejected(now)[fleet.Incarnation{Instance: "x"}].Sub(now)
	now = now.Add(first + time.Millisecond)
	if len(b.Ejected(now)) != 0 {
		t.Error("rests on")
	}
	note(b, "x", now, Unreachable)
	if again := b.Ejected(now)[fleet.Incarnation{Instance: "x"}].Sub(now); again <= first {
		t.Errorf("rests for %v, then for %v", first, again)
	}
	now = now.Add(maxRest)
	note(b, "x", now, Good)
	note(b, "x", now, Unreachable)
	if after := b.Ejected(now)[fleet.Incarnation{Instance: "x"}].Sub(now); after != firstRest {
		t.Errorf("after a good answer it rests for %v", after)
	}
}

// A target's health check is good, and half of its requests fail. The others of
// its service answer: it is rested.
func TestTargetThatFailsMoreThanTheOthersRests(t *testing.T) {
	b := NewMonitor(nil)
	for range 10 {
		note(b, "fine", start, Good)
		note(b, "grey", start, Good, Failed)
	}
	rested := b.Ejected(start)
	if _, ok := rested[fleet.Incarnation{Instance: "grey"}]; !ok {
		t.Error("the failing target is used on")
	}
	if _, ok := rested[fleet.Incarnation{Instance: "fine"}]; ok {
		t.Error("the good target is rested")
	}
}

// All targets of a service fail a part of their requests, because the service
// does so. None is rested: the others are no better.
func TestServiceThatFailsEverywhereIsNotRested(t *testing.T) {
	b := NewMonitor(nil)
	for range 30 {
		for _, name := range []string{"x", "y", "z"} {
			note(b, name, start, Good, Good, Good, Good, Failed)
		}
	}
	if rested := b.Ejected(start); len(rested) != 0 {
		t.Errorf("rested %v", rested)
	}
}

// Exchanges that break in a row rest a target before its share says so.
func TestBrokenInARowRests(t *testing.T) {
	b := NewMonitor(nil)
	note(b, "x", start, Good, Good, Good, Good, Good, Good, Good, Good, Good, Good)
	note(b, "x", start, Broken, Broken)
	if len(b.Ejected(start)) != 0 {
		t.Error("rested after two")
	}
	note(b, "x", start, Broken)
	if len(b.Ejected(start)) != 1 {
		t.Error("used on after three")
	}
}

// An engine that hung was rested, and starts again under its name. The new life is
// sound and gets work at once.
func TestNextLifeIsNotRested(t *testing.T) {
	b := NewMonitor(nil)
	b.Record("s", fleet.Incarnation{Instance: "x", StartedMs: 1}, Unreachable, start)
	rested := b.Ejected(start)
	if _, ok := rested[fleet.Incarnation{Instance: "x", StartedMs: 1}]; !ok {
		t.Error("the life that could not be reached is not rested")
	}
	if _, ok := rested[fleet.Incarnation{Instance: "x", StartedMs: 2}]; ok {
		t.Error("the next life is rested")
	}
}
