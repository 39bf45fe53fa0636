package gateway

import (
	"slices"
	"time"
)

const (
	// Ages of the copy of the targets from which a process reads the store. The
	// first entry reads, the second when the first is late, and so on: one of them
	// keeps all others up to date through their heartbeats.
	firstEntryReadAge   = 450 * time.Millisecond
	secondEntryReadAge  = 800 * time.Millisecond
	otherEntriesReadAge = 1100 * time.Millisecond
	sidecarReadAge      = 2500 * time.Millisecond
	// The same in large fleets, in which it takes two or three heartbeats until word that
	// the list was read has reached all.
	largeSecondEntryReadAge  = 1300 * time.Millisecond
	largeOtherEntriesReadAge = 2500 * time.Millisecond
	largeSidecarReadAge      = 5 * time.Second
	// sidecarDeclarationsReadAge is the same for what operators declare.
	sidecarDeclarationsReadAge = 3 * time.Second
)

// maxPeerWait is how long a process that has just started waits for the copies of
// others before it reads the store itself. Were all to read, a start of the fleet would
// take four calls of each process at once.
const maxPeerWait = 3 * time.Second

// shouldAwaitPeers reports whether this process leaves its first read to others. Entries do
// not while callers wait for them, nor do those that the others turn to first.
func (b *clusterState) shouldAwaitPeers(currentAt time.Time) bool {
	if !currentAt.IsZero() || b.clock.Now().Sub(b.startedAt) > maxPeerWait || b.isSeed() {
		return false
	}
	return !b.isEntry() || b.settings.FirstStart
}

// isSeed reports whether this process's host is one of those that others turn to first;
// all are when none is named.
func (b *clusterState) isSeed() bool {
	seeds := b.settings.seedHosts()
	return len(seeds) == 0 || slices.Contains(seeds, b.settings.meshAddress().Addr())
}

// declarationReaders is how many entries of a large fleet wait at the store for what
// operators declare. All others hear of it from them, within some 100 ms. Were all to
// wait, each change would bring as many calls to the store as there are entries.
const declarationReaders = 6

// longPollsDeclarations reports whether this process waits at the store for what operators
// declare.
func (b *clusterState) longPollsDeclarations() bool {
	return b.isEntry() && (!b.large.Load() || b.entryRank() < declarationReaders)
}

// shouldReadDeclarations reports whether this process reads what operators declare.
func (b *clusterState) shouldReadDeclarations(currentAt time.Time) bool {
	if b.shouldAwaitPeers(currentAt) {
		return false
	}
	return b.longPollsDeclarations() || b.clock.Now().Sub(currentAt) > sidecarDeclarationsReadAge
}

// shouldReadTargets reports whether this process reads the list of targets now.
func (b *clusterState) shouldReadTargets(currentAt time.Time) bool {
	return !b.shouldAwaitPeers(currentAt) && b.clock.Now().Sub(currentAt) > b.targetsReadAge()
}

// targetsReadAge is the age of the copy of the targets at which this process reads.
func (b *clusterState) targetsReadAge() time.Duration {
	if b.large.Load() {
		return b.largeTargetsReadAge()
	}
	if !b.isEntry() {
		return sidecarReadAge
	}
	switch b.entryRank() {
	case 0:
		return firstEntryReadAge
	case 1:
		return secondEntryReadAge
	default:
		return otherEntriesReadAge
	}
}

func (b *clusterState) largeTargetsReadAge() time.Duration {
	if !b.isEntry() {
		return largeSidecarReadAge
	}
	switch b.entryRank() {
	case 0:
		return firstEntryReadAge
	case 1:
		return largeSecondEntryReadAge
	default:
		return largeOtherEntriesReadAge
	}
}

// entryRank is how many living entries come before this one in the order of names.
func (b *clusterState) entryRank() int {
	before := 0
	for _, m := range b.mesh.Live(true) {
		if m.Name < b.settings.Name && !m.Leaving {
			before++
		}
	}
	return before
}
