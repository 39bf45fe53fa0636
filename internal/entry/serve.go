package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/jx"

	"github.com/toucanwell/toucanwell/api/caller/oas"
	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/burn"
	"github.com/toucanwell/toucanwell/internal/callers"
	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/routing"
)

const unknownLabel = "unknown"

// CreateCompletion implements oas.Handler. It returns the whole completion at once.
func (a *callerAPI) CreateCompletion(ctx context.Context, req *oas.CompletionRequest, params oas.CreateCompletionParams) (*oas.Completion, error) {
	arrived := time.Now()
	h := headerFromParams(workspaceOf(ctx), params.IdempotencyKey, params.IdempotencyKeyIssued, params.ToucanwellClass, params.ToucanwellDeadlineMs)
	r, refusal := a.newCompletion(requestID(ctx), arrived, &h, req)
	if refusal != nil {
		a.recordRefusal(requestID(ctx), unknownLabel, unknownLabel, refusal, arrived)
		return nil, refusal
	}
	var text strings.Builder
	p, refusal := a.completeWithMetrics(ctx, r, func(f *peerv1.Frame) error {
		text.WriteString(f.Text)
		return nil
	})
	if refusal != nil {
		return nil, refusal
	}
	return &oas.Completion{
		ID: r.id, Object: "chat.completion", Model: r.model.Name,
		Choices: []oas.Choice{{Message: oas.Message{Role: "assistant", Content: text.String()}, FinishReason: p.end.FinishReason}},
		Usage:   usageOf(p.end),
	}, nil
}

func usageOf(end *peerv1.End) oas.Usage {
	return oas.Usage{PromptTokens: int(end.PromptTokens), CachedTokens: int(end.CachedTokens), CompletionTokens: int(end.CompletionTokens)}
}

// completeWithMetrics runs a request, and counts and logs its outcome.
func (e *Entry) completeWithMetrics(ctx context.Context, r *completion, out sink) (*progress, *errkind.Error) {
	class := r.class.String()
	e.metrics.Request(r.service.Name, class)
	p, refusal := e.complete(ctx, r, out)
	if refusal != nil {
		if refusal.Kind != errkind.Cancelled {
			e.recordObjective(r.service.Name, r.class, r.workspace.Name, -1)
		}
		e.recordRefusal(r.id, r.service.Name, class, refusal, r.arrived)
		return p, refusal
	}
	e.recordObjective(r.service.Name, r.class, r.workspace.Name, p.timeToFirstToken)
	e.metrics.FirstToken(r.service.Name, class, p.timeToFirstToken)
	cached := int(p.end.CachedTokens)
	wasted := max(min(p.choice.maxMatched, int(p.end.PromptTokens))-cached, 0)
	e.metrics.Tokens(r.service.Name, class, int(p.end.PromptTokens), cached, wasted)
	e.logger.Info("request_done", "request_id", r.id, "workspace", r.workspace.Name, "service", r.service.Name, "class", class,
		"target", p.choice.target.Name, "rounds", p.choice.rounds, "probes", p.choice.probes, "wait", p.choice.estimate.Wait, "prefill", p.choice.estimate.Prefill,
		"matched", p.choice.matched, "prompt", p.end.PromptTokens, "cached", cached, "ttft", p.timeToFirstToken, "took", time.Since(r.arrived))
	return p, nil
}

// recordObjective counts whether a request met its objective for the time to first token; for
// plain calls this is the total time. A negative time means that the request failed.
func (e *Entry) recordObjective(service string, class config.Class, workspace string, timeToFirstToken time.Duration) {
	c, _, ok := e.current()
	if !ok {
		return
	}
	o := c.ObjectiveFor(service, class)
	if o == nil {
		return
	}
	met := timeToFirstToken >= 0 && timeToFirstToken <= o.TTFT.Duration
	e.burn.Add(burn.Key{Service: service, Class: class.String(), Workspace: workspace}, met)
}

// serveStream responds to a completion request with server-sent events.
func (e *Entry) serveStream(w http.ResponseWriter, r *http.Request, body []byte) {
	arrived := time.Now()
	id := requestID(r.Context())
	request, refusal := e.streamRequest(r, id, arrived, body)
	if refusal != nil {
		e.recordRefusal(id, unknownLabel, unknownLabel, refusal, arrived)
		writeProblem(w, id, refusal)
		return
	}
	events := &eventWriter{w: w, controller: http.NewResponseController(w), id: id, model: request.model.Name}
	_, refusal = e.completeWithMetrics(r.Context(), request, events.send)
	switch {
	case refusal == nil:
		events.done()
	case !events.started:
		writeProblem(w, id, refusal)
	default:
		events.fail(refusal)
	}
}

