// Package routing ranks the targets of a service for a prompt and picks one by its response to
// a probe.
//
// Targets are filtered by state and region, and ranked by rendezvous hashing on the nested
// levels of the prompt. All entries therefore compute the same ranking without coordination,
// requests that share a level reach the same few targets, and adding or removing a target moves
// only that target's share.
//
// Targets are probed in widening rounds until one has the prefix cached and is not busy. A
// prefix with more load than its first targets can serve makes them busy, and later rounds add
// targets that compute and cache the prefix too. When the load drops, these are no longer
// chosen, and their engines evict it.
package routing

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanwell/toucanwell/internal/config"
)

// State is the state of a target in an entry's view.
type State uint8

// The states.
const (
	Live State = iota
	// Leaving targets get no new work.
	Leaving
	// Suspect targets failed recently and are ranked only if no live target is left.
	Suspect
)

// Target is a target of a service.
type Target struct {
	Name    string
	Service string
	Address string
	// ProbeAddr is Address in parsed form, for probe datagrams.
	ProbeAddr netip.AddrPort
	// Zone and Region locate the target's host.
	Zone   string
	Region string
	State  State
	// hash is the hash of Name.
	hash uint64
}

// NewTarget returns a live target.
func NewTarget(service, name, address, zone, region string) Target {
	t := Target{Name: name, Service: service, Address: address, Zone: zone, Region: region, hash: xxhash.Sum64String(name)}
	t.ProbeAddr, _ = netip.ParseAddrPort(address)
	return t
}

// Location is the location of an entry.
type Location struct {
	Zone   string
	Region string
}

// The sections of a ranking, in probing order.
const (
	// familyCount targets by the family's key come first.
	familyCount = 6
	// innermostCount targets by the innermost level's key follow, which spread the prompts of a
	// hot family.
	innermostCount = 8
	// MaxRanked is the maximum length of a ranking.
	MaxRanked = 16
)

// Ranking lists the indexes of targets in probing order. It is a plain value, so that ranking
// does not allocate.
type Ranking struct {
	order [MaxRanked]int32
	n     int
}

// Len returns the number of ranked targets.
func (r *Ranking) Len() int { return r.n }

// At returns the index of the i-th ranked target.
func (r *Ranking) At(i int) int { return int(r.order[i]) }

func (r *Ranking) has(index int) bool {
	for _, x := range r.order[:r.n] {
		if int(x) == index {
			return true
		}
	}
	return false
}

func (r *Ranking) add(index int) {
	if r.n < MaxRanked && !r.has(index) {
		r.order[r.n] = int32(index)
		r.n++
	}
}

func (r *Ranking) addAll(indexes []int32) {
	for _, i := range indexes {
		r.add(int(i))
	}
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 27
	x *= 0x94D049BB133111EB
	return x ^ x>>31
}

// Score returns the rendezvous score of the target for a key. The target with the highest score
// ranks first.
func (t *Target) Score(key uint64) uint64 { return mix(key ^ t.hash) }

// scope is the set of targets that are eligible for a ranking.
type scope uint8

// The scopes, in ascending order of preference. Leaving targets are in none.
const (
	scopeNone scope = iota
	scopeSuspect
	scopeLive
	scopeLiveInRegion
)

// bestScope returns the most preferred scope that has a target: live targets of the entry's
// region, else live targets of any region, else suspects.
func bestScope(targets []Target, location Location) scope {
	best := scopeNone
	for i := range targets {
		switch t := &targets[i]; {
		case t.State == Live && t.Region == location.Region:
			return scopeLiveInRegion
		case t.State == Live:
			best = max(best, scopeLive)
		case t.State == Suspect:
			best = max(best, scopeSuspect)
		}
	}
	return best
}

func (s scope) includes(t *Target, location Location) bool {
	switch s {
	case scopeLiveInRegion:
		return t.State == Live && t.Region == location.Region
	case scopeLive:
		return t.State == Live
	default:
		return t.State == Suspect
	}
}

// topScores collects the targets with the highest scores for one key, in descending order. Once
// it is full, a target must exceed floor to enter.
type topScores struct {
	index [MaxRanked]int32
	score [MaxRanked]uint64
	n     int
	size  int
	floor uint64
}

