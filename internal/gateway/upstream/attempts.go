package upstream

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxAttempts is the number of attempts that a connection remembers. It is closed after the last one.
const maxAttempts = 256

// attempt is the hash of an attempt's ID. Two IDs with one hash only cost a connection.
type attempt uint64

func attemptOf(id string) attempt { return attempt(xxhash.Sum64String(id)) }

// attemptSet holds the attempts that a connection has carried.
type attemptSet []attempt

func (s *attemptSet) add(a attempt) { *s = append(*s, a) }

func (s attemptSet) contains(a attempt) bool { return slices.Contains(s, a) }

func (s attemptSet) isFull() bool { return len(s) >= maxAttempts }
