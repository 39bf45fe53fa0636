package forward

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/health"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/gateway/placement"
	"github.com/toucanwell/toucanwell/internal/gateway/probe"
	"github.com/toucanwell/toucanwell/internal/gateway/readtime"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
)

const (
	// familyProbes is how many of a family's best ranked engines of the fleet are probed.
	// All entries rank alike, so the family's parts are cached there.
	familyProbes = 3
	// sameZoneProbes is how many of its best ranked engines in the entry's own zone are
	// probed.
	sameZoneProbes = 2
	// randomProbes is how many randomly drawn engines are probed when the others are busy.
	randomProbes = 4
	// busyShare is the share of the latency objective above which the expected first event
	// counts as late and more engines are probed.
	busyShare = 0.5
	// staleReportAge is the age of its last report from which an engine may be
	// unresponsive: engines report ten times a second.
	staleReportAge = 350 * time.Millisecond
)

// probeRound holds the engines probed for a prompt, their responses and the choice among
// them.
type probeRound struct {
	fl *flow
	// selected holds the indexes of the probed engines among the service's targets.
	selected   map[int]bool
	targets    []fleet.Target
	responses  []probe.Response
	responded  []bool
	candidates []placement.Candidate
	choice     placement.Choice
	// inProgress is set if a probed engine is computing shared parts of the prompt.
	inProgress bool
}

// probeEngines probes the best ranked engines of a prompt, and others when those are busy.
// It returns nil if no sidecar responds: the entry then relies on the target list and its
// own sends.
func (fl *flow) probeEngines(ctx context.Context, in *placement.Input) *probeRound {
	if !fl.view.LargeFleet || fl.Sidecars == nil {
		return nil
	}
	in.CrossZoneCost = placement.CrossZoneCostProbed
	in.MaxMemoryShare, in.MayWait = fl.memoryShare(), fl.queueEnabled.Load()
	p := &probeRound{fl: fl, selected: map[int]bool{}}
	ranked := fl.ranked()
	if in.PinKey != 0 {
		return p.probeSuspect(ctx, in, ranked)
	}
	p.probeMore(ctx, placement.Shortlist(in.FirstPart, in.Family, ranked, familyProbes, sameZoneProbes))
	if !p.anyResponded() {
		return nil
	}
	p.pick(in)
	if p.choice.Index >= 0 && !p.choice.Late && p.choice.Estimate <= time.Duration(busyShare*float64(in.Objective)) {
		return p
	}
	p.probeMore(ctx, placement.Sample(ranked, p.selected, randomProbes, fl.uniform))
	p.pick(in)
	return p
}

// memoryShare returns the share of an engine's memory beyond which it gets no more requests like this
// one; zero for no bound.
func (fl *flow) memoryShare() float64 {
	switch {
	case fl.route.Priority == 0 || fl.origin.bound: // engines preempt others for these
		return 0
	case fl.isRetry:
		return placement.RetryMemoryShare
	default:
		return placement.LowPriorityMemoryShare
	}
}

// probeSuspect probes the best ranked engines for a quarantined request. They are the same
// at every entry.
func (p *probeRound) probeSuspect(ctx context.Context, in *placement.Input, ranked []placement.RankedEngine) *probeRound {
	p.probeMore(ctx, placement.Shortlist(in.PinKey, in.PinKey, ranked, familyProbes, 0))
	if !p.anyResponded() {
		return nil
	}
	p.pick(in)
	return p
}

// ranked returns the engines of the prompt's service for ranking.
func (fl *flow) ranked() []placement.RankedEngine {
	targets := fl.view.Targets[fl.service.Name]
	ejected := fl.Health.Ejected(fl.Now())
	ranked := make([]placement.RankedEngine, len(targets))
	for i := range targets {
		t := &targets[i]
		_, isEjected := ejected[t.Incarnation]
		ranked[i] = placement.RankedEngine{Hash: t.Hash, SameZone: t.Zone == fl.Zone, Excluded: t.Leaving || isEjected || t.Unconfirmed || fl.excluded[t.Incarnation] || fl.view.Unresponsive[t.Address] || fl.mustNotContinueAt(t) || fl.isRestrained(t)}
	}
	return ranked
}

func (p *probeRound) anyResponded() bool { return slices.Contains(p.responded, true) }

// probeMore probes engines, given by their index among the service's targets.
func (p *probeRound) probeMore(ctx context.Context, engines []int) {
	targets := p.fl.view.Targets[p.fl.service.Name]
	var addresses []netip.AddrPort
	for _, i := range engines {
		p.selected[i] = true
		p.targets = append(p.targets, targets[i])
		addresses = append(addresses, targets[i].Address)
	}
	responses, responded := p.fl.Sidecars.Probe(ctx, addresses, p.fl.sharedParts())
	p.responses = append(p.responses, responses...)
	p.responded = append(p.responded, responded...)
}

