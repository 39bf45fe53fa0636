package gateway

import (
	"net/netip"
	"testing"

	"github.com/toucanwell/toucanwell/internal/gateway/feed"
)

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
