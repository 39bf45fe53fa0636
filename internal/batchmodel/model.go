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

// Spec describes a deployment and its traffic.
type Spec struct {
	Engine         EngineSpec
	Engines, Zones int
	Entries        int
	Classes        []Class
	// LoadFactor multiplies the request rates of the classes.
	LoadFactor float64
	Duration   time.Duration
	// WeightUpdates are the times at which rollouts of new weights start.
	WeightUpdates []time.Duration
	// CacheViewLag is the interval at which the policies' view of the caches is refreshed.
	CacheViewLag time.Duration
	Seed         uint64
}

// Policies lists the names of the policies in the order of output.
var Policies = []string{"random", "least work", "hash of the family", "toucanwell", "oracle"}

// Result is the result of one policy.
type Result struct {
	Policy string
	// Worth is the achieved share of the worth of all requests.
	Worth float64
	// Hit is the share of shared tokens that were cached or fetched, Again the share of all
	// prompt tokens that were prefilled although another engine had them cached.
	Hit, Again float64
	// Refused is the share of requests that were refused, Left the share whose callers gave up
	// before the first token.
	Refused, Left float64
	// Classes are in the order of [Spec.Classes].
	Classes []ClassResult
}

// ClassResult is the result of one class: percentiles of the time to first token, and the share of
// requests served within their objectives.
type ClassResult struct {
	Name     string
	P50, P99 time.Duration
	InTime   float64
}

// simulation is the state of one simulation.
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

// cacheSnapshot is a copy of an engine's cache state.
type cacheSnapshot struct {
	version int
	parts   map[uint64]bool
}

// stats accumulates the figures of a [Result].
type stats struct {
	maxWorth, worth                                         float64
	sharedTokens, hitTokens, recomputedTokens, promptTokens int
	requests, refused, abandoned                            int
	ttft                                                    map[string][]time.Duration
	inTime, byClass                                         map[string]int
}

// Run simulates the traffic under a policy.
func Run(spec Spec, policy string) (*Result, error) {
	if !slices.Contains(Policies, policy) {
		return nil, fmt.Errorf("unknown policy %q; known policies: %v", policy, Policies)
	}
	m := &simulation{
		spec: spec, policy: policy, random: rand.New(rand.NewPCG(spec.Seed, 1)), ledger: ledger.New(), predictor: readtime.NewPredictor(),
		epoch: time.Unix(1_000_000, 0), stats: stats{ttft: map[string][]time.Duration{}, inTime: map[string]int{}, byClass: map[string]int{}},
	}
	for i := range spec.Engines {
		m.engines = append(m.engines, newEngine(spec.Engine, i, i%spec.Zones))
	}
	m.scheduleLoads()
	// The traffic has its own random source, so that it is the same for all policies.
	for _, q := range generateRequests(spec.Classes, spec.Entries, spec.Duration, spec.LoadFactor, rand.New(rand.NewPCG(spec.Seed, 2))) {
		m.advance(q.arrival)
		m.place(q)
	}
	m.advance(spec.Duration + time.Minute)
	return m.result(), nil
}

// scheduleLoads schedules the rollout of each weight version in the order and the waves that
// sidecars use.
func (m *simulation) scheduleLoads() {
	for update, at := range m.spec.WeightUpdates {
		views := make([]weights.EngineView, len(m.engines))
		for i := range views {
			views[i] = weights.EngineView{Incarnation: fleet.Incarnation{Instance: strconv.Itoa(i)}}
		}
		for position, view := range weights.RolloutOrder(views, int64(update+1)) {
			i, _ := strconv.Atoi(view.Instance) // set from an index above
			wave := position / weights.MaxParallelLoads(len(views))
			m.engines[i].pendingLoads = append(m.engines[i].pendingLoads, weightLoad{at: at + time.Duration(wave)*m.spec.Engine.LoadTime, version: update + 1})
		}
	}
}

func (m *simulation) advance(until time.Duration) {
	for _, e := range m.engines {
		e.advance(until)
	}
}

func (m *simulation) wallTime(at time.Duration) time.Time { return m.epoch.Add(at) }

// currentCacheView returns the policies' view of the caches, refreshed once per lag. The oracle's
// is always current.
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

