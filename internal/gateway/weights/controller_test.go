package weights

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// fakeEngine is an Engine whose load requests a test can delay.
type fakeEngine struct {
	mu            sync.Mutex
	instance      string
	startedAt     int64
	version       int64
	acceptedLoads int64
	busyUntil     time.Time
	// acceptDelay leaves load requests unanswered and executes them after the delay.
	acceptDelay time.Duration
	down        bool
	// absent refuses connections, as if no process listened.
	absent bool
	// reportDelay holds back reports.
	reportDelay time.Duration
	requests    []LoadRequest
	// restFor makes health checks fail with a TurnedAwayError; identified counts them.
	restFor    time.Duration
	identified int
}

func (e *fakeEngine) Report(context.Context) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer time.Sleep(e.reportDelay)
	if e.absent {
		return Report{}, errors.Wrap(syscall.ECONNREFUSED, "dial")
	}
	if e.down {
		return Report{}, errors.New("connection refused")
	}
	return Report{StartedMs: e.startedAt, Weights: map[string]int64{"m": e.version}, Busy: time.Now().Before(e.busyUntil), AcceptedLoads: e.acceptedLoads}, nil
}

func (e *fakeEngine) Identify(context.Context, string) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.identified++
	if e.restFor > 0 {
		return "", &TurnedAwayError{RetryAfter: e.restFor}
	}
	return e.instance, nil
}

func (e *fakeEngine) Load(ctx context.Context, req LoadRequest) (Outcome, error) {
	e.mu.Lock()
	e.requests = append(e.requests, req)
	delay := e.acceptDelay
	e.mu.Unlock()
	if delay == 0 {
		return e.accept(req), nil
	}
	go func() {
		time.Sleep(delay)
		e.accept(req)
	}()
	<-ctx.Done()
	return Unknown, ctx.Err()
}

func (e *fakeEngine) set(change func(*fakeEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

const loadTime = 400 * time.Millisecond

func (e *fakeEngine) accept(req LoadRequest) Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	if req.Incarnation.Instance != e.instance {
		return OtherInstance
	}
	if req.ExpectedLoads != e.acceptedLoads || time.Now().Before(e.busyUntil) {
		return Busy
	}
	e.acceptedLoads++
	e.version = req.Version
	e.busyUntil = time.Now().Add(loadTime)
	return Accepted
}

// harness runs a Controller with a fake engine.
type harness struct {
	engine      *fakeEngine
	loop        *control.Loop
	controller  *Controller
	history     History
	phases      []Phase
	token       uint64
	upToDate    bool
	partialView bool
	// tokenAsked counts the calls of Environment.Token.
	tokenAsked int
}

func startHarness() *harness { return startHarnessWith(&fakeEngine{instance: "i1", version: 1}) }

func startHarnessWith(engine *fakeEngine) *harness {
	h := &harness{engine: engine, loop: control.NewLoop(1, func(time.Duration) {}), token: 7, upToDate: true}
	h.controller = NewController(h.loop, h.engine, Environment{
		PartialView: func() bool { return h.partialView },
		Wanted:      func() map[string]History { return map[string]History{"m": h.history} },
		HealthPath:  func() string { return "/health" },
		Engines: func(string) []EngineView {
			return []EngineView{{Incarnation: fleet.Incarnation{Instance: h.engine.instance, StartedMs: h.engine.startedAt}, Version: h.engine.version}}
		},
		OnChange: func(_ fleet.Incarnation, _ Report, p Phase) {
			if len(h.phases) == 0 || h.phases[len(h.phases)-1] != p {
				h.phases = append(h.phases, p)
			}
		},
		Token: func() (uint64, bool) {
			h.tokenAsked++
			return h.token, h.token > 0
		},
		UpToDate: func() bool { return h.upToDate },
	}, Options{Holder: "side-1", MaxStaleness: 8 * time.Second, Logger: logr.Discard(), Now: time.Now, OnOutcome: func(Outcome) {}})
	go h.loop.Run()
	h.controller.Start()
	return h
}

func (h *harness) publish(version int64) {
	h.loop.Post(func() {
		h.history = h.history.Add(WantedVersion{Version: version, Since: time.Now()})
		h.controller.Trigger()
	})
}

func (h *harness) lastPhase() Phase {
	last := make(chan Phase, 1)
	h.loop.Post(func() { last <- h.phases[len(h.phases)-1] })
	return <-last
}

func (h *harness) stop() {
	h.loop.Stop()
	synctest.Wait()
}

// Guards against a sidecar that asks its engine again and again although the engine has asked for rest.
func TestHealthChecksObserveRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rest = 3 * time.Second
		h := startHarnessWith(&fakeEngine{instance: "i1", version: 1, restFor: rest})
		time.Sleep(rest - 100*time.Millisecond)
		var asked int
		h.engine.set(func(e *fakeEngine) { asked, e.restFor = e.identified, 0 })
		time.Sleep(time.Second)
		h.stop()
		if asked != 1 || h.controller.instance != "i1" {
			t.Errorf("%d health checks during the rest; instance %q after it", asked, h.controller.instance)
		}
	})
}

