package gateway

import (
	"net"
	"net/netip"
	"testing"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/feed"
	"github.com/toucanwell/toucanwell/internal/gateway/hostclock"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/settings"
)

// Guards against a process that waits in vain for a replica: its first fetch may be refused while too
// many others are served, so a replica must be announced to it again, though not for each topic.
func TestReplicaIsAnnouncedAgain(t *testing.T) {
	receiver, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	replica := feed.NewReplica(feed.ReplicaOptions{OutageGap: outageGap})
	replica.MarkCurrent(time.Now())
	follower := feed.NewFollower(nil, nil, replica, feed.Options{})
	c := &clusterState{clock: hostclock.New(), mesh: emptyMesh(t), targets: follower, declarations: follower, replicaAnnouncedTo: map[netip.AddrPort]time.Time{}, replicaSeenAt: map[string]time.Time{}}
	lacking := &mesh.Member{Address: receiver.LocalAddr().(*net.UDPAddr).AddrPort(), Incarnation: 1, Heartbeat: &peerv1.Beat{
		Topics: []*peerv1.TopicPosition{{Topic: topicOperators, Unknown: true}, {Topic: topicTargets, Unknown: true}},
	}}
	announced := func() int {
		c.onHeartbeat(lacking)
		n, buffer := 0, make([]byte, mesh.MaxDatagram)
		for receiver.SetReadDeadline(time.Now().Add(20*time.Millisecond)) == nil {
			if _, err := receiver.Read(buffer); err != nil {
				break
			}
			n++
		}
		return n
	}
	if n := announced(); n != 1 {
		t.Errorf("announced %d times to a process that lacks two topics, want once", n)
	}
	c.replicaAnnouncedTo[lacking.Address] = c.replicaAnnouncedTo[lacking.Address].Add(-minAnnounceInterval)
	if n := announced(); n != 1 {
		t.Errorf("announced %d times to the same process later, want once", n)
	}
}

// Guards against processes that vouch for declarations which nobody has read lately, because another topic was read.
func TestDeclarationsAreAsOldAsTheirLastRead(t *testing.T) {
	const age = 10 * time.Second
	clock := hostclock.New()
	followed := func(age time.Duration) *feed.Follower {
		replica := feed.NewReplica(feed.ReplicaOptions{OutageGap: outageGap})
		replica.MarkCurrent(clock.Now().Add(-age))
		return feed.NewFollower(nil, nil, replica, feed.Options{})
	}
	c := &clusterState{
		settings: &Settings{Role: settings.RoleEntry, MeshListen: "10.0.0.1:1"}, clock: clock, mesh: emptyMesh(t),
		declarations: followed(age), targets: followed(0),
	}
	c.large.Store(true)
	if p := c.position(topicOperators, c.declarations, 0); milliseconds(p.AgeMs) < age {
		t.Errorf("the declarations are announced to be %v old, want %v", milliseconds(p.AgeMs), age)
	}
	if page, ok := c.topicPage(topicOperators, feed.Position{}); !ok || page.Age < age {
		t.Errorf("a page of the declarations is %v old, want %v", page.Age, age)
	}
}
