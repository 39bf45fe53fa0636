// Package asof tells as of when something holds that a process has received.
//
// What is received may have waited for any time: at its sender, on a slow link, or in a buffer while this
// process was stopped. It is therefore not known to be as new as the moment at which it is processed. It is
// known to be as new as what it must have followed: an answer follows its question, and a message that
// comes unasked has arrived after the last moment at which there was nothing left to read. How long such a
// message was on its way before is not known; what must not rest on that asks.
package asof

import "time"

// Receipt is when something was received.
type Receipt struct {
	// After precedes it for certain, At follows it: it was received in between.
	After, At time.Time
}

// Answer is the receipt of the answer to a question that was asked at a time.
func Answer(asked, now time.Time) Receipt { return Receipt{After: asked, At: now} }

// Message is the receipt of a message that came unasked. idle is when there was last nothing to read.
func Message(idle, now time.Time) Receipt { return Receipt{After: idle, At: now} }

// Earliest returns the earliest time that was an age ago when the message was sent. Use it for a time as of
// which something holds, and for one since when something has lasted at the longest.
func (r Receipt) Earliest(age time.Duration) time.Time { return r.After.Add(-age) }

// Latest returns the latest time that was an age ago when the message was sent. Use it for a time until which
// something may have lasted.
func (r Receipt) Latest(age time.Duration) time.Time { return r.At.Add(-age) }
