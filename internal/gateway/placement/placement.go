// Package placement chooses the engine for a prompt and the source from which that
// engine fetches the cached parts that it lacks.
//
// Engines that may not run the prompt are filtered out. The others are scored by the
// expected time to the first event and the cost to other requests; the lowest cost wins.
// Decisions are pure: all state is passed in.
package placement

import (
	"math"
	"net/netip"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
)

// Candidate is the state of one engine.
type Candidate struct {
	Address netip.AddrPort
	// Hash identifies the engine in rendezvous hashing.
	Hash uint64
	// SameZone is set when the engine is in the entry's availability zone.
	SameZone bool
	// Excluded engines are never chosen: they are leaving, have failed this request or have asked
	// for fewer requests.
	Excluded bool
	// Ejected engines failed recently or may be gone. They are a last resort.
	Ejected bool
	// Loading engines load weights and refuse requests. Draining engines load next and
	// are a last resort.
	Loading, Draining bool
	// Version is the engine's version of the model's weights. StaleFor is how long it
	// has been older than a wanted version.
	Version  int64
	StaleFor time.Duration
	// LoadScheduled is set when the engine will load weights, after LoadStartsIn.
	LoadScheduled bool
	LoadStartsIn  time.Duration
	// Slots is the number of requests that the engine runs concurrently, Memory the
	// capacity of its KV cache in tokens.
	Slots  int
	Memory int
	// Work is the work in flight from all entries.
	Work ledger.Work
	// OfferedLoad is the prefill work that recently arrived, in thousandths of the
	// engine's time. Zero where unknown.
	OfferedLoad ledger.PerPriority[int]
	// Slowdown is the ratio of measured to predicted latency. Zero counts as 1.
	Slowdown float64
	// CachedTokens is how many of the prompt's shared tokens the engine has cached.
	CachedTokens int
	// FetchableTokens is how many of the shared tokens Source can provide.
	FetchableTokens int
	Source          Source
}

// Source is a place from which an engine fetches cached parts.
type Source struct {
	Address netip.AddrPort
	// SameZone is set when the source is in the engine's availability zone.
	SameZone bool
	// TokensPerMs is the throughput of the source's link.
	TokensPerMs float64
}

// FetchMs returns the time to fetch a number of tokens, in milliseconds.
func (s *Source) FetchMs(tokens int) float64 {
	if tokens <= 0 || s.TokensPerMs <= 0 {
		return 0
	}
	distance := 2.0
	if s.SameZone {
		distance = 1
	}
	return fetchSetupMs + float64(tokens)/s.TokensPerMs*distance
}

// Input is the request side of a decision.
type Input struct {
	// Family is the hash of the prompt's shared parts, FirstPart that of the first one.
	Family, FirstPart uint64
	// SharedTokens are in parts that other prompts share, OwnTokens in the rest.
	SharedTokens, OwnTokens int
	// MaxTokens bounds the output.
	MaxTokens int
	// Priority is the prompt's rank at an engine, LatePriority the one used when the
	// objective cannot be met.
	Priority, LatePriority int
	// Objective is the wanted time to the first event.
	Objective time.Duration
	// CrossZoneCost is the cost of an engine in another zone, in milliseconds.
	CrossZoneCost float64
	// MaxMemoryShare is the share of an engine's memory beyond which it gets no more
	// such requests. Zero disables the check.
	MaxMemoryShare float64
	// MayWait is set if the prompt can wait for memory. It is then not sent to an ejected engine
	// while others only lack memory.
	MayWait bool
	// PinKey, unless zero, ranks engines by rendezvous hash instead of by cost, so that
	// all entries send such a request to the same engine.
	PinKey uint64
	// MaxStaleness is the age from which no request starts on older weights.
	MaxStaleness time.Duration
	// PrefillTime predicts the prefill time of a number of tokens.
	PrefillTime func(tokens int) time.Duration
	// Uneven is set if the service's engines differ in speed. Slowdown may then be below 1.
	Uneven bool
	// MaxPause is the strictest objective for the pauses of the service's streams, and Pause predicts
	// the pauses at an engine of usual speed that runs a number of requests. They are used where
	// Uneven is set; zero disables them.
	MaxPause time.Duration
	Pause    func(running int) time.Duration
}

