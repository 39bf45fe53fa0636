package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/errkind"
)

// shutdown is whether and when the entry stops. It is safe for concurrent use.
type shutdown struct {
	// times is nil while the entry is not stopping.
	times atomic.Pointer[shutdownTimes]
	// closed is set once no request is sent any more.
	closed atomic.Bool
	// running ends when the requests that still run are interrupted.
	running   context.Context
	interrupt context.CancelFunc
}

// shutdownTimes are the times of a shutdown.
type shutdownTimes struct {
	// exitAt is when the process exits. The answers to requests with deadlines until answerBy are
	// delivered before.
	exitAt, answerBy time.Time
}

func (s *shutdown) init() { s.running, s.interrupt = context.WithCancel(context.Background()) }

// errExit is the cause of contexts of requests that the exit of the process interrupts.
var errExit = errors.New("the entry exits")

// BeginShutdown records that the process exits at a time. From then on requests with deadlines after
// answerBy are refused, and the waiting requests too, since other entries can serve them.
func (f *Forwarder) BeginShutdown(exitAt, answerBy time.Time) {
	f.shutdown.times.Store(&shutdownTimes{exitAt: exitAt, answerBy: answerBy})
	f.waitingRoom.stop()
}

// Stopping reports whether the process is shutting down.
func (f *Forwarder) Stopping() bool { return f.shutdown.times.Load() != nil }

// RefuseRequests refuses all requests from now on, whatever their deadlines.
func (f *Forwarder) RefuseRequests() { f.shutdown.closed.Store(true) }

// Interrupt ends the requests that still run. Those whose response has not begun are answered.
func (f *Forwarder) Interrupt() { f.shutdown.interrupt() }

// checkExit refuses a request that may still run when a stopping process exits. Only its deadline bounds
// how long it runs. It is checked before each send: the process may have begun to stop since the request
// arrived.
func (fl *flow) checkExit() *errkind.Error {
	times := fl.shutdown.times.Load()
	if times == nil || !fl.shutdown.closed.Load() && !fl.deadline.After(times.answerBy) {
		return nil
	}
	return fl.stoppingRefusal()
}

// withExit returns a context that ends when the request is interrupted, with cause errExit.
func (s *shutdown) withExit(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(s.running, func() { cancel(errExit) })
	return ctx, func() { stop(); cancel(nil) }
}

// interruptBody makes reading the request's body fail when the context ends. The returned function must
// be called once the body has been read.
func (fl *flow) interruptBody(ctx context.Context) (done func() bool) {
	return context.AfterFunc(ctx, func() {
		_ = http.NewResponseController(fl.w).SetReadDeadline(time.Now()) // connections without deadlines are closed at the exit
	})
}

// overdueEntryRetryAfter is the retry delay for callers if all entries are stopping, and the next one is
// expected at any moment.
const overdueEntryRetryAfter = 500 * time.Millisecond

// stoppingRefusal returns the refusal of a request that has not run, with the time at which another entry
// can serve it.
func (fl *flow) stoppingRefusal() *errkind.Error {
	retryAfter := fl.jitter(otherEntryRetryAfter)
	if v, ok := fl.View(); ok && !v.OtherEntryAt.IsZero() {
		retryAfter += max(time.Until(v.OtherEntryAt), overdueEntryRetryAfter)
	}
	exitIn := time.Duration(0)
	if times := fl.shutdown.times.Load(); times != nil {
		exitIn = time.Until(times.exitAt).Round(time.Millisecond)
	}
	return errkind.NewRetryAfter(errkind.Stopping, retryAfter, "the entry exits in %s, the deadline is in %s", exitIn, fl.timeLeft().Round(time.Millisecond))
}

// exitRefusal returns the refusal of a request that the exit of the process interrupts.
func (fl *flow) exitRefusal() *errkind.Error {
	if fl.runs == 0 {
		return fl.stoppingRefusal()
	}
	return errkind.New(errkind.Interrupted, "")
}

// withShutdown adds to the logger what decides about a request while the process stops.
func (fl *flow) withShutdown(log logr.Logger) logr.Logger {
	times := fl.shutdown.times.Load()
	if times == nil {
		return log
	}
	return log.WithValues("deadline_in", roundForLog(fl.timeLeft()), "bound", fl.deadlineSource, "exit_in", roundForLog(time.Until(times.exitAt)),
		"expected_run", roundForLog(fl.runTimes.expected(fl.routeName(), fl.request.MaxTokens)))
}
