package feed

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A store that comes back from a copy has lost what was written after the copy was made, and gives out the
// offsets again. A replica then begins with the new era's log, and retains what it knew and the log lacks.
// What is written again is the same statement, not a new one.

// keepDropsFor is the number of eras for which a drop is remembered: a second restore may bring back a
// copy from before it.
const keepDropsFor = 2

// ReplicaOptions configure a Replica.
type ReplicaOptions struct {
	// OutageGap is the time between two times at which the replica is current from which on the store
	// counts as having been unavailable.
	OutageGap time.Duration
	// Later reports whether the value of a states something later than that of b, which has the same key.
	// Nil compares positions.
	Later func(a, b *Record) bool
	// AbsentFor is how long after a restore a key that the store no longer has is kept. Zero keeps it
	// until it is written again.
	AbsentFor time.Duration
	// HiddenFor is how long after a restore a key that was dropped and that the store has again stays
	// dropped, unless a later statement is written.
	HiddenFor time.Duration
}

func (r *Replica) later(a, b *Record) bool {
	if r.options.Later == nil {
		return b.At().Before(a.At())
	}
	return r.options.Later(a, b)
}

// Before reports whether p precedes q.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Offset < q.Offset
}

// Era returns the era of the replica's log.
func (r *Replica) Era() Era { return r.era }

// EraSince returns when the era was first seen, by any process that said so; zero if unknown.
func (r *Replica) EraSince() time.Time { return r.eraSince }

// Empty reports whether the replica never held anything.
func (r *Replica) Empty() bool {
	return r.currentAt.IsZero() && r.end == 0 && len(r.records) == 0
}

// NoteEra records when an era was first seen.
func (r *Replica) NoteEra(era Era, since time.Time) {
	switch {
	case era > r.noted:
		r.noted, r.notedSince = era, since
	case era == r.noted && since.Before(r.notedSince):
		r.notedSince = since
	}
	if era == r.era && !since.IsZero() && (r.eraSince.IsZero() || since.Before(r.eraSince)) {
		r.eraSince = since
	}
}

// Restated returns the number of records that were written again after restores.
func (r *Replica) Restated() int { return r.restated }

// Retained returns the statements of earlier eras that are in force because the log lacks them.
func (r *Replica) Retained() []Record {
	var all []Record
	for key, record := range r.retained {
		if record.Value != nil || r.records[key].Value != nil {
			all = append(all, record)
		}
	}
	return all
}

// RetainedDigest returns the digest of what Retained returns.
func (r *Replica) RetainedDigest() uint64 {
	if !r.digestValid {
		r.digest, r.digestValid = DigestOf(r.Retained()), true
	}
	return r.digest
}

// DigestOf returns a digest of records in any order, zero if there are none.
func DigestOf(records []Record) uint64 {
	sum := uint64(0)
	for _, record := range records {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(record.Key + "\x00")
		if record.Value == nil {
			_, _ = d.WriteString("dropped\x00")
			_, _ = d.Write(record.Previous)
		}
		_, _ = d.Write(record.Value)
		sum ^= d.Sum64()
	}
	return sum
}

// restore replaces the log by that of a later era and returns the keys that changed.
func (r *Replica) restore(s Snapshot, current time.Time) []string {
	before := r.held()
	r.era, r.end, r.seenFrom, r.dropEnd = s.Era, s.End, s.End, 0
	r.eraSince = current
	if r.noted == s.Era && !r.notedSince.IsZero() {
		r.eraSince = r.notedSince
	}
	r.records, r.retained, r.digestValid = make(map[string]Record, len(s.Records)), map[string]Record{}, false
	r.newest = Position{Era: s.Era, Offset: max(s.End, 1) - 1}
	for _, record := range s.Records {
		r.records[record.Key], r.source = first(record), record.Source
	}
	for key, held := range before {
		r.retain(key, held, current)
	}
	r.outageBegin, r.outageEnd = r.currentAt, r.eraSince
	if current.After(r.completeSince) {
		r.completeSince = current
	}
	if current.After(r.currentAt) {
		r.currentAt = current
	}
	return r.changedSince(before)
}

// held returns what is in force for each key, drops included.
func (r *Replica) held() map[string]Record {
	all := make(map[string]Record, len(r.records)+len(r.retained))
	for key, record := range r.records {
		all[key] = record
	}
	for key, record := range r.retained {
		all[key] = record
	}
	return all
}