// pick chooses among all engines probed so far.
func (p *probeRound) pick(in *placement.Input) {
	p.adoptIncarnations()
	p.inProgress = false
	byVersion := map[int64]*promptLocations{}
	p.candidates = make([]placement.Candidate, len(p.targets))
	for i := range p.targets {
		c := p.candidate(i)
		if byVersion[c.Version] == nil {
			byVersion[c.Version] = p.lookUp(in, c.Version)
		}
		byVersion[c.Version].fillCandidate(&c, &p.targets[i])
		p.candidates[i] = c
		p.inProgress = p.inProgress || p.responded[i] && p.responses[i].PrefillInProgress
	}
	p.fl.applySpeeds(in, p.candidates, false, func(i int) readtime.Speed { return readtime.FromReport(p.responses[i].Speed) })
	p.choice = placement.Pick(in, p.candidates)
}

// responseOf returns an engine's response, or one of unknown age if there is none.
func (p *probeRound) responseOf(i int) probe.Response {
	if !p.responded[i] {
		return probe.Response{ReportAge: unknownAge}
	}
	return p.responses[i]
}

// adoptIncarnations updates the targets to the incarnations that their sidecars report: the
// target list shows a restarted engine a second or two late.
func (p *probeRound) adoptIncarnations() {
	for i := range p.targets {
		t := &p.targets[i]
		if incarnation := p.responses[i].Incarnation; p.responded[i] && incarnation.Instance != "" && incarnation != t.Incarnation {
			*t = t.WithIncarnation(incarnation)
		}
	}
}

// candidate returns the candidate for a probed engine. Without a response it is based on the
// target list and this entry's own sends, and is used as a last resort.
func (p *probeRound) candidate(i int) placement.Candidate {
	fl, t, a := p.fl, &p.targets[i], &p.responses[i]
	c := placement.Candidate{
		Address: t.Address, Hash: t.Hash, SameZone: t.Zone == fl.Zone, Excluded: t.Leaving || fl.excluded[t.Incarnation] || fl.mustAvoid(t) || fl.mustNotContinueAt(t) || fl.isRestrained(t),
		Version: fl.view.Version(t, fl.request.Model), Slots: t.Slots, Memory: fl.service.Engine.CacheTokens,
	}
	if c.Slots == 0 {
		c.Slots = fl.service.Engine.Slots
	}
	if p.responded[i] {
		c.Work, c.OfferedLoad, c.Slowdown, c.CachedTokens = a.Work, a.OfferedLoad, a.Slowdown, a.CachedTokens
		c.Loading, c.Draining = a.Phase == weights.Loading, a.Phase == weights.Draining
		c.Ejected = a.Unhealthy || a.ReportAge > staleReportAge || t.Unconfirmed
		c.Excluded = c.Excluded || a.Phase == weights.Unresponsive
		if version, ok := a.WeightVersions[fl.request.Model]; ok {
			c.Version = version
		}
	} else {
		c.Work, c.Ejected = fl.Ledger.OwnAt(t.ID, fl.Now()), true
	}
	c.StaleFor = fl.view.Wanted[fl.request.Model].StaleFor(c.Version, fl.Now())
	return c
}

// lookUp returns where the prompt's shared parts are cached at a version of the weights: at
// the probed engines and in the stores.
//
// A store is a source only for prompts that are offloaded. Its content isn't known here, so
// that it would otherwise be preferred to engines that do have the parts. A fetch from it would
// bring nothing, and each engine would prefill a route's first part again after a weight load.
func (p *probeRound) lookUp(in *placement.Input, version int64) *promptLocations {
	fl := p.fl
	out := &promptLocations{cached: map[fleet.ID]int{}, sharedTokens: fl.sharedTokens()}
	for i := range p.targets {
		t, a := &p.targets[i], &p.responses[i]
		if !p.responded[i] || a.CachedTokens == 0 || a.WeightVersions[fl.request.Model] != version {
			continue
		}
		out.cached[t.ID] = a.CachedTokens
		if a.Phase != weights.Unresponsive && a.ReportAge <= staleReportAge {
			out.sources = append(out.sources, source{
				id: t.ID, address: t.Address, zone: t.Zone, peer: true, tokens: a.CachedTokens, rate: fl.linkRate(fl.service.Engine.LinkMbps),
			})
		}
	}
	p.addHolder(out, version)
	if shouldOffload(in) {
		p.addStore(out, fl.partKeysAt(version))
	}
	return out
}

// addHolder adds the engine that the best ranked engines report as holder of the family's
// parts, unless it was probed itself.
func (p *probeRound) addHolder(out *promptLocations, version int64) {
	fl := p.fl
	for i := range p.responses {
		a := &p.responses[i]
		if !a.Holder.IsValid() || a.WeightVersions[fl.request.Model] != version || p.hasResponded(a.Holder) {
			continue
		}
		targets := fl.view.Targets[fl.service.Name]
		index := slices.IndexFunc(targets, func(t fleet.Target) bool { return t.Address == a.Holder })
		if index < 0 || fl.view.Unresponsive[a.Holder] {
			continue
		}
		out.sources = append(out.sources, source{
			id: targets[index].ID, address: a.Holder, zone: targets[index].Zone, peer: true, tokens: out.sharedTokens, rate: fl.linkRate(fl.service.Engine.LinkMbps),
		})
		return
	}
}

