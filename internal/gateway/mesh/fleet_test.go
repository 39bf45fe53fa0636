package mesh

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
)

var largestFleet = flag.Int("fleet", 300, "number of processes in the largest fleet of TestHugeFleetMembership")

var compareRotations = flag.Bool("rotations", false, "also measure heartbeats to all others in turn in the tests of fleet membership")

// policy is a way in which processes learn of each other.
type policy struct {
	name         string
	toEntries    int
	toSidecars   int
	fullMeshSize int
}

func (p policy) roundSizeTo(entries bool) int {
	if entries {
		return p.toEntries
	}
	return p.toSidecars
}

// rotations are heartbeats to all others in turn, sightings those to fewer that tell of others.
var (
	rotations = policy{name: "rotations", toEntries: 24, toSidecars: 24, fullMeshSize: 1 << 20}
	sightings = policy{name: "sightings", toEntries: 10, toSidecars: 5, fullMeshSize: FanOut}
)

const (
	simEntryPeriod = 400 * time.Millisecond
	simPeriod      = time.Second
	simDelay       = 400 * time.Microsecond
	datagramHeader = 28
)

// simFleet runs the meshes of a fleet on a virtual clock, over a network that loses datagrams.
type simFleet struct {
	now       time.Time
	random    *rand.Rand
	loss      float64
	processes map[netip.AddrPort]*simProcess
	entries   []*simProcess
	sidecars  []*simProcess
	queue     eventQueue
	sequence  int
}

// simProcess is one process. datagrams and bytes count what it sent.
type simProcess struct {
	fleet     *simFleet
	mesh      *Mesh
	dead      bool
	datagrams int
	bytes     int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newSimFleet starts the processes within the first second. 36 in 100 are entries.
func newSimFleet(size int, loss float64, p policy) *simFleet {
	f := &simFleet{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, uint64(size))), loss: loss, processes: map[netip.AddrPort]*simProcess{}}
	entries := size * 36 / 100
	seeds := []netip.Addr{address(0).Addr(), address(1).Addr(), address(2).Addr()}
	var hosts []netip.Addr
	for i := entries; i < size; i++ {
		hosts = append(hosts, address(i).Addr())
	}
	for i := range size {
		f.start(i, i < entries, p, seeds, hosts, time.Duration(f.random.Int64N(int64(time.Second))))
	}
	return f
}

func (f *simFleet) start(i int, entry bool, p policy, seeds, hosts []netip.Addr, after time.Duration) *simProcess {
	proc := &simProcess{fleet: f}
	proc.mesh = &Mesh{
		options: Options{
			Self: &peerv1.Beat{Name: fmt.Sprintf("process-%d", i), Entry: entry, Incarnation: f.random.Uint64(), Zone: "zone-a"}, Listen: address(i),
			Seeds: seeds, Hosts: func() []netip.Addr { return hosts }, Compose: func(*peerv1.Beat) {}, OnHeartbeat: func(*Member) {},
			Period: func(entries bool) time.Duration {
				if entry && entries {
					return simEntryPeriod
				}
				return simPeriod
			},
			RoundSize: p.roundSizeTo, Now: func() time.Time { return f.now }, Logger: logr.Discard(),
		},
		write: proc.write, members: map[netip.AddrPort]*Member{}, pendingReceivers: map[bool][]netip.AddrPort{}, fullMeshSize: p.fullMeshSize,
	}
	f.processes[address(i)] = proc
	if entry {
		f.entries = append(f.entries, proc)
	} else {
		f.sidecars = append(f.sidecars, proc)
	}
	f.after(after, proc.mesh.Introduce)
	f.after(after, func() { proc.rounds(true) })
	f.after(after, func() { proc.rounds(false) })
	return proc
}

func (p *simProcess) rounds(entries bool) {
	if p.dead {
		return
	}
	p.mesh.sendRound(entries)
	period := p.mesh.options.Period(entries)
	p.fleet.after(period*3/4+time.Duration(p.fleet.random.Int64N(int64(period/2))), func() { p.rounds(entries) })
}

