package sidecar

import (
	"context"
	"time"

	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/external"
)

// engineWatcher is the controller that polls an engine's cache events and its
// status. It owns the Engine fact.
type engineWatcher struct {
	sidecar       *Sidecar
	eventsPending bool
	statusPending bool
}

func (w *engineWatcher) readEvents() {
	s := w.sidecar
	if !s.hasEngine() || w.eventsPending {
		return
	}
	w.eventsPending = true
	from := s.gate.NextEventSeq()
	control.Do(s.loop, ioTimeout, func(ctx context.Context) (*external.EventPage, error) {
		return s.engine.Events(ctx, from)
	}, func(page *external.EventPage, err error) {
		w.eventsPending = false
		if err != nil {
			return
		}
		s.gate.ApplyEvents(page)
	})
}

func (w *engineWatcher) readStatus() {
	s := w.sidecar
	if !s.hasEngine() || w.statusPending {
		return
	}
	w.statusPending = true
	control.Do(s.loop, ioTimeout, s.engine.Status, func(status *external.EngineStatus, err error) {
		w.statusPending = false
		if err != nil {
			return
		}
		old, _ := s.board.Engine.Get()
		if old.Incarnation != status.Incarnation {
			s.logger.Info("engine_incarnation", "old", old.Incarnation, "new", status.Incarnation, "weights", status.Weights)
		}
		s.board.Engine.Post(*status, time.Now())
		s.loader.step()
	})
}

// hasEngine reports whether the configured target is an engine.
func (s *Sidecar) hasEngine() bool {
	a, refusal := s.assignment()
	return refusal == nil && a.service.Kind == config.KindEngine
}
