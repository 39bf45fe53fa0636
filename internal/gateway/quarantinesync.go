package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
	"github.com/toucanwell/toucanwell/internal/metrics"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	// suspectBatchDelay is how long news of suspects is gathered before it is told: all that a
	// target worked on breaks off within some milliseconds.
	suspectBatchDelay = 5 * time.Millisecond
	// maxSuspectBytes is the most that a datagram holds of them, beside the rest of a partial
	// heartbeat.
	maxSuspectBytes = 1100
	// suspectReserve is left free of them in a whole heartbeat.
	suspectReserve = 100
	// suspectsPerHeartbeat is how many are looked at for each heartbeat.
	suspectsPerHeartbeat = 8
	// quarantineCallTimeout bounds a call of the store, and suspectsAgain is when one that failed
	// is made again.
	quarantineCallTimeout = 2 * time.Second
	quarantineRetryDelay  = 2 * time.Second
	// minReloadInterval is the least time between two looks into the store: in a storm of
	// crashes some requests meet a second end all the time.
	minReloadInterval = 2 * time.Second
)

// quarantineSync tells the other entries of requests under which targets ended, hears of theirs,
// and keeps those that are refused in the platform's store.
//
// # Why the store
//
// The others tell an entry that starts. When all entries start anew at once nobody knows
// anything, and a request that was refused would end three targets more. A record is
// written when a request is held, and dropped when it may run again, which is seldom, and all are read once at
// an entry's start.
//
// An entry that hears nothing of the others may still reach the store. It looks there
// again when a request has met its second end here: the others may have refused it.
type quarantineSync struct {
	process  *process
	registry *quarantine.Book
	observer *quarantineObserver
	// reloadedAt is when the store was read last for a second end.
	reloadedAt time.Time
	// loading is set while the store is read, or is to be read again after a failure.
	loading bool
}

func newQuarantineSync(p *process) *quarantineSync {
	limits := p.settings.Quarantine
	watch := &quarantineObserver{logger: p.logger, routineLogger: p.routineLogger, metrics: p.metrics}
	s := &quarantineSync{process: p, observer: watch, registry: quarantine.NewBook(quarantine.Limits{
		Ends: limits.MaxCrashes, SuspectFor: limits.SuspectFor.Duration, HoldFor: limits.RefuseFor.Duration, Records: limits.MaxRecords, Turn: p.state.probationDelay,
	}, watch)}
	p.metrics.Gauge("quarantined_requests", "Requests that are refused because targets ended under them.", func() float64 {
		refused, _ := s.registry.Count()
		return float64(refused)
	})
	p.metrics.Gauge("suspect_requests", "Requests under which targets ended and that may still run.", func() float64 {
		_, suspects := s.registry.Count()
		return float64(suspects)
	})
	return s
}

const (
	// probationStagger is by how much later than the entry before it one may put a refused request on
	// probation: by then it has been told of that one's. longestTurn bounds it in fleets of
	// hundreds.
	probationStagger  = 200 * time.Millisecond
	maxProbationDelay = 3 * time.Second
)

// probationDelay is how much later than the first entry this one may put a refused request
// on probation.
func (b *clusterState) probationDelay(quarantine.Print) time.Duration {
	v, ok := b.view.Get()
	if !ok {
		return maxProbationDelay
	}
	return min(probationStagger*time.Duration(v.EntriesBefore), maxProbationDelay)
}

func (s *quarantineSync) start() {
	s.process.loop.Go(s.announceUpdates)
	s.load()
}

// announceUpdates tells the other entries what is new.
func (s *quarantineSync) announceUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.registry.News():
		}
		if !sleep.For(ctx, suspectBatchDelay) {
			return
		}
		s.process.loop.Post(s.announce)
		s.storeFindings()
		if s.observer.takeSecondCrash() {
			s.process.loop.Post(s.reload)
		}
	}
}

func (s *quarantineSync) announce() {
	var batch []*peerv1.Suspect
	size := 0
	flush := func() {
		if len(batch) > 0 {
			s.process.state.mesh.TellEntries(func(beat *peerv1.Beat) { beat.Suspects = batch })
		}
		batch, size = nil, 0
	}
	now := s.process.clock.Now()
	for {
		records := s.registry.TakeFresh(1)
		if len(records) == 0 {
			break
		}
		m := quarantine.Message(&records[0], now)
		if size += proto.Size(m); size > maxSuspectBytes {
			flush()
			size = proto.Size(m)
		}
		batch = append(batch, m)
	}
	flush()
}

