package quarantine

import "time"

const (
	// soundFor is how long a part that was served counts as sound at the crash of a target.
	soundFor = 10 * time.Second
	// maxSoundParts bounds the parts that are remembered in each of two generations, maxPendingParts
	// those with a crash that is not attributed.
	maxSoundParts   = 4096
	maxPendingParts = 1024
)

// soundParts remembers which parts were served lately. Most requests that a target runs when it
// crashes have nothing to do with that, and their parts are in use all the time. Without it, each crash
// would make suspects of all these.
type soundParts struct {
	// current and previous hold when the last run that went well had started.
	current, previous map[Fingerprint]time.Time
	rotatedAt         time.Time
	// pending are crashes of sound parts that no run which began later has followed yet.
	pending map[Fingerprint]Crash
}

func newSoundParts() *soundParts {
	return &soundParts{current: map[Fingerprint]time.Time{}, previous: map[Fingerprint]time.Time{}, pending: map[Fingerprint]Crash{}}
}

// add records that a run of a part that had started then went well.
func (s *soundParts) add(fp Fingerprint, startedAt, now time.Time) {
	if now.Sub(s.rotatedAt) > soundFor || len(s.current) >= maxSoundParts {
		s.previous, s.current, s.rotatedAt = s.current, make(map[Fingerprint]time.Time, len(s.current)), now
	}
	if at, ok := s.current[fp]; !ok || startedAt.After(at) {
		s.current[fp] = startedAt
	}
	if c, ok := s.pending[fp]; ok && c.At.Before(startedAt) {
		delete(s.pending, fp)
	}
}

func (s *soundParts) isSound(fp Fingerprint, now time.Time) bool {
	at, ok := s.current[fp]
	if !ok {
		at, ok = s.previous[fp]
	}
	return ok && now.Sub(at) < soundFor
}

// admit returns the crashes to attribute to a part after the crash of a target that ran it since
// startedAt: that one; none, if the part was sound and may only have been in use; or that one and an
// earlier one, if the run began after it. wasSound is set in that case.
func (s *soundParts) admit(fp Fingerprint, c Crash, startedAt time.Time) (crashes []Crash, wasSound bool) {
	first, pending := s.pending[fp]
	switch {
	case pending && startedAt.After(first.At) && c.Target != first.Target:
		delete(s.pending, fp)
		delete(s.current, fp)
		delete(s.previous, fp)
		c.Step = max(c.Step, first.Step+1)
		return []Crash{first, c}, true
	case pending:
		return nil, false
	case s.isSound(fp, c.At) && len(s.pending) < maxPendingParts:
		s.pending[fp] = c
		return nil, false
	default:
		return []Crash{c}, false
	}
}
