package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/feed"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
	"github.com/toucanwell/toucanwell/internal/metrics"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	// quarantineCallTimeout limits a call to the store; a failed call is retried after
	// quarantineRetryDelay.
	quarantineCallTimeout = 2 * time.Second
	quarantineRetryDelay  = 2 * time.Second
	// minReloadInterval is the minimum time between reloads from the store. During many
	// crashes, second crashes of a request are frequent.
	minReloadInterval = 2 * time.Second
)

// quarantineSync exchanges quarantine records with the other entries and keeps the records
// of refused requests in the platform's store.
//
// An entry that starts fetches the records from another one. The store preserves them
// across a restart of all entries, after which a refused request would otherwise crash
// targets again. Records are written when a request is held, deleted when it may run again,
// and read when an entry starts and no other has them.
//
// A partitioned entry may still reach the store. It reloads the records when it has
// attributed a second crash to a request, because other entries may have refused that
// already.
type quarantineSync struct {
	process  *process
	registry *quarantine.Registry
	observer *quarantineObserver
	// reloadedAt is when the records were last reloaded after a second crash.
	reloadedAt time.Time
	// loading is set while the records are being loaded, including retries.
	loading bool
	// loaded is set once the records were loaded for the first time.
	loaded bool
	// announced holds what other entries have announced, to be merged.
	announced chan announcement
	// forwards is set while records are forwarded.
	forwards atomic.Bool
}

func newQuarantineSync(p *process) *quarantineSync {
	limits := p.settings.Quarantine
	observer := &quarantineObserver{logger: p.logger, routineLogger: p.routineLogger, metrics: p.metrics}
	s := &quarantineSync{process: p, observer: observer, announced: make(chan announcement, maxAnnounced), registry: quarantine.NewRegistry(quarantine.Limits{
		MaxCrashes: limits.MaxCrashes, SuspectFor: limits.SuspectFor.Duration, RefuseFor: limits.RefuseFor.Duration, MaxRecords: limits.MaxRecords, ProbationDelay: p.state.probationDelay,
	}, observer)}
	p.metrics.RegisterGauge("quarantined_requests", "Requests that are refused because crashes of targets are attributed to them.", func() float64 {
		refused, _, _ := s.registry.Count()
		return float64(refused)
	})
	p.metrics.RegisterGauge("suspect_requests", "Requests to which crashes of targets are attributed and that may still run.", func() float64 {
		_, suspects, _ := s.registry.Count()
		return float64(suspects)
	})
	p.metrics.RegisterGauge("quarantined_parts", "Parts of prompts that are refused because crashes of targets are attributed to them.", func() float64 {
		_, _, parts := s.registry.Count()
		return float64(parts)
	})
	return s
}

const (
	// probationStagger is how much later than the preceding entry an entry may start the
	// probation run of a request. By then it has received the announcement of an earlier run.
	// maxProbationDelay limits the total delay in large fleets.
	probationStagger  = 200 * time.Millisecond
	maxProbationDelay = 3 * time.Second
)

// probationDelay returns how much later than the first entry this one may start the
// probation run of a refused request.
func (c *clusterState) probationDelay(quarantine.Fingerprint) time.Duration {
	v, ok := c.view.Get()
	if !ok {
		return maxProbationDelay
	}
	return min(probationStagger*time.Duration(v.EntryRank), maxProbationDelay)
}

func (s *quarantineSync) start() {
	s.process.loop.Go(s.announceUpdates)
	s.process.loop.Go(s.mergeAnnounced)
	s.process.loop.Post(func() { s.loadFirst(s.process.clock.Now()) })
	newQuarantineReconciler(s).start()
}

// reload loads the records from the store, unless this was done recently.
func (s *quarantineSync) reload() {
	now := s.process.clock.Now()
	if !s.loading && now.Sub(s.reloadedAt) > minReloadInterval {
		s.reloadedAt = now
		s.load()
	}
}

