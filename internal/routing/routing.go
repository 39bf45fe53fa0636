// Package routing decides which targets an entry asks for a request, and which
// of them it picks.
//
// A decision takes three steps: filter the targets that may take the request,
// rank them so that every entry ranks alike without talking, and pick by what
// the ranked ones answer. The ranking is rendezvous hashing on the nested
// levels of the prompt, so that requests which share a level meet at the same
// few targets, and a target that comes or goes moves only its own share.
//
// Targets are asked in widening rounds. While the first round finds one that
// holds the prefix, or most of it, and is free, no other is asked. A prefix that
// is hotter than its first targets can bear makes them busy; the next round brings in
// more of its ranking, which compute the prefix once and hold it from then on.
// Copies so follow the heat, and leave by the engines' own eviction when the
// first targets suffice again. No entry keeps state for it.
package routing

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanwell/toucanwell/internal/config"
)

// State of a target in an entry's view.
type State uint8

// The states.
const (
	Live State = iota
	// Leaving takes no new work.
	Leaving
	// Suspect failed lately and is asked only when no other is left.
	Suspect
)

// Target is a target as the ranking sees it.
type Target struct {
	Name    string
	Service string
	Address string
	// Probe is the same address for datagrams.
	ProbeAddr netip.AddrPort
	// Zone and Region are where its host stands.
	Zone   string
	Region string
	State  State
	// hash of the name.
	hash uint64
}

// NewTarget returns a live target.
func NewTarget(service, name, address, zone, region string) Target {
	t := Target{Name: name, Service: service, Address: address, Zone: zone, Region: region, hash: xxhash.Sum64String(name)}
	t.ProbeAddr, _ = netip.ParseAddrPort(address)
	return t
}

// Place is where an entry stands.
type Location struct {
	Zone   string
	Region string
}

// The parts of a ranking, in the order in which targets are asked.
const (
	// familyFirst targets of the family's key come first.
	familyFirst = 6
	// ownNext targets of the innermost level's key follow: the cases of a hot
	// family spread over them.
	ownNext = 8
	// MaxRanked is how many targets a ranking holds at the most.
	MaxRanked = 16
)

// Ranking lists targets in the order in which to ask them. It is a value
// without pointers into the heap, so that ranking allocates nothing.
type Ranking struct {
	indexes [MaxRanked]int32
	n       int
}

// Len is the number of ranked targets.
func (r *Ranking) Len() int { return r.n }

// At returns the index of the i-th ranked target.
func (r *Ranking) At(i int) int { return int(r.indexes[i]) }

func (r *Ranking) has(index int) bool {
	for _, x := range r.indexes[:r.n] {
		if int(x) == index {
			return true
		}
	}
	return false
}

func (r *Ranking) add(index int) {
	if r.n < MaxRanked && !r.has(index) {
		r.indexes[r.n] = int32(index)
		r.n++
	}
}

func (r *Ranking) addAll(indexes []int32) {
	for _, i := range indexes {
		r.add(int(i))
	}
}

// mix is the finalizer of splitmix64: cheap, and every bit of the input
// changes every bit of the output.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 27
	x *= 0x94D049BB133111EB
	return x ^ x>>31
}

// Score is the rendezvous score of a target for a key; the highest goes first.
func (t *Target) Score(key uint64) uint64 { return mix(key ^ t.hash) }

// scope is which targets the filter lets through.
type scope uint8

// The scopes, from the best to the last resort. Leaving targets are in none.
const (
	nobody scope = iota
	suspects
	liveAnywhere
	liveNear
)

// filter finds the best scope that has a target: live ones of the entry's
// region; if there are none, live ones anywhere; if there are none, suspects.
func filter(targets []Target, place Location) scope {
	best := nobody
	for i := range targets {
		switch t := &targets[i]; {
		case t.State == Live && t.Region == place.Region:
			return liveNear
		case t.State == Live:
			best = max(best, liveAnywhere)
		case t.State == Suspect:
			best = max(best, suspects)
		}
	}
	return best
}

func (s scope) has(t *Target, place Location) bool {
	switch s {
	case liveNear:
		return t.State == Live && t.Region == place.Region
	case liveAnywhere:
		return t.State == Live
	default:
		return t.State == Suspect
	}
}

// top holds the best targets of one key, best first. floor is the score that
// a target must exceed to enter a full one.
type top struct {
	index [MaxRanked]int32
	score [MaxRanked]uint64
	n     int
	size  int
	floor uint64
}

