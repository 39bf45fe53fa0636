package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/health"
	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
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

// slowBody is a response body that arrives slowly.
type slowBody struct{ pieces int }

func (b *slowBody) Read(p []byte) (int, error) {
	if b.pieces == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	b.pieces--
	time.Sleep(time.Second)
	return copy(p, "piece"), nil
}

// Guards against a target that is not blamed for a response that it sends slowly and breaks off, because
// the time for it is taken for the caller's, and against a stall that excuses targets for good.
func TestSlowTargetIsNotTakenForAStalledCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := &flow{w: &blockingWriter{}}
		if _, err := io.Copy(callerWriter{fl}, &slowBody{pieces: 5}); err == nil {
			t.Fatal("the response did not break off")
		}
		if fl.callerStalled() {
			t.Error("a caller that reads counts as stalled while the target is slow")
		}
		fl.w = &blockingWriter{blocks: 3 * time.Second}
		if _, err := (callerWriter{fl}).Write([]byte("piece")); err != nil {
			t.Fatal(err)
		}
		if !fl.callerStalled() {
			t.Error("a caller that does not read does not count as stalled")
		}
		time.Sleep(stallMemory)
		if fl.callerStalled() {
			t.Error("the caller counts as stalled for good")
		}
	})
}

// Guards against callers that never read and hold a connection and its buffers for good: writes of each
// request, the next one on a connection too, must end deliveryGrace after its own deadline.
func TestWritesToACallerEnd(t *testing.T) {
	var a *fakeTarget
	a = startTarget(t, "a", func(w io.Writer, r *http.Request, _ string) bool {
		return a.writeSealed(w, r, http.StatusOK, "fine")
	})
	env := newTestEnv(t, a)
	for timeLeft, want := range map[string]time.Duration{"1s": time.Second, "30s": 2 * time.Second} { // the route's timeout is 2 s
		w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
		r := httptest.NewRequest(http.MethodPost, "/once/x", strings.NewReader("order"))
		r.Host = host
		r.Header.Set(wiretest.ID, "r1")
		r.Header.Set(wiretest.Key, "town-key")
		r.Header.Set(wiretest.TimeLeft, timeLeft)
		start := time.Now()
		env.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			t.Errorf("status %d", w.Code)
		}
		if end := w.deadline.Sub(start); end < want+deliveryGrace || end > want+deliveryGrace+time.Second {
			t.Errorf("request with %s left: writes end after %v, want %v", timeLeft, end, want+deliveryGrace)
		}
	}
}

type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (w *deadlineWriter) SetWriteDeadline(at time.Time) error {
	w.deadline = at
	return nil
}
