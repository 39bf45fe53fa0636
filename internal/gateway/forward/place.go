package forward

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/gateway/placement"
	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
	"github.com/toucanwell/toucanwell/internal/gateway/readtime"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	// placeInterval is the time between placement attempts while no target can accept the
	// request, and maxPlaceWait the longest total wait. Weight loads finish, and targets
	// are listed, within some hundred milliseconds.
	placeInterval = 10 * time.Millisecond
	maxPlaceWait  = 400 * time.Millisecond
	// probeInterval replaces placeInterval where each attempt probes sidecars.
	probeInterval = 25 * time.Millisecond
	// placeWaitShare limits the wait to a share of the remaining time: a refused caller
	// needs the rest to retry.
	placeWaitShare = 0.25
)

// place chooses the target of the next send, and waits for one if necessary.
func (fl *flow) place(ctx context.Context) (*destination, *errkind.Error) {
	if dst := fl.placeAtPreviousTarget(ctx); dst != nil {
		return dst, nil
	}
	fl.awaitEnd(ctx)
	if fl.usesQueue() {
		return fl.placeQueued(ctx)
	}
	return fl.placePolling(ctx)
}

// placePolling chooses the target of the next send, and attempts placement repeatedly for a short time
// if there is none.
func (fl *flow) placePolling(ctx context.Context) (*destination, *errkind.Error) {
	start := time.Now()
	fl.restrictions.denials = 0
	for {
		v, ok := fl.View()
		if ok {
			fl.view = v
		}
		fl.updateRestrictions()
		dst, refusal := fl.chooseForStatus(ctx)
		if refusal != nil && (refusal.Kind != errkind.NoTarget || time.Since(start) > fl.placeWait()) {
			return nil, refusal
		}
		if refusal == nil && (dst.probation != 0 || !fl.shouldAwaitParts(dst)) {
			if fl.admitAtTarget(ctx, dst) {
				return dst, nil
			}
			fl.endProbation(dst)
			if fl.restrictions.denials <= maxDenials {
				continue
			}
		}
		if !sleep.For(ctx, placeIntervalOf(dst)) {
			return nil, fl.contextRefusal(ctx)
		}
	}
}

// placeIntervalOf returns the time until the next attempt after one with a destination that is not used
// yet, or with none.
func placeIntervalOf(dst *destination) time.Duration {
	if dst != nil && dst.probed {
		return probeInterval
	}
	return placeInterval
}

// placeWait returns how long to wait for a target. Requests in quarantine wait for their
// probation run. In large fleets prompts wait only briefly, because a refused caller is
// told to retry soon.
func (fl *flow) placeWait() time.Duration {
	if v := fl.quarantineStatus.Verdict; v == quarantine.Alone || v == quarantine.Held {
		return min(probationWait, time.Duration(probationWaitShare*float64(fl.timeLeft())))
	}
	wait := min(maxPlaceWait, time.Duration(placeWaitShare*float64(fl.timeLeft())))
	if fl.view.LargeFleet && fl.route.HasPrompts && fl.route.TargetLatency > 0 {
		wait = min(wait, time.Duration(unnoticedWaitShare*float64(fl.route.TargetLatency)))
	}
	return wait
}

const (
	// unnoticedWaitShare is the share of the latency objective that callers don't notice.
	unnoticedWaitShare = 0.125
	// maxPartsWait is how long a prompt waits at most for a part that an engine is
	// computing for another request, and maxPartsWaitShare the same as a share of the
	// latency objective. The prefill of 5,000 tokens takes about 100 ms.
	maxPartsWait      = 250 * time.Millisecond
	maxPartsWaitShare = 0.4
)

// shouldAwaitParts reports whether the prompt should wait for a shared part whose prefill
// is in progress for another request. Sent at once, it would compute the part a second
// time, even at the same engine.
func (fl *flow) shouldAwaitParts(dst *destination) bool {
	waited := time.Since(fl.arrived)
	if dst.probed && !dst.inProgress {
		return false
	}
	if len(dst.partKeys) == 0 || waited > maxPartsWait || waited > time.Duration(maxPartsWaitShare*float64(fl.route.TargetLatency)) {
		return false
	}
	if dst.probed {
		return true
	}
	now := fl.Now()
	for i, k := range dst.partKeys {
		cached, inProgress := false, false
		fl.Parts.VisitLocations(k, fl.request.Parts[i].Tokens, now, func(_ fleet.ID, s parts.State) {
			cached = cached || s == parts.Cached
			inProgress = inProgress || s == parts.InProgress
		})
		if !cached {
			return inProgress
		}
	}
	return false
}