// The controller must announce that the engine drains and loads before it sends the load
// request, and that the engine serves again afterwards.
func TestEngineLoadsTheWantedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness()
		time.Sleep(time.Second)
		h.publish(2)
		time.Sleep(time.Second)
		h.stop()
		if h.engine.version != 2 || len(h.engine.requests) != 1 {
			t.Errorf("version %d after %d load requests", h.engine.version, len(h.engine.requests))
		}
		if !slices.Equal(h.phases, []Phase{Serving, Draining, Loading, Serving}) {
			t.Errorf("phases %v", h.phases)
		}
		if req := h.engine.requests[0]; req.Token != 7 || req.Incarnation.Instance != "i1" || req.Holder != "side-1" {
			t.Errorf("load request %+v", req)
		}
	})
}

// Guards against a delayed load request that brings an older version back after a newer one.
func TestDelayedLoadRequestDoesNotRestoreAnOlderVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness()
		time.Sleep(time.Second)
		h.engine.mu.Lock()
		h.engine.acceptDelay = 6 * time.Second
		h.engine.mu.Unlock()
		h.publish(2)
		time.Sleep(2 * time.Second)
		h.engine.mu.Lock()
		h.engine.acceptDelay = 0
		h.engine.mu.Unlock()
		h.publish(3)
		time.Sleep(20 * time.Second)
		h.stop()
		if h.engine.version != 3 {
			t.Errorf("the engine ends with version %d, want 3", h.engine.version)
		}
		for i := 1; i < len(h.engine.requests); i++ {
			if h.engine.requests[i].Token < h.engine.requests[i-1].Token {
				t.Errorf("token %d is followed by the lower token %d", h.engine.requests[i-1].Token, h.engine.requests[i].Token)
			}
		}
	})
}

// Guards against a load request that names a previous incarnation: a restarted engine must be
// announced as unresponsive and identified first.
func TestRestartedEngineIsIdentifiedBeforeALoadRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness()
		time.Sleep(time.Second)
		h.engine.mu.Lock()
		h.engine.down = true
		h.engine.mu.Unlock()
		time.Sleep(time.Second)
		h.engine.mu.Lock()
		h.engine.down, h.engine.instance = false, "i2"
		h.engine.mu.Unlock()
		h.publish(2)
		time.Sleep(2 * time.Second)
		h.stop()
		if h.engine.version != 2 {
			t.Errorf("version %d, want 2", h.engine.version)
		}
		for _, req := range h.engine.requests {
			if req.Incarnation.Instance != "i2" {
				t.Errorf("load request to %s, want i2", req.Incarnation)
			}
		}
		if h.phases[1] != Unresponsive {
			t.Errorf("phases %v", h.phases)
		}
	})
}

// Guards against load requests from a sidecar that was suspended recently or has no fencing
// token.
func TestNoLoadRequestWithoutTokenOrAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness()
		h.loop.Post(func() { h.upToDate = false })
		time.Sleep(time.Second)
		h.publish(2)
		time.Sleep(time.Second)
		h.loop.Post(func() { h.upToDate, h.token = true, 0 })
		time.Sleep(time.Second)
		h.engine.mu.Lock()
		if len(h.engine.requests) != 0 {
			t.Errorf("load requests %v, want none", h.engine.requests)
		}
		h.engine.mu.Unlock()
		h.loop.Post(func() { h.token = 9 })
		time.Sleep(time.Second)
		h.stop()
		if h.engine.version != 2 {
			t.Errorf("version %d, want 2", h.engine.version)
		}
	})
}

