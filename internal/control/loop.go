// Package control runs the controllers of a process on one goroutine, the control
// thread.
//
// Controllers handle events and timers and post their results on the blackboard.
// I/O runs on other goroutines and its results are delivered as events, so slow
// I/O does not block the control thread.
package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/sleep"
)

const eventQueueSize = 1024

// event is a function to run on the control thread.
type event struct {
	run func()
	// due is when it was posted or, for a timer, when the timer should have fired.
	due time.Time
}

// Loop is the event loop of the control thread.
type Loop struct {
	events chan event
	ctx    context.Context
	stop   context.CancelFunc
	tasks  sync.WaitGroup
	// stoppedMu guards stopped. No task may start once Run waits for the tasks.
	stoppedMu sync.Mutex
	stopped   bool
	// observe is called with the duration of each event.
	observe func(time.Duration)
	// observeWait is called with the time by which each event is late; nil if nobody asks.
	observeWait func(time.Duration)
	// randomMu guards random.
	randomMu sync.Mutex
	random   *rand.Rand
}

// NewLoop returns a loop. seed determines its jitter. observe is called with the
// duration of each event.
func NewLoop(seed uint64, observe func(time.Duration)) *Loop {
	ctx, stop := context.WithCancel(context.Background())
	return &Loop{
		events:  make(chan event, eventQueueSize),
		observe: observe,
		ctx:     ctx,
		stop:    stop,
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// ObserveWait sets a function that is called on the control thread with the time by which each event is
// late: it waited for the control thread, or its timer for the processor. It must be called before Run.
func (l *Loop) ObserveWait(observe func(time.Duration)) { l.observeWait = observe }

// Run handles events until Stop is called, and returns when all tasks have ended.
func (l *Loop) Run() {
	for {
		select {
		case e := <-l.events:
			start := time.Now()
			if l.observeWait != nil {
				l.observeWait(start.Sub(e.due))
			}
			e.run()
			l.observe(time.Since(start))
		case <-l.ctx.Done():
			l.tasks.Wait()
			return
		}
	}
}

// Stop ends Run and cancels the tasks.
func (l *Loop) Stop() {
	l.stoppedMu.Lock()
	l.stopped = true
	l.stoppedMu.Unlock()
	l.stop()
}

// Context returns a context that Stop cancels.
func (l *Loop) Context() context.Context { return l.ctx }

// Post queues an event for the control thread. It blocks while the queue is full,
// until the loop stops.
func (l *Loop) Post(run func()) { l.post(event{run: run, due: time.Now()}) }

func (l *Loop) post(e event) {
	select {
	case l.events <- e:
	case <-l.ctx.Done():
	}
}

// initialWaits is how many initial waits are random over the whole period. One is
// not enough: the period may change once the process has its configuration.
const initialWaits = 2

// Every runs a function on the control thread once per period, with jitter. The initial
// waits are random over the whole period, which desynchronizes processes that
// start together.
func (l *Loop) Every(period func() time.Duration, run func()) {
	l.Go(func(ctx context.Context) {
		for n := 0; ; n++ {
			wait := l.Jitter(period())
			if n < initialWaits {
				wait = time.Duration(l.randomFloat() * float64(period()))
			}
			due := time.Now().Add(wait)
			if !sleep.For(ctx, wait) {
				return
			}
			l.post(event{run: run, due: due})
		}
	})
}

// Go runs a task on its own goroutine. The task's context ends when the loop stops.
func (l *Loop) Go(task func(ctx context.Context)) {
	l.stoppedMu.Lock()
	defer l.stoppedMu.Unlock()
	if l.stopped {
		return
	}
	l.tasks.Add(1)
	go func() {
		defer l.tasks.Done()
		task(l.ctx)
	}()
}

// Do runs io on its own goroutine and calls done with the result on the control
// thread.
func Do[T any](l *Loop, timeout time.Duration, io func(ctx context.Context) (T, error), done func(T, error)) {
	l.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		value, err := io(ctx)
		l.Post(func() { done(value, err) })
	})
}

// Jitter returns a random duration within 25% of d.
func (l *Loop) Jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + l.randomFloat()/2))
}

// Intn returns a random number from 0 to n-1.
func (l *Loop) Intn(n int) int {
	l.randomMu.Lock()
	defer l.randomMu.Unlock()
	return l.random.IntN(n)
}

func (l *Loop) randomFloat() float64 {
	l.randomMu.Lock()
	defer l.randomMu.Unlock()
	return l.random.Float64()
}

// Call runs fn on the control thread and returns its result, or false if the
// context ends first.
func Call[T any](ctx context.Context, loop *Loop, fn func() T) (T, bool) {
	result := make(chan T, 1)
	loop.Post(func() { result <- fn() })
	select {
	case v := <-result:
		return v, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}
