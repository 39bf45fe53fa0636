package mesh

import (
	"encoding/binary"
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/feed"
)

var compareRestores = flag.Bool("restores", false, "also measure other ways, and fleets of 420 and 2,000 processes, in TestFleetFollowsRestoredStore")

// restoreWay is a way in which a fleet follows a store that comes back from a copy.
type restoreWay struct {
	name string
	// eras is false for processes that compare offsets across eras, awaits for those that wait for a peer
	// before they read a snapshot, retains for those that retain what the copy lacks.
	eras, awaits, retains bool
}

var restoreWays = []restoreWay{
	{name: "offsets only"},
	{name: "snapshots from the store", eras: true, retains: true},
	{name: "pages of peers, nothing retained", eras: true, awaits: true},
	{name: "pages of peers, statements retained", eras: true, awaits: true, retains: true},
}

const (
	listingBytes = 250
	// The store answers a snapshot of up to 500 records after snapshotTime and at storeBytesPerSecond, and
	// refuses calls beyond storeCallsPerSecond.
	snapshotTime        = 4 * time.Millisecond
	storeBytesPerSecond = 80e6
	storeCallsPerSecond = 2000
	linkBytesPerSecond  = 125e6
	restoredAge         = 5 // seconds between the copy and the outage
	outage              = 2 * time.Second
	rewriteDelay        = 2 * time.Second
)

// restoreFleet is a fleet whose processes follow a topic of a store.
type restoreFleet struct {
	*simFleet
	way       restoreWay
	log       []feed.Record
	era       feed.Era
	down      bool
	nodes     map[netip.AddrPort]*restoreNode
	busyUntil time.Time
	// calls and storeBytes count what the store served, refused what it refused; pageBytes is what
	// peers sent, mostCalls the most calls in a second.
	calls, refused, storeBytes, pageBytes, mostCalls int
	// snapshots is how many of the calls read all records.
	snapshots             int
	second, callsInSecond int
}

type restoreNode struct {
	fleet     *restoreFleet
	sim       *simProcess
	rank      int
	entry     bool
	replica   *feed.Replica
	era       feed.Era
	eraAt     time.Time
	reading   bool
	fetching  bool
	serving   int
	fetchedAt time.Time
	merged    map[uint64]bool
	// wentBack is set once the configuration in force was older than before.
	wentBack bool
	newest   uint64
}

func (r *restoreFleet) write(key string, number uint64) {
	value := binary.BigEndian.AppendUint64(make([]byte, 0, listingBytes), number)
	r.log = append(r.log, feed.Record{Key: key, Value: value[:listingBytes:listingBytes], Era: r.era, Offset: uint64(len(r.log))})
}

func (r *restoreFleet) snapshot() feed.Snapshot {
	newest := map[string]feed.Record{}
	for _, record := range r.log {
		record.Era = r.era
		newest[record.Key] = record
	}
	s := feed.Snapshot{Era: r.era, End: uint64(len(r.log))}
	for _, record := range newest {
		s.Records = append(s.Records, record)
	}
	return s
}

func numberIn(r *feed.Record) uint64 { return binary.BigEndian.Uint64(r.Value) }

func newRestoreFleet(size int, way restoreWay) *restoreFleet {
	f := &restoreFleet{simFleet: newSimFleet(size, 0.01, sightings), way: way, era: 1, nodes: map[netip.AddrPort]*restoreNode{}}
	for i := range f.sidecars {
		f.write(fmt.Sprintf("target-%04d", i), 1)
	}
	f.write("config", 1)
	for i := range size {
		sim := f.processes[address(i)]
		n := &restoreNode{fleet: f, sim: sim, rank: i, entry: sim.mesh.options.Self.Entry, era: 1, merged: map[uint64]bool{}}
		options := feed.ReplicaOptions{OutageGap: time.Second, Later: func(a, b *feed.Record) bool { return way.retains && numberIn(a) > numberIn(b) }}
		if !way.retains {
			options.AbsentFor = time.Nanosecond
		}
		n.replica = feed.NewReplica(options)
		n.replica.Replace(f.snapshot(), f.now)
		f.nodes[address(i)] = n
		sim.mesh.options.Compose, sim.mesh.options.OnHeartbeat = n.compose, n.onHeartbeat
		if size <= FanOut {
			entry := n.entry
			sim.mesh.options.Period = func(entries bool) time.Duration {
				if entry && entries {
					return 100 * time.Millisecond
				}
				return 400 * time.Millisecond
			}
		}
		f.after(time.Duration(f.random.Int64N(int64(100*time.Millisecond))), n.poll)
	}
	return f
}

func (n *restoreNode) compose(b *peerv1.Beat) {
	c := n.replica.Coverage()
	b.Topics = []*peerv1.TopicPosition{{Topic: "t", Era: uint64(c.Era), End: c.End, SeenFrom: c.SeenFrom, DropEnd: c.DropEnd, AgeMs: uint32(n.fleet.now.Sub(n.replica.CurrentAt()).Milliseconds()), RetainedDigest: n.replica.RetainedDigest()}}
}

