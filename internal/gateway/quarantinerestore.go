package gateway

import (
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/feed"
	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
)

const (
	// reconcilePeriod is how often an entry checks whether the stored records must be reconciled.
	reconcilePeriod = 250 * time.Millisecond
	// reconcileStagger is how much later than the preceding entry an entry reconciles them. It then finds
	// what that one has written.
	reconcileStagger = time.Second
	// maxReconcilers is the number of entries that reconcile the records, in case the first ones fail.
	maxReconcilers = 3
)

// quarantineReconciler writes again what the store has lost of the quarantine when it came back from a copy:
// records of refused requests, and the deletions of those that were released.
type quarantineReconciler struct {
	sync *quarantineSync
	// era is the one for which the records are up to date, dueSince when a later one became known. Both are
	// set once the process has a replica.
	era      feed.Era
	known    bool
	dueSince time.Time
	reading  bool
}

func newQuarantineReconciler(s *quarantineSync) *quarantineReconciler {
	return &quarantineReconciler{sync: s}
}

func (c *quarantineReconciler) start() {
	c.sync.process.loop.Every(func() time.Duration { return reconcilePeriod }, c.step)
}

// step reads the stored records if an era is new and it is this entry's turn.
func (c *quarantineReconciler) step() {
	state, now := c.sync.process.state, c.sync.process.clock.Now()
	if !c.known {
		c.era, c.known = state.era, !state.declarations.Replica().Empty()
		return
	}
	if state.era == c.era || c.reading || !c.sync.loaded {
		return
	}
	if c.dueSince.IsZero() {
		c.dueSince = now
	}
	rank := state.entryRank()
	if rank < maxReconcilers && now.Sub(c.dueSince) >= time.Duration(rank)*reconcileStagger {
		c.read(state.era)
	} else if rank >= maxReconcilers && now.Sub(c.dueSince) > maxReconcilers*reconcileStagger {
		c.done(state.era)
	}
}

func (c *quarantineReconciler) done(era feed.Era) { c.era, c.dueSince = era, time.Time{} }

// read reads the stored records and writes what they lack. It is repeated with the next step if it fails.
func (c *quarantineReconciler) read(era feed.Era) {
	c.reading = true
	p, start := c.sync.process, time.Now()
	control.Do(p.loop, quarantineCallTimeout, p.platform.QuarantineRecords, func(records [][]byte, err error) {
		c.reading = false
		p.metrics.StoreCall(topicQuarantine, time.Since(start), err)
		if err != nil {
			p.logger.Info("quarantine_not_read", "error", err.Error())
			return
		}
		stored, dropped := c.reconcile(records)
		c.done(era)
		p.logger.Info("quarantine_reconciled", "era", uint64(era), "records", len(records), "stored", stored, "dropped", dropped)
	})
}

// reconcile stores the records of requests that are held or refused and that the store lacks, and deletes
// those of requests that may run.
func (c *quarantineReconciler) reconcile(records [][]byte) (stored, dropped int) {
	registry, now := c.sync.registry, c.sync.process.clock.Now()
	known := map[quarantine.Fingerprint]*peerv1.Suspect{}
	for _, data := range records {
		m := &peerv1.Suspect{}
		if proto.Unmarshal(data, m) == nil {
			known[quarantine.Fingerprint(m.Print)] = m
		}
	}
	for _, r := range registry.List(now) {
		if r.Verdict >= quarantine.Held && lacksStored(known[r.Fingerprint], &r.Record) {
			c.sync.store(r.Fingerprint, false)
			stored++
		}
	}
	for fingerprint, m := range known {
		if r, ok := registry.Get(fingerprint); ok && r.Generation > m.Generation && registry.Status(fingerprint, now).Verdict < quarantine.Held {
			c.sync.store(fingerprint, true)
			dropped++
		}
	}
	return stored, dropped
}

// lacksStored reports whether a stored record, nil if there is none, is older than a known one.
func lacksStored(m *peerv1.Suspect, r *quarantine.Record) bool {
	return m == nil || m.Generation < r.Generation || len(m.Ends) < len(r.Crashes) || int(m.Probations) < int(r.Probations)
}
