package upstream

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxAttempts is the number of attempts that a connection remembers.
const maxAttempts = 256

// attemptSet holds the attempts that a connection has carried, as hashes of their IDs.
type attemptSet []uint64

// add adds an attempt. An empty ID names none.
func (s *attemptSet) add(id string) {
	if id != "" && len(*s) < maxAttempts {
		*s = append(*s, xxhash.Sum64String(id))
	}
}

// contains reports whether the set contains an attempt, or one whose ID has the same hash.
func (s attemptSet) contains(id string) bool {
	return id != "" && slices.Contains(s, xxhash.Sum64String(id))
}
