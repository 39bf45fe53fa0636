// Package prefix computes hashes of prompt prefixes and indexes those that an engine has
// cached.
//
// A block's hash is chained over everything that its KV cache depends on: workspace, model,
// adapter, weights version and all preceding text. Blocks of different workspaces or weights
// therefore never match.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the estimated number of bytes per token.
const BytesPerToken = 4

// Scope is what a cached block depends on besides its text.
type Scope struct {
	Workspace string
	Model     string
	Adapter   string
	Weights   string
}

// Root returns the initial hash of the scope's chains. Fields are hashed with their lengths, so
// that different scopes do not collide by concatenation.
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

// Chain returns the hash of text that follows a prefix with hash prev.
func Chain(prev uint64, text string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(prev)
	_, _ = d.WriteString(text)
	return d.Sum64()
}

// Prompt holds the hashes of a prompt.
type Prompt struct {
	// Blocks are the hashes of the complete blocks, in order.
	Blocks []uint64
	// Levels are the hashes of the nested prefixes, outermost first.
	Levels []uint64
	// Points are the last complete blocks of the levels.
	Points []Point
	// Tokens is the estimated length in tokens.
	Tokens int
}

// Point is a block that stands for the prefix up to and including it.
type Point struct {
	Block  uint32
	Tokens int
}

// ShortHash returns the truncated block hash that probes and the index use. Collisions are rare
// and only cost time.
func ShortHash(block uint64) uint32 { return uint32(block) }

// PointsAt returns the points after the given numbers of blocks, without duplicates.
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

// Parse computes the hashes of a prompt. Each part but the last closes a level; the last part,
// which is specific to the request, does so only if it is the only one.
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
	p.Blocks = blockHashes(root, text, size)
	p.Points = PointsAt(p.Blocks, ends, blockTokens)
	p.Tokens = (len(text) + BytesPerToken - 1) / BytesPerToken
	return p
}

func blockHashes(root uint64, text []byte, size int) []uint64 {
	hashes := make([]uint64, 0, len(text)/size)
	prev := root
	for len(text) >= size {
		var d xxhash.Digest
		d.ResetWithSeed(prev)
		_, _ = d.Write(text[:size])
		prev = d.Sum64()
		hashes = append(hashes, prev)
		text = text[size:]
	}
	return hashes
}
