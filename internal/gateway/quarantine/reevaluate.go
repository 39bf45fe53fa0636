package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

func (b *Registry) markChanged(p Fingerprint, own bool) {
	b.changed[p] = true
	b.localChange = b.localChange || own
}

// Reevaluate finds out what follows from the changes since the last time.
func (b *Registry) Reevaluate(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reevaluate(now)
}

// reevaluate judges anew, and gives up runs that suspects should not have made.
func (b *Registry) reevaluate(now time.Time) {
	due := !b.evaluateAt.IsZero() && !now.Before(b.evaluateAt)
	if len(b.changed) == 0 && !due {
		return
	}
	b.evaluate(!b.localChange, now)
	for _, p := range slices.Sorted(maps.Keys(b.changed)) {
		if r := b.records[p]; r != nil && b.status(r, now).Verdict != Free {
			b.cancelRuns(r, now)
		}
	}
	clear(b.changed)
	b.localChange = false
}

func (b *Registry) evaluate(told bool, now time.Time) {
	all := make([]*Record, 0, len(b.records))
	for _, r := range b.records {
		all = append(all, r)
	}
	before := b.findings
	b.findings = Evaluate(all, b.limits.MaxCrashes, now)
	b.explained, b.evaluateAt = map[fleet.ID]bool{}, time.Time{}
	for p, f := range b.findings {
		r := b.records[p]
		if f == MustWait {
			b.evaluateBy(r.ChangedAt().Add(decisionDelay))
			continue
		}
		for _, e := range r.Crashes {
			b.explained[e.Target] = true
		}
	}
	b.notifyFindings(before, told)
}

// evaluateBy judges anew at a time, or before.
func (b *Registry) evaluateBy(at time.Time) {
	if b.evaluateAt.IsZero() || at.Before(b.evaluateAt) {
		b.evaluateAt = at
	}
}

// notifyFindings tells the observer what has changed.
func (b *Registry) notifyFindings(before map[Fingerprint]Finding, told bool) {
	changed := map[Fingerprint]bool{}
	for p := range before {
		changed[p] = b.findings[p] != before[p]
	}
	for p := range b.findings {
		changed[p] = b.findings[p] != before[p]
	}
	for _, p := range slices.Sorted(maps.Keys(changed)) {
		if r := b.records[p]; r != nil && changed[p] {
			b.observer.FindingChanged(r, before[p], b.findings[p], told)
			b.signal()
		}
	}
}
