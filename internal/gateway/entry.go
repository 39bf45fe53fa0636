package gateway

import (
	"net/http"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/forward"
	"github.com/toucanwell/toucanwell/internal/gateway/health"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
)

// maxFacts is how many facts about parts one heartbeat holds. A fact takes 22
// bytes; with the rest a heartbeat stays within one packet.
const maxFacts = 30

// entry is the role that takes callers' requests.
type entry struct {
	beliefs   *beliefs
	ledger    *ledger.Ledger
	parts     *parts.Book
	health    *health.Book
	pool      *upstream.Pool
	forwarder *forward.Forwarder
}

func newEntry(p *process) *entry {
	e := &entry{beliefs: p.beliefs, ledger: ledger.New(), parts: parts.NewBook()}
	e.health = health.NewBook(func(instance string, until time.Time, failures, others float64, outcome health.Outcome) {
		p.logger.Info("target_rested", "target", instance, "for", until.Sub(p.clock.Now()), "failures", failures, "others", others, "outcome", int(outcome))
	})
	e.pool = upstream.NewPool(p.metrics.Connection)
	e.forwarder = forward.New(forward.Deps{
		Protocol: p.platform.Protocol(), View: e.currentView, Pool: e.pool, Ledger: e.ledger, Parts: e.parts, Health: e.health,
		Bounds: forward.Bounds{
			RetryRatio: p.settings.Bounds.RetryRatio, RetrySlack: p.settings.Bounds.RetrySlack, Version: p.settings.Bounds.Weights.Duration,
		},
		Zone: p.settings.AvailabilityZone, Logger: p.logger, Metrics: p.metrics, TellWork: e.tellWork, Now: p.clock.Now, Seed: p.settings.seed(),
	})
	return e
}

func (e *entry) currentView() (*view.View, bool) { return e.beliefs.view.Get() }

// ready reports whether the entry can serve callers.
func (e *entry) ready() bool {
	v, ok := e.currentView()
	return ok && v.Estate != nil && len(v.Targets) > 0 && !v.Stopping
}

// compose adds to a heartbeat what other entries want to know.
func (e *entry) compose(beat *peerv1.Beat) {
	for target, w := range e.ledger.Own(e.beliefs.clock.Now()) {
		beat.Loads = append(beat.Loads, loadOf(target, w))
	}
	for _, f := range e.parts.TakeFresh(maxFacts) {
		beat.Parts = append(beat.Parts, &peerv1.PartHeld{Part: uint64(f.Part), Target: f.Target, Done: f.Done})
	}
}

// tellWork tells the other entries at once of this entry's work at a target.
func (e *entry) tellWork(target uint64) {
	e.beliefs.loop.Post(func() {
		e.beliefs.mesh.TellEntries(func(beat *peerv1.Beat) {
			beat.Partial = true
			beat.Loads = []*peerv1.TargetLoad{loadOf(target, e.ledger.OwnAt(target, e.beliefs.clock.Now()))}
		})
	})
}

func loadOf(target uint64, w ledger.Work) *peerv1.TargetLoad {
	return &peerv1.TargetLoad{
		Target: target, Running: uint32(max(w.Running, 0)), ReadingMs: uint32(w.Reading.Milliseconds()),
		ReadingLateMs: uint32(w.ReadingLate.Milliseconds()), MemoryTokens: uint32(max(w.Memory, 0)),
	}
}

func (e *entry) heard(m *mesh.Member) {
	now := e.beliefs.clock.Now()
	if m.Entry {
		e.ledger.Told(m.Address, loadsOf(m.Beat), m.Beat.Partial, now)
		for _, p := range m.Beat.Parts {
			e.parts.Told(parts.Fact{Part: parts.Key(p.Part), Target: p.Target, Done: p.Done}, now)
		}
	}
	if e.beliefs.hearEngine(m) {
		e.beliefs.post()
	}
}

func loadsOf(beat *peerv1.Beat) map[uint64]ledger.Work {
	loads := make(map[uint64]ledger.Work, len(beat.Loads))
	for _, l := range beat.Loads {
		loads[l.Target] = ledger.Work{Running: int(l.Running), Reading: time.Duration(l.ReadingMs) * time.Millisecond,
			ReadingLate: time.Duration(l.ReadingLateMs) * time.Millisecond, Memory: int(l.MemoryTokens)}
	}
	return loads
}

// readyHandler answers the balancer.
func (e *entry) readyHandler(path string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
		if e.ready() {
			w.WriteHeader(http.StatusOK)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	return mux
}
