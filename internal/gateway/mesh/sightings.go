package mesh

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
)

const (
	// partialSightings is the number of entries that a heartbeat to entries names in a fleet without
	// a full mesh, partialIntroductions that in one to others, to which the liveness of a single
	// entry matters little. fullSightings is the number of processes in a smaller fleet, where
	// they only introduce addresses.
	partialSightings     = 32
	partialIntroductions = 6
	fullSightings        = 3
	// newcomerShare is the share of a heartbeat's entries that goes to newcomers, as long as there
	// are any, youngShare that of the others that goes to the youngest news.
	newcomerShare = 0.25
	youngShare    = 0.75
	// newcomerPeriod is how long a process takes another one for a newcomer after it has learned
	// that it is live. All processes that learn of a newcomer name it in each heartbeat during that
	// time, so that the number that know it grows exponentially.
	newcomerPeriod = 2 * time.Second
	// sightingSize is the largest encoded size of a sighting, sightingsOverhead that of the
	// surrounding fields.
	sightingSize      = 4 + 4 + 3
	sightingsOverhead = 16
	// sightingUnit is the resolution of a sighting's age. Rounding up makes up for the time that a
	// heartbeat takes to arrive: an age never falls on its way.
	sightingUnit = 10 * time.Millisecond
	// The low bits of a sighting's state.
	stateStopping = 1
	stateEntry    = 2
	stateBits     = 2
)

// sightings returns what this process knows of some others, at most as many as fit into space bytes.
func (m *Mesh) sightings(toEntries bool, space int) *peerv1.PeerSightings {
	limit := m.sightingsLimit(toEntries)
	limit = min(limit, (space-sightingsOverhead)/sightingSize)
	now, s := m.options.Now(), &peerv1.PeerSightings{}
	for _, member := range m.nextSightings(limit) {
		age := uint32((now.Sub(member.LastSeen) + sightingUnit - 1) / sightingUnit)
		state := age << stateBits
		if member.Entry {
			state |= stateEntry
		}
		if member.Leaving {
			state |= stateStopping
		}
		address := member.Address.Addr().As4()
		s.Addresses = append(s.Addresses, uint32(address[0])<<24|uint32(address[1])<<16|uint32(address[2])<<8|uint32(address[3]))
		s.Incarnations = append(s.Incarnations, member.shortIncarnation)
		s.States = append(s.States, state)
	}
	return s
}

func (m *Mesh) sightingsLimit(toEntries bool) int {
	switch {
	case !m.isPartial():
		return fullSightings
	case toEntries:
		return partialSightings
	default:
		return partialIntroductions
	}
}

// nextSightings returns the live members that the next heartbeat names. Without a full mesh these are
// newcomers, so that all processes soon know them; the entries whose newest heartbeats are the
// youngest and were not named yet, so that each heartbeat reaches all processes in a few hops; and
// some others at random.
func (m *Mesh) nextSightings(limit int) []*Member {
	if !m.isPartial() || limit <= 0 {
		return m.randomLive(limit)
	}
	next, others := m.namedNewcomers(limit)
	var fresh, rest []*Member
	for _, member := range others {
		if member.LastSeen.After(member.named) {
			fresh = append(fresh, member)
		} else {
			rest = append(rest, member)
		}
	}
	slices.SortFunc(fresh, func(a, b *Member) int { return b.LastSeen.Compare(a.LastSeen) })
	limit -= len(next)
	young := min(len(fresh), int(youngShare*float64(limit)))
	rest = append(rest, fresh[young:]...)
	shuffle(rest)
	next = append(append(next, fresh[:young]...), rest[:min(len(rest), limit-young)]...)
	for _, member := range next {
		member.named = member.LastSeen
	}
	return next
}

// namedNewcomers returns some of the newcomers among the live entries, as many as a heartbeat of
// limit entries names, and all other live entries.
func (m *Mesh) namedNewcomers(limit int) (newcomers, others []*Member) {
	now := m.options.Now()
	m.eachLive(true, func(member *Member) {
		if now.Sub(member.AliveSince) < newcomerPeriod {
			newcomers = append(newcomers, member)
		} else {
			others = append(others, member)
		}
	})
	shuffle(newcomers)
	n := min(len(newcomers), int(newcomerShare*float64(limit)))
	return newcomers[:n:n], append(others, newcomers[n:]...)
}

func shuffle(members []*Member) {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}

// randomLive returns some live members from which this process receives heartbeats.
func (m *Mesh) randomLive(limit int) []*Member {
	var some []*Member
	for _, member := range m.members { // map iteration order is random
		if len(some) >= limit {
			break
		}
		if member.Heartbeat != nil && m.isLive(member) {
			some = append(some, member)
		}
	}
	return some
}

// applySightings updates the members with what another process knows of them.
//
// In a full mesh a sighting only introduces an address, since a process that this one does not hear
// itself may be separated from it.
func (m *Mesh) applySightings(s *peerv1.PeerSightings) {
	if s == nil || len(s.Incarnations) != len(s.Addresses) || len(s.States) != len(s.Addresses) {
		return
	}
	for i, a := range s.Addresses {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8), byte(a)}), m.options.Listen.Port())
		if address == m.options.Listen {
			continue
		}
		m.applySighting(address, s.Incarnations[i], s.States[i])
	}
}

func (m *Mesh) applySighting(address netip.AddrPort, shortIncarnation, state uint32) {
	entry := state&stateEntry != 0
	now, timeout := m.options.Now(), m.heartbeatTimeout(entry)
	seen := now.Add(-time.Duration(state>>stateBits) * sightingUnit)
	member := m.members[address]
	if member == nil {
		member = &Member{Address: address, Entry: entry, LastSeen: now.Add(-timeout)}
		m.members[address] = member
	}
	if !entry || !m.isPartial() || now.Sub(seen) >= timeout || !seen.After(member.LastSeen) {
		return
	}
	if member.shortIncarnation != shortIncarnation || !m.isLive(member) {
		if m.isLive(member) {
			return // the sighting may be of an earlier incarnation
		}
		met := !member.AliveSince.IsZero()
		member.shortIncarnation, member.AliveSince, member.silent, member.Leaving = shortIncarnation, now, false, false
		m.logHeard(member, met)
	}
	member.LastSeen = seen
	member.Leaving = member.Leaving || state&stateStopping != 0
}
