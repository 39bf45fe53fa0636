// Package ratelimit keeps each workspace within its rate limit over all entries together.
//
// # How entries share one token bucket
//
// Each workspace has one coordinator among the living entries: the one that a rank of
// workspace and address puts first, which all compute alike and nobody elects. It keeps the
// workspace's token bucket. The others ask it for what a request costs, and lease some
// tokens ahead for the requests that follow, so that most are admitted without a question.
//
// # Why the sum stays within the limit
//
// Tokens leave the bucket before they are used, and leased ones count against its burst
// until they are reported as used or have lapsed: a lost, late or doubled message wastes
// tokens and makes none. A lease lapses by its holder's clock, counted from before it was
// asked for, so that an entry which stood still wakes without credit. Where two entries
// each believe to be the coordinator, each refills its bucket only by the share of the
// known entries that it hears, and a bucket begins empty.
package ratelimit

import (
	"math"
	"time"
)

// Limit is how fast a workspace may use what it is limited in: tokens of prompts and
// answers, or requests.
type Limit struct {
	// PerSecond is the rate; zero for no limit.
	PerSecond float64
	// Burst is how much may be used at once beyond the rate.
	Burst float64
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// Scaled is a share of the limit.
func (l Limit) Scaled(share float64) Limit {
	return Limit{PerSecond: l.PerSecond * share, Burst: l.Burst * share}
}

// Unit is what a limit counts.
type Unit uint8

// The units.
const (
	// Requests count one each.
	Requests Unit = iota
	// Tokens count a request by its prompt and the longest answer that it asks for.
	Tokens
)

// String returns the unit's name.
func (u Unit) String() string {
	if u == Tokens {
		return "tokens"
	}
	return "requests"
}

// Terms are a workspace's limit with how its requests are counted.
type Policy struct {
	Limit
	Unit Unit
	// Unstated is what a request counts that states no size.
	DefaultCost int
}

// Cost is what a request counts; stated is set when it says its sizes. None is free: a
// flood of requests without a size would never meet the limit.
func (t Policy) Cost(stated bool, promptTokens, answerTokens int) float64 {
	switch {
	case t.Unit == Requests:
		return 1
	case !stated:
		return math.Max(float64(t.DefaultCost), 1)
	default:
		return math.Max(float64(promptTokens)+float64(answerTokens), 1)
	}
}

// leastBurst is the time of the rate that a bucket holds at least: without any, requests
// would have to come evenly spaced.
const leastBurst = 100 * time.Millisecond

// size is the bucket's.
func (l Limit) size() float64 { return math.Max(l.Burst, l.PerSecond*leastBurst.Seconds()) }

// until is how long the rate takes to bring an amount.
func (l Limit) until(amount float64) time.Duration {
	if amount <= 0 || l.PerSecond <= 0 {
		return 0
	}
	return time.Duration(math.Min(amount/l.PerSecond, longestWait.Seconds()) * float64(time.Second))
}

// longestWait bounds the times to come back that callers are told.
const longestWait = 10 * time.Second
