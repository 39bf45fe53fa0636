package gateway

import (
	"maps"
	"net/netip"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/asof"
	"github.com/toucanwell/toucanwell/internal/gateway/feed"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
)

// compose adds the positions of the topic replicas to a heartbeat.
func (c *clusterState) compose(heartbeat *peerv1.Beat) {
	heartbeat.Leaving, heartbeat.LargeFleet = c.stopping, c.seesLarge
	heartbeat.Topics = []*peerv1.TopicPosition{
		c.position(topicOperators, c.declarations, 0),
		c.position(topicTargets, c.targets, c.listingsDigest),
	}
	c.announceWanted(heartbeat)
}

func (c *clusterState) position(name string, f *feed.Follower, digest uint64) *peerv1.TopicPosition {
	current, covered := f.Replica().CurrentAt(), f.Replica().Coverage()
	return &peerv1.TopicPosition{
		Topic: name, Era: uint64(covered.Era), End: covered.End, SeenFrom: covered.SeenFrom, DropEnd: covered.DropEnd, AgeMs: uint32(c.clock.Now().Sub(current).Milliseconds()),
		Unknown: current.IsZero(), Digest: digest, EraAgeMs: uint32(c.eraAge(f).Milliseconds()), RetainedDigest: f.Replica().RetainedDigest(),
	}
}

// maxEraAge bounds the age of an era that is announced. Nothing depends on the age of older ones.
const maxEraAge = time.Minute

// eraAge returns the time since the era of a replica was first seen, zero if that is unknown.
func (c *clusterState) eraAge(f *feed.Follower) time.Duration {
	since := f.Replica().EraSince()
	if since.IsZero() {
		return 0
	}
	return min(max(c.clock.Now().Sub(since), time.Millisecond), maxEraAge)
}

// noteEra records that the store has come back from a copy, since when at the latest.
func (c *clusterState) noteEra(era feed.Era, since time.Time) {
	c.era = max(c.era, era)
	c.declarations.NoteEra(era, since)
	c.targets.NoteEra(era, since)
}

// onHeartbeatReceived notes at an entry what declarations a peer has. It may be called on any goroutine.
func (c *clusterState) onHeartbeatReceived(from netip.AddrPort, heartbeat *peerv1.Beat) {
	if !c.isEntry() {
		return
	}
	for _, p := range heartbeat.Topics {
		if p.Topic == topicOperators && !p.Unknown {
			c.lag.Announced(from, feed.Position{Era: feed.Era(p.Era), Offset: p.End}, c.clock.Now())
		}
	}
}

// logLag logs when callers begin to be refused because the declarations are outdated, and when that ends.
func (c *clusterState) logLag(now time.Time) {
	state := c.lag.State(now)
	if state.Overdue == c.loggedOutdated {
		return
	}
	c.loggedOutdated = state.Overdue
	c.logger.Info("configuration_outdated", "refuses", state.Overdue, "known", state.Known.String(), "announced", state.Announced.String(), "for", state.For.Round(time.Millisecond),
		"scheduling_delay", c.schedulingDelays.quantile(loggedDelayQuantile).Round(time.Millisecond))
}

// onHeartbeat compares a peer's replicas with this process's and fetches missing records.
func (c *clusterState) onHeartbeat(m *mesh.Member) {
	c.peerSaysLarge = c.peerSaysLarge || m.Heartbeat.LargeFleet
	c.onWanted(m)
	for _, p := range m.Heartbeat.Topics {
		if p.Unknown {
			c.emptyPeerSeen = true
			c.announceReplica(m, p.Topic)
			continue
		}
		c.replicaSeenAt[p.Topic] = c.clock.Now()
		f := c.follower(p.Topic)
		if f == nil {
			continue
		}
		c.compareReplica(m.Address, f, p, m.Receipt)
	}
}

