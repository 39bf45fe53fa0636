// Package hostclock provides a clock that includes the time in which the host was suspended.
//
// Go's monotonic clock stops during a suspension, so a lease or a cached state would look as
// fresh after the resume as before.
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
	// clockMonotonic and clockBoottime are Linux clock IDs. CLOCK_BOOTTIME includes the time
	// in which the host was suspended, CLOCK_MONOTONIC does not.
	clockMonotonic = 1
	clockBoottime  = 7
	// checkPeriod is how often the two clocks are compared.
	checkPeriod = 100 * time.Millisecond
	// minPause is the shortest suspension that is detected. The two clocks are not read at the
	// same instant.
	minPause = 50 * time.Millisecond
)

// Clock measures time across suspensions of the host. It is safe for concurrent use.
type Clock struct {
	suspended atomic.Int64
	resumedAt atomic.Pointer[time.Time]
	baseline  time.Duration
}

// New returns a clock that accounts for suspensions from now on.
func New() *Clock { return &Clock{baseline: suspendedTotal()} }

// Now returns the current time plus the time suspended so far. Only differences between its
// results are meaningful.
func (c *Clock) Now() time.Time { return time.Now().Add(time.Duration(c.suspended.Load())) }

// SinceResume returns the time since the host last resumed, or an hour if it was not suspended.
func (c *Clock) SinceResume() time.Duration {
	resumedAt := c.resumedAt.Load()
	if resumedAt == nil {
		return time.Hour
	}
	return time.Since(*resumedAt)
}

// Check compares the clocks and returns the length of a suspension since the last check, or zero.
func (c *Clock) Check() time.Duration {
	suspended := suspendedTotal() - c.baseline
	pause := suspended - time.Duration(c.suspended.Load())
	if pause < minPause {
		return 0
	}
	c.suspended.Store(int64(suspended))
	now := time.Now()
	c.resumedAt.Store(&now)
	return pause
}

// Watch checks periodically until the context is done, and calls onResume after each suspension.
func (c *Clock) Watch(ctx context.Context, onResume func(pause time.Duration)) {
	for sleep.For(ctx, checkPeriod) {
		if pause := c.Check(); pause > 0 {
			onResume(pause)
		}
	}
}

// suspendedTotal returns how long the host has been suspended since boot.
func suspendedTotal() time.Duration { return readClock(clockBoottime) - readClock(clockMonotonic) }

func readClock(clock uintptr) time.Duration {
	var t syscall.Timespec
	// A failed call leaves zero, which counts as no suspension.
	_, _, _ = syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clock, uintptr(unsafe.Pointer(&t)), 0)
	return time.Duration(t.Nano())
}
