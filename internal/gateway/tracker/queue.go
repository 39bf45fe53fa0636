package tracker

import (
	"math"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
)

// send is one prompt at the engine.
type send struct {
	urgency int
	// reads is how long the engine reads it, memory the tokens that it takes.
	reads  time.Duration
	memory int
	keys   []parts.Key
	// saved is set when the engine saves the parts to their store.
	saved bool
	// begunAt is when it was sent, endsAt when the engine has certainly ended it.
	begunAt, endsAt time.Time
	// wasRead is set once its first event has come.
	wasRead bool
}

// before reports whether the engine reads s before o.
func (s *send) before(o *send) bool {
	if s.urgency != o.urgency {
		return s.urgency < o.urgency
	}
	return s.begunAt.Before(o.begunAt)
}

// readAtLeast is the part of a prompt's reading that counts until its first event comes.
const readAtLeast = 0.15

// remaining is how much of the prompt that is being read is left, when the engine was
// free for it from a time on.
func (s *send) remaining(freeAt, now time.Time) time.Duration {
	since := s.begunAt
	if freeAt.After(since) {
		since = freeAt
	}
	return max(s.reads-now.Sub(since), time.Duration(readAtLeast*float64(s.reads)))
}

// workOf is what is under way at an engine that reads one prompt after the other, the
// most urgent first, and was free for the next one from a time on.
//
// The load pattern that it answers: short urgent prompts and long ones of another route
// share engines that read all the time. Only one prompt is being read, and holds up all
// others; the rest hold up those that are as urgent or less so. Were each that should
// have begun by now to count as being read, the urgent ones would be expected much later
// than they begin, and be put behind the others as late.
func workOf(sends []*send, freeAt, now time.Time) ledger.Work {
	var w ledger.Work
	var head *send
	for _, s := range sends {
		w.Running++
		w.Memory[s.urgency] += s.memory
		if s.wasRead {
			continue
		}
		w.Prefill[s.urgency] += s.reads
		if head == nil || s.before(head) {
			head = s
		}
	}
	if head != nil {
		w.Prefill[head.urgency] -= head.reads
		w.Prefill[0] += head.remaining(freeAt, now)
	}
	return w
}

// arrivalsWindow is the time over which what the engine is given to read is averaged.
const arrivalsWindow = 2 * time.Second

// arrivals averages the share of its time for which an engine is given prompts to read,
// by their urgency.
type arrivals struct {
	share [ledger.Priorities]float64
	at    time.Time
}

func (a *arrivals) add(urgency int, reads time.Duration, now time.Time) {
	a.decay(now)
	a.share[urgency] += reads.Seconds() / arrivalsWindow.Seconds()
}

func (a *arrivals) decay(now time.Time) {
	keep := math.Exp(-now.Sub(a.at).Seconds() / arrivalsWindow.Seconds())
	for u := range a.share {
		a.share[u] *= keep
	}
	a.at = now
}

// thousandths returns the shares as they are told.
func (a *arrivals) thousandths(now time.Time) ledger.PerPriority[int] {
	a.decay(now)
	var all ledger.PerPriority[int]
	for u, share := range a.share {
		all[u] = int(1000 * share)
	}
	return all
}
