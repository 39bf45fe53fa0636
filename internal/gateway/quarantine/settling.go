package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

func (b *Registry) touch(p Fingerprint, own bool) {
	b.touched[p] = true
	b.ownChange = b.ownChange || own
}

// Settle finds out what follows from the changes since the last time.
func (b *Registry) Reevaluate(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(now)
}

// settle judges anew, and gives up runs that suspects should not have made.
func (b *Registry) settle(now time.Time) {
	due := !b.judgeAt.IsZero() && !now.Before(b.judgeAt)
	if len(b.touched) == 0 && !due {
		return
	}
	b.judge(!b.ownChange, now)
	for _, p := range slices.Sorted(maps.Keys(b.touched)) {
		if r := b.records[p]; r != nil && b.standing(r, now).Verdict != Free {
			b.giveUp(r, now)
		}
	}
	clear(b.touched)
	b.ownChange = false
}

func (b *Registry) judge(told bool, now time.Time) {
	all := make([]*Record, 0, len(b.records))
	for _, r := range b.records {
		all = append(all, r)
	}
	before := b.found
	b.found = Evaluate(all, b.limits.MaxCrashes, now)
	b.explained, b.judgeAt = map[fleet.ID]bool{}, time.Time{}
	for p, f := range b.found {
		r := b.records[p]
		if f == MustWait {
			b.judgeBy(r.ChangedAt().Add(settleFor))
			continue
		}
		for _, e := range r.Crashes {
			b.explained[e.Target] = true
		}
	}
	b.report(before, told)
}

// judgeBy judges anew at a time, or before.
func (b *Registry) judgeBy(at time.Time) {
	if b.judgeAt.IsZero() || at.Before(b.judgeAt) {
		b.judgeAt = at
	}
}

// report tells the observer what has changed.
func (b *Registry) report(before map[Fingerprint]Finding, told bool) {
	changed := map[Fingerprint]bool{}
	for p := range before {
		changed[p] = b.found[p] != before[p]
	}
	for p := range b.found {
		changed[p] = b.found[p] != before[p]
	}
	for _, p := range slices.Sorted(maps.Keys(changed)) {
		if r := b.records[p]; r != nil && changed[p] {
			b.observer.FindingChanged(r, before[p], b.found[p], told)
			b.signal()
		}
	}
}
