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
	// engineResumes is how often one run continues a cut engine stream without
	// a new frame in between.
	engineResumes = 3
	resumePause   = 50 * time.Millisecond
	cancelTimeout = 2 * time.Second
)

// run is one completion at the engine. It goes on while its reader is away,
// for the time of the resume grace.
type run struct {
	engineID string
	buffer   *stream.Buffer
	cancel   context.CancelFunc
	// finished is closed when the run has left the engine.
	finished chan struct{}
}

// runKey names a run. The workspace is part of it, so that no caller reaches
// another workspace's stream.
type runKey struct{ workspace, requestID string }

// engineID names the run at the engine in a way that a restarted sidecar can
// work out again, and that another workspace cannot.
func (k runKey) engineID() string {
	sum := sha256.Sum256([]byte(k.workspace + "\x00" + k.requestID))
	return hex.EncodeToString(sum[:16])
}

// runs is the registry of a sidecar's runs. It is safe for concurrent use.
type runs struct {
	mu  sync.Mutex
	all map[runKey]*run
}

func newRuns() *runs { return &runs{all: map[runKey]*run{}} }

func (r *runs) get(key runKey) (*run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found, ok := r.all[key]
	return found, ok
}

// add registers a run, or returns the one that is there.
func (r *runs) add(key runKey, fresh *run) (*run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if found, ok := r.all[key]; ok {
		return found, false
	}
	r.all[key] = fresh
	return fresh, true
}

// unread counts the runs that have not ended.
func (r *runs) unread() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, one := range r.all {
		if !one.buffer.Ended() {
			n++
		}
	}
	return n
}

// reap ends the runs that no reader follows for longer than the grace, and
// forgets those that have ended.
func (r *runs) reap(now time.Time, grace time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, one := range r.all {
		since, idle := one.buffer.IdleSince()
		if !idle || now.Sub(since) < grace {
			continue
		}
		one.cancel()
		delete(r.all, key)
	}
}

// startRun starts a completion whose pass was decided.
func (s *Sidecar) startRun(one *run, pass *Admission, request *external.GenerateRequest, ticket *once.Ticket) {
	ctx, cancel := context.WithCancel(s.ctx)
	one.cancel = cancel
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		defer cancel()
		defer close(one.finished)
		p := &pump{sidecar: s, run: one, pass: pass, ticket: ticket, request: request}
		pass.Release(p.work(ctx))
	}()
}

// pump moves an engine's tokens into a run's buffer.
type pump struct {
	sidecar *Sidecar
	run     *run
	pass    *Admission
	ticket  *once.Ticket
	request *external.GenerateRequest
	first   bool
	text    []byte
}

// work returns what the run says of the engine's health.
func (p *pump) work(ctx context.Context) breaker.Result {
	tokens, err := p.sidecar.engine.Generate(ctx, p.request)
	if err != nil {
		return p.refuseStart(ctx, err)
	}
	err = p.copyAll(ctx, tokens)
	switch {
	case err == nil:
		p.endTicket()
		return breaker.Success
	case ctx.Err() != nil:
		p.cancelEngine()
		p.loseTicket()
		p.run.buffer.Refuse(&peerv1.Refusal{Kind: uint32(errkind.Cancelled)})
		return breaker.Neutral
	default:
		p.loseTicket()
		p.sidecar.logger.Info("run_failed", "request_id", p.run.engineID, "error", err.Error())
		p.run.buffer.Refuse(&peerv1.Refusal{Kind: uint32(p.brokenKind()), Detail: err.Error()})
		return breaker.Failure
	}
}

// brokenKind is the kind for an engine that was lost on the way: a call that
// may not be repeated has an unknown outcome, another may run elsewhere.
func (p *pump) brokenKind() errkind.Kind {
	if p.ticket != nil {
		return errkind.OutcomeUnknown
	}
	return errkind.TargetFailed
}

// refuseStart handles a generate call that gave no stream.
func (p *pump) refuseStart(ctx context.Context, err error) breaker.Result {
	if errors.Is(err, external.ErrWrongWeights) {
		p.refuseUnrun(errkind.New(errkind.WrongWeights, "the engine has other weights"))
		return breaker.Neutral
	}
	if errors.Is(err, external.ErrNotSent) {
		p.refuseUnrun(errkind.New(errkind.TargetFailed, "%v", err))
		return breaker.Failure
	}
	p.loseTicket()
	p.run.buffer.Refuse(&peerv1.Refusal{Kind: uint32(p.brokenKind()), Detail: err.Error()})
	if ctx.Err() != nil {
		p.cancelEngine()
		return breaker.Neutral
	}
	return breaker.Failure
}