func (e *Entry) streamRequest(r *http.Request, id string, arrived time.Time, body []byte) (*completion, *errkind.Error) {
	token, refusal := bearerToken(r)
	if refusal != nil {
		return nil, refusal
	}
	workspace, refusal := e.authenticate(token)
	if refusal != nil {
		return nil, refusal
	}
	h, refusal := headerFromRequest(r, workspace)
	if refusal != nil {
		return nil, refusal
	}
	req := &oas.CompletionRequest{}
	if err := req.Decode(jx.DecodeBytes(body)); err != nil {
		return nil, errkind.New(errkind.BadRequest, "%v", err)
	}
	if err := req.Validate(); err != nil {
		return nil, errkind.New(errkind.BadRequest, "%v", err)
	}
	return e.newCompletion(id, arrived, &h, req)
}

// eventWriter writes a completion as server-sent events in the format of chat completion APIs:
// a delta for each frame, the last one with the finish reason and the usage, then [DONE]. A
// stream without [DONE] is incomplete.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	id         string
	model      string
	started    bool
}

type eventDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type eventChoice struct {
	Index        int        `json:"index"`
	Delta        eventDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type eventUsage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CachedTokens     uint32 `json:"cached_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
}

type event struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []eventChoice `json:"choices"`
	Usage   *eventUsage   `json:"usage,omitempty"`
}

func (ew *eventWriter) send(f *peerv1.Frame) error {
	choice := eventChoice{Delta: eventDelta{Content: f.Text}}
	ev := event{ID: ew.id, Object: "chat.completion.chunk", Model: ew.model}
	if f.End != nil {
		choice.FinishReason = &f.End.FinishReason
		ev.Usage = &eventUsage{f.End.PromptTokens, f.End.CachedTokens, f.End.CompletionTokens}
	}
	ev.Choices = []eventChoice{choice}
	data, err := json.Marshal(ev)
	if err != nil {
		return err
	}
	return ew.write(data)
}

func (ew *eventWriter) write(data []byte) error {
	if !ew.started {
		ew.started = true
		ew.w.Header().Set("Content-Type", "text/event-stream")
		ew.w.Header().Set("Cache-Control", "no-store")
	}
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	if _, err := ew.w.Write(line); err != nil {
		return err
	}
	return ew.controller.Flush()
}

func (ew *eventWriter) done() { _ = ew.write([]byte("[DONE]")) }

// fail ends a started stream with an error event and without [DONE].
func (ew *eventWriter) fail(e *errkind.Error) { _ = ew.write(encodeProblem(ew.id, e)) }

// CallService implements oas.Handler. It calls a plain service.
func (a *callerAPI) CallService(ctx context.Context, req oas.CallServiceReq, params oas.CallServiceParams) (oas.CallServiceRes, error) {
	arrived := time.Now()
	h := headerFromParams(workspaceOf(ctx), params.IdempotencyKey, params.IdempotencyKeyIssued, params.ToucanwellClass, params.ToucanwellDeadlineMs)
	var body bytes.Buffer
	if req.Data != nil {
		if _, err := body.ReadFrom(req.Data); err != nil {
			return nil, errkind.New(errkind.BadRequest, "read body: %v", err)
		}
	}
	call, refusal := a.newCall(requestID(ctx), arrived, &h, params.Service, params.Path.Or("/"), body.Bytes())
	if refusal != nil {
		a.recordRefusal(requestID(ctx), unknownLabel, unknownLabel, refusal, arrived)
		return nil, refusal
	}
	class := call.class.String()
	a.metrics.Request(call.service.Name, class)
	resp, refusal := a.callWithRetries(ctx, call)
	if refusal != nil {
		a.recordObjective(call.service.Name, call.class, h.workspace.Name, -1)
		a.recordRefusal(call.request.RequestId, call.service.Name, class, refusal, arrived)
		return nil, refusal
	}
	took := time.Since(arrived)
	a.recordObjective(call.service.Name, call.class, h.workspace.Name, took)
	a.metrics.FirstToken(call.service.Name, class, took)
	a.logger.Info("call_done", "request_id", call.request.RequestId, "workspace", h.workspace.Name, "service", call.service.Name,
		"class", class, "status", resp.Status, "replayed", resp.Replayed, "took", took)
	response := &oas.ServiceAnswerStatusCodeWithHeaders{StatusCode: int(resp.Status), Response: oas.ServiceAnswer{Data: bytes.NewReader(resp.Body)}}
	if resp.Replayed {
		response.ToucanwellReplayed = oas.NewOptBool(true)
	}
	return response, nil
}

// plainCall is a validated call of a plain service.
type plainCall struct {
	service  *config.Service
	class    config.Class
	deadline time.Time
	request  *peerv1.CallRequest
}

func (e *Entry) newCall(id string, arrived time.Time, h *callHeader, name, path string, body []byte) (*plainCall, *errkind.Error) {
	c, view, ok := e.current()
	if !ok {
		return nil, errkind.NewRetryAfter(errkind.ConfigurationMissing, suspectDuration, "")
	}
	service := c.Service(name)
	if service == nil || service.Kind != config.KindPlain {
		return nil, errkind.New(errkind.UnknownService, "%q is not a plain service", name)
	}
	if !strings.HasPrefix(path, "/") {
		return nil, errkind.New(errkind.BadRequest, "path %q must begin with /", path)
	}
	call := &plainCall{service: service}
	var refusal *errkind.Error
	if call.class, refusal = h.resolveClass(); refusal != nil {
		return nil, refusal
	}
	if call.deadline, refusal = h.resolveDeadline(arrived, c); refusal != nil {
		return nil, refusal
	}
	digest := xxhash.Sum64(append([]byte(path+"\x00"), body...))
	onceKey, refusal := h.onceKey(service, digest, arrived, e.settings.Platform.LogRetention.Duration)
	if refusal != nil {
		return nil, refusal
	}
	call.request = &peerv1.CallRequest{
		ConfigVersion: view.Version, RequestId: id, Workspace: h.workspace.Name, Service: name, Class: uint32(call.class),
		Path: path, ContentType: "application/octet-stream", Body: body, Once: onceKey,
	}
	return call, nil
}

// callWithRetries tries targets one after another. At-most-once calls are placed by their key,
// all others by their request ID, which spreads the load.
func (e *Entry) callWithRetries(ctx context.Context, call *plainCall) (*peerv1.CallResponse, *errkind.Error) {
	_, view, _ := e.current()
	e.budget.Earn(view.Config.Limits.RetryShare)
	excluded := map[string]bool{}
	last := errkind.NewRetryAfter(errkind.NoTarget, suspectDuration, "")
	for attempt := 0; attempt < maxAttempts; attempt++ {
		if attempt > 0 && !e.mayRetry(ctx, false, last) {
			break
		}
		target, ok := e.pickTarget(&view, call, excluded)
		if !ok {
			break
		}
		if callers.HasLeft(ctx) {
			return nil, callerLeft()
		}
		resp, refusal := e.callTarget(ctx, &target, call)
		if refusal == nil {
			return resp, nil
		}
		last = refusal
		if !refusal.Kind.Spec().Failover {
			break
		}
		excluded[target.Name] = true
		e.metrics.Retry(refusal.Kind.String())
	}
	if call.request.Once != nil {
		return nil, onceRefusal(last)
	}
	return nil, last
}

func (e *Entry) pickTarget(view *View, call *plainCall, excluded map[string]bool) (routing.Target, bool) {
	targets := view.Services[call.service.Name]
	if call.request.Once != nil {
		return pickByKey(targets, call.request.Workspace, call.service.Name, call.request.Once.Key, excluded)
	}
	ranking := routing.Rank(targets, e.location, []uint64{xxhash.Sum64String(call.request.RequestId)})
	for i := range ranking.Len() {
		if t := targets[ranking.At(i)]; !excluded[t.Name] {
			return t, true
		}
	}
	return routing.Target{}, false
}

// callerLeft returns the refusal of a request whose caller has closed the connection.
func callerLeft() *errkind.Error {
	return errkind.New(errkind.Cancelled, "the caller disconnected")
}

func (e *Entry) callTarget(ctx context.Context, target *routing.Target, call *plainCall) (*peerv1.CallResponse, *errkind.Error) {
	call.request.BudgetMs = budgetMs(call.deadline, 1)
	resp, err := e.client(target.Address).Call(ctx, connect.NewRequest(call.request))
	if ctx.Err() != nil {
		return nil, callerLeft()
	}
	if refusal := exhaustedRefusal(err); refusal != nil {
		return nil, refusal
	}
	if err != nil {
		e.health.record(target.Name, routing.Suspect)
		return nil, errkind.New(errkind.TargetFailed, "%v", err)
	}
	e.follower.Hint(resp.Msg.ConfigVersion, target.Address)
	if resp.Msg.Refusal != nil {
		refusal := refusalOf(resp.Msg.Refusal)
		e.recordLeaving(target.Name, refusal.Kind)
		return nil, refusal
	}
	return resp.Msg, nil
}
