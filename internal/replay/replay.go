// Package replay simulates a deployment under a request trace on a virtual clock. It runs the
// real routing code of the entry and the real gate of the sidecar; only the engines are
// modelled, by their execution times. Results are deterministic for a seed.
package replay

import (
	"container/heap"
	"iter"
	"math/rand/v2"
	"time"

	"github.com/toucanwell/toucanwell/internal/admission"
	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/prefix"
	"github.com/toucanwell/toucanwell/internal/probe"
	"github.com/toucanwell/toucanwell/internal/routing"
	"github.com/toucanwell/toucanwell/internal/sidecar"
	"github.com/toucanwell/toucanwell/internal/trace"
)

// Costs defines an engine's execution times and capacity.
type Costs struct {
	PrefillTokensPerSecond float64
	DecodeStep             time.Duration
	DecodePerPeer          time.Duration
	MaxBatch               int
	// CacheTokens is the size of the block cache in tokens.
	CacheTokens int
}

// DefaultCosts are the costs used in docs/MEASUREMENTS.md.
var DefaultCosts = Costs{
	PrefillTokensPerSecond: 10_000,
	DecodeStep:             12 * time.Millisecond,
	DecodePerPeer:          300 * time.Microsecond,
	MaxBatch:               32,
	CacheTokens:            150_000,
}

// Setup configures a replay.
type Setup struct {
	Engines int
	Entries int
	Zones   int
	Costs   Costs
	Policy  Policy
	// Weights maps workspaces to their weights.
	Weights map[string]float64
	// ReportLag is the interval of load reports and the delay of cache events.
	ReportLag time.Duration
	// EventLoss is the fraction of cache events that are lost.
	EventLoss float64
	// MaxPrefilling is the maximum number of concurrent prefills that a gate admits.
	MaxPrefilling int
	// BlockTokens is the block size of the trace in tokens.
	BlockTokens int
	Seed        uint64
	// Faults are injected at their times.
	Faults []Fault
	// Warmup is the initial period that is excluded from the results.
	Warmup time.Duration
}

// Fault is a failure injected during a replay.
type Fault struct {
	At time.Duration
	// Crash lists engines that restart with an empty cache.
	Crash []int
	// Kill lists engines that stop permanently.
	Kill []int
}

const (
	networkDelay          = 500 * time.Microsecond
	expireInterval        = 20 * time.Millisecond
	maxAttempts           = 4
	maxQueued             = 512
	retryBudgetRatio      = 0.1
	maxRetryBudget        = 10.0
	failureDetectionDelay = time.Second
)

type eventFunc func()

// event is a function to run at a virtual time. Events at the same time run in order of seq.
type event struct {
	at  time.Duration
	seq uint64
	run eventFunc
}

// eventQueue is a heap of events ordered by time.
type eventQueue []event

func (s eventQueue) Len() int { return len(s) }
func (s eventQueue) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].seq < s[j].seq
}
func (s eventQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *eventQueue) Push(x any) { *s = append(*s, x.(event)) }

// Pop implements heap.Interface.
func (s *eventQueue) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// Replay is the state of a running replay.
type Replay struct {
	setup          Setup
	now            time.Duration
	nextSeq        uint64
	events         eventQueue
	engines        []*engine
	targets        []routing.Target
	locations      []routing.Location
	random         *rand.Rand
	computedBlocks map[uint64]struct{}
	result         *Result
	retryBudget    float64
	openRequests   int
}

// job is a request in progress.
type job struct {
	record   trace.Record
	entry    int
	arrived  time.Duration
	class    config.Class
	levels   []uint64
	attempts int
	excluded map[int]bool
	engine   int
	pass     *sidecar.Admission
	// gotFirstToken is set once the caller has received the first token.
	gotFirstToken bool
}

// Run replays a trace.
func Run(setup Setup, records iter.Seq[trace.Record]) *Result {
	r := newReplay(setup)
	next, stop := iter.Pull(records)
	defer stop()
	r.scheduleArrivals(next)
	for _, f := range setup.Faults {
		r.at(f.At, func() { r.injectFault(f) })
	}
	r.at(expireInterval, r.expire)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
	}
	r.result.computeUtilization(r)
	return r.result
}

func newReplay(setup Setup) *Replay {
	r := &Replay{
		setup: setup, random: rand.New(rand.NewPCG(setup.Seed, 11)), computedBlocks: map[uint64]struct{}{},
		result: newResult(setup), retryBudget: maxRetryBudget,
	}
	for i := range setup.Engines {
		r.engines = append(r.engines, newEngine(r, i))
		zone := zoneName(i % setup.Zones)
		r.targets = append(r.targets, routing.NewTarget("engine", engineName(i), "", zone, "region"))
	}
	for i := range setup.Entries {
		r.locations = append(r.locations, routing.Location{Zone: zoneName(i % setup.Zones), Region: "region"})
	}
	setup.Policy.Start(r)
	return r
}

