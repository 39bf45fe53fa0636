// Package mesh exchanges membership and state between the processes of a deployment.
//
// Processes send each other small, frequent heartbeats as datagrams, any of which may be lost.
// Data that does not fit into a datagram is fetched by an RPC.
package mesh

import (
	"cmp"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/datagram"
)

const (
	// MaxDatagram is the maximum size of a heartbeat, which fits into one Ethernet packet.
	// Larger ones are not sent.
	MaxDatagram = 1400
	// minHeartbeatTimeout is the shortest time without a heartbeat after which a process is no
	// longer considered live.
	minHeartbeatTimeout = 2500 * time.Millisecond
	// memberRetention is how long heartbeats are still sent to a process that sends none. A
	// network partition may separate it.
	memberRetention = 30 * time.Second
	// FanOut is the maximum number of receivers of a round. In larger fleets successive rounds
	// go to different processes, so that each is reached once per rotation.
	FanOut = 24
	// missedRotations is the number of rotations without a heartbeat after which a process in
	// a large fleet is no longer considered live. It tolerates lost datagrams.
	missedRotations = 3
	// maxReceivers is the maximum number of datagrams of one broadcast. The other processes
	// get the update from those that were reached.
	maxReceivers = FanOut
	// gossipMembers is the number of other processes whose addresses a heartbeat includes.
	gossipMembers = 3
)

// Member is another process.
type Member struct {
	Address     netip.AddrPort
	Name        string
	Zone        string
	Entry       bool
	Leaving     bool
	Incarnation uint64
	Sequence    uint64
	LastSeen    time.Time
	// AliveSince is when the first heartbeat of this incarnation, or the first one after a
	// heartbeat timeout, was received.
	AliveSince time.Time
	// StoppingSince is when the process first announced that it stops; zero if it has not.
	StoppingSince time.Time
	// Heartbeat is the newest heartbeat received.
	Heartbeat *peerv1.Beat
}

// Options configure a Mesh. The functions are called on the control thread.
type Options struct {
	// Self is the template of this process's heartbeats.
	Self *peerv1.Beat
	// Listen is the address that receives heartbeats. All processes use the same port.
	Listen netip.AddrPort
	// Seeds are hosts on which other processes may run.
	Seeds []netip.Addr
	// Hosts returns further hosts on which other processes may run.
	Hosts func() []netip.Addr
	// Compose fills in the state that this process announces.
	Compose func(*peerv1.Beat)
	// OnHeartbeat is called for each heartbeat that is newer than the last of its sender.
	OnHeartbeat func(*Member)
	// Period returns the time between rounds to the entries or to the sidecars.
	Period func(entries bool) time.Duration
	Logger logr.Logger
	Now    func() time.Time
}

// Mesh sends and receives this process's heartbeats. Its state is used on the control thread.
type Mesh struct {
	loop     *control.Loop
	options  Options
	conn     *net.UDPConn
	members  map[netip.AddrPort]*Member
	sequence uint64
	stopped  bool
	// sameRole is the number of members with this process's role, as of the last round.
	sameRole int
	// pendingReceivers holds, by role, the members that the current rotation has yet to reach.
	pendingReceivers map[bool][]netip.AddrPort
}

// New returns a mesh that listens on options.Listen.
func New(loop *control.Loop, options Options) (*Mesh, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(options.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "mesh")
	}
	return &Mesh{loop: loop, options: options, conn: conn, members: map[netip.AddrPort]*Member{}, pendingReceivers: map[bool][]netip.AddrPort{}}, nil
}

// Start starts sending and receiving heartbeats.
func (m *Mesh) Start() {
	go m.receive()
	m.loop.Every(func() time.Duration { return m.options.Period(true) }, func() { m.sendRound(true) })
	m.loop.Every(func() time.Duration { return m.options.Period(false) }, func() { m.sendRound(false) })
}

// Close closes the socket.
func (m *Mesh) Close() { _ = m.conn.Close() }

func (m *Mesh) receive() {
	datagram.Receive(m.conn, MaxDatagram, func(data []byte, from netip.AddrPort) {
		heartbeat := &peerv1.Beat{}
		if proto.Unmarshal(data, heartbeat) == nil {
			m.loop.Post(func() { m.handleHeartbeat(from, heartbeat) })
		}
	})
}