// retain decides what becomes of what was in force for a key before a restore.
func (r *Replica) retain(key string, held Record, now time.Time) {
	shown, ok := r.records[key]
	switch {
	case held.Value == nil:
		if held.Era+keepDropsFor >= r.era && !(ok && r.laterThanDrop(&shown, &held)) {
			r.retained[key] = held
		}
	case !ok && r.absentExpired(now):
		r.retained[key] = dropped(held)
	case !ok || r.later(&held, &shown):
		r.retained[key] = held
	case !r.later(&shown, &held):
		shown.First = held.First
		r.records[key] = shown
		r.restated++
	}
}

// dropped returns the drop of a record.
func dropped(record Record) Record {
	return Record{Key: record.Key, Previous: record.Value, Offset: record.Offset, Era: record.Era, First: record.First, Source: record.Source}
}

// laterThanDrop reports whether a record states something later than what a drop removed.
func (r *Replica) laterThanDrop(record, drop *Record) bool {
	if drop.Previous == nil {
		return false
	}
	removed := *drop
	removed.Value = drop.Previous
	return r.later(record, &removed)
}

func (r *Replica) absentExpired(now time.Time) bool {
	return r.options.AbsentFor > 0 && now.Sub(r.eraSince) > r.options.AbsentFor
}

func (r *Replica) hiddenExpired(now time.Time) bool {
	return r.options.HiddenFor > 0 && now.Sub(r.eraSince) > r.options.HiddenFor
}

// changedSince returns the keys whose values differ from those held before.
func (r *Replica) changedSince(before map[string]Record) []string {
	var changed []string
	for key, record := range r.held() {
		if old, ok := before[key]; record.Value != nil && (!ok || !bytes.Equal(old.Value, record.Value)) || record.Value == nil && ok && old.Value != nil {
			changed = append(changed, key)
		}
		delete(before, key)
	}
	for key, old := range before {
		if old.Value != nil {
			changed = append(changed, key)
		}
	}
	return changed
}

// review drops what is retained for a key once the log has the same or a later statement.
func (r *Replica) review(record *Record) {
	held, ok := r.retained[record.Key]
	if !ok {
		return
	}
	r.digestValid = false
	switch {
	case record.Value == nil:
		if record.Previous == nil {
			record.Previous = held.Value
			if held.Value == nil {
				record.Previous = held.Previous
			}
		}
	case held.Value == nil && !r.laterThanDrop(record, &held), held.Value != nil && r.later(&held, record):
		return
	case held.Value != nil && !r.later(record, &held):
		record.First = held.First
		r.restated++
	}
	delete(r.retained, record.Key)
}

// mergeRetained takes over what a peer of the same era retains, and returns the keys that changed.
func (r *Replica) mergeRetained(records []Record, now time.Time) []string {
	var changed []string
	for _, record := range records {
		if r.shouldTakeOver(&record, now) {
			r.retained[record.Key], r.digestValid = first(record), false
			changed = append(changed, record.Key)
		}
	}
	return changed
}

func (r *Replica) shouldTakeOver(record *Record, now time.Time) bool {
	held, ok := r.heldRecord(record.Key)
	switch {
	case record.Value == nil:
		return ok && held.Value != nil && !r.laterThanDrop(&held, record) && !r.hiddenExpired(now)
	case !ok:
		return !r.absentExpired(now)
	case held.Value != nil:
		return r.later(record, &held)
	case held.Era == r.era:
		return false // the key was dropped after the restore
	default:
		return r.laterThanDrop(record, &held)
	}
}

// heldRecord returns what is in force for a key, which may be a drop.
func (r *Replica) heldRecord(key string) (Record, bool) {
	if record, ok := r.retained[key]; ok {
		return record, true
	}
	record, ok := r.records[key]
	return record, ok
}

// Expire ends the retention of keys that were not written again in time, and returns those that changed.
func (r *Replica) Expire(now time.Time) []string {
	var changed []string
	for key, record := range r.retained {
		isShown := r.records[key].Value != nil
		switch {
		case record.Value != nil && !isShown && r.absentExpired(now):
			r.retained[key] = dropped(record)
		case record.Value == nil && isShown && r.hiddenExpired(now):
			delete(r.retained, key)
		default:
			continue
		}
		r.digestValid = false
		changed = append(changed, key)
	}
	return changed
}

// first sets where a record's statement was first read, if it is unknown.
func first(record Record) Record {
	if record.First == (Position{}) {
		record.First = record.At()
	}
	return record
}
