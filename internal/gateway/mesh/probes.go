package mesh

import (
	"net/netip"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
)

// overdueShare is the share of the heartbeat timeout after which an entry is asked for a heartbeat.
// Sightings arrive at random: among hundreds of entries some pairs hear nothing of each other for the
// whole timeout, although both are live.
const overdueShare = 0.6

// probeOverdue asks entries that have been silent for long for a heartbeat, as many as a round has
// receivers. Dead ones don't answer, and the timeout does not wait for them.
func (m *Mesh) probeOverdue() {
	if !m.options.Self.Entry || !m.isPartial() {
		return
	}
	now, timeout := m.options.Now(), m.heartbeatTimeout(true)
	var overdue []netip.AddrPort
	m.eachLive(true, func(member *Member) {
		if silence := now.Sub(member.LastSeen); !member.Leaving && float64(silence) > overdueShare*float64(timeout) {
			overdue = append(overdue, member.Address)
		}
	})
	m.sendHeartbeat(sample(overdue, m.options.RoundSize(true)), func(heartbeat *peerv1.Beat) {
		heartbeat.Partial, heartbeat.Name, heartbeat.Zone = true, "", ""
		heartbeat.Probe = true
	})
}

// answerProbe sends a full heartbeat to a process that asked for one. The other may know this process
// from sightings only.
func (m *Mesh) answerProbe(to netip.AddrPort) {
	if m.answers >= m.options.RoundSize(true) {
		return
	}
	m.answers++
	m.SendTo(to, func(*peerv1.Beat) {})
}