// Guards against a write to the store by every sidecar of a fleet that starts: a fencing token is
// fetched only for an engine with outdated weights, and then before its load is due.
func TestTokenIsFetchedOnDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness()
		time.Sleep(time.Second)
		h.publish(1)
		time.Sleep(time.Second)
		asked := make(chan int, 1)
		h.loop.Post(func() { asked <- h.tokenAsked })
		if n := <-asked; n != 0 {
			t.Errorf("token asked for %d times although the weights are up to date", n)
		}
		h.publish(2)
		h.loop.Post(func() { asked <- h.tokenAsked })
		if n := <-asked; n == 0 {
			t.Error("token not asked for although the weights are outdated")
		}
		time.Sleep(time.Second)
		h.stop()
	})
}

// Guards against waiting for a load that ended with a crash: an engine that restarts under the
// same instance name while it loads must get another load request.
func TestEngineRestartsUnderItsNameWhileLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness()
		h.engine.set(func(e *fakeEngine) { e.startedAt = 100 })
		time.Sleep(time.Second)
		h.publish(2)
		time.Sleep(400 * time.Millisecond) // drained, and still loading
		h.engine.mu.Lock()
		if h.engine.acceptedLoads != 1 {
			t.Errorf("%d load requests accepted before the crash, want 1", h.engine.acceptedLoads)
		}
		h.engine.startedAt, h.engine.version, h.engine.acceptedLoads, h.engine.busyUntil = 200, 1, 0, time.Time{}
		h.engine.mu.Unlock()
		time.Sleep(2 * time.Second)
		h.stop()
		last := h.engine.requests[len(h.engine.requests)-1]
		if len(h.engine.requests) != 2 || last.Incarnation != (fleet.Incarnation{Instance: "i1", StartedMs: 200}) || last.ExpectedLoads != 0 {
			t.Errorf("load requests %+v", h.engine.requests)
		}
		if h.engine.version != 2 {
			t.Errorf("version %d, want 2", h.engine.version)
		}
	})
}

// Guards against the late outcome of a load request to a previous incarnation: the restarted
// engine must be announced as serving at once, and stay so.
func TestOutcomeForAPreviousIncarnationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness()
		h.engine.set(func(e *fakeEngine) { e.startedAt, e.acceptDelay = 100, 5*time.Second })
		time.Sleep(time.Second)
		h.publish(2)
		time.Sleep(500 * time.Millisecond)
		if got := h.lastPhase(); got != Loading {
			t.Errorf("phase %v after the load request, want loading", got)
		}
		h.engine.set(func(e *fakeEngine) { e.startedAt = 200 })
		time.Sleep(2 * pollInterval)
		if got := h.lastPhase(); got != Serving {
			t.Errorf("phase %v after the restart, want serving", got)
		}
		h.engine.set(func(e *fakeEngine) { e.version = 2 })
		time.Sleep(time.Second)
		if got := h.lastPhase(); got != Serving {
			t.Errorf("phase %v after the load request timed out, want serving", got)
		}
		h.stop()
		time.Sleep(5 * time.Second) // lets the delayed load request finish
		if len(h.engine.requests) != 1 {
			t.Errorf("load requests %+v, want one", h.engine.requests)
		}
	})
}

// An engine that executes a load request assumed lost rejects requests, so it must be announced
// as loading.
func TestLoadWithoutACurrentRequestIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness()
		time.Sleep(time.Second)
		h.engine.mu.Lock()
		h.engine.busyUntil = time.Now().Add(loadTime)
		h.engine.acceptedLoads++
		h.engine.mu.Unlock()
		time.Sleep(time.Second)
		h.stop()
		if !slices.Equal(h.phases, []Phase{Serving, Loading, Serving}) {
			t.Errorf("phases %v", h.phases)
		}
	})
}

// Only another incarnation at the address may set StartedAfter. Failed polls alone do not
// prove a restart.
func TestStartedAfterThePreviousIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness()
		startedAfter := func() time.Time {
			got := make(chan time.Time, 1)
			h.loop.Post(func() { got <- h.controller.StartedAfter() })
			return <-got
		}
		time.Sleep(time.Second)
		h.engine.set(func(e *fakeEngine) { e.down = true })
		time.Sleep(time.Second)
		h.engine.set(func(e *fakeEngine) { e.down = false })
		time.Sleep(time.Second)
		if got := startedAfter(); !got.IsZero() {
			t.Errorf("first incarnation: StartedAfter is %v, want zero", got)
		}
		last := time.Now()
		h.engine.set(func(e *fakeEngine) { e.down = true })
		time.Sleep(time.Second)
		h.engine.set(func(e *fakeEngine) { e.down, e.instance = false, "i2" })
		time.Sleep(2 * time.Second)
		if early := last.Sub(startedAfter()); early < 0 || early > pollInterval {
			t.Errorf("second incarnation: StartedAfter is %s before the last report of the first", early)
		}
		h.stop()
	})
}

