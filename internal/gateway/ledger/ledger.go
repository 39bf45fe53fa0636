// Package ledger counts the work that entries have at targets: this entry's own
// exactly, that of the others as they told it last.
package ledger

import (
	"net/netip"
	"sync"
	"time"
)

// Work is what is under way at a target.
type Work struct {
	// Running counts requests that are not finished.
	Running int
	// Unread counts prompt tokens that were sent and not read yet, of requests
	// that can be in time; UnreadLate those of requests that cannot, which wait
	// behind the others.
	Unread, UnreadLate int
	// Memory counts the tokens of memory that the requests take.
	Memory int
}

func (w *Work) add(o Work) {
	w.Running += o.Running
	w.Unread += o.Unread
	w.UnreadLate += o.UnreadLate
	w.Memory += o.Memory
}

// told is what another entry said last.
type told struct {
	work map[uint64]Work
	at   time.Time
}

// toldFor is how long another entry's word counts. An entry that died has no
// more work: its connections are closed, and targets drop their requests.
const toldFor = time.Second

// Ledger is safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	own    map[uint64]Work
	others map[netip.AddrPort]told
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{own: map[uint64]Work{}, others: map[netip.AddrPort]told{}}
}

// Item is one request at a target.
type Item struct {
	ledger *Ledger
	target uint64
	work   Work
}

// Begin counts a request that is sent to a target.
func (l *Ledger) Begin(target uint64, w Work) *Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.change(target, w, 1)
	return &Item{ledger: l, target: target, work: w}
}

// Read notes that the target has read the request's prompt.
func (i *Item) Read() {
	i.ledger.mu.Lock()
	defer i.ledger.mu.Unlock()
	i.ledger.change(i.target, Work{Unread: i.work.Unread, UnreadLate: i.work.UnreadLate}, -1)
	i.work.Unread, i.work.UnreadLate = 0, 0
}

// End notes that the request has left the target.
func (i *Item) End() {
	i.ledger.mu.Lock()
	defer i.ledger.mu.Unlock()
	i.ledger.change(i.target, i.work, -1)
	i.work = Work{}
}

func (l *Ledger) change(target uint64, w Work, sign int) {
	have := l.own[target]
	have.add(Work{Running: sign * w.Running, Unread: sign * w.Unread, UnreadLate: sign * w.UnreadLate, Memory: sign * w.Memory})
	if have == (Work{}) {
		delete(l.own, target)
		return
	}
	l.own[target] = have
}

// Own returns this entry's work at all targets.
func (l *Ledger) Own() map[uint64]Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	copied := make(map[uint64]Work, len(l.own))
	for target, w := range l.own {
		copied[target] = w
	}
	return copied
}

// Told takes in what another entry said of its work; partial words hold only
// what changed.
func (l *Ledger) Told(entry netip.AddrPort, work map[uint64]Work, partial bool, now time.Time) {
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

// OwnAt returns this entry's work at one target.
func (l *Ledger) OwnAt(target uint64) Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own[target]
}

// Totals returns the work at all targets, of all entries.
func (l *Ledger) Totals(now time.Time) map[uint64]Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := make(map[uint64]Work, len(l.own))
	for target, w := range l.own {
		totals[target] = w
	}
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
