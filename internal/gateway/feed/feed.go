// Package feed keeps replicas of keyed topics: logs in which only the newest record of each
// key counts.
//
// A replica is updated from the platform's store and from other processes. The record with
// the highest offset wins, so records may arrive in any order and from any source.
package feed

import (
	"slices"
	"strconv"
	"time"
)

// Era counts how often the store has come back from a copy. What was written after the copy was made is
// then gone, and offsets are given out again. It is zero for a store that keeps no eras.
type Era uint64

// MaxEra is the highest era.
const MaxEra = 1<<20 - 1

// Position is a place in a topic.
type Position struct {
	Era    Era
	Offset uint64
}

// String formats the position for logs.
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Era), 10) + "/" + strconv.FormatUint(p.Offset, 10)
}

// Record is the newest record of one key.
type Record struct {
	Key string
	// Value is nil if the record drops the key.
	Value []byte
	// Offset is the record's place in its topic, in the given era.
	Offset uint64
	Era    Era
	// Source names where the record came from: SourceStore, or a peer's address.
	Source string
}

// At returns the record's position.
func (r *Record) At() Position { return Position{Era: r.Era, Offset: r.Offset} }

// SourceStore is the source of records that were read from the store.
const SourceStore = "store"

// Snapshot holds the newest records of all keys of a topic.
type Snapshot struct {
	// Era is that of the answer.
	Era     Era
	Records []Record
	// End is the offset of the next record to be appended.
	End uint64
}

// Page holds records that one replica sends to another.
type Page struct {
	Snapshot
	// Full is set if the page holds every key that was not dropped. Otherwise it holds the
	// records from the requested offset on, including those that drop keys.
	Full bool
}

// Replica is a process's replica of a topic. It is not safe for concurrent use.
type Replica struct {
	records map[string]Record
	// end is the offset below which no record is missing.
	end uint64
	// seenFrom is the offset from which on the replica has seen every drop. A snapshot does
	// not include keys that were dropped before it.
	seenFrom uint64
	// dropEnd is the offset after the newest drop.
	dropEnd uint64
	// newest and source are the position and the source of the record that was applied last.
	newest Position
	source string
	// currentAt is the latest time at which the replica held all records that the store had
	// acknowledged.
	currentAt time.Time
	// outageEnd is when the replica last became current after more than outageGap.
	outageEnd time.Time
	// outageBegin is when the replica was last current before outageEnd.
	outageBegin time.Time
	// firstCurrentAt is when the replica first became current.
	firstCurrentAt time.Time
	// completeSince is the time since which the replica has missed no change: that of the
	// last snapshot or, without one, of the first records.
	completeSince time.Time
	outageGap     time.Duration
}

// NewReplica returns an empty replica. It regards more than outageGap between two times at
// which it is current as an outage of the store.
func NewReplica(outageGap time.Duration) *Replica {
	return &Replica{records: map[string]Record{}, outageGap: outageGap}
}

// End returns the offset of the next record to read.
func (r *Replica) End() uint64 { return r.end }

// Coverage describes the offsets that a replica covers.
type Coverage struct {
	// End is the offset below which no record is missing.
	End uint64
	// SeenFrom is the offset from which on every change was seen.
	SeenFrom uint64
	// DropEnd is the offset after the newest drop that was seen.
	DropEnd uint64
}

// Coverage returns the offsets that the replica covers.
func (r *Replica) Coverage() Coverage {
	return Coverage{End: r.end, SeenFrom: r.seenFrom, DropEnd: r.dropEnd}
}

// LacksDrop reports whether a replica at the position has seen a drop beyond this one's end. The
// key may have been added and dropped in between, so that neither replica holds it.
func (r *Replica) LacksDrop(p Coverage) bool { return p.DropEnd > r.end }

// CoveredBy reports whether a replica at the position has seen every change since this one's
// end. Otherwise it may have missed drops.
func (r *Replica) CoveredBy(p Coverage) bool { return p.SeenFrom <= r.end }

// Newest returns the position and the source of the record that was applied last.
func (r *Replica) Newest() (at Position, source string) { return r.newest, r.source }

// CurrentAt returns when the replica last held all records that the store had acknowledged, or
// zero if it never did.
func (r *Replica) CurrentAt() time.Time { return r.currentAt }

// OutageEnd returns when the replica first became current after the store's last outage, or zero
// if there was none.
func (r *Replica) OutageEnd() time.Time { return r.outageEnd }

