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

// evictionBatch is the share of the records, as a divisor, that are determined at once as the next to be evicted.
// It takes a pass through all of them, which a flood of new records would cause for each.
const evictionBatch = 32

// evictable is a record that was among the least suspect ones.
type evictable struct {
	record    *Record
	crashes   int
	changedAt time.Time
}

// evict drops the least suspect records beyond the limit. Requests with a single crash are
// evicted before refused ones, so that a flood of them can't displace these.
func (q *Registry) evict() {
	for len(q.records) > q.limits.MaxRecords {
		least := q.leastSuspect()
		q.drop(least.Fingerprint)
		q.observer.Evicted(least)
	}
}

// leastSuspect removes and returns the next record to evict.
func (q *Registry) leastSuspect() *Record {
	for {
		if len(q.evictables) == 0 {
			q.findEvictables()
		}
		next := q.evictables[0]
		q.evictables = q.evictables[1:]
		r := next.record
		if q.records[r.Fingerprint] == r && len(r.Crashes) == next.crashes && r.ChangedAt().Equal(next.changedAt) {
			return r
		}
	}
}

// findEvictables determines the next records to evict.
func (q *Registry) findEvictables() {
	all := make([]*Record, 0, len(q.records))
	for _, r := range q.records {
		all = append(all, r)
	}
	slices.SortFunc(all, q.compareSuspicion)
	for _, r := range all[:max(len(all)/evictionBatch, 1)] {
		q.evictables = append(q.evictables, evictable{r, len(r.Crashes), r.ChangedAt()})
	}
}

// compareSuspicion orders the less suspect record first, of equally suspect ones that which changed earlier.
func (q *Registry) compareSuspicion(x, y *Record) int {
	suspicion := func(r *Record) int {
		if q.findings[r.Fingerprint] == MustNotRun {
			return maxRecordedCrashes + 1
		}
		return len(r.Crashes)
	}
	if c := cmp.Compare(suspicion(x), suspicion(y)); c != 0 {
		return c
	}
	return x.ChangedAt().Compare(y.ChangedAt())
}
