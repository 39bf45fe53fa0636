package lag

import (
	"net/netip"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/feed"
)

const bound = 4 * time.Second

var (
	start       = time.Unix(1000, 0)
	first       = netip.MustParseAddrPort("10.0.0.1:7000")
	second      = netip.MustParseAddrPort("10.0.0.2:7000")
	bothOfPeers = []netip.AddrPort{first, second}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func position(offset uint64) feed.Position { return feed.Position{Era: 1, Offset: offset} }

// announce records that both peers have a position.
func announce(m *Monitor, p feed.Position, d time.Duration) {
	for _, peer := range bothOfPeers {
		m.Announced(peer, p, at(d))
	}
}

func check(t *testing.T, m *Monitor, d time.Duration, want bool) {
	t.Helper()
	if got := m.Overdue(at(d)); got != want {
		t.Errorf("after %v: overdue %v, want %v", d, got, want)
	}
}

// Guards against an entry that goes on taking callers although it cannot get a version that it knows of, against one
// that refuses them while a fetch is under way, and against one that refuses them for ever.
func TestProcessIsOverdueOnlyWhileRefusingMayHelp(t *testing.T) {
	m := NewMonitor(bound)
	m.Applied(position(5))
	announce(m, position(5), 0)
	check(t, m, bound, false)
	announce(m, position(6), 0)
	check(t, m, bound/8-1, false)
	announce(m, position(7), bound/16) // the time since the first counts
	check(t, m, bound/8, true)
	check(t, m, 2*bound-1, true)
	check(t, m, 2*bound, false)
}

// Guards against a whole fleet that refuses its callers for a record that one process alone has, out of reach of all.
func TestOneAnnouncerIsNotEnough(t *testing.T) {
	m := NewMonitor(bound)
	m.Applied(position(5))
	m.Announced(first, position(6), at(0))
	m.Announced(first, position(9), at(0))
	check(t, m, bound, false)
	m.Announced(second, position(6), at(bound))
	check(t, m, bound+bound/8, true)
}

// Guards against an entry that stays overdue once it has caught up, or that counts as caught up while it lacks more.
func TestProgressBeginsTheWaitAnew(t *testing.T) {
	m := NewMonitor(bound)
	m.Applied(position(5))
	announce(m, position(7), 0)
	m.Applied(position(6))
	check(t, m, bound/2, false)
	announce(m, position(7), bound/2)
	check(t, m, bound/2+bound/8, true)
	m.Applied(position(7))
	announce(m, position(7), bound)
	check(t, m, bound+bound/8, false)
}

// Guards against offsets of another era, which say nothing about what is known, and against an entry that starts.
func TestPositionsOfOtherErasDoNotCount(t *testing.T) {
	m := NewMonitor(bound)
	announce(m, position(9), 0)
	check(t, m, bound, false)
	m.Applied(position(5))
	announce(m, feed.Position{Era: 2, Offset: 9}, bound)
	announce(m, feed.Position{Era: 0, Offset: 9}, bound)
	check(t, m, 2*bound, false)
	announce(m, position(6), 2*bound)
	m.Applied(feed.Position{Era: 2, Offset: 3})
	check(t, m, 3*bound, false)
	announce(m, feed.Position{Era: 2, Offset: 4}, 3*bound)
	check(t, m, 3*bound+bound/8, true)
}
