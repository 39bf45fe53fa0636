// Package feed keeps copies of keyed topics: logs of which only the newest
// record of each key counts.
//
// A copy is filled from the platform's store and from other processes alike.
// Offsets decide which record of a key is newer, so that it does not matter in
// which order and by which way records come, and a copy never goes back.
package feed

import (
	"slices"
	"time"
)

// Record is the newest record of one key.
type Record struct {
	Key string
	// Value is nil when the key was dropped.
	Value []byte
	// Offset of the record in its topic.
	Offset uint64
}

// Snapshot is every key of a topic at some moment.
type Snapshot struct {
	Records []Record
	// End is the offset that the next append gets.
	End uint64
}

// Page is what one copy of a topic hands to another.
type Page struct {
	Snapshot
	// Whole pages hold every key that was not dropped. Other pages hold the
	// records from the asked offset on, dropped keys included.
	Full bool
}

// Copy is a copy of a topic. It is used by one thread.
type Replica struct {
	records map[string]Record
	// end is the offset up to which nothing is missing.
	end uint64
	// dropsFrom is the offset from which on the copy knows which keys were
	// dropped. A snapshot lacks the keys that were dropped before it.
	dropsFrom uint64
	// dropEnd is the offset after that of the newest drop.
	dropEnd uint64
	// currentAt is the latest time at which the copy was known to hold all
	// that the store had acknowledged.
	currentAt time.Time
	// outageEnd is when the copy last became current again after it had not
	// been for longer than outageGap.
	outageEnd time.Time
	// outageBegin is when the copy was current last before that.
	outageBegin time.Time
	// firstCurrentAt is when the copy was current for the first time.
	firstCurrentAt time.Time
	// followedSince is the time since which the copy has missed no change: that of the
	// last snapshot, or of the first records.
	followedSince time.Time
	outageGap     time.Duration
}

// NewCopy returns an empty copy. A time without word of the store that exceeds
// outageGap counts as an outage.
func NewReplica(outageGap time.Duration) *Replica {
	return &Replica{records: map[string]Record{}, outageGap: outageGap}
}

// End is the offset from which to read on.
func (c *Replica) End() uint64 { return c.end }

// Position is how far a copy has got.
type Position struct {
	// End is the offset up to which nothing is missing.
	End uint64
	// SeenFrom is the offset from which on every change was seen.
	SeenFrom uint64
	// DropEnd is the offset after that of the newest drop that was seen.
	DropEnd uint64
}

// Position is how far the copy has got.
func (c *Replica) Position() Position {
	return Position{End: c.end, SeenFrom: c.dropsFrom, DropEnd: c.dropEnd}
}

// LacksDrop reports whether a copy at a position knows a drop that this one has not reached:
// of a key that came and went since, perhaps, which neither holds.
func (c *Replica) LacksDrop(p Position) bool { return p.DropEnd > c.end }

// CoveredBy reports whether a copy at a position has seen every change since this one's end.
// One that has not may miss drops, and its word shows nothing of them.
func (c *Replica) CoveredBy(p Position) bool { return p.SeenFrom <= c.end }

// CurrentAt is when the copy last held all that the store had acknowledged;
// zero when it never did.
func (c *Replica) CurrentAt() time.Time { return c.currentAt }

// OutageEnd is when the last outage of the store ended, as seen by this copy;
// zero when there was none.
func (c *Replica) OutageEnd() time.Time { return c.outageEnd }

// OutageBegin is when the copy was current last before the last outage; zero when there was
// none.
func (c *Replica) OutageBegin() time.Time { return c.outageBegin }

// FirstCurrentAt is when the copy held all that the store had acknowledged for the first
// time; zero when it never did.
func (c *Replica) FirstCurrentAt() time.Time { return c.firstCurrentAt }

// FollowedSince is the time since which the copy has seen every change: that of the last
// snapshot, or of the first records where there was none. It is zero before either.
func (c *Replica) CompleteSince() time.Time { return c.followedSince }

