// Package feed keeps replicas of keyed topics: logs in which only the newest record of each
// key counts.
//
// A replica is updated from the platform's store and from other processes. The record with
// the highest offset wins, so records may arrive in any order and from any source.
package feed

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
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
	// First is the position at which the record's statement was first read. It precedes the record's own
	// if the record was written again after the store was restored.
	First Position
	// Previous is the value that the record drops; nil if unknown.
	Previous []byte
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
	// End is the offset after the last record.
	End uint64
	// TopicEnd is the offset of the next record to be appended, if an answer has not all records up to it;
	// otherwise zero.
	TopicEnd uint64
}

// Page holds records that one replica sends to another.
type Page struct {
	Snapshot
	// Full is set if the page holds every key that was not dropped. Otherwise it holds the
	// records from the requested offset on, including those that drop keys.
	Full bool
	// Retained are the statements of earlier eras that are in force because the log lacks them.
	Retained []Record
}

// Replica is a process's replica of a topic. It is not safe for concurrent use.
type Replica struct {
	options ReplicaOptions
	// era is that of the log, eraSince when it was first seen; zero if unknown.
	era      Era
	eraSince time.Time
	// noted is the newest era that was heard of, notedSince when it was first seen.
	noted      Era
	notedSince time.Time
	// records is the log of the era: the newest record of each key, also if it drops the key.
	records map[string]Record
	// retained are records of earlier eras that take precedence over those of the log.
	retained map[string]Record
	// restated counts the records that were written again after a restore.
	restated int
	// digest is that of the retained records, unless it is outdated.
	digest      uint64
	digestValid bool
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
	// currentAt is the latest time as of which the replica is known to hold all records that the store had
	// acknowledged.
	currentAt time.Time
	// confirmedAt is when the process last learned that the replica is current, confirmedBy from where:
	// SourceStore, or a peer's address.
	confirmedAt time.Time
	confirmedBy string
	// outageEnd is when the process learned that again after more than outageGap.
	outageEnd time.Time
	// outageBegin is confirmedAt as it was before outageEnd.
	outageBegin time.Time
	// firstCurrentAt is when the process first learned that the replica is current.
	firstCurrentAt time.Time
	// completeSince is the time since which the replica has missed no change: that of the
	// last snapshot or, without one, of the first records.
	completeSince time.Time
}

// NewReplica returns an empty replica.
func NewReplica(options ReplicaOptions) *Replica {
	return &Replica{options: options, records: map[string]Record{}, retained: map[string]Record{}}
}

// End returns the offset of the next record to read.
func (r *Replica) End() uint64 { return r.end }

// EndPosition returns the position of the next record to read.
func (r *Replica) EndPosition() Position { return Position{Era: r.era, Offset: r.end} }

// Coverage describes the offsets that a replica covers.
type Coverage struct {
	// Era is that of the offsets. Those of different eras are not comparable.
	Era Era
	// End is the offset below which no record is missing.
	End uint64
	// SeenFrom is the offset from which on every change was seen.
	SeenFrom uint64
	// DropEnd is the offset after the newest drop that was seen.
	DropEnd uint64
}

// Coverage returns the offsets that the replica covers.
func (r *Replica) Coverage() Coverage {
	return Coverage{Era: r.era, End: r.end, SeenFrom: r.seenFrom, DropEnd: r.dropEnd}
}

// LacksDrop reports whether a replica with the coverage has seen a drop beyond this one's end. The
// key may have been added and dropped in between, so that neither replica holds it.
func (r *Replica) LacksDrop(p Coverage) bool { return p.Era == r.era && p.DropEnd > r.end }

// CoveredBy reports whether a replica with the coverage has seen every change since this one's
// end. Otherwise it may have missed drops.
func (r *Replica) CoveredBy(p Coverage) bool { return p.Era == r.era && p.SeenFrom <= r.end }

// Newest returns the position and the source of the record that was applied last.
func (r *Replica) Newest() (at Position, source string) { return r.newest, r.source }

// CurrentAt returns the latest time as of which the replica is known to hold all records that the store had
// acknowledged, or zero if it never did.
func (r *Replica) CurrentAt() time.Time { return r.currentAt }

// ConfirmedAt returns when the process last learned that the replica is current. What it learned may have been
// on its way for a while: ConfirmedAt tells how long ago the store was heard, CurrentAt what is in force.
func (r *Replica) ConfirmedAt() time.Time { return r.confirmedAt }

// ConfirmedBy returns from where the process last learned that the replica is current: SourceStore, or a peer's
// address; empty if it never did.
func (r *Replica) ConfirmedBy() string { return r.confirmedBy }

// OutageEnd returns when the process first learned that the replica is current after the store's last outage,
// or zero if there was none.
func (r *Replica) OutageEnd() time.Time { return r.outageEnd }

// OutageBegin returns when the process last learned that before the store's last outage, or zero if there was
// none.
func (r *Replica) OutageBegin() time.Time { return r.outageBegin }

// FirstCurrentAt returns when the process first learned that the replica holds all records that the store had
// acknowledged, or zero if it never did.
func (r *Replica) FirstCurrentAt() time.Time { return r.firstCurrentAt }

