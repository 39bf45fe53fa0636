package parts

import (
	"slices"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// blockTokens is the block size of caches in tokens. A cache reports up to one block less
// than the length of a part that it has completely.
const blockTokens = 16

// Prefix is the prefix of a prompt that one target has cached.
type Prefix struct {
	Target fleet.ID
	Tokens int
	// fullParts is the number of parts that are cached completely.
	fullParts int
}

// Prefixes returns the cached prefix of a prompt's shared parts for each target that has
// one. keys are the keys of the parts. What was recorded from sends is valid for the given
// retention.
func (x *Index) Prefixes(keys []Key, shared []wire.Part, retention time.Duration, now time.Time) []Prefix {
	x.mu.Lock()
	defer x.mu.Unlock()
	var all []Prefix
	for i, k := range keys {
		list := x.get(k)
		for j := range list {
			cached := min(list[j].cachedTokens(retention, now), shared[i].Tokens)
			if cached <= 0 {
				continue
			}
			all = extend(all, i, list[j].target, cached, cached > shared[i].Tokens-blockTokens)
		}
	}
	return all
}

// extend adds the cached tokens of part i to the target's prefix. It ignores them if an
// earlier part is not cached completely. full is set if part i is.
func extend(all []Prefix, i int, target fleet.ID, cached int, full bool) []Prefix {
	index := slices.IndexFunc(all, func(p Prefix) bool { return p.Target == target })
	if index < 0 && i > 0 || index >= 0 && all[index].fullParts < i {
		return all
	}
	if index < 0 {
		all = append(all, Prefix{Target: target})
		index = len(all) - 1
	}
	all[index].Tokens += cached
	if full {
		all[index].fullParts = i + 1
	}
	return all
}
