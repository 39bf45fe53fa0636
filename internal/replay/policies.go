package replay

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/toucanwell/toucanwell/internal/routing"
)

// Policy chooses the engine of a request. Choose calls its function once, now
// or at a later virtual time, with an index or -1.
type Policy interface {
	Name() string
	Start(r *Replay)
	Choose(r *Replay, j *job, chosen func(engine int))
}

// Policies returns one of each kind, ours and the oracle last.
func Policies() []Policy {
	return []Policy{
		&Random{}, &RoundRobin{}, &LeastReported{}, &TwoChoices{}, &HashFirst{}, &HashBounded{},
		&Probing{Policy: routing.DefaultPolicy}, &Oracle{Policy: OraclePolicy},
	}
}

// OraclePolicy weighs the oracle's quotes. Of the weighings tried for it, this
// one is best; see docs/MEASUREMENTS.md.
var OraclePolicy = routing.DefaultPolicy

// isUsable reports whether a policy may still choose an engine.
func (r *Replay) isUsable(j *job, i int) bool {
	return r.targets[i].State != routing.Leaving && !j.excluded[i]
}

// reportedLoads are the requests at each engine, as reported a lag ago.
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

// Random chooses any engine.
type Random struct{}

// Name implements Policy.
func (*Random) Name() string { return "random" }

// Start implements Policy.
func (*Random) Start(*Replay) {}

// Choose implements Policy.
func (*Random) Choose(r *Replay, j *job, chosen func(int)) {
	chosen(nextUsable(r, j, r.random.IntN(r.setup.Engines)))
}

func nextUsable(r *Replay, j *job, from int) int {
	for i := range r.setup.Engines {
		if at := (from + i) % r.setup.Engines; r.isUsable(j, at) {
			return at
		}
	}
	return -1
}

// RoundRobin chooses engines in turn, each entry by itself.
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

// LeastReported chooses the engine with the least reported load.
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

// TwoChoices chooses the less loaded of two random engines.
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

// rankEngines orders engines by rendezvous hashing on a key.
func rankEngines(r *Replay, key uint64) []int {
	order := make([]int, r.setup.Engines)
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(r.targets[b].Score(key), r.targets[a].Score(key)) })
	return order
}

// HashFirst chooses by the outermost level alone.
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

// HashBounded chooses by the middle level among engines whose reported load is
// not far above the mean.
type HashBounded struct{ reportedLoads }

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

// Probing is the entry's own way: rank, ask in widening rounds, pick.
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

// probeRound asks the targets of one round; its answers come back after two hops.
func (p *Probing) probeRound(r *Replay, j *job, ranking *routing.Ranking, n int, quotes []routing.Estimate, chosen func(int)) {
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
			quotes = append(quotes, r.estimate(j, i))
			if r.result.isMeasured(j) {
				r.result.probes++
			}
		}
		r.after(networkDelay, func() {
			if n+1 < len(p.Policy.Rounds) && to < ranking.Len() && !p.Policy.Satisfied(j.class, quotes) {
				p.probeRound(r, j, ranking, n+1, quotes, chosen)
				return
			}
			chosen(cheapest(&p.Policy, j, quotes))
		})
	})
}

// cheapest is the engine of the quote that a weighing picks, or -1.
func cheapest(policy *routing.Policy, j *job, quotes []routing.Estimate) int {
	best := policy.Pick(j.class, quotes)
	if best < 0 {
		return -1
	}
	return quotes[best].Index
}

// estimate asks the real gate.
func (r *Replay) estimate(j *job, i int) routing.Estimate {
	q, refusal := r.engines[i].gate.Quote(r.probeInput(j))
	return routing.Estimate{Index: i, Wait: q.Wait, Prefill: q.Prefill, Busy: q.Busy, Refused: refusal != nil}
}

// Oracle knows every engine's cache and queue at the moment of choosing.
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
	quotes := make([]routing.Estimate, 0, r.setup.Engines)
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
		quotes = append(quotes, q)
	}
	chosen(cheapest(&p.Policy, j, quotes))
}

// sharedTokens is the length of the prefix that two requests share; the later
// one finds it computed by the earlier.
func sharedTokens(a, b *job) int {
	n := sort.Search(min(len(a.record.HashIDs), len(b.record.HashIDs)), func(i int) bool {
		return a.record.HashIDs[i] != b.record.HashIDs[i]
	})
	return n * b.record.BlockTokens
}
