package tracker

import (
	"math"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
)

// send is a prompt that was sent to the engine and has not ended.
type send struct {
	priority int
	// prefill is the estimated prefill time, and memoryTokens the memory that the prompt
	// takes in tokens.
	prefill      time.Duration
	memoryTokens int
	keys         []parts.Key
	// offloaded is set if the engine offloads the parts to their store.
	offloaded bool
	// expiresAt is when the engine has certainly finished the prompt.
	sentAt, expiresAt time.Time
	// prefilled is set once the first event has arrived.
	prefilled bool
}

// precedes reports whether the prefill of s comes before that of o.
func (s *send) precedes(o *send) bool {
	if s.priority != o.priority {
		return s.priority < o.priority
	}
	return s.sentAt.Before(o.sentAt)
}

// minRemainingShare is the least share of a prefill that counts as remaining until the first
// event arrives.
const minRemainingShare = 0.15

// remaining returns the remaining prefill time of the prompt that the engine is computing,
// whose prefill began when it was sent or when the previous prefill finished.
func (s *send) remaining(lastPrefillEnd, now time.Time) time.Duration {
	since := s.sentAt
	if lastPrefillEnd.After(since) {
		since = lastPrefillEnd
	}
	return max(s.prefill-now.Sub(since), time.Duration(minRemainingShare*float64(s.prefill)))
}

// workOf returns the outstanding work of an engine that prefills one prompt at a time in order
// of priority, and finished the previous prefill at lastPrefillEnd.
//
// Short prompts of high priority and long ones of low priority can share a saturated engine.
// Only the prompt being computed delays all others; the rest delay those of the same or a
// lower priority. Counting several as being computed would overestimate the wait of prompts
// of high priority and demote them as late.
func workOf(sends []*send, lastPrefillEnd, now time.Time) ledger.Work {
	var w ledger.Work
	var current *send
	for _, s := range sends {
		w.Running++
		w.Memory[s.priority] += s.memoryTokens
		if s.prefilled {
			continue
		}
		w.Prefill[s.priority] += s.prefill
		if current == nil || s.precedes(current) {
			current = s
		}
	}
	if current != nil {
		w.Prefill[current.priority] -= current.prefill
		w.Prefill[0] += current.remaining(lastPrefillEnd, now)
	}
	return w
}

// offeredLoadWindow is the time constant of the average offered load.
const offeredLoadWindow = 2 * time.Second

// offeredLoad averages the prefill time that an engine is sent per unit of time, by
// priority.
type offeredLoad struct {
	share     [ledger.Priorities]float64
	updatedAt time.Time
}

func (l *offeredLoad) add(priority int, prefill time.Duration, now time.Time) {
	l.decay(now)
	l.share[priority] += prefill.Seconds() / offeredLoadWindow.Seconds()
}

func (l *offeredLoad) decay(now time.Time) {
	factor := math.Exp(-now.Sub(l.updatedAt).Seconds() / offeredLoadWindow.Seconds())
	for priority := range l.share {
		l.share[priority] *= factor
	}
	l.updatedAt = now
}

// permille returns the load by priority, in thousandths of the engine's time.
func (l *offeredLoad) permille(now time.Time) ledger.PerPriority[int] {
	l.decay(now)
	var all ledger.PerPriority[int]
	for priority, share := range l.share {
		all[priority] = int(1000 * share)
	}
	return all
}
