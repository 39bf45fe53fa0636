package batchmodel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/placement"
)

// PrefixLevel describes the shared parts at one position of a class's prompts.
type PrefixLevel struct {
	// Tokens is the mean length of a part, Count the number of distinct parts; Skew is the Zipf
	// exponent of their popularity.
	Tokens, Count int
	Skew          float64
}

// Class describes one class of requests.
type Class struct {
	Name string
	// PerSecond is the request rate of the whole deployment.
	PerSecond    float64
	PrefixLevels []PrefixLevel
	// OwnTokens and OutputTokens are the mean lengths of the unshared part of the prompt and of
	// the output; the sigmas are the standard deviations of their logarithms.
	OwnTokens, OutputTokens int
	OwnSigma, OutputSigma   float64
	// TTFTObjective is the objective for the time to first token, MaxWait the time after which
	// callers give up, MaxTokenGap the objective for the longest time between tokens.
	TTFTObjective, MaxWait, MaxTokenGap time.Duration
	// Priority is the priority at an engine; 0 is first.
	Priority int
	// Worth is the worth of a request that meets its objectives, LateWorth of another.
	Worth, LateWorth float64
}

// sharedPart is a part of a prompt that other requests share.
type sharedPart struct {
	id     uint64
	tokens int
}

// cacheKey returns the cache key of the part under a weight version.
func (s sharedPart) cacheKey(version int) uint64 { return placement.Mix(s.id + uint64(version)) }

// request is one generated request.
type request struct {
	class        *Class
	arrival      time.Duration
	entry        int
	sharedParts  []sharedPart
	ownTokens    int
	outputTokens int
	onFinish     func(*run)
}

func (q *request) sharedTokens() int {
	n := 0
	for _, p := range q.sharedParts {
		n += p.tokens
	}
	return n
}

func (q *request) promptTokens() int { return q.sharedTokens() + q.ownTokens }

// family returns the ID of the last shared part.
func (q *request) family() uint64 {
	if len(q.sharedParts) == 0 {
		return 0
	}
	return q.sharedParts[len(q.sharedParts)-1].id
}

// lognormal draws from a log-normal distribution, at least 1.
func lognormal(r *rand.Rand, mean int, sigma float64) int {
	return max(1, int(float64(mean)*math.Exp(r.NormFloat64()*sigma-sigma*sigma/2)))
}

// generateRequests draws the requests of a time span as a Poisson process, in the order of arrival.
func generateRequests(classes []Class, entries int, duration time.Duration, loadFactor float64, r *rand.Rand) []*request {
	var all []*request
	total := 0.0
	for _, c := range classes {
		total += c.PerSecond * loadFactor
	}
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / total * float64(time.Second))
		if at > duration {
			return all
		}
		all = append(all, drawRequest(drawClass(classes, r), at, r.IntN(entries), r))
	}
}

func drawClass(classes []Class, r *rand.Rand) *Class {
	sum := 0.0
	for _, c := range classes {
		sum += c.PerSecond
	}
	x := r.Float64() * sum
	for i := range classes {
		if x -= classes[i].PerSecond; x < 0 {
			return &classes[i]
		}
	}
	return &classes[len(classes)-1]
}

func drawRequest(c *Class, at time.Duration, entry int, r *rand.Rand) *request {
	q := &request{class: c, arrival: at, entry: entry, ownTokens: lognormal(r, c.OwnTokens, c.OwnSigma), outputTokens: lognormal(r, c.OutputTokens, c.OutputSigma)}
	id := placement.Mix(uint64(len(c.Name))<<32 + uint64(c.Name[0]))
	for _, l := range c.PrefixLevels {
		part := drawPart(r, l)
		id = placement.Mix(id + uint64(part) + 1)
		q.sharedParts = append(q.sharedParts, sharedPart{id: id, tokens: partTokens(id, l.Tokens)})
	}
	return q
}

// drawPart draws the index of a part by popularity.
func drawPart(r *rand.Rand, l PrefixLevel) int {
	sum := 0.0
	for i := range l.Count {
		sum += math.Pow(float64(i+1), -l.Skew)
	}
	x := r.Float64() * sum
	for i := range l.Count {
		if x -= math.Pow(float64(i+1), -l.Skew); x < 0 {
			return i
		}
	}
	return l.Count - 1
}

// partTokens derives the length of a part from its ID, between half and one and a half of the mean.
func partTokens(id uint64, mean int) int {
	return mean/2 + int(placement.Mix(id^0xABCD)%uint64(mean))
}
