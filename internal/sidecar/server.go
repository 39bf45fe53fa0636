package sidecar

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/breaker"
	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/configlog"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/once"
	"github.com/toucanwell/toucanwell/internal/prefix"
	"github.com/toucanwell/toucanwell/internal/stream"
)

const (
	permille = 1000
	// expiryMargin ensures that the deadline has passed when the timer fires.
	expiryMargin = time.Millisecond
)

// assignment is the configuration of this sidecar's target.
type assignment struct {
	snapshot configlog.Snapshot
	service  *config.Service
	model    *config.Model
}

// assignment returns the current configuration of the target, or why there is
// none.
func (s *Sidecar) assignment() (assignment, *errkind.Error) {
	snapshot, ok := s.board.Config.Get()
	if !ok {
		return assignment{}, errkind.NewRetryAfter(errkind.ConfigurationMissing, time.Second, "")
	}
	service, _ := snapshot.Config.FindTarget(s.settings.Name)
	if service == nil {
		return assignment{}, errkind.New(errkind.Leaving, "the configuration no longer lists this target")
	}
	return assignment{snapshot: snapshot, service: service, model: snapshot.Config.ModelOf(service.Name)}, nil
}

// checkWeights refuses requests for weights other than the configured ones, even
// if the engine still has them loaded, because they are about to be replaced.
func (s *Sidecar) checkWeights(a assignment, weights string) *errkind.Error {
	if a.service.Kind != config.KindEngine {
		return nil
	}
	if weights != a.model.Weights {
		return errkind.New(errkind.WrongWeights, "the configured weights are %q, requested %q", a.model.Weights, weights)
	}
	loaded, _ := s.board.Engine.Get()
	if loaded.Weights != weights || loaded.Loading {
		const loadRetry = 200 * time.Millisecond
		return errkind.NewRetryAfter(errkind.WrongWeights, loadRetry, "the engine has %q loaded, requested %q", loaded.Weights, weights)
	}
	return nil
}

// Probe answers a probe datagram.
func (s *Sidecar) Probe(m *peerv1.ProbeRequest) *peerv1.ProbeResponse {
	resp := &peerv1.ProbeResponse{Id: m.Id}
	quote, refusal := s.quote(m, resp)
	if refusal != nil {
		resp.RefusalKind = uint32(refusal.Kind)
		resp.RetryAfterMs = uint32(refusal.RetryAfter.Milliseconds())
		return resp
	}
	resp.WaitMs = uint32(quote.Wait.Milliseconds())
	resp.PrefillMs = uint32(quote.Prefill.Milliseconds())
	resp.MatchedTokens = uint32(quote.MatchedTokens)
	resp.BusyPermille = uint32(quote.Busy * permille)
	return resp
}

func (s *Sidecar) quote(m *peerv1.ProbeRequest, resp *peerv1.ProbeResponse) (Quote, *errkind.Error) {
	a, refusal := s.assignment()
	if refusal != nil {
		return Quote{}, refusal
	}
	resp.ConfigVersion = a.snapshot.Version
	if a.model != nil {
		if refusal := s.checkWeights(a, a.model.Weights); refusal != nil {
			return Quote{}, refusal
		}
	}
	class := min(config.Class(m.Class), config.NumClasses-1)
	points := make([]prefix.Point, 0, len(m.Points))
	for i := range min(len(m.Points), len(m.PointTokens)) {
		points = append(points, prefix.Point{Block: m.Points[i], Tokens: int(m.PointTokens[i])})
	}
	return s.gate.Quote(QuoteInput{Workspace: m.Workspace, Class: class, Points: points, PromptTokens: int(m.PromptTokens)})
}

// Run implements the Gate service.
func (s *Sidecar) Run(ctx context.Context, req *connect.Request[peerv1.RunRequest], out *connect.ServerStream[peerv1.Frame]) error {
	m := req.Msg
	s.observeVersion(m.ConfigVersion)
	key := runKey{m.Workspace, m.RequestId}
	if r, ok := s.runs.get(key); ok {
		return s.follow(ctx, r, m.FromSeq, out)
	}
	r, refusal := s.admitRun(ctx, key, m)
	if refusal != nil {
		snapshot, _ := s.board.Config.Get()
		return out.Send(&peerv1.Frame{Refusal: refusalMessage(refusal), ConfigVersion: snapshot.Version})
	}
	return s.follow(ctx, r, m.FromSeq, out)
}

func (s *Sidecar) follow(ctx context.Context, r *run, from uint64, out *connect.ServerStream[peerv1.Frame]) error {
	snapshot, _ := s.board.Config.Get()
	return r.buffer.Follow(ctx, from, func(f *peerv1.Frame) error {
		if f.Seq == from || f.End != nil {
			f = &peerv1.Frame{Seq: f.Seq, Text: f.Text, End: f.End, Refusal: f.Refusal, ConfigVersion: snapshot.Version}
		}
		return out.Send(f)
	})
}

