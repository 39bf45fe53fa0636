// Package hostclock tells how old things are on a host that may be suspended.
//
// While a host stands still its steady clock stands still too: a lease or a
// belief would look as fresh after the pause as before it. The clock here adds
// the time that the host was suspended.
package hostclock

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	// clockMonotonic and clockBoottime are the clocks' numbers on Linux. The
	// second counts the time in which the host was suspended.
	clockMonotonic = 1
	clockBoottime  = 7
	// checkPeriod is how often the two clocks are compared.
	checkPeriod = 100 * time.Millisecond
	// noticeable is the least pause that counts; less is within the clocks'
	// reading.
	noticeable = 50 * time.Millisecond
)

// Clock is safe for concurrent use.
type Clock struct {
	suspended atomic.Int64
	wokeAt    atomic.Pointer[time.Time]
	base      time.Duration
}

// New returns a clock that counts pauses from now on.
func New() *Clock { return &Clock{base: gap()} }

// Now is the time with all pauses added, for taking differences.
func (c *Clock) Now() time.Time { return time.Now().Add(time.Duration(c.suspended.Load())) }

// SinceWoken is the time since the host last woke, or a long time.
func (c *Clock) SinceResume() time.Duration {
	at := c.wokeAt.Load()
	if at == nil {
		return time.Hour
	}
	return time.Since(*at)
}

// Check compares the clocks now and returns the pause found, if any.
func (c *Clock) Check() time.Duration {
	suspended := gap() - c.base
	pause := suspended - time.Duration(c.suspended.Load())
	if pause < noticeable {
		return 0
	}
	c.suspended.Store(int64(suspended))
	now := time.Now()
	c.wokeAt.Store(&now)
	return pause
}

// Watch checks regularly until the context ends, and tells of each pause.
func (c *Clock) Watch(ctx context.Context, woke func(pause time.Duration)) {
	for sleep.For(ctx, checkPeriod) {
		if pause := c.Check(); pause > 0 {
			woke(pause)
		}
	}
}

// gap is by how much the clock that counts pauses is ahead.
func gap() time.Duration { return read(clockBoottime) - read(clockMonotonic) }

func read(clock uintptr) time.Duration {
	var t syscall.Timespec
	// A failing call leaves zero, which reads as no pause.
	_, _, _ = syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clock, uintptr(unsafe.Pointer(&t)), 0)
	return time.Duration(t.Nano())
}
