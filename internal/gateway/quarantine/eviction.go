package quarantine

import (
	"cmp"
	"slices"
	"time"
)

func (q *Registry) expired(r *Record, now time.Time) bool {
	if len(r.Crashes) == 0 && !r.SoundAt.IsZero() {
		return now.Sub(r.SoundAt) > soundRetention
	}
	if len(r.Crashes) == 0 && r.Generation == 0 {
		return !slices.ContainsFunc(r.Unconfirmed, func(u UnconfirmedCrash) bool { return now.Sub(u.At) <= unconfirmedTimeout })
	}
	retention := q.limits.SuspectFor
	if len(r.Crashes) >= q.limits.MaxCrashes {
		retention = q.limits.RefuseFor
	}
	return now.Sub(r.ChangedAt()) > retention
}

const sweepPeriod = 10 * time.Second

// sweep drops expired records.
func (q *Registry) sweep(now time.Time) {
	if now.Sub(q.sweptAt) < sweepPeriod {
		return
	}
	q.sweptAt = now
	for fp, r := range q.records {
		if q.expired(r, now) {
			q.drop(fp)
		}
	}
}

func (q *Registry) drop(fp Fingerprint) {
	delete(q.records, fp)
	delete(q.probationRuns, fp)
	q.markChanged(fp, false)
}

// evict drops the least suspect records beyond the limit. Requests with a single crash are
// evicted before refused ones, so that a flood of them can't displace these.
func (q *Registry) evict() {
	for len(q.records) > q.limits.MaxRecords {
		var least *Record
		for _, r := range q.records {
			if least == nil || q.lessSuspect(r, least) {
				least = r
			}
		}
		q.drop(least.Fingerprint)
		q.observer.Evicted(least)
	}
}

func (q *Registry) lessSuspect(x, y *Record) bool {
	suspicion := func(r *Record) int {
		if q.findings[r.Fingerprint] == MustNotRun {
			return maxRecordedCrashes + 1
		}
		return len(r.Crashes)
	}
	if c := cmp.Compare(suspicion(x), suspicion(y)); c != 0 {
		return c < 0
	}
	return x.ChangedAt().Before(y.ChangedAt())
}
