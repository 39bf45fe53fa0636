package sidecar

import (
	"math"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/admission"
	"github.com/toucanwell/toucanwell/internal/breaker"
	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/prefix"
	"github.com/toucanwell/toucanwell/internal/probe"
)

const (
	// rateSmoothing is the weight of the newest measured prefill rate.
	rateSmoothing = 0.1
	// minRateTokens is the fewest computed tokens that say something of a rate.
	minRateTokens = 256
	// decodeShare is the part of a token's decode time that a request of a
	// full batch costs its target; it weighs long answers in fairness.
	decodeShare = 2 * time.Millisecond
)

// Work describes a request to the gate.
type GateRequest struct {
	Workspace string
	Weight    float64
	Class     config.Class
	Blocks    []uint64
	// BlockTokens is the size of a block; PromptTokens the prompt's length.
	BlockTokens  int
	PromptTokens int
	MaxTokens    int
	// Budget is the time left until the first token must be there.
	Budget time.Duration
}

// Quote is what a request would cost at this target now.
type Quote struct {
	Wait          time.Duration
	Prefill       time.Duration
	MatchedTokens int
	// Busy is the share of recent time that the target spent prefilling.
	Busy float64
}

// Gate is the state of the one way to a target: its queue, its breaker, the
// index of its cache and its measured rate. It decides and does no I/O. It is
// safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	now      func() time.Duration
	queue    *admission.Queue
	breaker  *breaker.Breaker
	index    *prefix.Index
	rate     float64
	busy     busyMeter
	draining bool
	lastID   uint64
	waiters  map[uint64]*Admission
}

// Pass is one request's way through the gate.
type Admission struct {
	gate   *Gate
	id     uint64
	work   GateRequest
	permit breaker.Permit
	// Decided receives nil when the request may start, or its refusal.
	Decided chan *errkind.Error
	// MatchedTokens and Prefill are what was expected when the request came.
	MatchedTokens int
	Prefill       time.Duration
	startedAt     time.Duration
	// expecting is set while the index counts the pass's blocks as coming.
	expecting bool
}

// NewGate returns an open gate. now counts from any start; rate is the prefill
// rate in tokens a second that is assumed until one is measured.
func NewGate(limits admission.Limits, maxBlocks int, rate float64, now func() time.Duration) *Gate {
	return &Gate{
		now:     now,
		queue:   admission.NewQueue(limits),
		breaker: breaker.New(breaker.DefaultPolicy),
		index:   prefix.NewIndex(maxBlocks),
		rate:    rate,
		waiters: map[uint64]*Admission{},
	}
}

// Drain makes the gate refuse new work as leaving.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// closedTo returns why no new work is taken, or nil. The caller holds mu.
func (g *Gate) closedTo() *errkind.Error {
	if g.draining {
		return errkind.New(errkind.Leaving, "the target is leaving")
	}
	if notBefore, blocked := g.breaker.Blocked(g.now()); blocked {
		return errkind.NewRetryAfter(errkind.BreakerOpen, notBefore-g.now(), "the target failed often")
	}
	return nil
}

// Question is what a probe asks.
type QuoteInput struct {
	// Workspace is the hash of the workspace's name.
	Workspace    uint32
	Class        config.Class
	Points       []prefix.Point
	PromptTokens int
}

// Quote answers a probe.
func (g *Gate) Quote(q QuoteInput) (Quote, *errkind.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.closedTo(); refusal != nil {
		return Quote{}, refusal
	}
	matched := min(g.index.MatchPoints(q.Points), q.PromptTokens)
	return Quote{
		Wait:          g.queue.EstimateWait(g.now(), q.Workspace, q.Class),
		Prefill:       g.prefillTime(q.PromptTokens - matched),
		MatchedTokens: matched,
		Busy:          g.busy.share(g.now(), g.queue.Prefilling() > 0),
	}, nil
}

func (g *Gate) matched(w GateRequest) int {
	return min(g.index.Match(w.Blocks)*w.BlockTokens, w.PromptTokens)
}

func (g *Gate) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / g.rate * float64(time.Second))
}

