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

// The model simulates a fleet on a virtual clock. Engines crash, restart, and leave the list
// while they finish requests; sidecars and entries restart; the store has outages, during which
// list entries expire, and trims its log. The entries use the real Replica and Directory.
const (
	modelStep    = 100 * time.Millisecond
	modelEngines = 12
	modelEntries = 3
	// departureBound is how long after its removal a target may still get new requests.
	departureBound = 2 * time.Second
	// settleTime is how long a process must run, and the store must be up, before
	// departureBound applies to it.
	settleTime = 3 * time.Second
	// listingDelay is how long a target that reaches the store takes to be listed.
	listingDelay = 1200 * time.Millisecond
)

// modelEngine is the process at one address.
type modelEngine struct {
	name      string
	up        bool
	listed    bool
	startedAt time.Time
	// departedAt is when it left the list for good; it serves until stopsAt.
	departedAt, stopsAt time.Time
	// shortLived incarnations leave as soon as they are listed.
	shortLived bool
	// sidecarStartedAt is when the engine's sidecar started. If it saw this incarnation start,
	// startedAfter is when it last saw the one before.
	sidecarStartedAt time.Time
	startedAfter     time.Time
}

// modelEntry is an entry and its view of the list.
type modelEntry struct {
	replica    *feed.Replica
	directory  *Directory
	startedAt  time.Time
	nextSyncAt time.Time
	// firstReported is used by the policy that trusts a report for a time.
	firstReported map[Incarnation]time.Time
}

type model struct {
	random  *rand.Rand
	now     time.Time
	policy  reportPolicy
	engines []*modelEngine
	entries []*modelEntry
	records []feed.Record
	newest  map[string]uint64
	trimmed uint64
	// outageUntil is the end of the current outage of the store, recoveredAt that of the last.
	outageUntil, recoveredAt time.Time
	incarnations             int
	// lateUse is how long settled entries would have used departed targets, and idleTime how
	// long they would not have used live ones.
	lateUse, idleTime time.Duration
	lateDetail        string
}

// reportPolicy is a way to treat reported incarnations that the list does not show.
type reportPolicy struct {
	name      string
	interpret func(e *modelEntry, r Report, sync SyncState, now time.Time) (Report, SyncState)
}

// policies are the implemented policy and its alternatives.
var policies = []reportPolicy{
	{"trust every report", func(_ *modelEntry, r Report, sync SyncState, now time.Time) (Report, SyncState) {
		r.StartedAfter = now.Add(time.Hour)
		return r, sync
	}},
	{"trust the list only", func(_ *modelEntry, r Report, sync SyncState, _ time.Time) (Report, SyncState) {
		r.StartedAfter, sync.StartedAt, sync.OutageEnded, sync.Current = time.Time{}, time.Time{}, time.Time{}, true
		return r, sync
	}},
	{"trust a target's reports for a time", func(e *modelEntry, r Report, sync SyncState, now time.Time) (Report, SyncState) {
		if _, known := e.firstReported[r.Incarnation]; !known {
			e.firstReported[r.Incarnation] = now
		}
		r.StartedAfter, sync.StartedAt = time.Time{}, e.firstReported[r.Incarnation]
		return r, sync
	}},
	currentPolicy,
}

var currentPolicy = reportPolicy{"trust reports of targets seen to start", func(_ *modelEntry, r Report, sync SyncState, _ time.Time) (Report, SyncState) { return r, sync }}

func newModel(random *rand.Rand, policy reportPolicy) *model {
	m := &model{random: random, now: start, policy: policy, newest: map[string]uint64{}, recoveredAt: start}
	for i := range modelEngines {
		m.engines = append(m.engines, &modelEngine{sidecarStartedAt: m.now})
		m.startEngine(i)
		m.addEngine(i)
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
	m.entries[i] = &modelEntry{replica: feed.NewReplica(feed.ReplicaOptions{OutageGap: 1500 * time.Millisecond}), directory: NewDirectory(), startedAt: m.now, firstReported: map[Incarnation]time.Time{}}
}

// startEngine starts a new incarnation at an address.
func (m *model) startEngine(i int) {
	e := m.engines[i]
	m.incarnations++
	seenBefore := e.name != "" && !e.sidecarStartedAt.After(m.now.Add(-modelStep))
	*e = modelEngine{name: fmt.Sprintf("e%d-%d", i, m.incarnations), up: true, startedAt: m.now, sidecarStartedAt: e.sidecarStartedAt, shortLived: m.random.IntN(4) == 0}
	if seenBefore {
		e.startedAfter = m.now.Add(-modelStep)
	}
}

func (m *model) appendRecord(name string, value []byte) {
	m.newest[name] = uint64(len(m.records))
	m.records = append(m.records, feed.Record{Key: name, Value: value, Offset: uint64(len(m.records))})
}

func (m *model) addEngine(i int) {
	m.engines[i].listed = true
	m.appendRecord(m.engines[i].name, []byte{byte(i)})
}

func (m *model) removeEngine(i int) {
	m.engines[i].listed = false
	m.appendRecord(m.engines[i].name, nil)
}

func (m *model) storeDown() bool { return m.now.Before(m.outageUntil) }

// step advances the model by modelStep.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	if m.random.IntN(12) == 0 {
		m.randomEvent()
	}
	for i, e := range m.engines {
		m.advanceEngine(i, e)
	}
	for _, e := range m.entries {
		if !m.storeDown() && !m.now.Before(e.nextSyncAt) {
			m.syncEntry(e)
			e.nextSyncAt = m.now.Add(time.Duration(200+m.random.IntN(500)) * time.Millisecond)
		}
		m.check(e)
	}
}

