package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/gateway/feed"
)

// The model is a fleet on a virtual clock: engines that crash, start again, and leave the
// list while they serve on; their sidecars and the entries, which start anew; a store that
// goes away while entries lapse, and drops its history. The entries use the real copy and
// directory.
const (
	modelStep    = 100 * time.Millisecond
	modelEngines = 12
	modelEntries = 3
	// leftBound is the time after its drop from which a target must get no new work, and
	// inTouch for how long a process must have run, and the store have answered, for it.
	leftBound = 2 * time.Second
	inTouch   = 3 * time.Second
	// heartbeat is how soon a target that reaches the store is listed.
	heartbeat = 1200 * time.Millisecond
)

// modelEngine is the process at one address.
type modelEngine struct {
	name    string
	up      bool
	listed  bool
	beganAt time.Time
	// leftAt is when it was dropped for good; it serves until endsAt.
	leftAt, endsAt time.Time
	// brief lives leave as soon as they are listed.
	brief bool
	// sidecar is when its sidecar started; it knows from when on this life has run.
	sidecar    time.Time
	beganAfter time.Time
}

// modelEntry is an entry's view of the list.
type modelEntry struct {
	copy      *feed.Replica
	directory *Directory
	startedAt time.Time
	// readAt is when it reads the list next.
	readAt time.Time
	heard  map[Incarnation]time.Time
}

type model struct {
	random  *rand.Rand
	now     time.Time
	way     way
	engines []*modelEngine
	entries []*modelEntry
	records []feed.Record
	newest  map[string]uint64
	trimmed uint64
	// away is until when the store is, and back since when it answers.
	away, back time.Time
	lives      int
	// late is for how long targets that had left could be used by entries in touch, and
	// idle for how long those that live and stay could not.
	late, idle time.Duration
	lateStory  string
}

// way is what a process makes of reported lives that the list lacks.
type way struct {
	name string
	see  func(e *modelEntry, l Report, f SyncState, now time.Time) (Report, SyncState)
}

// ways are the kept one and those that it was weighed against.
var ways = []way{
	{"a report is membership", func(_ *modelEntry, l Report, f SyncState, now time.Time) (Report, SyncState) {
		l.StartedAfter = now.Add(time.Hour)
		return l, f
	}},
	{"the list alone", func(_ *modelEntry, l Report, f SyncState, _ time.Time) (Report, SyncState) {
		l.StartedAfter, f.StartedAt, f.OutageEnded, f.Current = time.Time{}, time.Time{}, time.Time{}, true
		return l, f
	}},
	{"for a time after the first report", func(e *modelEntry, l Report, f SyncState, now time.Time) (Report, SyncState) {
		if _, known := e.heard[l.Incarnation]; !known {
			e.heard[l.Incarnation] = now
		}
		l.StartedAfter, f.StartedAt = time.Time{}, e.heard[l.Incarnation]
		return l, f
	}},
	kept,
}

var kept = way{"seen to begin", func(_ *modelEntry, l Report, f SyncState, _ time.Time) (Report, SyncState) { return l, f }}

func newModel(random *rand.Rand, w way) *model {
	m := &model{random: random, now: start, way: w, newest: map[string]uint64{}, back: start}
	for i := range modelEngines {
		m.engines = append(m.engines, &modelEngine{sidecar: m.now})
		m.begin(i)
		m.list(i)
	}
	for range modelEntries {
		m.entries = append(m.entries, nil)
	}
	for i := range m.entries {
		m.startEntry(i)
	}
	return m
}

func (m *model) startEntry(i int) {
	m.entries[i] = &modelEntry{copy: feed.NewReplica(1500 * time.Millisecond), directory: NewDirectory(), startedAt: m.now, heard: map[Incarnation]time.Time{}}
}

// begin starts a new life at an address.
func (m *model) begin(i int) {
	e := m.engines[i]
	m.lives++
	seenBefore := e.name != "" && !e.sidecar.After(m.now.Add(-modelStep))
	*e = modelEngine{name: fmt.Sprintf("e%d-%d", i, m.lives), up: true, beganAt: m.now, sidecar: e.sidecar, brief: m.random.IntN(4) == 0}
	if seenBefore {
		e.beganAfter = m.now.Add(-modelStep)
	}
}

func (m *model) put(name string, value []byte) {
	m.newest[name] = uint64(len(m.records))
	m.records = append(m.records, feed.Record{Key: name, Value: value, Offset: uint64(len(m.records))})
}

func (m *model) list(i int) {
	m.engines[i].listed = true
	m.put(m.engines[i].name, []byte{byte(i)})
}

