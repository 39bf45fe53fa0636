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
type simulation struct {
	spec        Spec
	policy      string
	random      *rand.Rand
	engines     []*engine
	ledger      *ledger.Ledger
	predictor   *readtime.Predictor
	cacheView   []cacheSnapshot
	cacheViewAt time.Duration
	stats       stats
	epoch       time.Time
}

// snapshot is what is known of an engine's cache.
type cacheSnapshot struct {
	version int
	parts   map[uint64]bool
}

type stats struct {
	maxWorth, worth                                         float64
	sharedTokens, hitTokens, recomputedTokens, promptTokens int
	requests, refused, abandoned                            int
	ttft                                                    map[string][]time.Duration
	inTime, byClass                                         map[string]int
}

// Run plays the traffic under a policy.
func Run(spec Spec, policy string) (*Result, error) {
	if !slices.Contains(Policies, policy) {
		return nil, fmt.Errorf("policy %q; there are %v", policy, Policies)
	}
	m := &simulation{
		spec: spec, policy: policy, random: rand.New(rand.NewPCG(spec.Seed, 1)), ledger: ledger.New(), predictor: readtime.NewPredictor(),
		epoch: time.Unix(1_000_000, 0), stats: stats{ttft: map[string][]time.Duration{}, inTime: map[string]int{}, byClass: map[string]int{}},
	}
	for i := range spec.Engines {
		m.engines = append(m.engines, newEngine(spec.Engine, i, i%spec.Zones))
	}
	m.scheduleLoads()
	// All policies meet the same traffic.
	for _, q := range generateRequests(spec.Classes, spec.Entries, spec.Duration, spec.LoadFactor, rand.New(rand.NewPCG(spec.Seed, 2))) {
		m.advance(q.arrival)
		m.place(q)
	}
	m.advance(spec.Duration + time.Minute)
	return m.result(), nil
}

// scheduleLoads lets each named version roll a few engines at a time, in the order
// of turns that sidecars go by.
func (m *simulation) scheduleLoads() {
	for v, at := range m.spec.WeightUpdates {
		views := make([]weights.EngineView, len(m.engines))
		for i := range views {
			views[i] = weights.EngineView{Incarnation: fleet.Incarnation{Instance: strconv.Itoa(i)}}
		}
		for place, turn := range weights.Turns(views, int64(v+1)) {
			i, _ := strconv.Atoi(turn.Instance) // it was made from a number above
			round := place / weights.Parallel(len(views))
			m.engines[i].pendingLoads = append(m.engines[i].pendingLoads, weightLoad{at: at + time.Duration(round)*m.spec.Engine.LoadTime, version: v + 1})
		}
	}
}

func (m *simulation) advance(until time.Duration) {
	for _, e := range m.engines {
		e.advance(until)
	}
}

func (m *simulation) wallTime(at time.Duration) time.Time { return m.epoch.Add(at) }

// look renews what is known of the caches, once in each lag.
func (m *simulation) currentCacheView(now time.Duration) []cacheSnapshot {
	if m.policy != "oracle" && m.cacheView != nil && now-m.cacheViewAt < m.spec.CacheViewLag {
		return m.cacheView
	}
	m.cacheView, m.cacheViewAt = make([]cacheSnapshot, len(m.engines)), now
	for i, e := range m.engines {
		s := cacheSnapshot{version: e.version, parts: make(map[uint64]bool, len(e.cache))}
		for key := range e.cache {
			s.parts[key] = true
		}
		m.cacheView[i] = s
	}
	return m.cacheView
}

func (s cacheSnapshot) cachedPrefix(q *request) int {
	n := 0
	for _, p := range q.sharedParts {
		if !s.parts[p.cacheKey(s.version)] {
			break
		}
		n += p.tokens
	}
	return n
}

// place decides on a request and hands it to an engine.
func (m *simulation) place(q *request) {
	m.stats.requests++
	m.stats.byClass[q.class.Name]++
	m.stats.maxWorth += q.class.Worth
	seen := m.currentCacheView(q.arrival)
	switch m.policy {
	case "random":
		m.send(q, m.engines[m.random.IntN(len(m.engines))], placement.Choice{Priority: q.class.Priority})
	case "least work":
		m.send(q, m.leastLoaded(q), placement.Choice{Priority: q.class.Priority})
	case "hash of the family":
		m.send(q, m.engines[q.family()%uint64(len(m.engines))], placement.Choice{Priority: q.class.Priority})
	default:
		m.placeByProduct(q, seen)
	}
}

func (m *simulation) leastLoaded(q *request) *engine {
	best := m.engines[0]
	for _, e := range m.engines[1:] {
		if e.queuedPrefillTokens(q.class.Priority) < best.queuedPrefillTokens(q.class.Priority) {
			best = e
		}
	}
	return best
}

