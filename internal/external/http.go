package external

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/buffers"
	"github.com/toucanwell/toucanwell/internal/responses"
	"github.com/toucanwell/toucanwell/internal/retryafter"
)

const (
	maxResponseBytes = 8 << 20
	maxTokenBytes    = 1 << 20
	maxHeaderBytes   = 64 << 10
	// maxDiscarded is how much of a body without meaning is read to keep its connection.
	maxDiscarded    = 64 << 10
	idleConnections = 64
	dialTimeout     = 2 * time.Second
)

// NewHTTPClient returns an HTTP client whose dial errors are recognized as
// ErrNotSent by the types of this package.
func NewHTTPClient() *http.Client {
	dialer := &responses.Dialer{Dialer: net.Dialer{Timeout: dialTimeout}}
	return &http.Client{Transport: &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// withoutReuse returns a client that makes a connection for each request. Responses do not name their
// requests: on a connection that has carried another one, further bytes that the server sent after its
// response, such as the response again, would be taken for the next response.
func withoutReuse(client *http.Client) *http.Client {
	own := *client
	transport := client.Transport.(*http.Transport).Clone()
	transport.DisableKeepAlives = true
	own.Transport = responses.Checked(transport)
	return &own
}

// checked returns a client that uses the connections of another one and rejects malformed responses.
func checked(client *http.Client) *http.Client {
	own := *client
	own.Transport = responses.Checked(client.Transport.(*http.Transport))
	return &own
}

// markNotSent marks dial errors as ErrNotSent. After other errors the call may have
// taken effect.
func markNotSent(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Mark(err, ErrNotSent)
	}
	return err
}

type jsonClient struct {
	base string
	http *http.Client
}

// statusError is a response with a status other than 2xx.
type statusError struct {
	status     int
	body       string
	retryAfter time.Duration
}

// Error implements error.
func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

func (c *jsonClient) do(ctx context.Context, method, path string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, path), ErrNotSent)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(markNotSent(err), path)
	}
	if resp.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
		resp.Body.Close()
		return nil, errors.Wrap(&statusError{resp.StatusCode, strings.TrimSpace(string(text)), retryAfter(resp)}, path)
	}
	return resp, nil
}

func (c *jsonClient) call(ctx context.Context, method, path string, body io.Reader, out any) error {
	resp, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if out == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscarded))
		return errors.Wrap(err, path)
	}
	dec := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes))
	return errors.Wrap(dec.Decode(out), path)
}

func (c *jsonClient) post(ctx context.Context, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return errors.Mark(errors.Wrap(err, path), ErrNotSent)
	}
	return c.call(ctx, http.MethodPost, path, bytes.NewReader(data), out)
}

func statusCode(err error) int {
	var s *statusError
	if errors.As(err, &s) {
		return s.status
	}
	return 0
}

// RetryAfter returns for how long a target that turned a call away wants no others; zero if err does not
// say so.
func RetryAfter(err error) time.Duration {
	var s *statusError
	if errors.As(err, &s) {
		return s.retryAfter
	}
	return 0
}

// retryAfter returns for how long a response's sender wants no calls. Values that can't be read are
// ignored.
func retryAfter(resp *http.Response) time.Duration {
	if !retryafter.Applies(resp.StatusCode) {
		return 0
	}
	after, _ := retryafter.Decode(resp.Header)
	return after
}

// HTTPLog is a Log over HTTP.
type HTTPLog struct{ c jsonClient }

// NewHTTPLog returns a client for the Log at a base URL.
func NewHTTPLog(base string, client *http.Client) *HTTPLog {
	return &HTTPLog{jsonClient{base, withoutReuse(client)}}
}

// Append implements Log.
func (l *HTTPLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	var out struct {
		Offset uint64 `json:"offset"`
	}
	path := "/streams/" + url.PathEscape(stream) + "/records"
	err := l.c.call(ctx, http.MethodPost, path, bytes.NewReader(data), &out)
	return out.Offset, err
}

// Read implements Log.
func (l *HTTPLog) Read(ctx context.Context, stream string, from uint64) (*Page, error) {
	page := &Page{}
	path := fmt.Sprintf("/streams/%s/records?from=%d", url.PathEscape(stream), from)
	err := l.c.call(ctx, http.MethodGet, path, nil, page)
	return page, err
}

// HTTPHosts is a Hosts over HTTP.
type HTTPHosts struct{ c jsonClient }

// NewHTTPHosts returns a client for the Hosts at a base URL.
func NewHTTPHosts(base string, client *http.Client) *HTTPHosts {
	return &HTTPHosts{jsonClient{base, withoutReuse(client)}}
}

// List implements Hosts.
func (h *HTTPHosts) List(ctx context.Context) ([]Host, error) {
	var out struct {
		Hosts []Host `json:"hosts"`
	}
	err := h.c.call(ctx, http.MethodGet, "/hosts", nil, &out)
	return out.Hosts, err
}

// HTTPEngine is an Engine over HTTP. Its streams use server-sent events.
type HTTPEngine struct {
	c jsonClient
	// events uses connections again, for events only: they have numbers, and those that are known are skipped.
	events jsonClient
}

// NewHTTPEngine returns a client for the Engine at a base URL.
func NewHTTPEngine(base string, client *http.Client) *HTTPEngine {
	return &HTTPEngine{c: jsonClient{base, withoutReuse(client)}, events: jsonClient{base, checked(client)}}
}

