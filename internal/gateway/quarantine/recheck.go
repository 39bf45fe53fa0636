package quarantine

import (
	"context"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
)

// OnRecheck sets a function that is called when a recheck has found out whether a target is alive,
// so that the result is taken at once, and the clock of the times that callers pass. Call it before
// the detector is used.
func (d *CrashDetector) OnRecheck(now func() time.Time, notify func()) {
	d.now, d.onRecheck = now, notify
}

// scheduleRecheck probes a target again after firstRecheck, unless this is scheduled already.
func (d *CrashDetector) scheduleRecheck(t fleet.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rechecking[t.ID] {
		return
	}
	d.rechecking[t.ID] = true
	time.AfterFunc(firstRecheck, func() { d.recheck(t) })
}

// recheck probes a target until it is known whether it has crashed, or no longer matters.
func (d *CrashDetector) recheck(t fleet.Target) {
	listener := d.probe(context.Background(), &t, d.now(), 0).listener
	if d.applyRecheck(&t, listener) {
		time.AfterFunc(recheckInterval, func() { d.recheck(t) })
	}
	if listener != upstream.ListenerUnknown {
		d.onRecheck()
	}
}

// scheduleAbandonedProbe probes the target of an abandoned run once, after abandonedProbeDelay.
func (d *CrashDetector) scheduleAbandonedProbe(t fleet.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.abandonedProbes[t.ID] {
		return
	}
	d.abandonedProbes[t.ID] = true
	time.AfterFunc(abandonedProbeDelay, func() { d.probeAbandoned(t) })
}

func (d *CrashDetector) probeAbandoned(t fleet.Target) {
	d.mu.Lock()
	delete(d.abandonedProbes, t.ID)
	d.mu.Unlock()
	if d.probe(context.Background(), &t, d.now(), reprobeAfter).listener == upstream.ListenerRefuses {
		d.onRecheck()
	}
}

// applyRecheck updates the suspected crashes of a target with the result of a probe, and reports
// whether to probe again.
func (d *CrashDetector) applyRecheck(t *fleet.Target, listener upstream.ListenerState) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.updateSuspected(t, listener, d.now().Add(recheckInterval)) {
		return true
	}
	delete(d.rechecking, t.ID)
	return false
}

// updateSuspected dismisses the suspected crashes of a target that was found alive, and reports
// whether others will still be unconfirmed at the time of the next probe. A target of a cancelled
// run is not known to be alive: it may crash later.
func (d *CrashDetector) updateSuspected(t *fleet.Target, listener upstream.ListenerState, next time.Time) bool {
	unknown := false
	for i := range d.suspected {
		s := &d.suspected[i]
		if s.Target.ID != t.ID || !s.recheck {
			continue
		}
		switch listener {
		case upstream.ListenerRefuses:
			return false // Resolve confirms the crash
		case upstream.ListenerAccepts:
			s.accepts++
		}
		if s.cancelled || s.accepts < acceptsToDismiss {
			unknown = unknown || next.Sub(s.At) <= unconfirmedTimeout
			continue
		}
		s.recheck = false
		d.dismissed = append(d.dismissed, *s)
	}
	return unknown
}

// TakeDismissed removes and returns the suspected crashes whose targets were found alive since the
// last call. Resolve may still confirm them, if the target list shows that another incarnation
// accepted the probes.
func (d *CrashDetector) TakeDismissed() []SuspectedCrash {
	d.mu.Lock()
	defer d.mu.Unlock()
	dismissed := d.dismissed
	d.dismissed = nil
	return dismissed
}

// TakeExpired removes and returns the suspected crashes that were dropped since the last call without
// it being known whether the targets had crashed.
func (d *CrashDetector) TakeExpired() []SuspectedCrash {
	d.mu.Lock()
	defer d.mu.Unlock()
	expired := d.expired
	d.expired = nil
	return expired
}
