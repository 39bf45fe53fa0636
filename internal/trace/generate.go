package trace

import (
	"iter"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanwell/toucanwell/internal/config"
)

// Kind is a kind of request in a shape's traffic mix.
type Kind struct {
	Class string
	// Share is the fraction of requests of this kind.
	Share float64
	// LevelTokens are the lengths of the nested shared levels, outermost first.
	LevelTokens [3]int
	// SuffixTokens is the length of the prompt's unshared suffix.
	SuffixTokens int
	OutputTokens int
	Deadline     time.Duration
}

// Shape describes a deployment's traffic.
type Shape struct {
	Name    string
	Service string
	// Workspaces lists the workspaces with their shares of the traffic.
	Workspaces []WorkspaceShare
	// Rulebooks, Places and Cases are the numbers of distinct texts at each level: rulebooks
	// per workspace, places per rulebook and cases per place.
	Rulebooks, Places, Cases int
	// Skew is the exponent of the Zipf distribution of places.
	Skew  float64
	Kinds []Kind
	// ShiftEvery is the interval at which the set of popular places changes.
	ShiftEvery time.Duration
	// BurstEvery is the period of bursts. For the first fifth of each period, the rate is the
	// mean rate times BurstFactor.
	BurstEvery  time.Duration
	BurstFactor float64
	BlockTokens int
}

// WorkspaceShare is a workspace's share of the traffic and its scheduling weight.
type WorkspaceShare struct {
	Name   string
	Share  float64
	Weight float64
}

var eightWorkspaces = []WorkspaceShare{
	{"w1", 0.30, 4}, {"w2", 0.22, 3}, {"w3", 0.14, 2}, {"w4", 0.10, 1},
	{"w5", 0.08, 1}, {"w6", 0.06, 1}, {"w7", 0.06, 0.5}, {"w8", 0.04, 0.5},
}

// Marktlizenz returns the traffic of a licence office: interactive checks and long batch
// reviews that share rulebooks.
func Marktlizenz() Shape {
	return Shape{
		Name: "marktlizenz", Service: "pruefer", Workspaces: eightWorkspaces,
		Rulebooks: 1, Places: 30, Cases: 8, Skew: 1.2,
		Kinds: []Kind{
			{config.ClassInteractive.String(), 0.7, [3]int{6144, 3072, 1024}, 256, 120, 10 * time.Second},
			{config.ClassBatch.String(), 0.3, [3]int{6144, 3072, 3072}, 512, 300, 60 * time.Second},
		},
		ShiftEvery: 20 * time.Second, BurstEvery: 30 * time.Second, BurstFactor: 1.3, BlockTokens: 128,
	}
}

// Olaje returns the traffic of a surf forecaster: latency-critical alerts, interactive
// questions and long batch briefings.
func Olaje() Shape {
	return Shape{
		Name: "olaje", Service: "oleaje-llm", Workspaces: eightWorkspaces,
		Rulebooks: 1, Places: 24, Cases: 6, Skew: 1.2,
		Kinds: []Kind{
			{config.ClassAlert.String(), 0.35, [3]int{2048, 1024, 512}, 64, 30, 2 * time.Second},
			{config.ClassInteractive.String(), 0.5, [3]int{2048, 1024, 512}, 128, 80, 5 * time.Second},
			{config.ClassBatch.String(), 0.15, [3]int{2048, 1024, 6144}, 512, 400, 60 * time.Second},
		},
		ShiftEvery: 20 * time.Second, BurstEvery: 15 * time.Second, BurstFactor: 1.5, BlockTokens: 128,
	}
}

// Contended returns a copy of a shape in which all workspaces send equal traffic, so that
// under overload the demand of each exceeds its weighted share.
func Contended(s Shape) Shape {
	workspaces := append([]WorkspaceShare(nil), s.Workspaces...)
	for i := range workspaces {
		workspaces[i].Share = 1 / float64(len(workspaces))
	}
	s.Workspaces = workspaces
	return s
}

