package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/queue"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
)

// newQueuedEnv returns an environment with the queue, whose engines' memory is full until free is
// called. Its view is as of a store that has never responded.
func newQueuedEnv(t *testing.T, policy queue.Policy, targets ...*fakeTarget) (env *testEnv, free func()) {
	t.Helper()
	env = newTestEnv(t, targets...)
	env.ConfigureQueue(&policy)
	route := env.view.Estate.Match(host, "/prompt/x")
	route.Priority, route.Timeout = 1, 30*time.Second
	var busy []*ledger.Request
	for _, tg := range targets {
		busy = append(busy, env.Ledger.Begin(fleet.IDOf(tg.instance+"-engine"), ledger.Work{Running: 1, Memory: ledger.AtPriority(1, 95_000)}, 0, time.Now()))
	}
	return env, func() {
		for _, b := range busy {
			b.End()
		}
		env.NotifyQueue()
	}
}

type outcome struct {
	status     int
	retryAfter float64
	err        error
}

// prompts sends n prompts of a caller at once.
func (env *testEnv) prompts(t *testing.T, ctx context.Context, n int) <-chan outcome {
	outcomes := make(chan outcome, n)
	for i := range n {
		go func() {
			req, _ := http.NewRequestWithContext(ctx, http.MethodPost, env.server.URL+"/prompt/x", strings.NewReader("body"+strconv.Itoa(i)))
			req.Host = host
			for name, value := range map[string]string{wiretest.ID: "r" + strconv.Itoa(i), wiretest.Key: "town-key", wiretest.Model: model, wiretest.Prompt: "1000", wiretest.TimeLeft: "30s"} {
				req.Header.Set(name, value)
			}
			resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
			if err != nil {
				outcomes <- outcome{err: err}
				return
			}
			defer resp.Body.Close()
			_, _ = io.Copy(io.Discard, resp.Body)
			retryAfter, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			outcomes <- outcome{status: resp.StatusCode, retryAfter: retryAfter}
		}()
	}
	return outcomes
}

func (env *testEnv) waitingRequests() int {
	n := 0
	s, _ := env.QueueStats()
	for _, service := range s.Services {
		n += service.Waiting
	}
	return n
}

func collect(t *testing.T, outcomes <-chan outcome, n int) map[int]int {
	t.Helper()
	byStatus := map[int]int{}
	for range n {
		o := <-outcomes
		byStatus[o.status]++
	}
	return byStatus
}

// countingObserver counts decisions. It reads the statistics, as a metrics collector may.
type countingObserver struct {
	env                           *testEnv
	queued, placed, refused, left atomic.Int32
}

func (o *countingObserver) count(n *atomic.Int32) {
	n.Add(1)
	o.env.QueueStats()
}

func (o *countingObserver) Queued(queue.Item, queue.Decision)   { o.count(&o.queued) }
func (o *countingObserver) Placed(queue.Placement)              { o.count(&o.placed) }
func (o *countingObserver) Refused(queue.Refusal)               { o.count(&o.refused) }
func (o *countingObserver) Left(it queue.Item, _ time.Duration) { o.count(&o.left) }

// Guards against prompts that are refused although they would fit soon, and against waiting requests that
// are not woken by the end of others: the engine holds only some of them at once.
func TestWaitingPromptsAreServedInTurn(t *testing.T) {
	tg := startStreamTarget(t, "i1")
	env, free := newQueuedEnv(t, queue.Policy{}, tg)
	observer := &countingObserver{env: env}
	env.waitingRoom.observer = observer
	outcomes := env.prompts(t, context.Background(), 200)
	waitFor(t, "all wait", func() bool { return env.waitingRequests() == 200 })
	if got := tg.runs.Load(); got != 0 {
		t.Errorf("%d prompts were sent beyond the memory bound", got)
	}
	free()
	if got := collect(t, outcomes, 200); got[http.StatusOK] != 200 || tg.runs.Load() != 200 {
		t.Errorf("outcomes %v, %d runs", got, tg.runs.Load())
	}
	if q, p := observer.queued.Load(), observer.placed.Load(); q != 200 || p != 200 || observer.refused.Load() != 0 || observer.left.Load() != 0 {
		t.Errorf("observed: %d queued, %d placed, %d refused, %d left", q, p, observer.refused.Load(), observer.left.Load())
	}
}

// Guards against refusals that are caused by a change of the settings.
func TestQueueIsDisabledWhileRequestsWait(t *testing.T) {
	tg := startStreamTarget(t, "i1")
	env, _ := newQueuedEnv(t, queue.Policy{}, tg)
	outcomes := env.prompts(t, context.Background(), 20)
	waitFor(t, "all wait", func() bool { return env.waitingRequests() == 20 })
	env.ConfigureQueue(&queue.Policy{MaxRequests: 5})
	env.ConfigureQueue(nil) // without the queue there is no bound on memory
	if got := collect(t, outcomes, 20); got[http.StatusOK] != 20 {
		t.Errorf("outcomes %v", got)
	}
}

