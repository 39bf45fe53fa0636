// Package mesh exchanges membership and state between the processes of a deployment.
//
// Processes send each other small, frequent heartbeats as datagrams, any of which may be lost.
// Data that does not fit into a datagram is fetched by an RPC.
package mesh

import (
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/datagram"
	"github.com/toucanwell/toucanwell/internal/gateway/asof"
)

const (
	// MaxDatagram is the maximum size of a heartbeat, which fits into one Ethernet packet.
	// Larger ones are not sent.
	MaxDatagram = 1400
)

// Member is another process.
type Member struct {
	Address netip.AddrPort
	// Name and Zone are empty until a heartbeat of the process itself was received, and so is
	// Incarnation.
	Name string
	Zone string
	// Entry is set for entries, Leaving while the process is shutting down.
	Entry       bool
	Leaving     bool
	Incarnation uint64
	Sequence    uint64
	// LastSeen is when the newest heartbeat was processed, by this process or by another one that
	// reported it. A process that was stopped takes those that waited for it as signs of life: otherwise it
	// would count all others as dead until their next ones.
	LastSeen time.Time
	// AliveSince is when this process first learned that this incarnation is live, or that it is
	// live again after a heartbeat timeout; zero if it never was.
	AliveSince time.Time
	// StoppingSince is when the process first announced that it stops; zero if it has not.
	StoppingSince time.Time
	// Heartbeat is the newest heartbeat received; nil if only other processes have received one.
	Heartbeat *peerv1.Beat
	// Receipt is that of the newest heartbeat.
	Receipt asof.Receipt
	// shortIncarnation is the low half of Incarnation, which sightings include.
	shortIncarnation uint32
	// named is LastSeen as it was when a heartbeat of this process last named the member.
	named time.Time
	// introduced is set once a full heartbeat was sent to this incarnation, or to an address whose
	// process has not been heard yet.
	introduced bool
	// silent is set once the heartbeat timeout was logged.
	silent bool
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
	// OnReceived is called for each heartbeat as it arrives, on the receiving goroutine: the control thread may be late.
	OnReceived func(from netip.AddrPort, heartbeat *peerv1.Beat)
	// OnOrigin is called for each message about the starts of streams, on the receiving goroutine.
	OnOrigin func(from netip.AddrPort, m *peerv1.OriginMessage)
	// Period returns the time between rounds to the entries or to the sidecars.
	Period func(entries bool) time.Duration
	// RoundSize returns the maximum number of receivers of a round to the entries or to the sidecars.
	// In larger fleets successive rounds go to different processes, so that each is reached once
	// per rotation.
	RoundSize func(entries bool) int
	Logger    logr.Logger
	Now       func() time.Time
}

// Mesh sends and receives this process's heartbeats. Its state is used on the control thread.
type Mesh struct {
	loop    *control.Loop
	options Options
	conn    *net.UDPConn
	// write sends a datagram.
	write    func(data []byte, to netip.AddrPort)
	members  map[netip.AddrPort]*Member
	sequence uint64
	// introductions counts the heartbeats that introduceTo has sent since the last round.
	introductions int
	// answers counts the heartbeats that answerProbe has sent since the last round to the entries.
	answers int
	stopped bool
	// sameRole is the number of members with this process's role, knownEntries that of entries, as
	// of the last round.
	sameRole, knownEntries int
	// fullMeshSize is the number of entries up to which each hears all others directly.
	fullMeshSize int
	// pendingReceivers holds, by role, the members that the current rotation has yet to reach.
	pendingReceivers map[bool][]netip.AddrPort
}

// New returns a mesh that listens on options.Listen.
func New(loop *control.Loop, options Options) (*Mesh, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(options.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "mesh")
	}
	write := func(data []byte, to netip.AddrPort) { _, _ = conn.WriteToUDPAddrPort(data, to) }
	return &Mesh{loop: loop, options: options, conn: conn, write: write, members: map[netip.AddrPort]*Member{}, pendingReceivers: map[bool][]netip.AddrPort{}, fullMeshSize: FanOut}, nil
}

// Start starts sending and receiving heartbeats.
func (m *Mesh) Start() {
	go m.receive()
	m.loop.Every(func() time.Duration { return m.options.Period(true) }, func() { m.sendRound(true) })
	m.loop.Every(func() time.Duration { return m.options.Period(false) }, func() { m.sendRound(false) })
}

// SendOrigin sends a process a message about the starts of streams. It may be called on any goroutine.
func (m *Mesh) SendOrigin(to netip.AddrPort, o *peerv1.OriginMessage) {
	data, err := proto.Marshal(&peerv1.Beat{Origin: o})
	if err == nil && len(data) <= MaxDatagram {
		m.write(data, to) // a datagram that cannot be sent counts as lost
	}
}

// Close closes the socket.
func (m *Mesh) Close() { _ = m.conn.Close() }

func (m *Mesh) receive() {
	datagram.ReceiveTimed(m.conn, MaxDatagram, m.options.Now, func(data []byte, from netip.AddrPort, idle time.Time) {
		heartbeat := &peerv1.Beat{}
		if proto.Unmarshal(data, heartbeat) != nil {
			return
		}
		if heartbeat.Origin != nil {
			m.options.OnOrigin(from, heartbeat.Origin)
		} else {
			m.options.OnReceived(from, heartbeat)
			m.loop.Post(func() { m.handleHeartbeat(from, heartbeat, asof.Message(idle, m.options.Now())) })
		}
	})
}

// handleHeartbeat processes a received heartbeat. It ignores one that arrives after a newer one,
// which would restore outdated state.
func (m *Mesh) handleHeartbeat(from netip.AddrPort, heartbeat *peerv1.Beat, receipt asof.Receipt) {
	if heartbeat.Probe {
		m.answerProbe(from)
	}
	member := m.members[from]
	if member != nil && member.Incarnation == heartbeat.Incarnation && member.Sequence >= heartbeat.Sequence {
		return
	}
	if heartbeat.Partial && (member == nil || member.Incarnation != heartbeat.Incarnation) {
		return // the first full heartbeat of this incarnation has not arrived yet
	}
	now, met := receipt.At, member != nil
	if member == nil {
		member = &Member{Address: from}
		m.members[from] = member
	}
	if member.Incarnation != heartbeat.Incarnation && member.Incarnation != 0 {
		member.introduced = false
	}
	alive := member.shortIncarnation == uint32(heartbeat.Incarnation) && m.isLive(member)
	if !heartbeat.Partial {
		member.setStopping(heartbeat.Leaving, now)
		member.Name, member.Zone, member.Entry, member.Leaving = heartbeat.Name, heartbeat.Zone, heartbeat.Entry, heartbeat.Leaving
	}
	member.Incarnation, member.shortIncarnation, member.Sequence = heartbeat.Incarnation, uint32(heartbeat.Incarnation), heartbeat.Sequence
	if !alive {
		member.AliveSince, member.silent = now, false
		m.logHeard(member, met)
	}
	member.LastSeen, member.Heartbeat, member.Receipt = now, heartbeat, receipt
	m.applySightings(heartbeat.Peers)
	m.options.OnHeartbeat(member)
	m.introduceTo(member)
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

// ByAddress returns the member at an address, or nil.
func (m *Mesh) ByAddress(address netip.AddrPort) *Member { return m.members[address] }
