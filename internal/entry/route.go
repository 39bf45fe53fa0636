package entry

import (
	"context"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/routing"
)

const (
	// probeTimeout bounds a round of probes.
	probeTimeout = 100 * time.Millisecond
	// probeGrace is how long a round waits for further responses after the first.
	probeGrace = 10 * time.Millisecond
	// Round-trip times assumed between availability zones and between regions.
	crossZoneRoundTrip   = 2 * time.Millisecond
	crossRegionRoundTrip = 30 * time.Millisecond
	permille             = 1000
)

// choice is a routing decision and what it was based on.
type choice struct {
	target   routing.Target
	estimate routing.Estimate
	// probes counts the probes sent, rounds the rounds they took.
	probes int
	rounds int
	// maxMatched is the largest number of cached tokens that a probed target reported, matched
	// that of the chosen target.
	maxMatched int
	matched    int
}

// choose probes targets in widening rounds and picks one. excluded names targets that already
// failed this request.
func (e *Entry) choose(ctx context.Context, view *View, r *completion, excluded map[string]bool) (choice, *errkind.Error) {
	targets := view.Services[r.service.Name]
	ranking := routing.Rank(targets, e.location, r.prompt.Levels)
	if ranking.Len() == 0 {
		return choice{}, errkind.NewRetryAfter(errkind.NoTarget, suspectDuration, "")
	}
	policy := &routing.DefaultPolicy
	var results []probeResult
	var estimates []routing.Estimate
	probed := 0
	chosen := choice{}
	for _, roundEnd := range policy.Rounds {
		round := e.probeRound(ctx, r, targets, &ranking, probed, min(roundEnd, ranking.Len()), excluded)
		probed = min(roundEnd, ranking.Len())
		results = append(results, round...)
		for _, result := range round {
			estimates = append(estimates, result.estimate)
		}
		chosen.rounds++
		if policy.Satisfied(r.class, estimates) || probed == ranking.Len() {
			break
		}
	}
	chosen.probes = len(estimates)
	e.metrics.Probes(chosen.probes)
	best := policy.Pick(r.class, estimates)
	if best < 0 && noneResponded(results) {
		return chooseUnprobed(targets, &ranking, excluded)
	}
	if best < 0 {
		return choice{}, combineRefusals(results)
	}
	chosen.estimate = estimates[best]
	chosen.target = targets[estimates[best].Index]
	chosen.matched = results[best].matched
	for _, result := range results {
		chosen.maxMatched = max(chosen.maxMatched, result.matched)
	}
	return chosen, nil
}

// noneResponded reports whether all probes went unanswered.
func noneResponded(results []probeResult) bool {
	for _, result := range results {
		if result.refusal.Kind != errkind.NoTarget {
			return false
		}
	}
	return true
}

// chooseUnprobed picks the first target of the ranking when no probe was answered. Datagrams
// may be lost where connections work, and the sidecar still decides on admission.
func chooseUnprobed(targets []routing.Target, ranking *routing.Ranking, excluded map[string]bool) (choice, *errkind.Error) {
	for i := range ranking.Len() {
		if t := targets[ranking.At(i)]; !excluded[t.Name] {
			return choice{target: t}, nil
		}
	}
	return choice{}, errkind.NewRetryAfter(errkind.NoTarget, suspectDuration, "all targets have been tried")
}

// probeResult is the result of one probe.
type probeResult struct {
	estimate routing.Estimate
	matched  int
	refusal  *errkind.Error
}

// indexedResult is a probe result with its position in the round.
type indexedResult struct {
	index  int
	result probeResult
}

// probeRound probes the targets of one round in parallel. After the first response it waits
// only briefly for the others, so that unresponsive targets do not delay every request.
func (e *Entry) probeRound(ctx context.Context, r *completion, targets []routing.Target, ranking *routing.Ranking, from, to int, excluded map[string]bool) []probeResult {
	results := make([]probeResult, 0, to-from)
	responses := make(chan indexedResult, to-from)
	for i := from; i < to; i++ {
		index := ranking.At(i)
		if excluded[targets[index].Name] {
			continue
		}
		position := len(results)
		results = append(results, noResponse(&targets[index], index))
		go func() { responses <- indexedResult{position, e.probe(&targets[index], index, newProbe(r))} }()
	}
	collectResults(ctx, results, responses)
	return results
}

