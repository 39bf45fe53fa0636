package batchmodel

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/placement"
	"github.com/toucanwell/toucanwell/internal/gateway/probe"
	"github.com/toucanwell/toucanwell/internal/gateway/readtime"
	"github.com/toucanwell/toucanwell/internal/gateway/tracker"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
)

// UnevenSpec describes one service whose engines differ in speed, and its traffic.
type UnevenSpec struct {
	Engine EngineSpec
	// Speeds are the times that the engines take relative to Engine, one per engine. Noise is the
	// standard deviation of the logarithm of each prompt's prefill time.
	Speeds []float64
	Noise  float64
	// Changes are changes of speed during the run, in the order of time.
	Changes []SpeedChange
	Entries int
	Classes []Class
	// Load is the demand as a share of the capacity of all engines.
	Load float64
	// Requests that arrive before Warmup are not counted in the result.
	Duration, Warmup time.Duration
	// Probed is set if entries probe the engines' sidecars, as in large fleets. Otherwise each
	// entry learns of the others' sends after AnnounceDelay.
	Probed        bool
	AnnounceDelay time.Duration
	// UseSpeeds is set if entries and sidecars estimate the speeds of engines.
	UseSpeeds bool
	Seed      uint64
}

// SpeedChange sets the speed of an engine at a time.
type SpeedChange struct {
	At     time.Duration
	Engine int
	Speed  float64
}

// UnevenResult is the result of a run: a row per class.
type UnevenResult struct {
	Classes []UnevenClass
	// Sent is the share of the prompt tokens that each engine got.
	Sent []float64
}

// UnevenClass holds percentiles of the time to the first event, and the shares of requests with
// the first event within 400 ms and 800 ms and within the class's objective.
type UnevenClass struct {
	Name                         string
	P50, P99                     time.Duration
	Within400, Within800, InTime float64
	LatePauses                   float64
	requests, late               int
	within400, within800, inTime int
	first                        []time.Duration
}

// unevenEntry is an entry of the simulation.
type unevenEntry struct {
	address   netip.AddrPort
	ledger    *ledger.Ledger
	predictor *readtime.Predictor
	paces     *readtime.Slowdowns
	speeds    *readtime.Speeds
	spread    *readtime.Spread
	steps     *readtime.StepTimes
	announced time.Duration
}

// unevenRun is the state of a simulation of uneven engines.
type unevenRun struct {
	spec     UnevenSpec
	random   *rand.Rand
	clock    time.Duration
	engines  []*engine
	trackers []*tracker.Tracker
	entries  []*unevenEntry
	events   []timedEvent
	sendID   uint32
	sent     []float64
	classes  map[*Class]*UnevenClass
}

// timedEvent is an event of an engine that is delivered when the simulation's time reaches it.
type timedEvent struct {
	at      time.Duration
	deliver func()
}

// RunUneven simulates uneven engines.
func RunUneven(spec UnevenSpec) *UnevenResult {
	m := &unevenRun{spec: spec, random: rand.New(rand.NewPCG(spec.Seed, 3)), sent: make([]float64, len(spec.Speeds)), classes: map[*Class]*UnevenClass{}}
	for i, speed := range spec.Speeds {
		e := newEngine(spec.Engine, i, 0)
		e.speed, e.noise = speed, func() float64 { return math.Exp(spec.Noise * m.random.NormFloat64()) }
		m.engines = append(m.engines, e)
		t := tracker.New(m.now)
		t.SetState(tracker.State{Incarnation: incarnationOf(i), Phase: weights.Serving})
		t.EstimateSpeed(spec.UseSpeeds)
		m.trackers = append(m.trackers, t)
	}
	for i := range spec.Entries {
		m.entries = append(m.entries, &unevenEntry{
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
			ledger:  ledger.New(), predictor: readtime.NewPredictor(), paces: readtime.NewSlowdowns(), speeds: readtime.NewSpeeds(), spread: readtime.NewSpread(), steps: readtime.NewStepTimes(),
		})
	}
	perSecond := 0.0
	for i := range spec.Classes {
		perSecond += spec.Classes[i].PerSecond
		m.classes[&spec.Classes[i]] = &UnevenClass{Name: spec.Classes[i].Name}
	}
	for _, q := range generateRequests(spec.Classes, spec.Entries, spec.Duration, spec.Load*spec.capacity()/perSecond, rand.New(rand.NewPCG(spec.Seed, 4))) {
		m.advance(q.arrival)
		m.place(q)
	}
	m.advance(spec.Duration + time.Minute)
	return m.result()
}

