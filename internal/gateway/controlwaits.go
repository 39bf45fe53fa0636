package gateway

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/metrics"
)

const (
	// lateControl is by how much an event of the control thread is late for it to be logged.
	lateControl = 250 * time.Millisecond
	// lateControlPeriod is the least time between two such lines.
	lateControlPeriod = time.Second
)

// controlWaits observes by how much events of the control thread are late. It is used on the control thread only.
type controlWaits struct {
	metrics *metrics.Metrics
	logger  logr.Logger
	// longest is the most by which an event was late since the last line, loggedAt when that was written.
	longest  time.Duration
	late     int
	loggedAt time.Time
}

// observe records one event. Its line has the latest event since the line before, and the number of late ones.
func (w *controlWaits) observe(wait time.Duration) {
	w.metrics.ControlWait(wait)
	if wait < lateControl {
		return
	}
	w.longest, w.late = max(w.longest, wait), w.late+1
	if time.Since(w.loggedAt) < lateControlPeriod {
		return
	}
	w.logger.Info("control_late", "longest", w.longest.Round(time.Millisecond), "events", w.late)
	w.longest, w.late, w.loggedAt = 0, 0, time.Now()
}