// collectResults stores the responses until all have arrived or the round times out.
func collectResults(ctx context.Context, results []probeResult, responses <-chan indexedResult) {
	timer := time.NewTimer(probeTimeout)
	defer timer.Stop()
	for n := range results {
		select {
		case p := <-responses:
			results[p.index] = p.result
			if n == 0 {
				timer.Reset(probeGrace)
			}
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// noResponse returns the result of a probe without a response.
func noResponse(target *routing.Target, index int) probeResult {
	return probeResult{
		estimate: routing.Estimate{Index: index, Refused: true},
		refusal:  errkind.NewRetryAfter(errkind.NoTarget, suspectDuration, "%s did not respond to a probe", target.Name),
	}
}

func newProbe(r *completion) *peerv1.ProbeRequest {
	m := &peerv1.ProbeRequest{
		Workspace: r.workspaceHash, Class: uint32(r.class), PromptTokens: uint32(r.prompt.Tokens),
	}
	for _, p := range r.prompt.Points {
		m.Points = append(m.Points, p.Block)
		m.PointTokens = append(m.PointTokens, uint32(p.Tokens))
	}
	return m
}

// probe probes one target. Its timeout is independent of the round, which may end early, so
// that targets that respond late are not marked as suspect.
func (e *Entry) probe(target *routing.Target, index int, request *peerv1.ProbeRequest) probeResult {
	ctx, cancel := detachedContext(probeTimeout)
	defer cancel()
	m, err := e.prober.Probe(ctx, target.ProbeAddr, request)
	if err != nil {
		e.health.record(target.Name, routing.Suspect)
		return noResponse(target, index)
	}
	result := probeResult{estimate: routing.Estimate{Index: index, RoundTrip: e.roundTrip(target)}}
	e.follower.Hint(m.ConfigVersion, target.Address)
	if kind := errkind.Kind(m.RefusalKind); kind != errkind.None {
		e.recordLeaving(target.Name, kind)
		result.estimate.Refused = true
		result.refusal = errkind.NewRetryAfter(kind, time.Duration(m.RetryAfterMs)*time.Millisecond, "")
		return result
	}
	result.estimate.Wait = time.Duration(m.WaitMs) * time.Millisecond
	result.estimate.Prefill = time.Duration(m.PrefillMs) * time.Millisecond
	result.estimate.Busy = float64(m.BusyPermille) / permille
	result.matched = int(m.MatchedTokens)
	return result
}

// recordLeaving marks the target as leaving if it refused for that reason.
func (e *Entry) recordLeaving(target string, kind errkind.Kind) {
	if kind == errkind.Leaving {
		e.health.record(target, routing.Leaving)
	}
}

func (e *Entry) roundTrip(t *routing.Target) time.Duration {
	switch {
	case t.Zone == e.location.Zone:
		return 0
	case t.Region == e.location.Region:
		return crossZoneRoundTrip
	default:
		return crossRegionRoundTrip
	}
}

// combineRefusals returns the refusal with the shortest delay to retry after. Refusals by
// targets take precedence over probes without a response.
func combineRefusals(results []probeResult) *errkind.Error {
	refusal := errkind.NewRetryAfter(errkind.NoTarget, suspectDuration, "no target accepted the request")
	for _, result := range results {
		if result.refusal == nil || result.refusal.RetryAfter == 0 {
			continue
		}
		if result.refusal.Kind != errkind.NoTarget && (refusal.Kind == errkind.NoTarget || result.refusal.RetryAfter < refusal.RetryAfter) {
			refusal = result.refusal
		}
	}
	return refusal
}
