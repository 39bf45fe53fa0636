// Package replay drives the real decision code with a trace on a virtual
// clock: the ranking and the probe rounds of the entry, and the gate of the
// sidecar with its queue, breaker and index. Only the engine is a model of its
// time costs. One process, one thread; the same seed gives the same result.
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

// Costs are an engine's time costs.
type Costs struct {
	PrefillTokensPerSecond float64
	DecodeStep             time.Duration
	DecodePerPeer          time.Duration
	MaxBatch               int
	// CacheTokens is the size of the block cache.
	CacheTokens int
}

// DefaultCosts are those of the tables in docs/MEASUREMENTS.md.
var DefaultCosts = Costs{
	PrefillTokensPerSecond: 10_000,
	DecodeStep:             12 * time.Millisecond,
	DecodePerPeer:          300 * time.Microsecond,
	MaxBatch:               32,
	CacheTokens:            150_000,
}

// Setup is one replay.
type Setup struct {
	Engines int
	Entries int
	Zones   int
	Costs   Costs
	Policy  Policy
	// Weights of the workspaces.
	Weights map[string]float64
	// ReportLag is the age of reported loads, and the delay of cache events.
	ReportLag time.Duration
	// EventLoss is the share of cache events that are lost.
	EventLoss float64
	// MaxPrefilling is how many requests a gate lets into prefill at once.
	MaxPrefilling int
	// BlockTokens is the size of the trace's blocks.
	BlockTokens int
	Seed        uint64
	// Faults happen at their times.
	Faults []Fault
	// Warmup is left out of the figures.
	Warmup time.Duration
}

// Fault is something that happens during a replay.
type Fault struct {
	At time.Duration
	// Crash empties these engines; their running requests start again.
	Crash []int
	// Kill takes these engines away for good.
	Kill []int
}

const (
	hop          = 500 * time.Microsecond
	expireEvery  = 20 * time.Millisecond
	maxTries     = 4
	maxQueued    = 512
	retryShare   = 0.1
	maxSaved     = 10.0
	deadNoticing = time.Second
)

type eventFunc func()

type scheduled struct {
	at    time.Duration
	order uint64
	run   eventFunc
}

type schedule []scheduled

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].order < s[j].order
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *schedule) Push(x any) { *s = append(*s, x.(scheduled)) }

// Pop implements heap.Interface.
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// Replay is one running replay.
type Replay struct {
	setup   Setup
	now     time.Duration
	order   uint64
	events  schedule
	engines []*engine
	targets []routing.Target
	places  []routing.Location
	random  *rand.Rand
	seen    map[uint64]struct{}
	result  *Result
	budget  float64
	open    int
}

// job is one request on its way.
type job struct {
	record  trace.Record
	entry   int
	arrived time.Duration
	class   config.Class
	levels  []uint64
	tries   int
	avoid   map[int]bool
	engine  int
	pass    *sidecar.Admission
	// answered is set with the first token.
	answered bool
}

// Run replays a trace.
func Run(setup Setup, records iter.Seq[trace.Record]) *Result {
	r := newReplay(setup)
	next, stop := iter.Pull(records)
	defer stop()
	r.feed(next)
	for _, f := range setup.Faults {
		r.at(f.At, func() { r.fail(f) })
	}
	r.at(expireEvery, r.expire)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(scheduled)
		r.now = e.at
		e.run()
	}
	r.result.finish(r)
	return r.result
}

func newReplay(setup Setup) *Replay {
	r := &Replay{
		setup: setup, random: rand.New(rand.NewPCG(setup.Seed, 11)), seen: map[uint64]struct{}{},
		result: newResult(setup), budget: maxSaved,
	}
	for i := range setup.Engines {
		r.engines = append(r.engines, newEngine(r, i))
		zone := zoneName(i % setup.Zones)
		r.targets = append(r.targets, routing.NewTarget("engine", engineName(i), "", zone, "region"))
	}
	for i := range setup.Entries {
		r.places = append(r.places, routing.Location{Zone: zoneName(i % setup.Zones), Region: "region"})
	}
	setup.Policy.Start(r)
	return r
}

