// Package lease elects one process at a time to act for the fleet, by records in the
// platform's store.
//
// The holder appends a record on the condition that nothing was appended since, and may act for
// ValidFor from the start of the write. Another process takes over after it has seen the same
// newest record for TakeoverAfter. By then the holder has stopped for TakeoverAfter less
// ValidFor, which exceeds the time in which targets detect two alternating holders. Each process
// uses only its own clock, which must advance while the host is suspended.
//
// A store that comes back from a copy may have lost the newest records, and give out their offsets again.
// A process that learns of a new era gives up the lease and writes nothing for TakeoverAfter, as if another
// one had just taken it. Whoever holds a lease from before the restore has stopped by then.
package lease

import (
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/feed"
)

const (
	// ValidFor is how long a holder may act, from the start of the write of its record.
	ValidFor = 2 * time.Second
	// TakeoverAfter is how long another process must have seen the same newest record. It
	// exceeds ValidFor by the three seconds in which a target detects alternating holders,
	// and by one for late responses.
	TakeoverAfter = ValidFor + 4*time.Second
	// renewAfter is the age at which the holder renews its record.
	renewAfter = 700 * time.Millisecond
	// pollInterval is how often a process that waits for the lease reads the store.
	pollInterval = time.Second
)

// Record is the newest lease record.
type Record struct {
	// Holder is the incarnation of the process that wrote it; empty if there is no record.
	Holder string
	// Offset is the record's offset, NextOffset that of the next record.
	Offset, NextOffset uint64
	// Era is that of the offsets.
	Era feed.Era
}

// Write is the answer to an attempt to append a record.
type Write struct {
	// Appended is set if the topic ended at the expected offset, where the record then is.
	Appended bool
	At       feed.Position
}

// Action is the next step of a process.
type Action uint8

// The actions.
const (
	// Wait means that there is nothing to do now.
	Wait Action = iota
	// ReadRecord means to read the newest record and call ReadDone.
	ReadRecord
	// WriteRecord means to append a record at NextOffset and call WriteDone.
	WriteRecord
)

// Lease is the state machine of one process. It does no I/O and is not safe for concurrent
// use.
type Lease struct {
	self string
	// seen is the newest known record, seenAt when it was first seen.
	seen   Record
	seenAt time.Time
	known  bool
	// readAt and wroteAt are the start times of the last calls.
	readAt, wroteAt time.Time
	validUntil      time.Time
	inFlight        bool
	// era is the newest known era, once one is known. Nothing is written before blockedUntil.
	era          feed.Era
	eraKnown     bool
	blockedUntil time.Time
}

// New returns a lease for one incarnation of a process.
func New(self string) *Lease { return &Lease{self: self} }

// Holder returns the name that this process writes into records.
func (l *Lease) Holder() string { return l.self }

// Held reports whether this process holds the lease and may act.
func (l *Lease) Held(now time.Time) bool { return now.Before(l.validUntil) }

// NextOffset returns the offset that the next record must get.
func (l *Lease) NextOffset() uint64 { return l.seen.NextOffset }

// Next returns what to do now. After ReadRecord or WriteRecord it returns Wait until the
// call's result is reported.
func (l *Lease) Next(now time.Time) Action {
	if l.inFlight {
		return Wait
	}
	switch {
	case l.known && l.seen.Holder == l.self && l.validUntil.After(l.wroteAt):
		if now.Sub(l.wroteAt) < renewAfter {
			return Wait
		}
	case !l.known || now.Sub(l.readAt) >= pollInterval:
		l.inFlight, l.readAt = true, now
		return ReadRecord
	case l.seen.Holder != "" && l.seen.Holder != l.self && now.Sub(l.seenAt) < TakeoverAfter:
		return Wait
	case now.Before(l.blockedUntil):
		return Wait
	case now.Sub(l.wroteAt) < renewAfter:
		return Wait
	}
	l.inFlight, l.wroteAt = true, now
	return WriteRecord
}

// ObserveEra records the era of the store as known from any source. It reports whether the era is a later
// one than that known before.
func (l *Lease) ObserveEra(era feed.Era, now time.Time) bool {
	if l.eraKnown && era <= l.era {
		return false
	}
	isLater := l.eraKnown
	l.era, l.eraKnown = era, true
	if isLater {
		l.known, l.validUntil, l.blockedUntil = false, time.Time{}, now.Add(TakeoverAfter)
	}
	return isLater
}

// ReadDone reports the result of reading the newest record.
func (l *Lease) ReadDone(r Record, err error, now time.Time) {
	l.inFlight = false
	if err != nil {
		return
	}
	l.ObserveEra(r.Era, now)
	if r.Era < l.era {
		return
	}
	if !l.known || r.Offset != l.seen.Offset || r.Era != l.seen.Era || r.Holder != l.seen.Holder {
		l.seenAt = now
	}
	l.seen, l.known = r, true
}

// WriteDone reports the result of a write. After an error it is unknown whether the record was appended,
// and the process does not act. If the write took effect and only its response was lost, the next read finds
// this process's record and the next write continues from there. A record that was appended in another era
// than the one in which the end was read says nothing about other holders.
func (l *Lease) WriteDone(w Write, err error, now time.Time) {
	l.inFlight = false
	if err == nil && l.ObserveEra(w.At.Era, now) {
		return
	}
	if err != nil || !w.Appended || w.At.Era < l.era {
		l.known = false
		l.validUntil = time.Time{}
		return
	}
	l.seen, l.seenAt = Record{Holder: l.self, Offset: w.At.Offset, NextOffset: w.At.Offset + 1, Era: w.At.Era}, now
	l.validUntil = l.wroteAt.Add(ValidFor)
}