// capacity returns how many requests a second the engines can prefill.
func (s *UnevenSpec) capacity() float64 {
	weight, cost := 0.0, 0.0
	for _, c := range s.Classes {
		k := float64(c.OwnTokens)
		weight += c.PerSecond
		cost += c.PerSecond * (k/s.Engine.PrefillTokensPerMs + k*k/2/1e6*s.Engine.AttentionMs + s.Engine.Step.Seconds()*1000)
	}
	engines := 0.0
	for _, speed := range s.Speeds {
		engines += 1 / speed
	}
	return engines * 1000 * weight / cost
}

func incarnationOf(engine int) fleet.Incarnation {
	return fleet.Incarnation{Instance: strconv.Itoa(engine)}
}

// epoch is the start of the simulation.
var epoch = time.Unix(1_000_000, 0)

func (m *unevenRun) now() time.Time { return epoch.Add(m.clock) }

// advance runs the engines and delivers their events up to a time.
func (m *unevenRun) advance(until time.Duration) {
	for _, c := range m.spec.Changes {
		if c.At <= until {
			m.engines[c.Engine].speed = c.Speed
		}
	}
	for _, e := range m.engines {
		e.advance(until)
	}
	slices.SortStableFunc(m.events, func(a, b timedEvent) int { return cmp.Compare(a.at, b.at) })
	for len(m.events) > 0 && m.events[0].at <= until {
		m.clock = m.events[0].at
		m.events[0].deliver()
		m.events = m.events[1:]
	}
	m.clock = until
	m.announce()
}

// announce passes the work of each entry on to the others.
func (m *unevenRun) announce() {
	if m.spec.Probed {
		return
	}
	for _, from := range m.entries {
		if m.clock-from.announced < m.spec.AnnounceDelay {
			continue
		}
		from.announced = m.clock
		work := from.ledger.Own(m.now())
		for _, to := range m.entries {
			if to != from {
				to.ledger.ApplyReport(from.address, work, false, m.now())
			}
		}
	}
}

// place chooses the engine for a request as an entry does, and sends it there.
func (m *unevenRun) place(q *request) {
	e := m.entries[q.entry]
	in := &placement.Input{
		Family: m.random.Uint64(), OwnTokens: q.ownTokens, MaxTokens: q.outputTokens, Objective: q.class.TTFTObjective,
		Priority: q.class.Priority, LatePriority: ledger.Priorities/2 + q.class.Priority, MaxStaleness: time.Hour, PrefillTime: e.predictor.PrefillTime,
	}
	candidates, speeds := m.candidates(e)
	if m.spec.UseSpeeds && e.spread.Note("", speeds, m.now()) {
		in.Uneven, in.MaxPause = true, m.strictestPause()
		in.Pause = func(running int) time.Duration { return e.steps.Pause("", running) }
		if !m.spec.Probed {
			readtime.Relative(speeds)
		}
		for i := range candidates {
			candidates[i].Slowdown = readtime.FactorOf(speeds[i], candidates[i].Slowdown)
		}
	}
	choice := placement.Pick(in, candidates)
	m.send(q, e, choice, &candidates[choice.Index])
}

// candidates returns the engines as an entry sees them, and their speeds.
func (m *unevenRun) candidates(e *unevenEntry) ([]placement.Candidate, []readtime.Speed) {
	speeds := make([]readtime.Speed, len(m.engines))
	candidates := make([]placement.Candidate, len(m.engines))
	var totals map[fleet.ID]ledger.Work
	if !m.spec.Probed {
		totals = e.ledger.Totals(m.now())
	}
	for i := range candidates {
		c := &candidates[i]
		*c = placement.Candidate{Hash: placement.Mix(uint64(i + 1)), SameZone: true, Slots: m.spec.Engine.Slots, Memory: m.spec.Engine.MemoryTokens}
		if m.spec.Probed {
			a, _ := m.trackers[i].Probe(probe.Prompt{})
			c.Work, c.OfferedLoad, c.Slowdown = a.Work, a.OfferedLoad, a.Slowdown
			speeds[i] = readtime.FromReport(a.Speed)
		} else {
			c.Work, c.Slowdown = totals[fleet.ID(i+1)], e.paces.Factor(incarnationOf(i), m.now())
			speeds[i] = e.speeds.Speed(incarnationOf(i), m.now())
		}
	}
	return candidates, speeds
}

