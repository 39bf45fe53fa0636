// Package mesh lets the processes of a deployment hear of each other: who
// lives, what each knows, and what each does.
//
// Processes send each other heartbeats as datagrams, which are small, frequent
// and may be lost. What is too large for one is fetched by a call.
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
	// MaxDatagram bounds a heartbeat; longer ones are not sent. It fits into one
	// packet of an Ethernet network.
	MaxDatagram = 1400
	// liveFor is how long a process counts as living after its last heartbeat.
	liveFor = 2500 * time.Millisecond
	// forgetAfter is how long a silent process is still sent heartbeats: it may
	// be cut off and come back.
	forgetAfter = 30 * time.Second
	// FanOut bounds the receivers of one round. In larger fleets rounds go to one part
	// of the processes after the other, so that each is reached by every so many.
	FanOut = 24
	// missedRotations is how many times a process that sends to so many as this one may
	// fail to be heard before it counts as silent: a datagram is lost now and then.
	missedRotations = 3
	// mostReceivers bounds the datagrams that are sent at once, when something has
	// changed or a process has just started: who is left out hears of it from the others.
	mostReceivers = FanOut
	// toldMembers is how many other processes a heartbeat names.
	toldMembers = 3
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
	// Since is when this life of the process was first heard, or heard again after
	// it had been silent.
	AliveSince time.Time
	// StopsSince is when the process was first heard to stop; zero while it does
	// not.
	StoppingSince time.Time
	// Beat is the newest heartbeat.
	Heartbeat *peerv1.Beat
}

// Options are a mesh's surroundings. The functions are called on the control
// thread.
type Options struct {
	// Self is this process, without its lists; each heartbeat starts from it.
	Self *peerv1.Beat
	// Listen is where heartbeats arrive; every process has the same port.
	Listen netip.AddrPort
	// Seeds are hosts on which other processes may run.
	Seeds []netip.Addr
	// Hosts returns further hosts on which processes may run.
	Hosts func() []netip.Addr
	// Compose fills in what this process tells of itself.
	Compose func(*peerv1.Beat)
	// Heard is told of each newer heartbeat.
	OnHeartbeat func(*Member)
	// Period returns the time between two rounds to processes of a role.
	Period func(entries bool) time.Duration
	Logger logr.Logger
	Now    func() time.Time
}

// Mesh is this process's part. Its state is used on the control thread.
type Mesh struct {
	loop     *control.Loop
	options  Options
	conn     *net.UDPConn
	members  map[netip.AddrPort]*Member
	sequence uint64
	stopped  bool
	// same is how many members have this process's role, as of the last round.
	same int
	// due are the members of a role that this rotation has not reached yet.
	due map[bool][]netip.AddrPort
}

// New binds the address.
func New(loop *control.Loop, options Options) (*Mesh, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(options.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "mesh")
	}
	return &Mesh{loop: loop, options: options, conn: conn, members: map[netip.AddrPort]*Member{}, due: map[bool][]netip.AddrPort{}}, nil
}

// Start begins to send and to receive.
func (m *Mesh) Start() {
	go m.receive()
	m.loop.Every(func() time.Duration { return m.options.Period(true) }, func() { m.round(true) })
	m.loop.Every(func() time.Duration { return m.options.Period(false) }, func() { m.round(false) })
}

// Close ends receiving.
func (m *Mesh) Close() { _ = m.conn.Close() }

func (m *Mesh) receive() {
	datagram.Receive(m.conn, MaxDatagram, func(data []byte, from netip.AddrPort) {
		beat := &peerv1.Beat{}
		if proto.Unmarshal(data, beat) == nil {
			m.loop.Post(func() { m.hear(from, beat) })
		}
	})
}

