package gateway

import (
	"net/netip"
	"slices"

	"github.com/toucanwell/toucanwell/internal/gateway/feed"
)

// maxOffers bounds the peers that are remembered to offer records of a topic.
const maxOffers = 8

// topicOffer is a peer that has announced records of a topic that this process lacks.
type topicOffer struct {
	peer netip.AddrPort
	at   feed.Position
}

// topicOffers are the peers from which a topic may be fetched, so that a fetch that fails does not wait for another
// heartbeat.
type topicOffers struct{ offers []topicOffer }

// add remembers an offer, in place of an earlier one of the same peer and of the oldest beyond the bound.
func (o *topicOffers) add(peer netip.AddrPort, at feed.Position) {
	o.remove(peer)
	if len(o.offers) == maxOffers {
		o.offers = o.offers[1:]
	}
	o.offers = append(o.offers, topicOffer{peer, at})
}

func (o *topicOffers) remove(peer netip.AddrPort) {
	o.offers = slices.DeleteFunc(o.offers, func(offer topicOffer) bool { return offer.peer == peer })
}

// next returns the newest offer beyond a position of a peer that is not being asked, and forgets those that are not
// beyond it.
func (o *topicOffers) next(known feed.Position, asked func(netip.AddrPort) bool) (topicOffer, bool) {
	o.offers = slices.DeleteFunc(o.offers, func(offer topicOffer) bool { return !isAfter(offer.at, known) })
	for _, offer := range slices.Backward(o.offers) {
		if !asked(offer.peer) {
			return offer, true
		}
	}
	return topicOffer{}, false
}

func isAfter(a, b feed.Position) bool { return a.Era > b.Era || a.Era == b.Era && a.Offset > b.Offset }
