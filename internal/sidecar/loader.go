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

const orderTimeout = 5 * time.Minute

// loader orders its engine to load the weights in force. It is a controller.
//
// Weights come from a store that bears few loads at once. The places are
// tickets on a log stream (package loadslot): the offset of a sidecar's ticket
// is its place in line and the fencing number of its order. No ticket lapses.
// A holder that is frozen keeps its place, since it might still give its order
// when it wakes, and beside an engine that ignores fencing numbers nothing
// could refuse it. A holder that died is replaced by a process on the same
// listening address, which can bind it only when the old one is gone; the new
// one takes the dead one's tickets back, after its engine has said that it is
// not loading.
type loader struct {
	sidecar *Sidecar
	line    *loadslot.Queue
	nonce   string
	busy    bool
	// ordered is the highest fencing number given to the engine.
	ordered uint64
	// clean is set when the line was read and holds no ticket of an earlier
	// process.
	clean bool
	// failedAt is when an order failed; zero when none did.
	failedAt time.Time
	// drainSince is when the loader began to wait for runs to end.
	drainSince time.Time
	// inLine tells the timer whether there is a ticket.
	inLine atomic.Bool
}

func newLoader(s *Sidecar) *loader {
	return &loader{sidecar: s, line: loadslot.NewQueue()}
}

// period is the time to the next step; any thread may ask.
func (l *loader) period() time.Duration {
	if l.inLine.Load() {
		return loaderBusy
	}
	return loaderIdle
}

// step moves the loader by one action at most. It runs on the control thread.
func (l *loader) step() {
	s := l.sidecar
	l.inLine.Store(l.nonce != "")
	if l.busy {
		return
	}
	o, refusal := s.own()
	if refusal != nil || o.model == nil {
		return
	}
	engine, known := s.board.Engine.Get()
	if !known || engine.Loading {
		return
	}
	if l.clean && l.nonce == "" && engine.Weights == o.model.Weights {
		return
	}
	l.busy = true
	stream := loadslot.StreamName(o.service.Name)
	from := l.line.NextOffset()
	control.Do(s.loop, ioTimeout, func(ctx context.Context) (*external.Page, error) {
		return s.log.Read(ctx, stream, from)
	}, func(page *external.Page, err error) {
		l.busy = false
		if err != nil {
			s.metrics.LogError("read")
			return
		}
		l.line.Apply(page)
		l.act(o, stream, engine)
	})
}

// act takes the next step: give back a dead holder's tickets, take a ticket,
// wait in line, load, or give the ticket back.
func (l *loader) act(o own, stream string, engine external.EngineStatus) {
	name := l.sidecar.settings.Name
	if stale := l.line.StaleNonces(name, l.nonce); len(stale) > 0 {
		l.append(stream, loadslot.Record{Type: loadslot.TypeRelease, Target: name, Nonce: stale[0]})
		return
	}
	l.clean = true
	if l.nonce == "" && engine.Weights == o.model.Weights {
		return
	}
	if l.nonce == "" {
		l.nonce = uuid.NewString()
		l.append(stream, loadslot.Record{Type: loadslot.TypeAcquire, Target: name, Nonce: l.nonce})
		return
	}
	ticket, held := l.line.TicketOffset(l.nonce)
	switch {
	case engine.Weights == o.model.Weights && held:
		l.failedAt = time.Time{}
		l.append(stream, loadslot.Record{Type: loadslot.TypeRelease, Target: name, Nonce: l.nonce})
	case engine.Weights == o.model.Weights:
		l.nonce = ""
	case !held:
		l.append(stream, loadslot.Record{Type: loadslot.TypeAcquire, Target: name, Nonce: l.nonce})
	case !l.failedAt.IsZero():
		l.giveWay(stream)
	case l.line.MayLoad(l.nonce, o.service.MaxLoads, isListed(o)) && l.drained():
		l.order(o, ticket)
	}
}

// drained reports whether the engine's runs have ended. The gate takes none for
// other weights than those in force, so that they do; a load under a run would
// cut its answer. After a bound the load goes ahead, since the ticket keeps
// others waiting, and what still runs is continued or refused like any run on an
// engine that was lost.
func (l *loader) drained() bool {
	if l.sidecar.gate.Counts().Running == 0 {
		l.drainSince = time.Time{}
		return true
	}
	if l.drainSince.IsZero() {
		l.drainSince = time.Now()
	}
	return time.Since(l.drainSince) > l.sidecar.settings.Timing.DrainTimeout.Duration
}

// giveWay goes to the end of the line after a failed order, once the engine
// has said since that it is not loading: the order's answer may have been lost
// after it took effect, and a place given back early would let one load too
// many run.
func (l *loader) giveWay(stream string) {
	entry := l.sidecar.board.Engine.Entry()
	if !entry.PostedAt.After(l.failedAt) || entry.Value.Loading {
		return
	}
	l.failedAt = time.Time{}
	nonce := l.nonce
	l.nonce = ""
	l.append(stream, loadslot.Record{Type: loadslot.TypeRelease, Target: l.sidecar.settings.Name, Nonce: nonce})
}

// isListed tells which targets the configuration lists; tickets of others do
// not count, which is how an operator frees the place of a host that is gone
// for good.
func isListed(o own) func(target string) bool {
	listed := make(map[string]bool, len(o.service.Targets))
	for _, t := range o.service.Targets {
		listed[t.Name] = true
	}
	return func(target string) bool { return listed[target] }
}

func (l *loader) append(stream string, record loadslot.Record) {
	data, err := json.Marshal(record)
	if err != nil {
		return
	}
	l.busy = true
	control.Do(l.sidecar.loop, ioTimeout, func(ctx context.Context) (uint64, error) {
		return l.sidecar.log.Append(ctx, stream, data)
	}, func(_ uint64, err error) {
		// A lost answer needs no care: the next step reads the stream, and a
		// repeated record with the same nonce changes nothing.
		l.busy = false
		if err != nil {
			l.sidecar.metrics.LogError("append")
		}
	})
}

// order gives the load order, unless a newer one was given: a late order of an
// earlier ticket must not reach an engine that ignores fencing numbers.
func (l *loader) order(o own, fence uint64) {
	s := l.sidecar
	if fence < l.ordered {
		return
	}
	l.ordered = fence
	l.drainSince = time.Time{}
	l.busy = true
	s.logger.Info("load_order", "model", o.model.Name, "weights", o.model.Weights, "fence", fence)
	order := external.LoadOrder{Model: o.model.Name, Weights: o.model.Weights, Fence: fence}
	control.Do(s.loop, orderTimeout, func(ctx context.Context) (*external.EngineStatus, error) {
		if err := s.engine.LoadWeights(ctx, order); err != nil {
			return nil, err
		}
		return s.engine.Status(ctx)
	}, func(load *external.EngineStatus, err error) {
		l.busy = false
		if err != nil {
			l.failedAt = time.Now()
			s.logger.Info("load_order_failed", "fence", fence, "stale", errors.Is(err, external.ErrStaleFence), "error", err.Error())
			return
		}
		s.board.Engine.Post(*load, time.Now())
	})
}
