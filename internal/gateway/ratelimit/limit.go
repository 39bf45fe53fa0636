// Package ratelimit enforces rate limits across all entries: those of workspaces, and those that
// targets state.
//
// # Sharing one token bucket
//
// Each limit has a token bucket with a key. It is kept by one coordinator among the live
// entries, chosen by rendezvous hashing of key and address, so that no election is needed.
// Other entries request the cost of a request from it and lease further tokens ahead, so that
// most requests are admitted without a round trip.
//
// # Staying within the limit
//
// Tokens leave the bucket before they are used. Leased tokens count against its burst until
// they are reported as used or the lease expires, so that lost, late or duplicate messages waste
// tokens but never create any. The holder counts a lease from before it sent the request, and a
// resumed process finds its leases expired. When a partition leaves a bucket with two
// coordinators, each refills its bucket only by the share of the known entries that it can
// reach. New buckets start empty.
package ratelimit

import (
	"math"
	"time"
)

// Limit is the parameters of a token bucket, in the limit's unit.
type Limit struct {
	// PerSecond is the refill rate; zero means no limit.
	PerSecond float64
	// Burst is how much may be used at once in excess of the rate.
	Burst float64
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// Scaled returns the given share of the limit.
func (l Limit) Scaled(share float64) Limit {
	return Limit{PerSecond: l.PerSecond * share, Burst: l.Burst * share}
}

const (
	// minTargetRate is the least rate at which a target that states a limit is asked, in requests
	// per second. Only its responses show that the limit has ended.
	minTargetRate = 0.1
	// targetBurst is the burst that is allowed beyond targetBurstTime at the rate, in requests.
	targetBurst     = 2
	targetBurstTime = time.Second
)

// TargetLimit returns the limit for a target that states a number of requests per second.
func TargetLimit(perSecond float64) Limit {
	rate := math.Max(perSecond, minTargetRate)
	return Limit{PerSecond: rate, Burst: targetBurst + rate*targetBurstTime.Seconds()}
}

// Unit is what a limit counts.
type Unit uint8

// The units.
const (
	// Requests counts each request as one.
	Requests Unit = iota
	// Tokens counts a request's prompt tokens plus its maximum output tokens.
	Tokens
)

// String returns the unit's name.
func (u Unit) String() string {
	if u == Tokens {
		return "tokens"
	}
	return "requests"
}

// Policy is a workspace's limit and how its requests are counted.
type Policy struct {
	Limit
	Unit Unit
	// DefaultCost is the cost of a request that does not state its size.
	DefaultCost int
}

// Cost returns the cost of a request; stated is set if it states its size. The cost is at least
// one, so that no flood of requests is free.
func (p Policy) Cost(stated bool, promptTokens, answerTokens int) float64 {
	switch {
	case p.Unit == Requests:
		return 1
	case !stated:
		return math.Max(float64(p.DefaultCost), 1)
	default:
		return math.Max(float64(promptTokens)+float64(answerTokens), 1)
	}
}

// minBurstTime is the least bucket capacity, as time at the refill rate. Without any, requests
// would have to arrive evenly spaced.
const minBurstTime = 100 * time.Millisecond

// capacity is the bucket's capacity.
func (l Limit) capacity() float64 { return math.Max(l.Burst, l.PerSecond*minBurstTime.Seconds()) }

// refillTime is how long the rate takes to refill an amount, at most maxRetryDelay.
func (l Limit) refillTime(amount float64) time.Duration {
	if amount <= 0 || l.PerSecond <= 0 {
		return 0
	}
	return time.Duration(math.Min(amount/l.PerSecond, maxRetryDelay.Seconds()) * float64(time.Second))
}

// maxRetryDelay bounds the retry delays given to callers.
const maxRetryDelay = 10 * time.Second