// admitRun waits for admission of a completion and starts it.
func (s *Sidecar) admitRun(ctx context.Context, key runKey, m *peerv1.RunRequest) (*run, *errkind.Error) {
	a, refusal := s.assignment()
	if refusal != nil {
		return nil, refusal
	}
	if a.service.Kind != config.KindEngine || a.service.Name != m.Service {
		return nil, errkind.New(errkind.UnknownService, "this target serves %q", a.service.Name)
	}
	if refusal := s.checkWeights(a, m.Weights); refusal != nil {
		return nil, refusal
	}
	admission, refusal := s.awaitAdmission(ctx, GateRequest{
		Workspace:    m.Workspace,
		Weight:       workspaceWeight(a, m.Workspace),
		Class:        config.Class(m.Class),
		Blocks:       m.Blocks,
		BlockTokens:  a.service.BlockTokens,
		PromptTokens: int(m.PromptTokens),
		MaxTokens:    int(m.MaxTokens),
		Budget:       time.Duration(m.BudgetMs) * time.Millisecond,
	})
	if refusal != nil {
		return nil, s.refuseAtMostOnce(ctx, a, m.Workspace, m.Once, refusal)
	}
	ticket, answer, refusal := s.claim(ctx, a, m.Workspace, m.Once)
	if refusal != nil || answer != nil {
		admission.Release(breaker.Neutral)
		return replayRun(answer, key), refusal
	}
	request := &external.GenerateRequest{
		RequestID: key.engineID(), Prompt: m.Prompt, TextSoFar: m.TextSoFar, From: max(m.FromSeq, 1),
		MaxTokens: int(m.MaxTokens), Priority: int(m.Class), Blocks: m.Blocks,
		BlockTokens: a.service.BlockTokens, PromptTokens: int(m.PromptTokens), Weights: m.Weights, Adapter: m.Adapter,
	}
	r := s.newRun(request.RequestID, request.From, func() {})
	existing, added := s.runs.add(key, r)
	if !added {
		admission.Release(breaker.Neutral)
		return existing, nil
	}
	s.startRun(r, admission, request, ticket)
	return r, nil
}

// replayRun returns a finished run with a recorded answer, or nil.
func replayRun(answer *once.Response, key runKey) *run {
	if answer == nil {
		return nil
	}
	buffer := stream.NewBuffer(1, time.Now)
	buffer.Append(&peerv1.Frame{Seq: 1, Text: string(answer.Body)})
	buffer.Append(&peerv1.Frame{Seq: 2, End: &peerv1.End{FinishReason: "replayed"}})
	return &run{engineID: key.engineID(), buffer: buffer, cancel: func() {}, finished: make(chan struct{})}
}

func workspaceWeight(a assignment, workspace string) float64 {
	if w := a.snapshot.Config.Workspace(workspace); w != nil {
		return w.Weight
	}
	return 1
}

// awaitAdmission requests admission and waits for the decision.
func (s *Sidecar) awaitAdmission(ctx context.Context, req GateRequest) (*Admission, *errkind.Error) {
	admission, refusal := s.gate.Enter(req)
	if refusal != nil {
		return nil, refusal
	}
	// Expire the request as soon as its deadline can no longer be met.
	expiry := time.NewTimer(req.Budget - admission.Prefill + expiryMargin)
	defer expiry.Stop()
	for {
		select {
		case refusal := <-admission.Decided:
			if refusal != nil {
				return nil, refusal
			}
			return admission, nil
		case <-expiry.C:
			s.gate.Expire()
		case <-ctx.Done():
			admission.Abandon()
			return nil, errkind.New(errkind.Cancelled, "the caller disconnected")
		}
	}
}

// Resume implements the Gate service.
func (s *Sidecar) Resume(ctx context.Context, req *connect.Request[peerv1.ResumeRequest], out *connect.ServerStream[peerv1.Frame]) error {
	key := runKey{req.Msg.Workspace, req.Msg.RequestId}
	r, ok := s.runs.get(key)
	if !ok && s.hasEngine() {
		adopted, err := s.adoptRun(ctx, key, req.Msg.FromSeq)
		if err != nil && !errors.Is(err, external.ErrUnknownStream) {
			s.logger.Info("resume_failed", "request_id", key.requestID, "error", err.Error())
		}
		r, ok = adopted, err == nil
	}
	if !ok {
		return out.Send(&peerv1.Frame{Refusal: refusalMessage(errkind.New(errkind.UnknownRun, ""))})
	}
	return s.follow(ctx, r, req.Msg.FromSeq, out)
}

// Cancel implements the Gate service.
func (s *Sidecar) Cancel(_ context.Context, req *connect.Request[peerv1.CancelRequest]) (*connect.Response[peerv1.CancelResponse], error) {
	if r, ok := s.runs.get(runKey{req.Msg.Workspace, req.Msg.RequestId}); ok {
		r.cancel()
	}
	return connect.NewResponse(&peerv1.CancelResponse{}), nil
}
