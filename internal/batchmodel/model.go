package batchmodel

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/placement"
	"github.com/toucanwell/toucanwell/internal/gateway/readtime"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
)

// Spec is a deployment with its traffic.
type Spec struct {
	Engine         EngineSpec
	Engines, Zones int
	Entries        int
	Classes        []Class
	// Load multiplies the rates of the classes.
	LoadFactor float64
	Duration   time.Duration
	// Versions are the times at which new weights are named.
	WeightUpdates []time.Duration
	// Lag is how old the policies' knowledge of caches is.
	CacheViewLag time.Duration
	Seed         uint64
}

// Policies are the names of the policies, in the order of the table.
var Policies = []string{"random", "least work", "hash of the family", "toucanwell", "oracle"}

// Result is what one policy made of the traffic.
type Result struct {
	Policy string
	// Worth is the share of what callers were owed.
	Worth float64
	// Hit is the share of shared tokens that were cached or fetched; Again the share
	// of all tokens that were read although an engine held them.
	Hit, Again float64
	// Refused and Left are shares of requests: refused at once, and left by their
	// callers before the first token.
	Refused, Left float64
	// Classes in the order of the spec.
	Classes []ClassResult
}

// ClassResult is one class's.
type ClassResult struct {
	Name     string
	P50, P99 time.Duration
	InTime   float64
}

// model is one run.
type model struct {
	spec    Spec
	policy  string
	random  *rand.Rand
	engines []*engine
	ledger  *ledger.Ledger
	meter   *readtime.Predictor
	seen    []snapshot
	seenAt  time.Duration
	stats   stats
	begun   time.Time
}

// snapshot is what is known of an engine's cache.
type snapshot struct {
	version int
	held    map[uint64]bool
}

type stats struct {
	owed, got               float64
	shared, kept, again, in int
	requests, refused, left int
	first                   map[string][]time.Duration
	inTime, asked           map[string]int
}

// Run plays the traffic under a policy.
func Run(spec Spec, policy string) (*Result, error) {
	if !slices.Contains(Policies, policy) {
		return nil, fmt.Errorf("policy %q; there are %v", policy, Policies)
	}
	m := &model{
		spec: spec, policy: policy, random: rand.New(rand.NewPCG(spec.Seed, 1)), ledger: ledger.New(), meter: readtime.NewPredictor(),
		begun: time.Unix(1_000_000, 0), stats: stats{first: map[string][]time.Duration{}, inTime: map[string]int{}, asked: map[string]int{}},
	}
	for i := range spec.Engines {
		m.engines = append(m.engines, newEngine(spec.Engine, i, i%spec.Zones))
	}
	m.scheduleLoads()
	// All policies meet the same traffic.
	for _, q := range generate(spec.Classes, spec.Entries, spec.Duration, spec.LoadFactor, rand.New(rand.NewPCG(spec.Seed, 2))) {
		m.advance(q.at)
		m.place(q)
	}
	m.advance(spec.Duration + time.Minute)
	return m.result(), nil
}

// scheduleLoads lets each named version roll a few engines at a time, in the order
// of turns that sidecars go by.
func (m *model) scheduleLoads() {
	for v, at := range m.spec.WeightUpdates {
		views := make([]weights.EngineView, len(m.engines))
		for i := range views {
			views[i] = weights.EngineView{Incarnation: fleet.Incarnation{Instance: strconv.Itoa(i)}}
		}
		for place, turn := range weights.RolloutOrder(views, int64(v+1)) {
			i, _ := strconv.Atoi(turn.Instance) // it was made from a number above
			round := place / weights.MaxParallelLoads(len(views))
			m.engines[i].loads = append(m.engines[i].loads, load{at: at + time.Duration(round)*m.spec.Engine.LoadTime, version: v + 1})
		}
	}
}

func (m *model) advance(until time.Duration) {
	for _, e := range m.engines {
		e.advance(until)
	}
}

