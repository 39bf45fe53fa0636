package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/callers"
	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/once"
	"github.com/toucanwell/toucanwell/internal/prefix"
	"github.com/toucanwell/toucanwell/internal/routing"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	// maxAttempts bounds the attempts to run one request.
	maxAttempts = 4
	// resumeWindow is how long the entry tries to resume a cut stream at its target without
	// receiving a frame, so that a sidecar can be replaced. After that the rest runs at another
	// target.
	resumeWindow = time.Second
	// resumeTimeout bounds the wait for the first frame of a resumed stream. A frozen sidecar's
	// host accepts connections, but the sidecar never responds.
	resumeTimeout = time.Second
	// resumeInterval is the wait before each attempt to resume.
	resumeInterval = 100 * time.Millisecond
	cancelTimeout  = 2 * time.Second
	// weightsPollInterval is the wait between checks for a target with the current weights.
	weightsPollInterval = 100 * time.Millisecond
)

// completion is a validated completion request.
type completion struct {
	id        string
	workspace *config.Workspace
	// workspaceHash identifies the workspace in probes.
	workspaceHash uint32
	service       *config.Service
	model         *config.Model
	adapter       string
	class         config.Class
	// parts are the prompt's parts, text their concatenation.
	parts     []string
	text      string
	prompt    prefix.Prompt
	maxTokens int
	once      *peerv1.OnceKey
	arrived   time.Time
	deadline  time.Time
}

// sink receives the frames of a completion in order. It returns an error if the caller has
// disconnected.
type sink func(*peerv1.Frame) error

// progress is the state of a completion that is being delivered to a sink.
type progress struct {
	nextSeq          uint64
	text             []byte
	timeToFirstToken time.Duration
	end              *peerv1.End
	choice           choice
	// callerGone is set when the sink failed.
	callerGone bool
}

// complete runs a request and delivers its frames to the sink, retrying at other targets as
// needed.
func (e *Entry) complete(ctx context.Context, r *completion, out sink) (*progress, *errkind.Error) {
	p := &progress{nextSeq: 1}
	e.budget.Earn(r.retryShare(e))
	excluded := map[string]bool{}
	var last *errkind.Error
	for attempt := 0; attempt < maxAttempts; attempt++ {
		if attempt > 0 && !e.mayRetry(ctx, p.nextSeq > 1, last) {
			break
		}
		chosen, refusal := e.waitForTarget(ctx, r, excluded)
		if refusal != nil {
			if last == nil {
				last = refusal
			}
			break
		}
		if callers.HasLeft(ctx) {
			p.callerGone = true
			return p, callerLeft()
		}
		p.choice = chosen
		last = e.runOnTarget(ctx, r, p, out)
		if last == nil {
			return p, nil
		}
		if p.callerGone || !last.Kind.Spec().Failover {
			break
		}
		if last.Kind == errkind.WrongWeights && p.nextSeq == 1 {
			sleep.For(ctx, weightsPollInterval)
			e.refreshWeights(r)
		} else {
			excluded[chosen.target.Name] = true
		}
		e.metrics.Retry(last.Kind.String())
		e.logger.Info("retry", "request_id", r.id, "target", chosen.target.Name, "kind", last.Kind.String(), "next_seq", p.nextSeq)
	}
	return p, e.finalRefusal(r, p, last)
}

// refreshWeights recomputes the prompt's hashes for the current weights, which changed while
// the request was under way. It must not be called once frames have been delivered: these keep
// their weights.
func (e *Entry) refreshWeights(r *completion) {
	c, _, ok := e.current()
	if !ok {
		return
	}
	if model := c.Model(r.model.Name); model != nil {
		r.hashPrompt(model)
	}
}