// choose chooses a target from the current view, without waiting.
func (fl *flow) choose(ctx context.Context) (*destination, *errkind.Error) {
	if fl.service.Engine != nil && fl.Reach.Partitioned(fl.Now()) {
		return nil, errkind.NewRetryAfter(errkind.CutOff, fl.jitter(otherEntryRetryAfter), "no engine or sidecar has responded recently")
	}
	if fl.service.Engine != nil && fl.route.HasPrompts {
		return fl.chooseEngine(ctx)
	}
	return fl.choosePlain()
}

// choosePlain chooses the target of a request without a prompt: the least loaded one,
// preferably in the entry's availability zone.
func (fl *flow) choosePlain() (*destination, *errkind.Error) {
	totals := fl.Ledger.Totals(fl.Now())
	ejected := fl.Health.Ejected(fl.Now())
	best, lowest := -1, math.Inf(1)
	targets := fl.view.Targets[fl.service.Name]
	for i := range targets {
		t := &targets[i]
		if t.Leaving || fl.excluded[t.Incarnation] || fl.mustAvoid(t) || fl.mustNotContinueAt(t) || fl.isRestrained(t) {
			continue
		}
		if cost := fl.plainCost(t, totals[t.ID], ejected); cost < lowest {
			best, lowest = i, cost
		}
	}
	if best < 0 {
		if refusal := fl.throttledRefusal(); refusal != nil {
			return nil, refusal
		}
		return nil, errkind.NewRetryAfter(errkind.NoTarget, fl.jitter(busyRetryAfter), "no target of %s", fl.service.Name)
	}
	dst := &destination{target: targets[best], work: ledger.Work{Running: 1}}
	if fl.mayTryAnother(&dst.target) {
		dst.maxWait = fl.timeLeft() / 2
	}
	return dst, nil
}

// mayTryAnother reports whether the request may be sent to another target than t if that does not respond.
func (fl *flow) mayTryAnother(t *fleet.Target) bool {
	if !fl.route.Retryable() || fl.runs+1 >= fl.route.MaxAttempts {
		return false
	}
	return slices.ContainsFunc(fl.view.Targets[fl.service.Name], func(other fleet.Target) bool {
		return other.Incarnation != t.Incarnation && !other.Leaving && !fl.excluded[other.Incarnation]
	})
}

const (
	// crossZoneRequests is the cost of another availability zone, ejectedRequests that of
	// an ejected target, in running requests.
	crossZoneRequests = 3
	ejectedRequests   = 1000
	// largeFleetSpread randomizes the choice in large fleets, where entries don't know each
	// other's sends. Without it the targets of each zone would serve just that zone's
	// requests, although zones have different numbers of targets.
	largeFleetSpread = 4
	// doubtfulRequests is the cost of a target that may be gone.
	doubtfulRequests = 100
)

// plainCost returns the cost of a target in running requests.
func (fl *flow) plainCost(t *fleet.Target, w ledger.Work, ejected map[fleet.Incarnation]time.Time) float64 {
	cost := float64(w.Running) + fl.uniform()/2
	if key := fl.suspectKey(); key != 0 {
		cost = placement.Rank(key, t.Hash)
	} else if fl.view.LargeFleet {
		cost += fl.uniform() * largeFleetSpread
	}
	if t.Zone != fl.Zone && fl.suspectKey() == 0 {
		cost += crossZoneRequests
	}
	if t.Unconfirmed {
		cost += doubtfulRequests
	}
	if _, ok := ejected[t.Incarnation]; ok {
		cost += ejectedRequests
	}
	if excess := w.Running + 1 - t.Slots; t.Slots > 0 && excess > 0 {
		cost += float64(excess)
	}
	return cost
}

// chooseEngine chooses the engine of a prompt.
func (fl *flow) chooseEngine(ctx context.Context) (*destination, *errkind.Error) {
	in := fl.placementInput()
	if p := fl.probeEngines(ctx, in); p != nil {
		dst, refusal := fl.resolveChoice(in, p.candidates, p.targets, p.choice)
		if dst != nil {
			dst.probed, dst.familyFirst, dst.probeCount = true, p.targets[0].Address, len(p.targets)
			dst.probeResponse = p.responseOf(dst.choice.Index)
			if p.offloaded() {
				dst.offloadTo = ""
			}
			dst.inProgress = p.inProgress && dst.choice.CachedTokens+dst.choice.FetchedTokens < in.SharedTokens
		}
		return dst, refusal
	}
	if fl.queueEnabled.Load() {
		in.MaxMemoryShare, in.MayWait = fl.memoryShare(), true
	}
	candidates := fl.engineCandidates(in)
	return fl.resolveChoice(in, candidates, fl.view.Targets[fl.service.Name], placement.Pick(in, candidates))
}

