// Package control runs the controllers of a process on one thread.
//
// Controllers react to events and timers; what they know, they post on the
// blackboard. Input and output run on goroutines of their own and come back as
// events, so that a slow platform never holds up the control thread.
package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/sleep"
)

const queueLength = 1024

// Loop is the control thread.
type Loop struct {
	events chan func()
	ctx    context.Context
	stop   context.CancelFunc
	tasks  sync.WaitGroup
	// tasksMu guards stopped, so that no task begins once Run waits for the end
	// of the others.
	tasksMu sync.Mutex
	stopped bool
	// observe is told how long each event took.
	observe func(time.Duration)
	// seedMu guards random, which timers of several controllers draw from.
	seedMu sync.Mutex
	random *rand.Rand
}

// NewLoop returns a loop whose jitter comes from the seed. observe is told how
// long each event held the thread.
func NewLoop(seed uint64, observe func(time.Duration)) *Loop {
	ctx, stop := context.WithCancel(context.Background())
	return &Loop{
		events:  make(chan func(), queueLength),
		observe: observe,
		ctx:     ctx,
		stop:    stop,
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// Run handles events until Stop. It returns when all tasks have ended.
func (l *Loop) Run() {
	for {
		select {
		case event := <-l.events:
			start := time.Now()
			event()
			l.observe(time.Since(start))
		case <-l.ctx.Done():
			l.tasks.Wait()
			return
		}
	}
}

// Stop ends Run and cancels the tasks.
func (l *Loop) Stop() {
	l.tasksMu.Lock()
	l.stopped = true
	l.tasksMu.Unlock()
	l.stop()
}

// Context is cancelled by Stop.
func (l *Loop) Context() context.Context { return l.ctx }

// Post queues an event for the control thread. It waits while the queue is
// full and gives up when the loop stops.
func (l *Loop) Post(event func()) {
	select {
	case l.events <- event:
	case <-l.ctx.Done():
	}
}

// spreadStarts is how many first waits are drawn from a whole period. The
// period of a process that has just started may change once it has its
// configuration, so that one is not enough.
const spreadStarts = 2

// Every runs event on the control thread after each period, spread by a quarter
// to either side. The first waits are drawn from the whole period, so that
// processes that started together do not act together.
func (l *Loop) Every(period func() time.Duration, event func()) {
	l.Go(func(ctx context.Context) {
		for n := 0; ; n++ {
			wait := l.Jitter(period())
			if n < spreadStarts {
				wait = time.Duration(l.float() * float64(period()))
			}
			if !sleep.For(ctx, wait) {
				return
			}
			l.Post(event)
		}
	})
}

// Go runs a task off the control thread until it ends or the loop stops.
func (l *Loop) Go(task func(ctx context.Context)) {
	l.tasksMu.Lock()
	defer l.tasksMu.Unlock()
	if l.stopped {
		return
	}
	l.tasks.Add(1)
	go func() {
		defer l.tasks.Done()
		task(l.ctx)
	}()
}

// Do runs io off the control thread and then hands its result to done on it.
func Do[T any](l *Loop, timeout time.Duration, io func(ctx context.Context) (T, error), done func(T, error)) {
	l.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		value, err := io(ctx)
		l.Post(func() { done(value, err) })
	})
}

// Spread returns d changed by up to a quarter to either side.
func (l *Loop) Jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + l.float()/2))
}

// Intn returns a number from 0 to n-1.
func (l *Loop) Intn(n int) int {
	l.seedMu.Lock()
	defer l.seedMu.Unlock()
	return l.random.IntN(n)
}

func (l *Loop) float() float64 {
	l.seedMu.Lock()
	defer l.seedMu.Unlock()
	return l.random.Float64()
}

// Ask runs a question on the control thread and returns its answer; false when the
// context ends before.
func Call[T any](ctx context.Context, loop *Loop, question func() T) (T, bool) {
	answer := make(chan T, 1)
	loop.Post(func() { answer <- question() })
	select {
	case v := <-answer:
		return v, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}