// place chooses an engine for a request and sends it there, or refuses it.
func (m *simulation) place(q *request) {
	m.stats.requests++
	m.stats.byClass[q.class.Name]++
	m.stats.maxWorth += q.class.Worth
	view := m.currentCacheView(q.arrival)
	switch m.policy {
	case "random":
		m.send(q, m.engines[m.random.IntN(len(m.engines))], placement.Choice{Priority: q.class.Priority})
	case "least work":
		m.send(q, m.leastLoaded(q), placement.Choice{Priority: q.class.Priority})
	case "hash of the family":
		m.send(q, m.engines[q.family()%uint64(len(m.engines))], placement.Choice{Priority: q.class.Priority})
	default:
		m.placeByProduct(q, view)
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

// placeByProduct uses package placement.
func (m *simulation) placeByProduct(q *request, view []cacheSnapshot) {
	input := &placement.Input{
		Family: q.family(), SharedTokens: q.sharedTokens(), OwnTokens: q.ownTokens, MaxTokens: q.outputTokens, Objective: q.class.TTFTObjective, Priority: q.class.Priority, LatePriority: ledger.Priorities/2 + q.class.Priority,
		MaxStaleness: time.Hour, PrefillTime: m.prefillTime,
	}
	totals := m.ledger.Totals(m.wallTime(q.arrival))
	candidates := make([]placement.Candidate, len(m.engines))
	for i, e := range m.engines {
		c := &candidates[i]
		*c = placement.Candidate{
			Hash: placement.Mix(uint64(i) + 1), SameZone: e.zone == q.entry%m.spec.Zones, Slots: e.spec.Slots, Memory: e.spec.MemoryTokens,
			Work: totals[fleet.ID(i)], CachedTokens: view[i].cachedPrefix(q),
		}
		if m.policy == "oracle" {
			c.Work.Prefill = ledger.AtPriority(0, m.prefillTime(e.queuedPrefillTokens(q.class.Priority)))
		}
		c.FetchableTokens, c.Source.TokensPerMs = m.fetchable(q, i, view), m.spec.Engine.FetchTokensPerMs
		c.Source.SameZone = true
	}
	choice := placement.Pick(input, candidates)
	if choice.Estimate > q.class.MaxWait {
		m.stats.refused++
		return
	}
	m.send(q, m.engines[choice.Index], choice)
}

// fetchable returns the longest prefix that another engine with the same weights has cached.
func (m *simulation) fetchable(q *request, destination int, view []cacheSnapshot) int {
	most := 0
	for i := range view {
		if i != destination && view[i].version == view[destination].version {
			most = max(most, view[i].cachedPrefix(q))
		}
	}
	return most
}

func (m *simulation) prefillTime(tokens int) time.Duration { return m.predictor.PrefillTime(tokens) }

// send queues a request at an engine.
func (m *simulation) send(q *request, e *engine, choice placement.Choice) {
	cached := e.cachedPrefix(q)
	m.stats.sharedTokens += q.sharedTokens()
	r := &run{request: q, engine: e, readyAt: q.arrival + e.spec.AdmissionDelay, priority: choice.Priority}
	if choice.FetchedTokens > 0 {
		m.fetch(r, cached+choice.FetchedTokens)
	}
	m.countHits(q, e, cached)
	work := ledger.Work{Running: 1, Prefill: ledger.AtPriority(choice.Priority, choice.Prefill), Memory: ledger.AtPriority(choice.Priority, choice.PrefillTokens+choice.FetchedTokens+q.outputTokens)}
	item := m.ledger.Begin(fleet.ID(e.index), work, choice.Wait+choice.Fetch, m.wallTime(q.arrival))
	q.onFinish = func(r *run) { item.End(); m.recordFinish(r) }
	r.onFirstToken = func(at time.Duration) { item.PrefillDone(); m.recordFirstToken(r, choice, at) }
	e.waiting = append(e.waiting, r)
}

// fetch transfers the parts of a prefix to the engine. Transfers over a link run one at a time.
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

// countHits counts the cached tokens and those that are prefilled again.
func (m *simulation) countHits(q *request, e *engine, cached int) {
	m.stats.hitTokens += cached
	m.stats.promptTokens += q.promptTokens()
	local := e.cachedPrefix(q)
	for _, other := range m.engines {
		if other != e && other.version == e.version {
			if elsewhere := other.cachedPrefix(q); elsewhere > local {
				m.stats.recomputedTokens += elsewhere - local
				return
			}
		}
	}
}

// recordFirstToken records the time to first token and trains the predictor, as an entry does.
func (m *simulation) recordFirstToken(r *run, choice placement.Choice, at time.Duration) {
	ttft := at - r.request.arrival
	if choice.PrefillTokens > 0 && choice.Wait < maxUncontendedWait {
		m.predictor.Record(choice.PrefillTokens, ttft-choice.Fetch)
	}
	c := r.request.class
	r.firstInTime = ttft <= c.TTFTObjective
	m.stats.ttft[c.Name] = append(m.stats.ttft[c.Name], ttft)
}

// maxUncontendedWait is the expected wait up to which a prefill time is used for training.
const maxUncontendedWait = 3 * time.Millisecond

// recordFinish records a run that ended or whose caller gave up.
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
