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

// header holds what a caller says beside the body.
type header struct {
	key       string
	issuedMs  int64
	class     string
	deadline  time.Duration
	dated     bool
	workspace *config.Workspace
}

func headerOf(w *config.Workspace, key oas.OptString, issued oas.OptInt64, class oas.OptClass, deadline oas.OptInt64) header {
	h := header{key: key.Or(""), issuedMs: issued.Or(0), workspace: w}
	if c, ok := class.Get(); ok {
		h.class = string(c)
	}
	if ms, ok := deadline.Get(); ok {
		h.deadline, h.dated = time.Duration(ms)*time.Millisecond, true
	}
	return h
}

// headerFrom reads the header of a request that the generated server does not
// serve.
func headerFrom(r *http.Request, w *config.Workspace) (header, *errkind.Error) {
	h := header{key: r.Header.Get("Idempotency-Key"), class: r.Header.Get("Toucanwell-Class"), workspace: w}
	var err error
	if text := r.Header.Get("Idempotency-Key-Issued"); text != "" {
		if h.issuedMs, err = strconv.ParseInt(text, 10, 64); err != nil {
			return h, errkind.New(errkind.BadRequest, "Idempotency-Key-Issued: %q is no whole number", text)
		}
	}
	if text := r.Header.Get("Toucanwell-Deadline-Ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return h, errkind.New(errkind.BadRequest, "Toucanwell-Deadline-Ms: %q is no whole number", text)
		}
		h.deadline, h.dated = time.Duration(ms)*time.Millisecond, true
	}
	return h, nil
}

// classOf returns the class that a caller names, or the workspace's.
func (h *header) classOf() (config.Class, *errkind.Error) {
	name := h.class
	if name == "" {
		name = h.workspace.Class
	}
	class, ok := config.ParseClass(name)
	if !ok {
		return 0, errkind.New(errkind.BadRequest, `Toucanwell-Class: %q found; allowed are "alert", "interactive" and "batch"`, name)
	}
	return class, nil
}

func (h *header) deadlineFrom(arrived time.Time, c *config.Config) (time.Time, *errkind.Error) {
	if !h.dated {
		return arrived.Add(c.Limits.DefaultDeadline.Duration), nil
	}
	if h.deadline <= 0 {
		return time.Time{}, errkind.New(errkind.DeadlinePast, "Toucanwell-Deadline-Ms: %d found; allowed are numbers above 0", h.deadline.Milliseconds())
	}
	return arrived.Add(h.deadline), nil
}

// onceKey checks the idempotency key of a call that runs at most once, and
// returns nil for another.
func (h *header) onceKey(service *config.Service, digest uint64, now time.Time, retention time.Duration) (*peerv1.OnceKey, *errkind.Error) {
	if !service.AtMostOnce {
		return nil, nil
	}
	if h.key == "" {
		return nil, errkind.New(errkind.KeyMissing, "service %q runs each call at most once", service.Name)
	}
	if len(h.key) < minKeyLength || len(h.key) > maxKeyLength {
		return nil, errkind.New(errkind.KeyInvalid, "%d bytes found; allowed are %d to %d", len(h.key), minKeyLength, maxKeyLength)
	}
	issued := once.IssueTime(h.key, h.issuedMs)
	if refusal := once.CheckAge(issued, once.KeyPolicy{AllowOpaque: service.OpaqueKeys, Lifetime: service.KeyLifetime.Duration}, now, retention); refusal != nil {
		return nil, refusal
	}
	return &peerv1.OnceKey{Key: h.key, IssuedUnixMs: issued, Digest: digest}, nil
}

// newCompletion checks a request for a completion against the configuration.
func (e *Entry) newCompletion(id string, arrived time.Time, h *header, req *oas.CompletionRequest) (*completion, *errkind.Error) {
	c, _, ok := e.current()
	if !ok {
		return nil, errkind.After(errkind.ConfigurationMissing, suspectFor, "")
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
	if r.class, refusal = h.classOf(); refusal != nil {
		return nil, refusal
	}
	if r.deadline, refusal = h.deadlineFrom(arrived, c); refusal != nil {
		return nil, refusal
	}
	r.parts = renderParts(req.Messages)
	r.text = strings.Join(r.parts, "")
	if r.once, refusal = h.onceKey(service, xxhash.Sum64String(r.text), arrived, e.settings.Platform.LogRetention.Duration); refusal != nil {
		return nil, refusal
	}
	r.nameBy(model)
	return r, nil
}

// renderParts turns messages into the prompt's parts, each with its role.
func renderParts(messages []oas.Message) []string {
	parts := make([]string, 0, len(messages))
	for _, m := range messages {
		parts = append(parts, "<"+m.Role+">"+m.Content+"\n")
	}
	return parts
}
