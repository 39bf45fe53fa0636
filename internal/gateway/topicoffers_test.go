package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/feed"
	"github.com/toucanwell/toucanwell/internal/gateway/hostclock"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
)

// Guards against records that wait for another heartbeat because the first peer that has offered them falls silent.
func TestRecordsAreFetchedAlthoughTheFirstSourceIsSilent(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	loop := control.NewLoop(1, func(time.Duration) {})
	go loop.Run()
	defer loop.Stop()
	mux := http.NewServeMux()
	mux.Handle(mesh.NewServer(loop, []string{topicOperators}, func(string, feed.Position) (mesh.TopicPage, bool) {
		return mesh.TopicPage{Page: feed.Page{Full: true, Snapshot: feed.Snapshot{End: 5, Records: []feed.Record{{Key: "config", Value: []byte("1"), Offset: 4}}}}}, true
	}).Handler())
	sound := httptest.NewServer(mux)
	defer sound.Close()
	changed := make(chan struct{})
	follower := feed.NewFollower(nil, nil, feed.NewReplica(feed.ReplicaOptions{OutageGap: outageGap}), feed.Options{OnChange: func([]string) { close(changed) }})
	c := &clusterState{
		loop: loop, clock: hostclock.New(), logger: logr.Discard(), peers: http.DefaultClient, onFetch: func(string, string) {},
		fetching: map[string]bool{}, fetchedAt: map[string]time.Time{}, offers: map[string]*topicOffers{}, retainedSeen: map[retainedSet]bool{},
	}
	c.large.Store(true)
	loop.Post(func() {
		for _, peer := range []net.Addr{silent.Addr(), sound.Listener.Addr()} {
			c.fetchOffered(netip.MustParseAddrPort(peer.String()), feed.Position{Offset: 5}, topicOperators, follower)
		}
	})
	select {
	case <-changed:
	case <-time.After(mesh.FetchTimeout + time.Second):
		t.Error("the records were not fetched from the second peer")
	}
}

// Guards against records that are not fetched from the other peers that have announced them after the first has
// failed, and against fetches of what is known already.
func TestFailedFetchGoesOnAtAnotherPeer(t *testing.T) {
	peer := func(i byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 7000) }
	var o topicOffers
	for i := range byte(maxOffers + 2) {
		o.add(peer(i), feed.Position{Offset: 5})
	}
	o.add(peer(4), feed.Position{Offset: 6})
	if len(o.offers) != maxOffers {
		t.Errorf("%d offers are remembered, want %d", len(o.offers), maxOffers)
	}
	asked := map[netip.AddrPort]bool{}
	for {
		offer, ok := o.next(feed.Position{Offset: 4})
		if !ok {
			break
		}
		if len(asked) == 0 && offer.peer != peer(4) {
			t.Errorf("the newest offer is that of %v", offer.peer)
		}
		if asked[offer.peer] {
			t.Fatalf("%v is asked twice", offer.peer)
		}
		asked[offer.peer] = true
		o.remove(offer.peer) // its fetch has failed
	}
	if len(asked) != maxOffers {
		t.Errorf("%d peers are asked, want %d", len(asked), maxOffers)
	}
	o.add(peer(1), feed.Position{Offset: 5})
	if offer, ok := o.next(feed.Position{Offset: 5}); ok {
		t.Errorf("%v is asked for what is known", offer.peer)
	}
	o.add(peer(1), feed.Position{Era: 1, Offset: 2})
	if _, ok := o.next(feed.Position{Offset: 5}); !ok {
		t.Error("records of a later era are not fetched")
	}
}