func (t *top) offer(index int, score uint64) {
	if score <= t.floor {
		return
	}
	at := min(t.n, t.size-1)
	for at > 0 && t.score[at-1] < score {
		t.index[at], t.score[at] = t.index[at-1], t.score[at-1]
		at--
	}
	t.index[at], t.score[at] = int32(index), score
	t.n = min(t.n+1, t.size)
	if t.n == t.size {
		t.floor = t.score[t.size-1]
	}
}

// Rank orders the targets of a service for a prompt with the given levels,
// outermost first. The first targets are those of the family, the innermost
// level but one (the town), which many prompts share. Then come those of the
// innermost level (the case), over which a family that is hotter than its first
// targets can bear spreads out; then further ones of the family.
func Rank(targets []Target, place Location, levels []uint64) Ranking {
	var ranking Ranking
	allowed := filter(targets, place)
	if allowed == nobody {
		return ranking
	}
	familyKey, ownKey := levelKeys(levels)
	family := top{size: MaxRanked}
	own := top{size: ownNext}
	for i := range targets {
		t := &targets[i]
		if allowed.has(t, place) {
			family.offer(i, t.Score(familyKey))
			own.offer(i, t.Score(ownKey))
		}
	}
	ranking.addAll(family.index[:min(family.n, familyFirst)])
	ranking.addAll(own.index[:own.n])
	ranking.addAll(family.index[:family.n])
	return ranking
}

func levelKeys(levels []uint64) (family, own uint64) {
	switch len(levels) {
	case 0:
		return 0, 0
	case 1:
		return levels[0], levels[0]
	default:
		return levels[len(levels)-2], levels[len(levels)-1]
	}
}

// Quote is a target's answer to a probe.
type Estimate struct {
	// Index of the target.
	Index int
	// Wait until the request would reach the engine.
	Wait time.Duration
	// Prefill is the time to compute what the engine does not hold.
	Prefill time.Duration
	// Busy is the share of recent time that the target spent prefilling.
	Busy float64
	// Distance is the time of a round trip.
	RoundTrip time.Duration
	// Refused is set when the target takes no new work.
	Refused bool
}

// Policy weighs quotes.
type Policy struct {
	// Rounds are the numbers of targets asked after each round.
	Rounds []int
	// WasteFactor is how much a millisecond of recomputing at an idle target
	// weighs against one of waiting. A class that cannot wait has a lower one.
	PrefillWeight [config.Classes]float64
	// BusyPrice and BusyPower say how much dearer recomputing is at a target
	// that was busy for a part of the time: 1 + BusyPrice*busy^BusyPower times.
	// There it delays the requests behind and evicts what they would have found.
	BusyPenalty, BusyExponent float64
	// Content is the wait and Miss the recomputing up to which no further round
	// is made. A long prefix that the first targets have lost is often still
	// held by one that was asked while they were busy.
	AcceptableWait, AcceptablePrefill time.Duration
}

// DefaultPolicy is the policy of entries whose settings name none; see docs/DESIGN.md.
var DefaultPolicy = Policy{
	Rounds:            []int{4, 10, 16},
	PrefillWeight:     [config.Classes]float64{0.05, 1, 1},
	BusyPenalty:       60,
	BusyExponent:      2,
	AcceptableWait:    30 * time.Millisecond,
	AcceptablePrefill: 150 * time.Millisecond,
}

// Cost is what a quote weighs, in nanoseconds of waiting.
func (p *Policy) Cost(class config.Class, q Estimate) float64 {
	if q.Refused {
		return math.Inf(1)
	}
	price := p.PrefillWeight[class] * (1 + p.BusyPenalty*math.Pow(q.Busy, p.BusyExponent))
	return float64(q.Wait) + float64(q.RoundTrip) + price*float64(q.Prefill)
}

// Pick returns the position of the cheapest quote, or -1. Of equal ones the
// first in the ranking wins.
func (p *Policy) Pick(class config.Class, quotes []Estimate) int {
	best := -1
	cost := math.Inf(1)
	for i, q := range quotes {
		if c := p.Cost(class, q); c < cost {
			best, cost = i, c
		}
	}
	return best
}

// Satisfied reports whether the quotes so far make another round needless.
func (p *Policy) Satisfied(class config.Class, quotes []Estimate) bool {
	best := p.Pick(class, quotes)
	return best >= 0 && quotes[best].Wait <= p.AcceptableWait && quotes[best].Prefill <= p.AcceptablePrefill
}
