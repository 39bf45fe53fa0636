package upstream

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxAttempts is the number of attempts that a connection remembers. It is closed after the last one.
const maxAttempts = 256

// attemptSet holds the attempts that a connection has carried, as hashes of their IDs.
type attemptSet []uint64

func (s *attemptSet) add(id string) { *s = append(*s, xxhash.Sum64String(id)) }

// contains reports whether the set contains an attempt, or one whose ID has the same hash.
func (s attemptSet) contains(id string) bool { return slices.Contains(s, xxhash.Sum64String(id)) }

func (s attemptSet) isFull() bool { return len(s) >= maxAttempts }