// hasResponded reports whether the sidecar of an engine responded.
func (p *probeRound) hasResponded(engine netip.AddrPort) bool {
	for i := range p.targets {
		if p.responded[i] && p.targets[i].Address == engine {
			return true
		}
	}
	return false
}

// addStore adds the store of the prompt's parts. It is expected to hold all of them if one
// of the engines has offloaded them recently.
func (p *probeRound) addStore(out *promptLocations, keys []parts.Key) {
	fl := p.fl
	s := fl.storeOf(keys)
	if s == nil {
		return
	}
	store := source{
		id: storeID(s.Store.Address.String()), address: s.Store.Address, zone: s.Store.Zone,
		rate: fl.linkRate(min(s.Store.LinkMbps, fl.service.Engine.LinkMbps)),
	}
	if p.offloaded() {
		store.tokens = out.sharedTokens
	} else {
		store.unknown = fl.linkQueue(s.Store.Address) < maxLinkQueue
	}
	out.sources = append(out.sources, store)
}

// offloaded reports whether a probed engine has offloaded the prompt's parts recently.
func (p *probeRound) offloaded() bool {
	return slices.ContainsFunc(p.responses, func(a probe.Response) bool { return a.Offloaded })
}

// sharedParts returns the prompt's shared parts for a probe.
func (fl *flow) sharedParts() probe.Prompt {
	p := probe.Prompt{Model: fl.request.Model, CacheDomain: fl.cacheDomain}
	if n := len(fl.request.Parts) - 1; n > 0 {
		p.Parts = fl.request.Parts[:n]
	}
	return p
}

// lifetimeMargin is added to the longest expected run of a prompt. The sidecar forgets the
// prompt after that time even if its end is not reported.
const lifetimeMargin = 2 * time.Second

// slowTokenTime is the time per output token at an engine under load, well above the mean.
const slowTokenTime = 25 * time.Millisecond

// notifySent reports a send to the engine's sidecar. If shared parts are computed elsewhere
// than at the family's first engine, it reports the send to that engine's sidecar too.
func (fl *flow) notifySent(dst *destination) {
	fl.outcome = health.Good
	if !dst.probed {
		return
	}
	dst.sendID = fl.Sidecars.NotifySend(dst.target.Address, probe.Send{
		Prompt: fl.sharedParts(), WeightVersion: dst.weightsVersion, PrefillTime: time.Duration(dst.slowdown * float64(fl.prefillTime.BlockingTime(dst.choice.PrefillTokens))),
		Priority: dst.choice.Priority, Memory: dst.choice.CachedTokens + dst.memoryTokens, Offloaded: dst.offloadTo != "",
		Lifetime: min(fl.timeLeft(), dst.choice.Estimate+time.Duration(fl.request.MaxTokens)*slowTokenTime+lifetimeMargin),
	})
	if dst.familyFirst != dst.target.Address && dst.choice.PrefillTokens > fl.request.PromptTokens-fl.sharedTokens() {
		dst.familyFirstSendID = fl.Sidecars.NotifySend(dst.familyFirst, probe.Send{Prompt: fl.sharedParts(), WeightVersion: dst.weightsVersion, Offloaded: dst.offloadTo != "", Holder: dst.target.Address})
	}
}

// notifyPrefilled reports to the engine's sidecar that the prefill has completed.
func (fl *flow) notifyPrefilled(dst *destination) {
	if !dst.probed {
		return
	}
	progress := probe.Progress{PrefillDone: true}
	if dst.choice.PrefillTokens > 0 {
		progress.Latency, progress.ExpectedLatency = time.Since(fl.sentAt), dst.expectedFirstEvent
	}
	fl.notifyProgress(dst, progress)
}

// notifyProgress reports progress to the sidecars that were notified of the send.
func (fl *flow) notifyProgress(dst *destination, p probe.Progress) {
	fl.Sidecars.NotifyProgress(dst.target.Address, dst.sendID, p)
	if dst.familyFirstSendID != 0 {
		fl.Sidecars.NotifyProgress(dst.familyFirst, dst.familyFirstSendID, p)
	}
}

// notifyEnded reports the end of a send and its health outcome.
func (fl *flow) notifyEnded(dst *destination) {
	if dst.probed {
		fl.notifyProgress(dst, probe.Progress{Ended: true, Outcome: fl.outcome})
	}
}

// recordOutcome records the health outcome of a send.
func (fl *flow) recordOutcome(dst *destination, o health.Outcome) {
	fl.outcome = o
	fl.Health.Record(fl.service.Name, dst.target.Incarnation, o, fl.Now())
}