// compose adds some of the records to a heartbeat, in turn: what was lost is told again.
func (s *quarantineSync) compose(beat *peerv1.Beat) {
	now := s.process.clock.Now()
	room := mesh.MaxDatagram - suspectReserve - proto.Size(beat)
	for _, r := range s.registry.Next(suspectsPerHeartbeat, now) {
		m := quarantine.Message(&r, now)
		if room -= proto.Size(m); room < 0 {
			return
		}
		beat.Suspects = append(beat.Suspects, m)
	}
}

// onHeartbeat takes in what another entry knows. In fleets in which an entry does not reach all
// others at once, each passes news on: all know after a few hops.
func (s *quarantineSync) onHeartbeat(m *mesh.Member) {
	now := s.process.clock.Now()
	passOn := len(m.Beat.Suspects) > 0 && len(s.process.state.mesh.Live(true)) > mesh.FanOut
	for _, told := range m.Beat.Suspects {
		s.registry.Merge(quarantine.FromMessage(told, now), passOn, now)
	}
	s.registry.Settle(now)
}

// reload reads the store when that was not done lately.
func (s *quarantineSync) reload() {
	now := s.process.clock.Now()
	if !s.loading && now.Sub(s.reloadedAt) > minReloadInterval {
		s.reloadedAt = now
		s.load()
	}
}

// load reads what is refused, until it has.
func (s *quarantineSync) load() {
	p := s.process
	s.loading = true
	began := time.Now()
	control.Do(p.loop, quarantineCallTimeout, p.platform.QuarantineRecords, func(records [][]byte, err error) {
		p.metrics.StoreCall(topicQuarantine, time.Since(began), err)
		if err == nil {
			s.loading = false
			s.restoreAll(records)
			return
		}
		p.logger.Info("quarantine_not_read", "error", err.Error())
		p.loop.Go(func(ctx context.Context) {
			if sleep.For(ctx, p.loop.Spread(quarantineRetryDelay)) {
				p.loop.Post(s.load)
			}
		})
	})
}

// restoreAll takes in the stored records. Those that are too old are dropped from the store
// by one entry: the store keeps the newest record of a key for ever.
func (s *quarantineSync) restoreAll(records [][]byte) {
	taken, dropped := 0, 0
	for _, text := range records {
		m := &peerv1.Suspect{}
		if err := proto.Unmarshal(text, m); err != nil {
			s.process.logger.Info("quarantine_record_refused", "bytes", len(text), "error", err.Error())
			continue
		}
		if s.restore(m) {
			taken++
			continue
		}
		age := time.Since(time.UnixMilli(m.WrittenUnixMs))
		if dropped < maxDropped && age > s.process.settings.Quarantine.RefuseFor.Duration && s.process.state.entryRank() == 0 {
			dropped++
			s.store(quarantine.Print(m.Print), true)
		}
	}
	s.process.logger.Info("quarantine_read", "records", len(records), "in_force", taken, "dropped", dropped)
}

// maxDropped bounds the calls of the store after one read of it.
const maxDropped = 16

// topicQuarantine is the name of the topic in logs and metrics.
const topicQuarantine = "quarantine"

// restore takes in a stored record and reports whether it was news. Its ages are counted by
// wall clocks, which differ by seconds: records are kept for hours.
func (s *quarantineSync) restore(m *peerv1.Suspect) bool {
	since := uint64(max(time.Now().UnixMilli()-m.WrittenUnixMs, 0))
	m.RenewedAgeMs += since
	for _, e := range m.Ends {
		e.AgeMs += since
	}
	m.Trial, m.TrialTarget = 0, 0
	now := s.process.clock.Now()
	return s.registry.Merge(quarantine.FromMessage(m, now), false, now)
}

// storeFindings writes the records of requests that may not run any more since the last call,
// and drops those of requests that may again. Where no end that this process saw led to
// that, one entry does.
func (s *quarantineSync) storeFindings() {
	for _, j := range s.observer.takeChanges() {
		s.process.loop.Post(func() {
			if !j.remote || s.process.state.entryRank() == 0 {
				s.store(j.fingerprint, j.released)
			}
		})
	}
}

// store writes a request's record, or drops the one that stands.
func (s *quarantineSync) store(print quarantine.Print, drop bool) {
	p := s.process
	var text []byte
	if r, ok := s.registry.Get(print); ok && !drop {
		m := quarantine.Message(&r, p.clock.Now())
		m.WrittenUnixMs = time.Now().UnixMilli()
		var err error
		if text, err = proto.Marshal(m); err != nil {
			p.logger.Error(err, "quarantine_not_kept", "print", print)
			return
		}
	}
	began := time.Now()
	control.Do(p.loop, quarantineCallTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, p.platform.StoreQuarantineRecord(ctx, print.String(), text)
	}, func(_ struct{}, err error) {
		p.metrics.StoreCall(topicQuarantine, time.Since(began), err)
		if err == nil {
			p.logger.Info("quarantine_kept", "print", print, "dropped", len(text) == 0)
			return
		}
		p.logger.Info("quarantine_not_kept", "print", print, "error", err.Error())
		p.loop.Go(func(ctx context.Context) {
			if sleep.For(ctx, p.loop.Spread(quarantineRetryDelay)) {
				p.loop.Post(func() { s.storeCurrent(print) })
			}
		})
	})
}

