package forward

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/gateway/placement"
	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	// placePause is the wait before another look when no target may take a
	// request now, and maxPlaceWait the bound of all such waits: loads of weights
	// end, and targets are listed, within some hundred milliseconds.
	placePause   = 10 * time.Millisecond
	maxPlaceWait = 400 * time.Millisecond
	// probePause is the same where each look asks sidecars.
	probePause = 25 * time.Millisecond
	// waitShare is the most that is waited so, of the time left: a caller who is
	// refused needs the rest to come back.
	waitShare = 0.25
)

// place chooses the target of the next send.
func (fl *flow) place(ctx context.Context) (*destination, *errkind.Error) {
	began := time.Now()
	for {
		v, ok := fl.View()
		if ok {
			fl.view = v
		}
		to, refusal := fl.chooseForStanding(ctx)
		if refusal != nil && (refusal.Kind != errkind.NoTarget || time.Since(began) > fl.placeWait()) {
			return nil, refusal
		}
		if refusal == nil && (to.trial || !fl.awaitsParts(to)) {
			return to, nil
		}
		pause := placePause
		if to != nil && to.probed {
			pause = probePause
		}
		if !sleep.For(ctx, pause) {
			return nil, fl.ended(ctx)
		}
	}
}

// placeWait is how long a target is waited for. Where sidecars are asked, a prompt that
// finds no room is told soon to come back: it waits no longer than its caller would not
// notice.
func (fl *flow) placeWait() time.Duration {
	if v := fl.standing.Verdict; v == quarantine.Alone || v == quarantine.Held {
		return min(aloneWait, time.Duration(aloneShare*float64(fl.timeLeft())))
	}
	wait := min(maxPlaceWait, time.Duration(waitShare*float64(fl.timeLeft())))
	if fl.view.LargeFleet && fl.route.HasPrompts && fl.route.TargetLatency > 0 {
		wait = min(wait, time.Duration(unnoticedShare*float64(fl.route.TargetLatency)))
	}
	return wait
}

const (
	// unnoticedShare is the part of the objective that callers do not notice.
	unnoticedShare = 0.125
	// partsPatience is the most that a prompt waits for a part that another
	// request reads, and partsShare the most of the time within which its first
	// event is of full use. Reading 5,000 tokens takes an engine about a tenth of
	// a second.
	partsPatience = 250 * time.Millisecond
	partsShare    = 0.4
)

// awaitsParts reports whether the prompt should wait for a part that another
// request reads now. Two prompts that share a part and come within the time that
// it takes to read it would both read it, at one engine as well as at two.
func (fl *flow) awaitsParts(to *destination) bool {
	waited := time.Since(fl.arrived)
	if to.probed && !to.coming {
		return false
	}
	if len(to.keys) == 0 || waited > partsPatience || waited > time.Duration(partsShare*float64(fl.route.TargetLatency)) {
		return false
	}
	if to.probed {
		return true
	}
	now := fl.Now()
	for i, k := range to.keys {
		held, coming := false, false
		fl.Parts.VisitLocations(k, fl.request.Parts[i].Tokens, now, func(_ fleet.ID, s parts.State) {
			held = held || s == parts.Cached
			coming = coming || s == parts.InProgress
		})
		if !held {
			return coming
		}
	}
	return false
}

func (fl *flow) choose(ctx context.Context) (*destination, *errkind.Error) {
	if fl.service.Engine != nil && fl.Reach.Partitioned(fl.Now()) {
		return nil, errkind.After(errkind.CutOff, fl.comeBack(elsewherePause), "no engine and no sidecar was heard lately")
	}
	if fl.service.Engine != nil && fl.route.HasPrompts {
		return fl.chooseEngine(ctx)
	}
	return fl.choosePlain()
}

// choosePlain picks the target of a request without a prompt: one in the same
// availability zone with the least work, else the least loaded elsewhere.
func (fl *flow) choosePlain() (*destination, *errkind.Error) {
	totals := fl.Ledger.Totals(fl.Now())
	rested := fl.Health.Ejected(fl.Now())
	best, lowest := -1, math.Inf(1)
	targets := fl.view.Targets[fl.service.Name]
	for i := range targets {
		t := &targets[i]
		if t.Leaving || fl.excluded[t.Incarnation] {
			continue
		}
		if fl.mustAvoid(t) {
			continue
		}
		if cost := fl.plainCost(t, totals[t.ID], rested); cost < lowest {
			best, lowest = i, cost
		}
	}
	if best < 0 {
		return nil, errkind.After(errkind.NoTarget, fl.comeBack(retryPause), "no target of %s", fl.service.Name)
	}
	to := &destination{target: targets[best], work: ledger.Work{Running: 1}}
	if fl.route.Retryable() && fl.runs+1 < fl.route.MaxAttempts {
		to.patience = fl.timeLeft() / 2
	}
	return to, nil
}