// handleHeartbeat processes a received heartbeat. It ignores one that arrives after a newer one,
// which would restore outdated state.
func (m *Mesh) handleHeartbeat(from netip.AddrPort, heartbeat *peerv1.Beat) {
	member := m.members[from]
	if member != nil && member.Incarnation == heartbeat.Incarnation && member.Sequence >= heartbeat.Sequence {
		return
	}
	if heartbeat.Partial && (member == nil || member.Incarnation != heartbeat.Incarnation) {
		return // the first full heartbeat of this incarnation has not arrived yet
	}
	isNew := member == nil || m.options.Now().Sub(member.LastSeen) > m.heartbeatTimeout(member.Entry) || member.Incarnation != heartbeat.Incarnation
	if isNew {
		m.options.Logger.Info("peer_heard", "peer", heartbeat.Name, "address", from, "entry", heartbeat.Entry, "incarnation", heartbeat.Incarnation)
	}
	if member == nil {
		member = &Member{Address: from}
		m.members[from] = member
	}
	if isNew {
		member.AliveSince = m.options.Now()
	}
	if !heartbeat.Partial {
		member.setStopping(heartbeat.Leaving, m.options.Now())
		member.Name, member.Zone, member.Entry, member.Leaving = heartbeat.Name, heartbeat.Zone, heartbeat.Entry, heartbeat.Leaving
	}
	member.Incarnation, member.Sequence = heartbeat.Incarnation, heartbeat.Sequence
	member.LastSeen, member.Heartbeat = m.options.Now(), heartbeat
	for _, text := range heartbeat.Members {
		if address, err := netip.ParseAddrPort(text); err == nil && address != m.options.Listen && m.members[address] == nil {
			m.members[address] = &Member{Address: address, LastSeen: m.options.Now().Add(-m.heartbeatTimeout(false))}
		}
	}
	m.options.OnHeartbeat(member)
}

func (m *Member) setStopping(stopping bool, now time.Time) {
	switch {
	case !stopping:
		m.StoppingSince = time.Time{}
	case m.StoppingSince.IsZero():
		m.StoppingSince = now
	}
}

// SetSeeds replaces the hosts on which other processes may run. It runs on the
// control thread.
func (m *Mesh) SetSeeds(seeds []netip.Addr) { m.options.Seeds = seeds }

