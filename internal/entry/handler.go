package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-faster/jx"
	"github.com/google/uuid"
	"github.com/ogen-go/ogen/ogenerrors"

	"github.com/toucanwell/toucanwell/api/caller/oas"
	"github.com/toucanwell/toucanwell/internal/errkind"
)

const (
	completionPath  = "/v1/chat/completions"
	requestIDHeader = "X-Request-Id"
	problemType     = "urn:toucanwell:error:"
)

type contextKey int

const requestIDKey contextKey = 0

// requestID returns the ID that the outermost handler assigned to the request.
func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey).(string)
	return id
}

// newHandler returns the callers' handler. Streamed completions are handled separately, because
// the generated server cannot send server-sent events.
func (e *Entry) newHandler() (http.Handler, error) {
	server, err := oas.NewServer(&callerAPI{e}, &security{e},
		oas.WithErrorHandler(e.serveError),
		oas.WithNotFound(func(w http.ResponseWriter, r *http.Request) {
			writeProblem(w, requestID(r.Context()), errkind.New(errkind.BadRequest, "unknown path %q", r.URL.Path))
		}))
	if err != nil {
		return nil, errors.Wrap(err, "caller API")
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		id := uuid.NewString()
		w.Header().Set(requestIDHeader, id)
		r = r.WithContext(context.WithValue(r.Context(), requestIDKey, id))
		memory := e.bodies.NewBodyShare(e.connections)
		defer memory.Release()
		body, refusal := e.readBody(w, r, memory)
		if refusal != nil {
			e.refuseBody(w, r, memory, refusal)
			return
		}
		if r.Method == http.MethodPost && r.URL.Path == completionPath && wantsStream(body) {
			e.serveStream(w, r, body)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		server.ServeHTTP(w, r)
	}), nil
}

// wantsStream reports whether the body asks for a streamed response. It searches for the field
// first, so that most bodies are not parsed here.
func wantsStream(body []byte) bool {
	if !bytes.Contains(body, []byte(`"stream"`)) {
		return false
	}
	var fields struct {
		Stream bool `json:"stream"`
	}
	return json.Unmarshal(body, &fields) == nil && fields.Stream
}

// serveError responds to errors that the generated server detects.
func (e *Entry) serveError(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	writeProblem(w, requestID(ctx), toError(err))
}

// toError converts an error of the generated server to an errkind error.
func toError(err error) *errkind.Error {
	var known *errkind.Error
	if errors.As(err, &known) {
		return known
	}
	var unauthenticated *ogenerrors.SecurityError
	if errors.As(err, &unauthenticated) {
		return errkind.New(errkind.Unauthenticated, "send Authorization: Bearer TOKEN")
	}
	var request *ogenerrors.DecodeRequestError
	var params *ogenerrors.DecodeParamsError
	if errors.As(err, &request) || errors.As(err, &params) {
		return errkind.New(errkind.BadRequest, "%v", err)
	}
	return errkind.From(err)
}

// problem builds the response to a refused request.
func problem(id string, e *errkind.Error) *oas.ProblemStatusCodeWithHeaders {
	row := e.Kind.Spec()
	p := &oas.ProblemStatusCodeWithHeaders{
		StatusCode: row.Status,
		Response:   oas.Problem{Type: problemType + row.Name, Title: row.Title, Status: row.Status, RequestID: oas.NewOptString(id)},
	}
	if e.Detail != "" {
		p.Response.Detail = oas.NewOptString(e.Detail)
	}
	if e.RetryAfter > 0 {
		p.RetryAfter = oas.NewOptInt(int(math.Ceil(e.RetryAfter.Seconds())))
		p.Response.RetryAfterMs = oas.NewOptInt(int(e.RetryAfter.Milliseconds()))
	}
	return p
}

func encodeProblem(id string, e *errkind.Error) []byte {
	p := problem(id, e)
	enc := &jx.Encoder{}
	p.Response.Encode(enc)
	return enc.Bytes()
}

func writeProblem(w http.ResponseWriter, id string, e *errkind.Error) {
	p := problem(id, e)
	w.Header().Set("Content-Type", "application/problem+json")
	if after, ok := p.RetryAfter.Get(); ok {
		w.Header().Set("Retry-After", strconv.Itoa(after))
	}
	w.WriteHeader(p.StatusCode)
	_, _ = w.Write(encodeProblem(id, e))
}

// callerAPI implements oas.Handler.
type callerAPI struct{ *Entry }

// NewError implements oas.Handler.
func (a *callerAPI) NewError(ctx context.Context, err error) *oas.ProblemStatusCodeWithHeaders {
	return problem(requestID(ctx), toError(err))
}

// recordRefusal logs and counts a refused request.
func (e *Entry) recordRefusal(id, service, class string, refusal *errkind.Error, started time.Time) {
	e.metrics.Refusal(service, class, refusal.Kind.String())
	e.logger.Info("request_refused", "request_id", id, "service", service, "class", class,
		"kind", refusal.Kind.String(), "retry_after", refusal.RetryAfter, "detail", refusal.Detail, "took", time.Since(started))
}
