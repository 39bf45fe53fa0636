package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
)

// Guards against engines that are sent more than their memory holds, preempt requests and prefill them
// again. Without the queue, placement in small fleets has no bound.
func TestMemoryBoundInSmallFleets(t *testing.T) {
	for _, c := range []struct {
		name           string
		queue          bool
		priority       int
		memory, status int
		isRetry        bool
	}{
		{name: "queue off", priority: 1, memory: 90_000, status: http.StatusOK},
		{name: "urgent", queue: true, priority: 0, memory: 90_000, status: http.StatusOK},
		{name: "fits", queue: true, priority: 1, memory: 80_000, status: http.StatusOK},
		{name: "new", queue: true, priority: 1, memory: 88_000, status: http.StatusServiceUnavailable},
		{name: "retry", queue: true, priority: 1, memory: 88_000, status: http.StatusOK, isRetry: true},
		{name: "retry beyond its bound", queue: true, priority: 1, memory: 95_000, status: http.StatusServiceUnavailable, isRetry: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			env := newTestEnv(t, startStreamTarget(t, "i1"))
			env.queueEnabled.Store(c.queue)
			route := env.view.Estate.Match(host, "/prompt/x")
			route.Priority = c.priority
			busy := env.Ledger.Begin(fleet.IDOf("i1-engine"), ledger.Work{Running: 1, Memory: ledger.AtPriority(1, c.memory)}, 0, time.Now())
			defer busy.End()
			if c.isRetry {
				env.callerTimeouts.isRetry(route.Name, 10*time.Second)
			}
			resp, _, err := env.post(t, "/prompt/x", "", wiretest.Model, model, wiretest.Prompt, "1000", wiretest.TimeLeft, "1s")
			if err != nil || resp.StatusCode != c.status {
				t.Fatalf("response %v, error %v; want status %d", resp, err, c.status)
			}
		})
	}
}
