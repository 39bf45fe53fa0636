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
	// suspectsGather is how long news of suspects is gathered before it is told: all that a
	// target worked on breaks off within some milliseconds.
	suspectsGather = 5 * time.Millisecond
	// suspectsBytes is the most that a datagram holds of them, beside the rest of a partial
	// heartbeat.
	suspectsBytes = 1100
	// suspectsRoom is left free of them in a whole heartbeat.
	suspectsRoom = 100
	// suspectsTold is how many are looked at for each heartbeat.
	suspectsTold = 8
	// suspectsTimeout bounds a call of the store, and suspectsAgain is when one that failed
	// is made again.
	suspectsTimeout = 2 * time.Second
	suspectsAgain   = 2 * time.Second
	// suspectsPause is the least time between two looks into the store: in a storm of
	// crashes some requests meet a second end all the time.
	suspectsPause = 2 * time.Second
)

// suspects tells the other entries of requests under which targets ended, hears of theirs,
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
type suspects struct {
	process *process
	book    *quarantine.Registry
	watch   *suspectWatch
	// lookedAt is when the store was read last for a second end.
	lookedAt time.Time
	// loading is set while the store is read, or is to be read again after a failure.
	loading bool
}

func newSuspects(p *process) *suspects {
	limits := p.settings.Quarantine
	watch := &suspectWatch{logger: p.logger, ordinary: p.ordinary, metrics: p.metrics}
	s := &suspects{process: p, watch: watch, book: quarantine.NewRegistry(quarantine.Limits{
		MaxCrashes: limits.MaxCrashes, SuspectFor: limits.SuspectFor.Duration, RefuseFor: limits.RefuseFor.Duration, MaxRecords: limits.MaxRecords, ProbationDelay: p.beliefs.probationTurn,
	}, watch)}
	p.metrics.RegisterGauge("quarantined_requests", "Requests that are refused because targets ended under them.", func() float64 {
		refused, _ := s.book.Count()
		return float64(refused)
	})
	p.metrics.RegisterGauge("suspect_requests", "Requests under which targets ended and that may still run.", func() float64 {
		_, suspects := s.book.Count()
		return float64(suspects)
	})
	return s
}

const (
	// turnTime is by how much later than the entry before it one may put a refused request on
	// probation: by then it has been told of that one's. longestTurn bounds it in fleets of
	// hundreds.
	turnTime    = 200 * time.Millisecond
	longestTurn = 3 * time.Second
)

// probationTurn is how much later than the first entry this one may put a refused request
// on probation.
func (b *beliefs) probationTurn(quarantine.Fingerprint) time.Duration {
	v, ok := b.view.Get()
	if !ok {
		return longestTurn
	}
	return min(turnTime*time.Duration(v.EntryRank), longestTurn)
}

func (s *suspects) start() {
	s.process.loop.Go(s.tellNews)
	s.load()
}

// tellNews tells the other entries what is new.
func (s *suspects) tellNews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.book.Updates():
		}
		if !sleep.For(ctx, suspectsGather) {
			return
		}
		s.process.loop.Post(s.tell)
		s.keepJudged()
		if s.watch.takeSecondEnd() {
			s.process.loop.Post(s.lookAgain)
		}
	}
}

func (s *suspects) tell() {
	var batch []*peerv1.Suspect
	size := 0
	flush := func() {
		if len(batch) > 0 {
			s.process.beliefs.mesh.BroadcastToEntries(func(beat *peerv1.Beat) { beat.Suspects = batch })
		}
		batch, size = nil, 0
	}
	now := s.process.clock.Now()
	for {
		records := s.book.TakeUpdates(1)
		if len(records) == 0 {
			break
		}
		m := quarantine.ToMessage(&records[0], now)
		if size += proto.Size(m); size > suspectsBytes {
			flush()
			size = proto.Size(m)
		}
		batch = append(batch, m)
	}
	flush()
}

// compose adds some of the records to a heartbeat, in turn: what was lost is told again.
func (s *suspects) compose(beat *peerv1.Beat) {
	now := s.process.clock.Now()
	room := mesh.MaxDatagram - suspectsRoom - proto.Size(beat)
	for _, r := range s.book.NextToAnnounce(suspectsTold, now) {
		m := quarantine.ToMessage(&r, now)
		if room -= proto.Size(m); room < 0 {
			return
		}
		beat.Suspects = append(beat.Suspects, m)
	}
}