func (m *model) randomEvent() {
	i := m.random.IntN(modelEngines)
	e := m.engines[i]
	switch m.random.IntN(9) {
	case 0: // the engine crashes and restarts later
		if e.up && e.departedAt.IsZero() {
			e.up, e.stopsAt = false, m.now.Add(time.Duration(m.random.IntN(5000))*time.Millisecond)
		}
	case 1, 2: // the engine leaves the list unannounced and finishes its requests
		if e.up && e.listed && !m.storeDown() {
			m.departEngine(i)
		}
	case 3:
		m.startEntry(m.random.IntN(modelEntries))
	case 4:
		for n := range m.entries {
			m.startEntry(n)
		}
	case 5, 6: // the engine's sidecar restarts after a delay
		e.sidecarStartedAt, e.startedAfter = m.now.Add(time.Duration(m.random.IntN(6000))*time.Millisecond), time.Time{}
	case 7:
		if !m.storeDown() {
			m.outageUntil = m.now.Add(time.Duration(500+m.random.IntN(5000)) * time.Millisecond)
		}
	case 8:
		m.trimmed = uint64(len(m.records))
	}
}

// departEngine removes an engine for good; it keeps serving until stopsAt.
func (m *model) departEngine(i int) {
	e := m.engines[i]
	e.departedAt, e.stopsAt = m.now, m.now.Add(departureBound+time.Duration(m.random.IntN(90000))*time.Millisecond)
	m.removeEngine(i)
}

// advanceEngine updates an engine's entry and restarts the engine once it has stopped.
func (m *model) advanceEngine(i int, e *modelEngine) {
	if m.storeDown() {
		m.recoveredAt = m.outageUntil
		if e.listed && m.random.IntN(20) == 0 {
			m.removeEngine(i) // the entry expires; readers see that after the outage
		}
	}
	switch {
	case !e.stopsAt.IsZero() && !m.now.Before(e.stopsAt):
		if e.listed {
			m.removeEngine(i)
		}
		m.startEngine(i)
	case e.up && !e.listed && e.departedAt.IsZero() && !m.storeDown() && m.now.Sub(e.startedAt) >= listingDelay && m.now.Sub(m.recoveredAt) >= listingDelay:
		m.addEngine(i)
		if e.shortLived {
			m.departEngine(i)
		}
	}
}

// peerMaxAge is the age of the first entry's replica from which the others read the store.
const peerMaxAge = 1100 * time.Millisecond

// syncEntry updates an entry's replica. The first entry always reads the store. Another does if
// the first lists other targets, is stale, or knows or may have missed a drop that it lacks.
func (m *model) syncEntry(e *modelEntry) {
	first := m.entries[0].replica
	stale := e.replica.CurrentAt().IsZero() || m.now.Sub(first.CurrentAt()) > peerMaxAge
	position := first.Coverage()
	if e.replica != first && !stale && !e.replica.LacksDrop(position) && e.replica.CoveredBy(position) && sameKeys(first, e.replica) {
		e.replica.MarkCurrent(first.CurrentAt())
		return
	}
	m.readStore(e)
}

func sameKeys(a, b *feed.Replica) bool {
	return slices.EqualFunc(a.Records(), b.Records(), func(x, y feed.Record) bool { return x.Key == y.Key })
}

