package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/once"
	"github.com/toucanwell/toucanwell/internal/prefix"
	"github.com/toucanwell/toucanwell/internal/routing"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	// maxTries bounds the targets that one request is run at.
	maxTries = 4
	// resumeWindow is the time after a cut, or after the last frame since, in
	// which the stream is looked for where it ran: a sidecar that is replaced
	// needs a moment to come up. Then the rest runs elsewhere.
	resumeWindow = time.Second
	// resumeTimeout is the time in which a resume must bring its first frame.
	// A frozen sidecar's host takes connections and never answers.
	resumeTimeout = time.Second
	// resumePause is the wait before a resume.
	resumePause   = 100 * time.Millisecond
	cancelTimeout = 2 * time.Second
	// loadPause is the wait for a target with the weights in force.
	loadPause = 100 * time.Millisecond
)

// completion is one checked request for a completion.
type completion struct {
	id        string
	workspace *config.Workspace
	// workspaceHash is how probes name the workspace.
	workspaceHash uint32
	service       *config.Service
	model         *config.Model
	adapter       string
	class         config.Class
	// parts of the prompt, and the whole text.
	parts     []string
	text      string
	prompt    prefix.Prompt
	maxTokens int
	once      *peerv1.OnceKey
	arrived   time.Time
	deadline  time.Time
}

// sink takes an answer's frames in order. An error means that the caller has
// gone.
type sink func(*peerv1.Frame) error

// progress is what of an answer has reached the sink.
type progress struct {
	next  uint64
	text  []byte
	first time.Duration
	end   *peerv1.End
	made  choice
	// gone is set when the sink failed.
	gone bool
}

// complete answers a request into the sink, over as many targets as it takes.
func (e *Entry) complete(ctx context.Context, r *completion, out sink) (*progress, *errkind.Error) {
	p := &progress{next: 1}
	e.budget.Earn(r.retryShare(e))
	avoid := map[string]bool{}
	var last *errkind.Error
	for try := 0; try < maxTries; try++ {
		if try > 0 && !e.mayRetry(ctx, p.next > 1, last) {
			break
		}
		made, refusal := e.waitForTarget(ctx, r, avoid)
		if refusal != nil {
			if last == nil {
				last = refusal
			}
			break
		}
		p.made = made
		last = e.runAt(ctx, r, p, out)
		if last == nil {
			return p, nil
		}
		if p.gone || !last.Kind.Row().Elsewhere {
			break
		}
		if last.Kind == errkind.WrongWeights && p.next == 1 {
			sleep.For(ctx, loadPause)
			e.takeUpWeights(r)
		} else {
			avoid[made.target.Name] = true
		}
		e.metrics.Retry(last.Kind.String())
		e.logger.Info("retry", "request_id", r.id, "target", made.target.Name, "kind", last.Kind.String(), "next_seq", p.next)
	}
	return p, e.finalRefusal(r, p, last)
}

// takeUpWeights names the prompt anew by the weights in force: they changed
// while the request was on its way. One whose answer has begun keeps its weights.
func (e *Entry) takeUpWeights(r *completion) {
	c, _, ok := e.current()
	if !ok {
		return
	}
	if model := c.Model(r.model.Name); model != nil {
		r.nameBy(model)
	}
}

// nameBy names the prompt's prefixes by a model's weights.
func (r *completion) nameBy(model *config.Model) {
	r.model = model
	scope := prefix.Scope{Workspace: r.workspace.Name, Model: model.Name, Adapter: r.adapter, Weights: model.Weights}
	r.prompt = prefix.Parse(scope, r.parts, r.service.BlockTokens)
}

func (r *completion) retryShare(e *Entry) float64 {
	c, _, ok := e.current()
	if !ok {
		return 0
	}
	return c.Limits.RetryShare
}

// mayRetry decides about another target. Retries beyond the budget would
// multiply an overload; an answer that has begun is continued regardless,
// since breaking it off would throw away what was paid for.
func (e *Entry) mayRetry(ctx context.Context, begun bool, last *errkind.Error) bool {
	if ctx.Err() != nil {
		return false
	}
	if begun || last.Kind == errkind.Leaving || last.Kind == errkind.WrongWeights {
		return true
	}
	return e.budget.Spend()
}

