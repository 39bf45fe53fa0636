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
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
)

const (
	// familyRanks is how many of a family's first engines in the whole fleet are asked.
	// All entries rank alike, so that they are where the family's parts are held.
	familyRanks = 3
	// nearRanks is how many of its first engines in the entry's own zone are.
	nearRanks = 2
	// spreadRanks is how many others are asked, drawn at random, when those are busy.
	spreadRanks = 4
	// busyShare is the part of the objective from which an expected first event counts
	// as late enough to ask others.
	busyShare = 0.5
	// reportStale is the age of an engine's last report from which it may have gone
	// dark: it reports ten times a second.
	reportStale = 350 * time.Millisecond
)

// probes is what sidecars said of the engines that they were asked for.
type probes struct {
	fl *flow
	// taken are the engines that were asked, by their index among the service's targets.
	taken      map[int]bool
	targets    []fleet.Target
	answers    []probe.Response
	known      []bool
	candidates []placement.Candidate
	choice     placement.Choice
	// coming is set when one of the engines reads shared parts of the prompt.
	coming bool
}

// probeEngines asks the sidecars of a prompt's first engines, and of others when those
// are busy. It returns nil when none answers: entries then go by the list and by what
// they sent themselves.
func (fl *flow) probeEngines(ctx context.Context, q *placement.Input) *probes {
	if !fl.view.LargeFleet || fl.Sidecars == nil {
		return nil
	}
	q.CrossZoneCost = placement.CrossZoneCostProbed
	switch {
	case fl.route.Priority == 0: // engines make room for them
	case fl.returns:
		q.MaxMemoryShare = placement.RetryMemoryShare
	default:
		q.MaxMemoryShare = placement.LowPriorityMemoryShare
	}
	p := &probes{fl: fl, taken: map[int]bool{}}
	ranked := fl.ranked()
	if q.PinKey != 0 {
		return p.askApart(ctx, q, ranked)
	}
	p.askMore(ctx, placement.Shortlist(q.FirstPart, q.Family, ranked, familyRanks, nearRanks))
	if !p.any() {
		return nil
	}
	p.pick(q)
	if p.choice.Index >= 0 && !p.choice.Late && p.choice.Estimate <= time.Duration(busyShare*float64(q.Objective)) {
		return p
	}
	p.askMore(ctx, placement.Sample(ranked, p.taken, spreadRanks, fl.uniform))
	p.pick(q)
	return p
}

// askApart asks for the engines that rank first for a request that is kept apart, the same
// ones at every entry.
func (p *probes) askApart(ctx context.Context, q *placement.Input, ranked []placement.RankedEngine) *probes {
	p.askMore(ctx, placement.Shortlist(q.PinKey, q.PinKey, ranked, familyRanks, 0))
	if !p.any() {
		return nil
	}
	p.pick(q)
	return p
}

// ranked are the engines of the prompt's service, as the ranking needs them.
func (fl *flow) ranked() []placement.RankedEngine {
	targets := fl.view.Targets[fl.service.Name]
	rested := fl.Health.Ejected(fl.Now())
	ranked := make([]placement.RankedEngine, len(targets))
	for i := range targets {
		t := &targets[i]
		_, ill := rested[t.Incarnation]
		ranked[i] = placement.RankedEngine{Hash: t.Hash, SameZone: t.Zone == fl.Zone, Excluded: t.Leaving || ill || t.Unconfirmed || fl.excluded[t.Incarnation] || fl.view.Unresponsive[t.Address]}
	}
	return ranked
}

func (p *probes) any() bool { return slices.Contains(p.known, true) }

// askMore asks for more engines, by their index among the service's targets.
func (p *probes) askMore(ctx context.Context, engines []int) {
	targets := p.fl.view.Targets[p.fl.service.Name]
	var addresses []netip.AddrPort
	for _, i := range engines {
		p.taken[i] = true
		p.targets = append(p.targets, targets[i])
		addresses = append(addresses, targets[i].Address)
	}
	answers, known := p.fl.Sidecars.Ask(ctx, addresses, p.fl.sharedParts())
	p.answers = append(p.answers, answers...)
	p.known = append(p.known, known...)
}

