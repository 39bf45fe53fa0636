// Package batchmodel is a model of engines that batch requests continuously, for
// choosing routing policies in seconds: steps that read prompts in chunks between
// the tokens of running requests, a memory that cached parts and running requests
// share, loads of weights, and transfers of cached parts over links. Unlike engines that
// preempt, the model admits a request only when the memory for its whole answer is free.
//
// Time is virtual; a run repeats to the digit from its seed.
package batchmodel

import (
	"cmp"
	"slices"
	"time"
)

// EngineSpec are the figures of one kind of engine.
type EngineSpec struct {
	// Slots is how many requests run at once, Memory the tokens that running
	// requests and cached parts share.
	Slots, MemoryTokens int
	// Step is the time of one step, StepPerRun what each running request adds.
	Step, StepPerRequest time.Duration
	// ReadPerMs is how many prompt tokens are read in a millisecond, Chunk how many
	// at most in one step.
	PrefillTokensPerMs float64
	PrefillChunk       int
	// PairsMs is what a million pairs of a chunk's tokens with those before them
	// add to a step, in milliseconds.
	AttentionMs float64
	// First is the fixed time from a request's arrival to its admission.
	AdmissionDelay time.Duration
	// FetchPerMs is how many cached tokens a link carries in a millisecond,
	// FetchSetup the time before it begins.
	FetchTokensPerMs float64
	FetchLatency     time.Duration
	// Load is how long weights take to load.
	LoadTime time.Duration
}

// part is one cached part.
type part struct {
	tokens int
	used   time.Duration
}

// engine is one engine's state. Times are since the run's beginning.
type engine struct {
	spec    EngineSpec
	index   int
	zone    int
	version int
	now     time.Duration
	waiting []*run
	running []*run
	cache   map[uint64]*part
	cached  int
	linkAt  time.Duration
	// loads holds the versions that are to be loaded, with their times.
	loads []load
}

type load struct {
	at      time.Duration
	version int
}

// run is one request at an engine.
type run struct {
	request *request
	engine  *engine
	// readyAt is when it may be admitted: its fetch has ended by then.
	readyAt time.Duration
	// urgency ranks runs that wait; 0 is first.
	urgency int
	// toRead and made count tokens; holds is the memory that it takes.
	toRead, made, holds int
	// heldParts is how many of the shared parts were cached at the admission.
	heldParts int
	lastToken time.Duration
	longest   time.Duration
	inTime    bool
	onFirst   func(at time.Duration)
}

func newEngine(spec EngineSpec, index, zone int) *engine {
	return &engine{spec: spec, index: index, zone: zone, cache: map[uint64]*part{}}
}

// advance runs steps until a time.
func (e *engine) advance(until time.Duration) {
	for e.now < until {
		e.beginLoads()
		e.admit()
		if len(e.running) == 0 {
			e.now = min(until, e.nextEvent(until))
			continue
		}
		e.step()
	}
}

// nextEvent is when an idle engine has something to do.
func (e *engine) nextEvent(until time.Duration) time.Duration {
	next := until
	for _, r := range e.waiting {
		next = min(next, max(r.readyAt, e.now+time.Microsecond))
	}
	if len(e.loads) > 0 {
		next = min(next, max(e.loads[0].at, e.now+time.Microsecond))
	}
	return next
}

// beginLoads loads weights that are due: everything stands still, and the cache is
// of no use any more.
func (e *engine) beginLoads() {
	for len(e.loads) > 0 && e.loads[0].at <= e.now {
		e.version = e.loads[0].version
		e.loads = e.loads[1:]
		e.now += e.spec.LoadTime
		e.cache, e.cached = map[uint64]*part{}, 0
	}
}

// admit takes waiting requests in, the most urgent first.
func (e *engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.readyAt, b.readyAt))
	})
	left := e.waiting[:0]
	for _, r := range e.waiting {
		if r.leaves(e.now) {
			r.request.finish(r)
			continue
		}
		if r.readyAt > e.now || len(e.running) >= e.spec.Slots || !e.makeRoom(r.request.prompt()+r.request.answer) {
			left = append(left, r)
			continue
		}
		e.begin(r)
	}
	e.waiting = left
}