// refuseUnrun refuses a run that certainly did not start. A claimed key is
// closed first, so that the refusal is true for the key.
func (p *pump) refuseUnrun(refusal *errkind.Error) {
	if p.ticket != nil {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		refusal = p.ticket.Void(ctx, time.Second, refusal.Detail)
	}
	p.run.buffer.Refuse(refusalMessage(refusal))
}

func (p *pump) endTicket() {
	if p.ticket != nil {
		p.ticket.Complete(once.Response{Status: 200, ContentType: "text/plain", Body: p.text})
	}
}

func (p *pump) loseTicket() {
	if p.ticket != nil {
		p.ticket.Abandon()
	}
}

// copyAll copies tokens up to the end mark. A stream that is cut, or that
// skips a number, is continued at the engine from the next frame: the failure
// guarded against is a lost connection beside a living engine, which shows as
// an error or a gap before the end mark.
func (p *pump) copyAll(ctx context.Context, tokens external.TokenStream) error {
	failures := 0
	for {
		before := p.run.buffer.Next()
		err := p.copy(tokens)
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

// resume opens the stream again. Only an engine that knows no such stream ends
// the tries early: it has lost it.
func (p *pump) resume(ctx context.Context, failures *int, cause error) (external.TokenStream, error) {
	for {
		if *failures++; *failures > engineResumes || !sleep.For(ctx, resumePause) {
			return nil, cause
		}
		tokens, err := p.sidecar.engine.Resume(ctx, p.run.engineID, p.run.buffer.Next())
		if err == nil || errors.Is(err, external.ErrUnknownStream) {
			return tokens, err
		}
		cause = err
	}
}

// copy copies until the end mark, and fails at a cut or a gap.
func (p *pump) copy(tokens external.TokenStream) error {
	for {
		token, err := tokens.Next()
		if err != nil {
			return err
		}
		if token.Seq > p.run.buffer.Next() {
			return errors.Newf("frame %d came when %d was due", token.Seq, p.run.buffer.Next())
		}
		if token.Seq < p.run.buffer.Next() {
			continue
		}
		p.take(token)
		if token.End {
			return nil
		}
	}
}

func (p *pump) take(token external.Token) {
	if !p.first {
		p.first = true
		p.pass.FirstToken(token.Incarnation, token.CachedTokens)
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

// cancelEngine frees the engine of a run that nobody reads.
func (p *pump) cancelEngine() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := p.sidecar.engine.Cancel(ctx, p.run.engineID); err != nil {
		p.sidecar.logger.Info("cancel_failed", "request_id", p.run.engineID, "error", err.Error())
	}
}

// adoptRun continues a run that this process does not know from the engine:
// the sidecar was restarted while its engine lived.
func (s *Sidecar) adoptRun(ctx context.Context, key runKey, from uint64) (*run, error) {
	engineID := key.engineID()
	runCtx, cancel := context.WithCancel(s.ctx)
	tokens, err := s.engine.Resume(runCtx, engineID, from)
	if err != nil {
		cancel()
		return nil, err
	}
	fresh := &run{engineID: engineID, buffer: stream.NewBuffer(from, time.Now), cancel: cancel, finished: make(chan struct{})}
	one, added := s.runs.add(key, fresh)
	if !added {
		cancel()
		_ = tokens.Close()
		return one, nil
	}
	s.logger.Info("run_adopted", "request_id", key.requestID, "from_seq", from)
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		defer cancel()
		defer close(one.finished)
		p := &pump{sidecar: s, run: one, pass: &Admission{}, first: true, request: &external.GenerateRequest{}}
		if err := p.copyAll(runCtx, tokens); err != nil {
			one.buffer.Refuse(&peerv1.Refusal{Kind: uint32(errkind.TargetFailed), Detail: err.Error()})
		}
	}()
	return one, nil
}

func refusalMessage(e *errkind.Error) *peerv1.Refusal {
	return &peerv1.Refusal{Kind: uint32(e.Kind), RetryAfterMs: uint32(e.RetryAfter.Milliseconds()), Detail: e.Detail}
}