// decide asks the product's own placement.
func (m *simulation) placeByProduct(q *request, seen []cacheSnapshot) {
	question := &placement.Input{
		Family: q.family(), SharedTokens: q.sharedTokens(), OwnTokens: q.ownTokens, MaxTokens: q.outputTokens, Objective: q.class.TTFTObjective, Priority: q.class.Priority, LatePriority: ledger.Priorities/2 + q.class.Priority,
		MaxStaleness: time.Hour, PrefillTime: m.prefillTime,
	}
	totals := m.ledger.Totals(m.wallTime(q.arrival))
	candidates := make([]placement.Candidate, len(m.engines))
	for i, e := range m.engines {
		c := &candidates[i]
		*c = placement.Candidate{
			Hash: placement.Mix(uint64(i) + 1), SameZone: e.zone == q.entry%m.spec.Zones, Slots: e.spec.Slots, Memory: e.spec.MemoryTokens,
			Work: totals[fleet.ID(i)], CachedTokens: seen[i].cachedPrefix(q),
		}
		if m.policy == "oracle" {
			c.Work.Prefill = ledger.AtPriority(0, m.prefillTime(e.queuedPrefillTokens(q.class.Priority)))
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
func (m *simulation) fetchable(q *request, to int, seen []cacheSnapshot) int {
	most := 0
	for i := range seen {
		if i != to && seen[i].version == seen[to].version {
			most = max(most, seen[i].cachedPrefix(q))
		}
	}
	return most
}

func (m *simulation) prefillTime(tokens int) time.Duration { return m.predictor.PrefillTime(tokens) }

// send hands a request to an engine.
func (m *simulation) send(q *request, e *engine, choice placement.Choice) {
	held := e.cachedPrefix(q)
	m.stats.sharedTokens += q.sharedTokens()
	r := &run{request: q, engine: e, readyAt: q.arrival + e.spec.AdmissionDelay, priority: choice.Priority}
	if choice.FetchedTokens > 0 {
		m.fetch(r, held+choice.FetchedTokens)
	}
	m.countHits(q, e, held)
	work := ledger.Work{Running: 1, Prefill: ledger.AtPriority(choice.Priority, choice.Prefill), Memory: ledger.AtPriority(choice.Priority, choice.PrefillTokens+choice.FetchedTokens+q.outputTokens)}
	item := m.ledger.Begin(fleet.ID(e.index), work, choice.Wait+choice.Fetch, m.wallTime(q.arrival))
	q.onFinish = func(r *run) { item.End(); m.recordFinish(r) }
	r.onFirstToken = func(at time.Duration) { item.PrefillDone(); m.recordFirstToken(r, choice, at) }
	e.waiting = append(e.waiting, r)
}

// fetch brings the parts of a prompt over the engine's link, one after the other.
func (m *simulation) fetch(r *run, upTo int) {
	e := r.engine
	tokens, n := 0, 0
	for _, p := range r.request.sharedParts {
		if n += p.tokens; n > upTo {
			break
		}
		key := p.cacheKey(e.version)
		if e.cache[key] == nil && e.evictFor(p.tokens) {
			e.cache[key] = &cachedPart{tokens: p.tokens, lastUsed: r.request.arrival}
			e.cachedTokens += p.tokens
			tokens += p.tokens
		}
	}
	if tokens == 0 {
		return
	}
	begin := max(e.linkFreeAt, r.request.arrival) + e.spec.FetchLatency
	e.linkFreeAt = begin + fromMs(float64(tokens)/e.spec.FetchTokensPerMs)
	r.readyAt = max(r.readyAt, e.linkFreeAt)
	m.stats.hitTokens += tokens
}

// count adds to the hit rate and to what is read again.
func (m *simulation) countHits(q *request, e *engine, held int) {
	m.stats.hitTokens += held
	m.stats.promptTokens += q.promptTokens()
	now := e.cachedPrefix(q)
	for _, o := range m.engines {
		if o != e && o.version == e.version {
			if elsewhere := o.cachedPrefix(q); elsewhere > now {
				m.stats.recomputedTokens += elsewhere - now
				return
			}
		}
	}
}

// firstToken learns from the first token, as an entry does.
func (m *simulation) recordFirstToken(r *run, choice placement.Choice, at time.Duration) {
	took := at - r.request.arrival
	if choice.PrefillTokens > 0 && choice.Wait < maxUncontendedWait {
		m.predictor.Record(choice.PrefillTokens, took-choice.Fetch)
	}
	c := r.request.class
	r.firstInTime = took <= c.TTFTObjective
	m.stats.ttft[c.Name] = append(m.stats.ttft[c.Name], took)
}

// unhindered is the expected wait up to which a prompt counts as having met no
// others.
const maxUncontendedWait = 3 * time.Millisecond

// finished counts a run that ended, or whose caller left before its first token.
func (m *simulation) recordFinish(r *run) {
	c := r.request.class
	switch {
	case r.generated == 0:
		m.stats.abandoned++
	case r.firstInTime && r.maxGap <= c.MaxTokenGap:
		m.stats.worth += c.Worth
		m.stats.inTime[c.Name]++
	default:
		m.stats.worth += c.LateWorth
	}
}

func (m *simulation) result() *Result {
	s := &m.stats
	r := &Result{
		Policy: m.policy, Worth: ratio(s.worth, s.maxWorth), Hit: ratio(float64(s.hitTokens), float64(s.sharedTokens)), Again: ratio(float64(s.recomputedTokens), float64(s.promptTokens)),
		Refused: ratio(float64(s.refused), float64(s.requests)), Left: ratio(float64(s.abandoned), float64(s.requests)),
	}
	for i := range m.spec.Classes {
		name := m.spec.Classes[i].Name
		first := s.ttft[name]
		slices.Sort(first)
		r.Classes = append(r.Classes, ClassResult{
			Name: name, P50: quantile(first, 0.5), P99: quantile(first, 0.99), InTime: ratio(float64(s.inTime[name]), float64(s.byClass[name])),
		})
	}
	return r
}

func ratio(part, whole float64) float64 {
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