// hear takes in a heartbeat. The failure guarded against is an older one that
// comes late: it would bring back what its sender has long taken back.
func (m *Mesh) hear(from netip.AddrPort, beat *peerv1.Beat) {
	member := m.members[from]
	if member != nil && member.Incarnation == beat.Incarnation && member.Sequence >= beat.Sequence {
		return
	}
	if beat.Partial && (member == nil || member.Incarnation != beat.Incarnation) {
		return // its first whole heartbeat follows
	}
	fresh := member == nil || m.options.Now().Sub(member.LastSeen) > m.liveFor(member.Entry) || member.Incarnation != beat.Incarnation
	if fresh {
		m.options.Logger.Info("peer_heard", "peer", beat.Name, "address", from, "entry", beat.Entry, "incarnation", beat.Incarnation)
	}
	if member == nil {
		member = &Member{Address: from}
		m.members[from] = member
	}
	if fresh {
		member.AliveSince = m.options.Now()
	}
	if !beat.Partial {
		member.noteStop(beat.Leaving, m.options.Now())
		member.Name, member.Zone, member.Entry, member.Leaving = beat.Name, beat.Zone, beat.Entry, beat.Leaving
	}
	member.Incarnation, member.Sequence = beat.Incarnation, beat.Sequence
	member.LastSeen, member.Heartbeat = m.options.Now(), beat
	for _, text := range beat.Members {
		if address, err := netip.ParseAddrPort(text); err == nil && address != m.options.Listen && m.members[address] == nil {
			m.members[address] = &Member{Address: address, LastSeen: m.options.Now().Add(-m.liveFor(false))}
		}
	}
	m.options.OnHeartbeat(member)
}

func (m *Member) noteStop(stops bool, now time.Time) {
	switch {
	case !stops:
		m.StoppingSince = time.Time{}
	case m.StoppingSince.IsZero():
		m.StoppingSince = now
	}
}

// SetSeeds replaces the hosts on which other processes may run. It runs on the
// control thread.
func (m *Mesh) SetSeeds(seeds []netip.Addr) { m.options.Seeds = seeds }