// Choice is the outcome of a decision.
type Choice struct {
	// Index of the candidate; -1 when none may run the prompt.
	Index int
	// FetchFrom is the source to fetch from; invalid for none.
	FetchFrom netip.AddrPort
	// Late is set when the objective cannot be met.
	Late bool
	// Priority is the prompt's rank at the engine.
	Priority int
	// Estimate is the expected time to the first event.
	Estimate time.Duration
	// CachedTokens, FetchedTokens and PrefillTokens are the prompt's tokens that are
	// expected to be cached at the engine, fetched and computed.
	CachedTokens, FetchedTokens, PrefillTokens int
	// Wait, Prefill and Fetch add up to Estimate.
	Wait, Prefill, Fetch time.Duration
}

const (
	// CrossZoneCost covers the price of traffic between zones and its latency.
	CrossZoneCost = 60
	// CrossZoneCostProbed applies where only the shortlist is probed. It is low because
	// entries of all zones must prefer the same engines for a family.
	CrossZoneCostProbed = 2
	// stalePenalty is the cost of starting on stale weights, in milliseconds, after
	// staleGrace.
	stalePenalty = 400
	// staleGrace is how long stale weights carry no penalty.
	staleGrace = 1300 * time.Millisecond
	// stalenessMargin is subtracted from MaxStaleness to cover the network and errors of
	// the estimated wait.
	stalenessMargin = 800 * time.Millisecond
	// recomputeWeight is the weight of prefilling a shared token again, relative to one
	// of the prompt's own.
	recomputeWeight = 3.0
	// rankStepMs is the cost of each rank below the family's first engine. It keeps a
	// family at one engine while waits are equal.
	rankStepMs = 3
	// decodeStepMs is the time that each running request adds to a prefill.
	decodeStepMs = 0.6
	// fetchSetupMs is the latency of a fetch before the first token.
	fetchSetupMs = 5
	// loadPenalty is the cost of an engine that loads weights before the prefill ends,
	// in milliseconds: it returns the prompt, which starts over elsewhere.
	loadPenalty = 1000
	// ejectedPenalty outweighs all other costs.
	ejectedPenalty = 1e6
	// overloadPenalty is the cost of each request beyond an engine's slots or memory, in
	// milliseconds.
	overloadPenalty = 60
	// latePausePenalty is the cost of an engine at which one more request makes its streams late, in
	// milliseconds, times the ratio of the pause to the objective. A late stream is late for all
	// requests that the engine runs, while a wait of this time makes a single prompt late.
	latePausePenalty = 400
)

// Pick returns the best candidate. A prompt that cannot meet its objective anywhere gets
// its late priority, so that a burst does not make all later prompts late too.
func Pick(in *Input, candidates []Candidate) Choice {
	choice := pick(in, candidates, false)
	if in.Objective <= 0 || choice.Index < 0 || float64(choice.Estimate) <= lateFactor*float64(in.Objective) {
		return choice
	}
	return pick(in, candidates, true)
}

func pick(in *Input, candidates []Candidate, late bool) Choice {
	best := Choice{Index: -1}
	lowest := math.Inf(1)
	awaitsMemory := false
	for i := range candidates {
		c := &candidates[i]
		if filter(in, c) != "" {
			awaitsMemory = awaitsMemory || in.MayWait && lacksOnlyMemory(in, c)
			continue
		}
		choice, cost := rate(in, c, candidates, late)
		if cost < lowest {
			lowest = cost
			choice.Index, choice.Late = i, late
			best = choice
		}
	}
	if awaitsMemory && best.Index >= 0 && candidates[best.Index].Ejected {
		return Choice{Index: -1}
	}
	return best
}

// lacksOnlyMemory reports whether an engine could run the prompt once it has enough free memory.
func lacksOnlyMemory(in *Input, c *Candidate) bool {
	return !c.Ejected && !c.Draining && memoryFull(in, c) && filter(&Input{MaxStaleness: in.MaxStaleness}, c) == ""
}

// filter returns why a candidate may not run the prompt, or "".
func filter(in *Input, c *Candidate) string {
	switch {
	case c.Excluded:
		return "is leaving, has failed this request or has asked for fewer requests"
	case c.Loading:
		return "is loading weights"
	case c.StaleFor >= in.MaxStaleness-stalenessMargin:
		return "has weights that are too old"
	case memoryFull(in, c):
		return "has not enough free memory"
	default:
		return ""
	}
}

