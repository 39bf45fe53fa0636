// Package upstream sends requests to targets over HTTP/1.1.
//
// It replaces the client of net/http, which retries some requests by itself when an idle
// connection fails, takes whatever a connection delivers first as the response, and can't
// tell whether a failed request was sent. Here every send is the caller's decision, late
// duplicate responses of targets never reach another caller, and requests that certainly
// were not sent are marked with ErrNotSent.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/responses"
)

// ErrNotSent marks errors of requests that certainly did not reach their target.
var ErrNotSent = errors.New("request was not sent")

// ErrUnmatchedResponse is returned when a connection delivers a response that doesn't belong
// to the request.
var ErrUnmatchedResponse = errors.New("response does not match the request")

// ErrHeadTooLong is returned if a target sends more than MaxHeadBytes without completing the head of a
// response.
var ErrHeadTooLong = errors.New("head of the response is too long")

// ErrJoinedHeads is returned if a target sends the beginning of another response before the response.
var ErrJoinedHeads = errors.New("the head of the response contains another status line")

const (
	// MaxHeadBytes is the maximum size of the head of a response, with the informational responses before
	// it.
	MaxHeadBytes = 64 << 10
	// dialTimeout bounds the time to connect, which normally takes a few milliseconds. An
	// unreachable host never responds, and a lost SYN is retransmitted only after a second:
	// another target is faster in both cases.
	dialTimeout = 250 * time.Millisecond
	// bufferSize fits the headers of requests and responses.
	bufferSize = 4 << 10
	// maxUnmatched is the number of unmatched responses that are skipped.
	maxUnmatched = 2
	// maxUnmatchedBody is the largest body of an unmatched response that is skipped.
	maxUnmatchedBody = 1 << 20
	// maxInlineBody is the largest body that is written before the response is read. Larger
	// ones are written concurrently: a target that responds early stops reading, which would
	// block the writer forever.
	maxInlineBody = 2 << 10
)

// Request is a request to a target.
type Request struct {
	Method string
	// RequestURI is the unmodified request target of the request line.
	RequestURI string
	Host       string
	Header     http.Header
	Body       []byte
	// Attempt is the ID that the target repeats in its response. A connection carries an attempt once. Without an
	// ID the request gets a connection that has carried no other.
	Attempt string
	// FreshConn excludes connections that have been idle for long, which the target may
	// have closed. Set it for requests that can't be retried.
	FreshConn bool
	// Matches reports whether a response belongs to this request.
	Matches func(status int, h http.Header) bool
	// Trace, unless nil, receives what connection carries the request, before a response is read.
	Trace *Trace
}

// Trace describes the connection that carries a request.
type Trace struct {
	// Earlier is the number of requests that the connection carried before this one.
	Earlier int
	// PassedOver is the number of idle connections that were not used because they had carried the attempt.
	PassedOver int
	// Age is the time since the connection was made, Idle that since the response before.
	Age, Idle time.Duration
	// Local is the address of this end.
	Local netip.AddrPort
	// Written is set if the request had been written when its response began, or when there was none.
	Written bool
	// Head is the beginning of the head that was taken for the response; nil if there was none.
	Head []byte
}

// Response is a target's response. The caller must close it.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the length of the body, or -1 if it is unknown.
	ContentLength int64
	// CloseDelimited is set if the body ends when the target closes the connection.
	CloseDelimited bool
	conn           *conn
	raw            *http.Response
	complete       bool
	written        *writeResult
	// stop detaches the connection from the context of the request.
	stop func() bool
}

// maxTracedHead bounds the beginning of a head in a trace.
const maxTracedHead = 256

// Read implements io.Reader. It returns an error if the response is truncated.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.raw.Body.Read(p)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// Complete reports whether the body was read to its end.
func (r *Response) Complete() bool { return r.complete }

// Close ends the exchange. The connection returns to the pool if the exchange is complete and
// nothing is left to read; otherwise it ends, by a reset if the exchange is not complete, which makes the target
// cancel the request.
func (r *Response) Close() {
	stopped := r.stop()
	if stopped && r.complete && !r.raw.Close && !r.CloseDelimited && r.RequestWritten() && r.conn.drained() {
		r.conn.pool.put(r.conn)
		return
	}
	if !r.complete || !r.RequestWritten() {
		r.conn.abort()
		return
	}
	r.conn.close()
}

// RequestWritten reports whether the request was written completely. After an early response it may not
// be: the target would then take the next request for the rest of the body.
func (r *Response) RequestWritten() bool { return r.written.isComplete() }

// writeResult is the result of writing a request, which may still go on.
type writeResult struct {
	result <-chan error
	// ended is set once result has delivered err.
	ended bool
	err   error
}

// isComplete reports whether the request was written completely.
func (w *writeResult) isComplete() bool {
	if !w.ended {
		select {
		case w.err = <-w.result:
			w.ended = true
		default:
		}
	}
	return w.ended && w.err == nil
}

