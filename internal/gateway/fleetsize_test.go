package gateway

import (
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/feed"
)

// Guards against hundreds of sidecars that follow every store of cached parts while a fleet starts,
// because they do not know its size yet.
func TestNoCacheBroadcastBeforeTheFleetSizeIsKnown(t *testing.T) {
	replica := feed.NewReplica(outageGap)
	c := &clusterState{targets: feed.NewFollower(nil, nil, replica, feed.Options{})}
	if c.broadcastsCaches() {
		t.Error("caches are broadcast before the list of targets is known")
	}
	replica.MarkCurrent(time.Now())
	if !c.broadcastsCaches() {
		t.Error("caches are not broadcast in a small fleet")
	}
	c.large.Store(true)
	if c.broadcastsCaches() {
		t.Error("caches are broadcast in a large fleet")
	}
}