// load loads the stored records and retries until it succeeds.
func (s *quarantineSync) load() {
	p := s.process
	s.loading = true
	start := time.Now()
	control.Do(p.loop, quarantineCallTimeout, p.platform.QuarantineRecords, func(records [][]byte, err error) {
		p.metrics.StoreCall(topicQuarantine, time.Since(start), err)
		if err == nil {
			s.finishLoading(records)
			return
		}
		p.logger.Info("quarantine_not_read", "error", err.Error())
		p.loop.Go(func(ctx context.Context) {
			if sleep.For(ctx, p.loop.Jitter(quarantineRetryDelay)) {
				p.loop.Post(s.load)
			}
		})
	})
}

const (
	// firstLoadRetry is the pause between two attempts to load the records from a peer at the start.
	firstLoadRetry = 100 * time.Millisecond
	// peerLoadTimeout limits one attempt.
	peerLoadTimeout = 300 * time.Millisecond
)

// loadFirst loads the records at the start of the process: from an entry that has them, which spares
// the store when many entries start, or else from the store.
func (s *quarantineSync) loadFirst(startedAt time.Time) {
	state := s.process.state
	s.loading = true
	wait := restartPeerWait
	if state.settings.FirstStart {
		wait = maxPeerWait
	}
	if state.isSeed() || s.process.clock.Now().Sub(startedAt) > wait {
		s.load()
		return
	}
	peer, ok := state.mesh.AnyEntry()
	control.Do(s.process.loop, peerLoadTimeout, func(ctx context.Context) (mesh.TopicPage, error) {
		if !ok {
			return mesh.TopicPage{}, nil
		}
		return mesh.Fetch(ctx, state.peers, peer, topicQuarantine, feed.Position{})
	}, func(page mesh.TopicPage, err error) {
		if err == nil && page.End > 0 {
			s.process.logger.Info("quarantine_fetched", "peer", peer, "records", len(page.Records))
			s.finishLoading(page.Values())
			return
		}
		s.process.loop.Go(func(ctx context.Context) {
			if sleep.For(ctx, firstLoadRetry) {
				s.process.loop.Post(func() { s.loadFirst(startedAt) })
			}
		})
	})
}

func (s *quarantineSync) finishLoading(records [][]byte) {
	s.loading, s.loaded = false, true
	s.restoreAll(records)
}

// page returns all records for an entry that starts; ok is false before this one has loaded them.
func (s *quarantineSync) page() (page mesh.TopicPage, ok bool) {
	if !s.loaded {
		return mesh.TopicPage{}, false
	}
	now := s.process.clock.Now()
	page.End, page.Full = 1, true
	for _, r := range s.registry.List(now) {
		m := quarantine.ToMessage(&r.Record, now)
		m.WrittenUnixMs = time.Now().UnixMilli()
		data, err := proto.Marshal(m)
		if err != nil {
			s.process.logger.Error(err, "quarantine_not_sent", "print", r.Fingerprint)
			continue
		}
		page.Records = append(page.Records, feed.Record{Key: r.Fingerprint.String(), Value: data})
	}
	return page, true
}

// restoreAll merges the stored records. The first entry and the seeds, which read the store when
// they start, delete expired ones from it, which would otherwise keep them forever.
func (s *quarantineSync) restoreAll(records [][]byte) {
	restored, dropped := 0, 0
	for _, data := range records {
		m := &peerv1.Suspect{}
		if err := proto.Unmarshal(data, m); err != nil {
			s.process.logger.Info("quarantine_record_refused", "bytes", len(data), "error", err.Error())
			continue
		}
		if s.restore(m) {
			restored++
			continue
		}
		age := time.Since(time.UnixMilli(m.WrittenUnixMs))
		if dropped < maxDropped && age > s.process.settings.Quarantine.RefuseFor.Duration && s.removesExpired() {
			dropped++
			s.store(quarantine.Fingerprint(m.Print), true)
		}
	}
	s.process.logger.Info("quarantine_read", "records", len(records), "in_force", restored, "dropped", dropped)
}

func (s *quarantineSync) removesExpired() bool {
	return s.process.state.isSeed() || s.process.state.entryRank() == 0
}

// maxDropped limits the deletions after one load.
const maxDropped = 16

