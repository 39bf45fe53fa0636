package sidecar

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/loadslot"
)

const loadTimeout = 5 * time.Minute

// loader is the controller that makes its engine load the configured weights.
//
// The weights store supports few concurrent loads, so sidecars queue for load
// slots with tickets on a log stream (package loadslot). The offset of a ticket
// is its queue position and the fencing number of the load order. Tickets never
// expire: a frozen holder may still send its order when it resumes, and an
// engine that ignores fencing numbers would accept it. A crashed holder is
// replaced by a process on the same listen address, which it can bind only
// after the old process has ended. The new process releases the old tickets
// once its engine reports that it is not loading.
type loader struct {
	sidecar   *Sidecar
	queue     *loadslot.Queue
	nonce     string
	ioPending bool
	// lastFence is the highest fencing number sent to the engine.
	lastFence uint64
	// recovered is set when the queue was read and holds no ticket of an earlier
	// process of this sidecar.
	recovered bool
	// failedAt is when the load order failed, or zero.
	failedAt time.Time
	// drainStartedAt is when the loader began to wait for the engine's runs.
	drainStartedAt time.Time
	// queued is set while the loader has a ticket. Other goroutines read it.
	queued atomic.Bool
}

func newLoader(s *Sidecar) *loader {
	return &loader{sidecar: s, queue: loadslot.NewQueue()}
}

// period returns the time to the next step. It is safe for concurrent use.
func (l *loader) period() time.Duration {
	if l.queued.Load() {
		return loaderQueuedPeriod
	}
	return loaderIdlePeriod
}

// step takes at most one action. It runs on the control thread.
func (l *loader) step() {
	s := l.sidecar
	l.queued.Store(l.nonce != "")
	if l.ioPending {
		return
	}
	a, refusal := s.assignment()
	if refusal != nil || a.model == nil {
		return
	}
	engine, known := s.board.Engine.Get()
	if !known || engine.Loading {
		return
	}
	if l.recovered && l.nonce == "" && engine.Weights == a.model.Weights {
		return
	}
	l.ioPending = true
	stream := loadslot.StreamName(a.service.Name)
	from := l.queue.NextOffset()
	control.Do(s.loop, ioTimeout, func(ctx context.Context) (*external.Page, error) {
		return s.log.Read(ctx, stream, from)
	}, func(page *external.Page, err error) {
		l.ioPending = false
		if err != nil {
			s.metrics.LogError("read")
			return
		}
		l.queue.Apply(page)
		l.advance(a, stream, engine)
	})
}

// advance takes the next action: release tickets of an earlier process, acquire
// a ticket, wait for a slot, order the load, or release the ticket.
func (l *loader) advance(a assignment, stream string, engine external.EngineStatus) {
	name := l.sidecar.settings.Name
	if stale := l.queue.StaleNonces(name, l.nonce); len(stale) > 0 {
		l.append(stream, loadslot.Record{Type: loadslot.TypeRelease, Target: name, Nonce: stale[0]})
		return
	}
	l.recovered = true
	if l.nonce == "" && engine.Weights == a.model.Weights {
		return
	}
	if l.nonce == "" {
		l.nonce = uuid.NewString()
		l.append(stream, loadslot.Record{Type: loadslot.TypeAcquire, Target: name, Nonce: l.nonce})
		return
	}
	ticket, held := l.queue.TicketOffset(l.nonce)
	switch {
	case engine.Weights == a.model.Weights && held:
		l.failedAt = time.Time{}
		l.append(stream, loadslot.Record{Type: loadslot.TypeRelease, Target: name, Nonce: l.nonce})
	case engine.Weights == a.model.Weights:
		l.nonce = ""
	case !held:
		l.append(stream, loadslot.Record{Type: loadslot.TypeAcquire, Target: name, Nonce: l.nonce})
	case !l.failedAt.IsZero():
		l.requeue(stream)
	case l.queue.MayLoad(l.nonce, a.service.MaxLoads, isListed(a)) && l.drained():
		l.sendOrder(a, ticket)
	}
}

// drained reports whether the load may start. A load would cut off running
// completions, so the loader waits for them; the gate admits no new ones for
// outdated weights. After the drain timeout the load starts anyway, because the
// ticket blocks other sidecars. Remaining runs are then handled like runs on a
// crashed engine.
func (l *loader) drained() bool {
	if l.sidecar.gate.Counts().Running == 0 {
		l.drainStartedAt = time.Time{}
		return true
	}
	if l.drainStartedAt.IsZero() {
		l.drainStartedAt = time.Now()
	}
	return time.Since(l.drainStartedAt) > l.sidecar.settings.Timing.DrainTimeout.Duration
}

// requeue releases the ticket after a failed order, so that the loader queues
// again at the end. It first waits for a later engine status that shows no load:
// only the response to the order may have been lost, and an early release would
// allow one load too many.
func (l *loader) requeue(stream string) {
	entry := l.sidecar.board.Engine.Entry()
	if !entry.PostedAt.After(l.failedAt) || entry.Value.Loading {
		return
	}
	l.failedAt = time.Time{}
	nonce := l.nonce
	l.nonce = ""
	l.append(stream, loadslot.Record{Type: loadslot.TypeRelease, Target: l.sidecar.settings.Name, Nonce: nonce})
}

// isListed returns a function that reports whether the configuration lists a
// target. Tickets of unlisted targets are ignored, so an operator can free the
// slot of a lost host by removing its target.
func isListed(a assignment) func(target string) bool {
	listed := make(map[string]bool, len(a.service.Targets))
	for _, t := range a.service.Targets {
		listed[t.Name] = true
	}
	return func(target string) bool { return listed[target] }
}

func (l *loader) append(stream string, record loadslot.Record) {
	data, err := json.Marshal(record)
	if err != nil {
		return
	}
	l.ioPending = true
	control.Do(l.sidecar.loop, ioTimeout, func(ctx context.Context) (uint64, error) {
		return l.sidecar.log.Append(ctx, stream, data)
	}, func(_ uint64, err error) {
		// A lost response is harmless: the next step reads the stream, and a
		// repeated record with the same nonce has no effect.
		l.ioPending = false
		if err != nil {
			l.sidecar.metrics.LogError("append")
		}
	})
}

// sendOrder sends a load order to the engine, unless a newer one was sent. A late
// order for an earlier ticket must not reach an engine that ignores fencing
// numbers.
func (l *loader) sendOrder(a assignment, fence uint64) {
	s := l.sidecar
	if fence < l.lastFence {
		return
	}
	l.lastFence = fence
	l.drainStartedAt = time.Time{}
	l.ioPending = true
	s.logger.Info("load_order", "model", a.model.Name, "weights", a.model.Weights, "fence", fence)
	order := external.LoadOrder{Model: a.model.Name, Weights: a.model.Weights, Fence: fence}
	control.Do(s.loop, loadTimeout, func(ctx context.Context) (*external.EngineStatus, error) {
		if err := s.engine.LoadWeights(ctx, order); err != nil {
			return nil, err
		}
		return s.engine.Status(ctx)
	}, func(status *external.EngineStatus, err error) {
		l.ioPending = false
		if err != nil {
			l.failedAt = time.Now()
			s.logger.Info("load_order_failed", "fence", fence, "stale", errors.Is(err, external.ErrStaleFence), "error", err.Error())
			return
		}
		s.board.Engine.Post(*status, time.Now())
	})
}
