// Package prefix names prompt prefixes and keeps an index of those that an
// engine holds.
//
// A block's name is a hash chained from everything that its cached content
// depends on: workspace, model, adapter, weights version and all text before
// it. Two prompts share a name only when an engine may reuse the one's cache
// for the other, so that a name of another workspace or of older weights can
// never match.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the estimate by which the router counts tokens.
const BytesPerToken = 4

// Scope is what a cached block belongs to besides its text.
type Scope struct {
	Workspace string
	Model     string
	Adapter   string
	Weights   string
}

// Root returns the hash that the chain of a scope starts with. Each field goes
// in with its length, so that no two scopes run together.
func (s Scope) Root() uint64 {
	d := xxhash.New()
	var size [8]byte
	for _, field := range []string{s.Workspace, s.Model, s.Adapter, s.Weights} {
		binary.LittleEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = d.Write(size[:])
		_, _ = d.WriteString(field)
	}
	return d.Sum64()
}

// Chain returns the hash of a piece of text that follows prev.
func Chain(prev uint64, text string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(prev)
	_, _ = d.WriteString(text)
	return d.Sum64()
}

// Prompt is a prompt as the router sees it.
type Prompt struct {
	// Blocks are the names of its whole blocks, first block first.
	Blocks []uint64
	// Levels are the names of its nested prefixes, outermost first: the
	// rulebook, the town within it, the case within that.
	Levels []uint64
	// Points are the last whole blocks within the levels.
	Points []Point
	// Tokens is the estimated length.
	Tokens int
}

// Point is a block, by its short name, that stands for the prefix up to it.
type Point struct {
	Block  uint32
	Tokens int
}

// Short is the name of a block in probes and in the index. Two of an engine's
// 57,000 blocks share one once in many thousand lookups; what is believed
// wrongly then costs time only.
func ShortHash(block uint64) uint32 { return uint32(block) }

// PointsAt returns the points at numbers of blocks, leaving out those that
// fall together.
func PointsAt(blocks []uint64, ends []int, blockTokens int) []Point {
	points := make([]Point, 0, len(ends))
	last := 0
	for _, end := range ends {
		if end = min(end, len(blocks)); end > last {
			points = append(points, Point{ShortHash(blocks[end-1]), end * blockTokens})
			last = end
		}
	}
	return points
}

// Parse names the blocks and levels of a prompt made of parts. Each part but
// the last closes a level; the last part is the caller's own question, unless
// it is the only one.
func Parse(scope Scope, parts []string, blockTokens int) Prompt {
	root := scope.Root()
	var text []byte
	var ends []int
	size := blockTokens * BytesPerToken
	p := Prompt{Levels: make([]uint64, 0, len(parts))}
	level := root
	for i, part := range parts {
		text = append(text, part...)
		level = Chain(level, part)
		if i < len(parts)-1 || len(parts) == 1 {
			p.Levels = append(p.Levels, level)
			ends = append(ends, len(text)/size)
		}
	}
	p.Blocks = blocks(root, text, size)
	p.Points = PointsAt(p.Blocks, ends, blockTokens)
	p.Tokens = (len(text) + BytesPerToken - 1) / BytesPerToken
	return p
}

func blocks(root uint64, text []byte, size int) []uint64 {
	names := make([]uint64, 0, len(text)/size)
	prev := root
	for len(text) >= size {
		var d xxhash.Digest
		d.ResetWithSeed(prev)
		_, _ = d.Write(text[:size])
		prev = d.Sum64()
		names = append(names, prev)
		text = text[size:]
	}
	return names
}
