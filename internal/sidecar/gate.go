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
	// rateSmoothing is the weight of the latest sample in the moving average of
	// the prefill rate.
	rateSmoothing = 0.1
	// minRateTokens is the minimum number of prefilled tokens in a rate sample.
	minRateTokens = 256
	// decodeTokenCost is the share of target time that one decoded token costs
	// in a full batch. It is used for fairness between workspaces.
	decodeTokenCost = 2 * time.Millisecond
)

// GateRequest describes a request for admission.
type GateRequest struct {
	Workspace string
	Weight    float64
	Class     config.Class
	Blocks    []uint64
	// BlockTokens is the number of tokens in a block, PromptTokens in the prompt.
	BlockTokens  int
	PromptTokens int
	MaxTokens    int
	// Budget is the time left until the deadline for the first token.
	Budget time.Duration
}

// Quote estimates the cost of a request at this target.
type Quote struct {
	Wait          time.Duration
	Prefill       time.Duration
	MatchedTokens int
	// Busy is the fraction of recent time that the target spent on prefill.
	Busy float64
}

// Gate controls admission to a target. It holds the target's queue, circuit
// breaker, prefix cache index and measured prefill rate. It does no I/O and is
// safe for concurrent use.
type Gate struct {
	mu          sync.Mutex
	now         func() time.Duration
	queue       *admission.Queue
	breaker     *breaker.Breaker
	index       *prefix.Index
	prefillRate float64
	busy        busyMeter
	draining    bool
	// restUntil is until when the target wants no requests.
	restUntil time.Duration
	lastID    uint64
	waiting   map[uint64]*Admission
}

// Admission is a request that is queued or running at the gate.
type Admission struct {
	gate    *Gate
	id      uint64
	request GateRequest
	permit  breaker.Permit
	// Decided receives nil when the request may start, or a refusal.
	Decided chan *errkind.Error
	// MatchedTokens and Prefill are the estimates made on arrival.
	MatchedTokens int
	Prefill       time.Duration
	startedAt     time.Duration
	// inProgress is set while the index counts the request's blocks as in
	// progress.
	inProgress bool
}

// NewGate returns an open gate. now is a monotonic clock with any origin. rate
// is the initial prefill rate in tokens per second.
func NewGate(limits admission.Limits, maxBlocks int, rate float64, now func() time.Duration) *Gate {
	return &Gate{
		now:         now,
		queue:       admission.NewQueue(limits),
		breaker:     breaker.New(breaker.DefaultPolicy),
		index:       prefix.NewIndex(maxBlocks),
		prefillRate: rate,
		waiting:     map[uint64]*Admission{},
	}
}

// Drain makes the gate refuse new requests.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Rest makes the gate refuse new and queued requests for a time, because the target has asked for that.
func (g *Gate) Rest(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restUntil = max(g.restUntil, g.now()+d)
	for id, a := range g.waiting {
		if !g.queue.Cancel(id) {
			continue
		}
		delete(g.waiting, id)
		g.removeInProgress(a)
		g.breaker.Complete(g.now(), a.permit, breaker.Neutral)
		a.Decided <- g.restRefusal()
	}
}

// restRefusal returns the refusal during a rest. The caller holds mu.
func (g *Gate) restRefusal() *errkind.Error {
	return errkind.NewRetryAfter(errkind.Throttled, g.restUntil-g.now(), "the target has asked for no requests")
}

// refusal returns why new requests are refused, or nil. The caller holds mu.
func (g *Gate) refusal() *errkind.Error {
	if g.draining {
		return errkind.New(errkind.Leaving, "the target is leaving")
	}
	if g.now() < g.restUntil {
		return g.restRefusal()
	}
	if notBefore, blocked := g.breaker.Blocked(g.now()); blocked {
		return errkind.NewRetryAfter(errkind.BreakerOpen, notBefore-g.now(), "the target failed repeatedly")
	}
	return nil
}

// QuoteInput describes a prospective request.
type QuoteInput struct {
	// Workspace is the hash of the workspace name.
	Workspace    uint32
	Class        config.Class
	Points       []prefix.Point
	PromptTokens int
}

// Quote returns the estimated cost of a request, or why it would be refused.
func (g *Gate) Quote(q QuoteInput) (Quote, *errkind.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.refusal(); refusal != nil {
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

func (g *Gate) matchedTokens(req GateRequest) int {
	return min(g.index.Match(req.Blocks)*req.BlockTokens, req.PromptTokens)
}

func (g *Gate) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / g.prefillRate * float64(time.Second))
}

