package replay

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/toucanwell/toucanwell/internal/routing"
)

// Policy chooses the engine for a request. Choose calls its callback exactly once, immediately
// or at a later virtual time, with the engine's index or -1 if there is none.
type Policy interface {
	Name() string
	Start(r *Replay)
	Choose(r *Replay, j *job, chosen func(engine int))
}

// Policies returns one instance of each policy.
func Policies() []Policy {
	return []Policy{
		&Random{}, &RoundRobin{}, &LeastReported{}, &TwoChoices{}, &HashFirst{}, &HashBounded{},
		&Probing{Policy: routing.DefaultPolicy}, &Oracle{Policy: OraclePolicy},
	}
}

// OraclePolicy is the routing policy that the oracle applies to its exact estimates.
var OraclePolicy = routing.DefaultPolicy

// isUsable reports whether a policy may choose an engine for a request.
func (r *Replay) isUsable(j *job, i int) bool {
	return r.targets[i].State != routing.Leaving && !j.excluded[i]
}

// reportedLoads holds the number of requests at each engine as of its last report.
type reportedLoads struct{ reported []int }

func (l *reportedLoads) startReporting(r *Replay) {
	l.reported = make([]int, r.setup.Engines)
	var report func()
	report = func() {
		for i, e := range r.engines {
			counts := e.gate.Counts()
			l.reported[i] = counts.Running + counts.Waiting
		}
		if r.openRequests > 0 || len(r.events) > 1 {
			r.after(max(r.setup.ReportLag, time.Millisecond), report)
		}
	}
	r.at(0, report)
}

// Random chooses a random engine.
type Random struct{}

// Name implements Policy.
func (*Random) Name() string { return "random" }

// Start implements Policy.
func (*Random) Start(*Replay) {}

// Choose implements Policy.
func (*Random) Choose(r *Replay, j *job, chosen func(int)) {
	chosen(nextUsable(r, j, r.random.IntN(r.setup.Engines)))
}

// nextUsable returns the first usable engine from an index on, or -1.
func nextUsable(r *Replay, j *job, from int) int {
	for i := range r.setup.Engines {
		if candidate := (from + i) % r.setup.Engines; r.isUsable(j, candidate) {
			return candidate
		}
	}
	return -1
}

// RoundRobin chooses engines in round-robin order, independently at each entry.
type RoundRobin struct{ next []int }

// Name implements Policy.
func (*RoundRobin) Name() string { return "round robin" }

// Start implements Policy.
func (p *RoundRobin) Start(r *Replay) {
	p.next = make([]int, r.setup.Entries)
	for i := range p.next {
		p.next[i] = r.random.IntN(r.setup.Engines)
	}
}

// Choose implements Policy.
func (p *RoundRobin) Choose(r *Replay, j *job, chosen func(int)) {
	p.next[j.entry]++
	chosen(nextUsable(r, j, p.next[j.entry]%r.setup.Engines))
}

// LeastReported chooses the engine with the lowest reported load.
type LeastReported struct{ reportedLoads }

// Name implements Policy.
func (*LeastReported) Name() string { return "least reported load" }

// Start implements Policy.
func (p *LeastReported) Start(r *Replay) { p.startReporting(r) }

// Choose implements Policy.
func (p *LeastReported) Choose(r *Replay, j *job, chosen func(int)) {
	best := -1
	from := r.random.IntN(r.setup.Engines)
	for k := range r.setup.Engines {
		i := (from + k) % r.setup.Engines
		if r.isUsable(j, i) && (best < 0 || p.reported[i] < p.reported[best]) {
			best = i
		}
	}
	chosen(best)
}

// TwoChoices chooses the engine with the lower reported load of two random ones.
type TwoChoices struct{ reportedLoads }

// Name implements Policy.
func (*TwoChoices) Name() string { return "power of two choices" }

// Start implements Policy.
func (p *TwoChoices) Start(r *Replay) { p.startReporting(r) }

// Choose implements Policy.
func (p *TwoChoices) Choose(r *Replay, j *job, chosen func(int)) {
	a := nextUsable(r, j, r.random.IntN(r.setup.Engines))
	b := nextUsable(r, j, r.random.IntN(r.setup.Engines))
	if a >= 0 && p.reported[b] < p.reported[a] {
		a = b
	}
	chosen(a)
}

// rankEngines orders the engines by rendezvous hashing of a key.
func rankEngines(r *Replay, key uint64) []int {
	order := make([]int, r.setup.Engines)
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(r.targets[b].Score(key), r.targets[a].Score(key)) })
	return order
}

// HashFirst chooses by rendezvous hashing of the outermost prefix level.
type HashFirst struct{}

// Name implements Policy.
func (*HashFirst) Name() string { return "hash of first level" }

// Start implements Policy.
func (*HashFirst) Start(*Replay) {}

// Choose implements Policy.
func (*HashFirst) Choose(r *Replay, j *job, chosen func(int)) {
	for _, i := range rankEngines(r, j.levels[0]) {
		if r.isUsable(j, i) {
			chosen(i)
			return
		}
	}
	chosen(-1)
}

