// Package placement decides which engine a prompt goes to, and from where that
// engine fetches the parts that it lacks.
//
// A decision takes three steps: filter the engines that may run the prompt,
// score each by the time to the first event and by what the choice costs
// others, and pick the lowest. Everything that a decision goes by is handed in.
package placement

import (
	"math"
	"net/netip"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
)

// Candidate is one engine.
type Candidate struct {
	Address netip.AddrPort
	// Hash ranks the engine for a prompt's family.
	Hash uint64
	// Near engines stand in the entry's availability zone.
	SameZone bool
	// Excluded engines are not to be used: they leave, or failed this request
	// already.
	Excluded bool
	// Rested engines failed lately, or may be gone. They are used when no other
	// is left.
	Ejected bool
	// Loading engines load weights and refuse. Emptying ones load next and are
	// used when no other is left.
	Loading, Draining bool
	// Version of the model that the engine has, and for how long it has been
	// older than one that operators want.
	Version  int64
	StaleFor time.Duration
	// Loads is set when the engine is to load weights, in LoadsIn.
	LoadScheduled bool
	LoadStartsIn  time.Duration
	// Slots is how many requests it works on at once, Memory its memory in
	// tokens.
	Slots  int
	Memory int
	// Work of all entries.
	Work ledger.Work
	// Arriving are the thousandths of its time for which the engine is given prompts to
	// read, by their urgency, where that is known.
	OfferedLoad ledger.PerPriority[int]
	// Pace is by how much the engine is slower than predicted; zero means that it
	// is not.
	Slowdown float64
	// Held is how many of the prompt's shared tokens the engine holds.
	CachedTokens int
	// Fetchable is how many of the shared tokens can be had from Source, the
	// best place other than the engine itself.
	FetchableTokens int
	Source          Source
}

// Source is a place from which an engine fetches parts.
type Source struct {
	Address netip.AddrPort
	// Near is set when it stands in the engine's availability zone.
	SameZone bool
	// Rate is how many tokens a millisecond its link carries.
	TokensPerMs float64
}

// FetchMs is how long it takes to fetch so many tokens, in milliseconds.
func (s *Source) FetchMs(tokens int) float64 {
	if tokens <= 0 || s.TokensPerMs <= 0 {
		return 0
	}
	distance := 2.0
	if s.SameZone {
		distance = 1
	}
	return fetchSetup + float64(tokens)/s.TokensPerMs*distance
}

// Question is what a decision goes by besides the candidates.
type Input struct {
	// Family names the prompt's shared parts for ranking, Outer the first of them.
	Family, FirstPart uint64
	// Shared and Own are the prompt's tokens: in parts that others use too, and
	// in the rest.
	SharedTokens, OwnTokens int
	// MaxTokens is the longest answer.
	MaxTokens int
	// Urgency is the prompt's rank at an engine, and LateUrgency that of a prompt like it
	// which cannot be in time.
	Priority, LatePriority int
	// Aim is the time within which the first event is of full use.
	Objective time.Duration
	// FarCost is what sending to another availability zone weighs, in milliseconds of
	// waiting.
	CrossZoneCost float64
	// MemoryShare is the share of an engine's memory that all requests may take for this
	// one to be sent there; zero where that is not asked for.
	MaxMemoryShare float64
	// Apart ranks the engines in place of what they cost, for a request that is to go to one
	// engine whoever holds it; zero for all others.
	PinKey uint64
	// VersionBound is the age from which no request begins on an older version.
	MaxStaleness time.Duration
	// ReadTime predicts how long an engine takes to read so many tokens.
	PrefillTime func(tokens int) time.Duration
}

// Choice is a decision.
type Choice struct {
	// Index of the candidate; -1 when none may run the prompt.
	Index int
	// FetchFrom is the source to fetch from; invalid for none.
	FetchFrom netip.AddrPort
	// Late choices cannot be in time. They wait behind those that can.
	Late bool
	// Urgency is the prompt's rank at the engine.
	Priority int
	// Estimate is the expected time to the first event.
	Estimate time.Duration
	// Held, Fetched and ReadTokens are the prompt's tokens that the engine is
	// expected to hold, to fetch and to read.
	CachedTokens, FetchedTokens, PrefillTokens int
	// Wait, Read and Fetch are the estimate's parts.
	Wait, Prefill, Fetch time.Duration
}