// hashPrompt computes the hashes of the prompt's prefixes for a model's weights.
func (r *completion) hashPrompt(model *config.Model) {
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

// mayRetry reports whether a request may go to another target. The retry budget keeps retries
// from multiplying an overload. Requests refused by a leaving target or for its weights bypass
// the budget, and so do started responses, whose work would be lost otherwise.
func (e *Entry) mayRetry(ctx context.Context, started bool, last *errkind.Error) bool {
	if ctx.Err() != nil {
		return false
	}
	if started || last.Kind == errkind.Leaving || last.Kind == errkind.WrongWeights {
		return true
	}
	return e.budget.Spend()
}

// finalRefusal returns the error for the caller. Only recorded claims decide that an
// at-most-once call did not run.
func (e *Entry) finalRefusal(r *completion, p *progress, last *errkind.Error) *errkind.Error {
	if p.nextSeq > 1 && r.once == nil && !p.callerGone {
		return errkind.New(errkind.StreamBroken, "%v", last)
	}
	if r.once != nil {
		return onceRefusal(last)
	}
	if last.Kind == errkind.UnknownRun {
		return errkind.NewRetryAfter(errkind.TargetFailed, suspectDuration, "the target lost the run")
	}
	return last
}

// onceRefusal passes on refusals of an at-most-once call that recorded claims decided. It turns
// all others into an unknown outcome, because an earlier attempt may have run.
func onceRefusal(e *errkind.Error) *errkind.Error {
	switch e.Kind {
	case errkind.NotRun, errkind.OutcomeUnknown, errkind.InProgress, errkind.KeyConflict, errkind.KeyExpired, errkind.KeyInvalid:
		return e
	}
	return errkind.NewRetryAfter(errkind.OutcomeUnknown, max(e.RetryAfter, time.Second), "the last attempt was not started or its result was lost: %v", e)
}

// waitForTarget chooses a target. While targets refuse the request for lack of the current
// weights, it waits for one to load them, up to the deadline.
func (e *Entry) waitForTarget(ctx context.Context, r *completion, excluded map[string]bool) (choice, *errkind.Error) {
	for {
		_, view, ok := e.current()
		if !ok {
			return choice{}, errkind.NewRetryAfter(errkind.ConfigurationMissing, time.Second, "")
		}
		chosen, refusal := e.chooseFor(ctx, &view, r, excluded)
		if refusal == nil || refusal.Kind != errkind.WrongWeights {
			return chosen, refusal
		}
		if time.Now().Add(weightsPollInterval).After(r.deadline) || !sleep.For(ctx, weightsPollInterval) {
			return choice{}, refusal
		}
	}
}

// chooseFor chooses the target of a request: by probing, or, for an at-most-once call, by the
// key alone, so that all attempts with a key reach the same sidecar.
func (e *Entry) chooseFor(ctx context.Context, view *View, r *completion, excluded map[string]bool) (choice, *errkind.Error) {
	if r.once == nil {
		return e.choose(ctx, view, r, excluded)
	}
	target, ok := pickByKey(view.Services[r.service.Name], r.workspace.Name, r.service.Name, r.once.Key, excluded)
	if !ok {
		return choice{}, errkind.NewRetryAfter(errkind.NoTarget, suspectDuration, "")
	}
	return choice{target: target}, nil
}

// pickByKey returns the first target for a key's claim stream that is not excluded, so that
// each sidecar handles the keys of few streams. It considers all configured targets that are
// not leaving, whether reachable or not, so that entries that observe different failures still
// agree.
func pickByKey(targets []routing.Target, workspace, service, key string, excluded map[string]bool) (routing.Target, bool) {
	streamHash := once.SlotHash(service, once.NewKey(workspace, service, key, 0, 0).Slot)
	best := -1
	var score uint64
	for i := range targets {
		t := &targets[i]
		if excluded[t.Name] || t.State == routing.Leaving {
			continue
		}
		if s := t.Score(streamHash); best < 0 || s > score {
			best, score = i, s
		}
	}
	if best < 0 {
		return routing.Target{}, false
	}
	return targets[best], true
}

// runOnTarget runs the rest of a request at the chosen target and resumes the stream there if
// it is cut.
func (e *Entry) runOnTarget(ctx context.Context, r *completion, p *progress, out sink) *errkind.Error {
	client := e.client(p.choice.target.Address)
	refusal, cut := e.startStream(ctx, client, r, p, out)
	for cutAt := time.Now(); cut && time.Since(cutAt) < resumeWindow; {
		before := p.nextSeq
		if p.callerGone || !sleep.For(ctx, resumeInterval) {
			break
		}
		e.metrics.Resume()
		refusal, cut = e.resumeStream(ctx, client, r, p, out)
		if p.nextSeq > before {
			cutAt = time.Now()
		}
	}
	if p.callerGone || ctx.Err() != nil {
		p.callerGone = true
		e.cancelRun(client, r)
		return callerLeft()
	}
	if refusal != nil && refusal.Kind == errkind.TargetFailed {
		e.health.record(p.choice.target.Name, routing.Suspect)
	}
	return refusal
}

func (e *Entry) startStream(ctx context.Context, client peerv1.GateClient, r *completion, p *progress, out sink) (refusal *errkind.Error, cut bool) {
	_, view, _ := e.current()
	request := &peerv1.RunRequest{
		ConfigVersion: view.Version, RequestId: r.id, Workspace: r.workspace.Name, Service: r.service.Name,
		Model: r.model.Name, Weights: r.model.Weights, Adapter: r.adapter, Class: uint32(r.class),
		BudgetMs: budgetMs(r.deadline, p.nextSeq), Prompt: r.text, Blocks: r.prompt.Blocks,
		PromptTokens: uint32(r.prompt.Tokens), MaxTokens: uint32(r.maxTokens),
		FromSeq: p.nextSeq, TextSoFar: string(p.text), Once: r.once,
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	stream, err := client.Run(ctx, connect.NewRequest(request))
	if refusal := exhaustedRefusal(err); refusal != nil {
		return refusal, false
	}
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
	request := &peerv1.ResumeRequest{RequestId: r.id, Workspace: r.workspace.Name, FromSeq: p.nextSeq}
	stream, err := client.Resume(ctx, connect.NewRequest(request))
	if err != nil {
		return errkind.New(errkind.TargetFailed, "%v", err), true
	}
	refusal, cut = e.copyStream(&watchedStream{frameStream: stream, watchdog: watchdog}, r, p, out)
	if refusal != nil && refusal.Kind == errkind.UnknownRun && r.once != nil {
		refusal = errkind.NewRetryAfter(errkind.OutcomeUnknown, time.Second, "the target lost the run")
	}
	return refusal, cut
}

// frameStream is the stream that Run and Resume return.
type frameStream interface {
	Receive() bool
	Msg() *peerv1.Frame
	Err() error
	Close() error
}

// watchedStream stops its watchdog on the first frame.
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

// copyStream copies frames to the sink. cut reports that the stream ended without its end mark:
// a lost connection may look like a regular end of the stream.
func (e *Entry) copyStream(stream frameStream, r *completion, p *progress, out sink) (refusal *errkind.Error, cut bool) {
	defer stream.Close()
	for stream.Receive() {
		frame := stream.Msg()
		e.follower.Hint(frame.ConfigVersion, p.choice.target.Address)
		if frame.Refusal != nil {
			return refusalOf(frame.Refusal), false
		}
		if frame.Seq < p.nextSeq {
			continue
		}
		if frame.Seq > p.nextSeq {
			return errkind.New(errkind.TargetFailed, "got frame %d, expected %d", frame.Seq, p.nextSeq), true
		}
		if p.deliver(r, frame, out); p.callerGone || p.end != nil {
			return nil, false
		}
	}
	if refusal := exhaustedRefusal(stream.Err()); refusal != nil {
		return refusal, false
	}
	return errkind.New(errkind.TargetFailed, "stream ended early: %v", stream.Err()), true
}

// exhaustedRefusal returns the refusal of a request for which its sidecar had no memory; nil if err is
// another error. The sidecar has not handled it.
func exhaustedRefusal(err error) *errkind.Error {
	if connect.CodeOf(err) != connect.CodeResourceExhausted {
		return nil
	}
	return errkind.NewRetryAfter(errkind.Overloaded, memoryRetryAfter, "the sidecar has no memory left for the request")
}

func (p *progress) deliver(r *completion, frame *peerv1.Frame, out sink) {
	if p.nextSeq == 1 {
		p.timeToFirstToken = time.Since(r.arrived)
	}
	if err := out(frame); err != nil {
		p.callerGone = true
		return
	}
	p.nextSeq++
	p.end = frame.End
	p.text = append(p.text, frame.Text...)
}

// cancelRun cancels the run of a caller that has disconnected. An at-most-once call continues,
// so that its outcome is recorded.
func (e *Entry) cancelRun(client peerv1.GateClient, r *completion) {
	if r.once != nil {
		return
	}
	ctx, cancel := detachedContext(cancelTimeout)
	defer cancel()
	request := &peerv1.CancelRequest{RequestId: r.id, Workspace: r.workspace.Name}
	if _, err := client.Cancel(ctx, connect.NewRequest(request)); err != nil {
		e.logger.Info("cancel_failed", "request_id", r.id, "error", err.Error())
	}
}

func refusalOf(m *peerv1.Refusal) *errkind.Error {
	return errkind.NewRetryAfter(errkind.Kind(m.Kind), time.Duration(m.RetryAfterMs)*time.Millisecond, "%s", m.Detail)
}

// budgetMs returns the time left until the deadline. The deadline applies to the first token
// only; a response that has started gets a fixed budget.
func budgetMs(deadline time.Time, nextSeq uint64) uint32 {
	const startedBudgetMs = 60_000
	if nextSeq > 1 {
		return startedBudgetMs
	}
	return uint32(max(time.Until(deadline).Milliseconds(), 0))
}
