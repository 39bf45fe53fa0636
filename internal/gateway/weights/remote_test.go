package weights

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// remoteHarness runs a RemoteController with fake engines and a list of them that never
// changes.
type remoteHarness struct {
	loop       *control.Loop
	controller *RemoteController
	engines    []*fakeEngine
	list       []RemoteEngine
}

func startRemoteHarness(n int) *remoteHarness {
	h := &remoteHarness{loop: control.NewLoop(1, func(time.Duration) {})}
	h.controller = NewRemoteController(h.loop, "entry", logr.Discard(), time.Now, func(Outcome) {})
	for i := range n {
		e := &fakeEngine{instance: fmt.Sprintf("e%d", i), version: 1}
		h.engines = append(h.engines, e)
		h.list = append(h.list, RemoteEngine{Incarnation: fleet.Incarnation{Instance: e.instance}, Engine: e, Versions: map[string]int64{"m": 1}})
	}
	go h.loop.Run()
	return h
}

// run steps the controller for d and returns the largest number of engines that loaded at once.
func (h *remoteHarness) run(d time.Duration) int {
	most := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		h.loop.Post(func() { h.controller.Step(h.list, "m", 2, 7) })
		loading := 0
		for _, e := range h.engines {
			e.set(func(e *fakeEngine) {
				if time.Now().Before(e.busyUntil) {
					loading++
				}
			})
		}
		most = max(most, loading)
	}
	return most
}

// Engines without sidecars must load in waves, with one load request each although the list of
// engines is out of date.
func TestEnginesWithoutSidecarsLoadInWaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startRemoteHarness(15)
		most := h.run(15 * time.Second)
		if most > MaxParallelLoads(15) {
			t.Errorf("%d engines loaded at once", most)
		}
		for _, e := range h.engines {
			if e.version != 2 || len(e.requests) != 1 || e.requests[0].Token != 7 {
				t.Errorf("%s has version %d after %d load requests", e.instance, e.version, len(e.requests))
			}
		}
		h.loop.Stop()
	})
}

// Guards against the first two engines in the rollout order blocking all slots because they
// leave load requests unanswered.
func TestEnginesThatDoNotRespondToLoadRequestsComeLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startRemoteHarness(10)
		views := make([]EngineView, len(h.list))
		for i := range h.list {
			views[i] = EngineView{Incarnation: h.list[i].Incarnation}
		}
		unresponsive := RolloutOrder(views, 2)[:2]
		for _, e := range h.engines {
			if e.instance == unresponsive[0].Instance || e.instance == unresponsive[1].Instance {
				e.set(func(e *fakeEngine) { e.acceptDelay = time.Minute })
			}
		}
		h.run(6500 * time.Millisecond)
		for _, e := range h.engines {
			if e.acceptDelay == 0 && e.version != 2 {
				t.Errorf("%s has version %d", e.instance, e.version)
			}
		}
		h.loop.Stop()
		time.Sleep(2 * time.Minute) // lets delayed load requests finish within the test
	})
}

// Guards against a rollout that is held up by an engine that is down or one that has restarted
// under another instance name. Neither may be sent load requests without a pause.
func TestUnreachableEnginesDoNotBlockTheRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startRemoteHarness(10)
		h.engines[3].set(func(e *fakeEngine) { e.down = true })
		h.engines[4].set(func(e *fakeEngine) { e.instance = "other" })
		h.run(20 * time.Second)
		for i, e := range h.engines {
			if i != 3 && i != 4 && e.version != 2 {
				t.Errorf("%s has version %d", e.instance, e.version)
			}
		}
		if n := len(h.engines[4].requests); n == 0 || n > 12 {
			t.Errorf("%d load requests to an engine that has restarted under another name", n)
		}
		if !h.controller.AnyStale(h.list, "m", 2) {
			t.Error("no engine is reported as stale")
		}
		h.loop.Stop()
	})
}
