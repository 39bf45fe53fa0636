// Package lag detects that this process lacks a version of the configuration which others have announced.
//
// A process that lacks one for longer than a fetch takes is usually short of processor time: what it has taken on for
// callers runs before what it needs to catch up. It then takes no further callers for a while.
package lag

import (
	"net/netip"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/feed"
)

const (
	// fetchParts is the part of the bound after which a fetch is overdue, as a divisor.
	fetchParts = 8
	// helpBounds is the time, in bounds, after which refusing callers has not helped: something else is in the way of
	// the configuration, and the earlier one is better than none.
	helpBounds = 2
	// minAnnouncers is how many processes must have announced what this one lacks. A record that one process alone has,
	// which none can reach, must not make all others refuse their callers.
	minAnnouncers = 2
)

// Monitor compares the position of the configuration in force with those that others announce. It is safe for
// concurrent use.
type Monitor struct {
	// bound is the time in which a configuration must be in force everywhere.
	bound time.Duration
	mu    sync.Mutex
	known feed.Position
	// announced is the newest position that another process has announced in the era of known.
	announced feed.Position
	// announcers are processes that have announced a position beyond known, minAnnouncers at most.
	announcers map[netip.AddrPort]bool
	// since is when enough of them had; zero before.
	since time.Time
}

// NewMonitor returns a monitor of a configuration that must be in force everywhere within a bound.
func NewMonitor(bound time.Duration) *Monitor {
	return &Monitor{bound: bound, announcers: map[netip.AddrPort]bool{}}
}

// Announced records that another process has the configuration up to a position. Positions of other eras do not
// count: how much of them is known is not told by their offsets.
func (m *Monitor) Announced(by netip.AddrPort, at feed.Position, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.known.Offset == 0 || at.Era != m.known.Era || at.Offset <= m.known.Offset {
		return
	}
	m.announced.Era, m.announced.Offset = at.Era, max(m.announced.Offset, at.Offset)
	if len(m.announcers) == minAnnouncers {
		return
	}
	m.announcers[by] = true
	if len(m.announcers) == minAnnouncers {
		m.since = now
	}
}

// Applied records that this process has the configuration up to a position.
func (m *Monitor) Applied(at feed.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at == m.known {
		return
	}
	m.known, m.announced, m.since = at, feed.Position{}, time.Time{}
	clear(m.announcers)
}

// State is what a Monitor knows.
type State struct {
	// Known is the position of the configuration in force, Announced the newest that others have announced.
	Known, Announced feed.Position
	// For is how long enough processes have announced records that this one lacks; zero if they have not.
	For time.Duration
	// Overdue is set while the process should take no further callers.
	Overdue bool
}

// State returns the present state.
func (m *Monitor) State(now time.Time) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := State{Known: m.known, Announced: m.announced}
	if !m.since.IsZero() {
		s.For = now.Sub(m.since)
		s.Overdue = s.For >= m.bound/fetchParts && s.For < helpBounds*m.bound
	}
	return s
}

// Overdue reports whether this process should take no further callers.
func (m *Monitor) Overdue(now time.Time) bool { return m.State(now).Overdue }
