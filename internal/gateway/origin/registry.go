package origin

import (
	"sync"
	"time"
)

const (
	// generationLength is how long records are added to one generation. A record is kept for one to
	// two generations after it was last added, which exceeds the time that callers wait for a stream
	// over all their tries.
	generationLength = time.Minute
	// maxGenerationSize bounds the records of a generation, at about 40 bytes each.
	maxGenerationSize = 50_000
)

// registry holds the versions of recently begun streams. It is safe for concurrent use.
type registry struct {
	mu sync.Mutex
	// current receives new records, previous is the generation before it.
	current, previous map[Key]Version
	rotatedAt         time.Time
}

func newRegistry() *registry {
	return &registry{current: map[Key]Version{}, previous: map[Key]Version{}}
}

// add records the version that began a stream. Two different versions make the record ambiguous,
// in whichever order they arrive.
func (r *registry) add(key Key, version Version, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	if known, ok := r.get(key); ok && known != version {
		version = Ambiguous
	}
	r.current[key] = version
}

func (r *registry) find(key Key, now time.Time) (Version, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	return r.get(key)
}

func (r *registry) get(key Key) (Version, bool) {
	if v, ok := r.current[key]; ok {
		return v, true
	}
	v, ok := r.previous[key]
	return v, ok
}

// rotate drops the previous generation if the current one is complete. A current one that has
// ended long ago is dropped, too.
func (r *registry) rotate(now time.Time) {
	age := now.Sub(r.rotatedAt)
	if age < generationLength && len(r.current) < maxGenerationSize {
		return
	}
	r.previous, r.current, r.rotatedAt = r.current, map[Key]Version{}, now
	if age >= 2*generationLength {
		r.previous = map[Key]Version{}
	}
}

// all returns a copy of all records.
func (r *registry) all(now time.Time) map[Key]Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	records := make(map[Key]Version, len(r.current)+len(r.previous))
	for _, generation := range []map[Key]Version{r.previous, r.current} {
		for key, version := range generation {
			records[key] = version
		}
	}
	return records
}

func (r *registry) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.current) + len(r.previous)
}
