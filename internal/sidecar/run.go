package sidecar

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/breaker"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/once"
	"github.com/toucanwell/toucanwell/internal/sleep"
	"github.com/toucanwell/toucanwell/internal/stream"
)

const (
	// maxEngineResumes is how often a run resumes an interrupted engine stream
	// without a new frame in between.
	maxEngineResumes  = 3
	engineResumeDelay = 50 * time.Millisecond
	cancelTimeout     = 2 * time.Second
)

// run is a completion at the engine. It continues without a reader for the
// resume grace period.
type run struct {
	engineID string
	buffer   *stream.Buffer
	cancel   context.CancelFunc
	// finished is closed when the run has ended at the engine.
	finished chan struct{}
	// memory is that of the frames in the buffer.
	memory *runMemory
}

func (s *Sidecar) newRun(engineID string, from uint64, cancel context.CancelFunc) *run {
	return &run{
		engineID: engineID, buffer: stream.NewBuffer(from, time.Now), cancel: cancel, finished: make(chan struct{}),
		memory: &runMemory{budget: s.responses},
	}
}

// runKey identifies a run. It includes the workspace, so that callers cannot
// read streams of other workspaces.
type runKey struct{ workspace, requestID string }

// engineID returns the request ID of the run at the engine. It is derived from
// the key, so that a restarted sidecar can resume the run, and differs between
// workspaces.
func (k runKey) engineID() string {
	sum := sha256.Sum256([]byte(k.workspace + "\x00" + k.requestID))
	return hex.EncodeToString(sum[:16])
}

// runs is the registry of runs of a sidecar. It is safe for concurrent use.
type runs struct {
	mu    sync.Mutex
	byKey map[runKey]*run
}

func newRuns() *runs { return &runs{byKey: map[runKey]*run{}} }

func (r *runs) get(key runKey) (*run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	existing, ok := r.byKey[key]
	return existing, ok
}

// add registers a run, or returns the existing run and false.
func (r *runs) add(key runKey, newRun *run) (*run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if existing, ok := r.byKey[key]; ok {
		return existing, false
	}
	r.byKey[key] = newRun
	return newRun, true
}

// active returns the number of runs that have not ended.
func (r *runs) active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, current := range r.byKey {
		if !current.buffer.Ended() {
			n++
		}
	}
	return n
}

// reap cancels and removes runs that have had no reader for the grace period.
func (r *runs) reap(now time.Time, grace time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, current := range r.byKey {
		since, idle := current.buffer.IdleSince()
		if !idle || now.Sub(since) < grace {
			continue
		}
		r.remove(key, current)
	}
}

// remove cancels and removes a run. The caller must hold mu.
func (r *runs) remove(key runKey, current *run) {
	current.cancel()
	delete(r.byKey, key)
	current.memory.release()
}

// reclaim removes the run that has ended and been without a reader for longest, which can't be resumed then, and
// reports whether there was one.
func (r *runs) reclaim() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var longest runKey
	var longestSince time.Time
	for key, current := range r.byKey {
		since, idle := current.buffer.IdleSince()
		if idle && current.buffer.Ended() && (longestSince.IsZero() || since.Before(longestSince)) {
			longest, longestSince = key, since
		}
	}
	if longestSince.IsZero() {
		return false
	}
	r.remove(longest, r.byKey[longest])
	return true
}

// startRun starts an admitted completion.
func (s *Sidecar) startRun(r *run, admission *Admission, request *external.GenerateRequest, ticket *once.Ticket) {
	ctx, cancel := context.WithCancel(s.ctx)
	r.cancel = cancel
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		defer cancel()
		defer close(r.finished)
		p := &pump{sidecar: s, run: r, admission: admission, ticket: ticket, request: request}
		admission.Release(p.pump(ctx))
	}()
}

// pump copies the tokens of an engine stream to the buffer of a run.
type pump struct {
	sidecar   *Sidecar
	run       *run
	admission *Admission
	ticket    *once.Ticket
	request   *external.GenerateRequest
	started   bool
	text      []byte
}

// pump runs the completion and returns its result for the breaker.
func (p *pump) pump(ctx context.Context) breaker.Result {
	tokens, err := p.sidecar.engine.Generate(ctx, p.request)
	if err != nil {
		return p.startFailed(ctx, err)
	}
	err = p.copyToEnd(ctx, tokens)
	switch {
	case err == nil:
		p.completeTicket()
		return breaker.Success
	case ctx.Err() != nil:
		p.cancelEngine()
		p.loseTicket()
		p.run.buffer.Refuse(&peerv1.Refusal{Kind: uint32(errkind.Cancelled)})
		return breaker.Neutral
	default:
		if errors.Is(err, errResponseMemory) {
			p.cancelEngine()
		}
		p.loseTicket()
		p.sidecar.logger.Info("run_failed", "request_id", p.run.engineID, "error", err.Error())
		p.run.buffer.Refuse(&peerv1.Refusal{Kind: uint32(p.failureKind()), Detail: err.Error()})
		return breaker.Failure
	}
}

// failureKind returns the error kind for a run whose engine failed. The outcome
// of an at-most-once run is unknown; other runs may be retried elsewhere.
func (p *pump) failureKind() errkind.Kind {
	if p.ticket != nil {
		return errkind.OutcomeUnknown
	}
	return errkind.TargetFailed
}