// pick makes candidates of the answers and chooses among them.
func (p *probes) pick(q *placement.Input) {
	p.adoptLives()
	p.coming = false
	prompts := map[int64]*prompt{}
	p.candidates = make([]placement.Candidate, len(p.targets))
	for i := range p.targets {
		c := p.candidate(i)
		if prompts[c.Version] == nil {
			prompts[c.Version] = p.lookUp(q, c.Version)
		}
		prompts[c.Version].addTo(&c, &p.targets[i])
		p.candidates[i] = c
		p.coming = p.coming || p.known[i] && p.answers[i].PrefillInProgress
	}
	p.choice = placement.Pick(q, p.candidates)
}

// wordOf is what a sidecar answered; its report's age is unknown when it did not.
func (p *probes) wordOf(i int) probe.Response {
	if !p.known[i] {
		return probe.Response{ReportAge: unknownAge}
	}
	return p.answers[i]
}

// adoptLives takes over the lives that sidecars tell of: the list shows an engine that
// has started again a second or two late.
func (p *probes) adoptLives() {
	for i := range p.targets {
		t := &p.targets[i]
		if life := p.answers[i].Incarnation; p.known[i] && life.Instance != "" && life != t.Incarnation {
			listing := t.Listing
			listing.Incarnation = life
			*t = fleet.NewTarget(listing)
		}
	}
}

