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

// fakeEngine is an engine whose orders a test holds up.
type fakeEngine struct {
	mu       sync.Mutex
	life     string
	born     int64
	version  int64
	orders   int64
	busyTill time.Time
	// late holds up orders: they get no answer and are carried out after it.
	late time.Duration
	down bool
	// absent engines have no process: nothing listens.
	absent bool
	given  []LoadRequest
}

func (e *fakeEngine) Report(context.Context) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.absent {
		return Report{}, errors.Wrap(syscall.ECONNREFUSED, "dial")
	}
	if e.down {
		return Report{}, errors.New("connection refused")
	}
	return Report{StartedAt: e.born, Weights: map[string]int64{"m": e.version}, Busy: time.Now().Before(e.busyTill), AcceptedLoads: e.orders}, nil
}

func (e *fakeEngine) Identify(context.Context, string) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life, nil
}

func (e *fakeEngine) Load(ctx context.Context, o LoadRequest) (Outcome, error) {
	e.mu.Lock()
	e.given = append(e.given, o)
	late := e.late
	e.mu.Unlock()
	if late == 0 {
		return e.accept(o), nil
	}
	go func() {
		time.Sleep(late)
		e.accept(o)
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

func (e *fakeEngine) accept(o LoadRequest) Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Incarnation.Instance != e.life {
		return OtherInstance
	}
	if o.ExpectedLoads != e.orders || time.Now().Before(e.busyTill) {
		return Busy
	}
	e.orders++
	e.version = o.Version
	e.busyTill = time.Now().Add(loadTime)
	return Accepted
}

// bench is a controller beside a fake engine.
type bench struct {
	engine  *fakeEngine
	loop    *control.Loop
	orders  *Controller
	history History
	phases  []Phase
	token   uint64
	fresh   bool
	unheard bool
}

func startBench() *bench { return startBeside(&fakeEngine{life: "i1", version: 1}) }

func startBeside(engine *fakeEngine) *bench {
	b := &bench{engine: engine, loop: control.NewLoop(1, func(time.Duration) {}), token: 7, fresh: true}
	b.orders = NewController(b.loop, b.engine, Environment{
		PartialView: func() bool { return b.unheard },
		Wanted:      func() map[string]History { return map[string]History{"m": b.history} },
		HealthPath:  func() string { return "/health" },
		Engines: func(string) []EngineView {
			return []EngineView{{Incarnation: fleet.Incarnation{Instance: b.engine.life, StartedMs: b.engine.born}, Version: b.engine.version}}
		},
		OnChange: func(_ fleet.Incarnation, _ Report, p Phase) {
			if len(b.phases) == 0 || b.phases[len(b.phases)-1] != p {
				b.phases = append(b.phases, p)
			}
		},
		Token:    func() (uint64, bool) { return b.token, b.token > 0 },
		UpToDate: func() bool { return b.fresh },
	}, Options{Holder: "side-1", MaxStaleness: 8 * time.Second, Logger: logr.Discard(), Now: time.Now, OnOutcome: func(Outcome) {}})
	go b.loop.Run()
	b.orders.Start()
	return b
}

func (b *bench) want(version int64) {
	b.loop.Post(func() {
		b.history = b.history.Add(WantedVersion{Version: version, Since: time.Now()})
		b.orders.Trigger()
	})
}

func (b *bench) lastPhase() Phase {
	last := make(chan Phase, 1)
	b.loop.Post(func() { last <- b.phases[len(b.phases)-1] })
	return <-last
}

func (b *bench) stop() {
	b.loop.Stop()
	synctest.Wait()
}

// A version is named. The entries hear that the engine loads before it is told
// to, and that it serves again when it does.
func TestEngineLoadsTheWantedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBench()
		time.Sleep(time.Second)
		b.want(2)
		time.Sleep(time.Second)
		b.stop()
		if b.engine.version != 2 || len(b.engine.given) != 1 {
			t.Errorf("version %d after %d orders", b.engine.version, len(b.engine.given))
		}
		if !slices.Equal(b.phases, []Phase{Serving, Draining, Loading, Serving}) {
			t.Errorf("phases %v", b.phases)
		}
		if o := b.engine.given[0]; o.Token != 7 || o.Incarnation.Instance != "i1" || o.Holder != "side-1" {
			t.Errorf("order %+v", o)
		}
	})
}

