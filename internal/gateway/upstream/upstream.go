// Package upstream sends requests to targets over HTTP/1.1.
//
// It exists beside net/http's client for three reasons. That client repeats
// some requests by itself when a kept connection fails; here every send is
// counted and decided. It treats whatever comes first on a connection as the
// answer; targets may send a second answer late, which must not reach the next
// caller. And it cannot tell a request that certainly never left from one that
// may have run.
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
)

// ErrNotSent says that a request certainly did not reach its target.
var ErrNotSent = errors.New("request was not sent")

// ErrForeign says that a connection brought something that is no answer to its
// request.
var ErrUnmatchedResponse = errors.New("not the answer to this request")

const (
	// dialTimeout bounds a new connection, which takes a few milliseconds. Hosts
	// that are dark never answer, and a lost opening packet comes again only after
	// a second: another target is quicker in both cases.
	dialTimeout = 250 * time.Millisecond
	// bufferSize fits the heads of requests and answers.
	bufferSize = 4 << 10
	// maxForeign is how many answers to other requests are skipped.
	maxForeign = 2
	// maxForeignBody is the largest body that is skipped with one.
	maxForeignBody = 1 << 20
	// smallBody is written before the answer is awaited. A longer one is written
	// beside it: a target that answers early stops reading, and the writer would
	// wait for it for ever.
	smallBody = 2 << 10
)

// Request is one send.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	RequestURI string
	Host       string
	Header     http.Header
	Body       []byte
	// Fresh asks for a connection that has not been idle for long, for requests
	// that cannot be repeated: a target may have dropped an idle one.
	FreshConn bool
	// Mine reports whether a response answers this request.
	Matches func(status int, h http.Header) bool
}

// Response is a target's answer. Close it in any case.
type Response struct {
	Status int
	Header http.Header
	// Length of the body; -1 when the target does not say.
	ContentLength int64
	// Unframed answers end with their connection.
	CloseDelimited bool
	conn           *conn
	raw            *http.Response
	whole          bool
	written        <-chan error
	stop           func() bool
}

// Read implements io.Reader. It fails when the answer is cut off.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.raw.Body.Read(p)
	if err == io.EOF {
		r.whole = true
	}
	return n, err
}

// Whole reports whether the body was read to its end.
func (r *Response) Complete() bool { return r.whole }

// Close ends the exchange. The connection is kept when the answer was read to
// its end and nothing is left on it; otherwise it is closed, which makes the
// target drop the request.
func (r *Response) Close() {
	stopped := r.stop()
	if stopped && r.whole && !r.raw.Close && !r.CloseDelimited && r.bodyWritten() && r.conn.reader.Buffered() == 0 {
		r.conn.pool.put(r.conn)
		return
	}
	r.conn.close()
}

// bodyWritten reports whether the request was written whole. The failure
// guarded against is an early answer to a long body: the next request on the
// connection would be read as the rest of it.
func (r *Response) bodyWritten() bool {
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

// Send sends a request to an address and returns the answer's head. When the
// context ends the connection is closed, also while the body is read.
func (p *Pool) Send(ctx context.Context, address netip.AddrPort, req *Request) (*Response, error) {
	c, err := p.get(ctx, address, req.FreshConn)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	stop := context.AfterFunc(ctx, c.close)
	written := c.write(req)
	raw, err := c.readAnswer(req)
	if err != nil {
		stop()
		c.close()
		if ctx.Err() != nil {
			return nil, errors.Wrap(ctx.Err(), "await answer")
		}
		return nil, err
	}
	return &Response{
		Status: raw.StatusCode, Header: raw.Header, ContentLength: raw.ContentLength,
		CloseDelimited: raw.ContentLength < 0 && !chunked(raw) && bodyAllowed(req.Method, raw.StatusCode),
		raw:            raw, conn: c, written: written, stop: stop,
	}, nil
}

func chunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// write sends the request. The channel gets the result once.
func (c *conn) write(req *Request) <-chan error {
	done := make(chan error, 1)
	head := encodeHead(req)
	if len(req.Body) <= smallBody {
		_, err := c.net.Write(append(head, req.Body...))
		done <- err
		return done
	}
	go func() {
		buffers := net.Buffers{head, req.Body}
		_, err := buffers.WriteTo(c.net)
		done <- err
	}()
	return done
}

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

// readAnswer reads responses until one answers the request. Others are late
// answers to requests that this connection carried before.
func (c *conn) readAnswer(req *Request) (*http.Response, error) {
	asked := &http.Request{Method: req.Method}
	for range maxForeign + 1 {
		raw, err := c.readFinal(asked)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if req.Matches(raw.StatusCode, raw.Header) {
			return raw, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(raw.Body, maxForeignBody))
		if err != nil || n == maxForeignBody || raw.Close {
			return nil, errors.Wrapf(ErrUnmatchedResponse, "status %d", raw.StatusCode)
		}
	}
	return nil, errors.Wrap(ErrUnmatchedResponse, "too many answers to other requests")
}

// readFinal passes over informational responses.
func (c *conn) readFinal(asked *http.Request) (*http.Response, error) {
	for {
		raw, err := http.ReadResponse(c.reader, asked)
		if err != nil {
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
	net       net.Conn
	reader    *bufio.Reader
	closeOnce sync.Once
	idleSince time.Time
}

func (c *conn) close() {
	c.closeOnce.Do(func() { _ = c.net.Close() })
}