func (p *simProcess) write(data []byte, to netip.AddrPort) {
	p.datagrams++
	p.bytes += len(data) + datagramHeader
	receiver := p.fleet.processes[to]
	if receiver == nil || p.fleet.random.Float64() < p.fleet.loss {
		return
	}
	heartbeat := &peerv1.Beat{}
	if proto.Unmarshal(data, heartbeat) != nil {
		return
	}
	from := p.mesh.options.Listen
	p.fleet.after(simDelay, func() {
		if !receiver.dead {
			receiver.mesh.handleHeartbeat(from, heartbeat, received(receiver.mesh.options.Now()))
		}
	})
}

func (f *simFleet) after(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.queue, event{f.now.Add(d), f.sequence, run})
}

// run advances the clock.
func (f *simFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// believers returns how many of the live entries consider another entry live.
func (f *simFleet) believers(other *simProcess) (believe, all int) {
	for _, p := range f.entries {
		if p.dead || p == other {
			continue
		}
		all++
		if member := p.mesh.ByAddress(other.mesh.options.Listen); member != nil && p.mesh.isLive(member) {
			believe++
		}
	}
	return believe, all
}

// until advances the clock until the share of the live entries that consider an entry live is at
// least, or at most, the given one. It returns the time that this took.
func (f *simFleet) until(other *simProcess, atLeast bool, share float64) time.Duration {
	const limit, step = 2 * time.Minute, 100 * time.Millisecond
	for start := f.now; ; f.run(step) {
		believe, all := f.believers(other)
		reached := float64(believe) <= share*float64(all)
		if atLeast {
			reached = float64(believe) >= share*float64(all)
		}
		if took := f.now.Sub(start); reached || took > limit {
			return took
		}
	}
}

// falseDeaths counts the pairs of live entries of which one considers the other dead.
func (f *simFleet) falseDeaths() int {
	wrong := 0
	for _, p := range f.entries {
		if !p.dead {
			believe, all := f.believers(p)
			wrong += all - believe
		}
	}
	return wrong
}

// fleetFigures are what is measured of one policy at one size.
type fleetFigures struct {
	entryDatagrams, entryKB, sidecarDatagrams, sidecarKB float64
	// deathHalf and deathAll are the times until half of and all entries know that one was killed,
	// startAll until all know one that was added, massDeath until all know that one of those is
	// dead that lost power together with a half of the others.
	deathHalf, deathAll, startAll, massDeath time.Duration
	// falseDeaths is the number of wrong beliefs in samples of a calm fleet, knownDead that of pairs
	// that know each other.
	falseDeaths, pairs int
}

const simSettle = 12 * time.Second

func measureFleet(size int, p policy) fleetFigures {
	const calm, loss = 5 * time.Second, 0.01
	f := newSimFleet(size, loss, p)
	f.run(simSettle)
	var figures fleetFigures
	for _, proc := range f.processes {
		proc.datagrams, proc.bytes = 0, 0
	}
	for range int(calm / time.Second) {
		f.run(time.Second)
		figures.falseDeaths += f.falseDeaths()
		figures.pairs += len(f.entries) * (len(f.entries) - 1)
	}
	figures.entryDatagrams, figures.entryKB = sent(f.entries, calm)
	figures.sidecarDatagrams, figures.sidecarKB = sent(f.sidecars, calm)

	killed := f.entries[len(f.entries)/2]
	killed.dead = true
	figures.deathHalf = f.until(killed, false, 0.5)
	figures.deathAll = figures.deathHalf + f.until(killed, false, 0)

	added := f.start(size, true, p, f.entries[0].mesh.options.Seeds, nil, 0)
	figures.startAll = f.until(added, true, 1)

	for i, proc := range f.entries {
		proc.dead = proc.dead || i%2 == 1
	}
	figures.massDeath = f.until(f.entries[1], false, 0)
	return figures
}

func sent(processes []*simProcess, within time.Duration) (datagrams, kilobytes float64) {
	for _, p := range processes {
		datagrams += float64(p.datagrams)
		kilobytes += float64(p.bytes) / 1000
	}
	n := float64(len(processes)) * within.Seconds()
	return datagrams / n, kilobytes / n
}

// In a large fleet, where an entry reaches each other entry only every few seconds, lost heartbeats
// must not make live entries look dead. An entry that has died must still be detected.
func TestLostHeartbeatsDoNotEndMembers(t *testing.T) {
	const loss, watched = 0.1, 10
	f := newSimFleet(283, loss, sightings)
	f.run(simSettle)
	for range watched {
		f.run(time.Second)
		if wrong := f.falseDeaths(); wrong > 0 {
			t.Errorf("%d live entries considered dead", wrong)
		}
	}
	killed := f.entries[50]
	killed.dead = true
	if took := f.until(killed, false, 0); took > maxDetection {
		t.Errorf("a death is known to all after %v", took)
	}
}

// Guards against members that are forgotten before they count as dead: in a fleet of hundreds an
// address that another process named was deleted by the next round, before it was ever used.
func TestSightedMemberIsKept(t *testing.T) {
	f := newFakeMesh(400 * time.Millisecond)
	for i := range 720 {
		f.heartbeat(i, 1)
	}
	f.expireMembers()
	f.applySighting(address(800), 7, 100<<stateBits|stateEntry)
	f.applySighting(address(801), 7, 100<<stateBits)
	f.expireMembers()
	if f.ByAddress(address(800)) == nil || f.ByAddress(address(801)) == nil {
		t.Fatal("a sighted member was forgotten")
	}
	f.now = f.now.Add(f.heartbeatTimeout(true) + time.Millisecond)
	f.expireMembers()
	if m := f.ByAddress(address(1)); m == nil || !m.silent {
		t.Errorf("silent member %+v", m)
	}
	f.now = f.now.Add(max(f.heartbeatTimeout(true), f.heartbeatTimeout(false)) + memberRetention)
	f.expireMembers()
	if len(f.members) != 0 {
		t.Errorf("%d members kept after the retention", len(f.members))
	}
}

// An entry that has just started must be named in each heartbeat for a while. Named at random, some
// entries of a large fleet hear of it only after more than ten seconds.
func TestNewcomersAreNamed(t *testing.T) {
	f := newFakeMesh(400 * time.Millisecond)
	for i := range 720 {
		f.heartbeat(i, 1)
	}
	f.expireMembers()
	f.now = f.now.Add(newcomerPeriod)
	const newcomers = 3
	for i := range newcomers {
		f.heartbeat(800+i, 1)
	}
	named := func(i int) bool {
		sightings := f.sightings(true, MaxDatagram)
		if len(sightings.Addresses) != partialSightings {
			t.Errorf("%d members named, want %d", len(sightings.Addresses), partialSightings)
		}
		a := address(i).Addr().As4()
		return slices.Contains(sightings.Addresses, uint32(a[0])<<24|uint32(a[1])<<16|uint32(a[2])<<8|uint32(a[3]))
	}
	for range 10 {
		for i := range newcomers {
			if !named(800 + i) {
				t.Errorf("newcomer %d is not named", i)
			}
		}
	}
	f.now = f.now.Add(newcomerPeriod)
	for i := range 720 {
		f.heartbeat(i, 2)
	}
	times := 0
	for range 10 {
		if named(800) {
			times++
		}
	}
	if times == 10 {
		t.Error("the newcomer is still named in each heartbeat after its period")
	}
}

// Many entries that start at the same time must not crowd out all others.
func TestNewcomersLeaveRoomForOthers(t *testing.T) {
	f := newFakeMesh(400 * time.Millisecond)
	for i := range 300 {
		f.heartbeat(i, 1)
	}
	f.expireMembers()
	f.now = f.now.Add(newcomerPeriod)
	for i := range 300 {
		f.heartbeat(400+i, 1)
	}
	for i := range 300 {
		f.heartbeat(i, 2)
	}
	newcomers, others := f.namedNewcomers(partialSightings)
	if len(newcomers) != partialSightings/4 || len(others) != 600-len(newcomers) {
		t.Errorf("%d newcomers and %d others; want %d newcomers of %d", len(newcomers), len(others), partialSightings/4, partialSightings)
	}
}

// Guards against a dead entry that stays alive because processes pass its sighting on to each other,
// and against an earlier incarnation's sighting that revives or refreshes a later one.
func TestSightingsAreNotRefreshedByPassingOn(t *testing.T) {
	f := newFakeMesh(400 * time.Millisecond)
	for i := range 40 {
		f.heartbeat(i, 1)
	}
	f.expireMembers()
	f.now = f.now.Add(time.Second)
	before := f.ByAddress(address(3)).LastSeen
	f.applySightings(f.sightings(true, MaxDatagram))
	if seen := f.ByAddress(address(3)).LastSeen; seen.After(before) {
		t.Errorf("the member's own sighting made it %v younger", seen.Sub(before))
	}
	f.applySighting(address(3), 99, stateEntry)
	if m := f.ByAddress(address(3)); m.LastSeen.After(before) || m.Incarnation != 1 {
		t.Errorf("sighting of another incarnation was applied: %+v", m)
	}
	f.applySighting(address(3), 1, 10<<stateBits|stateEntry|stateStopping)
	if m := f.ByAddress(address(3)); !m.LastSeen.After(before) || !m.Leaving {
		t.Errorf("newer sighting was not applied: %+v", m)
	}
	f.now = f.now.Add(time.Minute)
	f.applySighting(address(3), 99, stateEntry)
	if m := f.ByAddress(address(3)); !f.isLive(m) || m.Leaving || !m.AliveSince.Equal(f.now) {
		t.Errorf("restarted member %+v", m)
	}
}

// Guards against malformed sightings from the network.
func TestMalformedSightingsAreIgnored(t *testing.T) {
	f := newFakeMesh(400 * time.Millisecond)
	f.applySightings(nil)
	f.applySightings(&peerv1.PeerSightings{Addresses: []uint32{1, 2}, Incarnations: []uint32{1}, States: []uint32{1, 2}})
	own := f.options.Listen.Addr().As4()
	f.applySightings(&peerv1.PeerSightings{Addresses: []uint32{uint32(own[0])<<24 | uint32(own[1])<<16 | uint32(own[2])<<8 | uint32(own[3])}, Incarnations: []uint32{1}, States: []uint32{stateEntry}})
	if len(f.members) != 0 {
		t.Errorf("%d members", len(f.members))
	}
}

// maxDetection is the time within which all entries must know of a death or a start, at any size.
const maxDetection = 10 * time.Second

// The time until all entries know of a death must not grow with the fleet, and live entries must
// not look dead while datagrams are lost.
func TestFleetMembership(t *testing.T) {
	checkFleetMembership(t, 100, 300)
}

// The same in fleets that take minutes to simulate; -v prints the table.
//
//	go test ./internal/gateway/mesh -run HugeFleet -v -timeout 30m -args -fleet 2000
func TestHugeFleetMembership(t *testing.T) {
	if *largestFleet < 1000 {
		t.Skip("takes minutes; run with -fleet 1000 or 2000")
	}
	if *largestFleet < 2000 {
		checkFleetMembership(t, 1000)
		return
	}
	checkFleetMembership(t, 1000, 2000)
}

func checkFleetMembership(t *testing.T, sizes ...int) {
	t.Helper()
	policies := []policy{sightings}
	if *compareRotations {
		policies = []policy{rotations, sightings}
	}
	t.Logf("%9s %10s %22s %22s %32s %14s", "processes", "way", "entry datagrams, KB/s", "sidecar", "death half, all, mass; start all", "false deaths")
	for _, size := range sizes {
		for _, p := range policies {
			figures := measureFleet(size, p)
			t.Logf("%9d %10s %12.1f %9.2f %12.1f %9.2f %8v %7v %7v %7v %d of %d", size, p.name, figures.entryDatagrams, figures.entryKB, figures.sidecarDatagrams, figures.sidecarKB,
				figures.deathHalf, figures.deathAll, figures.massDeath, figures.startAll, figures.falseDeaths, figures.pairs)
			if p.name == sightings.name {
				figures.check(t, size)
			}
		}
	}
}

func (f fleetFigures) check(t *testing.T, size int) {
	t.Helper()
	if f.deathAll > maxDetection || f.startAll > maxDetection || f.massDeath > 2*maxDetection {
		t.Errorf("%d processes: a death known to all after %v, in a loss of half of the fleet after %v, a start after %v", size, f.deathAll, f.massDeath, f.startAll)
	}
	if f.falseDeaths > 0 {
		t.Errorf("%d processes: %d live entries considered dead", size, f.falseDeaths)
	}
}
