// Package blackboard holds the facts that the controllers of a process share.
//
// A fact has one owning controller, which posts it from the control thread.
// Anyone reads it, traffic included, as an immutable value behind an atomic
// pointer: a reader sees the old value or the new one, never a mixture.
package blackboard

import (
	"sync/atomic"
	"time"
)

// Entry is one posted value with its stamp.
type Entry[T any] struct {
	Value T
	// Revision counts the posts to this fact.
	Revision uint64
	// At is when it was posted.
	PostedAt time.Time
}

// Fact is one typed place on the blackboard. The zero Fact is empty.
type Fact[T any] struct {
	entry atomic.Pointer[Entry[T]]
}

// Post replaces the value. Only the owning controller calls it, on the control
// thread; the value must not change afterwards.
func (f *Fact[T]) Post(value T, now time.Time) {
	next := &Entry[T]{Value: value, Revision: 1, PostedAt: now}
	if old := f.entry.Load(); old != nil {
		next.Revision = old.Revision + 1
	}
	f.entry.Store(next)
}

// Get returns the value; ok is false when none was posted.
func (f *Fact[T]) Get() (value T, ok bool) {
	e := f.entry.Load()
	if e == nil {
		return value, false
	}
	return e.Value, true
}

// Entry returns the value with its stamp, or nil.
func (f *Fact[T]) Entry() *Entry[T] { return f.entry.Load() }
