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
	darkCheck = time.Second
	// darkChecks is how many times in a row the sidecar must say that the engine does not
	// answer it: an engine that lists its cache is held up for a moment too.
	darkChecks = 2
)

// errDark is the cause of sends that were given up because their engine went dark.
var errDark = errors.New("the engine does not answer its own sidecar")

// darkWatch ends a send whose engine has gone dark.
//
// The failure guarded against: an engine stops part way through an answer, and its
// connection stays open because its host lives. The caller sees nothing come, not even a
// failure, until it gives up. Its engine's silence alone is no reason to end an answer:
// only its own sidecar can tell an engine that is busy from one that is gone.
type darkWatch struct {
	fl     *flow
	ctx    context.Context
	to     *destination
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	heardAt time.Time
	said    int
	stopped bool
}

// watchDark begins to watch the engine of a send. It returns nil for targets that have no
// sidecar.
func (fl *flow) watchDark(ctx context.Context, to *destination, cancel context.CancelCauseFunc) *darkWatch {
	if fl.service.Engine == nil {
		return nil
	}
	w := &darkWatch{fl: fl, ctx: ctx, to: to, cancel: cancel, heardAt: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(darkCheck, w.check)
	return w
}

// heard notes that something came from the engine.
func (w *darkWatch) heard() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heardAt, w.said = time.Now(), 0
}

func (w *darkWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check asks after the engine when it has been silent for darkCheck.
func (w *darkWatch) check() {
	if wait := w.untilCheck(); wait > 0 {
		w.again(wait)
		return
	}
	if !w.fl.isDark(w.ctx, w.to) {
		w.again(darkCheck)
		return
	}
	w.mu.Lock()
	w.said++
	over := w.said >= darkChecks && !w.stopped
	w.mu.Unlock()
	if !over {
		w.again(darkCheck)
		return
	}
	w.fl.Logger.Info("send_given_up", "request_id", w.fl.request.ID, "target", w.to.target.Incarnation, "cause", errDark.Error())
	w.cancel(errDark)
}

// untilCheck is how long the engine's silence must last until it is asked after.
func (w *darkWatch) untilCheck() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return darkCheck - time.Since(w.heardAt)
}

func (w *darkWatch) again(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(after)
	}
}

// isDark reports whether an engine's sidecar says that the engine does not answer it.
func (fl *flow) isDark(ctx context.Context, to *destination) bool {
	if v, ok := fl.View(); ok && v.Unresponsive[to.target.Address] {
		return true
	}
	if !to.probed {
		return false
	}
	answers, known := fl.Sidecars.Ask(ctx, []netip.AddrPort{to.target.Address}, probe.Prompt{})
	return known[0] && answers[0].Phase == weights.Unresponsive
}
