// Package blackboard shares state between the controllers and the request handlers
// of a process.
//
// Each fact is an immutable value behind an atomic pointer. Only the controller
// that owns the fact posts new values, from the control thread. Any goroutine may
// read it.
package blackboard

import (
	"sync/atomic"
	"time"
)

// Entry is a posted value with its revision and time.
type Entry[T any] struct {
	Value T
	// Revision is the number of posts so far.
	Revision uint64
	// PostedAt is when the value was posted.
	PostedAt time.Time
}

// Fact is a value on the blackboard. The zero Fact is empty.
type Fact[T any] struct {
	entry atomic.Pointer[Entry[T]]
}

// Post replaces the value, which must not be modified afterwards. Only the owning
// controller may call it, on the control thread.
func (f *Fact[T]) Post(value T, now time.Time) {
	next := &Entry[T]{Value: value, Revision: 1, PostedAt: now}
	if old := f.entry.Load(); old != nil {
		next.Revision = old.Revision + 1
	}
	f.entry.Store(next)
}

// Get returns the value; ok is false if none was posted.
func (f *Fact[T]) Get() (value T, ok bool) {
	e := f.entry.Load()
	if e == nil {
		return value, false
	}
	return e.Value, true
}

// Entry returns the latest entry, or nil.
func (f *Fact[T]) Entry() *Entry[T] { return f.entry.Load() }