func (m *model) drop(i int) {
	m.engines[i].listed = false
	m.put(m.engines[i].name, nil)
}

func (m *model) storeAway() bool { return m.now.Before(m.away) }

// step plays a tenth of a second.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	if m.random.IntN(12) == 0 {
		m.event()
	}
	for i, e := range m.engines {
		m.live(i, e)
	}
	for _, e := range m.entries {
		if !m.storeAway() && !m.now.Before(e.readAt) {
			m.read(e)
			e.readAt = m.now.Add(time.Duration(200+m.random.IntN(500)) * time.Millisecond)
		}
		m.check(e)
	}
}

func (m *model) event() {
	i := m.random.IntN(modelEngines)
	e := m.engines[i]
	switch m.random.IntN(9) {
	case 0: // it crashes, and starts again later
		if e.up && e.leftAt.IsZero() {
			e.up, e.endsAt = false, m.now.Add(time.Duration(m.random.IntN(5000))*time.Millisecond)
		}
	case 1, 2: // it leaves without a word, and serves on
		if e.up && e.listed && !m.storeAway() {
			m.leave(i)
		}
	case 3:
		m.startEntry(m.random.IntN(modelEntries))
	case 4:
		for n := range m.entries {
			m.startEntry(n)
		}
	case 5, 6: // its sidecar starts anew, after a while
		e.sidecar, e.beganAfter = m.now.Add(time.Duration(m.random.IntN(6000))*time.Millisecond), time.Time{}
	case 7:
		if !m.storeAway() {
			m.away = m.now.Add(time.Duration(500+m.random.IntN(5000)) * time.Millisecond)
		}
	case 8:
		m.trimmed = uint64(len(m.records))
	}
}

// leave drops an engine for good, which serves on for up to a minute and a half.
func (m *model) leave(i int) {
	e := m.engines[i]
	e.leftAt, e.endsAt = m.now, m.now.Add(leftBound+time.Duration(m.random.IntN(90000))*time.Millisecond)
	m.drop(i)
}

// live plays an engine's own part: its entry, its end, its next life.
func (m *model) live(i int, e *modelEngine) {
	if m.storeAway() {
		m.back = m.away
		if e.listed && m.random.IntN(20) == 0 {
			m.drop(i) // it lapses; what is written shows once the store is back
		}
	}
	switch {
	case !e.endsAt.IsZero() && !m.now.Before(e.endsAt):
		if e.listed {
			m.drop(i)
		}
		m.begin(i)
	case e.up && !e.listed && e.leftAt.IsZero() && !m.storeAway() && m.now.Sub(e.beganAt) >= heartbeat && m.now.Sub(m.back) >= heartbeat:
		m.list(i)
		if e.brief {
			m.leave(i)
		}
	}
}

// othersRead is the age of the first entry's copy from which the others read themselves.
const othersRead = 1100 * time.Millisecond

// read brings an entry's copy up to date. The first entry reads the store; the others do where
// that one lists other targets, knows a drop that they lack, or may not know of one.
func (m *model) read(e *modelEntry) {
	first := m.entries[0].copy
	late := e.copy.CurrentAt().IsZero() || m.now.Sub(first.CurrentAt()) > othersRead
	at := first.Position()
	if e.copy != first && !late && !e.copy.LacksDrop(at) && e.copy.CoveredBy(at) && sameKeys(first, e.copy) {
		e.copy.MarkCurrent(first.CurrentAt())
		return
	}
	m.readStore(e)
}

func sameKeys(a, b *feed.Replica) bool {
	return slices.EqualFunc(a.Records(), b.Records(), func(x, y feed.Record) bool { return x.Key == y.Key })
}

// readStore reads records or, where these were dropped, all keys.
func (m *model) readStore(e *modelEntry) {
	end := uint64(len(m.records))
	var changed []string
	if e.copy.End() < m.trimmed || e.copy.CurrentAt().IsZero() {
		changed = e.copy.Replace(feed.Snapshot{Records: m.newestRecords(), End: end}, m.now)
	} else {
		changed = e.copy.Merge(m.records[e.copy.End():], end, m.now)
	}
	for _, key := range changed {
		r, ok := e.copy.Get(key)
		if !ok {
			e.directory.Remove(key, m.now)
			continue
		}
		l := listing(key, uint16(r.Value[0])+1)
		e.directory.Add(l, r.Offset, m.now)
	}
}

func (m *model) newestRecords() []feed.Record {
	var all []feed.Record
	for _, offset := range m.newest {
		if r := m.records[offset]; r.Value != nil {
			all = append(all, r)
		}
	}
	return all
}