// topicQuarantine is the topic's name in logs and metrics.
const topicQuarantine = "quarantine"

// restore merges a stored record and reports whether it was new. Its age is computed from
// wall clocks; their skew is small compared to the retention time.
func (s *quarantineSync) restore(m *peerv1.Suspect) bool {
	elapsed := uint64(max(time.Now().UnixMilli()-m.WrittenUnixMs, 0))
	m.RenewedAgeMs += elapsed
	for _, e := range m.Ends {
		e.AgeMs += elapsed
	}
	m.Trial, m.TrialTarget, m.Unconfirmed = 0, 0, nil
	now := s.process.clock.Now()
	return s.registry.Merge(quarantine.FromMessage(m, now), false, now)
}

// storeFindings stores the records of requests that have been held or refused since the
// last call, and deletes those of requests that may run again. Findings that do not result
// from a crash seen by this process are stored by the first entry only.
func (s *quarantineSync) storeFindings() {
	for _, change := range s.observer.takeChanges() {
		s.process.loop.Post(func() {
			if !change.remote || s.process.state.entryRank() == 0 {
				s.store(change.fingerprint, change.released)
			}
		})
	}
}

// store writes a request's record to the store, or deletes it.
func (s *quarantineSync) store(fingerprint quarantine.Fingerprint, drop bool) {
	p := s.process
	var data []byte
	if r, ok := s.registry.Get(fingerprint); ok && !drop {
		m := quarantine.ToMessage(&r, p.clock.Now())
		m.WrittenUnixMs = time.Now().UnixMilli()
		var err error
		if data, err = proto.Marshal(m); err != nil {
			p.logger.Error(err, "quarantine_not_kept", "print", fingerprint)
			return
		}
	}
	start := time.Now()
	control.Do(p.loop, quarantineCallTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, p.platform.StoreQuarantineRecord(ctx, fingerprint.String(), data)
	}, func(_ struct{}, err error) {
		p.metrics.StoreCall(topicQuarantine, time.Since(start), err)
		if err == nil {
			p.logger.Info("quarantine_kept", "print", fingerprint, "dropped", len(data) == 0)
			return
		}
		p.logger.Info("quarantine_not_kept", "print", fingerprint, "error", err.Error())
		p.loop.Go(func(ctx context.Context) {
			if sleep.For(ctx, p.loop.Jitter(quarantineRetryDelay)) {
				p.loop.Post(func() { s.storeCurrent(fingerprint) })
			}
		})
	})
}

// storeCurrent writes or deletes a record according to the current finding, which may have
// changed since the call that failed.
func (s *quarantineSync) storeCurrent(fingerprint quarantine.Fingerprint) {
	status := s.registry.Status(fingerprint, s.process.clock.Now())
	s.store(fingerprint, status.Verdict < quarantine.Held)
}

// release releases a request from quarantine on all entries.
func (s *quarantineSync) release(fingerprint quarantine.Fingerprint) bool {
	released := s.registry.Release(fingerprint, s.process.clock.Now())
	if released {
		s.process.loop.Post(func() { s.store(fingerprint, true) })
	}
	return released
}

// quarantineObserver logs the decisions of the registry and collects the findings to store.
type quarantineObserver struct {
	logger, routineLogger logr.Logger
	metrics               *metrics.Metrics

	mu      sync.Mutex
	changes []findingChange
	// secondCrash is set when this process has attributed a second crash to a request.
	secondCrash bool
}

// findingChange is a request with a new finding.
type findingChange struct {
	fingerprint quarantine.Fingerprint
	// remote is set if the finding does not result from a crash seen by this process, released
	// if the request may run again.
	remote, released bool
}

// Blamed implements quarantine.Observer.
func (o *quarantineObserver) CrashAttributed(r *quarantine.Record, e quarantine.Crash, remote bool) {
	log, event := o.logger, "request_blamed"
	if remote {
		log, event = o.routineLogger, "request_crash_reported"
	}
	o.metrics.CrashAttributed(remote)
	if !remote && len(r.Crashes) == 2 {
		o.mu.Lock()
		o.secondCrash = true
		o.mu.Unlock()
	}
	log.Info(event, "print", r.Fingerprint, "part", r.Part, "ends", len(r.Crashes), "step", e.Step, "target_id", uint32(e.Target), "workspace", r.Workspace, "route", r.Route, "generation", r.Generation)
}