// candidate is one engine by its sidecar's word; by the list and this entry's own sends
// where the sidecar did not answer, and then it comes last.
func (p *probes) candidate(i int) placement.Candidate {
	fl, t, a := p.fl, &p.targets[i], &p.answers[i]
	c := placement.Candidate{
		Address: t.Address, Hash: t.Hash, SameZone: t.Zone == fl.Zone, Excluded: t.Leaving || fl.excluded[t.Incarnation] || fl.mustAvoid(t),
		Version: fl.view.Version(t, fl.request.Model), Slots: t.Slots, Memory: fl.service.Engine.CacheTokens,
	}
	if c.Slots == 0 {
		c.Slots = fl.service.Engine.Slots
	}
	if p.known[i] {
		c.Work, c.OfferedLoad, c.Slowdown, c.CachedTokens = a.Work, a.OfferedLoad, a.Slowdown, a.CachedTokens
		c.Loading, c.Draining = a.Phase == weights.Loading, a.Phase == weights.Draining
		c.Ejected = a.Unhealthy || a.ReportAge > reportStale || t.Unconfirmed
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

// lookUp gathers where the prompt's shared parts are, at weights of a version: at the
// engines that were asked, and in the stores.
//
// The failure guarded against: nobody tells of stores, so that they count as holding
// most of a prompt, also of one that is never saved. Asked before an engine that surely
// holds the part that all prompts of a route begin with, they brought nothing, and each
// engine read that part anew after each load of weights.
func (p *probes) lookUp(q *placement.Input, version int64) *prompt {
	fl := p.fl
	out := &prompt{held: map[fleet.ID]int{}, shared: fl.sharedTokens()}
	for i := range p.targets {
		t, a := &p.targets[i], &p.answers[i]
		if !p.known[i] || a.CachedTokens == 0 || a.WeightVersions[fl.request.Model] != version {
			continue
		}
		out.held[t.ID] = a.CachedTokens
		if a.Phase != weights.Unresponsive && a.ReportAge <= reportStale {
			out.sources = append(out.sources, source{
				id: t.ID, address: t.Address, zone: t.Zone, peer: true, tokens: a.CachedTokens, rate: fl.linkRate(fl.service.Engine.LinkMbps),
			})
		}
	}
	p.addHolder(out, version)
	if saved(q) {
		p.addStore(out, fl.keysAt(version))
	}
	return out
}

// addHolder adds the engine that the family's first ones know to hold its parts, unless
// it was asked itself.
func (p *probes) addHolder(out *prompt, version int64) {
	fl := p.fl
	for i := range p.answers {
		a := &p.answers[i]
		if !a.Holder.IsValid() || a.WeightVersions[fl.request.Model] != version || p.asked(a.Holder) {
			continue
		}
		targets := fl.view.Targets[fl.service.Name]
		at := slices.IndexFunc(targets, func(t fleet.Target) bool { return t.Address == a.Holder })
		if at < 0 || fl.view.Unresponsive[a.Holder] {
			continue
		}
		out.sources = append(out.sources, source{
			id: targets[at].ID, address: a.Holder, zone: targets[at].Zone, peer: true, tokens: out.shared, rate: fl.linkRate(fl.service.Engine.LinkMbps),
		})
		return
	}
}

// asked reports whether the sidecar of an engine answered.
func (p *probes) asked(engine netip.AddrPort) bool {
	for i := range p.targets {
		if p.known[i] && p.targets[i].Address == engine {
			return true
		}
	}
	return false
}

// addStore adds the store of the prompt's parts: as one that holds them all when one of
// the engines has saved them lately.
func (p *probes) addStore(out *prompt, keys []parts.Key) {
	fl := p.fl
	s := fl.storeOf(keys)
	if s == nil {
		return
	}
	one := source{
		id: storeID(s.Store.Address.String()), address: s.Store.Address, zone: s.Store.Zone,
		rate: fl.linkRate(min(s.Store.LinkMbps, fl.service.Engine.LinkMbps)),
	}
	if p.saved() {
		one.tokens = out.shared
	} else {
		one.unknown = fl.linkQueue(s.Store.Address) < fullLink
	}
	out.sources = append(out.sources, one)
}

// saved reports whether one of the engines has saved the prompt's parts lately.
func (p *probes) saved() bool {
	return slices.ContainsFunc(p.answers, func(a probe.Response) bool { return a.Offloaded })
}

// sharedParts names the prompt's shared parts.
func (fl *flow) sharedParts() probe.Prompt {
	p := probe.Prompt{Model: fl.request.Model, IsolatedWorkspace: fl.isolated()}
	if n := len(fl.request.Parts) - 1; n > 0 {
		p.Parts = fl.request.Parts[:n]
	}
	return p
}

// lifetimeMargin is added to the longest time that an engine works on a prompt: its
// sidecar forgets the prompt then if it is not told of its end.
const lifetimeMargin = 2 * time.Second

// tellSent tells the engine's sidecar of a send.
func (fl *flow) tellSent(to *destination) {
	fl.outcome = health.Good
	if !to.probed {
		return
	}
	to.number = fl.Sidecars.Sent(to.target.Address, probe.Send{
		Prompt: fl.sharedParts(), WeightVersion: to.weights, PrefillTime: time.Duration(to.slower * float64(fl.readTime.BlockingTime(to.choice.PrefillTokens))),
		Priority: to.choice.Priority, Memory: to.choice.CachedTokens + to.intake, Offloaded: to.saveTo != "",
		Lifetime: min(fl.timeLeft(), to.choice.Estimate+time.Duration(fl.request.MaxTokens)*tokenTime+lifetimeMargin),
	})
	if to.first != to.target.Address && to.choice.PrefillTokens > fl.request.PromptTokens-fl.sharedTokens() {
		to.firstNumber = fl.Sidecars.Sent(to.first, probe.Send{Prompt: fl.sharedParts(), WeightVersion: to.weights, Offloaded: to.saveTo != "", Holder: to.target.Address})
	}
}

// tellRead tells the engine's sidecar that the prompt has been read.
func (fl *flow) tellRead(to *destination) {
	if !to.probed {
		return
	}
	read := probe.Progress{PrefillDone: true}
	if to.choice.PrefillTokens > 0 {
		read.Latency, read.ExpectedLatency = time.Since(fl.sentAt), to.expected
	}
	fl.tellProgress(to, read)
}

// tellProgress tells the engine's sidecar, and that of the family's first engine where it
// was told of the send.
func (fl *flow) tellProgress(to *destination, p probe.Progress) {
	fl.Sidecars.Progressed(to.target.Address, to.number, p)
	if to.firstNumber != 0 {
		fl.Sidecars.Progressed(to.first, to.firstNumber, p)
	}
}

func (fl *flow) tellEnded(to *destination) {
	if to.probed {
		fl.tellProgress(to, probe.Progress{Ended: true, Outcome: fl.outcome})
	}
}

// judge takes in what a send says of its target.
func (fl *flow) judge(to *destination, o health.Outcome) {
	fl.outcome = o
	fl.Health.Record(fl.service.Name, to.target.Incarnation, o, fl.Now())
}
