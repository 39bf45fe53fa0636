// Package callers guards HTTP servers against clients that misbehave.
//
// A request that states the length of its body in two ways is refused or is the last one on its connection.
// Connections, heads and bodies of requests take no more memory than they are given. A response whose end is
// that of its connection cannot be taken for whole if it is broken off.
package callers

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/buffers"
)

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	// head is nil if the connection does not carry plain text.
	head *requestHead
	// memory is what the connection has taken charged bytes of.
	memory  *buffers.Budget
	charged atomic.Int64
	// requests is the number of requests that have arrived on the connection.
	requests atomic.Int64
	// whole is set when a response has been written whole whose end is that of the connection.
	whole atomic.Bool
}

// errHeadMemory is why reading a head ends for which no memory is left.
var errHeadMemory = errors.New("no memory left for the head")

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.head == nil {
		return n, err
	}
	if more := c.head.record(p[:n]); more > 0 && !c.charge(headCopies*more) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errHeadMemory}
	}
	return n, err
}

// Requests returns the number of requests that have arrived on the connection.
func (c *Conn) Requests() int64 { return c.requests.Load() }

// beginUnframed makes the connection end by a reset, also if the process is killed, until endUnframed is
// called.
func (c *Conn) beginUnframed() {
	c.whole.Store(false)
	c.setLinger(0)
}

// endUnframed makes the connection end in order when it is closed.
func (c *Conn) endUnframed() { c.whole.Store(true) }

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.whole.Load() {
		c.setLinger(-1)
	}
	return c.Conn.Close()
}

func (c *Conn) setLinger(seconds int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(seconds) // fails only if the connection has ended
	}
}

// charge takes memory for the connection, and reports whether it was free.
func (c *Conn) charge(n int) bool {
	if !c.memory.Take(int64(n)) {
		return false
	}
	c.charged.Add(int64(n))
	return true
}

// discharge gives back memory that was taken for a head.
func (c *Conn) discharge(n int) {
	if n > 0 {
		c.charged.Add(-int64(n))
		c.memory.Give(int64(n))
	}
}

// release gives back all memory of the connection.
func (c *Conn) release() { c.memory.Give(c.charged.Swap(0)) }

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

// Context implements http.Server.ConnContext.
func Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnOf returns the connection of a request, or nil if it is not tracked.
func ConnOf(r *http.Request) *Conn { return connOf(r.Context()) }

func connOf(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return guarded(conn)
}

// guarded returns the connection below one of an http.Server, or nil if it is not tracked.
func guarded(conn net.Conn) *Conn {
	switch conn := conn.(type) {
	case *Conn:
		return conn
	case *tls.Conn:
		below, _ := conn.NetConn().(*Conn)
		return below
	default:
		return nil
	}
}
