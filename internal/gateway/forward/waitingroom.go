package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/queue"
)

// waitingRoom connects the requests that wait with the queue: it passes events and the time on to it,
// and turns and refusals back. It is safe for concurrent use.
type waitingRoom struct {
	observer queue.Observer
	// waiting is the number of waiters, so that events cost nothing while there are none.
	waiting atomic.Int64
	mu      sync.Mutex
	queue   *queue.Queue
	waiters map[uint64]*waiter
	lastID  uint64
	// timer fires at timerAt; timerAt is zero while it is stopped.
	timer   *time.Timer
	timerAt time.Time
}

// waiter is a request in the waiting room.
type waiter struct {
	room *waitingRoom
	item queue.Item
	// messages receives the turns of the request, which are nil, or its refusal.
	messages chan *queue.Refusal
	// queued is set once the request waits.
	queued bool
}

func newWaitingRoom(p *queue.Policy, observer queue.Observer) *waitingRoom {
	if p == nil {
		p = &queue.Policy{}
	}
	return &waitingRoom{observer: observer, queue: queue.New(*p), waiters: map[uint64]*waiter{}}
}

// enter adds a request. It must leave by placed or leave, unless it is refused.
func (r *waitingRoom) enter(it queue.Item) (*waiter, queue.Decision) {
	r.mu.Lock()
	r.lastID++
	it.ID = r.lastID
	// The channel holds a turn and a refusal, so that no send blocks.
	w := &waiter{room: r, item: it, messages: make(chan *queue.Refusal, 2)}
	r.waiters[it.ID] = w
	r.waiting.Add(1)
	d := r.queue.Add(it, time.Now())
	r.finish(nil, d.Evicted)
	w.report(&d)
	return w, d
}

// failed reports that no target took the request.
func (w *waiter) failed() queue.Decision {
	w.room.mu.Lock()
	d, turns := w.room.queue.Failed(w.item.ID, time.Now())
	w.room.finish(turns, d.Evicted)
	w.report(&d)
	return d
}

// report tells the observer about a decision on the request. The refusal of one that has left the
// queue already has been reported.
func (w *waiter) report(d *queue.Decision) {
	observer := w.room.observer
	switch {
	case d.Action == queue.Refuse:
		w.room.forget(w.item.ID)
		if observer != nil && d.Refusal.Item.ID != 0 {
			observer.Refused(d.Refusal)
		}
	case d.Action == queue.Wait && !w.queued:
		w.queued = true
		if observer != nil {
			observer.Queued(w.item, *d)
		}
	}
}

// placed reports that the request has a target, and that the ledger contains it.
func (w *waiter) placed() {
	r := w.room
	r.mu.Lock()
	p, turns := r.queue.Placed(w.item.ID, time.Now())
	r.finish(turns, nil)
	r.forget(w.item.ID)
	if r.observer != nil && p.Item.ID != 0 {
		r.observer.Placed(p)
	}
}

// leave removes a request that ends without a target. It may be called more than once.
func (w *waiter) leave() {
	r := w.room
	r.mu.Lock()
	it, waited, turns := r.queue.Leave(w.item.ID, time.Now())
	r.finish(turns, nil)
	r.forget(w.item.ID)
	if r.observer != nil && it.ID != 0 {
		r.observer.Left(it, waited)
	}
}

// deferTurn passes the turn on. The request attempts placement again when it likes.
func (w *waiter) deferTurn() {
	w.room.mu.Lock()
	w.room.finish(w.room.queue.Defer(w.item.ID, time.Now()), nil)
}

// await returns when the request has its turn. It returns a refusal or the end of the context instead.
func (w *waiter) await(ctx context.Context) (*queue.Refusal, error) {
	select {
	case refusal := <-w.messages:
		return refusal, ctx.Err()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (r *waitingRoom) forget(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.waiters[id]; ok {
		delete(r.waiters, id)
		r.waiting.Add(-1)
	}
}

// finish passes turns and refusals on, sets the timer and releases the lock, which must be held.
func (r *waitingRoom) finish(turns []uint64, refused []queue.Refusal) {
	for _, id := range turns {
		if w := r.waiters[id]; w != nil {
			w.messages <- nil
		}
	}
	for i := range refused {
		if w := r.waiters[refused[i].Item.ID]; w != nil {
			w.messages <- &refused[i]
		}
	}
	r.setTimer()
	r.mu.Unlock()
	if r.observer == nil {
		return
	}
	for i := range refused {
		r.observer.Refused(refused[i])
	}
}

// setTimer sets the timer to the time at which the queue next has something to do.
func (r *waitingRoom) setTimer() {
	next := r.queue.Next()
	switch {
	case next.IsZero():
		if r.timer != nil {
			r.timer.Stop()
		}
		r.timerAt = time.Time{}
	case r.timerAt.IsZero() || next.Before(r.timerAt):
		r.timerAt = next
		if r.timer == nil {
			r.timer = time.AfterFunc(time.Until(next), r.tick)
		} else {
			r.timer.Reset(time.Until(next))
		}
	}
}

func (r *waitingRoom) tick() {
	r.mu.Lock()
	r.timerAt = time.Time{}
	turns, refused := r.queue.Tick(time.Now())
	r.finish(turns, refused)
}

// wake passes on that the work of this entry at a target of a service has changed.
func (r *waitingRoom) wake(service string) {
	if r.waiting.Load() == 0 {
		return
	}
	r.mu.Lock()
	r.finish(r.queue.Wake(service, time.Now()), nil)
}

// notify passes on a change that another process has reported, or a new view.
func (r *waitingRoom) notify() {
	if r.waiting.Load() == 0 {
		return
	}
	r.mu.Lock()
	r.queue.Notify(time.Now())
	r.finish(nil, nil)
}

// stop refuses all waiting requests.
func (r *waitingRoom) stop() {
	r.mu.Lock()
	r.finish(nil, r.queue.Stop(time.Now()))
}

func (r *waitingRoom) setPolicy(p queue.Policy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.SetPolicy(p)
}

func (r *waitingRoom) stats() queue.Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.Stats(time.Now())
}
