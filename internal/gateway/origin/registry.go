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
	// maxGenerationSize bounds the records of a generation, at about 60 bytes each.
	maxGenerationSize = 50_000
)

// registry holds the records of recently begun streams. It is safe for concurrent use.
type registry struct {
	mu sync.Mutex
	// current receives new records, previous is the generation before it.
	current, previous map[Key]Record
	rotatedAt         time.Time
}

func newRegistry() *registry {
	return &registry{current: map[Key]Record{}, previous: map[Key]Record{}}
}

// add records a stream. Two different versions make the record ambiguous, in whichever order they arrive;
// of two runs it keeps the later one.
func (r *registry) add(key Key, record Record, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	if known, ok := r.get(key); ok {
		if known.Version != record.Version {
			record.Version = Ambiguous
		}
		record.Run = known.latest(record.Run)
	}
	r.current[key] = record
}

func (r *registry) find(key Key, now time.Time) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	return r.get(key)
}

func (r *registry) get(key Key) (Record, bool) {
	if known, ok := r.current[key]; ok {
		return known, true
	}
	known, ok := r.previous[key]
	return known, ok
}

// rotate drops the previous generation if the current one is complete. A current one that has
// ended long ago is dropped, too.
func (r *registry) rotate(now time.Time) {
	age := now.Sub(r.rotatedAt)
	if age < generationLength && len(r.current) < maxGenerationSize {
		return
	}
	r.previous, r.current, r.rotatedAt = r.current, map[Key]Record{}, now
	if age >= 2*generationLength {
		r.previous = map[Key]Record{}
	}
}

// all returns a copy of all records.
func (r *registry) all(now time.Time) map[Key]Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	records := make(map[Key]Record, len(r.current)+len(r.previous))
	for _, generation := range []map[Key]Record{r.previous, r.current} {
		for key, record := range generation {
			records[key] = record
		}
	}
	return records
}

func (r *registry) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.current) + len(r.previous)
}
