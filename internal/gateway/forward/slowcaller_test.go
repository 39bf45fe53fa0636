package forward

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/health"
)

// blockingWriter is a response writer whose caller takes its time to read.
type blockingWriter struct {
	http.ResponseWriter
	blocks time.Duration
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	time.Sleep(w.blocks)
	return len(p), nil
}

func (w *blockingWriter) Flush() {}

// Guards against an engine that is ejected because a caller does not read: engines break off responses
// that are unread for some seconds. A response that breaks off for a caller that reads counts.
func TestUnreadResponseDoesNotCountAgainstTheTarget(t *testing.T) {
	for blocks, ejected := range map[time.Duration]bool{10 * time.Millisecond: true, 3 * time.Second: false} {
		synctest.Test(t, func(t *testing.T) {
			monitor := health.NewMonitor(func(fleet.Incarnation, time.Time, float64, float64, health.Outcome) {})
			w := &blockingWriter{blocks: blocks}
			fl := &flow{Forwarder: &Forwarder{Deps: Deps{Health: monitor, Logger: logr.Discard(), Now: time.Now}}, w: w, service: &estate.Service{Name: "s"}}
			if err := fl.writeEvent(http.NewResponseController(w), []byte("id: 1\n\n")); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // no crash is looked for
			dst := &destination{target: fleet.NewTarget(fleet.Listing{Incarnation: fleet.Incarnation{Instance: "i"}})}
			for range 20 {
				fl.recordBroken(ctx, dst, errors.New("connection reset"))
			}
			if got := len(monitor.Ejected(time.Now())) > 0; got != ejected {
				t.Errorf("a write that blocks for %v, then a broken response: target ejected %v, want %v", blocks, got, ejected)
			}
		})
	}
}

// Guards against callers that never read and hold a connection and its buffers for good: writes must
// end once the request's deadline is past by deliveryGrace, and not before.
func TestWritesToACallerEnd(t *testing.T) {
	deadlines := make(chan time.Time, 8)
	fl := &flow{w: &deadlineWriter{deadlines: deadlines}, deadline: time.Unix(1000, 0)}
	fl.limitWrites()
	if got := <-deadlines; !got.Equal(time.Unix(1000, 0).Add(deliveryGrace)) {
		t.Errorf("write deadline %v", got)
	}
}

type deadlineWriter struct {
	http.ResponseWriter
	deadlines chan time.Time
}

func (w *deadlineWriter) SetWriteDeadline(at time.Time) error {
	w.deadlines <- at
	return nil
}
