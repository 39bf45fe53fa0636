package trace

import (
	"iter"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanwell/toucanwell/internal/config"
)

// Kind of request that a shape mixes in.
type Kind struct {
	Class string
	// Share of the requests.
	Share float64
	// LevelTokens are the lengths of the nested levels, outermost first.
	LevelTokens [3]int
	// QuestionTokens is the length of the caller's own part.
	SuffixTokens int
	OutputTokens int
	Deadline     time.Duration
}

// Shape describes a deployment's traffic.
type Shape struct {
	Name    string
	Service string
	// Workspaces with their share of the traffic.
	Workspaces []WorkspaceShare
	// Rulebooks, Places and Cases are how many names each level has: rulebooks
	// in a workspace, places under a rulebook, cases under a place.
	Rulebooks, Places, Cases int
	// Skew is the exponent of the Zipf law by which places are chosen.
	Skew  float64
	Kinds []Kind
	// ShiftEvery is the time after which other places are hot.
	ShiftEvery time.Duration
	// BurstEvery and BurstFactor shape the rate: for a fifth of each period it
	// is so much higher.
	BurstEvery  time.Duration
	BurstFactor float64
	BlockTokens int
}

// WorkspaceShare is a workspace's part of the traffic, and its weight.
type WorkspaceShare struct {
	Name   string
	Share  float64
	Weight float64
}

var eightWorkspaces = []WorkspaceShare{
	{"w1", 0.30, 4}, {"w2", 0.22, 3}, {"w3", 0.14, 2}, {"w4", 0.10, 1},
	{"w5", 0.08, 1}, {"w6", 0.06, 1}, {"w7", 0.06, 0.5}, {"w8", 0.04, 0.5},
}

// Marktlizenz is a licence office on market day: long reviews under shared
// rulebooks, and short checks.
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

// Olaje is a surf forecaster at dawn: alerts and lookups that must be fast,
// questions all day, long briefings that can wait.
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

// Contended is a shape in which every workspace sends as much as the others, so
// that under overload each wants more than its weight gives it.
func Contended(s Shape) Shape {
	workspaces := append([]WorkspaceShare(nil), s.Workspaces...)
	for i := range workspaces {
		workspaces[i].Share = 1 / float64(len(workspaces))
	}
	s.Workspaces = workspaces
	return s
}

// Generate yields the requests of a shape at a mean rate, from a seed.
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

const burstPart = 0.2

// factor is the rate at a time against the mean rate.
func (g *generator) factor(at float64) float64 {
	period := g.shape.BurstEvery.Seconds()
	quiet := (1 - burstPart*g.shape.BurstFactor) / (1 - burstPart)
	if math.Mod(at, period) < burstPart*period {
		return g.shape.BurstFactor
	}
	return quiet
}

func (g *generator) record(at float64, n uint64) Record {
	s := &g.shape
	workspace := pick(g.random, s.Workspaces, func(w WorkspaceShare) float64 { return w.Share })
	kind := pick(g.random, s.Kinds, func(k Kind) float64 { return k.Share })
	epoch := uint64(at / s.ShiftEvery.Seconds())
	rulebook := g.random.Uint64N(uint64(s.Rulebooks))
	place := g.hotPlace(epoch, rulebook)
	cse := g.random.Uint64N(uint64(s.Cases))
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
	// Kinds whose innermost level differs in length have texts of their own.
	own := cse ^ uint64(kind.LevelTokens[2])<<32
	for level, name := range []uint64{rulebook, place, own} {
		id = chain(id, name+1)
		id = r.appendBlocks(id, kind.LevelTokens[level])
		r.PrefixLevels = append(r.PrefixLevels, len(r.HashIDs))
	}
	r.appendBlocks(chain(id, n^0xABCDEF), kind.SuffixTokens)
	r.InputLength = len(r.HashIDs) * s.BlockTokens
	return r
}

// appendBlocks adds the blocks of one part and returns the last one's id.
func (r *Record) appendBlocks(id uint64, tokens int) uint64 {
	for range tokens / r.BlockTokens {
		id = chain(id, 1)
		r.HashIDs = append(r.HashIDs, id)
	}
	return id
}

// hotPlace draws a place by Zipf's law; which places are hot changes with the
// epoch, without warning.
func (g *generator) hotPlace(epoch, rulebook uint64) uint64 {
	rank := g.places.Uint64()
	offset := chain(epoch, rulebook) % uint64(g.shape.Places)
	return (rank + offset) % uint64(g.shape.Places)
}

// pick draws an item by its share; the shares add up to 1.
func pick[T any](random *rand.Rand, items []T, share func(T) float64) T {
	x := random.Float64()
	for _, item := range items {
		if x -= share(item); x < 0 {
			return item
		}
	}
	return items[0]
}

func chain(prev, next uint64) uint64 {
	x := prev ^ next*0x9E3779B97F4A7C15
	x ^= x >> 30
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 27
	x *= 0x94D049BB133111EB
	return x ^ x>>31
}
