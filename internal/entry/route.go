package entry

import (
	"context"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/routing"
)

const (
	// probeTimeout bounds one round of probes. A sidecar that does not answer
	// within it is frozen, gone or cut off.
	probeTimeout = 100 * time.Millisecond
	// probeGrace is how long a round waits for others after its first answer.
	probeGrace = 10 * time.Millisecond
	// zoneDistance is the round trip across availability zones, regionDistance
	// across regions.
	zoneDistance   = 2 * time.Millisecond
	regionDistance = 30 * time.Millisecond
	permille       = 1000
)

// choice is a routing decision with its reason.
type choice struct {
	target routing.Target
	quote  routing.Estimate
	// probes sent, and rounds made.
	probes int
	rounds int
	// bestMatched is the most tokens that any asked target held.
	bestMatched int
	matched     int
}

// choose asks targets in widening rounds and picks one. avoid names targets
// that failed this request already.
func (e *Entry) choose(ctx context.Context, view *View, r *completion, avoid map[string]bool) (choice, *errkind.Error) {
	targets := view.Services[r.service.Name]
	ranking := routing.Rank(targets, e.place, r.prompt.Levels)
	if ranking.Len() == 0 {
		return choice{}, errkind.After(errkind.NoTarget, suspectFor, "")
	}
	policy := &routing.DefaultPolicy
	var answers []answer
	var quotes []routing.Estimate
	asked := 0
	made := choice{}
	for _, upTo := range policy.Rounds {
		fresh := e.probeRound(ctx, r, targets, &ranking, asked, min(upTo, ranking.Len()), avoid)
		asked = min(upTo, ranking.Len())
		answers = append(answers, fresh...)
		for _, a := range fresh {
			quotes = append(quotes, a.quote)
		}
		made.rounds++
		if policy.Satisfied(r.class, quotes) || asked == ranking.Len() {
			break
		}
	}
	made.probes = len(quotes)
	e.metrics.Probes(made.probes)
	best := policy.Pick(r.class, quotes)
	if best < 0 && silent(answers) {
		return blind(targets, &ranking, avoid)
	}
	if best < 0 {
		return choice{}, noneTook(answers)
	}
	made.quote = quotes[best]
	made.target = targets[quotes[best].Index]
	made.matched = answers[best].matched
	for _, a := range answers {
		made.bestMatched = max(made.bestMatched, a.matched)
	}
	return made, nil
}

// silent reports whether no probe was answered at all.
func silent(answers []answer) bool {
	for _, a := range answers {
		if a.refusal.Kind != errkind.NoTarget {
			return false
		}
	}
	return true
}

// blind picks the first of the ranking when no probe was answered: datagrams
// may be lost where connections are not, and the gate decides in any case.
func blind(targets []routing.Target, ranking *routing.Ranking, avoid map[string]bool) (choice, *errkind.Error) {
	for i := range ranking.Len() {
		if t := targets[ranking.At(i)]; !avoid[t.Name] {
			return choice{target: t}, nil
		}
	}
	return choice{}, errkind.After(errkind.NoTarget, suspectFor, "no target is left to try")
}

// answer is what one probe brought.
type answer struct {
	quote   routing.Estimate
	matched int
	refusal *errkind.Error
}

// placed is an answer with its position in the round.
type placed struct {
	at     int
	answer answer
}

// probeRound asks the targets of one round at once. After the first answer the
// others have a short time to follow: a dead target, which never answers, would
// otherwise hold up a request each time it is tried again.
func (e *Entry) probeRound(ctx context.Context, r *completion, targets []routing.Target, ranking *routing.Ranking, from, to int, avoid map[string]bool) []answer {
	answers := make([]answer, 0, to-from)
	results := make(chan placed, to-from)
	for i := from; i < to; i++ {
		index := ranking.At(i)
		if avoid[targets[index].Name] {
			continue
		}
		at := len(answers)
		answers = append(answers, unanswered(&targets[index], index))
		go func() { results <- placed{at, e.probe(&targets[index], index, newProbe(r))} }()
	}
	collect(ctx, answers, results)
	return answers
}

// collect fills in the answers until all are there or the time is over.
func collect(ctx context.Context, answers []answer, results <-chan placed) {
	wait := time.NewTimer(probeTimeout)
	defer wait.Stop()
	for n := range answers {
		select {
		case p := <-results:
			answers[p.at] = p.answer
			if n == 0 {
				wait.Reset(probeGrace)
			}
		case <-wait.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// unanswered stands for a probe that has brought nothing.
func unanswered(target *routing.Target, index int) answer {
	return answer{
		quote:   routing.Estimate{Index: index, Refused: true},
		refusal: errkind.After(errkind.NoTarget, suspectFor, "%s does not answer", target.Name),
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

// probe asks one target. It has its own time, so that one that answers late is
// told from one that never does.
func (e *Entry) probe(target *routing.Target, index int, request *peerv1.ProbeRequest) answer {
	ctx, cancel := background(probeTimeout)
	defer cancel()
	m, err := e.prober.Probe(ctx, target.ProbeAddr, request)
	if err != nil {
		e.health.note(target.Name, routing.Suspect)
		return unanswered(target, index)
	}
	a := answer{quote: routing.Estimate{Index: index, RoundTrip: e.distance(target)}}
	e.follower.Hint(m.ConfigVersion, target.Address)
	if kind := errkind.Kind(m.RefusalKind); kind != errkind.None {
		e.noteRefusal(target.Name, kind)
		a.quote.Refused = true
		a.refusal = errkind.After(kind, time.Duration(m.RetryAfterMs)*time.Millisecond, "")
		return a
	}
	a.quote.Wait = time.Duration(m.WaitMs) * time.Millisecond
	a.quote.Prefill = time.Duration(m.PrefillMs) * time.Millisecond
	a.quote.Busy = float64(m.BusyPermille) / permille
	a.matched = int(m.MatchedTokens)
	return a
}

func (e *Entry) noteRefusal(target string, kind errkind.Kind) {
	if kind == errkind.Leaving {
		e.health.note(target, routing.Leaving)
	}
}

func (e *Entry) distance(t *routing.Target) time.Duration {
	switch {
	case t.Zone == e.place.Zone:
		return 0
	case t.Region == e.place.Region:
		return zoneDistance
	default:
		return regionDistance
	}
}

// noneTook turns the refusals of all asked targets into one. Waiting helps
// when any of them says so; the soonest counts.
func noneTook(answers []answer) *errkind.Error {
	refusal := errkind.After(errkind.NoTarget, suspectFor, "no target took the request")
	for _, a := range answers {
		if a.refusal == nil || a.refusal.RetryAfter == 0 {
			continue
		}
		if a.refusal.Kind != errkind.NoTarget && (refusal.Kind == errkind.NoTarget || a.refusal.RetryAfter < refusal.RetryAfter) {
			refusal = a.refusal
		}
	}
	return refusal
}