// OutageBegin returns when the replica was last current before the store's last outage, or zero
// if there was none.
func (r *Replica) OutageBegin() time.Time { return r.outageBegin }

// FirstCurrentAt returns when the replica first held all records that the store had
// acknowledged, or zero if it never did.
func (r *Replica) FirstCurrentAt() time.Time { return r.firstCurrentAt }

// CompleteSince returns the time since which the replica has seen every change: that of the last
// snapshot or, without one, of the first records. It is zero before either.
func (r *Replica) CompleteSince() time.Time { return r.completeSince }

// Get returns the newest record of a key.
func (r *Replica) Get(key string) (Record, bool) {
	record, ok := r.records[key]
	return record, ok && record.Value != nil
}

// Records returns the newest record of each key that was not dropped, sorted by key.
func (r *Replica) Records() []Record {
	all := make([]Record, 0, len(r.records))
	for _, record := range r.records {
		if record.Value != nil {
			all = append(all, record)
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

// PageFrom returns the records that a replica needs if it has all below offset from.
//
// A replica that began with a snapshot does not know which keys were dropped before it. If from
// is that old it returns a full page, from which the receiver learns which keys are gone.
func (r *Replica) PageFrom(from uint64) Page {
	if from < r.seenFrom {
		return Page{Snapshot: Snapshot{Records: r.Records(), End: r.end}, Full: true}
	}
	p := Page{Snapshot: Snapshot{End: r.end}}
	for _, record := range r.records {
		if record.Offset >= from {
			p.Records = append(p.Records, record)
		}
	}
	return p
}

// Apply applies a page of another replica and returns the keys that changed. current is when
// that replica was current.
func (r *Replica) Apply(p Page, current time.Time) []string {
	if p.Full {
		return r.Replace(p.Snapshot, current)
	}
	return r.Merge(p.Records, p.End, current)
}

// Merge applies the records from the replica's end, or from before it, up to end, and returns
// the keys that changed. current is when they were all that the store had acknowledged, or zero
// if that is unknown. The caller must check that the records are Contiguous.
func (r *Replica) Merge(records []Record, end uint64, current time.Time) []string {
	var changed []string
	for _, record := range records {
		if r.put(record) {
			changed = append(changed, record.Key)
		}
	}
	r.end = max(r.end, end)
	if end >= r.end {
		r.advanceCurrent(current)
	}
	if r.completeSince.IsZero() {
		r.completeSince = current
	}
	return changed
}

// Contiguous reports whether records from that offset on leave no gap after the replica's end.
func (r *Replica) Contiguous(from uint64) bool { return from <= r.end }

// Replace applies a snapshot and returns the keys that changed. Keys that the snapshot does not
// include were dropped. A snapshot older than the replica, from a stale read, is ignored.
func (r *Replica) Replace(s Snapshot, current time.Time) []string {
	if s.End < r.end {
		return nil
	}
	present := make(map[string]bool, len(s.Records))
	for _, record := range s.Records {
		present[record.Key] = true
	}
	records := slices.Clone(s.Records)
	for key, record := range r.records {
		if !present[key] && record.Value != nil && record.Offset < s.End {
			records = append(records, Record{Key: key, Offset: s.End - 1})
		}
	}
	r.seenFrom = s.End
	if current.After(r.completeSince) {
		r.completeSince = current
	}
	return r.Merge(records, s.End, current)
}

// MarkCurrent records that the replica was current at a time.
func (r *Replica) MarkCurrent(at time.Time) { r.advanceCurrent(at) }

func (r *Replica) put(record Record) bool {
	old, ok := r.records[record.Key]
	if ok && old.Offset >= record.Offset {
		return false
	}
	r.records[record.Key] = record
	r.newest = record.At()
	r.source = record.Source
	if record.Value == nil {
		r.dropEnd = max(r.dropEnd, record.Offset+1)
	}
	return true
}

// advanceCurrent advances currentAt and detects outages. It ignores earlier times, which peers
// may report.
func (r *Replica) advanceCurrent(at time.Time) {
	if !at.After(r.currentAt) {
		return
	}
	switch {
	case r.currentAt.IsZero():
		r.firstCurrentAt = at
	case at.Sub(r.currentAt) > r.outageGap:
		r.outageBegin, r.outageEnd = r.currentAt, at
	}
	r.currentAt = at
}