// An order gets no answer and is carried out seconds later, after a newer one.
// The engine must end with the newest version: the late order names how many
// orders must have come before it, and is refused.
func TestLateOrderDoesNotBringAnOlderVersionBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBench()
		time.Sleep(time.Second)
		b.engine.mu.Lock()
		b.engine.late = 6 * time.Second
		b.engine.mu.Unlock()
		b.want(2)
		time.Sleep(2 * time.Second)
		b.engine.mu.Lock()
		b.engine.late = 0
		b.engine.mu.Unlock()
		b.want(3)
		time.Sleep(20 * time.Second)
		b.stop()
		if b.engine.version != 3 {
			t.Errorf("the engine ends with version %d", b.engine.version)
		}
		for i := 1; i < len(b.engine.given); i++ {
			if b.engine.given[i].Token < b.engine.given[i-1].Token {
				t.Errorf("tokens %d and %d", b.engine.given[i-1].Token, b.engine.given[i].Token)
			}
		}
	})
}

// The engine crashes and comes back as another life at the same address. It is
// named anew before it gets an order, and is told silent meanwhile.
func TestRestartedEngineIsIdentifiedBeforeAnOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBench()
		time.Sleep(time.Second)
		b.engine.mu.Lock()
		b.engine.down = true
		b.engine.mu.Unlock()
		time.Sleep(time.Second)
		b.engine.mu.Lock()
		b.engine.down, b.engine.life = false, "i2"
		b.engine.mu.Unlock()
		b.want(2)
		time.Sleep(2 * time.Second)
		b.stop()
		if b.engine.version != 2 {
			t.Errorf("version %d", b.engine.version)
		}
		for _, o := range b.engine.given {
			if o.Incarnation.Instance != "i2" {
				t.Errorf("order to %s", o.Incarnation)
			}
		}
		if b.phases[1] != Unresponsive {
			t.Errorf("phases %v", b.phases)
		}
	})
}

// A host that has just woken, or a sidecar without a fencing token, gives no
// order.
func TestNoOrderWithoutTokenOrAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBench()
		b.loop.Post(func() { b.fresh = false })
		time.Sleep(time.Second)
		b.want(2)
		time.Sleep(time.Second)
		b.loop.Post(func() { b.fresh, b.token = true, 0 })
		time.Sleep(time.Second)
		b.engine.mu.Lock()
		if len(b.engine.given) != 0 {
			t.Errorf("orders %v", b.engine.given)
		}
		b.engine.mu.Unlock()
		b.loop.Post(func() { b.token = 9 })
		time.Sleep(time.Second)
		b.stop()
		if b.engine.version != 2 {
			t.Errorf("version %d", b.engine.version)
		}
	})
}

// The engine crashes while it loads, and starts again under its name. What it was
// ordered ended with its life: the entries hear of the new one at once, and it gets
// an order of its own.
func TestEngineStartsAgainUnderItsNameWhileItLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBench()
		b.engine.set(func(e *fakeEngine) { e.born = 100 })
		time.Sleep(time.Second)
		b.want(2)
		time.Sleep(400 * time.Millisecond) // emptied and ordered, still loading
		b.engine.mu.Lock()
		if b.engine.orders != 1 {
			t.Errorf("%d orders before the crash", b.engine.orders)
		}
		b.engine.born, b.engine.version, b.engine.orders, b.engine.busyTill = 200, 1, 0, time.Time{}
		b.engine.mu.Unlock()
		time.Sleep(2 * time.Second)
		b.stop()
		last := b.engine.given[len(b.engine.given)-1]
		if len(b.engine.given) != 2 || last.Incarnation != (fleet.Incarnation{Instance: "i1", StartedMs: 200}) || last.ExpectedLoads != 0 {
			t.Errorf("orders %+v", b.engine.given)
		}
		if b.engine.version != 2 {
			t.Errorf("version %d", b.engine.version)
		}
	})
}

