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
	// darkCheck is the silence of an engine after which its sidecar is asked about it, and
	// the time between two such questions. An engine under load pauses for half a second.
	silenceCheckInterval = time.Second
	// darkChecks is how many times in a row the sidecar must say that the engine does not
	// answer it: an engine that lists its cache is held up for a moment too.
	unresponsiveChecks = 2
)

// errDark is the cause of sends that were given up because their engine went dark.
var errUnresponsive = errors.New("the engine does not answer its own sidecar")

// darkWatch ends a send whose engine has gone dark.
//
// The failure guarded against: an engine stops part way through an answer, and its
// connection stays open because its host lives. The caller sees nothing come, not even a
// failure, until it gives up. Its engine's silence alone is no reason to end an answer:
// only its own sidecar can tell an engine that is busy from one that is gone.
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

// watchDark begins to watch the engine of a send. It returns nil for targets that have no
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

// heard notes that something came from the engine.
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

// check asks after the engine when it has been silent for darkCheck.
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
	w.fl.Logger.Info("send_given_up", "request_id", w.fl.request.ID, "target", w.dst.target.Life, "cause", errUnresponsive.Error())
	w.cancel(errUnresponsive)
}

// untilCheck is how long the engine's silence must last until it is asked after.
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

// isDark reports whether an engine's sidecar says that the engine does not answer it.
func (fl *flow) isUnresponsive(ctx context.Context, dst *destination) bool {
	if v, ok := fl.View(); ok && v.Silent[dst.target.Address] {
		return true
	}
	if !dst.probed {
		return false
	}
	answers, answered := fl.Sidecars.Ask(ctx, []netip.AddrPort{dst.target.Address}, probe.Prompt{})
	return answered[0] && answers[0].Phase == weights.Silent
}