// Generate implements Engine.
func (e *HTTPEngine) Generate(ctx context.Context, req *GenerateRequest) (TokenStream, error) {
	data, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	resp, err := e.c.do(ctx, http.MethodPost, "/v1/generate", bytes.NewReader(data))
	if statusCode(err) == http.StatusConflict {
		return nil, errors.Mark(err, ErrWrongWeights)
	}
	if err != nil {
		return nil, err
	}
	return newSSEStream(resp.Body), nil
}

// Resume implements Engine.
func (e *HTTPEngine) Resume(ctx context.Context, requestID string, from uint64) (TokenStream, error) {
	path := fmt.Sprintf("/v1/generate/%s?from=%d", url.PathEscape(requestID), from)
	resp, err := e.c.do(ctx, http.MethodGet, path, nil)
	if statusCode(err) == http.StatusNotFound {
		return nil, errors.Mark(err, ErrUnknownStream)
	}
	if err != nil {
		return nil, err
	}
	return newSSEStream(resp.Body), nil
}

// Cancel implements Engine.
func (e *HTTPEngine) Cancel(ctx context.Context, requestID string) error {
	return e.c.call(ctx, http.MethodDelete, "/v1/generate/"+url.PathEscape(requestID), nil, nil)
}

// Events implements Engine.
func (e *HTTPEngine) Events(ctx context.Context, from uint64) (*EventPage, error) {
	page := &EventPage{}
	err := e.events.call(ctx, http.MethodGet, fmt.Sprintf("/v1/events?from=%d", from), nil, page)
	return page, err
}

// Status implements Engine.
func (e *HTTPEngine) Status(ctx context.Context) (*EngineStatus, error) {
	status := &EngineStatus{}
	err := e.c.call(ctx, http.MethodGet, "/v1/load", nil, status)
	return status, err
}

// LoadWeights implements Engine.
func (e *HTTPEngine) LoadWeights(ctx context.Context, order LoadOrder) error {
	err := e.c.post(ctx, "/v1/orders", order, nil)
	if statusCode(err) == http.StatusPreconditionFailed {
		return errors.Mark(err, ErrStaleFence)
	}
	return err
}

// sseStream reads server-sent events with a JSON token each.
type sseStream struct {
	body  io.ReadCloser
	lines *bufio.Scanner
	ended bool
}

func newSSEStream(body io.ReadCloser) *sseStream {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxTokenBytes)
	return &sseStream{body: body, lines: lines}
}

// Next implements TokenStream.
func (s *sseStream) Next() (Token, error) {
	if s.ended {
		return Token{}, io.EOF
	}
	for s.lines.Scan() {
		data, ok := strings.CutPrefix(s.lines.Text(), "data: ")
		if !ok {
			continue
		}
		var token Token
		if err := json.Unmarshal([]byte(data), &token); err != nil {
			return Token{}, errors.Wrap(err, "engine event")
		}
		s.ended = token.End
		return token, nil
	}
	if err := s.lines.Err(); err != nil {
		return Token{}, errors.Wrap(err, "engine stream")
	}
	return Token{}, io.ErrUnexpectedEOF
}

// Close implements TokenStream.
func (s *sseStream) Close() error { return s.body.Close() }

// HTTPPlain is a Plain over HTTP.
type HTTPPlain struct{ c jsonClient }

// NewHTTPPlain returns a client for the Plain at a base URL.
func NewHTTPPlain(base string, client *http.Client) *HTTPPlain {
	return &HTTPPlain{jsonClient{base, withoutReuse(client)}}
}

// Call implements Plain. It does not follow redirects and sends each call once:
// without GetBody, net/http does not retry the request when a pooled connection
// was closed.
func (p *HTTPPlain) Call(ctx context.Context, in *PlainRequest) (*PlainResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, in.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.c.base+in.Path, io.NopCloser(bytes.NewReader(in.Body)))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "plain call"), ErrNotSent)
	}
	req.ContentLength = int64(len(in.Body))
	req.Header.Set("Content-Type", in.ContentType)
	req.Header.Set("X-Request-Id", in.RequestID)
	if in.Key != "" {
		req.Header.Set("Idempotency-Key", in.Key)
	}
	resp, err := p.c.http.Transport.RoundTrip(req)
	if err != nil {
		return nil, errors.Wrap(markNotSent(err), "plain call")
	}
	defer resp.Body.Close()
	body, err := readPlainBody(resp.Body, in.Memory)
	if err != nil {
		return nil, errors.Wrap(err, "plain response")
	}
	return &PlainResponse{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body, RetryAfter: retryAfter(resp)}, nil
}

// errNoMemory is returned if a response is large and others have taken the memory for it.
var errNoMemory = errors.New("no memory for a large response")

const (
	// minBodyRead is the space for the first read of a body.
	minBodyRead = 512
	// bodyCopies is how often a body is held: as received, with the space to grow, and encoded for the entry.
	bodyCopies = 3
)

// readPlainBody reads a body of at most maxResponseBytes.
func readPlainBody(in io.Reader, memory *buffers.Share) ([]byte, error) {
	var body []byte
	for {
		if memory != nil && !memory.Grow(bodyCopies*(len(body)+minBodyRead)) {
			return nil, errNoMemory
		}
		body = slices.Grow(body, minBodyRead)
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if len(body) > maxResponseBytes {
			return nil, errors.Newf("over %d bytes", maxResponseBytes)
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
