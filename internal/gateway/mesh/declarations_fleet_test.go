package mesh

import (
	"flag"
	"net/netip"
	"testing"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/feed"
)

var compareReaders = flag.Bool("readers", false, "also measure readers that vouch for what they have not read, and 419 entries, in TestFleetLearnsDeclarationsWithoutItsReaders")

const (
	simReaders = 6
	// simKnown is how long after their start the entries know each other.
	simKnown     = 5 * time.Second
	simCheck     = 300 * time.Millisecond
	simStoreRead = 4 * time.Millisecond
	simFetchTime = 30 * time.Millisecond
	simTimeout   = 1500 * time.Millisecond
	simBackoff   = 800 * time.Millisecond
	configBound  = 4 * time.Second
)

// declFleet is a fleet whose entries learn of declarations from few that wait at the store for them.
type declFleet struct {
	*simFleet
	// vouches is set for readers that take the target list's age for that of the declarations, and are chosen by
	// their addresses.
	vouches bool
	version uint64
	nodes   []*declNode
	byAddr  map[netip.AddrPort]*declNode
	// calls counts those to the store, stepIns those of entries that do not wait for records.
	calls, stepIns int
}

type declNode struct {
	fleet     *declFleet
	sim       *simProcess
	rank      func() int
	version   uint64
	currentAt time.Time
	inStep    bool
	fetching  bool
	// cut is set if the store is out of reach, silent if it does not even reject calls.
	cut, silent bool
	// waiting ends a read that waits for a record.
	waiting func()
}

func newDeclFleet(size int, vouches bool) *declFleet {
	f := &declFleet{simFleet: newSimFleet(size, 0.01, sightings), vouches: vouches, version: 1, byAddr: map[netip.AddrPort]*declNode{}}
	for _, sim := range f.entries {
		n := &declNode{fleet: f, sim: sim, version: 1, currentAt: f.now, rank: sim.mesh.ReaderRank, inStep: true}
		if vouches {
			n.rank = sim.mesh.EntryRank
		}
		f.nodes = append(f.nodes, n)
		f.byAddr[sim.mesh.options.Listen] = n
		sim.mesh.options.Compose, sim.mesh.options.OnHeartbeat = n.compose, n.onHeartbeat
		f.after(simKnown+time.Duration(f.random.Int64N(int64(simCheck))), n.follow)
	}
	return f
}

func (n *declNode) reads() bool { return n.rank() < simReaders }

func (n *declNode) compose(b *peerv1.Beat) {
	age := n.fleet.now.Sub(n.currentAt)
	if n.fleet.vouches && n.reads() {
		age = 0
	}
	b.Topics = []*peerv1.TopicPosition{{Topic: "t", End: n.version, AgeMs: uint32(age.Milliseconds())}}
}

func (n *declNode) onHeartbeat(m *Member) {
	for _, p := range m.Heartbeat.Topics {
		switch {
		case p.End == n.version:
			n.confirm(n.fleet.now.Add(-time.Duration(p.AgeMs) * time.Millisecond))
		case p.End > n.version && !n.fetching:
			n.fetching = true
			from := n.fleet.byAddr[m.Address]
			n.fleet.after(simFetchTime, func() {
				n.fetching = false
				n.learn(from.version, from.currentAt)
			})
		}
	}
}

func (n *declNode) confirm(at time.Time) {
	if at.After(n.currentAt) {
		n.currentAt = at
	}
}

// learn takes over a version that was current at a time.
func (n *declNode) learn(version uint64, at time.Time) {
	n.confirm(at)
	if version > n.version {
		n.version = version
		n.sim.mesh.Broadcast()
	}
}

