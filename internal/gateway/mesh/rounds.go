package mesh

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
)

const (
	// FanOut is the maximum number of receivers of a broadcast. The other processes get the update
	// from those that were reached.
	FanOut = 24
)

// sendRound sends a heartbeat to the members of a role. The sidecars' round also goes to hosts
// without a known process.
func (m *Mesh) sendRound(entries bool) {
	m.expireMembers()
	var to []netip.AddrPort
	for _, member := range m.members {
		if member.Entry == entries {
			to = append(to, member.Address)
		}
	}
	if len(to) > m.options.RoundSize(entries) {
		to = m.nextReceivers(entries, to)
	}
	if !entries {
		m.introductions = 0
		to = append(to, m.unknownHosts()...)
	}
	m.sendFull(to, entries)
	if entries {
		m.answers = 0
		m.probeOverdue()
	}
}

// nextReceivers returns the receivers of this round, up to the size of a round. It goes through all members
// in a random order before it starts again, so that none is left out for several rounds.
func (m *Mesh) nextReceivers(entries bool, all []netip.AddrPort) []netip.AddrPort {
	due := m.pendingReceivers[entries]
	if len(due) == 0 {
		due = all
		rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	}
	n := min(m.options.RoundSize(entries), len(due))
	m.pendingReceivers[entries] = due[n:]
	return due[:n:n]
}

// Broadcast sends a heartbeat to the live processes at once, for changes that should not wait
// for the next round.
func (m *Mesh) Broadcast() {
	var to []netip.AddrPort
	for _, member := range m.members {
		if m.isLive(member) {
			to = append(to, member.Address)
		}
	}
	m.sendFull(sample(to, FanOut), false)
}

// BroadcastToEntries sends live entries, at most as many as receivers, a partial heartbeat with only what fill adds.
func (m *Mesh) BroadcastToEntries(receivers int, fill func(*peerv1.Beat)) {
	var to []netip.AddrPort
	for _, member := range m.members {
		if member.Entry && m.isLive(member) {
			to = append(to, member.Address)
		}
	}
	m.sendHeartbeat(sample(to, receivers), func(heartbeat *peerv1.Beat) {
		heartbeat.Partial, heartbeat.Name, heartbeat.Zone = true, "", ""
		fill(heartbeat)
	})
}

// Introduce sends a heartbeat to the hosts without a known process. A process that has just
// started thus learns of the others within a round trip.
func (m *Mesh) Introduce() { m.sendFull(m.unknownHosts(), false) }

// introduceTo sends a heartbeat to a member that was heard and has not been sent any yet. It may
// know this process's earlier incarnation only. In fleets without a full mesh nothing depends on it,
// and a new process hears hundreds of others, perhaps before it knows the size of the fleet.
func (m *Mesh) introduceTo(member *Member) {
	if !member.introduced && !m.isPartial() && m.introductions < m.options.RoundSize(false) {
		m.introductions++
		m.sendFull([]netip.AddrPort{member.Address}, false)
	}
}

// SendTo sends one process a full heartbeat with what fill adds. The receiver may not know this
// process yet.
func (m *Mesh) SendTo(to netip.AddrPort, fill func(*peerv1.Beat)) {
	m.sendHeartbeat([]netip.AddrPort{to}, func(heartbeat *peerv1.Beat) {
		m.options.Compose(heartbeat)
		fill(heartbeat)
	})
}

// unknownHosts returns the addresses of some configured hosts without a known process, as many as
// a round has receivers. In a full mesh these include hosts that another process has named and that
// were not sent a heartbeat yet.
func (m *Mesh) unknownHosts() []netip.AddrPort {
	unknown := map[netip.AddrPort]bool{}
	for _, host := range append(m.options.Hosts(), m.options.Seeds...) {
		address := netip.AddrPortFrom(host, m.options.Listen.Port())
		member := m.members[address]
		if address != m.options.Listen && (member == nil || !member.introduced && !m.isPartial()) {
			unknown[address] = true
		}
	}
	return sample(slices.Collect(maps.Keys(unknown)), m.options.RoundSize(false))
}

// sample returns n random addresses, or all of them if there are no more.
func sample(addresses []netip.AddrPort, n int) []netip.AddrPort {
	if len(addresses) <= n {
		return addresses
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:n]
}

// sendFull sends a full heartbeat. toEntries is set if all receivers are entries.
func (m *Mesh) sendFull(to []netip.AddrPort, toEntries bool) {
	m.sendHeartbeat(to, func(heartbeat *peerv1.Beat) {
		m.options.Compose(heartbeat)
		heartbeat.Peers = m.sightings(toEntries, MaxDatagram-proto.Size(heartbeat))
	})
	for _, address := range to {
		if member := m.members[address]; member != nil {
			member.introduced = true
		}
	}
}

func (m *Mesh) sendHeartbeat(to []netip.AddrPort, fill func(*peerv1.Beat)) {
	if len(to) == 0 || m.stopped {
		return
	}
	heartbeat := proto.Clone(m.options.Self).(*peerv1.Beat)
	m.sequence++
	heartbeat.Sequence = m.sequence
	fill(heartbeat)
	data, err := proto.Marshal(heartbeat)
	if err != nil || len(data) > MaxDatagram {
		m.options.Logger.Info("heartbeat_not_sent", "bytes", len(data), "error", err)
		return
	}
	for _, address := range to {
		// A datagram that cannot be sent counts as lost. The next round sends another.
		m.write(data, address)
	}
}