func (m *model) time(at time.Duration) time.Time { return m.begun.Add(at) }

// look renews what is known of the caches, once in each lag.
func (m *model) look(now time.Duration) []snapshot {
	if m.policy != "oracle" && m.seen != nil && now-m.seenAt < m.spec.CacheViewLag {
		return m.seen
	}
	m.seen, m.seenAt = make([]snapshot, len(m.engines)), now
	for i, e := range m.engines {
		s := snapshot{version: e.version, held: make(map[uint64]bool, len(e.cache))}
		for key := range e.cache {
			s.held[key] = true
		}
		m.seen[i] = s
	}
	return m.seen
}

func (s snapshot) tokens(q *request) int {
	n := 0
	for _, p := range q.shared {
		if !s.held[p.key(s.version)] {
			break
		}
		n += p.tokens
	}
	return n
}

// place decides on a request and hands it to an engine.
func (m *model) place(q *request) {
	m.stats.requests++
	m.stats.asked[q.class.Name]++
	m.stats.owed += q.class.Worth
	seen := m.look(q.at)
	switch m.policy {
	case "random":
		m.send(q, m.engines[m.random.IntN(len(m.engines))], placement.Choice{Priority: q.class.Priority})
	case "least work":
		m.send(q, m.least(q), placement.Choice{Priority: q.class.Priority})
	case "hash of the family":
		m.send(q, m.engines[q.family()%uint64(len(m.engines))], placement.Choice{Priority: q.class.Priority})
	default:
		m.decide(q, seen)
	}
}

func (m *model) least(q *request) *engine {
	best := m.engines[0]
	for _, e := range m.engines[1:] {
		if e.waitingTokens(q.class.Priority) < best.waitingTokens(q.class.Priority) {
			best = e
		}
	}
	return best
}

// decide asks the product's own placement.
func (m *model) decide(q *request, seen []snapshot) {
	question := &placement.Input{
		Family: q.family(), SharedTokens: q.sharedTokens(), OwnTokens: q.own, MaxTokens: q.answer, Objective: q.class.TTFTObjective, Priority: q.class.Priority, LatePriority: ledger.Priorities/2 + q.class.Priority,
		MaxStaleness: time.Hour, PrefillTime: m.readTime,
	}
	totals := m.ledger.Totals(m.time(q.at))
	candidates := make([]placement.Candidate, len(m.engines))
	for i, e := range m.engines {
		c := &candidates[i]
		*c = placement.Candidate{
			Hash: placement.Mix(uint64(i) + 1), SameZone: e.zone == q.entry%m.spec.Zones, Slots: e.spec.Slots, Memory: e.spec.MemoryTokens,
			Work: totals[fleet.ID(i)], CachedTokens: seen[i].tokens(q),
		}
		if m.policy == "oracle" {
			c.Work.Prefill = ledger.AtPriority(0, m.readTime(e.waitingTokens(q.class.Priority)))
		}
		c.FetchableTokens, c.Source.TokensPerMs = m.fetchable(q, i, seen), m.spec.Engine.FetchTokensPerMs
		c.Source.SameZone = true
	}
	choice := placement.Pick(question, candidates)
	if choice.Estimate > q.class.MaxWait {
		m.stats.refused++
		return
	}
	m.send(q, m.engines[choice.Index], choice)
}

// fetchable is the most of a prompt that another engine with the same weights holds.
func (m *model) fetchable(q *request, to int, seen []snapshot) int {
	most := 0
	for i := range seen {
		if i != to && seen[i].version == seen[to].version {
			most = max(most, seen[i].tokens(q))
		}
	}
	return most
}

func (m *model) readTime(tokens int) time.Duration { return m.meter.PrefillTime(tokens) }