// heard takes in what another entry knows. In fleets in which an entry does not reach all
// others at once, each passes news on: all know after a few hops.
func (s *suspects) heard(m *mesh.Member) {
	now := s.process.clock.Now()
	passOn := len(m.Heartbeat.Suspects) > 0 && len(s.process.beliefs.mesh.Live(true)) > mesh.FanOut
	for _, told := range m.Heartbeat.Suspects {
		s.book.Merge(quarantine.FromMessage(told, now), passOn, now)
	}
	s.book.Reevaluate(now)
}

// lookAgain reads the store when that was not done lately.
func (s *suspects) lookAgain() {
	now := s.process.clock.Now()
	if !s.loading && now.Sub(s.lookedAt) > suspectsPause {
		s.lookedAt = now
		s.load()
	}
}

// load reads what is refused, until it has.
func (s *suspects) load() {
	p := s.process
	s.loading = true
	began := time.Now()
	control.Do(p.loop, suspectsTimeout, p.platform.QuarantineRecords, func(records [][]byte, err error) {
		p.metrics.StoreCall(topicQuarantine, time.Since(began), err)
		if err == nil {
			s.loading = false
			s.restoreAll(records)
			return
		}
		p.logger.Info("quarantine_not_read", "error", err.Error())
		p.loop.Go(func(ctx context.Context) {
			if sleep.For(ctx, p.loop.Jitter(suspectsAgain)) {
				p.loop.Post(s.load)
			}
		})
	})
}

// restoreAll takes in the stored records. Those that are too old are dropped from the store
// by one entry: the store keeps the newest record of a key for ever.
func (s *suspects) restoreAll(records [][]byte) {
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
		if dropped < mostDropped && age > s.process.settings.Quarantine.RefuseFor.Duration && s.process.beliefs.entriesBefore() == 0 {
			dropped++
			s.keep(quarantine.Fingerprint(m.Print), true)
		}
	}
	s.process.logger.Info("quarantine_read", "records", len(records), "in_force", taken, "dropped", dropped)
}

// mostDropped bounds the calls of the store after one read of it.
const mostDropped = 16

// topicQuarantine is the name of the topic in logs and metrics.
const topicQuarantine = "quarantine"

// restore takes in a stored record and reports whether it was news. Its ages are counted by
// wall clocks, which differ by seconds: records are kept for hours.
func (s *suspects) restore(m *peerv1.Suspect) bool {
	since := uint64(max(time.Now().UnixMilli()-m.WrittenUnixMs, 0))
	m.RenewedAgeMs += since
	for _, e := range m.Ends {
		e.AgeMs += since
	}
	m.Trial, m.TrialTarget = 0, 0
	now := s.process.clock.Now()
	return s.book.Merge(quarantine.FromMessage(m, now), false, now)
}

// keepJudged writes the records of requests that may not run any more since the last call,
// and drops those of requests that may again. Where no end that this process saw led to
// that, one entry does.
func (s *suspects) keepJudged() {
	for _, j := range s.watch.take() {
		s.process.loop.Post(func() {
			if !j.told || s.process.beliefs.entriesBefore() == 0 {
				s.keep(j.print, j.free)
			}
		})
	}
}

// keep writes a request's record, or drops the one that stands.
func (s *suspects) keep(print quarantine.Fingerprint, drop bool) {
	p := s.process
	var text []byte
	if r, ok := s.book.Get(print); ok && !drop {
		m := quarantine.ToMessage(&r, p.clock.Now())
		m.WrittenUnixMs = time.Now().UnixMilli()
		var err error
		if text, err = proto.Marshal(m); err != nil {
			p.logger.Error(err, "quarantine_not_kept", "print", print)
			return
		}
	}
	began := time.Now()
	control.Do(p.loop, suspectsTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, p.platform.StoreQuarantineRecord(ctx, print.String(), text)
	}, func(_ struct{}, err error) {
		p.metrics.StoreCall(topicQuarantine, time.Since(began), err)
		if err == nil {
			p.logger.Info("quarantine_kept", "print", print, "dropped", len(text) == 0)
			return
		}
		p.logger.Info("quarantine_not_kept", "print", print, "error", err.Error())
		p.loop.Go(func(ctx context.Context) {
			if sleep.For(ctx, p.loop.Jitter(suspectsAgain)) {
				p.loop.Post(func() { s.keepNow(print) })
			}
		})
	})
}

