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

// remoteBench is a controller of engines without sidecars, and a list of them that shows
// nothing new.
type remoteBench struct {
	loop    *control.Loop
	orders  *RemoteController
	engines []*fakeEngine
	list    []RemoteEngine
}

func startRemoteBench(n int) *remoteBench {
	b := &remoteBench{loop: control.NewLoop(1, func(time.Duration) {})}
	b.orders = NewRemoteController(b.loop, "entry", logr.Discard(), time.Now, func(Outcome) {})
	for i := range n {
		e := &fakeEngine{life: fmt.Sprintf("e%d", i), version: 1}
		b.engines = append(b.engines, e)
		b.list = append(b.list, RemoteEngine{Incarnation: fleet.Incarnation{Instance: e.life}, Engine: e, Versions: map[string]int64{"m": 1}})
	}
	go b.loop.Run()
	return b
}

// run steps for a time, and returns the most engines that loaded at once.
func (b *remoteBench) run(d time.Duration) int {
	most := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		b.loop.Post(func() { b.orders.Step(b.list, "m", 2, 7) })
		loading := 0
		for _, e := range b.engines {
			e.set(func(e *fakeEngine) {
				if time.Now().Before(e.busyTill) {
					loading++
				}
			})
		}
		most = max(most, loading)
	}
	return most
}

// Operators name new weights for engines whose hosts have no room for a sidecar. All load
// them, no more at once than may, and each is ordered once although the list lags.
func TestEnginesWithoutSidecarsLoadInTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startRemoteBench(15)
		most := b.run(15 * time.Second)
		if most > MaxParallelLoads(15) {
			t.Errorf("%d engines loaded at once", most)
		}
		for _, e := range b.engines {
			if e.version != 2 || len(e.given) != 1 || e.given[0].Token != 7 {
				t.Errorf("%s has version %d after %d orders", e.life, e.version, len(e.given))
			}
		}
		b.loop.Stop()
	})
}

// The two engines whose turn comes first leave orders unanswered. They must not take both
// places again and again while the others wait.
func TestEnginesThatLeaveOrdersUnansweredComeLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startRemoteBench(10)
		views := make([]EngineView, len(b.list))
		for i := range b.list {
			views[i] = EngineView{Incarnation: b.list[i].Incarnation}
		}
		silent := RolloutOrder(views, 2)[:2]
		for _, e := range b.engines {
			if e.life == silent[0].Instance || e.life == silent[1].Instance {
				e.set(func(e *fakeEngine) { e.late = time.Minute })
			}
		}
		b.run(6500 * time.Millisecond)
		for _, e := range b.engines {
			if e.late == 0 && e.version != 2 {
				t.Errorf("%s has version %d", e.life, e.version)
			}
		}
		b.loop.Stop()
		time.Sleep(2 * time.Minute) // late orders are carried out within the test
	})
}

// One engine does not answer, and one has started again under another name that the list
// does not show yet. The others load all the same, and neither is ordered without a pause.
func TestUnreachableEnginesHoldNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startRemoteBench(10)
		b.engines[3].set(func(e *fakeEngine) { e.down = true })
		b.engines[4].set(func(e *fakeEngine) { e.life = "other" })
		b.run(20 * time.Second)
		for i, e := range b.engines {
			if i != 3 && i != 4 && e.version != 2 {
				t.Errorf("%s has version %d", e.life, e.version)
			}
		}
		if n := len(b.engines[4].given); n == 0 || n > 12 {
			t.Errorf("%d orders to an engine that is another one now", n)
		}
		if !b.orders.AnyStale(b.list, "m", 2) {
			t.Error("none is behind")
		}
		b.loop.Stop()
	})
}