func (e *engine) begin(r *run) {
	held := e.held(r.request)
	r.heldParts = 0
	for n := 0; n < held; r.heldParts++ {
		n += r.request.shared[r.heldParts].tokens
	}
	r.toRead = r.request.prompt() - held
	r.holds = r.request.prompt() - held + r.request.answer
	e.running = append(e.running, r)
	for _, p := range r.request.shared {
		if c := e.cache[p.key(e.version)]; c != nil {
			c.used = e.now
		}
	}
}

// held is how many of a request's shared tokens are cached, from the first on.
func (e *engine) held(q *request) int {
	n := 0
	for _, p := range q.shared {
		if e.cache[p.key(e.version)] == nil {
			break
		}
		n += p.tokens
	}
	return n
}

func (e *engine) used() int {
	n := e.cached
	for _, r := range e.running {
		n += r.holds
	}
	return n
}

// makeRoom drops cached parts until so many tokens fit.
func (e *engine) makeRoom(tokens int) bool {
	for e.used()+tokens > e.spec.MemoryTokens {
		key, found := e.oldest()
		if !found {
			return false
		}
		e.cached -= e.cache[key].tokens
		delete(e.cache, key)
	}
	return true
}

func (e *engine) oldest() (uint64, bool) {
	var oldest uint64
	found := false
	for key, p := range e.cache {
		if !found || p.used < e.cache[oldest].used || p.used == e.cache[oldest].used && key < oldest {
			oldest, found = key, true
		}
	}
	return oldest, found
}

// step reads one chunk, of the most urgent prompts first, and makes one token for each request that is read.
func (e *engine) step() {
	budget := e.spec.PrefillChunk
	pairs := 0.0
	slices.SortStableFunc(e.running, func(a, b *run) int { return cmp.Compare(a.urgency, b.urgency) })
	for _, r := range e.running {
		n := min(budget, r.toRead)
		if n == 0 {
			continue
		}
		before := r.request.prompt() - r.toRead
		pairs += float64(n) * float64(before+n/2)
		r.toRead -= n
		budget -= n
		if r.toRead == 0 {
			e.keep(r)
		}
	}
	took := e.spec.Step + time.Duration(len(e.running))*e.spec.StepPerRequest
	took += fromMs(float64(e.spec.PrefillChunk-budget)/e.spec.PrefillTokensPerMs + pairs/1e6*e.spec.AttentionMs)
	e.now += took
	e.makeTokens()
}

// keep caches the shared parts of a prompt that was read.
func (e *engine) keep(r *run) {
	for _, p := range r.request.shared[r.heldParts:] {
		key := p.key(e.version)
		if e.cache[key] != nil {
			continue
		}
		// The run has held the part's memory so far.
		r.holds -= p.tokens
		e.cache[key] = &part{tokens: p.tokens, used: e.now}
		e.cached += p.tokens
	}
}

func (e *engine) makeTokens() {
	left := e.running[:0]
	for _, r := range e.running {
		if r.leaves(e.now) {
			r.request.finish(r)
			continue
		}
		if r.toRead > 0 {
			left = append(left, r)
			continue
		}
		r.token(e.now)
		if r.made < r.request.answer {
			left = append(left, r)
			continue
		}
		r.request.finish(r)
	}
	e.running = left
}

// leaves reports whether the caller has left before the first token.
func (r *run) leaves(now time.Duration) bool {
	return r.made == 0 && now-r.request.at > r.request.class.MaxWait
}

func (r *run) token(now time.Duration) {
	if r.made == 0 {
		r.onFirst(now)
	} else {
		r.longest = max(r.longest, now-r.lastToken)
	}
	r.made++
	r.lastToken = now
}

// waitingTokens is how many prompt tokens are to be read before one of an urgency
// that comes now.
func (e *engine) waitingTokens(urgency int) int {
	n := 0
	for _, r := range e.running {
		if r.urgency <= urgency {
			n += r.toRead
		}
	}
	for _, r := range e.waiting {
		if r.urgency <= urgency {
			n += r.request.prompt() - e.held(r.request)
		}
	}
	return n
}

func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