func (n *restoreNode) onHeartbeat(m *Member) {
	for _, p := range m.Heartbeat.Topics {
		era := feed.Era(p.Era)
		if n.fleet.way.eras && era < n.replica.Era() {
			continue
		}
		n.learn(era)
		same := p.End == n.replica.End() && era == n.replica.Era()
		switch {
		case n.fleet.way.eras && era > n.replica.Era() && !n.fleet.way.awaits:
			n.snapshot()
		case n.fleet.way.eras && era > n.replica.Era(), !same && p.End > n.replica.End():
			n.fetch(m.Address)
		case same && n.replica.CoveredBy(feed.Coverage{Era: era, End: p.End, SeenFrom: p.SeenFrom}):
			n.replica.MarkCurrent(n.fleet.now.Add(-time.Duration(p.AgeMs) * time.Millisecond))
		}
		if era == n.replica.Era() && p.RetainedDigest != 0 && p.RetainedDigest != n.replica.RetainedDigest() && !n.merged[p.RetainedDigest] {
			n.fetch(m.Address)
		}
	}
}

func (n *restoreNode) learn(era feed.Era) {
	if era > n.era && n.fleet.way.eras {
		n.era, n.eraAt = era, n.fleet.now
		n.replica.NoteEra(era, n.fleet.now)
	}
}

// readAge returns the age of the replica at which the process reads the store.
func (n *restoreNode) readAge() time.Duration {
	small := len(n.fleet.processes) <= FanOut
	switch {
	case n.rank == 0:
		return 450 * time.Millisecond
	case n.entry && small:
		return 1100 * time.Millisecond
	case n.entry || small:
		return 2500 * time.Millisecond
	default:
		return 5 * time.Second
	}
}

// restoreWait returns how long the process waits for a peer that has the records of a new era.
func (n *restoreNode) restoreWait() time.Duration {
	small := len(n.fleet.processes) <= FanOut
	switch {
	case n.rank == 0:
		return 0
	case n.entry && small:
		return 400 * time.Millisecond
	case n.entry:
		return 1200 * time.Millisecond
	case small:
		return time.Second
	default:
		return 4 * time.Second
	}
}

// poll reads the store if it is due.
func (n *restoreNode) poll() {
	n.fleet.after(100*time.Millisecond, n.poll)
	behind := n.era > n.replica.Era()
	switch {
	case behind && n.fleet.way.awaits && n.fleet.now.Sub(n.eraAt) < n.restoreWait():
	case behind:
		n.snapshot()
	case n.fleet.now.Sub(n.replica.CurrentAt()) > n.readAge():
		n.read()
	}
}

// call makes a call to the store, and reports whether it is answered.
func (r *restoreFleet) call() bool {
	if second := int(r.now.Unix()); second != r.second {
		r.second, r.callsInSecond = second, 0
	}
	r.callsInSecond++
	r.calls++
	r.mostCalls = max(r.mostCalls, r.callsInSecond)
	if r.callsInSecond > storeCallsPerSecond {
		r.refused++
		return false
	}
	return !r.down
}

func (n *restoreNode) read() {
	if n.reading || !n.fleet.call() {
		return
	}
	n.reading = true
	n.fleet.after(snapshotTime, func() {
		n.reading = false
		f := n.fleet
		switch end := uint64(len(f.log)); {
		case f.way.eras && f.era > n.replica.Era():
			n.learn(f.era)
		case n.replica.End() > end:
			n.snapshot() // the store does not have the offset
		default:
			records := slices.Clone(f.log[n.replica.End():])
			n.apply(func() { n.replica.Merge(records, end, f.now) })
		}
	})
}

func (n *restoreNode) snapshot() {
	if n.reading || !n.fleet.call() {
		return
	}
	n.reading = true
	f, s := n.fleet, n.fleet.snapshot()
	f.snapshots++
	bytes := len(s.Records) * listingBytes * 4 / 3 // base64
	f.storeBytes += bytes
	f.busyUntil = f.busyUntil.Add(max(0, f.now.Sub(f.busyUntil))).Add(time.Duration(float64(bytes) / storeBytesPerSecond * float64(time.Second)))
	f.after(f.busyUntil.Sub(f.now)+snapshotTime, func() {
		n.reading = false
		if !f.way.eras {
			s.Era = n.replica.Era()
		}
		n.apply(func() { n.replica.Replace(s, f.now) })
	})
}

