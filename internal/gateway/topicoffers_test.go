package gateway

import (
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
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
	f := newFetchTest(t)
	select {
	case <-f.offer(silent.Addr(), f.startPeer(t, 0)):
	case <-time.After(mesh.HedgeDelay + time.Second):
		t.Error("the records were not fetched from the second peer")
	}
}

// Guards against fetches that are given up and begun anew, time and again, by a process whose processor or link is
// slow: no peer answers it before the next one is asked.
func TestRecordsAreFetchedAlthoughAllAnswersAreLate(t *testing.T) {
	const late = mesh.HedgeDelay * 3 / 2
	f := newFetchTest(t)
	var peers []net.Addr
	for range maxOffers {
		peers = append(peers, f.startPeer(t, late))
	}
	select {
	case <-f.offer(peers...):
	case <-time.After(late + time.Second):
		t.Fatal("the records were not fetched")
	}
	<-time.After(mesh.HedgeDelay)
	if asked := f.asked.Load(); asked > 2 {
		t.Errorf("%d peers were asked within %v, want 2", asked, late)
	}
	left := make(chan int)
	f.loop.Post(func() { left <- len(f.state.fetches[topicOperators]) })
	if n := <-left; n > 0 {
		t.Errorf("%d fetches of known records go on", n)
	}
}

// Guards against a large response that is asked for twice because it takes long on a slow link.
func TestResponseThatHasBegunIsNotHedged(t *testing.T) {
	const slow = mesh.HedgeDelay * 3 / 2
	f := newFetchTest(t)
	select {
	case <-f.offer(f.startPacedPeer(t, 0, slow), f.startPacedPeer(t, 0, slow)):
	case <-time.After(slow + time.Second):
		t.Fatal("the records were not fetched")
	}
	if asked := f.asked.Load(); asked != 1 {
		t.Errorf("%d peers were asked, want 1", asked)
	}
}

// fetchTest is a process that lacks a record which its peers have.
type fetchTest struct {
	loop  *control.Loop
	state *clusterState
	// follower has the record once changed is closed.
	follower *feed.Follower
	changed  chan struct{}
	// asked counts the requests to peers.
	asked atomic.Int32
}

func newFetchTest(t *testing.T) *fetchTest {
	t.Helper()
	f := &fetchTest{loop: control.NewLoop(1, func(time.Duration) {}), changed: make(chan struct{})}
	go f.loop.Run()
	t.Cleanup(f.loop.Stop)
	f.follower = feed.NewFollower(nil, nil, feed.NewReplica(feed.ReplicaOptions{OutageGap: outageGap}), feed.Options{OnChange: func([]string) { close(f.changed) }})
	f.state = &clusterState{
		loop: f.loop, clock: hostclock.New(), logger: logr.Discard(), peers: http.DefaultClient, onFetch: func(string, string) {},
		fetches: map[string][]*topicFetch{}, fetchedAt: map[string]time.Time{}, offers: map[string]*topicOffers{}, retainedSeen: map[retainedSet]bool{},
	}
	f.state.large.Store(true)
	return f
}

// startPeer starts a peer that answers after a delay, and returns its address.
func (f *fetchTest) startPeer(t *testing.T, delay time.Duration) net.Addr {
	t.Helper()
	return f.startPacedPeer(t, delay, 0)
}

// startPacedPeer starts a peer whose answer begins after a delay and ends after another one.
func (f *fetchTest) startPacedPeer(t *testing.T, delay, rest time.Duration) net.Addr {
	t.Helper()
	_, handler := mesh.NewServer(f.loop, []string{topicOperators}, func(string, feed.Position) (mesh.TopicPage, bool) {
		return mesh.TopicPage{Page: feed.Page{Full: true, Snapshot: feed.Snapshot{End: 5, Records: []feed.Record{{Key: "config", Value: []byte("1"), Offset: 4}}}}}, true
	}).Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.asked.Add(1)
		<-time.After(delay)
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, r)
		maps.Copy(w.Header(), answer.Header())
		w.WriteHeader(answer.Code)
		_ = http.NewResponseController(w).Flush() // fails only if the caller has gone
		<-time.After(rest)
		_, _ = w.Write(answer.Body.Bytes())
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr()
}

// offer lets peers announce the record, and returns a channel that is closed once it was fetched.
func (f *fetchTest) offer(peers ...net.Addr) <-chan struct{} {
	f.loop.Post(func() {
		for _, peer := range peers {
			f.state.fetchOffered(netip.MustParseAddrPort(peer.String()), feed.Position{Offset: 5}, topicOperators, f.follower)
		}
	})
	return f.changed
}

// Guards against records that are not fetched from the other peers that have announced them after the first has
// failed, and against fetches of what is known already.
func TestFailedFetchGoesOnAtAnotherPeer(t *testing.T) {
	peer := func(i byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 7000) }
	asked := map[netip.AddrPort]bool{}
	isAsked := func(peer netip.AddrPort) bool { return asked[peer] }
	var o topicOffers
	for i := range byte(maxOffers + 2) {
		o.add(peer(i), feed.Position{Offset: 5})
	}
	o.add(peer(4), feed.Position{Offset: 6})
	if len(o.offers) != maxOffers {
		t.Errorf("%d offers are remembered, want %d", len(o.offers), maxOffers)
	}
	for {
		offer, ok := o.next(feed.Position{Offset: 4}, isAsked)
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
		if len(asked)%2 == 0 {
			o.remove(offer.peer) // its fetch has failed; that of the others is in progress
		}
	}
	if len(asked) != maxOffers {
		t.Errorf("%d peers are asked, want %d", len(asked), maxOffers)
	}
	clear(asked)
	o = topicOffers{}
	o.add(peer(1), feed.Position{Offset: 5})
	if offer, ok := o.next(feed.Position{Offset: 5}, isAsked); ok {
		t.Errorf("%v is asked for what is known", offer.peer)
	}
	o.add(peer(1), feed.Position{Era: 1, Offset: 2})
	if _, ok := o.next(feed.Position{Offset: 5}, isAsked); !ok {
		t.Error("records of a later era are not fetched")
	}
}
