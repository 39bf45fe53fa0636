package gateway

import (
	"slices"
	"time"
)

const (
	// A process reads the target list from the store when its replica is older than this. The
	// first entry in address order reads regularly; the others only step in if it fails, and
	// otherwise learn of changes through heartbeats.
	firstEntryReadAge   = 450 * time.Millisecond
	secondEntryReadAge  = 800 * time.Millisecond
	otherEntriesReadAge = 1100 * time.Millisecond
	sidecarReadAge      = 2500 * time.Millisecond
	// The same in large fleets, where a change takes two or three heartbeats to reach all
	// processes.
	largeSecondEntryReadAge  = 1300 * time.Millisecond
	largeOtherEntriesReadAge = 2500 * time.Millisecond
	largeSidecarReadAge      = 5 * time.Second
	// sidecarDeclarationsReadAge is the same for sidecars and the declarations.
	sidecarDeclarationsReadAge = 3 * time.Second
)

// maxPeerWait is how long a new process waits for its peers' replicas before it reads the
// store itself. This limits the load on the store when the whole fleet starts.
const maxPeerWait = 3 * time.Second

// shouldAwaitPeers reports whether this process should get its first replica from a peer.
// Seeds should not, nor should entries that may already have callers.
func (c *clusterState) shouldAwaitPeers(currentAt time.Time) bool {
	if !currentAt.IsZero() || c.clock.Now().Sub(c.startedAt) > maxPeerWait || c.isSeed() {
		return false
	}
	return !c.isEntry() || c.settings.FirstStart
}

// isSeed reports whether this process runs on a seed host. Without configured seeds all
// processes count as seeds.
func (c *clusterState) isSeed() bool {
	seeds := c.settings.seedHosts()
	return len(seeds) == 0 || slices.Contains(seeds, c.settings.meshAddress().Addr())
}

// declarationReaders is how many entries of a large fleet long-poll the store for
// declarations. The other processes learn of changes from them. This limits the number of
// store calls for each change.
const declarationReaders = 6

// longPollsDeclarations reports whether this process long-polls the store for declarations.
func (c *clusterState) longPollsDeclarations() bool {
	return c.isEntry() && (!c.large.Load() || c.entryRank() < declarationReaders)
}

// shouldReadDeclarations reports whether this process should read the declarations now.
func (c *clusterState) shouldReadDeclarations(currentAt time.Time) bool {
	if c.shouldAwaitPeers(currentAt) {
		return false
	}
	return c.longPollsDeclarations() || c.clock.Now().Sub(currentAt) > sidecarDeclarationsReadAge
}

// shouldReadTargets reports whether this process should read the target list now.
func (c *clusterState) shouldReadTargets(currentAt time.Time) bool {
	return !c.shouldAwaitPeers(currentAt) && c.clock.Now().Sub(currentAt) > c.targetsReadAge()
}

// targetsReadAge returns the age of the replica of the target list at which this process
// reads the store.
func (c *clusterState) targetsReadAge() time.Duration {
	if c.large.Load() {
		return c.largeTargetsReadAge()
	}
	if !c.isEntry() {
		return sidecarReadAge
	}
	switch c.entryRank() {
	case 0:
		return firstEntryReadAge
	case 1:
		return secondEntryReadAge
	default:
		return otherEntriesReadAge
	}
}

func (c *clusterState) largeTargetsReadAge() time.Duration {
	if !c.isEntry() {
		return largeSidecarReadAge
	}
	switch c.entryRank() {
	case 0:
		return firstEntryReadAge
	case 1:
		return largeSecondEntryReadAge
	default:
		return largeOtherEntriesReadAge
	}
}

// entryRank returns the number of live entries whose addresses precede this one's.
func (c *clusterState) entryRank() int { return c.mesh.EntryRank() }