func (n *restoreNode) fetch(peer netip.AddrPort) {
	f, server := n.fleet, n.fleet.nodes[peer]
	large := len(f.processes) > FanOut
	if n.fetching || server.serving >= MaxFetches || large && f.now.Sub(n.fetchedAt) < 300*time.Millisecond {
		return
	}
	from := n.replica.EndPosition()
	page := server.replica.PageFrom(from)
	bytes := (len(page.Records) + len(page.Retained)) * (listingBytes + 20)
	f.pageBytes += bytes
	n.fetching, n.fetchedAt = true, f.now
	server.serving++
	f.after(2*simDelay+time.Duration(float64(bytes)/linkBytesPerSecond*float64(time.Second)), func() {
		n.fetching = false
		server.serving--
		if n.replica.CanApply(&page, from) {
			n.merged[feed.DigestOf(page.Retained)] = true
			n.apply(func() { n.replica.Apply(page, server.replica.CurrentAt(), f.now) })
		}
	})
}

// apply changes the replica and notes whether the configuration went back.
func (n *restoreNode) apply(change func()) {
	change()
	record, ok := n.replica.Get("config")
	if !ok || numberIn(&record) < n.newest {
		n.wentBack = true
		return
	}
	n.newest = numberIn(&record)
}

// knowing returns how many processes hold a key with at least a number.
func (r *restoreFleet) knowing(key string, number uint64) int {
	count := 0
	for _, n := range r.nodes {
		if record, ok := n.replica.Get(key); ok && numberIn(&record) >= number {
			count++
		}
	}
	return count
}

type restoreFigures struct {
	first, half, all                     time.Duration
	wentBack, lacking                    int
	calls, mostCalls, refused, snapshots int
	storeMB, pageMB                      float64
}

// measureRestore lets the store come back from a copy that lacks the newest configuration. Another record is
// written at once, the configuration again after two seconds.
func measureRestore(size int, way restoreWay) restoreFigures {
	f := newRestoreFleet(size, way)
	f.run(simSettle)
	copied := slices.Clone(f.log)
	f.write("config", 2)
	f.write("target-0000", 2)
	f.run(restoredAge * time.Second)
	f.down = true
	f.run(outage)
	f.down, f.log, f.era = false, copied, 2
	f.calls, f.refused, f.storeBytes, f.pageBytes, f.mostCalls, f.snapshots = 0, 0, 0, 0, 0, 0
	f.write("news", 1)
	var figures restoreFigures
	const limit, step = 12 * time.Second, 10 * time.Millisecond
	for start := f.now; f.now.Sub(start) < limit; f.run(step) {
		took := f.now.Sub(start)
		if took >= rewriteDelay && len(f.log) == len(copied)+1 {
			f.write("config", 2)
		}
		known := f.knowing("news", 1)
		for target, at := range map[int]*time.Duration{1: &figures.first, size / 2: &figures.half, size: &figures.all} {
			if known >= target && *at == 0 {
				*at = took
			}
		}
	}
	figures.lacking = size - min(f.knowing("news", 1), f.knowing("config", 2))
	for _, n := range f.nodes {
		if n.wentBack {
			figures.wentBack++
		}
	}
	figures.snapshots = f.snapshots
	figures.calls, figures.mostCalls, figures.refused = f.calls, f.mostCalls, f.refused
	figures.storeMB, figures.pageMB = float64(f.storeBytes)/1e6, float64(f.pageBytes)/1e6
	return figures
}

// A fleet must know what is written after a restore within seconds, without going back to what the copy has and
// without all processes reading all from the store. Other ways, and large fleets, are measured by hand:
//
//	go test ./internal/gateway/mesh -run TestFleetFollowsRestoredStore -v -args -restores
func TestFleetFollowsRestoredStore(t *testing.T) {
	sizes, ways := []int{4, 120}, restoreWays[len(restoreWays)-1:]
	if *compareRestores {
		sizes, ways = []int{4, 420, 2000}, restoreWays
	}
	for _, size := range sizes {
		for _, way := range ways {
			m := measureRestore(size, way)
			t.Logf("%d processes, %s: news known to the first, half, all after %v, %v, %v; %d went back, %d lack something after 12 s; %d calls to the store, %d of them snapshots, at most %d a second, %d refused, %.1f MB; peers sent %.1f MB",
				size, way.name, m.first, m.half, m.all, m.wentBack, m.lacking, m.calls, m.snapshots, m.mostCalls, m.refused, m.storeMB, m.pageMB)
			if !way.retains || !way.awaits {
				continue
			}
			if m.wentBack > 0 || m.lacking > 0 || m.all == 0 || m.all > maxRestoreSpread {
				t.Errorf("%d processes: %d went back, %d lack something, all know the news after %v", size, m.wentBack, m.lacking, m.all)
			}
			if m.refused > 0 || m.snapshots > maxRestoreSnapshots {
				t.Errorf("%d processes read %d snapshots, %d calls were refused", size, m.snapshots, m.refused)
			}
		}
	}
}

// maxRestoreSnapshots is how many processes of any fleet may read all records from a store that has just come
// back.
const maxRestoreSnapshots = 6

// maxRestoreSpread is the time in which all processes must know what is written after a restore: that after
// which they count as in touch, and that in which a change must be in force.
const maxRestoreSpread = 3*time.Second + 2*time.Second
