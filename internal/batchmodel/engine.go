// Package batchmodel simulates engines with continuous batching, to compare routing policies.
//
// It models chunked prefill, memory shared by cached parts and running requests, weight loads,
// and transfers of cached parts between engines. It does not model preemption: a request is
// admitted only if its whole output fits into memory. Time is virtual and runs are
// deterministic.
package batchmodel

import (
	"cmp"
	"slices"
	"time"
)

// EngineSpec describes the performance of an engine.
type EngineSpec struct {
	// Slots is the maximum number of running requests, MemoryTokens the size of the memory that
	// running requests and cached parts share.
	Slots, MemoryTokens int
	// Step is the base duration of a step, StepPerRequest what each running request adds.
	Step, StepPerRequest time.Duration
	// PrefillTokensPerMs is the prefill rate, PrefillChunk the maximum number of prefill tokens
	// in one step.
	PrefillTokensPerMs float64
	PrefillChunk       int
	// AttentionMs is the time of attention over a million token pairs, in milliseconds.
	AttentionMs float64
	// AdmissionDelay is the minimum time from a request's arrival to its admission.
	AdmissionDelay time.Duration
	// FetchTokensPerMs is the rate at which cached tokens are transferred over a link,
	// FetchLatency the delay before a transfer.
	FetchTokensPerMs float64
	FetchLatency     time.Duration
	// LoadTime is how long loading weights takes.
	LoadTime time.Duration
}

// cachedPart is a cached part of a prompt.
type cachedPart struct {
	tokens   int
	lastUsed time.Duration
}

// engine is the state of one engine. Times are relative to the start of the simulation.
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
	// linkFreeAt is when the link has finished its transfers.
	linkFreeAt time.Duration
	// pendingLoads holds the scheduled weight loads by time.
	pendingLoads []weightLoad
	// speed is the time that the engine takes relative to its spec; noise, unless nil, draws the
	// factor of a prompt's prefill time.
	speed float64
	noise func() float64
}

type weightLoad struct {
	at      time.Duration
	version int
}

// run is the execution of a request at an engine.
type run struct {
	request *request
	engine  *engine
	// readyAt is the earliest admission, when cached parts have been fetched.
	readyAt time.Duration
	// priority orders waiting runs and prefill; 0 is first.
	priority int
	// prefillLeft and generated are token counts; memory is the memory in use, in tokens.
	prefillLeft, generated, memory int
	// cachedParts is the number of shared parts that were cached at admission.
	cachedParts int
	lastToken   time.Duration
	maxGap      time.Duration
	firstInTime bool
	// noise is the factor of the prompt's prefill time.
	noise        float64
	onFirstToken func(at time.Duration)
}

func newEngine(spec EngineSpec, index, zone int) *engine {
	return &engine{spec: spec, index: index, zone: zone, cache: map[uint64]*cachedPart{}, speed: 1}
}

// advance runs the engine until a time.
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

// nextEvent returns when an idle engine has to act next, at most until.
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

// applyLoads loads the weights that are due. Loading blocks the engine and clears the cache.
func (e *engine) applyLoads() {
	for len(e.pendingLoads) > 0 && e.pendingLoads[0].at <= e.clock {
		e.version = e.pendingLoads[0].version
		e.pendingLoads = e.pendingLoads[1:]
		e.clock += e.spec.LoadTime
		e.cache, e.cachedTokens = map[uint64]*cachedPart{}, 0
	}
}

// admit admits waiting requests in the order of their priorities.
func (e *engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.readyAt, b.readyAt))
	})
	remaining := e.waiting[:0]
	for _, r := range e.waiting {
		if r.timedOut(e.clock) {
			r.request.onFinish(r)
			continue
		}
		if r.readyAt > e.clock || len(e.running) >= e.spec.Slots || !e.evictFor(r.request.promptTokens()+r.request.outputTokens) {
			remaining = append(remaining, r)
			continue
		}
		e.start(r)
	}
	e.waiting = remaining
}

func (e *engine) start(r *run) {
	cached := e.cachedPrefix(r.request)
	r.cachedParts = 0
	for n := 0; n < cached; r.cachedParts++ {
		n += r.request.sharedParts[r.cachedParts].tokens
	}
	r.prefillLeft = r.request.promptTokens() - cached
	r.memory = r.request.promptTokens() - cached + r.request.outputTokens
	r.noise = 1
	if e.noise != nil {
		r.noise = e.noise()
	}
	e.running = append(e.running, r)
	for _, p := range r.request.sharedParts {
		if c := e.cache[p.cacheKey(e.version)]; c != nil {
			c.lastUsed = e.clock
		}
	}
}

// cachedPrefix returns the length of the longest cached prefix of a request's shared parts.
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

// evictFor evicts cached parts until the tokens fit into memory, and reports whether they do.
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

// step prefills one chunk in the order of priorities, and generates one token for each request
// whose prefill is done.
func (e *engine) step() {
	budget := e.spec.PrefillChunk
	prefillMs := 0.0
	slices.SortStableFunc(e.running, func(a, b *run) int { return cmp.Compare(a.priority, b.priority) })
	for _, r := range e.running {
		n := min(budget, r.prefillLeft)
		if n == 0 {
			continue
		}
		before := r.request.promptTokens() - r.prefillLeft
		attentionPairs := float64(n) * float64(before+n/2)
		prefillMs += r.noise * (float64(n)/e.spec.PrefillTokensPerMs + attentionPairs/1e6*e.spec.AttentionMs)
		r.prefillLeft -= n
		budget -= n
		if r.prefillLeft == 0 {
			e.cacheParts(r)
		}
	}
	duration := e.spec.Step + time.Duration(len(e.running))*e.spec.StepPerRequest
	e.clock += time.Duration(e.speed * float64(duration+fromMs(prefillMs)))
	e.decode()
}

// cacheParts caches the shared parts of a prompt after its prefill.
func (e *engine) cacheParts(r *run) {
	for _, p := range r.request.sharedParts[r.cachedParts:] {
		key := p.cacheKey(e.version)
		if e.cache[key] != nil {
			continue
		}
		// The part's memory was counted for the run.
		r.memory -= p.tokens
		e.cache[key] = &cachedPart{tokens: p.tokens, lastUsed: e.clock}
		e.cachedTokens += p.tokens
	}
}

func (e *engine) decode() {
	remaining := e.running[:0]
	for _, r := range e.running {
		if r.timedOut(e.clock) {
			r.request.onFinish(r)
			continue
		}
		if r.prefillLeft > 0 {
			remaining = append(remaining, r)
			continue
		}
		r.addToken(e.clock)
		if r.generated < r.request.outputTokens {
			remaining = append(remaining, r)
			continue
		}
		r.request.onFinish(r)
	}
	e.running = remaining
}

// timedOut reports whether the caller has given up waiting for the first token.
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

// queuedPrefillTokens returns the number of prompt tokens that would be prefilled before a new
// request of the priority.
func (e *engine) queuedPrefillTokens(priority int) int {
	n := 0
	for _, r := range e.running {
		if r.priority <= priority {
			n += r.prefillLeft
		}
	}
	for _, r := range e.waiting {
		if r.priority <= priority {
			n += r.request.promptTokens() - e.cachedPrefix(r.request)
		}
	}
	return n
}

func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