// Get returns the newest record of a key.
func (c *Replica) Get(key string) (Record, bool) {
	r, ok := c.records[key]
	return r, ok && r.Value != nil
}

// Records returns the newest record of each key that was not dropped, in the
// order of keys.
func (c *Replica) Records() []Record {
	all := make([]Record, 0, len(c.records))
	for _, r := range c.records {
		if r.Value != nil {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b Record) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return all
}

// Since returns what a copy needs that has everything before the offset from.
//
// The failure guarded against: a process that began with a snapshot does not know
// which keys were dropped before it. Were it to hand on its records alone, the
// other copy would move to its end and keep the dropped key for ever: requests
// went to an engine seconds after it had left.
func (c *Replica) PageFrom(from uint64) Page {
	if from < c.dropsFrom {
		return Page{Snapshot: Snapshot{Records: c.Records(), End: c.end}, Full: true}
	}
	p := Page{Snapshot: Snapshot{End: c.end}}
	for _, r := range c.records {
		if r.Offset >= from {
			p.Records = append(p.Records, r)
		}
	}
	return p
}

// Take takes in a page of another copy and returns the keys that changed.
func (c *Replica) Apply(p Page, current time.Time) []string {
	if p.Full {
		return c.Replace(p.Snapshot, current)
	}
	return c.Merge(p.Records, p.End, current)
}

// Merge takes in the records from the copy's end, or before it, up to end, and
// returns the keys that changed. current is when they were all that the store
// had acknowledged; zero when that is not known.
//
// Records that leave a gap behind the copy's end are refused by the caller; see
// Continues.
func (c *Replica) Merge(records []Record, end uint64, current time.Time) []string {
	var changed []string
	for _, r := range records {
		if c.put(r) {
			changed = append(changed, r.Key)
		}
	}
	c.end = max(c.end, end)
	if end >= c.end {
		c.noteCurrent(current)
	}
	if c.followedSince.IsZero() {
		c.followedSince = current
	}
	return changed
}

// Continues reports whether records from that offset on leave no gap.
func (c *Replica) Contiguous(from uint64) bool { return from <= c.end }

// Replace takes in a snapshot and returns the keys that changed. Keys that it
// lacks were dropped while their history was not to be had. A snapshot that is
// older than the copy changes nothing: stale reads show so.
func (c *Replica) Replace(s Snapshot, current time.Time) []string {
	if s.End < c.end {
		return nil
	}
	present := make(map[string]bool, len(s.Records))
	for _, r := range s.Records {
		present[r.Key] = true
	}
	records := slices.Clone(s.Records)
	for key, r := range c.records {
		if !present[key] && r.Value != nil && r.Offset < s.End {
			records = append(records, Record{Key: key, Offset: s.End - 1})
		}
	}
	c.dropsFrom = s.End
	if current.After(c.followedSince) {
		c.followedSince = current
	}
	return c.Merge(records, s.End, current)
}

// Confirm notes that the copy held all that matters at a time.
func (c *Replica) MarkCurrent(at time.Time) { c.noteCurrent(at) }

func (c *Replica) put(r Record) bool {
	old, ok := c.records[r.Key]
	if ok && old.Offset >= r.Offset {
		return false
	}
	c.records[r.Key] = r
	if r.Value == nil {
		c.dropEnd = max(c.dropEnd, r.Offset+1)
	}
	return true
}

// noteCurrent moves the time of being current on. The failure guarded against
// is a peer's older word: it must not make the copy look older.
func (c *Replica) noteCurrent(at time.Time) {
	if !at.After(c.currentAt) {
		return
	}
	switch {
	case c.currentAt.IsZero():
		c.firstCurrentAt = at
	case at.Sub(c.currentAt) > c.outageGap:
		c.outageBegin, c.outageEnd = c.currentAt, at
	}
	c.currentAt = at
}