// Guards against sends for callers that have disconnected, and against places in the queue that are never
// given back.
func TestDisconnectedCallersLeaveTheQueue(t *testing.T) {
	tg := startStreamTarget(t, "i1")
	env, free := newQueuedEnv(t, queue.Policy{}, tg)
	ctx, cancel := context.WithCancel(context.Background())
	outcomes := env.prompts(t, ctx, 20)
	waitFor(t, "all wait", func() bool { return env.waitingRequests() == 20 })
	cancel()
	collect(t, outcomes, 20)
	waitFor(t, "all have left", func() bool { return env.waitingRequests() == 0 && env.InFlight() == 0 })
	free()
	if got := collect(t, env.prompts(t, context.Background(), 1), 1); got[http.StatusOK] != 1 || tg.runs.Load() != 1 {
		t.Errorf("outcomes %v, %d runs", got, tg.runs.Load())
	}
}

// Guards against callers that wait in a process that stops although other entries can serve them.
func TestStopRefusesWaitingRequests(t *testing.T) {
	tg := startStreamTarget(t, "i1")
	env, free := newQueuedEnv(t, queue.Policy{MaxRequests: 50}, tg)
	outcomes := env.prompts(t, context.Background(), 60)
	waitFor(t, "the queue is full", func() bool { return env.waitingRequests() == 50 && len(outcomes) == 10 })
	if got := collect(t, outcomes, 10); got[http.StatusTooManyRequests] != 10 {
		t.Errorf("beyond the bound: %v", got)
	}
	env.BeginShutdown(time.Now().Add(time.Minute), time.Now().Add(time.Minute))
	for range 50 {
		if o := <-outcomes; o.status != http.StatusServiceUnavailable || o.retryAfter <= 0 || o.retryAfter > 0.1 {
			t.Fatalf("%+v", o)
		}
	}
	free()
	if got := collect(t, env.prompts(t, context.Background(), 1), 1); got[http.StatusOK] != 1 || tg.runs.Load() != 1 {
		t.Errorf("with a free slot: outcomes %v, %d runs", got, tg.runs.Load())
	}
}

// Guards against requests that run twice when an entry dies with a full queue: its callers retry at
// another entry.
func TestEntryDiesWithFullQueue(t *testing.T) {
	tg := startStreamTarget(t, "i1")
	dying, _ := newQueuedEnv(t, queue.Policy{}, tg)
	other, free := newQueuedEnv(t, queue.Policy{}, tg)
	outcomes := dying.prompts(t, context.Background(), 30)
	waitFor(t, "all wait", func() bool { return dying.waitingRequests() == 30 })
	dying.server.CloseClientConnections()
	if got := collect(t, outcomes, 30); got[0] != 30 {
		t.Errorf("at the entry that died: %v", got)
	}
	free()
	if got := collect(t, other.prompts(t, context.Background(), 30), 30); got[http.StatusOK] != 30 || tg.runs.Load() != 30 {
		t.Errorf("outcomes %v, %d runs", got, tg.runs.Load())
	}
}

// Guards against requests that are lost or refused while all engines of a service are away for a short
// time, and against responses "not run" after which the queue stalls.
func TestEnginesDisappearAndReturn(t *testing.T) {
	var tg *fakeTarget
	var refusals atomic.Int32
	tg = startTarget(t, "i1", func(w io.Writer, r *http.Request, _ string) bool {
		if refusals.Add(1) <= 5 {
			return tg.writeNotRun(w, r, http.StatusServiceUnavailable) // it still loads weights
		}
		tg.writeStreamHead(w, r)
		writeChunk(w, event(0))
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	})
	env, free := newQueuedEnv(t, queue.Policy{}, tg)
	free()
	var current atomic.Pointer[view.View]
	gone := *env.view
	gone.Targets = map[string][]fleet.Target{}
	current.Store(&gone)
	env.Forwarder.View = func() (*view.View, bool) { return current.Load(), true }
	outcomes := env.prompts(t, context.Background(), 40)
	waitFor(t, "all wait", func() bool { return env.waitingRequests() == 40 })
	current.Store(env.view)
	env.NotifyQueue()
	waitFor(t, "all but those that were sent back are served", func() bool { return len(outcomes) == 35 })
	next := *env.view
	again := env.view.Targets["engines"][0].WithIncarnation(fleet.Incarnation{Instance: "i1-engine", StartedMs: 5})
	next.Targets = map[string][]fleet.Target{"engines": {again}}
	current.Store(&next)
	if got := collect(t, outcomes, 40); got[http.StatusOK] != 40 || tg.runs.Load() != 45 {
		t.Errorf("outcomes %v, %d runs", got, tg.runs.Load())
	}
}

// Guards against prompts that are never tried again where sidecars are probed and nothing announces that an
// engine has room.
func TestWaitingPromptsProbeAgain(t *testing.T) {
	tg := startStreamTarget(t, "i1")
	env, sidecars := newProbedEnv(t, tg)
	env.ConfigureQueue(&queue.Policy{})
	route := env.view.Estate.Match(host, "/prompt/x")
	route.Priority, route.Timeout = 1, 30*time.Second
	room := sidecars.responses[addressOf(tg)]
	full := room
	full.Work = ledger.Work{Running: 1, Memory: ledger.AtPriority(1, 95_000)}
	sidecars.setResponse(addressOf(tg), full)
	outcomes := env.prompts(t, context.Background(), 10)
	waitFor(t, "all wait", func() bool { return env.waitingRequests() == 10 })
	sidecars.setResponse(addressOf(tg), room)
	if got := collect(t, outcomes, 10); got[http.StatusOK] != 10 || tg.runs.Load() != 10 {
		t.Errorf("outcomes %v, %d runs", got, tg.runs.Load())
	}
}