// follow makes the next read of the store, if one is due.
func (n *declNode) follow() {
	schedule, f := feed.Schedule{Bound: configBound}, n.fleet
	if n.reads() {
		wait := simReaders * schedule.RenewPeriod()
		if f.vouches {
			wait = configBound
		}
		if n.inStep {
			wait = wait * time.Duration(n.rank()) / simReaders
		}
		n.read(wait)
		return
	}
	age := schedule.StepInAge(n.rank()-simReaders, len(f.nodes)-simReaders)
	if f.vouches {
		age = 3 * time.Second
	}
	if f.now.Sub(n.currentAt) > age {
		f.stepIns++
		n.read(0)
		return
	}
	f.after(simCheck, n.follow)
}

// read reads the store, and waits there for a record.
func (n *declNode) read(wait time.Duration) {
	f, asked := n.fleet, n.fleet.now
	f.calls++
	switch {
	case n.cut && n.silent:
		f.after(wait+simTimeout, func() { f.after(simBackoff, n.follow) })
		return
	case n.cut:
		f.after(simStoreRead, func() { f.after(simBackoff, n.follow) })
		return
	}
	ended := false
	end := func(at time.Time) {
		if ended {
			return
		}
		ended, n.waiting = true, nil
		if n.cut { // the answer does not arrive
			f.after(simTimeout, n.follow)
			return
		}
		n.inStep = f.version > n.version
		n.learn(f.version, at)
		f.after(simStoreRead, n.follow)
	}
	if f.version > n.version {
		f.after(simStoreRead, func() { end(asked) })
		return
	}
	n.waiting = func() { end(asked) }
	f.after(wait+simStoreRead, func() { end(asked.Add(wait)) })
}

// declare publishes a version, which answers the reads that wait.
func (f *declFleet) declare() {
	f.version++
	for _, n := range f.nodes {
		if n.waiting != nil {
			f.after(simStoreRead, n.waiting)
		}
	}
}

// untilInForce returns the time until all entries have the newest version.
func (f *declFleet) untilInForce() time.Duration {
	const limit, step = 30 * time.Second, 20 * time.Millisecond
	begin := f.now
	for ; f.now.Sub(begin) < limit; f.run(step) {
		lacking := 0
		for _, n := range f.nodes {
			if n.version < f.version {
				lacking++
			}
		}
		if lacking == 0 {
			break
		}
	}
	return f.now.Sub(begin)
}

// cutReaders cuts the entries that read off from the store, or restores all links.
func (f *declFleet) cutReaders(cut, silent bool) {
	for _, n := range f.nodes {
		n.cut, n.silent = cut && (n.cut || n.reads()), silent
	}
}

// Guards against a configuration that is late in a large fleet whose readers are cut off, and against calls to the
// store that grow with the fleet.
func TestFleetLearnsDeclarationsWithoutItsReaders(t *testing.T) {
	const (
		quiet = 9 * time.Second
		// maxCalls is the most calls to the store a second for the declarations while nothing happens.
		maxCalls = 5.0
	)
	ways, sizes := []bool{false}, []int{286} // 102 entries
	if *compareReaders {
		ways, sizes = append(ways, true), append(sizes, 1166) // 419 entries
	}
	for _, size := range sizes {
		for _, vouches := range ways {
			f := newDeclFleet(size, vouches)
			f.run(simSettle)
			f.calls, f.stepIns = 0, 0
			f.run(quiet)
			perSecond, stepIns := float64(f.calls)/quiet.Seconds(), f.stepIns
			f.declare()
			whole := f.untilInForce()
			worst := time.Duration(0)
			for _, silent := range []bool{false, true} {
				for _, before := range []time.Duration{0, time.Second} {
					f.run(quiet)
					f.cutReaders(true, silent)
					f.run(before)
					f.declare()
					worst = max(worst, f.untilInForce())
					f.cutReaders(false, false)
				}
			}
			t.Logf("%3d entries, vouch %v: %.1f calls a second, of them %.2f by entries that step in; in force after %v, without the readers after %v at most", len(f.nodes), vouches, perSecond, float64(stepIns)/quiet.Seconds(), whole, worst)
			if !vouches && (worst > configBound || perSecond > maxCalls) {
				t.Errorf("%d entries: %.1f calls a second, in force after %v", len(f.nodes), perSecond, worst)
			}
		}
	}
}