func zoneName(i int) string { return string(rune('a' + i)) }
func engineName(i int) string {
	return "engine-" + string(rune('0'+i/100)) + string(rune('0'+i/10%10)) + string(rune('0'+i%10))
}

// at schedules a function at a virtual time, or now if that time has passed.
func (r *Replay) at(t time.Duration, run eventFunc) {
	r.nextSeq++
	heap.Push(&r.events, event{max(t, r.now), r.nextSeq, run})
}

func (r *Replay) after(d time.Duration, run eventFunc) { r.at(r.now+d, run) }

// scheduleArrivals schedules the arrival of the trace's next request, which schedules the one
// after it.
func (r *Replay) scheduleArrivals(next func() (trace.Record, bool)) {
	record, ok := next()
	if !ok {
		return
	}
	r.at(time.Duration(record.Timestamp)*time.Millisecond, func() {
		r.arrive(record)
		r.scheduleArrivals(next)
	})
}

func (r *Replay) arrive(record trace.Record) {
	class, _ := config.ParseClass(record.Class)
	j := &job{record: record, arrived: r.now, class: class, entry: r.random.IntN(r.setup.Entries), excluded: map[int]bool{}}
	j.levels = record.LevelKeys(nil)
	r.openRequests++
	r.retryBudget = min(r.retryBudget+retryBudgetRatio, maxRetryBudget*float64(r.setup.Entries))
	r.result.recordArrival(r, j)
	r.dispatch(j)
}

// dispatch sends a request to the engine that the policy chooses.
func (r *Replay) dispatch(j *job) {
	j.attempts++
	r.setup.Policy.Choose(r, j, func(engine int) {
		if engine < 0 {
			r.refuse(j, errkind.NoTarget)
			return
		}
		j.engine = engine
		r.after(networkDelay, func() { r.enter(j) })
	})
}

func (r *Replay) work(j *job) sidecar.GateRequest {
	budget := time.Duration(j.record.DeadlineMs)*time.Millisecond - (r.now - j.arrived)
	return sidecar.GateRequest{
		Workspace: j.record.Workspace, Weight: r.setup.Weights[j.record.Workspace], Class: j.class,
		Blocks: j.record.HashIDs, BlockTokens: j.record.BlockTokens, PromptTokens: j.record.InputLength,
		MaxTokens: j.record.OutputLength, Budget: budget,
	}
}

func (r *Replay) probeInput(j *job) sidecar.QuoteInput {
	return sidecar.QuoteInput{
		Workspace: probe.WorkspaceHash(j.record.Workspace), Class: j.class, PromptTokens: j.record.InputLength,
		Points: prefix.PointsAt(j.record.HashIDs, j.record.PrefixLevels, j.record.BlockTokens),
	}
}

// enter submits a request to its engine's gate.
func (r *Replay) enter(j *job) {
	e := r.engines[j.engine]
	if e.dead {
		r.retry(j, errkind.TargetFailed)
		return
	}
	pass, refusal := e.gate.Enter(r.work(j))
	if refusal != nil {
		r.retry(j, refusal.Kind)
		return
	}
	j.pass = pass
	e.waiting = append(e.waiting, j)
	e.applyDecisions()
}

// retry dispatches a request to another engine if the retry budget and the error kind permit.
func (r *Replay) retry(j *job, kind errkind.Kind) {
	j.excluded[j.engine] = true
	if j.attempts >= maxAttempts || r.retryBudget < 1 || !kind.Spec().Failover {
		r.refuse(j, kind)
		return
	}
	r.retryBudget--
	if r.result.isMeasured(j) {
		r.result.retries++
	}
	r.after(networkDelay, func() { r.dispatch(j) })
}

// refuse ends a request with an error.
func (r *Replay) refuse(j *job, kind errkind.Kind) {
	r.openRequests--
	r.result.recordRefusal(r, j, kind)
}

// expire periodically removes expired requests from the gates' queues.
func (r *Replay) expire() {
	for _, e := range r.engines {
		if len(e.waiting) > 0 {
			e.gate.Expire()
			e.applyDecisions()
		}
	}
	if r.openRequests > 0 || len(r.events) > 0 {
		r.after(expireInterval, r.expire)
	}
}

func (r *Replay) injectFault(f Fault) {
	for _, i := range f.Crash {
		r.engines[i].crash()
	}
	for _, i := range f.Kill {
		r.engines[i].dead = true
		r.engines[i].crash()
		r.after(failureDetectionDelay, func() { r.targets[i].State = routing.Leaving })
	}
}

func gateLimits(s Setup) admission.Limits {
	return admission.Limits{MaxRunning: s.Costs.MaxBatch, MaxPrefilling: s.MaxPrefilling, MaxQueued: maxQueued}
}
