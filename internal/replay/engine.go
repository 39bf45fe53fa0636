package replay

import (
	"strconv"
	"time"

	"github.com/toucanwell/toucanwell/internal/breaker"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/sidecar"
	"github.com/toucanwell/toucanwell/internal/standin"
)

// engine models an engine's execution times behind the sidecar's real gate.
type engine struct {
	replay *Replay
	index  int
	gate   *sidecar.Gate
	cache  *standin.BlockCache
	// waiting holds the requests that wait for the gate's decision.
	waiting []*job
	running map[*job]struct{}
	// freeAt is when the last scheduled prefill ends.
	freeAt      time.Duration
	prefillBusy time.Duration
	batchBusy   time.Duration
	incarnation int
	nextEvent   uint64
	dead        bool
}

func newEngine(r *Replay, index int) *engine {
	e := &engine{replay: r, index: index, running: map[*job]struct{}{}, nextEvent: 1}
	e.gate = sidecar.NewGate(gateLimits(r.setup), r.setup.Costs.CacheTokens/r.setup.BlockTokens, r.setup.Costs.PrefillTokensPerSecond, func() time.Duration { return r.now })
	e.cache = standin.NewBlockCache(r.setup.Costs.CacheTokens / r.setup.BlockTokens)
	return e
}

// applyDecisions starts the requests that the gate has admitted and retries those that it has
// refused.
func (e *engine) applyDecisions() {
	undecided := e.waiting[:0]
	var started, refused []*job
	var kinds []errkind.Kind
	for _, j := range e.waiting {
		select {
		case refusal := <-j.pass.Decided:
			if refusal == nil {
				started = append(started, j)
				continue
			}
			refused = append(refused, j)
			kinds = append(kinds, refusal.Kind)
		default:
			undecided = append(undecided, j)
		}
	}
	e.waiting = undecided
	for _, j := range started {
		e.start(j)
	}
	for i, j := range refused {
		e.replay.retry(j, kinds[i])
	}
}

// start schedules a request's prefill after those already scheduled.
func (e *engine) start(j *job) {
	r := e.replay
	e.running[j] = struct{}{}
	incarnation := e.incarnation
	begin := max(r.now, e.freeAt)
	cached := min(e.cache.Match(j.record.HashIDs)*j.record.BlockTokens, j.record.InputLength)
	missing := j.record.InputLength - cached
	duration := time.Duration(float64(missing) / r.setup.Costs.PrefillTokensPerSecond * float64(time.Second))
	e.freeAt = begin + duration + r.setup.Costs.DecodeStep
	e.prefillBusy += duration + r.setup.Costs.DecodeStep
	r.at(e.freeAt, func() {
		if e.incarnation == incarnation {
			e.firstToken(j, cached)
		}
	})
}

// firstToken ends a request's prefill and schedules the end of its decoding.
func (e *engine) firstToken(j *job, cached int) {
	r := e.replay
	r.result.recordFirstToken(r, j, cached)
	stored, removed := e.cache.Use(j.record.HashIDs)
	e.publish(external.EventStored, stored)
	e.publish(external.EventRemoved, removed)
	j.pass.FirstToken(strconv.Itoa(e.incarnation), cached)
	incarnation := e.incarnation
	tokens := time.Duration(j.record.OutputLength)
	step := r.setup.Costs.DecodeStep + time.Duration(len(e.running)-1)*r.setup.Costs.DecodePerPeer
	e.batchBusy += tokens * step
	r.after(tokens*step, func() {
		if e.incarnation == incarnation {
			e.finish(j)
		}
	})
	e.applyDecisions()
}

func (e *engine) finish(j *job) {
	delete(e.running, j)
	j.pass.Release(breaker.Success)
	e.replay.openRequests--
	e.applyDecisions()
}

// publish delivers a cache event to the gate after the report lag, unless it is lost.
func (e *engine) publish(kind external.EventKind, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	r := e.replay
	event := external.CacheEvent{Seq: e.nextEvent, Kind: kind, Blocks: blocks}
	e.nextEvent++
	if r.random.Float64() < r.setup.EventLoss {
		return
	}
	incarnation := e.incarnation
	page := &external.EventPage{Incarnation: strconv.Itoa(incarnation), First: 1, Events: []external.CacheEvent{event}}
	r.after(r.setup.ReportLag, func() {
		if e.incarnation == incarnation {
			e.gate.ApplyEvents(page)
		}
	})
}

// crash ends all running requests, which are retried, and clears the cache.
func (e *engine) crash() {
	r := e.replay
	e.incarnation++
	e.nextEvent = 1
	e.cache.Clear()
	e.freeAt = r.now
	lost := make([]*job, 0, len(e.running))
	for j := range e.running {
		lost = append(lost, j)
	}
	sortJobs(lost)
	clear(e.running)
	e.gate.ApplyEvents(&external.EventPage{Incarnation: strconv.Itoa(e.incarnation), First: 1})
	for _, j := range lost {
		j.pass.Release(breaker.Neutral)
		r.retry(j, errkind.TargetFailed)
	}
	if e.dead {
		for _, j := range e.waiting {
			j.pass.Abandon()
			r.retry(j, errkind.TargetFailed)
		}
		e.waiting = nil
		return
	}
	e.applyDecisions()
}
