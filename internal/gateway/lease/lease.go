// Package lease lets one process at a time act for the fleet, by records in the
// platform's store.
//
// # Why it holds
//
// A holder writes a record under the condition that nothing was written since, and may
// act for ValidFor from the moment at which it began to write. Another process takes the
// lease over when it has seen the same newest record for TakeOver. The holder has stopped
// for TakeOver less ValidFor by then, which is more than the time for which targets judge
// two holders to take turns. Times are those of each process's own clock, on which the
// time in which its host was suspended counts: no two clocks are compared.
package lease

import (
	"time"
)

const (
	// ValidFor is how long a holder may act after it began to write its record.
	ValidFor = 2 * time.Second
	// TakeOver is how long another process must have seen the same newest record. It
	// exceeds ValidFor by the three seconds within which two holders of one target count
	// as taking turns, and by one more for answers that are late.
	TakeoverAfter = ValidFor + 4*time.Second
	// renewAfter is how old the holder's record gets before it writes another one.
	renewAfter = 700 * time.Millisecond
	// lookPeriod is how often a process that waits for the lease looks at the store.
	lookPeriod = time.Second
)

// Record is the newest word of who holds the lease.
type Record struct {
	// Holder names one life of a process; empty when nobody ever held it.
	Holder string
	// Offset of the record, and End, which the next one gets.
	Offset, NextOffset uint64
}

// Action is what a process does next.
type Action uint8

// The actions.
const (
	// Wait until later.
	Wait Action = iota
	// Look at the newest record, and tell Looked.
	ReadRecord
	// Write a record where the topic ends at End, and tell Wrote.
	WriteRecord
)

// Lease is one process's part. It is used by one thread and does no input or output.
type Lease struct {
	self string
	// seen is the newest record that is known, seenAt since when it is the newest.
	seen   Record
	seenAt time.Time
	known  bool
	// lookedAt and wroteAt are when the last calls began.
	lookedAt, wroteAt time.Time
	validUntil        time.Time
	busy              bool
}

// New returns a lease of which nothing is known, for one life of a process.
func New(self string) *Lease { return &Lease{self: self} }

// Holder is the name under which this process writes.
func (l *Lease) Holder() string { return l.self }

// Held reports whether this process may act.
func (l *Lease) Held(now time.Time) bool { return now.Before(l.validUntil) }

// End is where the topic ends as far as is known: the condition of the next record.
func (l *Lease) NextOffset() uint64 { return l.seen.NextOffset }

// Next returns what to do now. A call that it asks for is under way until its result is
// told.
func (l *Lease) Next(now time.Time) Action {
	if l.busy {
		return Wait
	}
	switch {
	case l.known && l.seen.Holder == l.self && l.validUntil.After(l.wroteAt):
		if now.Sub(l.wroteAt) < renewAfter {
			return Wait
		}
	case !l.known || now.Sub(l.lookedAt) >= lookPeriod:
		l.busy, l.lookedAt = true, now
		return ReadRecord
	case l.seen.Holder != "" && l.seen.Holder != l.self && now.Sub(l.seenAt) < TakeoverAfter:
		return Wait
	case now.Sub(l.wroteAt) < renewAfter:
		return Wait
	}
	l.busy, l.wroteAt = true, now
	return WriteRecord
}

// Looked takes in the newest record.
func (l *Lease) ReadDone(r Record, err error, now time.Time) {
	l.busy = false
	if err != nil {
		return
	}
	if !l.known || r.Offset != l.seen.Offset || r.Holder != l.seen.Holder {
		l.seenAt = now
	}
	l.seen, l.known = r, true
}

// Wrote takes in what became of a record: whether it was added, and at which offset. An
// error leaves that open, and the process does not act by it.
//
// The failure guarded against: the answer to a write is lost after it took effect. The
// next look finds a record of this process, and the next write continues from there.
func (l *Lease) WriteDone(offset uint64, added bool, err error, now time.Time) {
	l.busy = false
	if err != nil || !added {
		l.known = false
		l.validUntil = time.Time{}
		return
	}
	l.seen, l.seenAt = Record{Holder: l.self, Offset: offset, NextOffset: offset + 1}, now
	l.validUntil = l.wroteAt.Add(ValidFor)
}