// readStore reads the new records or, if these were trimmed, a snapshot.
func (m *model) readStore(e *modelEntry) {
	end := uint64(len(m.records))
	var changed []string
	if e.replica.End() < m.trimmed || e.replica.CurrentAt().IsZero() {
		changed = e.replica.Replace(feed.Snapshot{Records: m.newestRecords(), End: end}, m.now)
	} else {
		changed = e.replica.Merge(m.records[e.replica.End():], end, m.now)
	}
	for _, key := range changed {
		r, ok := e.replica.Get(key)
		if !ok {
			e.directory.Remove(key, m.now)
			continue
		}
		l := listing(key, uint16(r.Value[0])+1)
		e.directory.Add(l, r.At(), m.now)
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

// reports returns the reports of the running sidecars.
func (m *model) reports() []Report {
	var all []Report
	for i, e := range m.engines {
		if !e.up || m.now.Before(e.sidecarStartedAt) {
			continue
		}
		l := listing(e.name, uint16(i+1))
		all = append(all, Report{Incarnation: l.Incarnation, Service: l.Service, Address: l.Address, Zone: l.Zone, StartedAfter: e.startedAfter, AsOf: m.now})
	}
	return all
}

// targets returns the targets that an entry may use, by address.
func (m *model) targets(e *modelEntry) map[netip.AddrPort]Target {
	sync := SyncState{
		StartedAt: e.startedAt, CompleteSince: e.replica.CompleteSince(), OutageBegan: e.replica.OutageBegin(), OutageEnded: e.replica.OutageEnd(),
		Current: m.now.Sub(e.replica.CurrentAt()) < 2*time.Second,
	}
	if first := e.replica.FirstCurrentAt(); first.Sub(e.startedAt) > 1500*time.Millisecond {
		sync.StartedAt = first
	}
	byService := e.directory.Targets(declared, m.now, sync)
	for _, r := range m.reports() {
		r, assumed := m.policy.interpret(e, r, sync, m.now)
		e.directory.ApplyReports(byService, []Report{r}, assumed, m.now)
	}
	used := map[netip.AddrPort]Target{}
	for _, t := range byService["s"] {
		used[t.Address] = t
	}
	return used
}

// check adds to lateUse and idleTime for an entry that has settled.
func (m *model) check(e *modelEntry) {
	used := m.targets(e)
	if m.now.Sub(e.startedAt) < settleTime || m.storeDown() || m.now.Sub(m.recoveredAt) < settleTime {
		return
	}
	for i, engine := range m.engines {
		t, ok := used[listing(engine.name, uint16(i+1)).Address]
		ok = ok && t.Instance == engine.name
		switch {
		case ok && !engine.departedAt.IsZero() && m.now.Sub(engine.departedAt) > departureBound:
			m.lateUse += modelStep
			m.lateDetail = fmt.Sprintf("%s left %s ago and is used (unconfirmed %v) by an entry that started %s ago", engine.name, m.now.Sub(engine.departedAt), t.Unconfirmed, m.now.Sub(e.startedAt))
		case !ok && engine.up && engine.departedAt.IsZero():
			m.idleTime += modelStep
		}
	}
}

// A settled entry must not use a target that left more than departureBound ago, and must use
// every listed target, whichever processes restart.
func TestNoTargetThatLeftIsUsed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)), currentPolicy)
		for range 400 {
			m.step()
			if m.lateUse > 0 {
				rt.Fatal(m.lateDetail)
			}
		}
		for _, e := range m.entries {
			m.checkListed(rt, e)
		}
	})
}

// checkListed fails if an entry with a current replica does not use a listed engine.
func (m *model) checkListed(rt *rapid.T, e *modelEntry) {
	if m.storeDown() || e.replica.CurrentAt() != m.now {
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

// Of all policies for reports, the implemented one must use no departed engine and must leave
// live engines unused for the shortest time. The alternatives run on the same seeds.
func TestReportPolicies(t *testing.T) {
	const runs, steps = 12, 900
	lateUse, idleTime := map[string]time.Duration{}, map[string]time.Duration{}
	for _, p := range policies {
		for seed := range uint64(runs) {
			m := newModel(rand.New(rand.NewPCG(seed, 2)), p)
			for range steps {
				m.step()
			}
			lateUse[p.name] += m.lateUse
			idleTime[p.name] += m.idleTime
		}
		t.Logf("%-35s departed but used %8s, live but unused %8s, in %d runs of %s", p.name, lateUse[p.name], idleTime[p.name], runs, steps*modelStep)
	}
	if lateUse[currentPolicy.name] != 0 {
		t.Errorf("departed engines are used for %s", lateUse[currentPolicy.name])
	}
	for _, p := range policies {
		if p.name != currentPolicy.name && lateUse[p.name] == 0 && idleTime[p.name] < idleTime[currentPolicy.name] {
			t.Errorf("policy %q uses no departed engine either and leaves live ones unused for less time", p.name)
		}
	}
	if slices.Max([]time.Duration{lateUse[policies[0].name], lateUse[policies[2].name]}) == 0 {
		t.Error("no run of the alternatives uses a departed engine")
	}
}
