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
	// minServerError is the lowest status that counts as a target failure.
	minServerError = 500
	// voidRetryAfter is the retry delay for a caller whose key was voided.
	voidRetryAfter = time.Second
)

// Call implements the Gate service.
func (s *Sidecar) Call(ctx context.Context, req *connect.Request[peerv1.CallRequest]) (*connect.Response[peerv1.CallResponse], error) {
	s.observeVersion(req.Msg.ConfigVersion)
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
	a, refusal := s.assignment()
	if refusal != nil {
		return nil, refusal
	}
	if a.service.Kind != config.KindPlain || a.service.Name != m.Service {
		return nil, errkind.New(errkind.UnknownService, "this target serves %q", a.service.Name)
	}
	arrived := time.Now()
	budget := time.Duration(m.BudgetMs) * time.Millisecond
	admission, refusal := s.awaitAdmission(ctx, GateRequest{
		Workspace: m.Workspace, Weight: workspaceWeight(a, m.Workspace), Class: config.Class(m.Class),
		BlockTokens: 1, Budget: budget,
	})
	if refusal != nil {
		return nil, s.refuseAtMostOnce(ctx, a, m.Workspace, m.Once, refusal)
	}
	ticket, answer, refusal := s.claim(ctx, a, m.Workspace, m.Once)
	if refusal != nil || answer != nil {
		admission.Release(breaker.Neutral)
		return replayCall(answer), refusal
	}
	if ticket != nil && time.Since(arrived) > budget {
		// The process may have been frozen after the claim. Its caller has timed
		// out, and the key can still be voided because the call has not started.
		admission.Release(breaker.Neutral)
		return nil, ticket.Void(context.WithoutCancel(ctx), voidRetryAfter, "the deadline passed before the call started")
	}
	return s.callTarget(ctx, a, m, admission, ticket)
}

// callTarget sends the call to the target. It ignores cancellation by the
// entry, so that the outcome is always recorded.
func (s *Sidecar) callTarget(ctx context.Context, a assignment, m *peerv1.CallRequest, admission *Admission, ticket *once.Ticket) (*peerv1.CallResponse, *errkind.Error) {
	ctx = context.WithoutCancel(ctx)
	s.calls.Add(1)
	defer s.calls.Done()
	request := &external.PlainRequest{Path: m.Path, ContentType: m.ContentType, Body: m.Body, RequestID: m.RequestId, Timeout: a.service.Timeout.Duration, Memory: responseMemory(ctx)}
	if m.Once != nil {
		request.Key = m.Once.Key
	}
	response, err := s.plain.Call(ctx, request)
	if err != nil {
		admission.Release(breaker.Failure)
		return nil, callFailed(ctx, ticket, err)
	}
	if response.RetryAfter > 0 {
		s.rest(response.RetryAfter, m.RequestId)
	}
	admission.Release(breakerResult(response.Status))
	if ticket != nil {
		ticket.Complete(once.Response{Status: response.Status, ContentType: response.ContentType, Body: response.Body})
	}
	return &peerv1.CallResponse{Status: uint32(response.Status), ContentType: response.ContentType, Body: response.Body}, nil
}

// rest keeps requests from the target for the time that it has asked for.
func (s *Sidecar) rest(d time.Duration, requestID string) {
	s.logger.Info("target_wants_rest", "for", d, "request", requestID)
	s.gate.Rest(d)
}

// callFailed returns the error for a failed call. Only a call that was never
// sent is reported as not run.
func callFailed(ctx context.Context, ticket *once.Ticket, err error) *errkind.Error {
	if ticket == nil {
		return errkind.New(errkind.TargetFailed, "%v", err)
	}
	if errors.Is(err, external.ErrNotSent) {
		return ticket.Void(ctx, voidRetryAfter, "the target could not be reached")
	}
	ticket.Abandon()
	return errkind.NewRetryAfter(errkind.OutcomeUnknown, voidRetryAfter, "the target's response was lost")
}

func breakerResult(status int) breaker.Result {
	if status >= minServerError {
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

// claim claims the idempotency key of an at-most-once call. It does nothing
// for a call without a key.
func (s *Sidecar) claim(ctx context.Context, a assignment, workspace string, m *peerv1.OnceKey) (*once.Ticket, *once.Response, *errkind.Error) {
	if m == nil {
		return nil, nil, nil
	}
	return s.ledgerFor(a.service.Name).Claim(ctx, onceKey(a, workspace, m), onceTerms(a.service))
}

func onceTerms(s *config.Service) once.KeyPolicy {
	return once.KeyPolicy{AllowOpaque: s.OpaqueKeys, Lifetime: s.KeyLifetime.Duration}
}

func onceKey(a assignment, workspace string, m *peerv1.OnceKey) once.Key {
	return once.NewKey(workspace, a.service.Name, m.Key, m.IssuedUnixMs, m.Digest)
}

// refuseAtMostOnce returns the refusal of an at-most-once call for its key.
// Overload closes the key, which guarantees that the call does not run later.
// Other refusals leave the key open for another target.
func (s *Sidecar) refuseAtMostOnce(ctx context.Context, a assignment, workspace string, m *peerv1.OnceKey, refusal *errkind.Error) *errkind.Error {
	closes := refusal.Kind == errkind.Overloaded || refusal.Kind == errkind.DeadlineUnmeetable
	if m == nil || !closes {
		return refusal
	}
	ledger := s.ledgerFor(a.service.Name)
	answer, closed := ledger.VoidKey(context.WithoutCancel(ctx), onceKey(a, workspace, m), onceTerms(a.service), refusal.RetryAfter, refusal.Error())
	if answer != nil {
		return errkind.NewRetryAfter(errkind.InProgress, 0, "the call has run; retry with the same key for its response")
	}
	return closed
}

// ledgerFor returns the ledger of at-most-once calls for a service.
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