// reports are those of the sidecars that run.
func (m *model) reports() []Report {
	var all []Report
	for i, e := range m.engines {
		if !e.up || m.now.Before(e.sidecar) {
			continue
		}
		l := listing(e.name, uint16(i+1))
		all = append(all, Report{Incarnation: l.Incarnation, Service: l.Service, Address: l.Address, Zone: l.Zone, StartedAfter: e.beganAfter, ReceivedAt: m.now})
	}
	return all
}

// targets are what an entry may use.
func (m *model) targets(e *modelEntry) map[netip.AddrPort]Target {
	f := SyncState{
		StartedAt: e.startedAt, CompleteSince: e.copy.CompleteSince(), OutageBegan: e.copy.OutageBegin(), OutageEnded: e.copy.OutageEnd(),
		Current: m.now.Sub(e.copy.CurrentAt()) < 2*time.Second,
	}
	if first := e.copy.FirstCurrentAt(); first.Sub(e.startedAt) > 1500*time.Millisecond {
		f.StartedAt = first
	}
	byService := e.directory.Targets(declared, m.now, f)
	for _, l := range m.reports() {
		l, seen := m.way.see(e, l, f, m.now)
		e.directory.ApplyReports(byService, []Report{l}, seen, m.now)
	}
	used := map[netip.AddrPort]Target{}
	for _, t := range byService["s"] {
		used[t.Address] = t
	}
	return used
}

// check looks at an entry that is in touch.
func (m *model) check(e *modelEntry) {
	used := m.targets(e)
	if m.now.Sub(e.startedAt) < inTouch || m.storeAway() || m.now.Sub(m.back) < inTouch {
		return
	}
	for i, engine := range m.engines {
		t, ok := used[listing(engine.name, uint16(i+1)).Address]
		ok = ok && t.Instance == engine.name
		switch {
		case ok && !engine.leftAt.IsZero() && m.now.Sub(engine.leftAt) > leftBound:
			m.late += modelStep
			m.lateStory = fmt.Sprintf("%s left %s ago and is used (doubtful %v) by an entry that started %s ago", engine.name, m.now.Sub(engine.leftAt), t.Unconfirmed, m.now.Sub(e.startedAt))
		case !ok && engine.up && engine.leftAt.IsZero():
			m.idle += modelStep
		}
	}
}

// No target that left two seconds ago is used by an entry that is in touch, whichever
// processes start anew, and no listed one is passed over.
func TestNoTargetThatLeftIsUsed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)), kept)
		for range 400 {
			m.step()
			if m.late > 0 {
				rt.Fatal(m.lateStory)
			}
		}
		for _, e := range m.entries {
			m.checkListed(rt, e)
		}
	})
}

// checkListed looks for listed engines that an entry does not use although it has read them.
func (m *model) checkListed(rt *rapid.T, e *modelEntry) {
	if m.storeAway() || e.copy.CurrentAt() != m.now {
		return
	}
	used := m.targets(e)
	for i, engine := range m.engines {
		t, ok := used[listing(engine.name, uint16(i+1)).Address]
		if engine.up && engine.listed && (!ok || t.Instance != engine.name || t.Unconfirmed) {
			rt.Fatalf("%s is listed and not used: %+v", engine.name, t)
		}
	}
}

// The ways to take a report beside the list, on the same plays: for how long engines that
// had left are used, and how long living ones are not (-v shows it).
func TestWaysToTakeReports(t *testing.T) {
	const plays, steps = 12, 900
	late, idle := map[string]time.Duration{}, map[string]time.Duration{}
	for _, w := range ways {
		for seed := range uint64(plays) {
			m := newModel(rand.New(rand.NewPCG(seed, 2)), w)
			for range steps {
				m.step()
			}
			late[w.name] += m.late
			idle[w.name] += m.idle
		}
		t.Logf("%-35s left and used %8s, living and idle %8s, in %d plays of %s", w.name, late[w.name], idle[w.name], plays, steps*modelStep)
	}
	if late[kept.name] != 0 {
		t.Errorf("engines that had left are used for %s", late[kept.name])
	}
	for _, w := range ways {
		if w.name != kept.name && late[w.name] == 0 && idle[w.name] < idle[kept.name] {
			t.Errorf("%q uses none that left either and leaves less idle", w.name)
		}
	}
	if slices.Max([]time.Duration{late[ways[0].name], late[ways[2].name]}) == 0 {
		t.Error("no play shows an engine that had left")
	}
}
