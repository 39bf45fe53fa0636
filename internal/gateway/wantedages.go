package gateway

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
)

const (
	// announceWantedFor is how long after a process was heard first the others announce since when
	// versions of weights are wanted: some heartbeats.
	announceWantedFor = 5 * time.Second
	// minBackdate is the least difference that is taken over; smaller ones are the time of messages.
	minBackdate = 500 * time.Millisecond
	// maxWantedAge bounds the ages that are announced. It is far longer than weights may be outdated.
	maxWantedAge = 10 * time.Minute
)

// announceWanted adds to a heartbeat since when versions of weights are wanted, if there may be a receiver
// that has just started.
func (c *clusterState) announceWanted(heartbeat *peerv1.Beat) {
	now := c.clock.Now()
	if !now.Before(c.announceWantedUntil) {
		return
	}
	var all []*peerv1.WantedWeights
	for _, model := range slices.Sorted(maps.Keys(c.wantedWeights)) {
		for _, w := range c.wantedWeights[model] {
			all = append(all, &peerv1.WantedWeights{Model: model, Version: w.Version, AgeMs: uint32(min(now.Sub(w.Since), maxWantedAge).Milliseconds())})
		}
	}
	heartbeat.Wanted = c.nextWanted(all)
}

// maxWantedBytes bounds what a heartbeat, which fits into a datagram, has of wanted versions.
const maxWantedBytes = 300

// nextWanted returns as many of the versions as a heartbeat has room for. Successive heartbeats go on where the
// one before ended.
func (c *clusterState) nextWanted(all []*peerv1.WantedWeights) []*peerv1.WantedWeights {
	var next []*peerv1.WantedWeights
	for size := 0; len(next) < len(all); c.wantedAnnounced++ {
		w := all[c.wantedAnnounced%len(all)]
		const overhead = 4 // tag and length
		if size += proto.Size(w) + overhead; size > maxWantedBytes {
			if len(next) == 0 {
				c.wantedAnnounced++ // it never fits
			}
			break
		}
		next = append(next, w)
	}
	return next
}

// onWanted takes over since when versions of weights are wanted from a process that has known them for
// longer. A process that starts would count from its start, and use weights that are long outdated.
func (c *clusterState) onWanted(m *mesh.Member) {
	now := c.clock.Now()
	if m.AliveSince.After(now.Add(-announceWantedFor)) {
		c.announceWantedUntil = m.AliveSince.Add(announceWantedFor)
	}
	changed := false
	for _, w := range m.Heartbeat.Wanted {
		history := c.wantedWeights[w.Model]
		// The earliest time would move back with each message between two processes that tell each other.
		since := m.Receipt.Latest(min(milliseconds(w.AgeMs), maxWantedAge))
		earlier := history.StaleFor(w.Version-1, now)
		next := history.Backdate(weights.WantedVersion{Version: w.Version, Since: since})
		if next.StaleFor(w.Version-1, now) < earlier+minBackdate {
			continue
		}
		c.logger.Info("weights_wanted_since", "model", w.Model, "version", w.Version, "for", now.Sub(since).Round(time.Millisecond), "before", earlier.Round(time.Millisecond), "peer", m.Name)
		c.wantedWeights[w.Model], changed = next, true
	}
	if changed {
		c.publishView()
	}
}
