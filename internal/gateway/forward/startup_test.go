package forward

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// startingEnv returns an environment whose entry has no configuration until configured is set.
func startingEnv(t *testing.T) (env *testEnv, configured *atomic.Bool) {
	target := startTarget(t, "t", nil)
	target.handle = func(w io.Writer, r *http.Request, _ string) bool {
		return target.writeSealed(w, r, http.StatusOK, "fine")
	}
	env, configured = newTestEnv(t, target), &atomic.Bool{}
	env.View = func() (*view.View, bool) {
		if configured.Load() {
			return env.view, true
		}
		return &view.View{}, true
	}
	return env, configured
}

// An entry that starts must serve requests that arrive just before its first configuration, instead
// of telling the callers to come back.
func TestRequestWaitsForFirstConfiguration(t *testing.T) {
	env, configured := startingEnv(t)
	time.AfterFunc(30*time.Millisecond, func() { configured.Store(true) })
	if resp, body, err := env.post(t, "/again/x", "question"); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("response %v, body %q, error %v", resp, body, err)
	}
}

// Without a configuration a request must be refused soon while the entry starts, well before the
// caller runs out of time, and at once later.
func TestRequestIsRefusedWithoutConfiguration(t *testing.T) {
	for _, c := range []struct {
		name           string
		running        time.Duration
		timeLeft, want time.Duration
	}{
		{"starting", 0, 3 * time.Second, maxConfigurationWait},
		{"starting, short of time", 0, 200 * time.Millisecond, 50 * time.Millisecond},
		{"starting, no deadline", 0, 0, maxConfigurationWait},
		{"at the end of the start", startupPhase - 100*time.Millisecond, 3 * time.Second, 100 * time.Millisecond},
		{"running", time.Minute, 3 * time.Second, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := &Forwarder{Deps: Deps{View: func() (*view.View, bool) { return &view.View{}, true }}, startedAt: time.Now()}
			time.Sleep(c.running)
			fl := &flow{Forwarder: f, arrived: time.Now(), request: wire.Request{TimeLeft: c.timeLeft}}
			_, refusal := fl.configuredView(t.Context())
			if refusal == nil || refusal.Kind != errkind.ConfigurationMissing || refusal.RetryAfter == 0 {
				t.Errorf("%s: got %v", c.name, refusal)
			}
			if took := time.Since(fl.arrived); took < c.want || took > c.want+placeInterval {
				t.Errorf("%s: refused after %v, want %v", c.name, took, c.want)
			}
		})
	}
}

// A caller that leaves while its request waits for the configuration must not be served.
func TestCallerLeavesDuringStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &Forwarder{Deps: Deps{View: func() (*view.View, bool) { return &view.View{}, true }}, startedAt: time.Now()}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		fl := &flow{Forwarder: f, arrived: time.Now()}
		if _, refusal := fl.configuredView(ctx); refusal == nil || refusal.Kind != errkind.Cancelled {
			t.Errorf("got %v", refusal)
		}
	})
}
