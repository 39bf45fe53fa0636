package gateway

import (
	"context"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/asof"
	"github.com/toucanwell/toucanwell/internal/gateway/feed"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	// minFetchInterval is the minimum time between fetches of a topic in a large fleet. Without
	// it a rollout of weights, which changes hundreds of targets one by one, would make every
	// process fetch continuously.
	minFetchInterval = 300 * time.Millisecond
	// busyPause is the average pause before another peer is asked after one that serves too many fetches.
	busyPause = 40 * time.Millisecond
)

// topicFetch is a fetch of a topic's records from a peer that is in progress.
type topicFetch struct {
	peer  netip.AddrPort
	topic string
	// position is from where on records were asked for.
	position feed.Position
	began    time.Time
	// connected is set once the request has a connection, responding once the first byte of the response has come.
	connected, responding atomic.Bool
	ctx                   context.Context
	cancel                context.CancelFunc
	ended                 bool
}

// fetchOffered fetches the records of a topic up to a position that a peer has announced.
func (c *clusterState) fetchOffered(peer netip.AddrPort, at feed.Position, topic string, f *feed.Follower) {
	offers := c.offers[topic]
	if offers == nil {
		offers = &topicOffers{}
		c.offers[topic] = offers
	}
	offers.add(peer, at)
	c.fetchFromPeer(peer, topic, f)
}

// fetchFromPeer fetches the records of a topic that a peer has and this process lacks, unless it does already or, in
// a large fleet, has just done so.
func (c *clusterState) fetchFromPeer(from netip.AddrPort, topic string, f *feed.Follower) {
	if len(c.fetches[topic]) > 0 || c.large.Load() && c.clock.Now().Sub(c.fetchedAt[topic]) < minFetchInterval {
		return
	}
	c.startFetch(from, topic, f)
}

// fetchFromNext fetches from another peer that has announced records which this process still lacks.
func (c *clusterState) fetchFromNext(topic string, f *feed.Follower) {
	offers := c.offers[topic]
	if offers == nil {
		return
	}
	if offer, ok := offers.next(f.Replica().EndPosition(), func(peer netip.AddrPort) bool { return c.isAsked(topic, peer) }); ok {
		c.startFetch(offer.peer, topic, f)
	}
}

// isAsked reports whether a fetch of a topic from a peer is in progress.
func (c *clusterState) isAsked(topic string, peer netip.AddrPort) bool {
	return slices.ContainsFunc(c.fetches[topic], func(fetch *topicFetch) bool { return fetch.peer == peer })
}

func (c *clusterState) startFetch(from netip.AddrPort, topic string, f *feed.Follower) {
	if running := c.fetches[topic]; len(running) >= mesh.MaxHedges {
		running[0].cancel()
	}
	now := c.clock.Now()
	fetch := &topicFetch{peer: from, topic: topic, position: f.Replica().EndPosition(), began: now}
	fetch.ctx, fetch.cancel = context.WithTimeout(c.loop.Context(), mesh.MaxHedges*mesh.HedgeDelay)
	c.fetches[topic], c.fetchedAt[topic] = append(c.fetches[topic], fetch), now
	c.loop.Go(func(context.Context) {
		defer fetch.cancel()
		page, err := mesh.Fetch(fetch.trace(), c.peers, from, topic, fetch.position)
		c.loop.Post(func() { c.endFetch(fetch, f, page, err) })
	})
	c.loop.Go(func(ctx context.Context) {
		if sleep.For(ctx, mesh.HedgeDelay) {
			c.loop.Post(func() {
				// A response that has begun comes as fast as the link allows, and another one would slow it down.
				if !fetch.ended && !fetch.responding.Load() {
					c.fetchFromNext(topic, f)
				}
			})
		}
	})
}

// trace returns the context of the fetch, which records how far its request has got.
func (t *topicFetch) trace() context.Context {
	return httptrace.WithClientTrace(t.ctx, &httptrace.ClientTrace{
		GotConn:              func(httptrace.GotConnInfo) { t.connected.Store(true) },
		GotFirstResponseByte: func() { t.responding.Store(true) },
	})
}

// endFetch applies the result of a fetch.
func (c *clusterState) endFetch(fetch *topicFetch, f *feed.Follower, page mesh.TopicPage, err error) {
	fetch.ended = true
	c.fetches[fetch.topic] = slices.DeleteFunc(c.fetches[fetch.topic], func(other *topicFetch) bool { return other == fetch })
	if err != nil && fetch.isObsolete(f.Replica()) {
		return
	}
	c.onFetch(fetch.topic, fetchResult(err))
	if err != nil {
		if !mesh.IsBusy(err) {
			c.logFetchFailure(fetch, err)
		}
		c.fetchAgain(fetch, err, f)
		return
	}
	if page.End == 0 {
		return
	}
	receipt := asof.Answer(fetch.began, c.clock.Now())
	if page.EraAge > 0 {
		c.noteEra(page.Era, receipt.Latest(page.EraAge))
	}
	if f.ApplyPage(page.Page, fetch.position, receipt, page.Age, fetch.peer.String()) {
		c.rememberRetained(fetch.topic, &page.Page)
		c.cancelObsolete(fetch.topic, f.Replica())
	}
}

// isObsolete reports whether the replica has got records since the fetch began.
func (t *topicFetch) isObsolete(replica *feed.Replica) bool {
	return isAfter(replica.EndPosition(), t.position)
}

// cancelObsolete ends the fetches of a topic that have become obsolete.
func (c *clusterState) cancelObsolete(topic string, replica *feed.Replica) {
	for _, fetch := range c.fetches[topic] {
		if fetch.isObsolete(replica) {
			fetch.cancel()
		}
	}
}

// fetchAgain fetches from another peer after a fetch from one has failed.
func (c *clusterState) fetchAgain(failed *topicFetch, err error, f *feed.Follower) {
	if offers := c.offers[failed.topic]; offers != nil {
		offers.remove(failed.peer)
	}
	var pause time.Duration
	if mesh.IsBusy(err) {
		pause = c.loop.Jitter(busyPause)
	}
	c.loop.Go(func(ctx context.Context) {
		if !sleep.For(ctx, pause) {
			return
		}
		c.loop.Post(func() {
			if len(c.fetches[failed.topic]) == 0 {
				c.fetchFromNext(failed.topic, f)
			}
		})
	})
}

// loggedDelayQuantile is the quantile of the scheduling delays that is logged.
const loggedDelayQuantile = 0.9

// logFetchFailure logs a failed fetch with how long it took, how far it got, and how long goroutines of this process
// have waited for the processor since the last such line.
func (c *clusterState) logFetchFailure(fetch *topicFetch, err error) {
	c.logger.Info("fetch_failed", "topic", fetch.topic, "peer", fetch.peer, "took", c.clock.Now().Sub(fetch.began).Round(time.Millisecond), "connected", fetch.connected.Load(),
		"scheduling_delay", c.schedulingDelays.quantile(loggedDelayQuantile).Round(time.Millisecond), "error", err.Error())
}

// fetchResult returns the label of a fetch's result for metrics.
func fetchResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case mesh.IsBusy(err):
		return "busy"
	default:
		return "failed"
	}
}
