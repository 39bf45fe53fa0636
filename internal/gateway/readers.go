package gateway

import (
	"slices"
	"time"
)

const (
	// Ages of the copy of the targets from which a process reads the store. The
	// first entry reads, the second when the first is late, and so on: one of them
	// keeps all others up to date through their heartbeats.
	firstReads   = 450 * time.Millisecond
	secondReads  = 800 * time.Millisecond
	othersRead   = 1100 * time.Millisecond
	sidecarsRead = 2500 * time.Millisecond
	// The same in large fleets, in which it takes two or three heartbeats until word that
	// the list was read has reached all.
	largeSecondReads  = 1300 * time.Millisecond
	largeOthersRead   = 2500 * time.Millisecond
	largeSidecarsRead = 5 * time.Second
	// sidecarsReadOperators is the same for what operators declare.
	sidecarsReadOperators = 3 * time.Second
)

// peersPatience is how long a process that has just started waits for the copies of
// others before it reads the store itself. Were all to read, a start of the fleet would
// take four calls of each process at once.
const peersPatience = 3 * time.Second

// awaitsPeers reports whether this process leaves its first read to others. Entries do
// not while callers wait for them, nor do those that the others turn to first.
func (b *beliefs) awaitsPeers(currentAt time.Time) bool {
	if !currentAt.IsZero() || b.clock.Now().Sub(b.startedAt) > peersPatience || b.isSeed() {
		return false
	}
	return !b.isEntry() || b.settings.FirstStart
}

// isSeed reports whether this process's host is one of those that others turn to first;
// all are when none is named.
func (b *beliefs) isSeed() bool {
	seeds := b.settings.seedHosts()
	return len(seeds) == 0 || slices.Contains(seeds, b.settings.mesh().Addr())
}

// operatorReaders is how many entries of a large fleet wait at the store for what
// operators declare. All others hear of it from them, within some 100 ms. Were all to
// wait, each change would bring as many calls to the store as there are entries.
const operatorReaders = 6

// waitsForOperators reports whether this process waits at the store for what operators
// declare.
func (b *beliefs) waitsForOperators() bool {
	return b.isEntry() && (!b.large.Load() || b.entriesBefore() < operatorReaders)
}

// readsOperators reports whether this process reads what operators declare.
func (b *beliefs) readsOperators(currentAt time.Time) bool {
	if b.awaitsPeers(currentAt) {
		return false
	}
	return b.waitsForOperators() || b.clock.Now().Sub(currentAt) > sidecarsReadOperators
}

// readsTargets reports whether this process reads the list of targets now.
func (b *beliefs) readsTargets(currentAt time.Time) bool {
	return !b.awaitsPeers(currentAt) && b.clock.Now().Sub(currentAt) > b.patience()
}

// patience is the age of the copy of the targets at which this process reads.
func (b *beliefs) patience() time.Duration {
	if b.large.Load() {
		return b.largePatience()
	}
	if !b.isEntry() {
		return sidecarsRead
	}
	switch b.entriesBefore() {
	case 0:
		return firstReads
	case 1:
		return secondReads
	default:
		return othersRead
	}
}

func (b *beliefs) largePatience() time.Duration {
	if !b.isEntry() {
		return largeSidecarsRead
	}
	switch b.entriesBefore() {
	case 0:
		return firstReads
	case 1:
		return largeSecondReads
	default:
		return largeOthersRead
	}
}

// entriesBefore is how many living entries come before this one in the order of names.
func (b *beliefs) entriesBefore() int {
	before := 0
	for _, m := range b.mesh.Live(true) {
		if m.Name < b.settings.Name && !m.Leaving {
			before++
		}
	}
	return before
}