// send queues a request at an engine and records what an entry and a sidecar record of it.
func (m *unevenRun) send(q *request, e *unevenEntry, choice placement.Choice, c *placement.Candidate) {
	slowdown, running := c.Slowdown, c.Work.Running+1
	engine, t := m.engines[choice.Index], m.trackers[choice.Index]
	m.sent[choice.Index] += float64(q.ownTokens)
	expected := choice.AtUsualSpeed(slowdown)
	work := ledger.Work{Running: 1, Prefill: ledger.AtPriority(choice.Priority, choice.Prefill), Memory: ledger.AtPriority(choice.Priority, q.ownTokens+q.outputTokens/2)}
	item := e.ledger.Begin(fleet.ID(choice.Index+1), work, choice.Wait, m.now())
	m.sendID++
	id := probe.SendID{Entry: e.address, Sequence: m.sendID}
	t.OnSend(id, probe.Send{
		PrefillTime: time.Duration(slowdown * float64(e.predictor.BlockingTime(q.ownTokens))), Priority: choice.Priority,
		Memory: q.ownTokens + q.outputTokens/2, Lifetime: time.Minute,
	})
	r := &run{request: q, engine: engine, readyAt: q.arrival + engine.spec.AdmissionDelay, priority: choice.Priority}
	first := time.Duration(0)
	r.onFirstToken = func(at time.Duration) {
		first = at
		m.at(at, func() {
			item.PrefillDone()
			t.OnProgress(id, probe.Progress{PrefillDone: true, Latency: at - q.arrival, ExpectedLatency: expected})
			e.paces.Record(incarnationOf(choice.Index), at-q.arrival, expected, m.now())
			e.speeds.Record(incarnationOf(choice.Index), at-q.arrival, expected, m.now())
			if choice.Wait < maxUncontendedWait {
				e.predictor.Record(q.ownTokens, at-q.arrival)
			}
			m.recordFirst(q, at-q.arrival)
		})
	}
	q.onFinish = func(r *run) {
		m.at(engine.clock, func() {
			item.End()
			t.OnProgress(id, probe.Progress{Ended: true})
			if r.generated > 1 {
				e.steps.Record("", running, time.Duration(float64(r.lastToken-first)/float64(r.generated-1)/slowdown), m.now())
			}
			m.recordEnd(q, r)
		})
	}
	engine.waiting = append(engine.waiting, r)
}

func (m *unevenRun) strictestPause() time.Duration {
	strictest := m.spec.Classes[0].MaxTokenGap
	for _, c := range m.spec.Classes {
		strictest = min(strictest, c.MaxTokenGap)
	}
	return strictest
}

func (m *unevenRun) at(at time.Duration, deliver func()) {
	m.events = append(m.events, timedEvent{at, deliver})
}

func (m *unevenRun) recordFirst(q *request, took time.Duration) {
	c := m.classes[q.class]
	if q.arrival < m.spec.Warmup {
		return
	}
	c.first = append(c.first, took)
	c.within400 += countIf(took <= 400*time.Millisecond)
	c.within800 += countIf(took <= 800*time.Millisecond)
	c.inTime += countIf(took <= q.class.TTFTObjective)
}

// recordEnd counts a request that has ended, also one whose caller gave up.
func (m *unevenRun) recordEnd(q *request, r *run) {
	c := m.classes[q.class]
	if q.arrival < m.spec.Warmup {
		return
	}
	c.requests++
	c.late += countIf(r.maxGap > q.class.MaxTokenGap)
}

func countIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

func (m *unevenRun) result() *UnevenResult {
	r := &UnevenResult{}
	total := 0.0
	for _, tokens := range m.sent {
		total += tokens
	}
	for _, tokens := range m.sent {
		r.Sent = append(r.Sent, ratio(tokens, total))
	}
	for i := range m.spec.Classes {
		c := m.classes[&m.spec.Classes[i]]
		slices.Sort(c.first)
		c.P50, c.P99 = quantile(c.first, 0.5), quantile(c.first, 0.99)
		n := float64(c.requests)
		c.Within400, c.Within800, c.InTime, c.LatePauses = ratio(float64(c.within400), n), ratio(float64(c.within800), n), ratio(float64(c.inTime), n), ratio(float64(c.late), n)
		r.Classes = append(r.Classes, *c)
	}
	return r
}
