package batchmodel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/placement"
)

// Level is one level of a class's shared parts.
type PrefixLevel struct {
	// Tokens is the mean length of a part, Things how many there are; Skew is the
	// exponent of their popularity.
	Tokens, Count int
	Skew          float64
}

// Class is one kind of request.
type Class struct {
	Name string
	// PerSecond is the rate of the whole deployment.
	PerSecond    float64
	PrefixLevels []PrefixLevel
	// Own and Answer are the mean tokens of a request's own part and of its answer;
	// OwnSpread and AnswerSpread are the deviations of their logarithms.
	OwnTokens, OutputTokens int
	OwnSigma, OutputSigma   float64
	// Aim is the time to the first token that is of full use, Patience the time
	// after which callers leave, Gap the longest pause that is of full use.
	TTFTObjective, MaxWait, MaxTokenGap time.Duration
	// Urgency ranks classes at an engine; 0 is the most urgent.
	Priority int
	// Worth in time, and late.
	Worth, LateWorth float64
}

// shared is one shared part of a request.
type shared struct {
	name   uint64
	tokens int
}

// key names a part as read under a version of the weights.
func (s shared) key(version int) uint64 { return placement.Mix(s.name + uint64(version)) }

// request is one request of the traffic.
type request struct {
	class  *Class
	at     time.Duration
	entry  int
	shared []shared
	own    int
	answer int
	finish func(*run)
}

func (q *request) sharedTokens() int {
	n := 0
	for _, p := range q.shared {
		n += p.tokens
	}
	return n
}

func (q *request) prompt() int { return q.sharedTokens() + q.own }

// family names the innermost shared part.
func (q *request) family() uint64 {
	if len(q.shared) == 0 {
		return 0
	}
	return q.shared[len(q.shared)-1].name
}

// lognormal draws with a mean and a deviation of the logarithm.
func lognormal(r *rand.Rand, mean int, spread float64) int {
	return max(1, int(float64(mean)*math.Exp(r.NormFloat64()*spread-spread*spread/2)))
}

// generate draws the requests of a length of time, in the order of arrival.
func generate(classes []Class, entries int, length time.Duration, load float64, r *rand.Rand) []*request {
	var all []*request
	total := 0.0
	for _, c := range classes {
		total += c.PerSecond * load
	}
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / total * float64(time.Second))
		if at > length {
			return all
		}
		all = append(all, draw(pick(classes, r), at, r.IntN(entries), r))
	}
}

func pick(classes []Class, r *rand.Rand) *Class {
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

func draw(c *Class, at time.Duration, entry int, r *rand.Rand) *request {
	q := &request{class: c, at: at, entry: entry, own: lognormal(r, c.OwnTokens, c.OwnSigma), answer: lognormal(r, c.OutputTokens, c.OutputSigma)}
	name := placement.Mix(uint64(len(c.Name))<<32 + uint64(c.Name[0]))
	for _, l := range c.PrefixLevels {
		thing := popular(r, l)
		name = placement.Mix(name + uint64(thing) + 1)
		q.shared = append(q.shared, shared{name: name, tokens: sized(name, l.Tokens)})
	}
	return q
}

// popular draws a thing by its popularity.
func popular(r *rand.Rand, l PrefixLevel) int {
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

// sized gives each part a length of its own, from a half to three halves of the mean.
func sized(name uint64, mean int) int {
	return mean/2 + int(placement.Mix(name^0xABCD)%uint64(mean))
}
