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
	// expiryMargin lets the queue's clock pass the deadline for certain.
	expiryMargin = time.Millisecond
)

// own is this sidecar's part of the configuration in force.
type own struct {
	snapshot configlog.Snapshot
	service  *config.Service
	model    *config.Model
}

// own returns this sidecar's part of the configuration, or why it has none.
func (s *Sidecar) own() (own, *errkind.Error) {
	snapshot, ok := s.board.Config.Get()
	if !ok {
		return own{}, errkind.NewRetryAfter(errkind.ConfigurationMissing, time.Second, "")
	}
	service, _ := snapshot.Config.FindTarget(s.settings.Name)
	if service == nil {
		return own{}, errkind.New(errkind.Leaving, "the configuration no longer lists this target")
	}
	return own{snapshot: snapshot, service: service, model: snapshot.Config.ModelOf(service.Name)}, nil
}

// readyFor refuses work for other weights than those in force, also when the
// engine still has them: they are to be replaced, and entries that ask for them
// have an old configuration.
func (s *Sidecar) readyFor(o own, weights string) *errkind.Error {
	if o.service.Kind != config.KindEngine {
		return nil
	}
	if weights != o.model.Weights {
		return errkind.New(errkind.WrongWeights, "%q is in force, asked for %q", o.model.Weights, weights)
	}
	loaded, _ := s.board.Engine.Get()
	if loaded.Weights != weights || loaded.Loading {
		const loadRetry = 200 * time.Millisecond
		return errkind.NewRetryAfter(errkind.WrongWeights, loadRetry, "loaded %q, asked for %q", loaded.Weights, weights)
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
	o, refusal := s.own()
	if refusal != nil {
		return Quote{}, refusal
	}
	resp.ConfigVersion = o.snapshot.Version
	if o.model != nil {
		if refusal := s.readyFor(o, o.model.Weights); refusal != nil {
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
	s.noteVersion(m.ConfigVersion)
	key := runKey{m.Workspace, m.RequestId}
	if one, ok := s.runs.get(key); ok {
		return s.follow(ctx, one, m.FromSeq, out)
	}
	one, refusal := s.admitRun(ctx, key, m)
	if refusal != nil {
		snapshot, _ := s.board.Config.Get()
		return out.Send(&peerv1.Frame{Refusal: refusalMessage(refusal), ConfigVersion: snapshot.Version})
	}
	return s.follow(ctx, one, m.FromSeq, out)
}

func (s *Sidecar) follow(ctx context.Context, one *run, from uint64, out *connect.ServerStream[peerv1.Frame]) error {
	snapshot, _ := s.board.Config.Get()
	return one.buffer.Follow(ctx, from, func(f *peerv1.Frame) error {
		if f.Seq == from || f.End != nil {
			f = &peerv1.Frame{Seq: f.Seq, Text: f.Text, End: f.End, Refusal: f.Refusal, ConfigVersion: snapshot.Version}
		}
		return out.Send(f)
	})
}

// admitRun takes a completion through the gate and starts it.
func (s *Sidecar) admitRun(ctx context.Context, key runKey, m *peerv1.RunRequest) (*run, *errkind.Error) {
	o, refusal := s.own()
	if refusal != nil {
		return nil, refusal
	}
	if o.service.Kind != config.KindEngine || o.service.Name != m.Service {
		return nil, errkind.New(errkind.UnknownService, "this target serves %q", o.service.Name)
	}
	if refusal := s.readyFor(o, m.Weights); refusal != nil {
		return nil, refusal
	}
	pass, refusal := s.enter(ctx, GateRequest{
		Workspace:    m.Workspace,
		Weight:       weightOf(o, m.Workspace),
		Class:        config.Class(m.Class),
		Blocks:       m.Blocks,
		BlockTokens:  o.service.BlockTokens,
		PromptTokens: int(m.PromptTokens),
		MaxTokens:    int(m.MaxTokens),
		Budget:       time.Duration(m.BudgetMs) * time.Millisecond,
	})
	if refusal != nil {
		return nil, s.refuseOnce(ctx, o, m.Workspace, m.Once, refusal)
	}
	ticket, answer, refusal := s.claim(ctx, o, m.Workspace, m.Once)
	if refusal != nil || answer != nil {
		pass.Release(breaker.Neutral)
		return replayRun(answer, key), refusal
	}
	request := &external.GenerateRequest{
		RequestID: key.engineID(), Prompt: m.Prompt, TextSoFar: m.TextSoFar, From: max(m.FromSeq, 1),
		MaxTokens: int(m.MaxTokens), Priority: int(m.Class), Blocks: m.Blocks,
		BlockTokens: o.service.BlockTokens, PromptTokens: int(m.PromptTokens), Weights: m.Weights, Adapter: m.Adapter,
	}
	one := &run{engineID: request.RequestID, buffer: stream.NewBuffer(request.From, time.Now), cancel: func() {}, finished: make(chan struct{})}
	found, added := s.runs.add(key, one)
	if !added {
		pass.Release(breaker.Neutral)
		return found, nil
	}
	s.startRun(one, pass, request, ticket)
	return one, nil
}

// replayRun makes a run out of a kept answer; nil of none.
func replayRun(answer *once.Response, key runKey) *run {
	if answer == nil {
		return nil
	}
	buffer := stream.NewBuffer(1, time.Now)
	buffer.Append(&peerv1.Frame{Seq: 1, Text: string(answer.Body)})
	buffer.Append(&peerv1.Frame{Seq: 2, End: &peerv1.End{FinishReason: "replayed"}})
	return &run{engineID: key.engineID(), buffer: buffer, cancel: func() {}, finished: make(chan struct{})}
}

func weightOf(o own, workspace string) float64 {
	if w := o.snapshot.Config.Workspace(workspace); w != nil {
		return w.Weight
	}
	return 1
}

// enter waits for the gate's decision.
func (s *Sidecar) enter(ctx context.Context, w GateRequest) (*Admission, *errkind.Error) {
	pass, refusal := s.gate.Enter(w)
	if refusal != nil {
		return nil, refusal
	}
	// The request refuses itself as soon as its deadline can no longer be met.
	expiry := time.NewTimer(w.Budget - pass.Prefill + expiryMargin)
	defer expiry.Stop()
	for {
		select {
		case refusal := <-pass.Decided:
			if refusal != nil {
				return nil, refusal
			}
			return pass, nil
		case <-expiry.C:
			s.gate.Expire()
		case <-ctx.Done():
			pass.Abandon()
			return nil, errkind.New(errkind.Cancelled, "the caller has gone")
		}
	}
}

// Resume implements the Gate service.
func (s *Sidecar) Resume(ctx context.Context, req *connect.Request[peerv1.ResumeRequest], out *connect.ServerStream[peerv1.Frame]) error {
	key := runKey{req.Msg.Workspace, req.Msg.RequestId}
	one, ok := s.runs.get(key)
	if !ok && s.hasEngine() {
		adopted, err := s.adoptRun(ctx, key, req.Msg.FromSeq)
		if err != nil && !errors.Is(err, external.ErrUnknownStream) {
			s.logger.Info("resume_failed", "request_id", key.requestID, "error", err.Error())
		}
		one, ok = adopted, err == nil
	}
	if !ok {
		return out.Send(&peerv1.Frame{Refusal: refusalMessage(errkind.New(errkind.UnknownRun, ""))})
	}
	return s.follow(ctx, one, req.Msg.FromSeq, out)
}

// Cancel implements the Gate service.
func (s *Sidecar) Cancel(_ context.Context, req *connect.Request[peerv1.CancelRequest]) (*connect.Response[peerv1.CancelResponse], error) {
	if one, ok := s.runs.get(runKey{req.Msg.Workspace, req.Msg.RequestId}); ok {
		one.cancel()
	}
	return connect.NewResponse(&peerv1.CancelResponse{}), nil
}
