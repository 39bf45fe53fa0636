package forward

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/gateway/probe"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
)

const (
	// silenceCheckInterval is how long an engine may send nothing before its sidecar is
	// probed, and the time between two such probes. Engines under load pause for half a
	// second.
	silenceCheckInterval = time.Second
	// unresponsiveChecks is how many consecutive times the sidecar must report the engine
	// unresponsive: listing its cache also blocks an engine for a moment.
	unresponsiveChecks = 2
)

// errUnresponsive is the cause of sends that were cancelled because the engine became
// unresponsive.
var errUnresponsive = errors.New("engine does not respond to its sidecar")

// engineWatch cancels a send whose engine has become unresponsive.
//
// An engine that hangs on a live host leaves its connection open: without the watch the
// caller would wait until its deadline. A pause alone doesn't cancel a send, because the
// engine may just be busy; its sidecar can tell the difference.
type engineWatch struct {
	fl     *flow
	ctx    context.Context
	dst    *destination
	cancel context.CancelCauseFunc

	mu                sync.Mutex
	timer             *time.Timer
	lastReceived      time.Time
	unresponsiveCount int
	stopped           bool
}

// watchEngine starts to watch the engine of a send. It returns nil for targets that have no
// sidecar.
func (fl *flow) watchEngine(ctx context.Context, dst *destination, cancel context.CancelCauseFunc) *engineWatch {
	if fl.service.Engine == nil {
		return nil
	}
	w := &engineWatch{fl: fl, ctx: ctx, dst: dst, cancel: cancel, lastReceived: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silenceCheckInterval, w.check)
	return w
}

// received records that the engine sent something. It may be called on a nil watch.
func (w *engineWatch) received() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastReceived, w.unresponsiveCount = time.Now(), 0
}

func (w *engineWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check probes the sidecar of an engine that has sent nothing for silenceCheckInterval, and
// cancels the send when the sidecar has reported it unresponsive often enough.
func (w *engineWatch) check() {
	if wait := w.untilCheck(); wait > 0 {
		w.reschedule(wait)
		return
	}
	if !w.fl.isUnresponsive(w.ctx, w.dst) {
		w.reschedule(silenceCheckInterval)
		return
	}
	w.mu.Lock()
	w.unresponsiveCount++
	unresponsive := w.unresponsiveCount >= unresponsiveChecks && !w.stopped
	w.mu.Unlock()
	if !unresponsive {
		w.reschedule(silenceCheckInterval)
		return
	}
	w.fl.Logger.Info("send_given_up", "request_id", w.fl.request.ID, "target", w.dst.target.Incarnation, "cause", errUnresponsive.Error())
	w.cancel(errUnresponsive)
}

// untilCheck returns the time until the next check is due.
func (w *engineWatch) untilCheck() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return silenceCheckInterval - time.Since(w.lastReceived)
}

func (w *engineWatch) reschedule(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(after)
	}
}

// isUnresponsive reports whether the engine does not respond to its own sidecar.
func (fl *flow) isUnresponsive(ctx context.Context, dst *destination) bool {
	if v, ok := fl.View(); ok && v.Unresponsive[dst.target.Address] {
		return true
	}
	if !dst.probed {
		return false
	}
	responses, responded := fl.Sidecars.Probe(ctx, []netip.AddrPort{dst.target.Address}, probe.Prompt{})
	return responded[0] && responses[0].Phase == weights.Unresponsive
}