// An engine that starts after its sidecar started after the last refused connection. A few
// refused connections do not prove that it was not running.
func TestStartedAfterRefusedConnections(t *testing.T) {
	for absent, known := range map[time.Duration]bool{2 * time.Second: true, 300 * time.Millisecond: false} {
		synctest.Test(t, func(t *testing.T) {
			h := startHarnessWith(&fakeEngine{instance: "i1", version: 1, absent: true})
			time.Sleep(absent)
			last := time.Now()
			h.engine.set(func(e *fakeEngine) { e.absent = false })
			time.Sleep(time.Second)
			result := make(chan time.Time, 1)
			h.loop.Post(func() { result <- h.controller.StartedAfter() })
			got := <-result
			if early := last.Sub(got); known && (early < 0 || early > pollInterval) || !known && !got.IsZero() {
				t.Errorf("absent for %s: StartedAfter is %v, %s before the engine listened", absent, got, early)
			}
			h.stop()
		})
	}
}

// In a large fleet a serving engine is polled less often. An engine that does not respond, and one
// that loads, are polled as often as in a small fleet: their return must not be noticed late.
func TestLargeFleetPollsServingEnginesLess(t *testing.T) {
	c := &Controller{env: Environment{PartialView: func() bool { return true }}, reachable: true}
	if got := c.restPollInterval(); got != largePollInterval {
		t.Errorf("serving engine of a large fleet: %v", got)
	}
	c.reachable = false
	if got := c.restPollInterval(); got != pollInterval {
		t.Errorf("unresponsive engine of a large fleet: %v", got)
	}
	c.reachable, c.env.PartialView = true, func() bool { return false }
	if got := c.restPollInterval(); got != pollInterval {
		t.Errorf("serving engine of a small fleet: %v", got)
	}
}

// Guards against an engine's report that counts as new although it arrived late.
func TestReportHoldsAsOfItsQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		h := startHarnessWith(&fakeEngine{instance: "i1", version: 1, reportDelay: reportTimeout / 2})
		time.Sleep(reportTimeout/2 + time.Millisecond)
		synctest.Wait()
		asOf := make(chan time.Time, 1)
		h.loop.Post(func() { asOf <- h.controller.report.AsOf })
		if got := <-asOf; got != begin {
			t.Errorf("the report holds as of %s after the question", got.Sub(begin))
		}
		h.stop()
	})
}

// Guards against an engine that counts as restarted, loses its name and goes back to its earlier weights, because it has
// sent a report from before its last load twice.
func TestEarlierReportOfTheSameProcessIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarnessWith(&fakeEngine{instance: "i1", startedAt: 5, version: 2, acceptedLoads: 1})
		time.Sleep(time.Second)
		h.engine.set(func(e *fakeEngine) { e.version, e.acceptedLoads = 1, 0 })
		time.Sleep(pollInterval)
		synctest.Wait()
		h.engine.set(func(e *fakeEngine) { e.version, e.acceptedLoads = 2, 1 })
		known, instance := make(chan Report, 1), make(chan string, 1)
		h.loop.Post(func() { known <- h.controller.report; instance <- h.controller.instance })
		if r := <-known; r.Weights["m"] != 2 || <-instance != "i1" {
			t.Errorf("the engine counts as one with %+v", r)
		}
		time.Sleep(time.Second)
		h.stop()
		if h.engine.identified != 1 {
			t.Errorf("%d health checks, want 1", h.engine.identified)
		}
	})
}

// Guards against a restarted engine whose reports count as outdated, since its count of loads begins again.
func TestRestartedEngineIsHeardThoughItHasAcceptedFewerLoads(t *testing.T) {
	for _, startedAt := range []int64{0, 5} {
		synctest.Test(t, func(t *testing.T) {
			h := startHarnessWith(&fakeEngine{instance: "i1", startedAt: startedAt, version: 2, acceptedLoads: 1})
			time.Sleep(time.Second)
			h.engine.set(func(e *fakeEngine) {
				e.instance, e.version, e.acceptedLoads = "i2", 1, 0
				if startedAt > 0 {
					e.startedAt++
				}
			})
			time.Sleep(time.Second)
			h.stop()
			if h.controller.instance != "i2" || h.controller.report.Weights["m"] != 1 {
				t.Errorf("started at %d: instance %q, %+v", startedAt, h.controller.instance, h.controller.report)
			}
		})
	}
}