// startFailed handles a Generate call that returned no stream.
func (p *pump) startFailed(ctx context.Context, err error) breaker.Result {
	if errors.Is(err, external.ErrWrongWeights) {
		p.refuseNotRun(errkind.New(errkind.WrongWeights, "the engine has different weights loaded"))
		return breaker.Neutral
	}
	if errors.Is(err, external.ErrNotSent) {
		p.refuseNotRun(errkind.New(errkind.TargetFailed, "%v", err))
		return breaker.Failure
	}
	if after := external.RetryAfter(err); after > 0 {
		p.sidecar.rest(after, p.run.engineID)
	}
	p.loseTicket()
	p.run.buffer.Refuse(&peerv1.Refusal{Kind: uint32(p.failureKind()), Detail: err.Error()})
	if ctx.Err() != nil {
		p.cancelEngine()
		return breaker.Neutral
	}
	return breaker.Failure
}

// refuseNotRun refuses a run that did not start. A claimed key is voided first,
// which guarantees that the run does not start later.
func (p *pump) refuseNotRun(refusal *errkind.Error) {
	if p.ticket != nil {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		refusal = p.ticket.Void(ctx, time.Second, refusal.Detail)
	}
	p.run.buffer.Refuse(refusalMessage(refusal))
}

func (p *pump) completeTicket() {
	if p.ticket != nil {
		p.ticket.Complete(once.Response{Status: 200, ContentType: "text/plain", Body: p.text})
	}
}

func (p *pump) loseTicket() {
	if p.ticket != nil {
		p.ticket.Abandon()
	}
}

// copyToEnd copies tokens up to the end mark. If the stream breaks or skips a
// sequence number, it is resumed at the next frame: the connection may have been
// lost while the engine still runs.
func (p *pump) copyToEnd(ctx context.Context, tokens external.TokenStream) error {
	failures := 0
	for {
		before := p.run.buffer.Next()
		err := p.copyStream(tokens)
		_ = tokens.Close()
		if err == nil {
			return nil
		}
		if p.run.buffer.Next() > before {
			failures = 0
		}
		tokens, err = p.resume(ctx, &failures, err)
		if err != nil {
			return err
		}
	}
}

// resume reopens the stream, with retries. It stops early if the engine does not
// know the stream, or no memory is left for it.
func (p *pump) resume(ctx context.Context, failures *int, cause error) (external.TokenStream, error) {
	if errors.Is(cause, errResponseMemory) {
		return nil, cause
	}
	for {
		if *failures++; *failures > maxEngineResumes || !sleep.For(ctx, engineResumeDelay) {
			return nil, cause
		}
		tokens, err := p.sidecar.engine.Resume(ctx, p.run.engineID, p.run.buffer.Next())
		if err == nil || errors.Is(err, external.ErrUnknownStream) {
			return tokens, err
		}
		cause = err
	}
}

// copyStream copies tokens up to the end mark. It fails if the stream breaks or
// skips a sequence number.
func (p *pump) copyStream(tokens external.TokenStream) error {
	for {
		token, err := tokens.Next()
		if err != nil {
			return err
		}
		if token.Seq > p.run.buffer.Next() {
			return errors.Newf("received frame %d, expected %d", token.Seq, p.run.buffer.Next())
		}
		if token.Seq < p.run.buffer.Next() {
			continue
		}
		if !p.run.memory.take(p.memoryOf(token)) {
			return errResponseMemory
		}
		p.handleToken(token)
		if token.End {
			return nil
		}
	}
}

// memoryOf returns what a token takes in the buffer, and in the text of a run that is recorded.
func (p *pump) memoryOf(token external.Token) int64 {
	n := frameMemory + len(token.Text)
	if p.ticket != nil {
		n += len(token.Text)
	}
	return int64(n)
}

func (p *pump) handleToken(token external.Token) {
	if !p.started {
		p.started = true
		p.admission.FirstToken(token.Incarnation, token.CachedTokens)
	}
	frame := &peerv1.Frame{Seq: token.Seq, Text: token.Text}
	if token.End {
		frame.End = &peerv1.End{
			FinishReason:     token.FinishReason,
			PromptTokens:     uint32(p.request.PromptTokens),
			CachedTokens:     uint32(token.CachedTokens),
			CompletionTokens: uint32(token.Seq - 1),
		}
	}
	if p.ticket != nil {
		p.text = append(p.text, token.Text...)
	}
	p.run.buffer.Append(frame)
}

// cancelEngine cancels the run at the engine.
func (p *pump) cancelEngine() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := p.sidecar.engine.Cancel(ctx, p.run.engineID); err != nil {
		p.sidecar.logger.Info("cancel_failed", "request_id", p.run.engineID, "error", err.Error())
	}
}

// adoptRun resumes a run that the engine started for an earlier process of this
// sidecar.
func (s *Sidecar) adoptRun(ctx context.Context, key runKey, from uint64) (*run, error) {
	engineID := key.engineID()
	runCtx, cancel := context.WithCancel(s.ctx)
	tokens, err := s.engine.Resume(runCtx, engineID, from)
	if err != nil {
		cancel()
		return nil, err
	}
	newRun := s.newRun(engineID, from, cancel)
	r, added := s.runs.add(key, newRun)
	if !added {
		cancel()
		_ = tokens.Close()
		return r, nil
	}
	s.logger.Info("run_adopted", "request_id", key.requestID, "from_seq", from)
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		defer cancel()
		defer close(r.finished)
		p := &pump{sidecar: s, run: r, admission: &Admission{}, started: true, request: &external.GenerateRequest{}}
		if err := p.copyToEnd(runCtx, tokens); err != nil {
			r.buffer.Refuse(&peerv1.Refusal{Kind: uint32(errkind.TargetFailed), Detail: err.Error()})
		}
	}()
	return r, nil
}

func refusalMessage(e *errkind.Error) *peerv1.Refusal {
	return &peerv1.Refusal{Kind: uint32(e.Kind), RetryAfterMs: uint32(e.RetryAfter.Milliseconds()), Detail: e.Detail}
}