// HashBounded chooses by rendezvous hashing of the middle prefix level among engines whose
// reported load is within a bound.
type HashBounded struct{ reportedLoads }

// loadBoundFactor is the load bound as a multiple of the mean load.
const loadBoundFactor = 1.25

// Name implements Policy.
func (*HashBounded) Name() string { return "hash, bounded load" }

// Start implements Policy.
func (p *HashBounded) Start(r *Replay) { p.startReporting(r) }

// Choose implements Policy.
func (p *HashBounded) Choose(r *Replay, j *job, chosen func(int)) {
	sum := 0
	for _, n := range p.reported {
		sum += n
	}
	bound := loadBoundFactor*float64(sum)/float64(r.setup.Engines) + 1
	first := -1
	for _, i := range rankEngines(r, j.levels[len(j.levels)/2]) {
		if !r.isUsable(j, i) {
			continue
		}
		if float64(p.reported[i]) <= bound {
			chosen(i)
			return
		}
		if first < 0 {
			first = i
		}
	}
	chosen(first)
}

// Probing is the entry's own policy: it ranks the targets, probes them in widening rounds and
// chooses the one with the lowest cost.
type Probing struct {
	Policy routing.Policy
	Label  string
}

// Name implements Policy.
func (p *Probing) Name() string { return cmp.Or(p.Label, "toucanwell") }

// Start implements Policy.
func (*Probing) Start(*Replay) {}

// Choose implements Policy.
func (p *Probing) Choose(r *Replay, j *job, chosen func(int)) {
	ranking := routing.Rank(r.targets, r.locations[j.entry], j.levels)
	p.probeRound(r, j, &ranking, 0, nil, chosen)
}

// probeRound probes the targets of one round. Responses arrive after twice the network delay.
func (p *Probing) probeRound(r *Replay, j *job, ranking *routing.Ranking, n int, estimates []routing.Estimate, chosen func(int)) {
	from := 0
	if n > 0 {
		from = min(p.Policy.Rounds[n-1], ranking.Len())
	}
	to := min(p.Policy.Rounds[n], ranking.Len())
	r.after(networkDelay, func() {
		for k := from; k < to; k++ {
			i := ranking.At(k)
			if j.excluded[i] || r.engines[i].dead {
				continue
			}
			estimates = append(estimates, r.estimate(j, i))
			if r.result.isMeasured(j) {
				r.result.probes++
			}
		}
		r.after(networkDelay, func() {
			if n+1 < len(p.Policy.Rounds) && to < ranking.Len() && !p.Policy.Satisfied(j.class, estimates) {
				p.probeRound(r, j, ranking, n+1, estimates, chosen)
				return
			}
			chosen(cheapest(&p.Policy, j, estimates))
		})
	})
}

// cheapest returns the engine with the lowest cost under a policy, or -1.
func cheapest(policy *routing.Policy, j *job, estimates []routing.Estimate) int {
	best := policy.Pick(j.class, estimates)
	if best < 0 {
		return -1
	}
	return estimates[best].Index
}

// estimate returns the estimate of an engine's gate for a request.
func (r *Replay) estimate(j *job, i int) routing.Estimate {
	q, refusal := r.engines[i].gate.Quote(r.probeInput(j))
	return routing.Estimate{Index: i, Wait: q.Wait, Prefill: q.Prefill, Busy: q.Busy, Refused: refusal != nil}
}

// Oracle chooses with exact knowledge of every engine's cache and queue.
type Oracle struct {
	Policy routing.Policy
	Label  string
}

// Name implements Policy.
func (p *Oracle) Name() string { return cmp.Or(p.Label, "oracle") }

// Start implements Policy.
func (*Oracle) Start(*Replay) {}

// Choose implements Policy.
func (p *Oracle) Choose(r *Replay, j *job, chosen func(int)) {
	estimates := make([]routing.Estimate, 0, r.setup.Engines)
	for i, e := range r.engines {
		if !r.isUsable(j, i) || e.dead {
			continue
		}
		q := r.estimate(j, i)
		cached := e.cache.Match(j.record.HashIDs) * j.record.BlockTokens
		for other := range e.running {
			cached = max(cached, sharedTokens(other, j))
		}
		for _, other := range e.waiting {
			cached = max(cached, sharedTokens(other, j))
		}
		missing := max(j.record.InputLength-cached, 0)
		q.Prefill = time.Duration(float64(missing) / r.setup.Costs.PrefillTokensPerSecond * float64(time.Second))
		estimates = append(estimates, q)
	}
	chosen(cheapest(&p.Policy, j, estimates))
}

// sharedTokens returns the length in tokens of the prefix that two requests share.
func sharedTokens(a, b *job) int {
	n := sort.Search(min(len(a.record.HashIDs), len(b.record.HashIDs)), func(i int) bool {
		return a.record.HashIDs[i] != b.record.HashIDs[i]
	})
	return n * b.record.BlockTokens
}
