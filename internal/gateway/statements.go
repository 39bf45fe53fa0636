package gateway

import (
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/feed"
)

const (
	// relistTime is how long after a restore of the store live targets may be missing from it. It exceeds
	// the two seconds within which the platform lists them again.
	relistTime = 2200 * time.Millisecond
	// hiddenTime is how long after a restore a target that had left and is listed again stays gone. An
	// entry that is not renewed expires within that time.
	hiddenTime = 5 * time.Second
)

// newDeclarationsReplica returns a replica of what operators declare. What is in force stays in force until
// a later version is declared.
func (c *clusterState) newDeclarationsReplica() *feed.Replica {
	return feed.NewReplica(feed.ReplicaOptions{OutageGap: outageGap, Later: c.isLaterDeclaration})
}

// newTargetsReplica returns a replica of the target list.
func (c *clusterState) newTargetsReplica() *feed.Replica {
	return feed.NewReplica(feed.ReplicaOptions{OutageGap: outageGap, Later: c.isLaterListing, AbsentFor: relistTime, HiddenFor: hiddenTime})
}

// isLaterDeclaration reports whether a declares a later version than b. A record that is invalid declares
// none.
func (c *clusterState) isLaterDeclaration(a, b *feed.Record) bool {
	return c.declaredVersion(a) > c.declaredVersion(b)
}

func (c *clusterState) declaredVersion(r *feed.Record) int64 {
	d, err := c.platform.DecodeDeclaration(*r)
	switch {
	case err != nil:
		return -1
	case d.Estate != nil:
		return d.Estate.Version
	default:
		return d.Version
	}
}

// isLaterListing reports whether a target wrote a after b. A target that leaves does not come back, and one
// that has started again has nothing in common with its predecessor.
func (c *clusterState) isLaterListing(a, b *feed.Record) bool {
	la, errA := c.platform.DecodeTarget(*a)
	lb, errB := c.platform.DecodeTarget(*b)
	switch {
	case errA != nil || errB != nil:
		return errA == nil
	case la.Incarnation.Before(lb.Incarnation) || lb.Incarnation.Before(la.Incarnation):
		return lb.Incarnation.Before(la.Incarnation)
	case la.Leaving != lb.Leaving:
		return la.Leaving
	default:
		return la.Heartbeats > lb.Heartbeats
	}
}

// awaitsRestoredPeers reports whether this process should get the records of a new era of the store from
// a peer, since it learned of the era that long ago. Otherwise all processes would read all of them from the
// store that has just come back.
func (c *clusterState) awaitsRestoredPeers(learned time.Duration) bool {
	return learned < c.restoreWait()
}

const (
	// restoredEntryWait and restoredSidecarWait are how long processes other than the first entry wait
	// for a peer that has the records of a new era.
	restoredEntryWait   = 400 * time.Millisecond
	restoredSidecarWait = time.Second
	// The same in large fleets, where news takes two or three heartbeats to reach all processes.
	largeRestoredEntryWait   = 1200 * time.Millisecond
	largeRestoredSidecarWait = 4 * time.Second
)

func (c *clusterState) restoreWait() time.Duration {
	switch {
	case c.isEntry() && c.entryRank() == 0:
		return 0
	case c.isEntry() && c.large.Load():
		return largeRestoredEntryWait
	case c.isEntry():
		return restoredEntryWait
	case c.large.Load():
		return largeRestoredSidecarWait
	default:
		return restoredSidecarWait
	}
}
