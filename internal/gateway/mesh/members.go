package mesh

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// minHeartbeatTimeout is the shortest time without a heartbeat after which a process is no
	// longer considered live.
	minHeartbeatTimeout = 2500 * time.Millisecond
	// memberRetention is how long heartbeats are still sent to a process that is no longer
	// considered live. A network partition may separate it.
	memberRetention = 30 * time.Second
	// missedRotations is the number of rotations without a heartbeat after which a process that
	// sends to its receivers in turn is no longer considered live. It tolerates lost datagrams.
	missedRotations = 3
	// missedSightings is how many times as long as an entry's next sighting takes on average it
	// may take before the entry is no longer considered live. Sightings arrive at random.
	missedSightings = 8
	// sightingDelay is the typical age of a process's newest heartbeat when it has been passed
	// on to all others.
	sightingDelay = time.Second
)

// Live returns the live entries or the live sidecars, sorted by address.
func (m *Mesh) Live(entries bool) []*Member {
	var live []*Member
	m.eachLive(entries, func(member *Member) { live = append(live, member) })
	slices.SortFunc(live, func(a, b *Member) int { return a.Address.Compare(b.Address) })
	return live
}

// LiveCount returns the number of live entries or of live sidecars.
func (m *Mesh) LiveCount(entries bool) int {
	count := 0
	m.eachLive(entries, func(*Member) { count++ })
	return count
}

// AnyEntry returns the address of a random live entry that is not stopping.
func (m *Mesh) AnyEntry() (netip.AddrPort, bool) {
	var found []netip.AddrPort
	m.eachLive(true, func(member *Member) {
		if !member.Leaving {
			found = append(found, member.Address)
		}
	})
	if len(found) == 0 {
		return netip.AddrPort{}, false
	}
	return found[rand.IntN(len(found))], true
}

// EntryRank returns the number of live entries that are not stopping and whose addresses precede
// this process's.
func (m *Mesh) EntryRank() int {
	rank := 0
	m.eachLive(true, func(member *Member) {
		if !member.Leaving && member.Address.Compare(m.options.Listen) < 0 {
			rank++
		}
	})
	return rank
}

// ReaderRank returns the number of live entries that are not stopping and that precede this process in an order
// which all processes share. It follows neither the addresses nor the zones, whose processes often fail together.
func (m *Mesh) ReaderRank() int {
	rank, own := 0, readerOrder(m.options.Listen)
	m.eachLive(true, func(member *Member) {
		if !member.Leaving && readerOrder(member.Address) < own {
			rank++
		}
	})
	return rank
}

// readerOrder returns the place of an address in the order of ReaderRank. Its steps are invertible, so that no two
// addresses with the same port have the same place.
func readerOrder(address netip.AddrPort) uint32 {
	b := address.Addr().As4()
	x := binary.BigEndian.Uint32(b[:])
	x = (x ^ x>>16) * 0x7feb352d
	x = (x ^ x>>15) * 0x846ca68b
	return x ^ x>>16
}

func (m *Mesh) eachLive(entries bool, visit func(*Member)) {
	within, now := m.heartbeatTimeout(entries), m.options.Now()
	for _, member := range m.members {
		if member.Entry == entries && now.Sub(member.LastSeen) < within {
			visit(member)
		}
	}
}

// Known returns the number of known processes of a role that are not stopping, and how many of
// them have not been seen for half the heartbeat timeout.
func (m *Mesh) Known(entries bool) (known, overdue int) {
	within, now := m.heartbeatTimeout(entries), m.options.Now()
	for _, member := range m.members {
		if member.AliveSince.IsZero() || member.Entry != entries || member.Leaving {
			continue
		}
		known++
		if now.Sub(member.LastSeen) > within/2 {
			overdue++
		}
	}
	return known, overdue
}

// isLive reports whether a member's heartbeat timeout has not expired.
func (m *Mesh) isLive(member *Member) bool {
	return m.options.Now().Sub(member.LastSeen) < m.heartbeatTimeout(member.Entry)
}

// isPartial reports whether there are too many entries for each to send to all others in one round.
// Processes then learn from sightings which entries are live.
func (m *Mesh) isPartial() bool { return m.knownEntries > m.fullMeshSize }

// heartbeatTimeout returns how long a process of a role is considered live after its last
// heartbeat.
//
// It grows with the number of rounds in a rotation of the sender or, with sightings, with the
// average time until the next one. That is shorter by the number of sightings in a heartbeat,
// so that in a fleet of hundreds of entries a dead one is detected within seconds.
func (m *Mesh) heartbeatTimeout(entry bool) time.Duration {
	period := m.options.Period(entry)
	if entry && m.isPartial() {
		perRound := m.options.RoundSize(true) * partialSightings
		return max(minHeartbeatTimeout, sightingDelay+missedSightings*period*time.Duration(m.knownEntries)/time.Duration(perRound))
	}
	size := m.options.RoundSize(m.options.Self.Entry)
	rounds := (m.sameRole + size) / size
	return max(minHeartbeatTimeout, missedRotations*time.Duration(rounds)*period)
}

// expireMembers logs which members are no longer live and forgets those that have been silent for
// long. A member is never forgotten before it counts as dead.
func (m *Mesh) expireMembers() {
	m.sameRole, m.knownEntries = 0, 0
	for _, member := range m.members {
		if member.Entry == m.options.Self.Entry {
			m.sameRole++
		}
		if member.Entry {
			m.knownEntries++
		}
	}
	timeout := map[bool]time.Duration{true: m.heartbeatTimeout(true), false: m.heartbeatTimeout(false)}
	now := m.options.Now()
	for address, member := range m.members {
		silence := now.Sub(member.LastSeen)
		if silence > timeout[member.Entry]+memberRetention {
			delete(m.members, address)
			continue
		}
		if silence >= timeout[member.Entry] && !member.AliveSince.IsZero() && !member.Leaving && !member.silent {
			member.silent = true
			m.logSilent(member, silence)
		}
	}
}

// logSilent logs that a member is no longer considered live. Without a full mesh nothing depends on
// the liveness of a single sidecar.
func (m *Mesh) logSilent(member *Member, silence time.Duration) {
	if member.Entry || !m.isPartial() {
		m.options.Logger.Info("peer_silent", "peer", cmp.Or(member.Name, "unnamed"), "address", member.Address, "silent_for", silence)
	}
}

// logHeard logs that a member is live: on the first heartbeat of each incarnation, or after silence.
// Without a full mesh the members that a process meets for the first time are not logged one by one.
func (m *Mesh) logHeard(member *Member, met bool) {
	if !m.isPartial() || member.Entry && met {
		m.options.Logger.Info("peer_live", "peer", cmp.Or(member.Name, "unnamed"), "address", member.Address, "entry", member.Entry, "incarnation", member.Incarnation)
	}
}
