package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// callerConns tracks the connections of callers, so that a stopping entry closes none on which it has
// begun to serve a request. http.Server.Shutdown does not guarantee this: it may close a connection as
// idle whose next request is just being read, and that request is served all the same.
type callerConns struct {
	mu    sync.Mutex
	open  map[*callerConn]connState
	nBusy int
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	head requestHead
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.head.record(p[:n])
	return n, err
}

// connState is the state of a connection in callerConns.
type connState uint8

const (
	// connNew connections have not had a request.
	connNew connState = iota
	// connBusy connections have a request whose response is not yet sent completely.
	connBusy
	// connIdle connections have had requests, and have none now.
	connIdle
)

func newCallerConns() *callerConns { return &callerConns{open: map[*callerConn]connState{}} }

// add starts to track a connection.
func (c *callerConns) add(conn net.Conn) *callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked := &callerConn{Conn: conn}
	c.open[tracked] = connNew
	return tracked
}

// begin marks a connection as busy. It returns false if the connection has been closed: a request on it
// must not be served.
func (c *callerConns) begin(conn *callerConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, ok := c.open[conn]
	if !ok {
		return false
	}
	if state != connBusy {
		c.nBusy++
	}
	c.open[conn] = connBusy
	return true
}

// onState implements http.Server.ConnState. A connection becomes idle or closed after its response has
// been sent.
func (c *callerConns) onState(conn net.Conn, state http.ConnState) {
	tracked := conn.(*callerConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	before, ok := c.open[tracked]
	if !ok || state != http.StateIdle && state != http.StateClosed {
		return
	}
	if before == connBusy {
		c.nBusy--
	}
	c.open[tracked] = connIdle
	if state == http.StateClosed {
		delete(c.open, tracked)
	}
}

// busy returns the number of connections with a request.
func (c *callerConns) busy() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nBusy
}

// closeIdle closes the connections that are idle.
func (c *callerConns) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.open {
		if state == connIdle {
			delete(c.open, conn)
			_ = conn.Close()
		}
	}
}

// callerConnKey is the key of the connection in the contexts of its requests.
type callerConnKey struct{}

// connContext implements http.Server.ConnContext.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// handle returns a handler that serves requests on tracked connections.
func (c *callerConns) handle(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(callerConnKey{}).(*callerConn)
		if !ok || !c.begin(conn) {
			panic(http.ErrAbortHandler)
		}
		if conn.checkFraming(w, r) {
			next.ServeHTTP(w, r)
		}
	})
}