func zoneName(i int) string { return string(rune('a' + i)) }
func engineName(i int) string {
	return "engine-" + string(rune('0'+i/100)) + string(rune('0'+i/10%10)) + string(rune('0'+i%10))
}

func (r *Replay) at(t time.Duration, run eventFunc) {
	r.order++
	heap.Push(&r.events, scheduled{max(t, r.now), r.order, run})
}

func (r *Replay) after(d time.Duration, run eventFunc) { r.at(r.now+d, run) }

// feed schedules the next request of the trace.
func (r *Replay) feed(next func() (trace.Record, bool)) {
	record, ok := next()
	if !ok {
		return
	}
	r.at(time.Duration(record.Timestamp)*time.Millisecond, func() {
		r.arrive(record)
		r.feed(next)
	})
}

func (r *Replay) arrive(record trace.Record) {
	class, _ := config.ParseClass(record.Class)
	j := &job{record: record, arrived: r.now, class: class, entry: r.random.IntN(r.setup.Entries), avoid: map[int]bool{}}
	j.levels = record.LevelKeys(nil)
	r.open++
	r.budget = min(r.budget+retryShare, maxSaved*float64(r.setup.Entries))
	r.result.arrived(r, j)
	r.dispatch(j)
}

// dispatch asks the policy and sends the request on its way.
func (r *Replay) dispatch(j *job) {
	j.tries++
	r.setup.Policy.Choose(r, j, func(engine int) {
		if engine < 0 {
			r.give(j, errkind.NoTarget)
			return
		}
		j.engine = engine
		r.after(hop, func() { r.enter(j) })
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

func (r *Replay) question(j *job) sidecar.QuoteInput {
	return sidecar.QuoteInput{
		Workspace: probe.WorkspaceHash(j.record.Workspace), Class: j.class, PromptTokens: j.record.InputLength,
		Points: prefix.PointsAt(j.record.HashIDs, j.record.PrefixLevels, j.record.BlockTokens),
	}
}

func (r *Replay) enter(j *job) {
	e := r.engines[j.engine]
	if e.dead {
		r.again(j, errkind.TargetFailed)
		return
	}
	pass, refusal := e.gate.Enter(r.work(j))
	if refusal != nil {
		r.again(j, refusal.Kind)
		return
	}
	j.pass = pass
	e.waiting = append(e.waiting, j)
	e.settle()
}

// again tries elsewhere within the retry budget.
func (r *Replay) again(j *job, kind errkind.Kind) {
	j.avoid[j.engine] = true
	if j.tries >= maxTries || r.budget < 1 || !kind.Spec().Failover {
		r.give(j, kind)
		return
	}
	r.budget--
	if r.result.counts(j) {
		r.result.retries++
	}
	r.after(hop, func() { r.dispatch(j) })
}

// give ends a request without an answer.
func (r *Replay) give(j *job, kind errkind.Kind) {
	r.open--
	r.result.refused(r, j, kind)
}

func (r *Replay) expire() {
	for _, e := range r.engines {
		if len(e.waiting) > 0 {
			e.gate.Expire()
			e.settle()
		}
	}
	if r.open > 0 || len(r.events) > 0 {
		r.after(expireEvery, r.expire)
	}
}

func (r *Replay) fail(f Fault) {
	for _, i := range f.Crash {
		r.engines[i].crash()
	}
	for _, i := range f.Kill {
		r.engines[i].dead = true
		r.engines[i].crash()
		r.after(deadNoticing, func() { r.targets[i].State = routing.Leaving })
	}
}

func gateLimits(s Setup) admission.Limits {
	return admission.Limits{MaxRunning: s.Costs.MaxBatch, MaxPrefilling: s.MaxPrefilling, MaxQueued: maxQueued}
}