// storeCurrent writes or drops a record by what is found now: a call that failed may be
// overtaken by the next finding.
func (s *quarantineSync) storeCurrent(print quarantine.Print) {
	standing := s.registry.Standing(print, s.process.clock.Now())
	s.store(print, standing.Verdict < quarantine.Held)
}

// release lets a request go, here and everywhere.
func (s *quarantineSync) release(print quarantine.Print) bool {
	released := s.registry.Release(print, s.process.clock.Now())
	if released {
		s.process.loop.Post(func() { s.store(print, true) })
	}
	return released
}

// quarantineObserver writes down what the book decides.
type quarantineObserver struct {
	logger, routineLogger logr.Logger
	metrics               *metrics.Metrics

	mu      sync.Mutex
	changes []findingChange
	// secondCrash is set when a request met its second end here.
	secondCrash bool
}

// findingChange is a request for which another finding holds than before.
type findingChange struct {
	fingerprint quarantine.Print
	// remote is set when no end that this process saw led to it, released when it may run again.
	remote, released bool
}

// Blamed implements quarantine.Observer.
func (w *quarantineObserver) Blamed(r *quarantine.Record, e quarantine.End, told bool) {
	log, event := w.logger, "request_blamed"
	if told {
		log, event = w.routineLogger, "request_blame_told"
	}
	w.metrics.Blamed(told)
	if !told && len(r.Ends) == 2 {
		w.mu.Lock()
		w.secondCrash = true
		w.mu.Unlock()
	}
	log.Info(event, "print", r.Print, "ends", len(r.Ends), "step", e.Step, "target_id", uint32(e.Target), "workspace", r.Workspace, "route", r.Route, "generation", r.Generation)
}

// findingEvents are the log lines of findings.
var findingEvents = map[quarantine.Finding]string{0: "request_not_quarantined", quarantine.MustWait: "request_held", quarantine.MustNotRun: "request_quarantined"}

// Judged implements quarantine.Observer. A request that must wait is written already: should
// all entries end within the second until it is refused, it would end three targets more.
func (w *quarantineObserver) Judged(r *quarantine.Record, before, now quarantine.Finding, told bool) {
	w.logger.Info(findingEvents[now], "print", r.Print, "ends", len(r.Ends), "served", r.Served, "workspace", r.Workspace, "route", r.Route, "told", told)
	if before == quarantine.MustWait && now == quarantine.MustNotRun {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.changes = append(w.changes, findingChange{r.Print, told, now == 0})
}

// takeChanges returns the requests that were judged anew since the last call.
func (w *quarantineObserver) takeChanges() []findingChange {
	w.mu.Lock()
	defer w.mu.Unlock()
	judged := w.changes
	w.changes = nil
	return judged
}

// takeSecondCrash reports whether a request met its second end here since the last call.
func (w *quarantineObserver) takeSecondCrash() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	met := w.secondCrash
	w.secondCrash = false
	return met
}

// Cleared implements quarantine.Observer.
func (w *quarantineObserver) Cleared(r *quarantine.Record) {
	w.routineLogger.Info("request_cleared", "print", r.Print, "ends", len(r.Ends), "served", r.Served)
}

// Released implements quarantine.Observer.
func (w *quarantineObserver) Released(r *quarantine.Record, told bool) {
	w.logger.Info("request_released", "print", r.Print, "told", told, "generation", r.Generation, "workspace", r.Workspace, "route", r.Route)
}

// Probation implements quarantine.Observer. The run is written down before it may end its
// target: should all entries end with it, they would begin as many anew.
func (w *quarantineObserver) Probation(r *quarantine.Record) {
	w.logger.Info("request_on_probation", "print", r.Print, "ends", len(r.Ends), "probations", r.Probations, "pardoned", r.Pardoned, "workspace", r.Workspace, "route", r.Route)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.changes = append(w.changes, findingChange{fingerprint: r.Print})
}

// Evicted implements quarantine.Observer.
func (w *quarantineObserver) Evicted(r *quarantine.Record) {
	w.metrics.SuspectEvicted()
	w.routineLogger.Info("suspect_evicted", "print", r.Print, "ends", len(r.Ends))
}
