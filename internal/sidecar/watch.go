package sidecar

import (
	"context"
	"time"

	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/external"
)

// engineWatcher follows an engine's cache events and its state. It is a
// controller and owns the Engine fact.
type engineWatcher struct {
	sidecar       *Sidecar
	readingEvents bool
	readingLoad   bool
}

func (w *engineWatcher) readEvents() {
	s := w.sidecar
	if !s.hasEngine() || w.readingEvents {
		return
	}
	w.readingEvents = true
	from := s.gate.NextEventSeq()
	control.Do(s.loop, ioTimeout, func(ctx context.Context) (*external.EventPage, error) {
		return s.engine.Events(ctx, from)
	}, func(page *external.EventPage, err error) {
		w.readingEvents = false
		if err != nil {
			return
		}
		s.gate.ApplyEvents(page)
	})
}

func (w *engineWatcher) readLoad() {
	s := w.sidecar
	if !s.hasEngine() || w.readingLoad {
		return
	}
	w.readingLoad = true
	control.Do(s.loop, ioTimeout, s.engine.Status, func(load *external.EngineStatus, err error) {
		w.readingLoad = false
		if err != nil {
			return
		}
		old, _ := s.board.Engine.Get()
		if old.Incarnation != load.Incarnation {
			s.logger.Info("engine_incarnation", "old", old.Incarnation, "new", load.Incarnation, "weights", load.Weights)
		}
		s.board.Engine.Post(*load, time.Now())
		s.loader.step()
	})
}

// hasEngine reports whether the configuration makes this sidecar's target an
// engine.
func (s *Sidecar) hasEngine() bool {
	o, refusal := s.own()
	return refusal == nil && o.service.Kind == config.KindEngine
}