const (
	// LowPriorityMemoryShare is the MaxMemoryShare of requests below the highest priority.
	// It leaves memory for the highest priority and for outputs to grow.
	LowPriorityMemoryShare = 0.85
	// RetryMemoryShare is the MaxMemoryShare of retries.
	RetryMemoryShare = 0.92
	// maxPromptShare bounds the share of an engine's memory that a prompt counts for.
	// Otherwise the longest prompts starve while shorter ones keep arriving.
	maxPromptShare = 0.125
)

// memoryFull reports whether an engine's memory has no space for a prompt.
//
// This handles long prompts that arrive faster than earlier ones finish: an engine that
// admitted them all would preempt some and prefill them again. It admits a queued prompt as soon
// as that fits, and preempts it when one of a higher priority arrives or when outputs grow.
func memoryFull(in *Input, c *Candidate) bool {
	used := c.Work.Memory.Total()
	if in.MaxMemoryShare <= 0 || c.Memory <= 0 || used == 0 {
		return false
	}
	size := min(in.OwnTokens+in.SharedTokens+in.MaxTokens/2, int(maxPromptShare*float64(c.Memory)))
	return float64(used+size) > in.MaxMemoryShare*float64(c.Memory)
}

// rate returns a candidate's choice and its cost, which includes its rank for the family.
func rate(in *Input, c *Candidate, all []Candidate, late bool) (Choice, float64) {
	choice, cost := score(in, c, late)
	if in.PinKey != 0 {
		return choice, pinnedRank(in, c, &choice)
	}
	return choice, cost + rankStepMs*float64(countAhead(in.Family, c, all))
}

// pinnedRank replaces the cost of an engine for a pinned request. Engines that are
// ejected, draining or late come last, in the same order.
func pinnedRank(in *Input, c *Candidate, choice *Choice) float64 {
	rank := Rank(in.PinKey, c.Hash)
	if c.Ejected || c.Draining {
		rank += 2
	}
	if in.Objective > 0 && float64(choice.Estimate) > lateFactor*float64(in.Objective) {
		rank++
	}
	return rank
}

// Rank returns a target's rendezvous hash for a key, between 0 and 1.
func Rank(key, hash uint64) float64 { return float64(Mix(key^hash)>>11) / (1 << 53) }

// lateFactor is the multiple of the objective from which a prompt counts as late.
const lateFactor = 3.0 / 2

// Rating explains how a decision rates one candidate.
type Rating struct {
	// FilterReason is why the candidate may not run the prompt; empty when it may.
	FilterReason string
	// Cost in milliseconds; the lowest is chosen.
	Cost   float64
	Choice Choice
}

// Rate returns the ratings that Pick decides by.
func Rate(in *Input, candidates []Candidate) []Rating {
	late := Pick(in, candidates).Late
	ratings := make([]Rating, len(candidates))
	for i := range candidates {
		r := &ratings[i]
		r.FilterReason = filter(in, &candidates[i])
		r.Choice, r.Cost = rate(in, &candidates[i], candidates, late)
	}
	return ratings
}

func (in *Input) priority(late bool) int {
	if late {
		return in.LatePriority
	}
	return in.Priority
}

// score returns a candidate's choice and its cost in milliseconds.
func score(in *Input, c *Candidate, late bool) (Choice, float64) {
	missing := max(in.SharedTokens-c.CachedTokens, 0)
	fetched := min(max(c.FetchableTokens-c.CachedTokens, 0), missing)
	priority := in.priority(late)
	wait := waitMs(in, c, priority) + overloadPenalty*float64(excessRequests(c, in, priority, in.OwnTokens+missing+in.MaxTokens))
	prefill := slowdown(c) * toMs(in.PrefillTime(in.OwnTokens+missing-fetched))
	fetch := c.Source.FetchMs(fetched)
	choice := Choice{Priority: priority, FetchFrom: c.Source.Address, CachedTokens: min(c.CachedTokens, in.SharedTokens), FetchedTokens: fetched, PrefillTokens: in.OwnTokens + missing - fetched}
	recompute := prefill - slowdown(c)*toMs(in.PrefillTime(in.OwnTokens))
	cost := wait + prefill + fetch + (recomputeWeight-1)*recompute
	cost += latePauseCost(in, c)
	if !c.SameZone {
		cost += in.CrossZoneCost
	}
	if c.LoadScheduled && fromMs(wait+prefill+fetch) > c.LoadStartsIn {
		cost += loadPenalty
	}
	if c.Ejected {
		cost += ejectedPenalty
	}
	if c.Draining {
		cost += ejectedPenalty / 2
	}
	if c.StaleFor > staleGrace {
		cost += stalePenalty
	}
	choice.Wait, choice.Prefill, choice.Fetch = fromMs(wait), fromMs(prefill), fromMs(fetch)
	choice.Estimate = choice.Wait + choice.Prefill + choice.Fetch
	return choice, cost
}