// Live returns the living processes of a role, in the order of their names.
func (m *Mesh) Live(entries bool) []*Member {
	var live []*Member
	within := m.liveFor(entries)
	for _, member := range m.members {
		if member.Heartbeat != nil && member.Entry == entries && m.options.Now().Sub(member.LastSeen) <= within {
			live = append(live, member)
		}
	}
	slices.SortFunc(live, func(a, b *Member) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// Known counts the other processes of a role that were heard lately and did not say that
// they stop, and those of them that were not heard for half of the time in which a living
// one is.
func (m *Mesh) Known(entries bool) (known, silent int) {
	for _, member := range m.members {
		if member.Heartbeat == nil || member.Entry != entries || !member.StoppingSince.IsZero() {
			continue
		}
		known++
		if m.options.Now().Sub(member.LastSeen) > m.liveFor(entries)/2 {
			silent++
		}
	}
	return known, silent
}

// lives reports whether a process was heard lately.
func (m *Mesh) lives(member *Member) bool {
	return m.options.Now().Sub(member.LastSeen) <= m.liveFor(member.Entry)
}

// liveFor is how long a process of a role counts as living after its last heartbeat. It
// sends to all processes of this one's role in turn, as many a round as this one does.
func (m *Mesh) liveFor(entry bool) time.Duration {
	rounds := (m.same + FanOut) / FanOut
	return max(liveFor, missedRotations*time.Duration(rounds)*m.options.Period(entry))
}

// At returns the process at an address, or nil.
func (m *Mesh) ByAddress(address netip.AddrPort) *Member { return m.members[address] }

// round sends one heartbeat to the processes of a role, and to the hosts of
// which no process is known.
func (m *Mesh) round(entries bool) {
	m.forget()
	var to []netip.AddrPort
	for _, member := range m.members {
		if member.Heartbeat == nil && !entries || member.Heartbeat != nil && member.Entry == entries {
			to = append(to, member.Address)
		}
	}
	if len(to) > FanOut {
		to = m.nextDue(entries, to)
	}
	if !entries {
		to = append(to, m.unheard()...)
	}
	m.send(to)
}

// nextDue returns the members that this round goes to.
//
// The failure guarded against: drawn anew for each round, one in four of the processes is
// not reached in five rounds that could have reached all, and counts as silent.
func (m *Mesh) nextDue(entries bool, all []netip.AddrPort) []netip.AddrPort {
	due := m.due[entries]
	if len(due) == 0 {
		due = all
		rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	}
	n := min(FanOut, len(due))
	m.due[entries] = due[n:]
	return due[:n:n]
}

// Tell sends a heartbeat to all living processes at once, when something has
// changed that they should not learn a round later.
func (m *Mesh) Broadcast() {
	var to []netip.AddrPort
	for _, member := range m.members {
		if m.lives(member) {
			to = append(to, member.Address)
		}
	}
	m.send(to)
}

// TellEntries sends the living entries a partial heartbeat, which holds only
// what fill adds.
func (m *Mesh) BroadcastToEntries(fill func(*peerv1.Beat)) {
	var to []netip.AddrPort
	for _, member := range m.members {
		if member.Entry && m.lives(member) {
			to = append(to, member.Address)
		}
	}
	m.sendBeat(to, func(beat *peerv1.Beat) {
		beat.Partial, beat.Name, beat.Zone = true, "", ""
		fill(beat)
	})
}

// Introduce sends a heartbeat to the hosts of which no process is known. A process that
// has just started hears of all others within a round trip, and not a period later.
func (m *Mesh) Introduce() { m.send(m.unheard()) }

// TellMember sends one process a whole heartbeat, with what fill adds: one that has
// just started knows the sender from then on.
func (m *Mesh) SendTo(to netip.AddrPort, fill func(*peerv1.Beat)) {
	m.sendBeat([]netip.AddrPort{to}, func(beat *peerv1.Beat) {
		m.options.Compose(beat)
		fill(beat)
	})
}

// unheard returns the addresses at hosts where a process may run that has not
// been heard.
func (m *Mesh) unheard() []netip.AddrPort {
	var to []netip.AddrPort
	for _, host := range append(m.options.Hosts(), m.options.Seeds...) {
		address := netip.AddrPortFrom(host, m.options.Listen.Port())
		if address != m.options.Listen && m.members[address] == nil && !slices.Contains(to, address) {
			to = append(to, address)
		}
	}
	return to
}

func (m *Mesh) forget() {
	m.same = 0
	for address, member := range m.members {
		silent := m.options.Now().Sub(member.LastSeen)
		if member.Entry == m.options.Self.Entry {
			m.same++
		}
		if silent > forgetAfter {
			delete(m.members, address)
			continue
		}
		if silent > m.liveFor(member.Entry) && member.Heartbeat != nil && member.Name != "" && !member.Leaving {
			member.Leaving = true // said once
			m.options.Logger.Info("peer_silent", "peer", member.Name, "address", address, "silent_for", silent)
		}
	}
}

// send sends a whole heartbeat.
func (m *Mesh) send(to []netip.AddrPort) {
	m.sendBeat(to, func(beat *peerv1.Beat) {
		beat.Members = m.someMembers()
		m.options.Compose(beat)
	})
}

func (m *Mesh) sendBeat(to []netip.AddrPort, fill func(*peerv1.Beat)) {
	if len(to) == 0 || m.stopped {
		return
	}
	if len(to) > mostReceivers {
		rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		to = to[:mostReceivers]
	}
	beat := proto.Clone(m.options.Self).(*peerv1.Beat)
	m.sequence++
	beat.Sequence = m.sequence
	fill(beat)
	data, err := proto.Marshal(beat)
	if err != nil || len(data) > MaxDatagram {
		m.options.Logger.Info("beat_not_sent", "bytes", len(data), "error", err)
		return
	}
	for _, address := range to {
		// A datagram that cannot be sent is as good as lost; the next round follows.
		_, _ = m.conn.WriteToUDPAddrPort(data, address)
	}
}

func (m *Mesh) someMembers() []string {
	var told []string
	for address, member := range m.members { // in random order
		if len(told) == toldMembers {
			break
		}
		if member.Heartbeat != nil && m.lives(member) {
			told = append(told, address.String())
		}
	}
	return told
}
