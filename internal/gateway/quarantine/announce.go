package quarantine

import (
	"slices"
	"time"
)

// Updates returns a channel that receives a value when records are to be announced or a finding
// has changed.
func (q *Registry) Updates() <-chan struct{} { return q.updates }

// Merge merges a record that another process announced, and reports whether it made a major
// change. With rebroadcast the change is announced in turn. Findings are updated by the next
// call of Status, List or Reevaluate, once for all records of a datagram.
func (q *Registry) Merge(other Record, rebroadcast bool, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.expired(&other, now) {
		return false
	}
	if q.records[other.Fingerprint] == nil && len(other.Crashes) == 0 && len(other.Unconfirmed) == 0 && other.Generation == 0 && other.SoundAt.IsZero() {
		return false
	}
	r := q.recordOf(other.Fingerprint)
	generation := r.Generation
	before := crashedTargets(r)
	other.WasSound = other.WasSound || other.Part != "" && q.soundParts.isSound(other.Fingerprint, now)
	switch r.merge(&other) {
	case unchanged:
		return false
	case minorChange:
		q.markChanged(other.Fingerprint, false)
		return false
	}
	if r.Generation != generation {
		before = nil // all crashes are new
		if len(r.Crashes) == 0 {
			q.observer.Released(r, true)
		}
	}
	for _, c := range r.Crashes {
		if before[c.Target] {
			continue
		}
		q.observer.CrashAttributed(r, c, true)
		q.noteCrash(c.At)
	}
	if r.ProbationRun.Target != 0 {
		q.probationRuns[other.Fingerprint] = r
	} else {
		delete(q.probationRuns, other.Fingerprint)
	}
	q.markChanged(other.Fingerprint, false)
	if rebroadcast && !r.isLonePart() {
		q.pendingForwards.add(other.Fingerprint)
		q.signal()
	}
	q.evict()
	return true
}

// updateQueue holds records to announce, each once, in the order in which they were added.
type updateQueue struct {
	order   []Fingerprint
	pending map[Fingerprint]bool
}

// maxPendingUpdates bounds the records that wait to be announced. Further ones are announced in turn.
const maxPendingUpdates = 8192

func (u *updateQueue) add(fp Fingerprint) {
	if u.pending[fp] || len(u.order) >= maxPendingUpdates {
		return
	}
	if u.pending == nil {
		u.pending = map[Fingerprint]bool{}
	}
	u.pending[fp] = true
	u.order = append(u.order, fp)
}

// take removes and returns the first record, or false if there is none.
func (u *updateQueue) take() (Fingerprint, bool) {
	if len(u.order) == 0 {
		return 0, false
	}
	fp := u.order[0]
	u.order = u.order[1:]
	delete(u.pending, fp)
	return fp, true
}

func (q *Registry) queueUpdate(fp Fingerprint) {
	q.pendingUpdates.add(fp)
	q.signal()
}

// signal wakes the receiver of Updates.
func (q *Registry) signal() {
	select {
	case q.updates <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// TakeUpdates removes and returns up to n records from those to be announced at once because this process
// changed them.
func (q *Registry) TakeUpdates(n int) []Record { return q.take(&q.pendingUpdates, n) }

// TakeForwards removes and returns up to n records from those to be passed on that other processes announced. If
// there are more, Updates receives another value.
func (q *Registry) TakeForwards(n int) []Record {
	taken := q.take(&q.pendingForwards, n)
	if len(taken) == n {
		q.signal()
	}
	return taken
}

func (q *Registry) take(from *updateQueue, n int) []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	var taken []Record
	for len(taken) < n {
		fp, ok := from.take()
		if !ok {
			break
		}
		if r := q.records[fp]; r != nil {
			taken = append(taken, r.clone())
		}
	}
	return taken
}

// announceFor is how long a request with a single crash is announced repeatedly, in case
// datagrams were lost. Its caller has retried by then. Records with more crashes are announced
// until they expire.
const announceFor = 10 * time.Second

// NextToAnnounce returns up to n records to announce again, in round-robin order.
func (q *Registry) NextToAnnounce(n int, now time.Time) []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	var fingerprints []Fingerprint
	for fp, r := range q.records {
		if r.isLonePart() {
			continue
		}
		if (len(r.Crashes) > 1 || r.Generation > 0 || now.Sub(r.ChangedAt()) < announceFor) && !q.expired(r, now) {
			fingerprints = append(fingerprints, fp)
		}
	}
	if len(fingerprints) == 0 {
		return nil
	}
	slices.Sort(fingerprints)
	from, _ := slices.BinarySearch(fingerprints, q.lastAnnounced+1)
	var next []Record
	for i := range min(n, len(fingerprints)) {
		fp := fingerprints[(from+i)%len(fingerprints)]
		next = append(next, q.records[fp].clone())
		q.lastAnnounced = fp
	}
	return next
}
