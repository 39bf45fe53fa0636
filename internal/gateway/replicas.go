package gateway

import (
	"context"
	"net/netip"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/feed"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
)

// compose fills in a heartbeat with how far the copies are.
func (b *clusterState) compose(beat *peerv1.Beat) {
	beat.Leaving = b.stopping
	beat.Topics = []*peerv1.TopicPosition{
		b.position(topicOperators, b.declarations, 0),
		b.position(topicTargets, b.targets, b.listingsDigest),
	}
}

func (b *clusterState) position(name string, f *feed.Follower, digest uint64) *peerv1.TopicPosition {
	current, at := b.currentAt(name), f.Copy().Position()
	return &peerv1.TopicPosition{
		Topic: name, End: at.End, SeenFrom: at.SeenFrom, DropEnd: at.DropEnd, AgeMs: uint32(b.clock.Now().Sub(current).Milliseconds()),
		Unknown: current.IsZero(), Digest: digest,
	}
}

// currentAt is when a copy last was complete. A read of what operators declare
// that waits at the store is answered by the first record; as long as the store
// answers other reads, none has come.
func (b *clusterState) currentAt(topic string) time.Time {
	own := b.targets.Copy().CurrentAt()
	if topic == topicTargets {
		return own
	}
	at := b.declarations.Copy().CurrentAt()
	if b.longPollsDeclarations() && !at.IsZero() && own.After(at) {
		return own
	}
	return at
}

// onHeartbeat takes in how far another process's copies are, and fetches what this
// one lacks.
func (b *clusterState) onHeartbeat(m *mesh.Member) {
	for _, p := range m.Beat.Topics {
		if p.Unknown {
			b.announceReplica(m, p.Topic)
			continue
		}
		f := b.follower(p.Topic)
		if f == nil {
			continue
		}
		b.compareReplica(m.Address, f, p)
	}
}

// compareReplica takes in how far a peer's copy of a topic is: this one is as new as the peer's, or
// fetches what it lacks.
func (b *clusterState) compareReplica(peer netip.AddrPort, f *feed.Follower, p *peerv1.TopicPosition) {
	c := f.Copy()
	at := b.clock.Now().Add(-time.Duration(p.AgeMs) * time.Millisecond)
	theirs := feed.Position{End: p.End, SeenFrom: p.SeenFrom, DropEnd: p.DropEnd}
	same := p.End == c.End()
	if p.Topic == topicTargets {
		same = p.Digest == b.listingsDigest && !c.LacksDrop(theirs)
	}
	switch {
	case same && c.End() > 0 && c.CoveredBy(theirs):
		c.Confirm(at)
	case !same && p.End > c.End():
		b.fetchFromPeer(peer, p.Topic, f)
	}
}

// announceReplica tells a process that lacks a copy at once that this one has it. It would
// otherwise hear of it with a later heartbeat, and read the store itself before.
func (b *clusterState) announceReplica(m *mesh.Member, topic string) {
	f := b.follower(topic)
	if f == nil || f.Copy().CurrentAt().IsZero() || b.replicaAnnouncedTo[m.Address] == m.Incarnation {
		return
	}
	b.replicaAnnouncedTo[m.Address] = m.Incarnation
	b.mesh.TellMember(m.Address, func(*peerv1.Beat) {})
}

func (b *clusterState) follower(topic string) *feed.Follower {
	switch topic {
	case topicOperators:
		return b.declarations
	case topicTargets:
		return b.targets
	default:
		return nil
	}
}

// minFetchInterval is the least time between two fetches of a topic in a large fleet. Some
// hundred targets that change one after the other, as when all load new weights, would
// make every process fetch without a pause.
const minFetchInterval = 300 * time.Millisecond

// fetchFromPeer fetches the records of a topic that a peer has and this process lacks.
func (b *clusterState) fetchFromPeer(from netip.AddrPort, topic string, f *feed.Follower) {
	now := b.clock.Now()
	if b.fetching[topic] || b.large.Load() && now.Sub(b.fetchedAt[topic]) < minFetchInterval {
		return
	}
	b.fetching[topic], b.fetchedAt[topic] = true, now
	offset := f.Copy().End()
	const timeout = 800 * time.Millisecond
	control.Do(b.loop, timeout, func(ctx context.Context) (mesh.Answer, error) {
		return mesh.Fetch(ctx, b.peers, from, topic, offset)
	}, func(a mesh.Answer, err error) {
		b.fetching[topic] = false
		if err != nil {
			b.logger.Info("fetch_failed", "topic", topic, "peer", from, "error", err.Error())
			return
		}
		if a.End > 0 {
			f.Adopt(a.Page, offset, b.clock.Now().Add(-a.Age))
		}
	})
}

// topicPage serves another process's fetch.
func (b *clusterState) topicPage(topic string, from uint64) (mesh.Answer, bool) {
	f := b.follower(topic)
	if f == nil || f.Copy().CurrentAt().IsZero() {
		return mesh.Answer{}, false
	}
	return mesh.Answer{
		Page: f.Copy().Since(from), Age: b.clock.Now().Sub(b.currentAt(topic)),
	}, true
}
