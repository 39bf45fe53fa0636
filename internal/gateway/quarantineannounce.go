package gateway

import (
	"context"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	// suspectBatchDelay batches changed records before they are announced. When a target
	// crashes, all its requests fail within some milliseconds.
	suspectBatchDelay = 5 * time.Millisecond
	// suspectPause is the least time between two announcements in a fleet in which records are forwarded. When
	// many targets crash, records change all the time.
	suspectPause = 50 * time.Millisecond
	// forwardFanOut is to how many entries a record is forwarded, forwardsPerAnnouncement how many records are
	// forwarded at once: together they bound the datagrams that each entry gets when many targets crash.
	// What is left waits for the next announcement, and lost records are announced again in turn.
	forwardFanOut           = 4
	forwardsPerAnnouncement = 40
	// maxAnnounced is the most received announcements that wait to be merged. Further ones are dropped; the
	// records are announced again in turn.
	maxAnnounced = 256
	// maxSuspectBytes is the most bytes of records in a partial heartbeat.
	maxSuspectBytes = 1100
	// suspectReserve is the space that records leave free in a full heartbeat.
	suspectReserve = 100
	// suspectsPerHeartbeat is the most records in a full heartbeat.
	suspectsPerHeartbeat = 8
)

// announcement holds the records in one heartbeat; it may have none.
type announcement struct {
	records []*peerv1.Suspect
	// receivedAt is the time from which the records' ages count.
	receivedAt time.Time
	// forward is set if this entry passes on what is new.
	forward bool
}

// announceUpdates announces changed records to the other entries.
func (s *quarantineSync) announceUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.registry.Updates():
		}
		if !sleep.For(ctx, suspectBatchDelay) {
			return
		}
		s.process.loop.Post(s.announce)
		s.storeFindings()
		if s.observer.takeSecondCrash() {
			s.process.loop.Post(s.reload)
		}
		if s.forwards.Load() && !sleep.For(ctx, suspectPause) {
			return
		}
	}
}

// announce announces the records that this process has changed, and forwards others.
func (s *quarantineSync) announce() {
	s.send(s.registry.TakeUpdates(math.MaxInt), mesh.FanOut)
	s.send(s.registry.TakeForwards(forwardsPerAnnouncement), forwardFanOut)
}

// send sends records to some other entries.
func (s *quarantineSync) send(records []quarantine.Record, receivers int) {
	var batch []*peerv1.Suspect
	size := 0
	flush := func() {
		if len(batch) > 0 {
			s.process.state.mesh.BroadcastToEntries(receivers, func(heartbeat *peerv1.Beat) { heartbeat.Suspects = batch })
		}
		batch, size = nil, 0
	}
	now := s.process.clock.Now()
	for i := range records {
		m := quarantine.ToMessage(&records[i], now)
		if size += proto.Size(m); size > maxSuspectBytes {
			flush()
			size = proto.Size(m)
		}
		batch = append(batch, m)
	}
	flush()
}

// compose adds the next records in rotation to a heartbeat, to make up for lost
// announcements.
func (s *quarantineSync) compose(heartbeat *peerv1.Beat) {
	now := s.process.clock.Now()
	space := mesh.MaxDatagram - suspectReserve - proto.Size(heartbeat)
	for _, r := range s.registry.NextToAnnounce(suspectsPerHeartbeat, now) {
		m := quarantine.ToMessage(&r, now)
		if space -= proto.Size(m); space < 0 {
			return
		}
		heartbeat.Suspects = append(heartbeat.Suspects, m)
	}
}

// onHeartbeat hands over another entry's records to be merged. In fleets where an entry does not reach all
// others at once, the receivers forward new records.
func (s *quarantineSync) onHeartbeat(m *mesh.Member) {
	a := announcement{records: m.Heartbeat.Suspects, receivedAt: s.process.clock.Now()}
	if len(a.records) > 0 {
		a.forward = s.process.state.mesh.LiveCount(true) > mesh.FanOut
		s.forwards.Store(a.forward)
	}
	select {
	case s.announced <- a:
	default:
		s.process.metrics.SuspectsDropped(len(a.records))
	}
}

// mergeAnnounced merges what other entries announce, off the control thread: when many targets crash, thousands of
// records arrive within a second, and changes of the configuration must not wait for them. All that has arrived is
// evaluated at once.
func (s *quarantineSync) mergeAnnounced(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-s.announced:
			s.merge(&a)
		}
		for range len(s.announced) {
			a := <-s.announced
			s.merge(&a)
		}
		s.registry.Reevaluate(s.process.clock.Now())
	}
}

func (s *quarantineSync) merge(a *announcement) {
	for _, suspect := range a.records {
		s.registry.Merge(quarantine.FromMessage(suspect, a.receivedAt), a.forward, a.receivedAt)
	}
}
