package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/feed"
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
	// sidecarDeclarationsReadAge is the same for sidecars and the declarations, and the most for entries.
	sidecarDeclarationsReadAge = 3 * time.Second
)

const (
	// maxPeerWait is how long a new process waits for its peers' replicas before it reads the store
	// itself. This limits the load on the store when the whole fleet starts.
	maxPeerWait = 3 * time.Second
	// replicaSeenTTL is how long a peer's announcement of a replica counts.
	replicaSeenTTL = 1500 * time.Millisecond
	// restartPeerWait is how long an entry that may already have callers waits for a replica. A
	// live seed answers within milliseconds.
	restartPeerWait = 300 * time.Millisecond
)

// peerWait is what a new process knows of its peers' replicas of a topic.
type peerWait struct {
	// sinceStart is the time since the process started.
	sinceStart time.Duration
	// mayHaveCallers is set for an entry that starts while others serve.
	mayHaveCallers bool
	// replicaSeen is set if a peer with a replica was heard lately, emptySeen if one without.
	replicaSeen, emptySeen bool
}

// shouldWait reports whether the process should get its first replica from a peer. An entry that may
// have callers does not wait for peers that have just started, too.
func (w peerWait) shouldWait() bool {
	switch {
	case w.mayHaveCallers && w.emptySeen && !w.replicaSeen:
		return false
	case w.mayHaveCallers:
		return w.sinceStart <= restartPeerWait
	default:
		return w.sinceStart <= maxPeerWait
	}
}

// shouldAwaitPeers reports whether this process should get its first replica of a topic from a peer.
// Seeds should not when the whole fleet starts. Later, peers may know what a restored store has lost.
func (c *clusterState) shouldAwaitPeers(topic string, confirmedAt time.Time) bool {
	if !confirmedAt.IsZero() || c.isSeed() && !c.isRestartedSeedEntry() {
		return false
	}
	now := c.clock.Now()
	w := peerWait{
		sinceStart: now.Sub(c.startedAt), mayHaveCallers: c.isEntry() && !c.settings.FirstStart,
		replicaSeen: now.Sub(c.replicaSeenAt[topic]) < replicaSeenTTL, emptySeen: c.emptyPeerSeen,
	}
	return w.shouldWait()
}

// isRestartedSeedEntry reports whether this process is an entry on a seed host that starts while the others
// may be running.
func (c *clusterState) isRestartedSeedEntry() bool {
	return c.isEntry() && !c.settings.FirstStart && len(c.settings.seedHosts()) > 0
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
	return c.isEntry() && !c.isSettling() && (!c.large.Load() || c.mesh.ReaderRank() < declarationReaders)
}

// placeAmongReaders returns which of the processes that long-poll the declarations this one is, and their
// number; zero if it steps in for them.
func (c *clusterState) placeAmongReaders() (rank, readers int) {
	if !c.longPollsDeclarations() {
		return 0, 0
	}
	readers = 1 + c.mesh.LiveCount(true)
	if c.large.Load() {
		readers = min(readers, declarationReaders)
	}
	return min(c.mesh.ReaderRank(), readers-1), readers
}

// declarationsRenewPeriod returns the time in which one of the processes that long-poll the declarations renews
// its read. In a small fleet all entries do, and none depends on the others.
func (c *clusterState) declarationsRenewPeriod() time.Duration {
	if !c.large.Load() {
		return feed.DefaultRenewPeriod
	}
	return c.declarationsSchedule().RenewPeriod()
}

func (c *clusterState) declarationsSchedule() feed.Schedule {
	return feed.Schedule{Bound: c.settings.Bounds.Configuration.Duration}
}

// settleTime is how long after its start an entry may not know the other entries yet. It is shorter
// than the time after which callers expect a new process to be up to date.
const settleTime = 2500 * time.Millisecond

// isSettling reports whether this process may not know the other entries yet and must not conclude
// that it is the first of them. If all entries of a fleet that starts did, all would read the
// store. Seeds, which are known to all, read it meanwhile.
func (c *clusterState) isSettling() bool {
	return !c.isSeed() && c.clock.Now().Sub(c.startedAt) < settleTime
}

const (
	// defaultReadCheckPeriod is how often a process that does not read the store checks whether it
	// should. In large fleets most processes step in after seconds only and check less often.
	defaultReadCheckPeriod = 100 * time.Millisecond
	largeReadCheckPeriod   = 300 * time.Millisecond
	// frequentCheckers is how many entries, in the order of their addresses, check often also in large fleets.
	frequentCheckers = 6
)

// readCheckPeriod returns how often this process checks whether it should read the store. It may be
// called on any goroutine.
func (c *clusterState) readCheckPeriod() time.Duration {
	if v, ok := c.view.Get(); ok && v.LargeFleet && (!c.isEntry() || v.EntryRank >= frequentCheckers) {
		return largeReadCheckPeriod
	}
	return defaultReadCheckPeriod
}

// shouldReadDeclarations reports whether this process should read the declarations now.
func (c *clusterState) shouldReadDeclarations(confirmedAt time.Time) bool {
	if c.shouldAwaitPeers(topicOperators, confirmedAt) {
		return false
	}
	return c.longPollsDeclarations() || c.clock.Now().Sub(confirmedAt) > c.declarationsReadAge()
}

// declarationsReadAge returns the age of the replica of the declarations at which this process reads them, if it
// does not long-poll them.
func (c *clusterState) declarationsReadAge() time.Duration {
	if !c.isEntry() {
		return sidecarDeclarationsReadAge
	}
	rank, others := c.mesh.ReaderRank()-declarationReaders, 1+c.mesh.LiveCount(true)-declarationReaders
	return min(c.declarationsSchedule().StepInAge(max(rank, 0), others), sidecarDeclarationsReadAge)
}

// shouldReadTargets reports whether this process should read the target list now.
func (c *clusterState) shouldReadTargets(confirmedAt time.Time) bool {
	age := c.clock.Now().Sub(confirmedAt)
	return age > firstEntryReadAge && !c.shouldAwaitPeers(topicTargets, confirmedAt) && age > c.targetsReadAge()
}

// refreshTargets reads the target list from the store, and reports whether the view is then current as of a time
// after the call. It may be called on any goroutine.
func (c *clusterState) refreshTargets(ctx context.Context) bool {
	done := make(chan bool, 1)
	c.loop.Post(func() { c.targets.Refresh(func(ok bool) { done <- ok }) })
	select {
	case ok := <-done:
		return ok
	case <-ctx.Done():
		return false
	}
}

// targetsReadAge returns the age of the replica of the target list at which this process
// reads the store.
func (c *clusterState) targetsReadAge() time.Duration {
	if c.large.Load() {
		return c.largeTargetsReadAge()
	}
	switch {
	case !c.isEntry():
		return sidecarReadAge
	case c.isSettling():
		return otherEntriesReadAge
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
	switch {
	case !c.isEntry():
		return largeSidecarReadAge
	case c.isSettling():
		return largeOtherEntriesReadAge
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