// CompleteSince returns the time since which the replica has seen every change: that of the last
// snapshot or, without one, of the first records. It is zero before either.
func (r *Replica) CompleteSince() time.Time { return r.completeSince }

// Get returns the newest record of a key.
func (r *Replica) Get(key string) (Record, bool) {
	record, ok := r.heldRecord(key)
	return record, ok && record.Value != nil
}

// Records returns the newest record of each key that was not dropped, sorted by key.
func (r *Replica) Records() []Record {
	all := make([]Record, 0, len(r.records))
	for _, record := range r.held() {
		if record.Value != nil {
			all = append(all, record)
		}
	}
	slices.SortFunc(all, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return all
}

// PageFrom returns the records that a replica needs if it has all below a position.
//
// A replica that began with a snapshot does not know which keys were dropped before it. If the position
// is that old, or of another era, it returns a full page, from which the receiver learns which keys are
// gone.
func (r *Replica) PageFrom(from Position) Page {
	p := Page{Snapshot: Snapshot{Era: r.era, End: r.end}, Full: from.Era != r.era || from.Offset < r.seenFrom, Retained: r.Retained()}
	for _, record := range r.records {
		if p.Full && record.Value != nil || !p.Full && record.Offset >= from.Offset {
			p.Records = append(p.Records, record)
		}
	}
	return p
}

// CanApply reports whether a page that was requested from a position leaves no gap, and is not of an
// earlier era.
func (r *Replica) CanApply(p *Page, from Position) bool {
	switch {
	case p.Full:
		return r.Empty() || p.Era >= r.era
	case r.Empty():
		return from.Offset == 0
	default:
		return p.Era == r.era && from.Era == r.era && r.Contiguous(from.Offset)
	}
}

// Apply applies a page of another replica, for which CanApply holds, and returns the keys that changed.
// current is when that replica was current, now the present time.
func (r *Replica) Apply(p Page, current, now time.Time) []string {
	if r.Empty() {
		r.era = p.Era
	}
	var changed []string
	if p.Full {
		changed = r.Replace(p.Snapshot, current)
	} else {
		changed = r.Merge(p.Records, p.End, current)
	}
	return append(changed, r.mergeRetained(p.Retained, now)...)
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
// include were dropped. A snapshot older than the replica, from a stale read, is ignored. One of a later
// era begins a new log.
func (r *Replica) Replace(s Snapshot, current time.Time) []string {
	switch {
	case r.Empty():
		r.era = s.Era
		r.NoteEra(r.noted, r.notedSince)
	case s.Era > r.era:
		return r.restore(s, current)
	case s.Era < r.era || s.End < r.end:
		return nil
	}
	present := make(map[string]bool, len(s.Records))
	for _, record := range s.Records {
		present[record.Key] = true
	}
	records := slices.Clone(s.Records)
	for key, record := range r.records {
		if !present[key] && record.Value != nil && record.Offset < s.End {
			records = append(records, Record{Key: key, Era: s.Era, Offset: s.End - 1})
		}
	}
	r.seenFrom = s.End
	if current.After(r.completeSince) {
		r.completeSince = current
	}
	return r.Merge(records, s.End, current)
}

// Truncate cuts off the value of a key's record after n bytes, without a change for the replica's users. Use it
// for a value that cannot be decoded, of which nothing but that is needed.
func (r *Replica) Truncate(key string, n int) {
	record, ok := r.records[key]
	if ok && len(record.Value) > n {
		record.Value = bytes.Clone(record.Value[:n])
		r.records[key] = record
	}
}

// MarkCurrent records that the replica was current as of a time.
func (r *Replica) MarkCurrent(at time.Time) { r.advanceCurrent(at) }

func (r *Replica) put(record Record) bool {
	old, ok := r.records[record.Key]
	if ok && old.Offset >= record.Offset {
		return false
	}
	record = first(record)
	if record.Value == nil && record.Previous == nil {
		record.Previous = old.Value
		if old.Value == nil {
			record.Previous = old.Previous
		}
	}
	r.review(&record)
	r.records[record.Key] = record
	r.newest = record.At()
	r.source = record.Source
	if record.Value == nil {
		r.dropEnd = max(r.dropEnd, record.Offset+1)
	}
	return true
}

// advanceCurrent advances currentAt. It ignores earlier times, which peers may report.
func (r *Replica) advanceCurrent(at time.Time) {
	if at.After(r.currentAt) {
		r.currentAt = at
	}
	r.Confirm(at, r.confirmedBy)
}

// Confirm records that the process has learned at a time that the replica is current, and from where, and detects
// outages. Call it before what was learned is merged, which counts as learned at the time as of which it holds.
func (r *Replica) Confirm(at time.Time, by string) {
	if !at.After(r.confirmedAt) {
		return
	}
	r.confirmedBy = by
	switch {
	case r.confirmedAt.IsZero():
		r.firstCurrentAt = at
	case at.Sub(r.confirmedAt) > r.options.OutageGap:
		r.outageBegin, r.outageEnd = r.confirmedAt, at
	}
	r.confirmedAt = at
}