// resolveChoice turns a placement choice into a destination or a refusal.
func (fl *flow) resolveChoice(in *placement.Input, candidates []placement.Candidate, targets []fleet.Target, choice placement.Choice) (*destination, *errkind.Error) {
	if choice.Index < 0 {
		if refusal := fl.throttledRefusal(); refusal != nil {
			return nil, refusal
		}
		return nil, errkind.NewRetryAfter(errkind.NoTarget, fl.jitter(fl.noEngineRetryAfter(in)), "no engine of %s can accept the request now", fl.service.Name)
	}
	if remaining := fl.firstEventTimeout(); choice.Estimate > remaining {
		return nil, errkind.NewRetryAfter(errkind.DeadlineUnmeetable, fl.jitter(choice.Estimate-remaining), "the first event is expected in %s", choice.Estimate)
	}
	c := &candidates[choice.Index]
	dst := fl.engineDestination(targets[choice.Index], c, choice, in)
	dst.linkTime = choice.Fetch
	if choice.FetchedTokens == 0 && choice.FetchFrom.IsValid() {
		missing := unknownStoreShare * float64(max(in.SharedTokens-choice.CachedTokens, 0))
		dst.linkTime = time.Duration(c.Source.FetchMs(int(missing)) * float64(time.Millisecond))
	}
	return dst, nil
}

// memoryFullRetryAfter is the retry delay for callers whose prompt fits into no engine's
// memory: long prompts run for seconds and free it one after the other.
const memoryFullRetryAfter = 1500 * time.Millisecond

// noEngineRetryAfter returns the retry delay for a caller whose prompt no engine can
// accept.
func (fl *flow) noEngineRetryAfter(in *placement.Input) time.Duration {
	if in.MaxMemoryShare > 0 {
		return memoryFullRetryAfter
	}
	return busyRetryAfter
}

// firstEventTimeout returns the time left for the first event, which may be less than the
// time until the deadline: callers of streams give up earlier if they receive nothing.
func (fl *flow) firstEventTimeout() time.Duration {
	if fl.route.MaxWait == 0 {
		return fl.timeLeft()
	}
	return min(fl.timeLeft(), fl.route.MaxWait-time.Since(fl.arrived))
}

// engineCandidates returns the engines of the prompt's service with the factors that apply.
func (fl *flow) engineCandidates(in *placement.Input) []placement.Candidate {
	candidates := fl.candidates()
	targets := fl.view.Targets[fl.service.Name]
	fl.applySpeeds(in, candidates, true, func(i int) readtime.Speed {
		return fl.engineSpeeds.measured.Speed(targets[i].Incarnation, fl.Now())
	})
	return candidates
}

// candidates returns the engines of the prompt's service, in the order of the view.
func (fl *flow) candidates() []placement.Candidate {
	targets := fl.view.Targets[fl.service.Name]
	wanted := fl.view.Wanted[fl.request.Model]
	candidates := make([]placement.Candidate, len(targets))
	totals := fl.Ledger.Totals(fl.Now())
	fl.totalWork = totals
	ejected := fl.Health.Ejected(fl.Now())
	retention := fl.partRetention(targets, totals)
	schedule := fl.loadSchedule(targets)
	locations := fl.locationsByVersion(retention)
	for i := range targets {
		t := &targets[i]
		c := &candidates[i]
		*c = placement.Candidate{
			Address: t.Address, Hash: t.Hash, SameZone: t.Zone == fl.Zone,
			Excluded: t.Leaving || fl.excluded[t.Incarnation] || fl.mustAvoid(t) || fl.mustNotContinueAt(t) || fl.isRestrained(t), Loading: fl.view.Phase(t) == weights.Loading, Draining: fl.view.Phase(t) == weights.Draining, Version: fl.view.Version(t, fl.request.Model),
			Slots: t.Slots, Memory: fl.service.Engine.CacheTokens, Work: totals[t.ID],
		}
		c.LoadStartsIn, c.LoadScheduled = schedule[t.Incarnation]
		c.Slowdown = fl.paces.Factor(t.Incarnation, fl.Now())
		c.StaleFor = wanted.StaleFor(c.Version, fl.Now())
		if c.Slots == 0 {
			c.Slots = fl.service.Engine.Slots
		}
		_, c.Ejected = ejected[t.Incarnation]
		c.Ejected = c.Ejected || t.Unconfirmed || fl.view.Unresponsive[t.Address]
		locations.get(c.Version).fillCandidate(c, t)
	}
	return candidates
}

