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
	time.AfterFunc(firstRecheck, func() { d.recheck(t, maxRechecks-1) })
}

// recheck probes a target until it is known to be alive or to have crashed, remaining times at
// most after this one.
func (d *CrashDetector) recheck(t fleet.Target, remaining int) {
	listener := d.probe(context.Background(), &t, d.now(), 0).listener
	if d.applyRecheck(&t, listener, remaining) {
		time.AfterFunc(recheckInterval, func() { d.recheck(t, remaining-1) })
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
func (d *CrashDetector) applyRecheck(t *fleet.Target, listener upstream.ListenerState, remaining int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.updateSuspected(t, listener) && remaining > 0 {
		return true
	}
	delete(d.rechecking, t.ID)
	return false
}

// updateSuspected dismisses the suspected crashes of a target that was found alive, and reports
// whether it is unknown of others.
func (d *CrashDetector) updateSuspected(t *fleet.Target, listener upstream.ListenerState) bool {
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
		if s.accepts < acceptsToDismiss {
			unknown = true
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