// Send sends a request to an address and returns when the headers of the response arrive.
// Cancelling the context resets the connection, even while the body is being read.
func (p *Pool) Send(ctx context.Context, address netip.AddrPort, req *Request) (*Response, error) {
	c, passedOver, err := p.get(ctx, address, req)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	stop := context.AfterFunc(ctx, c.abort)
	c.trace(req, passedOver)
	written := &writeResult{result: c.write(req)}
	raw, err := c.readResponse(req)
	c.traceResponse(req.Trace, written, err)
	if err != nil {
		stop()
		c.abort()
		if ctx.Err() != nil {
			return nil, errors.Wrap(ctx.Err(), "await response")
		}
		return nil, err
	}
	return &Response{
		Status: raw.StatusCode, Header: raw.Header, ContentLength: raw.ContentLength,
		CloseDelimited: raw.ContentLength < 0 && !chunked(raw) && bodyAllowed(req.Method, raw.StatusCode),
		raw:            raw, conn: c, written: written, stop: stop,
	}, nil
}

// chunked reports whether the body has the chunked transfer coding.
func chunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// bodyAllowed reports whether a response may have a body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// write sends the request. The returned channel receives the result.
func (c *conn) write(req *Request) <-chan error {
	done := make(chan error, 1)
	head := encodeHead(req)
	if len(req.Body) <= maxInlineBody {
		_, err := c.net.Write(append(head, req.Body...))
		done <- err
		return done
	}
	go func() { done <- c.net.WriteBuffers(net.Buffers{head, req.Body}) }()
	return done
}

// encodeHead returns the request line and the headers.
func encodeHead(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(bufferSize)
	b.WriteString(req.Method + " " + req.RequestURI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.Write(&b)
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponse reads responses until one matches the request. Others are late responses to
// earlier requests on the connection.
func (c *conn) readResponse(req *Request) (*http.Response, error) {
	httpReq := &http.Request{Method: req.Method}
	for range maxUnmatched + 1 {
		raw, err := c.readFinal(httpReq)
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		if req.Matches(raw.StatusCode, raw.Header) {
			return raw, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(raw.Body, maxUnmatchedBody))
		if err != nil || n == maxUnmatchedBody || raw.Close {
			return nil, errors.Wrapf(ErrUnmatchedResponse, "status %d", raw.StatusCode)
		}
	}
	return nil, errors.Wrap(ErrUnmatchedResponse, "too many responses to other requests")
}

// readFinal reads a response and skips informational ones. Bytes that are not a response may not end, and
// are read only up to MaxHeadBytes.
func (c *conn) readFinal(httpReq *http.Request) (*http.Response, error) {
	c.input.limit(MaxHeadBytes)
	defer c.input.unlimit()
	for {
		if err := c.checkHead(); err != nil {
			return nil, err
		}
		raw, err := http.ReadResponse(c.reader, httpReq)
		if err != nil {
			return nil, err
		}
		if err := responses.Check(raw); err != nil {
			return nil, err
		}
		if raw.StatusCode >= http.StatusOK {
			return raw, nil
		}
	}
}

// conn is one connection to a target.
type conn struct {
	pool      *Pool
	address   netip.AddrPort
	net       *responses.Conn
	input     *headReader
	reader    *bufio.Reader
	closeOnce sync.Once
	dialedAt  time.Time
	idleSince time.Time
	// attempts are the requests that were sent on the connection.
	attempts attemptSet
	// head is the beginning of the last head that was read.
	head []byte
}

// trace counts a request and describes the connection to it.
func (c *conn) trace(req *Request, passedOver int) {
	if t := req.Trace; t != nil {
		now := time.Now()
		*t = Trace{Earlier: len(c.attempts), PassedOver: passedOver, Age: now.Sub(c.dialedAt), Local: localAddress(c.net)}
		if !c.idleSince.IsZero() {
			t.Idle = now.Sub(c.idleSince)
		}
	}
	c.attempts.add(attemptOf(req.Attempt))
}

// traceResponse describes the response, or that there was none.
func (c *conn) traceResponse(t *Trace, written *writeResult, err error) {
	if t == nil {
		return
	}
	t.Written = written.isComplete()
	if err == nil {
		t.Head = c.head
	}
}

func localAddress(c net.Conn) netip.AddrPort {
	if address, ok := c.LocalAddr().(*net.TCPAddr); ok {
		return address.AddrPort()
	}
	return netip.AddrPort{}
}

func (c *conn) close() {
	c.closeOnce.Do(func() { _ = c.net.Close() })
}

// abort resets the connection. A target may take the end of a connection for that of one direction, and
// work on until it writes; and what the kernel has not sent yet would still arrive after a regular close.
func (c *conn) abort() {
	c.closeOnce.Do(c.net.Abort)
}

// drained reports whether nothing that was read from the connection is left.
func (c *conn) drained() bool { return c.reader.Buffered() == 0 && len(c.input.unread) == 0 }

// headReader reads from a connection. While it is limited it returns ErrHeadTooLong after so many bytes.
type headReader struct {
	in      io.Reader
	limited bool
	left    int
	// unread was read from the connection before, and is read again first.
	unread []byte
}

func (r *headReader) limit(n int) { r.limited, r.left = true, n }

func (r *headReader) unlimit() { r.limited = false }

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if len(r.unread) > 0 {
		n := copy(p, r.unread)
		if r.unread = r.unread[n:]; len(r.unread) == 0 {
			r.unread = nil // an idle connection must not keep the head
		}
		return n, nil
	}
	if !r.limited {
		return r.in.Read(p)
	}
	if r.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := r.in.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