// Enter requests admission. The decision is sent on the Decided channel of the
// result. Enter returns an error if the gate is draining or its breaker is open.
func (g *Gate) Enter(req GateRequest) (*Admission, *errkind.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.refusal(); refusal != nil {
		return nil, refusal
	}
	permit, ok, notBefore := g.breaker.Acquire(g.now())
	if !ok {
		return nil, errkind.NewRetryAfter(errkind.BreakerOpen, notBefore-g.now(), "the target failed repeatedly")
	}
	matched := g.matchedTokens(req)
	prefill := g.prefillTime(req.PromptTokens - matched)
	g.lastID++
	a := &Admission{gate: g, id: g.lastID, request: req, permit: permit, MatchedTokens: matched, Prefill: prefill, inProgress: true, Decided: make(chan *errkind.Error, 1)}
	g.waiting[a.id] = a
	g.index.AddInProgress(req.Blocks)
	g.updateBusy()
	g.deliver(g.queue.Offer(g.now(), admission.Request{
		ID:        a.id,
		Workspace: probe.WorkspaceHash(req.Workspace),
		Weight:    req.Weight,
		Class:     req.Class,
		Prefill:   prefill,
		Cost:      prefill + time.Duration(req.MaxTokens)*decodeTokenCost,
		Deadline:  g.now() + req.Budget,
	}))
	return a, nil
}

// busyMeter is a moving average of the fraction of time that the target was busy.
type busyMeter struct {
	average   float64
	updatedAt time.Duration
}

// busyWindow is the time constant of the average.
const busyWindow = 5 * time.Second

// share counts the time since the previous call as busy or idle and returns
// the updated average.
func (m *busyMeter) share(now time.Duration, busy bool) float64 {
	decay := math.Exp(-float64(now-m.updatedAt) / float64(busyWindow))
	target := 0.0
	if busy {
		target = 1
	}
	m.average = target + (m.average-target)*decay
	m.updatedAt = now
	return m.average
}

// updateBusy updates the busy average. It is called before the queue changes.
func (g *Gate) updateBusy() { g.busy.share(g.now(), g.queue.Prefilling() > 0) }

// deliver sends outcomes to their admissions. The caller holds mu.
func (g *Gate) deliver(outcomes []admission.Outcome) {
	for _, o := range outcomes {
		a, ok := g.waiting[o.ID]
		if !ok || o.Verdict == admission.Wait {
			continue
		}
		delete(g.waiting, o.ID)
		a.startedAt = g.now()
		if o.Verdict == admission.Refuse {
			g.removeInProgress(a)
			g.breaker.Complete(g.now(), a.permit, breaker.Neutral)
		}
		a.Decided <- o.Refusal
	}
}

// removeInProgress removes the request's blocks in progress from the index.
func (g *Gate) removeInProgress(a *Admission) {
	if a.inProgress {
		a.inProgress = false
		g.index.RemoveInProgress(a.request.Blocks)
	}
}

// Expire refuses queued requests whose deadline can no longer be met.
func (g *Gate) Expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.queue.Expire(g.now()))
}

// FirstToken records the first token. incarnation is that of the engine, cached
// the number of prompt tokens that it found in its cache.
func (a *Admission) FirstToken(incarnation string, cached int) {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateRate(a.request.PromptTokens-cached, g.now()-a.startedAt)
	g.index.AddCached(incarnation, a.request.Blocks)
	g.removeInProgress(a)
	g.breaker.Complete(g.now(), a.permit, breaker.Success)
	g.updateBusy()
	g.deliver(g.queue.FirstToken(g.now(), a.id))
}

func (g *Gate) updateRate(tokens int, took time.Duration) {
	if tokens < minRateTokens || took <= 0 {
		return
	}
	rate := float64(tokens) / took.Seconds()
	g.prefillRate += rateSmoothing * (rate - g.prefillRate)
}

// Release ends a request that was started and reports its result to the
// breaker.
func (a *Admission) Release(result breaker.Result) {
	g := a.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.breaker.Complete(g.now(), a.permit, result)
	g.removeInProgress(a)
	g.updateBusy()
	g.deliver(g.queue.Finish(g.now(), a.id))
}

// Abandon ends a queued or started request whose caller has disconnected.
func (a *Admission) Abandon() {
	g := a.gate
	g.mu.Lock()
	waiting := g.queue.Cancel(a.id)
	if waiting {
		delete(g.waiting, a.id)
		g.removeInProgress(a)
		g.breaker.Complete(g.now(), a.permit, breaker.Neutral)
	}
	g.mu.Unlock()
	if waiting {
		return
	}
	if refusal := <-a.Decided; refusal == nil {
		a.Release(breaker.Neutral)
	}
}

// ApplyEvents applies a page of cache events to the index.
func (g *Gate) ApplyEvents(page *external.EventPage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.index.Apply(page)
}

// NextEventSeq returns the sequence number of the next cache event to read.
func (g *Gate) NextEventSeq() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.index.NextSeq()
}

// Counts are the gauges that the gate exports as metrics.
type Counts struct {
	Waiting, Running, Blocks int
	Gaps                     uint64
}

// Counts returns the current values of the gauges.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Counts{Waiting: g.queue.Waiting(), Running: g.queue.Running(), Blocks: g.index.Len(), Gaps: g.index.Gaps()}
}