const (
	// farRequests is how many running requests the way to another availability
	// zone weighs, and restedRequests how many a rested target has against it.
	farRequests    = 3
	restedRequests = 1000
	// blindSpread spreads requests over targets in large fleets, where what other entries
	// have sent is not known: without it each zone's share goes to that zone's targets,
	// whose number differs.
	blindSpread = 4
	// doubtfulRequests is the same for a target that may be gone.
	doubtfulRequests = 100
)

func (fl *flow) plainCost(t *fleet.Target, w ledger.Work, rested map[fleet.Incarnation]time.Time) float64 {
	cost := float64(w.Running) + fl.uniform()/2
	if key := fl.apartKey(); key != 0 {
		cost = placement.Rank(key, t.Hash)
	} else if fl.view.LargeFleet {
		cost += fl.uniform() * blindSpread
	}
	if t.Zone != fl.Zone && fl.apartKey() == 0 {
		cost += farRequests
	}
	if t.Unconfirmed {
		cost += doubtfulRequests
	}
	if _, ok := rested[t.Incarnation]; ok {
		cost += restedRequests
	}
	if over := w.Running + 1 - t.Slots; t.Slots > 0 && over > 0 {
		cost += float64(over)
	}
	return cost
}

// chooseEngine picks the engine of a prompt.
func (fl *flow) chooseEngine(ctx context.Context) (*destination, *errkind.Error) {
	q := fl.question()
	if p := fl.probeEngines(ctx, q); p != nil {
		to, refusal := fl.settle(q, p.candidates, p.targets, p.choice)
		if to != nil {
			to.probed, to.first, to.asked = true, p.targets[0].Address, len(p.targets)
			to.word = p.wordOf(to.choice.Index)
			if p.saved() {
				to.saveTo = ""
			}
			to.coming = p.coming && to.choice.CachedTokens+to.choice.FetchedTokens < q.SharedTokens
		}
		return to, refusal
	}
	candidates := fl.candidates()
	return fl.settle(q, candidates, fl.view.Targets[fl.service.Name], placement.Pick(q, candidates))
}

// settle turns a choice among candidates into a destination, or into a refusal.
func (fl *flow) settle(q *placement.Input, candidates []placement.Candidate, targets []fleet.Target, choice placement.Choice) (*destination, *errkind.Error) {
	if choice.Index < 0 {
		return nil, errkind.After(errkind.NoTarget, fl.comeBack(fl.noEnginePause(q)), "no engine of %s may take the request now", fl.service.Name)
	}
	if left := fl.firstEventWithin(); choice.Estimate > left {
		return nil, errkind.After(errkind.DeadlineUnmeetable, fl.comeBack(choice.Estimate-left), "the first event would come in %s", choice.Estimate)
	}
	c := &candidates[choice.Index]
	to := fl.toEngine(targets[choice.Index], c, choice, q)
	to.carry = choice.Fetch
	if choice.FetchedTokens == 0 && choice.FetchFrom.IsValid() {
		missing := probableShare * float64(max(q.SharedTokens-choice.CachedTokens, 0))
		to.carry = time.Duration(c.Source.FetchMs(int(missing)) * float64(time.Millisecond))
	}
	return to, nil
}

// fullPause is when a caller comes back whose prompt found no room in the memory of any
// engine: answers to long prompts take seconds, and end one after the other.
const fullPause = 1500 * time.Millisecond

// noEnginePause is when a caller comes back whose prompt no engine may take.
func (fl *flow) noEnginePause(q *placement.Input) time.Duration {
	if q.MaxMemoryShare > 0 {
		return fullPause
	}
	return retryPause
}

// firstEventWithin is the time within which the first event must come: callers of
// streams leave before their deadline when none does.
func (fl *flow) firstEventWithin() time.Duration {
	if fl.route.MaxWait == 0 {
		return fl.timeLeft()
	}
	return min(fl.timeLeft(), fl.route.MaxWait-time.Since(fl.arrived))
}

