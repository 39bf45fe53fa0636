// Package ledger tracks the work in flight at targets: this entry's own exactly, that of
// other entries as last reported.
package ledger

import (
	"net/netip"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// Work is the work in flight at a target.
type Work struct {
	// Running is the number of requests.
	Running int
	// Prefill is the remaining prefill time of their prompts.
	Prefill PerPriority[time.Duration]
	// Memory is the KV cache that the requests need, in tokens, beyond what was cached
	// before.
	Memory PerPriority[int]
}

func (w *Work) add(o Work) {
	w.Running += o.Running
	w.Prefill.add(&o.Prefill)
	w.Memory.add(&o.Memory)
}

// Priorities is the number of priorities; 0 is the highest.
const Priorities = 10

// PerPriority holds an amount for each priority. A prompt waits for requests of the same or
// a higher priority; the target preempts the others for it.
type PerPriority[T ~int | ~int64] [Priorities]T

// AtPriority returns an amount at one priority and zero at the others.
func AtPriority[T ~int | ~int64](priority int, amount T) PerPriority[T] {
	var p PerPriority[T]
	p[priority] = amount
	return p
}

// UpTo returns the sum of the amounts of a priority and all higher ones.
func (p PerPriority[T]) UpTo(priority int) T {
	sum := T(0)
	for _, amount := range p[:priority+1] {
		sum += amount
	}
	return sum
}

// Total returns the sum over all priorities.
func (p PerPriority[T]) Total() T { return p.UpTo(Priorities - 1) }

func (p *PerPriority[T]) add(o *PerPriority[T]) {
	for i := range o {
		p[i] += o[i]
	}
}

// report is the last work reported by another entry.
type report struct {
	work       map[fleet.ID]Work
	receivedAt time.Time
}

// reportTTL is how long a report counts. An entry that crashed has no more work: targets
// drop its requests when its connections close.
const reportTTL = time.Second

// Ledger tracks the work in flight at all targets. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	own     map[fleet.ID]map[*Request]struct{}
	reports map[netip.AddrPort]report
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{own: map[fleet.ID]map[*Request]struct{}{}, reports: map[netip.AddrPort]report{}}
}

// Request is one request at a target.
type Request struct {
	ledger *Ledger
	target fleet.ID
	work   Work
	// prefillStart is the expected start of the prefill.
	prefillStart time.Time
}

// Begin adds a request sent to a target, whose prefill is expected to start after wait.
func (l *Ledger) Begin(target fleet.ID, w Work, wait time.Duration, now time.Time) *Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Request{ledger: l, target: target, work: w, prefillStart: now.Add(wait)}
	if l.own[target] == nil {
		l.own[target] = map[*Request]struct{}{}
	}
	l.own[target][r] = struct{}{}
	return r
}

// PrefillDone removes the request's prefill from its work.
func (r *Request) PrefillDone() {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	r.work.Prefill = PerPriority[time.Duration]{}
}

// End removes the request. It may be called more than once.
func (r *Request) End() {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.own[r.target], r)
	if len(l.own[r.target]) == 0 {
		delete(l.own, r.target)
	}
}

// minPrefillShare is the share of a prefill that counts until PrefillDone, because an
// overdue prompt may still wait behind others.
const minPrefillShare = 0.15

// remainingWork returns the request's work less the prefill that is probably done.
func (r *Request) remainingWork(now time.Time) Work {
	w := r.work
	elapsed := now.Sub(r.prefillStart)
	if elapsed < 0 {
		return w
	}
	// A running prefill blocks prompts of all priorities.
	w.Prefill = AtPriority(0, remainingPrefill(w.Prefill.Total(), elapsed))
	return w
}

func remainingPrefill(total, elapsed time.Duration) time.Duration {
	return max(total-elapsed, time.Duration(minPrefillShare*float64(total)))
}

// OwnAt returns this entry's work at a target.
func (l *Ledger) OwnAt(target fleet.ID, now time.Time) Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ownAt(target, now)
}

func (l *Ledger) ownAt(target fleet.ID, now time.Time) Work {
	var sum Work
	for r := range l.own[target] {
		sum.add(r.remainingWork(now))
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

// ApplyReport updates the work of another entry. A partial report holds only the targets
// that changed, and is ignored without a full report before.
func (l *Ledger) ApplyReport(entry netip.AddrPort, work map[fleet.ID]Work, partial bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !partial {
		l.reports[entry] = report{work: work, receivedAt: now}
		return
	}
	last, ok := l.reports[entry]
	if !ok {
		return
	}
	for target, w := range work {
		last.work[target] = w
	}
}

// Totals returns the work of all entries at all targets.
func (l *Ledger) Totals(now time.Time) map[fleet.ID]Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := l.ownAll(now)
	for entry, rep := range l.reports {
		if now.Sub(rep.receivedAt) > reportTTL {
			delete(l.reports, entry)
			continue
		}
		for target, w := range rep.work {
			sum := totals[target]
			sum.add(w)
			totals[target] = sum
		}
	}
	return totals
}