// Live returns the live entries or the live sidecars, sorted by name.
func (m *Mesh) Live(entries bool) []*Member {
	var live []*Member
	within, now := m.heartbeatTimeout(entries), m.options.Now()
	for _, member := range m.members {
		if member.Heartbeat != nil && member.Entry == entries && now.Sub(member.LastSeen) <= within {
			live = append(live, member)
		}
	}
	slices.SortFunc(live, func(a, b *Member) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// LiveCount returns the number of live entries or of live sidecars.
func (m *Mesh) LiveCount(entries bool) int {
	count, within, now := 0, m.heartbeatTimeout(entries), m.options.Now()
	for _, member := range m.members {
		if member.Heartbeat != nil && member.Entry == entries && now.Sub(member.LastSeen) <= within {
			count++
		}
	}
	return count
}

// EntryRank returns the number of live entries that are not stopping and whose names sort before
// name.
func (m *Mesh) EntryRank(name string) int {
	rank, within, now := 0, m.heartbeatTimeout(true), m.options.Now()
	for _, member := range m.members {
		if member.Entry && !member.Leaving && member.Name < name && member.Heartbeat != nil && now.Sub(member.LastSeen) <= within {
			rank++
		}
	}
	return rank
}

// Known returns the number of known processes of a role that are not stopping, and how many of
// them have sent no heartbeat for half the heartbeat timeout.
func (m *Mesh) Known(entries bool) (known, overdue int) {
	for _, member := range m.members {
		if member.Heartbeat == nil || member.Entry != entries || !member.StoppingSince.IsZero() {
			continue
		}
		known++
		if m.options.Now().Sub(member.LastSeen) > m.heartbeatTimeout(entries)/2 {
			overdue++
		}
	}
	return known, overdue
}

// isLive reports whether a member's heartbeat timeout has not expired.
func (m *Mesh) isLive(member *Member) bool {
	return m.options.Now().Sub(member.LastSeen) <= m.heartbeatTimeout(member.Entry)
}

// heartbeatTimeout returns how long a process of a role is considered live after its last
// heartbeat. It grows with the number of rounds in a rotation through this process's role.
func (m *Mesh) heartbeatTimeout(entry bool) time.Duration {
	rounds := (m.sameRole + FanOut) / FanOut
	return max(minHeartbeatTimeout, missedRotations*time.Duration(rounds)*m.options.Period(entry))
}

// ByAddress returns the member at an address, or nil.
func (m *Mesh) ByAddress(address netip.AddrPort) *Member { return m.members[address] }

// sendRound sends a heartbeat to the members of a role. The sidecars' round also goes to hosts
// without a known process.
func (m *Mesh) sendRound(entries bool) {
	m.expireMembers()
	var to []netip.AddrPort
	for _, member := range m.members {
		if member.Heartbeat == nil && !entries || member.Heartbeat != nil && member.Entry == entries {
			to = append(to, member.Address)
		}
	}
	if len(to) > FanOut {
		to = m.nextReceivers(entries, to)
	}
	if !entries {
		to = append(to, m.unknownHosts()...)
	}
	m.sendFull(to)
}

// nextReceivers returns the receivers of this round, up to FanOut. It goes through all members
// in a random order before it starts again, so that none is left out for several rounds.
func (m *Mesh) nextReceivers(entries bool, all []netip.AddrPort) []netip.AddrPort {
	due := m.pendingReceivers[entries]
	if len(due) == 0 {
		due = all
		rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	}
	n := min(FanOut, len(due))
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
	m.sendFull(to)
}

// BroadcastToEntries sends the live entries a partial heartbeat with only what fill adds.
func (m *Mesh) BroadcastToEntries(fill func(*peerv1.Beat)) {
	var to []netip.AddrPort
	for _, member := range m.members {
		if member.Entry && m.isLive(member) {
			to = append(to, member.Address)
		}
	}
	m.sendHeartbeat(to, func(heartbeat *peerv1.Beat) {
		heartbeat.Partial, heartbeat.Name, heartbeat.Zone = true, "", ""
		fill(heartbeat)
	})
}

// Introduce sends a heartbeat to the hosts without a known process. A process that has just
// started thus learns of the others within a round trip.
func (m *Mesh) Introduce() { m.sendFull(m.unknownHosts()) }

// SendTo sends one process a full heartbeat with what fill adds. The receiver may not know this
// process yet.
func (m *Mesh) SendTo(to netip.AddrPort, fill func(*peerv1.Beat)) {
	m.sendHeartbeat([]netip.AddrPort{to}, func(heartbeat *peerv1.Beat) {
		m.options.Compose(heartbeat)
		fill(heartbeat)
	})
}

// unknownHosts returns the addresses of configured hosts without a known process.
func (m *Mesh) unknownHosts() []netip.AddrPort {
	var to []netip.AddrPort
	for _, host := range append(m.options.Hosts(), m.options.Seeds...) {
		address := netip.AddrPortFrom(host, m.options.Listen.Port())
		if address != m.options.Listen && m.members[address] == nil && !slices.Contains(to, address) {
			to = append(to, address)
		}
	}
	return to
}

func (m *Mesh) expireMembers() {
	m.sameRole = 0
	for address, member := range m.members {
		silence := m.options.Now().Sub(member.LastSeen)
		if member.Entry == m.options.Self.Entry {
			m.sameRole++
		}
		if silence > memberRetention {
			delete(m.members, address)
			continue
		}
		if silence > m.heartbeatTimeout(member.Entry) && member.Heartbeat != nil && member.Name != "" && !member.Leaving {
			member.Leaving = true // log the event once
			m.options.Logger.Info("peer_silent", "peer", member.Name, "address", address, "silent_for", silence)
		}
	}
}

// sendFull sends a full heartbeat.
func (m *Mesh) sendFull(to []netip.AddrPort) {
	m.sendHeartbeat(to, func(heartbeat *peerv1.Beat) {
		heartbeat.Members = m.sampleMembers()
		m.options.Compose(heartbeat)
	})
}

func (m *Mesh) sendHeartbeat(to []netip.AddrPort, fill func(*peerv1.Beat)) {
	if len(to) == 0 || m.stopped {
		return
	}
	if len(to) > maxReceivers {
		rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		to = to[:maxReceivers]
	}
	heartbeat := proto.Clone(m.options.Self).(*peerv1.Beat)
	m.sequence++
	heartbeat.Sequence = m.sequence
	fill(heartbeat)
	data, err := proto.Marshal(heartbeat)
	if err != nil || len(data) > MaxDatagram {
		m.options.Logger.Info("beat_not_sent", "bytes", len(data), "error", err)
		return
	}
	for _, address := range to {
		// A datagram that cannot be sent counts as lost. The next round sends another.
		_, _ = m.conn.WriteToUDPAddrPort(data, address)
	}
}

func (m *Mesh) sampleMembers() []string {
	var addresses []string
	for address, member := range m.members { // map iteration order is random
		if len(addresses) == gossipMembers {
			break
		}
		if member.Heartbeat != nil && m.isLive(member) {
			addresses = append(addresses, address.String())
		}
	}
	return addresses
}