// compareReplica marks a replica as current if it matches the peer's, or fetches the
// records that only the peer has. What is known of a later era of the store replaces the log of an earlier
// one, never the reverse.
func (c *clusterState) compareReplica(peer netip.AddrPort, f *feed.Follower, p *peerv1.TopicPosition, receipt asof.Receipt) {
	replica, era := f.Replica(), feed.Era(p.Era)
	if !replica.Empty() && era < replica.Era() {
		return
	}
	if era > c.era || p.EraAgeMs > 0 {
		c.noteEra(era, receipt.Latest(milliseconds(p.EraAgeMs)))
	}
	coverage := feed.Coverage{Era: era, End: p.End, SeenFrom: p.SeenFrom, DropEnd: p.DropEnd}
	same := p.End == replica.End()
	if p.Topic == topicTargets {
		same = p.Digest == c.listingsDigest && !replica.LacksDrop(coverage)
	}
	switch {
	case era > replica.Era():
		c.fetchOffered(peer, feed.Position{Era: era, Offset: p.End}, p.Topic, f)
	case same && replica.End() > 0 && replica.CoveredBy(coverage):
		replica.Confirm(receipt.Latest(milliseconds(p.AgeMs)), peer.String())
		replica.MarkCurrent(receipt.Earliest(milliseconds(p.AgeMs)))
	case !same && p.End > replica.End():
		c.fetchOffered(peer, feed.Position{Era: era, Offset: p.End}, p.Topic, f)
	}
	if era == replica.Era() && c.lacksRetained(p, replica) {
		c.fetchFromPeer(peer, p.Topic, f)
	}
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// retainedSet identifies what a peer retains of earlier eras.
type retainedSet struct {
	topic  string
	era    feed.Era
	digest uint64
}

// maxRetainedSeen bounds the sets that are remembered as merged.
const maxRetainedSeen = 64

// lacksRetained reports whether a peer retains statements of earlier eras that this process may not know.
func (c *clusterState) lacksRetained(p *peerv1.TopicPosition, replica *feed.Replica) bool {
	if p.RetainedDigest == 0 || p.RetainedDigest == replica.RetainedDigest() {
		return false
	}
	return !c.retainedSeen[retainedSet{p.Topic, replica.Era(), p.RetainedDigest}]
}

// rememberRetained records that a peer's retained statements were merged.
func (c *clusterState) rememberRetained(topic string, p *feed.Page) {
	if len(c.retainedSeen) >= maxRetainedSeen {
		clear(c.retainedSeen)
	}
	c.retainedSeen[retainedSet{topic, p.Era, feed.DigestOf(p.Retained)}] = true
}

// minAnnounceInterval is the minimum time between two announcements of replicas to one process. Its
// heartbeats name all topics that it lacks.
const minAnnounceInterval = 100 * time.Millisecond

// announceReplica sends a heartbeat to a process that has no replica yet, so that it fetches this
// process's replica and does not read the store. It does so for each heartbeat of that process,
// because the fetch may be refused while too many others are served.
func (c *clusterState) announceReplica(m *mesh.Member, topic string) {
	f, now := c.follower(topic), c.clock.Now()
	if f == nil || f.Replica().CurrentAt().IsZero() || now.Sub(c.replicaAnnouncedTo[m.Address]) < minAnnounceInterval {
		return
	}
	maps.DeleteFunc(c.replicaAnnouncedTo, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) >= minAnnounceInterval })
	c.replicaAnnouncedTo[m.Address] = now
	c.mesh.SendTo(m.Address, func(*peerv1.Beat) {})
}

func (c *clusterState) follower(topic string) *feed.Follower {
	switch topic {
	case topicOperators:
		return c.declarations
	case topicTargets:
		return c.targets
	default:
		return nil
	}
}

// topicPage serves a peer's fetch.
func (c *clusterState) topicPage(topic string, from feed.Position) (mesh.TopicPage, bool) {
	if topic == topicQuarantine {
		return c.quarantinePage()
	}
	f := c.follower(topic)
	if f == nil || f.Replica().CurrentAt().IsZero() {
		return mesh.TopicPage{}, false
	}
	return mesh.TopicPage{
		Page: f.Replica().PageFrom(from), Age: c.clock.Now().Sub(f.Replica().CurrentAt()), EraAge: c.eraAge(f),
	}, true
}