// Generate yields the requests of a shape at a mean rate in requests per second. The same
// seed yields the same requests.
func Generate(s Shape, rate float64, length time.Duration, seed uint64) iter.Seq[Record] {
	return func(yield func(Record) bool) {
		g := &generator{shape: s, random: rand.New(rand.NewPCG(seed, 7))}
		g.places = rand.NewZipf(g.random, s.Skew, 4, uint64(s.Places-1))
		at := 0.0
		for n := uint64(0); ; n++ {
			at += g.random.ExpFloat64() / (rate * g.factor(at))
			if at >= length.Seconds() {
				return
			}
			if !yield(g.record(at, n)) {
				return
			}
		}
	}
}

type generator struct {
	shape  Shape
	random *rand.Rand
	places *rand.Zipf
}

// burstFraction is the fraction of each period that a burst lasts.
const burstFraction = 0.2

// factor returns the ratio of the rate at a time to the mean rate.
func (g *generator) factor(at float64) float64 {
	period := g.shape.BurstEvery.Seconds()
	quiet := (1 - burstFraction*g.shape.BurstFactor) / (1 - burstFraction)
	if math.Mod(at, period) < burstFraction*period {
		return g.shape.BurstFactor
	}
	return quiet
}

func (g *generator) record(at float64, n uint64) Record {
	s := &g.shape
	workspace := pickByShare(g.random, s.Workspaces, func(w WorkspaceShare) float64 { return w.Share })
	kind := pickByShare(g.random, s.Kinds, func(k Kind) float64 { return k.Share })
	epoch := uint64(at / s.ShiftEvery.Seconds())
	rulebook := g.random.Uint64N(uint64(s.Rulebooks))
	place := g.drawPlace(epoch, rulebook)
	caseIndex := g.random.Uint64N(uint64(s.Cases))
	r := Record{
		Timestamp:    int64(at * 1000),
		OutputLength: kind.OutputTokens,
		BlockTokens:  s.BlockTokens,
		Service:      s.Service,
		Workspace:    workspace.Name,
		Class:        kind.Class,
		Idempotent:   true,
		DeadlineMs:   kind.Deadline.Milliseconds(),
	}
	id := xxhash.Sum64String(workspace.Name)
	// Kinds with different lengths of the innermost level don't share its text.
	innermost := caseIndex ^ uint64(kind.LevelTokens[2])<<32
	for level, name := range []uint64{rulebook, place, innermost} {
		id = chainHash(id, name+1)
		id = r.appendBlocks(id, kind.LevelTokens[level])
		r.PrefixLevels = append(r.PrefixLevels, len(r.HashIDs))
	}
	r.appendBlocks(chainHash(id, n^0xABCDEF), kind.SuffixTokens)
	r.InputLength = len(r.HashIDs) * s.BlockTokens
	return r
}

// appendBlocks appends the blocks of one part and returns the ID of the last one.
func (r *Record) appendBlocks(id uint64, tokens int) uint64 {
	for range tokens / r.BlockTokens {
		id = chainHash(id, 1)
		r.HashIDs = append(r.HashIDs, id)
	}
	return id
}

// drawPlace draws a place from a Zipf distribution. The popularity ranking of places changes
// with the epoch.
func (g *generator) drawPlace(epoch, rulebook uint64) uint64 {
	rank := g.places.Uint64()
	offset := chainHash(epoch, rulebook) % uint64(g.shape.Places)
	return (rank + offset) % uint64(g.shape.Places)
}

// pickByShare draws an item with the probability of its share. The shares sum to 1.
func pickByShare[T any](random *rand.Rand, items []T, share func(T) float64) T {
	x := random.Float64()
	for _, item := range items {
		if x -= share(item); x < 0 {
			return item
		}
	}
	return items[0]
}

// chainHash combines a block's hash with that of its predecessor.
func chainHash(prev, next uint64) uint64 {
	x := prev ^ next*0x9E3779B97F4A7C15
	x ^= x >> 30
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 27
	x *= 0x94D049BB133111EB
	return x ^ x>>31
}