// send hands a request to an engine.
func (m *model) send(q *request, e *engine, choice placement.Choice) {
	held := e.held(q)
	m.stats.shared += q.sharedTokens()
	r := &run{request: q, engine: e, readyAt: q.at + e.spec.AdmissionDelay, urgency: choice.Priority}
	if choice.FetchedTokens > 0 {
		m.fetch(r, held+choice.FetchedTokens)
	}
	m.count(q, e, held)
	work := ledger.Work{Running: 1, Prefill: ledger.AtPriority(choice.Priority, choice.Prefill), Memory: ledger.AtPriority(choice.Priority, choice.PrefillTokens+choice.FetchedTokens+q.answer)}
	item := m.ledger.Begin(fleet.ID(e.index), work, choice.Wait+choice.Fetch, m.time(q.at))
	q.finish = func(r *run) { item.End(); m.finished(r) }
	r.onFirst = func(at time.Duration) { item.PrefillDone(); m.firstToken(r, choice, at) }
	e.waiting = append(e.waiting, r)
}

// fetch brings the parts of a prompt over the engine's link, one after the other.
func (m *model) fetch(r *run, upTo int) {
	e := r.engine
	tokens, n := 0, 0
	for _, p := range r.request.shared {
		if n += p.tokens; n > upTo {
			break
		}
		key := p.key(e.version)
		if e.cache[key] == nil && e.makeRoom(p.tokens) {
			e.cache[key] = &part{tokens: p.tokens, used: r.request.at}
			e.cached += p.tokens
			tokens += p.tokens
		}
	}
	if tokens == 0 {
		return
	}
	begin := max(e.linkAt, r.request.at) + e.spec.FetchLatency
	e.linkAt = begin + fromMs(float64(tokens)/e.spec.FetchTokensPerMs)
	r.readyAt = max(r.readyAt, e.linkAt)
	m.stats.kept += tokens
}

// count adds to the hit rate and to what is read again.
func (m *model) count(q *request, e *engine, held int) {
	m.stats.kept += held
	m.stats.in += q.prompt()
	now := e.held(q)
	for _, o := range m.engines {
		if o != e && o.version == e.version {
			if elsewhere := o.held(q); elsewhere > now {
				m.stats.again += elsewhere - now
				return
			}
		}
	}
}

// firstToken learns from the first token, as an entry does.
func (m *model) firstToken(r *run, choice placement.Choice, at time.Duration) {
	took := at - r.request.at
	if choice.PrefillTokens > 0 && choice.Wait < unhindered {
		m.meter.Record(choice.PrefillTokens, took-choice.Fetch)
	}
	c := r.request.class
	r.inTime = took <= c.TTFTObjective
	m.stats.first[c.Name] = append(m.stats.first[c.Name], took)
}

// unhindered is the expected wait up to which a prompt counts as having met no
// others.
const unhindered = 3 * time.Millisecond

// finished counts a run that ended, or whose caller left before its first token.
func (m *model) finished(r *run) {
	c := r.request.class
	switch {
	case r.made == 0:
		m.stats.left++
	case r.inTime && r.longest <= c.MaxTokenGap:
		m.stats.got += c.Worth
		m.stats.inTime[c.Name]++
	default:
		m.stats.got += c.LateWorth
	}
}

func (m *model) result() *Result {
	s := &m.stats
	r := &Result{
		Policy: m.policy, Worth: share(s.got, s.owed), Hit: share(float64(s.kept), float64(s.shared)), Again: share(float64(s.again), float64(s.in)),
		Refused: share(float64(s.refused), float64(s.requests)), Left: share(float64(s.left), float64(s.requests)),
	}
	for i := range m.spec.Classes {
		name := m.spec.Classes[i].Name
		first := s.first[name]
		slices.Sort(first)
		r.Classes = append(r.Classes, ClassResult{
			Name: name, P50: quantile(first, 0.5), P99: quantile(first, 0.99), InTime: share(float64(s.inTime[name]), float64(s.asked[name])),
		})
	}
	return r
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