// Enter asks for admission. The answer comes on the pass's channel, at once or
// later; a refusal for leaving or an open breaker comes as the error.
func (g *Gate) Enter(w GateRequest) (*Admission, *errkind.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.closedTo(); refusal != nil {
		return nil, refusal
	}
	permit, ok, notBefore := g.breaker.Acquire(g.now())
	if !ok {
		return nil, errkind.NewRetryAfter(errkind.BreakerOpen, notBefore-g.now(), "the target failed often")
	}
	matched := g.matched(w)
	prefill := g.prefillTime(w.PromptTokens - matched)
	g.lastID++
	p := &Admission{gate: g, id: g.lastID, work: w, permit: permit, MatchedTokens: matched, Prefill: prefill, expecting: true, Decided: make(chan *errkind.Error, 1)}
	g.waiters[p.id] = p
	g.index.AddInProgress(w.Blocks)
	g.noteBusy()
	g.deliver(g.queue.Offer(g.now(), admission.Request{
		ID:        p.id,
		Workspace: probe.WorkspaceHash(w.Workspace),
		Weight:    w.Weight,
		Class:     w.Class,
		Prefill:   prefill,
		Cost:      prefill + time.Duration(w.MaxTokens)*decodeShare,
		Deadline:  g.now() + w.Budget,
	}))
	return p, nil
}

// busyMeter measures the share of recent time in which something was under way.
type busyMeter struct {
	level float64
	at    time.Duration
}

// busyWindow is the time over which the share is averaged.
const busyWindow = 5 * time.Second

// share returns the average, after counting the time since the last call as
// busy or idle.
func (m *busyMeter) share(now time.Duration, busy bool) float64 {
	keep := math.Exp(-float64(now-m.at) / float64(busyWindow))
	target := 0.0
	if busy {
		target = 1
	}
	m.level = target + (m.level-target)*keep
	m.at = now
	return m.level
}

// noteBusy counts the time up to now, before the queue changes.
func (g *Gate) noteBusy() { g.busy.share(g.now(), g.queue.Prefilling() > 0) }

// deliver hands outcomes to their passes. The caller holds mu.
func (g *Gate) deliver(outcomes []admission.Outcome) {
	for _, o := range outcomes {
		p, ok := g.waiters[o.ID]
		if !ok || o.Verdict == admission.Wait {
			continue
		}
		delete(g.waiters, o.ID)
		p.startedAt = g.now()
		if o.Verdict == admission.Refuse {
			g.forget(p)
			g.breaker.Complete(g.now(), p.permit, breaker.Neutral)
		}
		p.Decided <- o.Refusal
	}
}

// forget takes back that the index expects a pass's blocks.
func (g *Gate) forget(p *Admission) {
	if p.expecting {
		p.expecting = false
		g.index.RemoveInProgress(p.work.Blocks)
	}
}

// Expire refuses waiting requests whose deadline can no longer be met.
func (g *Gate) Expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.queue.Expire(g.now()))
}

// FirstToken tells that the first token is there, from an incarnation of the
// engine that said how many tokens it had cached.
func (p *Admission) FirstToken(incarnation string, cached int) {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.learnRate(p.work.PromptTokens-cached, g.now()-p.startedAt)
	g.index.AddCached(incarnation, p.work.Blocks)
	g.forget(p)
	g.breaker.Complete(g.now(), p.permit, breaker.Success)
	g.noteBusy()
	g.deliver(g.queue.FirstToken(g.now(), p.id))
}

func (g *Gate) learnRate(tokens int, took time.Duration) {
	if tokens < minRateTokens || took <= 0 {
		return
	}
	rate := float64(tokens) / took.Seconds()
	g.rate += rateSmoothing * (rate - g.rate)
}

// Leave ends a pass that was started. result says what it tells of the
// target's health.
func (p *Admission) Release(result breaker.Result) {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.breaker.Complete(g.now(), p.permit, result)
	g.forget(p)
	g.noteBusy()
	g.deliver(g.queue.Finish(g.now(), p.id))
}

// Abandon ends a pass whose caller has gone, waiting or started.
func (p *Admission) Abandon() {
	g := p.gate
	g.mu.Lock()
	waiting := g.queue.Cancel(p.id)
	if waiting {
		delete(g.waiters, p.id)
		g.forget(p)
		g.breaker.Complete(g.now(), p.permit, breaker.Neutral)
	}
	g.mu.Unlock()
	if waiting {
		return
	}
	if refusal := <-p.Decided; refusal == nil {
		p.Release(breaker.Neutral)
	}
}

// ApplyEvents updates the index by a page of cache events.
func (g *Gate) ApplyEvents(page *external.EventPage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.index.Apply(page)
}

// NextEvent is the number of the first cache event not seen yet.
func (g *Gate) NextEventSeq() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.index.NextSeq()
}

// Counts are the gate's figures for metrics.
type Counts struct {
	Waiting, Running, Blocks int
	Gaps                     uint64
}

// Counts returns the gate's figures.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Counts{Waiting: g.queue.Waiting(), Running: g.queue.Running(), Blocks: g.index.Len(), Gaps: g.index.Gaps()}
}