const (
	// FarCost is the usual cost of another availability zone: bytes between zones have a
	// price, and the way is longer.
	CrossZoneCost = 60
	// FarCostAsked is the same where only some engines are asked. A family's first engines
	// stand anywhere, and all entries must prefer them alike for its parts to be read once.
	CrossZoneCostProbed = 2
	// oldPenalty is what beginning on weights older than the wanted weighs, in
	// milliseconds, once graceAge has passed.
	oldPenalty = 400
	// graceAge is how long after new weights were named older ones still count
	// in full.
	graceAge = 1300 * time.Millisecond
	// boundMargin is left of VersionBound for the way to the engine and for what
	// the estimate of the wait there misses.
	boundMargin = 800 * time.Millisecond
	// readPrice is what a token that is read again weighs against one of the
	// prompt's own: it was paid for before.
	readPrice = 3.0
	// awayStep is what each step away from the family's first engine weighs, in
	// milliseconds. It keeps a family at one engine while that makes no difference
	// in waiting.
	awayStep = 3
	// stepTime is the time of one decoding step, in milliseconds: what each
	// running request adds to the reading of a prompt.
	stepTime = 0.6
	// fetchSetup is the time before a fetch begins to bring tokens, in
	// milliseconds.
	fetchSetup = 5
	// unreadPenalty is what it weighs, in milliseconds, that an engine loads weights
	// before it has read the prompt: it gives the prompt back unread, and all is
	// begun again elsewhere.
	unreadPenalty = 1000
	// restedPenalty outweighs all else, so that rested engines come last.
	restedPenalty = 1e6
	// fullPenalty is what an engine without a free slot or memory weighs, in
	// milliseconds for each request over.
	fullPenalty = 60
)

// Pick returns the best candidate. A prompt that no engine can begin to answer
// in time is put behind those that can: were all to wait in the order in which
// they came, one burst would make every later prompt late too.
func Pick(q *Input, candidates []Candidate) Choice {
	choice := pick(q, candidates, false)
	if q.Objective <= 0 || choice.Index < 0 || float64(choice.Estimate) <= lateFactor*float64(q.Objective) {
		return choice
	}
	return pick(q, candidates, true)
}

func pick(q *Input, candidates []Candidate, late bool) Choice {
	best := Choice{Index: -1}
	lowest := math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		if filter(q, c) != "" {
			continue
		}
		choice, cost := rate(q, c, candidates, late)
		if cost < lowest {
			lowest = cost
			choice.Index, choice.Late = i, late
			best = choice
		}
	}
	return best
}

// filter says why a candidate may not run the prompt; nothing when it may.
func filter(q *Input, c *Candidate) string {
	switch {
	case c.Excluded:
		return "leaves or has failed this request"
	case c.Loading:
		return "loads weights"
	case c.StaleFor >= q.MaxStaleness-boundMargin:
		return "has weights that are too old"
	case full(q, c):
		return "has no memory left for it"
	default:
		return ""
	}
}

const (
	// LaterMemoryShare is the MemoryShare of prompts of all but the most urgent routes,
	// which leave some for those and for the answers of all to grow. ReturnMemoryShare is
	// that of callers who were refused before.
	LowPriorityMemoryShare = 0.85
	RetryMemoryShare       = 0.92
	// largestShare bounds what a prompt counts as, as a share of an engine's memory. The
	// longest ones would otherwise find room nowhere while shorter ones come.
	largestShare = 0.125
)

// full reports whether an engine's memory has no room for a prompt.
//
// The load pattern that it answers: long prompts come faster than the answers to earlier
// ones end, and wait at engines. Each engine admits one as soon as its prompt fits, and
// has to preempt it when an urgent one comes or answers grow: it then reads the same
// prompt again.
func full(q *Input, c *Candidate) bool {
	taken := c.Work.Memory.Total()
	if q.MaxMemoryShare <= 0 || c.Memory <= 0 || taken == 0 {
		return false
	}
	size := min(q.OwnTokens+q.SharedTokens+q.MaxTokens/2, int(largestShare*float64(c.Memory)))
	return float64(taken+size) > q.MaxMemoryShare*float64(c.Memory)
}

// rate is a candidate's score with what it costs to be away from the family's
// first engine.
func rate(q *Input, c *Candidate, all []Candidate, late bool) (Choice, float64) {
	choice, cost := score(q, c, late)
	if q.PinKey != 0 {
		return choice, rankApart(q, c, &choice)
	}
	return choice, cost + awayStep*float64(away(q.Family, c, all))
}

// rankApart is the rank of an engine for a request that is kept apart, in place of its
// cost: all entries choose the lowest alike. Engines that cannot do it come last, in
// the same order.
func rankApart(q *Input, c *Candidate, choice *Choice) float64 {
	rank := Rank(q.PinKey, c.Hash)
	if c.Ejected || c.Draining {
		rank += 2
	}
	if q.Objective > 0 && float64(choice.Estimate) > lateFactor*float64(q.Objective) {
		rank++
	}
	return rank
}