// finalRefusal is what the caller is told. A call that may not be repeated is
// called not run only by the record of claims.
func (e *Entry) finalRefusal(r *completion, p *progress, last *errkind.Error) *errkind.Error {
	if p.next > 1 && r.once == nil && !p.gone {
		return errkind.New(errkind.StreamBroken, "%v", last)
	}
	if r.once != nil {
		return onceRefusal(last)
	}
	if last.Kind == errkind.UnknownRun {
		return errkind.After(errkind.TargetFailed, suspectFor, "the run was lost")
	}
	return last
}

// onceRefusal passes on what the record of claims has said, and turns every
// other refusal of a call that may not be repeated into an unknown outcome: an
// earlier try of the key may have run.
func onceRefusal(e *errkind.Error) *errkind.Error {
	switch e.Kind {
	case errkind.NotRun, errkind.OutcomeUnknown, errkind.InProgress, errkind.KeyConflict, errkind.KeyExpired, errkind.KeyInvalid:
		return e
	}
	return errkind.After(errkind.OutcomeUnknown, max(e.RetryAfter, time.Second), "this try was not started or was lost: %v", e)
}

// waitForTarget chooses a target. While all have other weights than those in
// force, it waits for one to load them, up to the deadline.
func (e *Entry) waitForTarget(ctx context.Context, r *completion, avoid map[string]bool) (choice, *errkind.Error) {
	for {
		_, view, ok := e.current()
		if !ok {
			return choice{}, errkind.After(errkind.ConfigurationMissing, time.Second, "")
		}
		made, refusal := e.chooseFor(ctx, &view, r, avoid)
		if refusal == nil || refusal.Kind != errkind.WrongWeights {
			return made, refusal
		}
		if time.Now().Add(loadPause).After(r.deadline) || !sleep.For(ctx, loadPause) {
			return choice{}, refusal
		}
	}
}

// chooseFor picks the target of a request: by quotes, or, for a call that runs
// at most once, by its key alone, so that all tries of a key meet at one gate.
func (e *Entry) chooseFor(ctx context.Context, view *View, r *completion, avoid map[string]bool) (choice, *errkind.Error) {
	if r.once == nil {
		return e.choose(ctx, view, r, avoid)
	}
	target, ok := pinned(view.Services[r.service.Name], r.workspace.Name, r.service.Name, r.once.Key, avoid)
	if !ok {
		return choice{}, errkind.After(errkind.NoTarget, suspectFor, "")
	}
	return choice{target: target}, nil
}

// pinned returns the first target for a key's claim stream that was not tried,
// so that each gate holds the keys of few streams. The ranking is over the
// configured targets that are not leaving, reachable or not, so that entries
// which see different ones fail still agree; one that cannot be reached is tried
// next.
func pinned(targets []routing.Target, workspace, service, key string, avoid map[string]bool) (routing.Target, bool) {
	hash := once.SlotHash(service, once.NewKey(workspace, service, key, 0, 0).Slot)
	best := -1
	var score uint64
	for i := range targets {
		t := &targets[i]
		if avoid[t.Name] || t.State == routing.Leaving {
			continue
		}
		if s := t.Score(hash); best < 0 || s > score {
			best, score = i, s
		}
	}
	if best < 0 {
		return routing.Target{}, false
	}
	return targets[best], true
}

// runAt runs the rest of a request at the chosen target, resuming the stream
// there while it is cut.
func (e *Entry) runAt(ctx context.Context, r *completion, p *progress, out sink) *errkind.Error {
	client := e.client(p.made.target.Address)
	refusal, cut := e.firstStream(ctx, client, r, p, out)
	for cutAt := time.Now(); cut && time.Since(cutAt) < resumeWindow; {
		before := p.next
		if p.gone || !sleep.For(ctx, resumePause) {
			break
		}
		e.metrics.Resume()
		refusal, cut = e.resumeStream(ctx, client, r, p, out)
		if p.next > before {
			cutAt = time.Now()
		}
	}
	if p.gone || ctx.Err() != nil {
		p.gone = true
		e.cancelRun(client, r)
		return errkind.New(errkind.Cancelled, "the caller has gone")
	}
	if refusal != nil && refusal.Kind == errkind.TargetFailed {
		e.health.note(p.made.target.Name, routing.Suspect)
	}
	return refusal
}

