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

// engine is an engine's time costs with its real gate.
type engine struct {
	replay *Replay
	index  int
	gate   *sidecar.Gate
	cache  *standin.BlockCache
	// waiting are requests that the gate has not decided.
	waiting []*job
	running map[*job]struct{}
	// freeAt is when the prefill that is under way ends.
	freeAt    time.Duration
	busy      time.Duration
	held      time.Duration
	life      int
	nextEvent uint64
	dead      bool
}

func newEngine(r *Replay, index int) *engine {
	e := &engine{replay: r, index: index, running: map[*job]struct{}{}, nextEvent: 1}
	e.gate = sidecar.NewGate(gateLimits(r.setup), r.setup.Costs.CacheTokens/r.setup.BlockTokens, r.setup.Costs.PrefillTokensPerSecond, func() time.Duration { return r.now })
	e.cache = standin.NewBlockCache(r.setup.Costs.CacheTokens / r.setup.BlockTokens)
	return e
}

// settle starts the requests that the gate has let through and ends those it
// has refused.
func (e *engine) settle() {
	kept := e.waiting[:0]
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
			kept = append(kept, j)
		}
	}
	e.waiting = kept
	for _, j := range started {
		e.start(j)
	}
	for i, j := range refused {
		e.replay.again(j, kinds[i])
	}
}

// start runs a request: its prefill after those before it, then its tokens.
func (e *engine) start(j *job) {
	r := e.replay
	e.running[j] = struct{}{}
	life := e.life
	begin := max(r.now, e.freeAt)
	cached := min(e.cache.Match(j.record.HashIDs)*j.record.BlockTokens, j.record.InputLength)
	missing := j.record.InputLength - cached
	took := time.Duration(float64(missing) / r.setup.Costs.PrefillTokensPerSecond * float64(time.Second))
	e.freeAt = begin + took + r.setup.Costs.DecodeStep
	e.busy += took + r.setup.Costs.DecodeStep
	r.at(e.freeAt, func() {
		if e.life == life {
			e.firstToken(j, cached)
		}
	})
}

func (e *engine) firstToken(j *job, cached int) {
	r := e.replay
	r.result.firstToken(r, j, cached)
	stored, removed := e.cache.Use(j.record.HashIDs)
	e.publish(external.EventStored, stored)
	e.publish(external.EventRemoved, removed)
	j.pass.FirstToken(strconv.Itoa(e.life), cached)
	life := e.life
	tokens := time.Duration(j.record.OutputLength)
	step := r.setup.Costs.DecodeStep + time.Duration(len(e.running)-1)*r.setup.Costs.DecodePerPeer
	e.held += tokens * step
	r.after(tokens*step, func() {
		if e.life == life {
			e.finish(j)
		}
	})
	e.settle()
}

func (e *engine) finish(j *job) {
	delete(e.running, j)
	j.pass.Release(breaker.Success)
	e.replay.open--
	e.settle()
}

// publish sends a cache event, late and not always.
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
	life := e.life
	page := &external.EventPage{Incarnation: strconv.Itoa(life), First: 1, Events: []external.CacheEvent{event}}
	r.after(r.setup.ReportLag, func() {
		if e.life == life {
			e.gate.ApplyEvents(page)
		}
	})
}

// crash ends all requests and empties the cache; the requests run again.
func (e *engine) crash() {
	r := e.replay
	e.life++
	e.nextEvent = 1
	e.cache.Clear()
	e.freeAt = r.now
	lost := make([]*job, 0, len(e.running))
	for j := range e.running {
		lost = append(lost, j)
	}
	sortJobs(lost)
	clear(e.running)
	e.gate.ApplyEvents(&external.EventPage{Incarnation: strconv.Itoa(e.life), First: 1})
	for _, j := range lost {
		j.pass.Release(breaker.Neutral)
		r.again(j, errkind.TargetFailed)
	}
	if e.dead {
		for _, j := range e.waiting {
			j.pass.Abandon()
			r.again(j, errkind.TargetFailed)
		}
		e.waiting = nil
		return
	}
	e.settle()
}