// keepNow writes or drops a record by what is found now: a call that failed may be
// overtaken by the next finding.
func (s *suspects) keepNow(print quarantine.Fingerprint) {
	standing := s.book.Status(print, s.process.clock.Now())
	s.keep(print, standing.Verdict < quarantine.Held)
}

// release lets a request go, here and everywhere.
func (s *suspects) release(print quarantine.Fingerprint) bool {
	released := s.book.Release(print, s.process.clock.Now())
	if released {
		s.process.loop.Post(func() { s.keep(print, true) })
	}
	return released
}

// suspectWatch writes down what the book decides.
type suspectWatch struct {
	logger, ordinary logr.Logger
	metrics          *metrics.Metrics

	mu     sync.Mutex
	judged []judgedRequest
	// secondEnd is set when a request met its second end here.
	secondEnd bool
}

// judgedRequest is a request for which another finding holds than before.
type judgedRequest struct {
	print quarantine.Fingerprint
	// told is set when no end that this process saw led to it, free when it may run again.
	told, free bool
}

// CrashAttributed implements quarantine.Observer.
func (w *suspectWatch) CrashAttributed(r *quarantine.Record, e quarantine.Crash, told bool) {
	log, event := w.logger, "request_blamed"
	if told {
		log, event = w.ordinary, "request_blame_told"
	}
	w.metrics.CrashAttributed(told)
	if !told && len(r.Crashes) == 2 {
		w.mu.Lock()
		w.secondEnd = true
		w.mu.Unlock()
	}
	log.Info(event, "print", r.Fingerprint, "ends", len(r.Crashes), "step", e.Step, "target_id", uint32(e.Target), "workspace", r.Workspace, "route", r.Route, "generation", r.Generation)
}

// findingEvents are the log lines of findings.
var findingEvents = map[quarantine.Finding]string{0: "request_not_quarantined", quarantine.MustWait: "request_held", quarantine.MustNotRun: "request_quarantined"}

// FindingChanged implements quarantine.Observer. A request that must wait is written already: should
// all entries end within the second until it is refused, it would end three targets more.
func (w *suspectWatch) FindingChanged(r *quarantine.Record, before, now quarantine.Finding, told bool) {
	w.logger.Info(findingEvents[now], "print", r.Fingerprint, "ends", len(r.Crashes), "served", r.Served, "workspace", r.Workspace, "route", r.Route, "told", told)
	if before == quarantine.MustWait && now == quarantine.MustNotRun {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.judged = append(w.judged, judgedRequest{r.Fingerprint, told, now == 0})
}

// take returns the requests that were judged anew since the last call.
func (w *suspectWatch) take() []judgedRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	judged := w.judged
	w.judged = nil
	return judged
}

// takeSecondEnd reports whether a request met its second end here since the last call.
func (w *suspectWatch) takeSecondEnd() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	met := w.secondEnd
	w.secondEnd = false
	return met
}

// Cleared implements quarantine.Observer.
func (w *suspectWatch) Cleared(r *quarantine.Record) {
	w.ordinary.Info("request_cleared", "print", r.Fingerprint, "ends", len(r.Crashes), "served", r.Served)
}

// Released implements quarantine.Observer.
func (w *suspectWatch) Released(r *quarantine.Record, told bool) {
	w.logger.Info("request_released", "print", r.Fingerprint, "told", told, "generation", r.Generation, "workspace", r.Workspace, "route", r.Route)
}

// ProbationStarted implements quarantine.Observer. The run is written down before it may end its
// target: should all entries end with it, they would begin as many anew.
func (w *suspectWatch) ProbationStarted(r *quarantine.Record) {
	w.logger.Info("request_on_probation", "print", r.Fingerprint, "ends", len(r.Crashes), "probations", r.Probations, "pardoned", r.PardonedProbations, "workspace", r.Workspace, "route", r.Route)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.judged = append(w.judged, judgedRequest{print: r.Fingerprint})
}

// Evicted implements quarantine.Observer.
func (w *suspectWatch) Evicted(r *quarantine.Record) {
	w.metrics.SuspectEvicted()
	w.ordinary.Info("suspect_evicted", "print", r.Fingerprint, "ends", len(r.Crashes))
}
