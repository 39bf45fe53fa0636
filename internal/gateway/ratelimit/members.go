package ratelimit

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Members are the entries that a process knows, as of a time.
type Members struct {
	// At is when this was known.
	AsOf time.Time
	// Self is this process; Live are the entries that it hears, itself among them unless it
	// is stopping.
	Self netip.AddrPort
	Live []netip.AddrPort
	// Known is how many entries were heard lately, this one included, and Silent how many of
	// them are not any more, without a word of leaving: they may live on out of touch, and
	// use their share. One may be silent and still count as living.
	Known, Unreachable int
	// Told is how many entries others said lately that they know: a process that started
	// while some were out of touch has not heard them itself.
	ReportedKnown int
	// Heard is set once another entry was heard, or none is to be expected.
	HeardPeer bool
	// StartedAt is when this process began to listen to the others.
	StartedAt time.Time
}

const (
	// settleFor is how long after its start an entry coordinates nothing for its own callers:
	// others may still do, of whom it has not heard. Where all have started anew, all callers
	// wait for that.
	settleFor = 200 * time.Millisecond
	// staleAfter is the age at which a picture of the members says nothing any more: the
	// process has stood still.
	staleAfter = time.Second
	// aloneFor is how long an entry that has heard no other since its start takes only
	// unheardShare: it may have started out of touch with many.
	aloneFor     = 10 * time.Second
	unheardShare = 1.0 / 8
)

// rank is where an entry stands for a workspace, by the hash of its name; the highest is its
// coordinator.
func rank(workspace uint64, entry netip.AddrPort) uint64 {
	var key [8 + 16 + 2]byte
	host := entry.Addr().As16()
	binary.LittleEndian.PutUint64(key[:8], workspace)
	copy(key[8:24], host[:])
	binary.LittleEndian.PutUint16(key[24:], entry.Port())
	return xxhash.Sum64(key[:])
}

// First is the workspace's coordinator; not valid when no entry is known.
func (m *Members) Coordinator(workspace string) netip.AddrPort {
	var first netip.AddrPort
	var highest uint64
	name := xxhash.Sum64String(workspace)
	for _, entry := range m.Live {
		if r := rank(name, entry); !first.IsValid() || r > highest {
			first, highest = entry, r
		}
	}
	return first
}

// Ranked returns the first n entries of a workspace's rank, or fewer.
func (m *Members) Ranked(workspace string, n int) []netip.AddrPort {
	type ranked struct {
		entry netip.AddrPort
		rank  uint64
	}
	all := make([]ranked, len(m.Live))
	name := xxhash.Sum64String(workspace)
	for i, entry := range m.Live {
		all[i] = ranked{entry, rank(name, entry)}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	first := make([]netip.AddrPort, 0, n)
	for _, r := range all[:min(n, len(all))] {
		first = append(first, r.entry)
	}
	return first
}

// Share is the part of each limit that this process may give out: the part of the known
// entries that it hears. Of two groups that are cut off from each other each so keeps to
// its own part.
func (m *Members) Share(now time.Time) float64 {
	switch {
	case len(m.Live) == 0:
		return 0
	case !m.HeardPeer && now.Sub(m.StartedAt) < aloneFor:
		return unheardShare
	default:
		return m.inTouch()
	}
}

// inTouch is the part of the entries heard lately that are still heard.
func (m *Members) inTouch() float64 { return float64(m.Known-m.Unreachable) / float64(m.Known) }

// ofTold is the part of the entries that others know which this process hears. It is low for
// a moment after a start, and stays so where the process has started out of touch with many.
func (m *Members) ofTold() float64 {
	return min(float64(m.Known-m.Unreachable)/float64(max(m.ReportedKnown, 1)), 1)
}

// sharesFor is how long a share holds down those that follow: as long as others may take
// entries for living that they no longer hear.
const sharesFor = 3 * time.Second

// toldFor is how long it counts how many entries another process knows.
const toldFor = 2 * time.Second

// told remembers how many entries others said that they know.
type told struct {
	known int
	at    time.Time
}

// add takes in what one process said.
func (t *told) add(known int, now time.Time) {
	if known >= t.known || now.Sub(t.at) > toldFor {
		t.known, t.at = min(known, mostEntries), now
	}
}

// most is the largest number that was said lately.
func (t *told) most(now time.Time) int {
	if now.Sub(t.at) > toldFor {
		return 0
	}
	return t.known
}

// mostEntries bounds what another process may say.
const mostEntries = 10_000

// shares remembers the shares of a time.
type shares struct {
	taken []share
}

type share struct {
	at   time.Time
	part float64
}

// add takes in the share that holds from now on.
func (s *shares) add(part float64, now time.Time) {
	for len(s.taken) > 0 && now.Sub(s.taken[0].at) > sharesFor {
		s.taken = s.taken[1:]
	}
	s.taken = append(s.taken, share{now, part})
}

// least is the lowest share of the time.
//
// The failure guarded against: entries that were cut off from each other meet others first.
// For a while each of two groups counts entries that the other counts too, and both would
// give out the whole limit.
func (s *shares) least() float64 {
	least := 1.0
	for _, taken := range s.taken {
		least = min(least, taken.part)
	}
	return least
}

// Settled reports whether this process may coordinate: it has listened for long enough,
// and has not stood still since.
func (m *Members) CanCoordinate(now time.Time) bool {
	return now.Sub(m.StartedAt) >= settleFor && now.Sub(m.AsOf) < staleAfter
}
