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
	// exitAt is when the process exits; nil while it is not stopping.
	exitAt atomic.Pointer[time.Time]
	// running ends when the requests that still run are interrupted.
	running   context.Context
	interrupt context.CancelFunc
}

func (s *shutdown) init() { s.running, s.interrupt = context.WithCancel(context.Background()) }

// errExit is the cause of contexts of requests that the exit of the process interrupts.
var errExit = errors.New("the entry exits")

// BeginShutdown records that the process exits at a time. From then on requests that may run
// longer are refused, and the waiting requests too, since other entries can serve them.
func (f *Forwarder) BeginShutdown(exitAt time.Time) {
	f.shutdown.exitAt.Store(&exitAt)
	f.waitingRoom.stop()
}

// Interrupt ends the requests that still run. Those whose response has not begun are answered.
func (f *Forwarder) Interrupt() { f.shutdown.interrupt() }

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

// stoppingRefusal returns the refusal of a request that has not run. Another entry can serve it.
func (fl *flow) stoppingRefusal() *errkind.Error {
	exitIn := time.Duration(0)
	if exitAt := fl.shutdown.exitAt.Load(); exitAt != nil {
		exitIn = time.Until(*exitAt).Round(time.Millisecond)
	}
	return errkind.NewRetryAfter(errkind.Stopping, fl.jitter(otherEntryRetryAfter), "the entry exits in %s, the deadline is in %s", exitIn, fl.timeLeft().Round(time.Millisecond))
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
	exitAt := fl.shutdown.exitAt.Load()
	if exitAt == nil {
		return log
	}
	return log.WithValues("deadline_in", roundForLog(fl.timeLeft()), "bound", fl.deadlineSource, "exit_in", roundForLog(time.Until(*exitAt)),
		"expected_run", roundForLog(fl.runTimes.expected(fl.routeName(), fl.request.MaxTokens)))
}