// loadSchedule returns the time until each engine loads the wanted weights; nil if no
// engine is stale.
func (fl *flow) loadSchedule(targets []fleet.Target) map[fleet.Incarnation]time.Duration {
	wanted := fl.view.Wanted[fl.request.Model].Newest()
	engines := make([]weights.EngineView, len(targets))
	stale := false
	for i := range targets {
		t := &targets[i]
		engines[i] = weights.EngineView{Incarnation: t.Incarnation, Version: fl.view.Version(t, fl.request.Model), Phase: fl.view.Phase(t)}
		stale = stale || engines[i].Version < wanted
	}
	if !stale {
		return nil
	}
	return weights.Schedule(engines, wanted)
}

// partRetention returns how long the service's engines keep an unused part cached.
func (fl *flow) partRetention(targets []fleet.Target, totals map[fleet.ID]ledger.Work) time.Duration {
	running := 0
	for i := range targets {
		running += totals[targets[i].ID].Memory.Total()
	}
	free := fl.service.Engine.CacheTokens - running/max(len(targets), 1)
	return fl.turnover.Retention(fl.view.EntryCount, len(targets), max(free, 0), fl.Now())
}

// placementInput returns what the placement decision needs to know about the request.
func (fl *flow) placementInput() *placement.Input {
	in := &placement.Input{Objective: fl.route.TargetLatency - time.Since(fl.arrived), MaxStaleness: fl.Bounds.MaxStaleness, CrossZoneCost: placement.CrossZoneCost, PrefillTime: fl.prefillTime.PrefillTime, MaxTokens: fl.request.MaxTokens}
	in.Priority, in.LatePriority = fl.priority(false), fl.priority(true)
	in.PinKey = fl.suspectKey()
	for i, p := range fl.request.Parts {
		if i < len(fl.request.Parts)-1 {
			in.SharedTokens += p.Tokens
			in.Family = xxhash.Sum64String(p.ID)
		}
		if i == 0 {
			in.FirstPart = xxhash.Sum64String(fl.cacheDomain + "\x00" + p.ID)
		}
	}
	in.OwnTokens = max(fl.request.PromptTokens-in.SharedTokens, 0)
	return in
}

// meanOutputDivisor divides max tokens to estimate the mean length of an output: callers state
// limits, not lengths.
const meanOutputDivisor = 2

// engineDestination returns the destination for a chosen candidate.
func (fl *flow) engineDestination(t fleet.Target, c *placement.Candidate, choice placement.Choice, in *placement.Input) *destination {
	cacheScope := fl.cacheScopeAt(c.Version)
	partKeys := parts.Keys(cacheScope, fl.request.Parts)
	slowdown := c.Slowdown
	if !in.Uneven {
		slowdown = max(slowdown, 1)
	}
	dst := &destination{
		slowdown:           slowdown,
		running:            c.Work.Running + 1,
		expectedFirstEvent: choice.AtUsualSpeed(slowdown),
		target:             t, cacheScope: cacheScope, weightsVersion: c.Version, choice: choice, fetchFrom: choice.FetchFrom, partKeys: partKeys, offloadTo: fl.offloadTo(partKeys, in),
		work: ledger.Work{Running: 1, Prefill: ledger.AtPriority(choice.Priority, choice.Prefill)},
	}
	dst.memoryTokens = choice.PrefillTokens + choice.FetchedTokens + in.MaxTokens/meanOutputDivisor
	dst.work.Memory = ledger.AtPriority(choice.Priority, dst.memoryTokens)
	if fl.mayTryAnother(&dst.target) {
		dst.maxWait = firstEventMaxWait(choice, fl.timeLeft())
	}
	return dst
}

// maxWaitFactor is how many times the estimated wait passes before a prompt is sent to
// another engine. Busy engines respond within it; abandoning one discards its prefill and
// adds the prompt to another queue.
const maxWaitFactor = 4

// firstEventMaxWait returns how long to wait for an engine's first event before another
// engine is tried; zero means until the deadline.
func firstEventMaxWait(choice placement.Choice, left time.Duration) time.Duration {
	wait := max(left/2, maxWaitFactor*choice.Estimate)
	if choice.Late || wait >= left {
		return 0
	}
	return wait
}