func (t *topScores) insert(index int, score uint64) {
	if score <= t.floor {
		return
	}
	position := min(t.n, t.size-1)
	for position > 0 && t.score[position-1] < score {
		t.index[position], t.score[position] = t.index[position-1], t.score[position-1]
		position--
	}
	t.index[position], t.score[position] = int32(index), score
	t.n = min(t.n+1, t.size)
	if t.n == t.size {
		t.floor = t.score[t.size-1]
	}
}

// Rank ranks the targets of a service for a prompt with the given levels, outermost first. The
// first targets are those of the family, which is the innermost level but one and shared by
// many prompts. Targets of the innermost level follow, over which a hot family spreads, then
// further targets of the family.
func Rank(targets []Target, location Location, levels []uint64) Ranking {
	var ranking Ranking
	allowed := bestScope(targets, location)
	if allowed == scopeNone {
		return ranking
	}
	familyKey, innermostKey := levelKeys(levels)
	family := topScores{size: MaxRanked}
	innermost := topScores{size: innermostCount}
	for i := range targets {
		t := &targets[i]
		if allowed.includes(t, location) {
			family.insert(i, t.Score(familyKey))
			innermost.insert(i, t.Score(innermostKey))
		}
	}
	ranking.addAll(family.index[:min(family.n, familyCount)])
	ranking.addAll(innermost.index[:innermost.n])
	ranking.addAll(family.index[:family.n])
	return ranking
}

func levelKeys(levels []uint64) (family, innermost uint64) {
	switch len(levels) {
	case 0:
		return 0, 0
	case 1:
		return levels[0], levels[0]
	default:
		return levels[len(levels)-2], levels[len(levels)-1]
	}
}

// Estimate is a target's response to a probe.
type Estimate struct {
	// Index is the index of the target.
	Index int
	// Wait is the time until the request would reach the engine.
	Wait time.Duration
	// Prefill is the time to compute the tokens that are not cached.
	Prefill time.Duration
	// Busy is the share of recent time that the target spent on prefill.
	Busy float64
	// RoundTrip is the network round-trip time.
	RoundTrip time.Duration
	// Refused is set if the target refused the probe or did not respond.
	Refused bool
}

// Policy weighs estimates.
type Policy struct {
	// Rounds are the cumulative numbers of targets probed after each round.
	Rounds []int
	// PrefillWeight is the cost of prefill time at an idle target relative to waiting time. It
	// is lower for classes that are sensitive to latency.
	PrefillWeight [config.NumClasses]float64
	// BusyPenalty and BusyExponent raise the cost of prefill at a busy target by the factor 1 +
	// BusyPenalty*busy^BusyExponent: it delays queued requests and evicts their cached
	// prefixes.
	BusyPenalty, BusyExponent float64
	// AcceptableWait and AcceptablePrefill are the bounds up to which an estimate ends the
	// probing. A long prefix that the first targets have evicted is often still cached at a
	// target of a later round.
	AcceptableWait, AcceptablePrefill time.Duration
}

// DefaultPolicy is the policy that entries use.
var DefaultPolicy = Policy{
	Rounds:            []int{4, 10, 16},
	PrefillWeight:     [config.NumClasses]float64{0.05, 1, 1},
	BusyPenalty:       60,
	BusyExponent:      2,
	AcceptableWait:    30 * time.Millisecond,
	AcceptablePrefill: 150 * time.Millisecond,
}

// Cost returns the cost of an estimate, in nanoseconds of waiting.
func (p *Policy) Cost(class config.Class, e Estimate) float64 {
	if e.Refused {
		return math.Inf(1)
	}
	weight := p.PrefillWeight[class] * (1 + p.BusyPenalty*math.Pow(e.Busy, p.BusyExponent))
	return float64(e.Wait) + float64(e.RoundTrip) + weight*float64(e.Prefill)
}

// Pick returns the position of the estimate with the lowest cost, or -1 if all were refused. Of
// equal costs the first wins.
func (p *Policy) Pick(class config.Class, estimates []Estimate) int {
	best := -1
	cost := math.Inf(1)
	for i, e := range estimates {
		if c := p.Cost(class, e); c < cost {
			best, cost = i, c
		}
	}
	return best
}

// Satisfied reports whether the estimates so far make further rounds unnecessary.
func (p *Policy) Satisfied(class config.Class, estimates []Estimate) bool {
	best := p.Pick(class, estimates)
	return best >= 0 && estimates[best].Wait <= p.AcceptableWait && estimates[best].Prefill <= p.AcceptablePrefill
}