// An order is not answered, and its engine starts again meanwhile. The order ended with
// the earlier life: the entries hear at once that the new one serves, and the order's
// late answer changes nothing.
func TestOrderOfAnEarlierLifeIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBench()
		b.engine.set(func(e *fakeEngine) { e.born, e.late = 100, 5*time.Second })
		time.Sleep(time.Second)
		b.want(2)
		time.Sleep(500 * time.Millisecond)
		if got := b.lastPhase(); got != Loading {
			t.Errorf("phase %v after the order", got)
		}
		b.engine.set(func(e *fakeEngine) { e.born = 200 })
		time.Sleep(2 * reportPeriod)
		if got := b.lastPhase(); got != Serving {
			t.Errorf("phase %v of the new life", got)
		}
		b.engine.set(func(e *fakeEngine) { e.version = 2 })
		time.Sleep(time.Second)
		if got := b.lastPhase(); got != Serving {
			t.Errorf("phase %v after the order was given up", got)
		}
		b.stop()
		time.Sleep(5 * time.Second) // the order is carried out
		if len(b.engine.given) != 1 {
			t.Errorf("orders %+v", b.engine.given)
		}
	})
}

// An order that was taken for lost is carried out seconds later, at the engine's next
// life. The engine refuses requests meanwhile, and the entries hear that it loads.
func TestLoadThatNobodyOrderedLately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBench()
		time.Sleep(time.Second)
		b.engine.mu.Lock()
		b.engine.busyTill = time.Now().Add(loadTime)
		b.engine.orders++
		b.engine.mu.Unlock()
		time.Sleep(time.Second)
		b.stop()
		if !slices.Equal(b.phases, []Phase{Serving, Loading, Serving}) {
			t.Errorf("phases %v", b.phases)
		}
	})
}

// Guards against a life that passes for a new one: only another life at the address before
// it shows when it began, silence does not.
func TestBeganAfterTheLifeBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBench()
		beganAfter := func() time.Time {
			at := make(chan time.Time, 1)
			b.loop.Post(func() { at <- b.orders.StartedAfter() })
			return <-at
		}
		time.Sleep(time.Second)
		b.engine.set(func(e *fakeEngine) { e.down = true })
		time.Sleep(time.Second)
		b.engine.set(func(e *fakeEngine) { e.down = false })
		time.Sleep(time.Second)
		if at := beganAfter(); !at.IsZero() {
			t.Errorf("the first life that is known began after %v", at)
		}
		last := time.Now()
		b.engine.set(func(e *fakeEngine) { e.down = true })
		time.Sleep(time.Second)
		b.engine.set(func(e *fakeEngine) { e.down, e.life = false, "i2" })
		time.Sleep(2 * time.Second)
		if early := last.Sub(beganAfter()); early < 0 || early > reportPeriod {
			t.Errorf("the second life began after a time that is %s before the first was heard last", early)
		}
		b.stop()
	})
}

// The host's engine starts after its sidecar: it has begun since nothing listened. One
// that refused a few connections may have run before.
func TestBeganAfterNothingListened(t *testing.T) {
	for absent, known := range map[time.Duration]bool{2 * time.Second: true, 300 * time.Millisecond: false} {
		synctest.Test(t, func(t *testing.T) {
			b := startBeside(&fakeEngine{life: "i1", version: 1, absent: true})
			time.Sleep(absent)
			last := time.Now()
			b.engine.set(func(e *fakeEngine) { e.absent = false })
			time.Sleep(time.Second)
			began := make(chan time.Time, 1)
			b.loop.Post(func() { began <- b.orders.StartedAfter() })
			at := <-began
			if early := last.Sub(at); known && (early < 0 || early > reportPeriod) || !known && !at.IsZero() {
				t.Errorf("absent for %s: began after %v, %s before it listened", absent, at, early)
			}
			b.stop()
		})
	}
}
