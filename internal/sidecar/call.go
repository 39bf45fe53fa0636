package sidecar

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/breaker"
	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/once"
)

const (
	// serverError is the first status that speaks against a target's health.
	serverError = 500
	// voidRetry is when a caller may come back with a new key.
	voidRetry = time.Second
)

// Call implements the Gate service.
func (s *Sidecar) Call(ctx context.Context, req *connect.Request[peerv1.CallRequest]) (*connect.Response[peerv1.CallResponse], error) {
	s.noteVersion(req.Msg.ConfigVersion)
	resp, refusal := s.call(ctx, req.Msg)
	if refusal != nil {
		resp = &peerv1.CallResponse{Refusal: refusalMessage(refusal)}
	}
	if snapshot, ok := s.board.Config.Get(); ok {
		resp.ConfigVersion = snapshot.Version
	}
	return connect.NewResponse(resp), nil
}

func (s *Sidecar) call(ctx context.Context, m *peerv1.CallRequest) (*peerv1.CallResponse, *errkind.Error) {
	o, refusal := s.own()
	if refusal != nil {
		return nil, refusal
	}
	if o.service.Kind != config.KindPlain || o.service.Name != m.Service {
		return nil, errkind.New(errkind.UnknownService, "this target serves %q", o.service.Name)
	}
	arrived := time.Now()
	budget := time.Duration(m.BudgetMs) * time.Millisecond
	pass, refusal := s.enter(ctx, GateRequest{
		Workspace: m.Workspace, Weight: weightOf(o, m.Workspace), Class: config.Class(m.Class),
		BlockTokens: 1, Budget: budget,
	})
	if refusal != nil {
		return nil, s.refuseOnce(ctx, o, m.Workspace, m.Once, refusal)
	}
	ticket, answer, refusal := s.claim(ctx, o, m.Workspace, m.Once)
	if refusal != nil || answer != nil {
		pass.Release(breaker.Neutral)
		return replayCall(answer), refusal
	}
	if ticket != nil && time.Since(arrived) > budget {
		// A process that was frozen after its claim wakes here: its caller has
		// an answer by now, and the key can still be closed unrun.
		pass.Release(breaker.Neutral)
		return nil, ticket.Void(context.WithoutCancel(ctx), voidRetry, "the deadline passed before the call started")
	}
	return s.callTarget(ctx, o, m, pass, ticket)
}

// callTarget makes the one call. It goes on when the entry is gone, so that
// its end is recorded.
func (s *Sidecar) callTarget(ctx context.Context, o own, m *peerv1.CallRequest, pass *Admission, ticket *once.Ticket) (*peerv1.CallResponse, *errkind.Error) {
	ctx = context.WithoutCancel(ctx)
	s.calls.Add(1)
	defer s.calls.Done()
	request := &external.PlainRequest{Path: m.Path, ContentType: m.ContentType, Body: m.Body, RequestID: m.RequestId, Timeout: o.service.Timeout.Duration}
	if m.Once != nil {
		request.Key = m.Once.Key
	}
	answer, err := s.plain.Call(ctx, request)
	if err != nil {
		pass.Release(breaker.Failure)
		return nil, failedCall(ctx, ticket, err)
	}
	pass.Release(healthOf(answer.Status))
	if ticket != nil {
		ticket.Complete(once.Response{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body})
	}
	return &peerv1.CallResponse{Status: uint32(answer.Status), ContentType: answer.ContentType, Body: answer.Body}, nil
}

// failedCall decides what a failed call may be said to have done. Only a call
// that never left counts as not run.
func failedCall(ctx context.Context, ticket *once.Ticket, err error) *errkind.Error {
	if ticket == nil {
		return errkind.New(errkind.TargetFailed, "%v", err)
	}
	if errors.Is(err, external.ErrNotSent) {
		return ticket.Void(ctx, voidRetry, "the target could not be reached")
	}
	ticket.Abandon()
	return errkind.NewRetryAfter(errkind.OutcomeUnknown, voidRetry, "the target's answer was lost")
}

func healthOf(status int) breaker.Result {
	if status >= serverError {
		return breaker.Failure
	}
	return breaker.Success
}

func replayCall(answer *once.Response) *peerv1.CallResponse {
	if answer == nil {
		return nil
	}
	return &peerv1.CallResponse{Status: uint32(answer.Status), ContentType: answer.ContentType, Body: answer.Body, Replayed: true}
}

// claim takes the right to run a call that may not be repeated. Without a key
// there is nothing to claim.
func (s *Sidecar) claim(ctx context.Context, o own, workspace string, m *peerv1.OnceKey) (*once.Ticket, *once.Response, *errkind.Error) {
	if m == nil {
		return nil, nil, nil
	}
	return s.ledgerFor(o.service.Name).Claim(ctx, onceKey(o, workspace, m), termsOf(o.service))
}

func termsOf(s *config.Service) once.KeyPolicy {
	return once.KeyPolicy{AllowOpaque: s.OpaqueKeys, Lifetime: s.KeyLifetime.Duration}
}

func onceKey(o own, workspace string, m *peerv1.OnceKey) once.Key {
	return once.NewKey(workspace, o.service.Name, m.Key, m.IssuedUnixMs, m.Digest)
}

// refuseOnce turns the gate's refusal of a call that may not be repeated into
// one that is true for its key: overload closes the key, so that "not run"
// holds; every other refusal leaves the key open for another target.
func (s *Sidecar) refuseOnce(ctx context.Context, o own, workspace string, m *peerv1.OnceKey, refusal *errkind.Error) *errkind.Error {
	closes := refusal.Kind == errkind.Overloaded || refusal.Kind == errkind.DeadlineUnmeetable
	if m == nil || !closes {
		return refusal
	}
	ledger := s.ledgerFor(o.service.Name)
	answer, closed := ledger.VoidKey(context.WithoutCancel(ctx), onceKey(o, workspace, m), termsOf(o.service), refusal.RetryAfter, refusal.Error())
	if answer != nil {
		return errkind.NewRetryAfter(errkind.InProgress, 0, "the call has run; ask again with the same key for its answer")
	}
	return closed
}

// ledgerFor returns the record of calls of a service.
func (s *Sidecar) ledgerFor(service string) *once.Ledger {
	s.ledgerMu.Lock()
	defer s.ledgerMu.Unlock()
	l, ok := s.ledgers[service]
	if !ok {
		l = once.NewLedger(s.log, service, s.settings.Platform.LogRetention.Duration, s.settings.Timing.ClaimInterval.Duration, time.Now)
		s.ledgers[service] = l
	}
	return l
}
