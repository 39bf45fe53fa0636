package ratelimit

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Members is the set of entries that a process knows.
type Members struct {
	// AsOf is when the set was determined.
	AsOf time.Time
	// Self is this process. Live are the reachable entries, including Self unless it is
	// stopping.
	Self netip.AddrPort
	Live []netip.AddrPort
	// Known is the number of entries heard from recently, including Self. Unreachable is how many
	// of them missed heartbeats without announcing that they leave: they may be partitioned
	// and use their share. An entry may count as both unreachable and live.
	Known, Unreachable int
	// ReportedKnown is the largest Known that other entries reported recently. A process that
	// started during a partition has not heard from the entries beyond it.
	ReportedKnown int
	// HeardPeer is set once another entry was heard from, or if none is expected.
	HeardPeer bool
	// StartedAt is when this process began to listen to other entries.
	StartedAt time.Time
}

const (
	// startupDelay is how long after its start an entry does not coordinate for its own
	// callers, because it may not have heard from the current coordinator.
	startupDelay = 200 * time.Millisecond
	// maxMembersAge is the age from which Members is outdated because the process was
	// suspended.
	maxMembersAge = time.Second
	// isolationTime is how long an entry that has not heard from any other since its start uses
	// only isolatedShare: it may have started in a small partition.
	isolationTime = 10 * time.Second
	isolatedShare = 1.0 / 8
)

// rank is an entry's rendezvous hash for the hash of a key. The entry with the highest rank is
// the bucket's coordinator.
func rank(keyHash uint64, entry netip.AddrPort) uint64 {
	var input [8 + 16 + 2]byte
	host := entry.Addr().As16()
	binary.LittleEndian.PutUint64(input[:8], keyHash)
	copy(input[8:24], host[:])
	binary.LittleEndian.PutUint16(input[24:], entry.Port())
	return xxhash.Sum64(input[:])
}

// Coordinator returns the bucket's coordinator; it is invalid if no entry is known.
func (m *Members) Coordinator(key string) netip.AddrPort {
	var first netip.AddrPort
	var highest uint64
	hash := xxhash.Sum64String(key)
	for _, entry := range m.Live {
		if r := rank(hash, entry); !first.IsValid() || r > highest {
			first, highest = entry, r
		}
	}
	return first
}

// Ranked returns up to n entries with the highest ranks for a bucket, highest first.
func (m *Members) Ranked(key string, n int) []netip.AddrPort {
	type ranked struct {
		entry netip.AddrPort
		rank  uint64
	}
	all := make([]ranked, len(m.Live))
	hash := xxhash.Sum64String(key)
	for i, entry := range m.Live {
		all[i] = ranked{entry, rank(hash, entry)}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	first := make([]netip.AddrPort, 0, n)
	for _, r := range all[:min(n, len(all))] {
		first = append(first, r.entry)
	}
	return first
}

// Share returns the share of each limit that this process may grant: the share of known entries
// that it can reach. Each side of a partition thereby stays within its own share.
func (m *Members) Share(now time.Time) float64 {
	switch {
	case len(m.Live) == 0:
		return 0
	case !m.HeardPeer && now.Sub(m.StartedAt) < isolationTime:
		return isolatedShare
	default:
		return m.reachableShare()
	}
}

// reachableShare is the share of known entries that are reachable.
func (m *Members) reachableShare() float64 { return float64(m.Known-m.Unreachable) / float64(m.Known) }

// reportedShare is the share of the entries known to others that this process can reach. It is
// low for a moment after a start, and stays low if the process started in a small partition.
func (m *Members) reportedShare() float64 {
	return min(float64(m.Known-m.Unreachable)/float64(max(m.ReportedKnown, 1)), 1)
}

// shareWindow is how long a low share limits later ones: the time for which others may count
// entries as live that they no longer hear from.
const shareWindow = 3 * time.Second

// reportedKnownTTL is how long another process's report of its Known counts.
const reportedKnownTTL = 2 * time.Second

// reportedKnown tracks the largest Known that other processes reported.
type reportedKnown struct {
	known int
	at    time.Time
}

// add records one process's report.
func (r *reportedKnown) add(known int, now time.Time) {
	if known >= r.known || now.Sub(r.at) > reportedKnownTTL {
		r.known, r.at = min(known, maxEntries), now
	}
}

// recentMax returns the largest recent report; zero if there is none.
func (r *reportedKnown) recentMax(now time.Time) int {
	if now.Sub(r.at) > reportedKnownTTL {
		return 0
	}
	return r.known
}

// maxEntries bounds the reports of other processes.
const maxEntries = 10_000

// shareHistory holds the shares within shareWindow.
type shareHistory struct {
	samples []shareSample
}

type shareSample struct {
	at    time.Time
	value float64
}

// add records the share that applies from now on.
func (h *shareHistory) add(share float64, now time.Time) {
	for len(h.samples) > 0 && now.Sub(h.samples[0].at) > shareWindow {
		h.samples = h.samples[1:]
	}
	h.samples = append(h.samples, shareSample{now, share})
}

// lowest returns the lowest share of the window. It guards against both sides of a healing
// partition granting the whole limit while each counts entries that the other counts, too.
func (h *shareHistory) lowest() float64 {
	lowest := 1.0
	for _, s := range h.samples {
		lowest = min(lowest, s.value)
	}
	return lowest
}

// CanCoordinate reports whether this process may coordinate: it has listened for startupDelay
// and was not suspended since.
func (m *Members) CanCoordinate(now time.Time) bool {
	return now.Sub(m.StartedAt) >= startupDelay && now.Sub(m.AsOf) < maxMembersAge
}
