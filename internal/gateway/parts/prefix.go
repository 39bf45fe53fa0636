package parts

import (
	"slices"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// blockTokens is by how much the word of a cache may be short of a part that it holds
// whole: caches are filled by blocks of 16 tokens.
const blockTokens = 16

// Prefix is how much of a prompt's beginning one target holds.
type Prefix struct {
	Target fleet.ID
	Tokens int
	// whole is how many parts it holds to their end.
	whole int
}

// Prefixes returns, for each target that holds the beginning of a prompt's shared
// parts, how many of their tokens it holds. keys are those of the parts. What was noted
// of sends counts for the time kept.
func (b *Index) Prefixes(keys []Key, shared []wire.Part, kept time.Duration, now time.Time) []Prefix {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Prefix
	for i, k := range keys {
		list := b.get(k)
		for j := range list {
			held := min(list[j].held(kept, now), shared[i].Tokens)
			if held <= 0 {
				continue
			}
			all = extend(all, i, list[j].target, held, held > shared[i].Tokens-blockTokens)
		}
	}
	return all
}

// extend adds what a target holds of part i to what it holds of those before.
func extend(all []Prefix, i int, target fleet.ID, held int, whole bool) []Prefix {
	at := slices.IndexFunc(all, func(p Prefix) bool { return p.Target == target })
	if at < 0 && i > 0 || at >= 0 && all[at].whole < i {
		return all // a part before is not there
	}
	if at < 0 {
		all = append(all, Prefix{Target: target})
		at = len(all) - 1
	}
	all[at].Tokens += held
	if whole {
		all[at].whole = i + 1
	}
	return all
}
