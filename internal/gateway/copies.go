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
func (b *beliefs) compose(beat *peerv1.Beat) {
	beat.Leaving = b.stopping
	beat.Topics = []*peerv1.TopicPosition{
		b.position(topicOperators, b.operators, 0),
		b.position(topicTargets, b.targets, b.digest),
	}
}

func (b *beliefs) position(name string, f *feed.Follower, digest uint64) *peerv1.TopicPosition {
	current, at := b.currentAt(name), f.Replica().Position()
	return &peerv1.TopicPosition{
		Topic: name, End: at.End, SeenFrom: at.SeenFrom, DropEnd: at.DropEnd, AgeMs: uint32(b.clock.Now().Sub(current).Milliseconds()),
		Unknown: current.IsZero(), Digest: digest,
	}
}

// currentAt is when a copy last was complete. A read of what operators declare
// that waits at the store is answered by the first record; as long as the store
// answers other reads, none has come.
func (b *beliefs) currentAt(topic string) time.Time {
	own := b.targets.Replica().CurrentAt()
	if topic == topicTargets {
		return own
	}
	at := b.operators.Replica().CurrentAt()
	if b.waitsForOperators() && !at.IsZero() && own.After(at) {
		return own
	}
	return at
}

// heard takes in how far another process's copies are, and fetches what this
// one lacks.
func (b *beliefs) heard(m *mesh.Member) {
	for _, p := range m.Heartbeat.Topics {
		if p.Unknown {
			b.welcome(m, p.Topic)
			continue
		}
		f := b.follower(p.Topic)
		if f == nil {
			continue
		}
		b.compare(m.Address, f, p)
	}
}

// compare takes in how far a peer's copy of a topic is: this one is as new as the peer's, or
// fetches what it lacks.
func (b *beliefs) compare(peer netip.AddrPort, f *feed.Follower, p *peerv1.TopicPosition) {
	c := f.Replica()
	at := b.clock.Now().Add(-time.Duration(p.AgeMs) * time.Millisecond)
	theirs := feed.Position{End: p.End, SeenFrom: p.SeenFrom, DropEnd: p.DropEnd}
	same := p.End == c.End()
	if p.Topic == topicTargets {
		same = p.Digest == b.digest && !c.LacksDrop(theirs)
	}
	switch {
	case same && c.End() > 0 && c.CoveredBy(theirs):
		c.MarkCurrent(at)
	case !same && p.End > c.End():
		b.pull(peer, p.Topic, f)
	}
}

// welcome tells a process that lacks a copy at once that this one has it. It would
// otherwise hear of it with a later heartbeat, and read the store itself before.
func (b *beliefs) welcome(m *mesh.Member, topic string) {
	f := b.follower(topic)
	if f == nil || f.Replica().CurrentAt().IsZero() || b.welcomed[m.Address] == m.Incarnation {
		return
	}
	b.welcomed[m.Address] = m.Incarnation
	b.mesh.SendTo(m.Address, func(*peerv1.Beat) {})
}

func (b *beliefs) follower(topic string) *feed.Follower {
	switch topic {
	case topicOperators:
		return b.operators
	case topicTargets:
		return b.targets
	default:
		return nil
	}
}

// pullPause is the least time between two fetches of a topic in a large fleet. Some
// hundred targets that change one after the other, as when all load new weights, would
// make every process fetch without a pause.
const pullPause = 300 * time.Millisecond

// pull fetches the records of a topic that a peer has and this process lacks.
func (b *beliefs) pull(from netip.AddrPort, topic string, f *feed.Follower) {
	now := b.clock.Now()
	if b.pulling[topic] || b.large.Load() && now.Sub(b.pulledAt[topic]) < pullPause {
		return
	}
	b.pulling[topic], b.pulledAt[topic] = true, now
	offset := f.Replica().End()
	const timeout = 800 * time.Millisecond
	control.Do(b.loop, timeout, func(ctx context.Context) (mesh.TopicPage, error) {
		return mesh.Fetch(ctx, b.peers, from, topic, offset)
	}, func(a mesh.TopicPage, err error) {
		b.pulling[topic] = false
		if err != nil {
			b.logger.Info("fetch_failed", "topic", topic, "peer", from, "error", err.Error())
			return
		}
		if a.End > 0 {
			f.ApplyPage(a.Page, offset, b.clock.Now().Add(-a.Age))
		}
	})
}

// answer serves another process's fetch.
func (b *beliefs) answer(topic string, from uint64) (mesh.TopicPage, bool) {
	f := b.follower(topic)
	if f == nil || f.Replica().CurrentAt().IsZero() {
		return mesh.TopicPage{}, false
	}
	return mesh.TopicPage{
		Page: f.Replica().PageFrom(from), Age: b.clock.Now().Sub(b.currentAt(topic)),
	}, true
}