// waitMs returns the time until an engine begins a prompt's prefill, in milliseconds.
//
// The reported prefill times contain the engine's factor already: entries scale them when they
// report a send. Even services keep the rule that scales them once more.
func waitMs(in *Input, c *Candidate, priority int) float64 {
	prefill := toMs(c.Work.Prefill.UpTo(priority)) / freeShare(c, priority)
	decode := decodeStepMs * float64(c.Work.Running)
	if in.Uneven {
		return prefill + decode*slowdown(c)
	}
	return (prefill + decode) * slowdown(c)
}

// latePauseCost returns the cost of an engine whose streams would be late with one more request. Where
// that holds for all engines, it decides by the least late one.
func latePauseCost(in *Input, c *Candidate) float64 {
	if !in.Uneven || in.Pause == nil || in.MaxPause <= 0 {
		return 0
	}
	ratio := slowdown(c) * float64(in.Pause(c.Work.Running+1)) / float64(in.MaxPause)
	if ratio <= 1 {
		return 0
	}
	return latePausePenalty * ratio
}

// AtUsualSpeed returns the expected time to the first event at an engine of usual speed with the same
// queue, for an engine with a factor.
func (c *Choice) AtUsualSpeed(factor float64) time.Duration {
	return time.Duration(float64(c.Wait+c.Prefill)/factor) + c.Fetch
}

// minFreeShare bounds how far arrivals of higher priority stretch a wait. Their rate is
// measured over a short window and is noisy.
const minFreeShare = 0.5

// freeShare returns the share of an engine's time that future prompts of higher priority
// leave. Without it, the wait of long prompts behind a stream of short ones of higher priority
// would be underestimated.
func freeShare(c *Candidate, priority int) float64 {
	if priority == 0 {
		return 1
	}
	return max(1-float64(c.OfferedLoad.UpTo(priority-1))/1000, minFreeShare)
}

func slowdown(c *Candidate) float64 {
	if c.Slowdown <= 0 {
		return 1
	}
	return c.Slowdown
}

// excessRequests returns the number of requests by which an engine is too full for
// another one of a priority. Requests of lower priority do not count against its memory:
// the engine preempts them. If they counted, a short prompt of a high-priority route would be
// refused while long prompts fill the memory, although it could start at once.
func excessRequests(c *Candidate, in *Input, priority, tokens int) int {
	n := max(c.Work.Running+1-c.Slots, 0)
	used := c.Work.Memory.UpTo(priority)
	excess := used + tokens - c.Memory
	if excess <= 0 || c.Memory <= 0 {
		return n
	}
	mean := max(used/max(c.Work.Running, 1), tokens, 1)
	return n + 1 + excess/mean
}

// countAhead counts the candidates on the same side of the zone boundary that rank before
// c for a family.
func countAhead(family uint64, c *Candidate, all []Candidate) int {
	n := 0
	own := Mix(family ^ c.Hash)
	for i := range all {
		o := &all[i]
		if o.SameZone == c.SameZone && !o.Excluded && Mix(family^o.Hash) > own {
			n++
		}
	}
	return n
}

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// maxMs bounds the times of a decision, which may be infinite for a link without bandwidth.
const maxMs = float64(24 * time.Hour / time.Millisecond)

func fromMs(ms float64) time.Duration {
	return time.Duration(min(ms, maxMs) * float64(time.Millisecond))
}

// Mix is the finalizer of splitmix64.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 27
	x *= 0x94D049BB133111EB
	return x ^ x>>31
}