// candidates are the engines of the prompt's service, in the order of the view.
func (fl *flow) candidates() []placement.Candidate {
	targets := fl.view.Targets[fl.service.Name]
	wanted := fl.view.Wanted[fl.request.Model]
	candidates := make([]placement.Candidate, len(targets))
	totals := fl.Ledger.Totals(fl.Now())
	fl.totals = totals
	rested := fl.Health.Ejected(fl.Now())
	kept := fl.keptFor(targets, totals)
	schedule := fl.schedule(targets)
	prompts := fl.promptsByVersion(kept)
	for i := range targets {
		t := &targets[i]
		c := &candidates[i]
		*c = placement.Candidate{
			Address: t.Address, Hash: t.Hash, SameZone: t.Zone == fl.Zone,
			Excluded: t.Leaving || fl.excluded[t.Incarnation] || fl.mustAvoid(t), Loading: fl.view.Phase(t) == weights.Loading, Draining: fl.view.Phase(t) == weights.Draining, Version: fl.view.Version(t, fl.request.Model),
			Slots: t.Slots, Memory: fl.service.Engine.CacheTokens, Work: totals[t.ID],
		}
		c.LoadStartsIn, c.LoadScheduled = schedule[t.Incarnation]
		c.Slowdown = fl.paces.Factor(t.Incarnation, fl.Now())
		c.StaleFor = wanted.StaleFor(c.Version, fl.Now())
		if c.Slots == 0 {
			c.Slots = fl.service.Engine.Slots
		}
		_, c.Ejected = rested[t.Incarnation]
		c.Ejected = c.Ejected || t.Unconfirmed || fl.view.Unresponsive[t.Address]
		prompts.at(c.Version).addTo(c, t)
	}
	return candidates
}

// schedule returns in how long engines load the weights that operators want.
func (fl *flow) schedule(targets []fleet.Target) map[fleet.Incarnation]time.Duration {
	wanted := fl.view.Wanted[fl.request.Model].Newest()
	engines := make([]weights.EngineView, len(targets))
	behind := false
	for i := range targets {
		t := &targets[i]
		engines[i] = weights.EngineView{Incarnation: t.Incarnation, Version: fl.view.Version(t, fl.request.Model), Phase: fl.view.Phase(t)}
		behind = behind || engines[i].Version < wanted
	}
	if !behind {
		return nil
	}
	return weights.Schedule(engines, wanted)
}

// keptFor is for how long the service's engines keep a part that is not used.
func (fl *flow) keptFor(targets []fleet.Target, totals map[fleet.ID]ledger.Work) time.Duration {
	running := 0
	for i := range targets {
		running += totals[targets[i].ID].Memory.Total()
	}
	room := fl.service.Engine.CacheTokens - running/max(len(targets), 1)
	return fl.turnover.Retention(fl.view.EntryCount, len(targets), max(room, 0), fl.Now())
}

func (fl *flow) question() *placement.Input {
	q := &placement.Input{Objective: fl.route.TargetLatency - time.Since(fl.arrived), MaxStaleness: fl.Bounds.MaxStaleness, CrossZoneCost: placement.CrossZoneCost, PrefillTime: fl.readTime.PrefillTime, MaxTokens: fl.request.MaxTokens}
	q.Priority, q.LatePriority = fl.urgency(false), fl.urgency(true)
	q.PinKey = fl.apartKey()
	for i, p := range fl.request.Parts {
		if i < len(fl.request.Parts)-1 {
			q.SharedTokens += p.Tokens
			q.Family = xxhash.Sum64String(p.ID)
		}
		if i == 0 {
			q.FirstPart = xxhash.Sum64String(fl.isolated() + "\x00" + p.ID)
		}
	}
	q.OwnTokens = max(fl.request.PromptTokens-q.SharedTokens, 0)
	return q
}

// answerShare is the inverse of the part of the longest answer that answers take
// on the mean: callers state bounds, not lengths.
const answerShare = 2

func (fl *flow) toEngine(t fleet.Target, c *placement.Candidate, choice placement.Choice, q *placement.Input) *destination {
	scope := fl.scopeAt(c.Version)
	keys := parts.Keys(scope, fl.request.Parts)
	slower := max(c.Slowdown, 1)
	to := &destination{
		slower:   slower,
		expected: time.Duration(float64(choice.Wait+choice.Prefill)/slower) + choice.Fetch,
		target:   t, scope: scope, weights: c.Version, choice: choice, fetchFrom: choice.FetchFrom, keys: keys, saveTo: fl.saveTo(keys, q),
		work: ledger.Work{Running: 1, Prefill: ledger.AtPriority(choice.Priority, choice.Prefill)},
	}
	to.intake = choice.PrefillTokens + choice.FetchedTokens + q.MaxTokens/answerShare
	to.work.Memory = ledger.AtPriority(choice.Priority, to.intake)
	if fl.route.Retryable() && fl.runs+1 < fl.route.MaxAttempts {
		to.patience = patience(choice, fl.timeLeft())
	}
	return to
}

// patienceFactor is how many times the expected wait is waited before a prompt is
// sent to another engine. Engines that are only busy come within it; to leave
// them adds the prompt to another queue and throws away what was read.
const patienceFactor = 4

// patience is how long an engine is waited for before another is tried; zero
// means as long as there is time.
func patience(choice placement.Choice, left time.Duration) time.Duration {
	p := max(left/2, patienceFactor*choice.Estimate)
	if choice.Late || p >= left {
		return 0
	}
	return p
}