// CrashSuspected implements quarantine.Observer.
func (o *quarantineObserver) CrashSuspected(r *quarantine.Record, u quarantine.UnconfirmedCrash) {
	o.logger.Info("request_suspected", "print", r.Fingerprint, "part", r.Part, "ends", len(r.Crashes), "unconfirmed", len(r.Unconfirmed), "step", u.Step, "target_id", uint32(u.Target), "workspace", r.Workspace, "route", r.Route)
}

// CrashDismissed implements quarantine.Observer.
func (o *quarantineObserver) CrashDismissed(r *quarantine.Record, u quarantine.UnconfirmedCrash) {
	o.logger.Info("suspicion_dismissed", "print", r.Fingerprint, "part", r.Part, "ends", len(r.Crashes), "target_id", uint32(u.Target))
}

// findingEvents are the log events of findings.
var findingEvents = map[quarantine.Finding]string{0: "request_not_quarantined", quarantine.MustWait: "request_held", quarantine.MustNotRun: "request_quarantined"}

// Judged implements quarantine.Observer. The record is stored when the request is first
// held, not when it is refused a moment later, so that a restart of all entries in between
// does not lose it.
func (o *quarantineObserver) FindingChanged(r *quarantine.Record, before, now quarantine.Finding, a quarantine.Assessment, remote bool) {
	o.logger.Info(findingEvents[now], "print", r.Fingerprint, "part", r.Part, "ends", len(r.Crashes), "served", r.Served, "workspace", r.Workspace, "route", r.Route, "told", remote,
		"unexplained", a.Crashes, "steps", a.Steps, "needed", a.NeededCrashes, "exempt_served", a.ExemptServed, "others", a.OtherCrashes, "others_beside", a.ConcurrentCrashes, "coincidence", a.Coincidence, "chance", a.Chance)
	if before == quarantine.MustWait && now == quarantine.MustNotRun {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes = append(o.changes, findingChange{r.Fingerprint, remote, now == 0})
}

// takeChanges returns the new findings since the last call.
func (o *quarantineObserver) takeChanges() []findingChange {
	o.mu.Lock()
	defer o.mu.Unlock()
	changes := o.changes
	o.changes = nil
	return changes
}

// takeSecondCrash reports whether this process has attributed a second crash to a request
// since the last call.
func (o *quarantineObserver) takeSecondCrash() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := o.secondCrash
	o.secondCrash = false
	return seen
}

// Cleared implements quarantine.Observer.
func (o *quarantineObserver) Cleared(r *quarantine.Record) {
	o.routineLogger.Info("request_cleared", "print", r.Fingerprint, "part", r.Part, "ends", len(r.Crashes), "served", r.Served)
}

// Released implements quarantine.Observer.
func (o *quarantineObserver) Released(r *quarantine.Record, remote bool) {
	o.logger.Info("request_released", "print", r.Fingerprint, "part", r.Part, "told", remote, "generation", r.Generation, "workspace", r.Workspace, "route", r.Route)
}

// Probation implements quarantine.Observer. The run is stored before it can crash its
// target, so that it is not repeated after a restart of all entries.
func (o *quarantineObserver) ProbationStarted(r *quarantine.Record) {
	o.logger.Info("request_on_probation", "print", r.Fingerprint, "part", r.Part, "ends", len(r.Crashes), "probations", r.Probations, "pardoned", r.PardonedProbations, "workspace", r.Workspace, "route", r.Route)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes = append(o.changes, findingChange{fingerprint: r.Fingerprint})
}

// Evicted implements quarantine.Observer.
func (o *quarantineObserver) Evicted(r *quarantine.Record) {
	o.metrics.SuspectEvicted()
	o.routineLogger.Info("suspect_evicted", "print", r.Fingerprint, "part", r.Part, "ends", len(r.Crashes))
}
