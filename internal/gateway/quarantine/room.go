package quarantine

import (
	"cmp"
	"time"
)

func (b *Registry) expired(r *Record, now time.Time) bool {
	keep := b.limits.SuspectFor
	if len(r.Crashes) >= b.limits.MaxCrashes {
		keep = b.limits.RefuseFor
	}
	return now.Sub(r.ChangedAt()) > keep
}

// sweepPeriod is how often old records are looked for.
const sweepPeriod = 10 * time.Second

// sweep drops what is too old.
func (b *Registry) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < sweepPeriod {
		return
	}
	b.sweptAt = now
	for p, r := range b.records {
		if b.expired(r, now) {
			b.drop(p)
		}
	}
}

func (b *Registry) drop(p Fingerprint) {
	delete(b.records, p)
	delete(b.tried, p)
	b.touch(p, false)
}

// makeRoom drops the least suspected records beyond the limit: a flood of requests that
// each end one target pushes out others like them, and not those that are refused.
func (b *Registry) makeRoom() {
	for len(b.records) > b.limits.MaxRecords {
		var least *Record
		for _, r := range b.records {
			if least == nil || b.lessSuspect(r, least) {
				least = r
			}
		}
		b.drop(least.Fingerprint)
		b.observer.Evicted(least)
	}
}

func (b *Registry) lessSuspect(x, y *Record) bool {
	weight := func(r *Record) int {
		if b.found[r.Fingerprint] == MustNotRun {
			return maxEnds + 1
		}
		return len(r.Crashes)
	}
	if c := cmp.Compare(weight(x), weight(y)); c != 0 {
		return c < 0
	}
	return x.ChangedAt().Before(y.ChangedAt())
}
