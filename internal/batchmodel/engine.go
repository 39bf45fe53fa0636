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
type cachedPart struct {
	tokens   int
	lastUsed time.Duration
}

// engine is one engine's state. Times are since the run's beginning.
type engine struct {
	spec         EngineSpec
	index        int
	zone         int
	version      int
	clock        time.Duration
	waiting      []*run
	running      []*run
	cache        map[uint64]*cachedPart
	cachedTokens int
	linkFreeAt   time.Duration
	// loads holds the versions that are to be loaded, with their times.
	pendingLoads []weightLoad
}

type weightLoad struct {
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
	priority int
	// toRead and made count tokens; holds is the memory that it takes.
	prefillLeft, generated, memory int
	// heldParts is how many of the shared parts were cached at the admission.
	cachedParts  int
	lastToken    time.Duration
	maxGap       time.Duration
	firstInTime  bool
	onFirstToken func(at time.Duration)
}

func newEngine(spec EngineSpec, index, zone int) *engine {
	return &engine{spec: spec, index: index, zone: zone, cache: map[uint64]*cachedPart{}}
}

// advance runs steps until a time.
func (e *engine) advance(until time.Duration) {
	for e.clock < until {
		e.applyLoads()
		e.admit()
		if len(e.running) == 0 {
			e.clock = min(until, e.nextEvent(until))
			continue
		}
		e.step()
	}
}

// nextEvent is when an idle engine has something to do.
func (e *engine) nextEvent(until time.Duration) time.Duration {
	next := until
	for _, r := range e.waiting {
		next = min(next, max(r.readyAt, e.clock+time.Microsecond))
	}
	if len(e.pendingLoads) > 0 {
		next = min(next, max(e.pendingLoads[0].at, e.clock+time.Microsecond))
	}
	return next
}

// beginLoads loads weights that are due: everything stands still, and the cache is
// of no use any more.
func (e *engine) applyLoads() {
	for len(e.pendingLoads) > 0 && e.pendingLoads[0].at <= e.clock {
		e.version = e.pendingLoads[0].version
		e.pendingLoads = e.pendingLoads[1:]
		e.clock += e.spec.LoadTime
		e.cache, e.cachedTokens = map[uint64]*cachedPart{}, 0
	}
}

// admit takes waiting requests in, the most urgent first.
func (e *engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.readyAt, b.readyAt))
	})
	left := e.waiting[:0]
	for _, r := range e.waiting {
		if r.timedOut(e.clock) {
			r.request.onFinish(r)
			continue
		}
		if r.readyAt > e.clock || len(e.running) >= e.spec.Slots || !e.evictFor(r.request.promptTokens()+r.request.outputTokens) {
			left = append(left, r)
			continue
		}
		e.start(r)
	}
	e.waiting = left
}

func (e *engine) start(r *run) {
	held := e.cachedPrefix(r.request)
	r.cachedParts = 0
	for n := 0; n < held; r.cachedParts++ {
		n += r.request.sharedParts[r.cachedParts].tokens
	}
	r.prefillLeft = r.request.promptTokens() - held
	r.memory = r.request.promptTokens() - held + r.request.outputTokens
	e.running = append(e.running, r)
	for _, p := range r.request.sharedParts {
		if c := e.cache[p.cacheKey(e.version)]; c != nil {
			c.lastUsed = e.clock
		}
	}
}

// held is how many of a request's shared tokens are cached, from the first on.
func (e *engine) cachedPrefix(q *request) int {
	n := 0
	for _, p := range q.sharedParts {
		if e.cache[p.cacheKey(e.version)] == nil {
			break
		}
		n += p.tokens
	}
	return n
}

func (e *engine) usedMemory() int {
	n := e.cachedTokens
	for _, r := range e.running {
		n += r.memory
	}
	return n
}

// makeRoom drops cached parts until so many tokens fit.
func (e *engine) evictFor(tokens int) bool {
	for e.usedMemory()+tokens > e.spec.MemoryTokens {
		key, found := e.leastRecentlyUsed()
		if !found {
			return false
		}
		e.cachedTokens -= e.cache[key].tokens
		delete(e.cache, key)
	}
	return true
}

func (e *engine) leastRecentlyUsed() (uint64, bool) {
	var oldest uint64
	found := false
	for key, p := range e.cache {
		if !found || p.lastUsed < e.cache[oldest].lastUsed || p.lastUsed == e.cache[oldest].lastUsed && key < oldest {
			oldest, found = key, true
		}
	}
	return oldest, found
}

// step reads one chunk, of the most urgent prompts first, and makes one token for each request that is read.
func (e *engine) step() {
	budget := e.spec.PrefillChunk
	pairs := 0.0
	slices.SortStableFunc(e.running, func(a, b *run) int { return cmp.Compare(a.priority, b.priority) })
	for _, r := range e.running {
		n := min(budget, r.prefillLeft)
		if n == 0 {
			continue
		}
		before := r.request.promptTokens() - r.prefillLeft
		pairs += float64(n) * float64(before+n/2)
		r.prefillLeft -= n
		budget -= n
		if r.prefillLeft == 0 {
			e.cacheParts(r)
		}
	}
	took := e.spec.Step + time.Duration(len(e.running))*e.spec.StepPerRequest
	took += fromMs(float64(e.spec.PrefillChunk-budget)/e.spec.PrefillTokensPerMs + pairs/1e6*e.spec.AttentionMs)
	e.clock += took
	e.decode()
}

// keep caches the shared parts of a prompt that was read.
func (e *engine) cacheParts(r *run) {
	for _, p := range r.request.sharedParts[r.cachedParts:] {
		key := p.cacheKey(e.version)
		if e.cache[key] != nil {
			continue
		}
		// The run has held the part's memory so far.
		r.memory -= p.tokens
		e.cache[key] = &cachedPart{tokens: p.tokens, lastUsed: e.clock}
		e.cachedTokens += p.tokens
	}
}

func (e *engine) decode() {
	left := e.running[:0]
	for _, r := range e.running {
		if r.timedOut(e.clock) {
			r.request.onFinish(r)
			continue
		}
		if r.prefillLeft > 0 {
			left = append(left, r)
			continue
		}
		r.addToken(e.clock)
		if r.generated < r.request.outputTokens {
			left = append(left, r)
			continue
		}
		r.request.onFinish(r)
	}
	e.running = left
}

// leaves reports whether the caller has left before the first token.
func (r *run) timedOut(now time.Duration) bool {
	return r.generated == 0 && now-r.request.arrival > r.request.class.MaxWait
}

func (r *run) addToken(now time.Duration) {
	if r.generated == 0 {
		r.onFirstToken(now)
	} else {
		r.maxGap = max(r.maxGap, now-r.lastToken)
	}
	r.generated++
	r.lastToken = now
}

// waitingTokens is how many prompt tokens are to be read before one of an urgency
// that comes now.
func (e *engine) queuedPrefillTokens(urgency int) int {
	n := 0
	for _, r := range e.running {
		if r.priority <= urgency {
			n += r.prefillLeft
		}
	}
	for _, r := range e.waiting {
		if r.priority <= urgency {
			n += r.request.promptTokens() - e.cachedPrefix(r.request)
		}
	}
	return n
}

func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