// Rank is a target's place for a key, between 0 and 1, by a hash of both.
func Rank(key, hash uint64) float64 { return float64(Mix(key^hash)>>11) / (1 << 53) }

// lateFactor is how many times the objective a prompt may be expected to take before it
// counts as one that cannot be in time.
const lateFactor = 3.0 / 2

// Rating is what a decision makes of one candidate.
type Rating struct {
	// Filtered says why the candidate may not run the prompt; empty when it may.
	FilterReason string
	// Cost in milliseconds; the lowest is chosen.
	Cost   float64
	Choice Choice
}

// Rate returns what Pick makes of each candidate, for people who ask why.
func Rate(q *Input, candidates []Candidate) []Rating {
	late := Pick(q, candidates).Late
	ratings := make([]Rating, len(candidates))
	for i := range candidates {
		r := &ratings[i]
		r.FilterReason = filter(q, &candidates[i])
		r.Choice, r.Cost = rate(q, &candidates[i], candidates, late)
	}
	return ratings
}

// urgency is the prompt's rank at an engine.
func (q *Input) urgency(late bool) int {
	if late {
		return q.LatePriority
	}
	return q.Priority
}

// score returns the choice of a candidate with its cost in milliseconds.
func score(q *Input, c *Candidate, late bool) (Choice, float64) {
	missing := max(q.SharedTokens-c.CachedTokens, 0)
	fetched := min(max(c.FetchableTokens-c.CachedTokens, 0), missing)
	urgency := q.urgency(late)
	wait := inMs(c.Work.Prefill.UpTo(urgency))/free(c, urgency) + stepTime*float64(c.Work.Running)
	wait = wait*pace(c) + fullPenalty*float64(over(c, q, urgency, q.OwnTokens+missing+q.MaxTokens))
	read := pace(c) * inMs(q.PrefillTime(q.OwnTokens+missing-fetched))
	fetch := c.Source.FetchMs(fetched)
	choice := Choice{Priority: urgency, FetchFrom: c.Source.Address, CachedTokens: min(c.CachedTokens, q.SharedTokens), FetchedTokens: fetched, PrefillTokens: q.OwnTokens + missing - fetched}
	again := read - pace(c)*inMs(q.PrefillTime(q.OwnTokens))
	cost := wait + read + fetch + (readPrice-1)*again
	if !c.SameZone {
		cost += q.CrossZoneCost
	}
	if c.LoadScheduled && fromMs(wait+read+fetch) > c.LoadStartsIn {
		cost += unreadPenalty
	}
	if c.Ejected {
		cost += restedPenalty
	}
	if c.Draining {
		cost += restedPenalty / 2
	}
	if c.StaleFor > graceAge {
		cost += oldPenalty
	}
	choice.Wait, choice.Prefill, choice.Fetch = fromMs(wait), fromMs(read), fromMs(fetch)
	choice.Estimate = choice.Wait + choice.Prefill + choice.Fetch
	return choice, cost
}

// leastFree bounds by how much more urgent prompts stretch a wait: their share is
// measured over a short time.
const leastFree = 0.5

// free is the share of an engine's time that prompts leave which are more urgent and are
// yet to come. They are read first.
//
// The load pattern that it answers: long prompts wait at an engine that is given short
// urgent ones all the time. Reckoned without those they begin later than expected, too late
// for what their callers were promised.
func free(c *Candidate, urgency int) float64 {
	if urgency == 0 {
		return 1
	}
	return max(1-float64(c.OfferedLoad.UpTo(urgency-1))/1000, leastFree)
}

func pace(c *Candidate) float64 {
	if c.Slowdown <= 0 {
		return 1
	}
	return c.Slowdown
}

// over is by how many requests an engine is too full for one more, of those that do not
// make room for it.
//
// The load pattern that it answers: an engine's memory is full of long prompts, and a
// short one of an urgent route comes. It is admitted before those that wait, and of
// those that run the least urgent make room. Counted as waiting for all of them it would be
// refused although it could begin at once.
func over(c *Candidate, q *Input, urgency, intake int) int {
	n := max(c.Work.Running+1-c.Slots, 0)
	taken := c.Work.Memory.UpTo(urgency)
	excess := taken + intake - c.Memory
	if excess <= 0 || c.Memory <= 0 {
		return n
	}
	mean := max(taken/max(c.Work.Running, 1), intake, 1)
	return n + 1 + excess/mean
}

// away counts the candidates in the same zone that rank before c for a family.
func away(family uint64, c *Candidate, all []Candidate) int {
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

func inMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Mix is the finalizer of splitmix64: cheap, and every bit of the input changes
// every bit of the output.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 27
	x *= 0x94D049BB133111EB
	return x ^ x>>31
}
