package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanwell/toucanwell/api/caller/oas"
	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/once"
	"github.com/toucanwell/toucanwell/internal/probe"
)

const (
	minKeyLength = 8
	maxKeyLength = 128
)

// callHeader holds the values of a caller's request headers and the caller's workspace.
type callHeader struct {
	key         string
	issuedMs    int64
	class       string
	deadline    time.Duration
	hasDeadline bool
	workspace   *config.Workspace
}

func headerFromParams(w *config.Workspace, key oas.OptString, issued oas.OptInt64, class oas.OptClass, deadline oas.OptInt64) callHeader {
	h := callHeader{key: key.Or(""), issuedMs: issued.Or(0), workspace: w}
	if c, ok := class.Get(); ok {
		h.class = string(c)
	}
	if ms, ok := deadline.Get(); ok {
		h.deadline, h.hasDeadline = time.Duration(ms)*time.Millisecond, true
	}
	return h
}

// headerFromRequest reads the headers of a request that bypasses the generated server.
func headerFromRequest(r *http.Request, w *config.Workspace) (callHeader, *errkind.Error) {
	h := callHeader{key: r.Header.Get("Idempotency-Key"), class: r.Header.Get("Toucanwell-Class"), workspace: w}
	var err error
	if text := r.Header.Get("Idempotency-Key-Issued"); text != "" {
		if h.issuedMs, err = strconv.ParseInt(text, 10, 64); err != nil {
			return h, errkind.New(errkind.BadRequest, "Idempotency-Key-Issued: %q is not an integer", text)
		}
	}
	if text := r.Header.Get("Toucanwell-Deadline-Ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return h, errkind.New(errkind.BadRequest, "Toucanwell-Deadline-Ms: %q is not an integer", text)
		}
		h.deadline, h.hasDeadline = time.Duration(ms)*time.Millisecond, true
	}
	return h, nil
}

// resolveClass returns the class that the caller states, or else the workspace's class.
func (h *callHeader) resolveClass() (config.Class, *errkind.Error) {
	name := h.class
	if name == "" {
		name = h.workspace.Class
	}
	class, ok := config.ParseClass(name)
	if !ok {
		return 0, errkind.New(errkind.BadRequest, `Toucanwell-Class: %q is unknown; use "alert", "interactive" or "batch"`, name)
	}
	return class, nil
}

// resolveDeadline returns the deadline that the caller states, or else the configured default.
func (h *callHeader) resolveDeadline(arrived time.Time, c *config.Config) (time.Time, *errkind.Error) {
	if !h.hasDeadline {
		return arrived.Add(c.Limits.DefaultDeadline.Duration), nil
	}
	if h.deadline <= 0 {
		return time.Time{}, errkind.New(errkind.DeadlinePast, "Toucanwell-Deadline-Ms: %d is not above 0", h.deadline.Milliseconds())
	}
	return arrived.Add(h.deadline), nil
}

// onceKey checks and returns the idempotency key of a call that runs at most once. For services
// that allow repeated runs it returns nil.
func (h *callHeader) onceKey(service *config.Service, digest uint64, now time.Time, retention time.Duration) (*peerv1.OnceKey, *errkind.Error) {
	if !service.AtMostOnce {
		return nil, nil
	}
	if h.key == "" {
		return nil, errkind.New(errkind.KeyMissing, "calls of service %q need an idempotency key", service.Name)
	}
	if len(h.key) < minKeyLength || len(h.key) > maxKeyLength {
		return nil, errkind.New(errkind.KeyInvalid, "the key has %d bytes; it must have %d to %d", len(h.key), minKeyLength, maxKeyLength)
	}
	issued := once.IssueTime(h.key, h.issuedMs)
	if refusal := once.CheckAge(issued, once.KeyPolicy{AllowOpaque: service.OpaqueKeys, Lifetime: service.KeyLifetime.Duration}, now, retention); refusal != nil {
		return nil, refusal
	}
	return &peerv1.OnceKey{Key: h.key, IssuedUnixMs: issued, Digest: digest}, nil
}

// newCompletion validates a completion request against the configuration.
func (e *Entry) newCompletion(id string, arrived time.Time, h *callHeader, req *oas.CompletionRequest) (*completion, *errkind.Error) {
	c, _, ok := e.current()
	if !ok {
		return nil, errkind.NewRetryAfter(errkind.ConfigurationMissing, suspectDuration, "")
	}
	model := c.Model(req.Model)
	if model == nil || !model.HasAdapter(req.Adapter.Or("")) {
		return nil, errkind.New(errkind.UnknownModel, "model %q, adapter %q", req.Model, req.Adapter.Or(""))
	}
	service := c.Service(model.Service)
	r := &completion{
		id: id, workspace: h.workspace, workspaceHash: probe.WorkspaceHash(h.workspace.Name), service: service, model: model, adapter: req.Adapter.Or(""),
		maxTokens: req.MaxTokens.Or(0), arrived: arrived,
	}
	var refusal *errkind.Error
	if r.class, refusal = h.resolveClass(); refusal != nil {
		return nil, refusal
	}
	if r.deadline, refusal = h.resolveDeadline(arrived, c); refusal != nil {
		return nil, refusal
	}
	r.parts = renderParts(req.Messages)
	r.text = strings.Join(r.parts, "")
	if r.once, refusal = h.onceKey(service, xxhash.Sum64String(r.text), arrived, e.settings.Platform.LogRetention.Duration); refusal != nil {
		return nil, refusal
	}
	r.hashPrompt(model)
	return r, nil
}

// renderParts renders each message with its role as one part of the prompt.
func renderParts(messages []oas.Message) []string {
	parts := make([]string, 0, len(messages))
	for _, m := range messages {
		parts = append(parts, "<"+m.Role+">"+m.Content+"\n")
	}
	return parts
}
