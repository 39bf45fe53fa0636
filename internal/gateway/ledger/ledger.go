// Package ledger counts the work that entries have at targets: this entry's own
// exactly, that of the others as they told it last.
package ledger

import (
	"net/netip"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// Work is what is under way at a target.
type Work struct {
	// Running counts requests that are not finished.
	Running int
	// Reading is the time that the target still needs to read prompts.
	Prefill PerPriority[time.Duration]
	// Memory counts the tokens of memory that the requests take beside what the
	// target's cache held before.
	Memory PerPriority[int]
}

func (w *Work) add(o Work) {
	w.Running += o.Running
	w.Prefill.add(&o.Prefill)
	w.Memory.add(&o.Memory)
}

// Urgencies is how many ranks of urgency targets know; 0 is the first.
const Priorities = 10

// Lanes is what requests take of a target, by their urgency. A prompt waits for those
// that are as urgent or more so, and not for the others: they make room for it.
type PerPriority[T ~int | ~int64] [Priorities]T

// Lane returns what one request of an urgency takes.
func AtPriority[T ~int | ~int64](urgency int, amount T) PerPriority[T] {
	var l PerPriority[T]
	l[urgency] = amount
	return l
}

// UpTo is what requests take that are as urgent or more so.
func (l PerPriority[T]) UpTo(urgency int) T {
	sum := T(0)
	for _, amount := range l[:urgency+1] {
		sum += amount
	}
	return sum
}

// All is what requests of all urgencies take.
func (l PerPriority[T]) Total() T { return l.UpTo(Priorities - 1) }

func (l *PerPriority[T]) add(o *PerPriority[T]) {
	for u := range o {
		l[u] += o[u]
	}
}

// told is what another entry said last.
type told struct {
	work map[fleet.ID]Work
	at   time.Time
}

// toldFor is how long another entry's word counts. An entry that died has no
// more work: its connections are closed, and targets drop their requests.
const toldFor = time.Second

// Ledger is safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	own    map[fleet.ID]map[*Request]struct{}
	others map[netip.AddrPort]told
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{own: map[fleet.ID]map[*Request]struct{}{}, others: map[netip.AddrPort]told{}}
}

// Item is one request at a target.
type Request struct {
	ledger *Ledger
	target fleet.ID
	work   Work
	// startsAt is when the target is expected to begin to read its prompt.
	startsAt time.Time
}

// Begin counts a request that is sent to a target. Its prompt is expected to be
// read from wait on.
func (l *Ledger) Begin(target fleet.ID, w Work, wait time.Duration, now time.Time) *Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	item := &Request{ledger: l, target: target, work: w, startsAt: now.Add(wait)}
	if l.own[target] == nil {
		l.own[target] = map[*Request]struct{}{}
	}
	l.own[target][item] = struct{}{}
	return item
}

// Read notes that the target has read the request's prompt.
func (i *Request) PrefillDone() {
	i.ledger.mu.Lock()
	defer i.ledger.mu.Unlock()
	i.work.Prefill = PerPriority[time.Duration]{}
}

// End notes that the request has left the target.
func (i *Request) End() {
	l := i.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.own[i.target], i)
	if len(l.own[i.target]) == 0 {
		delete(l.own, i.target)
	}
}

// readAtLeast is the part of a prompt's reading that counts until its first
// event comes: one that should be read by now may wait behind others.
const readAtLeast = 0.15

// left is the item's work with what the target has probably read taken off.
func (i *Request) left(now time.Time) Work {
	w := i.work
	done := now.Sub(i.startsAt)
	if done < 0 {
		return w
	}
	// A prompt that is being read holds up all others, however urgent they are.
	w.Prefill = AtPriority(0, remaining(w.Prefill.Total(), done))
	return w
}

func remaining(all, done time.Duration) time.Duration {
	return max(all-done, time.Duration(readAtLeast*float64(all)))
}

// OwnAt returns this entry's work at one target.
func (l *Ledger) OwnAt(target fleet.ID, now time.Time) Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ownAt(target, now)
}

func (l *Ledger) ownAt(target fleet.ID, now time.Time) Work {
	var sum Work
	for item := range l.own[target] {
		sum.add(item.left(now))
	}
	return sum
}

// Own returns this entry's work at all targets.
func (l *Ledger) Own(now time.Time) map[fleet.ID]Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ownAll(now)
}

func (l *Ledger) ownAll(now time.Time) map[fleet.ID]Work {
	all := make(map[fleet.ID]Work, len(l.own))
	for target := range l.own {
		all[target] = l.ownAt(target, now)
	}
	return all
}

// Told takes in what another entry said of its work; partial words hold only
// what changed.
func (l *Ledger) ApplyReport(entry netip.AddrPort, work map[fleet.ID]Work, partial bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !partial {
		l.others[entry] = told{work: work, at: now}
		return
	}
	old, ok := l.others[entry]
	if !ok {
		return
	}
	for target, w := range work {
		old.work[target] = w
	}
}

// Totals returns the work at all targets, of all entries.
func (l *Ledger) Totals(now time.Time) map[fleet.ID]Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := l.ownAll(now)
	for entry, t := range l.others {
		if now.Sub(t.at) > toldFor {
			delete(l.others, entry)
			continue
		}
		for target, w := range t.work {
			sum := totals[target]
			sum.add(w)
			totals[target] = sum
		}
	}
	return totals
}