func (e *Entry) firstStream(ctx context.Context, client peerv1.GateClient, r *completion, p *progress, out sink) (refusal *errkind.Error, cut bool) {
	_, view, _ := e.current()
	request := &peerv1.RunRequest{
		ConfigVersion: view.Version, RequestId: r.id, Workspace: r.workspace.Name, Service: r.service.Name,
		Model: r.model.Name, Weights: r.model.Weights, Adapter: r.adapter, Class: uint32(r.class),
		BudgetMs: budgetMs(r.deadline, p.next), Prompt: r.text, Blocks: r.prompt.Blocks,
		PromptTokens: uint32(r.prompt.Tokens), MaxTokens: uint32(r.maxTokens),
		FromSeq: p.next, TextSoFar: string(p.text), Once: r.once,
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	stream, err := client.Run(ctx, connect.NewRequest(request))
	if err != nil {
		return errkind.New(errkind.TargetFailed, "%v", err), true
	}
	return e.copyStream(stream, r, p, out)
}

func (e *Entry) resumeStream(ctx context.Context, client peerv1.GateClient, r *completion, p *progress, out sink) (refusal *errkind.Error, cut bool) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	watchdog := time.AfterFunc(resumeTimeout, stop)
	defer watchdog.Stop()
	request := &peerv1.ResumeRequest{RequestId: r.id, Workspace: r.workspace.Name, FromSeq: p.next}
	stream, err := client.Resume(ctx, connect.NewRequest(request))
	if err != nil {
		return errkind.New(errkind.TargetFailed, "%v", err), true
	}
	refusal, cut = e.copyStream(&watchedStream{frameStream: stream, watchdog: watchdog}, r, p, out)
	if refusal != nil && refusal.Kind == errkind.UnknownRun && r.once != nil {
		refusal = errkind.After(errkind.OutcomeUnknown, time.Second, "the run was lost")
	}
	return refusal, cut
}

// frameStream is what Run and Resume return.
type frameStream interface {
	Receive() bool
	Msg() *peerv1.Frame
	Err() error
	Close() error
}

// watchedStream stops its watchdog with the first frame.
type watchedStream struct {
	frameStream
	watchdog *time.Timer
}

// Receive implements frameStream.
func (w *watchedStream) Receive() bool {
	ok := w.frameStream.Receive()
	w.watchdog.Stop()
	return ok
}

// copyStream moves frames to the sink. cut is true when the stream ended
// without its end mark: a lost connection shows as a clean end or as an error,
// and only the mark tells a whole answer.
func (e *Entry) copyStream(stream frameStream, r *completion, p *progress, out sink) (refusal *errkind.Error, cut bool) {
	defer stream.Close()
	for stream.Receive() {
		frame := stream.Msg()
		e.follower.Hint(frame.ConfigVersion, p.made.target.Address)
		if frame.Refusal != nil {
			return refusalOf(frame.Refusal), false
		}
		if frame.Seq < p.next {
			continue
		}
		if frame.Seq > p.next {
			return errkind.New(errkind.TargetFailed, "frame %d came when %d was due", frame.Seq, p.next), true
		}
		if p.take(r, frame, out); p.gone || p.end != nil {
			return nil, false
		}
	}
	return errkind.New(errkind.TargetFailed, "stream cut: %v", stream.Err()), true
}

func (p *progress) take(r *completion, frame *peerv1.Frame, out sink) {
	if p.next == 1 {
		p.first = time.Since(r.arrived)
	}
	if err := out(frame); err != nil {
		p.gone = true
		return
	}
	p.next++
	p.end = frame.End
	p.text = append(p.text, frame.Text...)
}

// cancelRun frees the target of a run whose caller has gone. A call that may
// not be repeated is left to end, so that its end is recorded.
func (e *Entry) cancelRun(client peerv1.GateClient, r *completion) {
	if r.once != nil {
		return
	}
	ctx, cancel := background(cancelTimeout)
	defer cancel()
	request := &peerv1.CancelRequest{RequestId: r.id, Workspace: r.workspace.Name}
	if _, err := client.Cancel(ctx, connect.NewRequest(request)); err != nil {
		e.logger.Info("cancel_failed", "request_id", r.id, "error", err.Error())
	}
}

func refusalOf(m *peerv1.Refusal) *errkind.Error {
	return errkind.After(errkind.Kind(m.Kind), time.Duration(m.RetryAfterMs)*time.Millisecond, "%s", m.Detail)
}

// budgetMs is the time left until the deadline. An answer that has begun has
// met its deadline already; its rest gets the whole range.
func budgetMs(deadline time.Time, next uint64) uint32 {
	const begun = 60_000
	if next > 1 {
		return begun
	}
	return uint32(max(time.Until(deadline).Milliseconds(), 0))
}
