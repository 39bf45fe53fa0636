package gateway

import (
	"net"
	"net/http"
	"sync"

	"github.com/toucanwell/toucanwell/internal/callers"
)

// callerConns tracks the connections of callers, so that a stopping entry closes none on which it has
// begun to serve a request. http.Server.Shutdown does not guarantee this: it may close a connection as
// idle whose next request is just being read, and that request is served all the same.
type callerConns struct {
	mu    sync.Mutex
	open  map[*callers.Conn]connState
	nBusy int
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

func newCallerConns() *callerConns { return &callerConns{open: map[*callers.Conn]connState{}} }

// add starts to track a connection.
func (c *callerConns) add(conn net.Conn) *callers.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked := callers.NewConn(conn)
	c.open[tracked] = connNew
	return tracked
}

// begin marks a connection as busy. It returns false if the connection has been closed: a request on it
// must not be served.
func (c *callerConns) begin(conn *callers.Conn) bool {
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
	tracked := conn.(*callers.Conn)
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

// handle returns a handler that serves requests on tracked connections.
func (c *callerConns) handle(next http.Handler) http.Handler {
	guarded := callers.Handler(next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn := callers.ConnOf(r); conn == nil || !c.begin(conn) {
			panic(http.ErrAbortHandler)
		}
		guarded.ServeHTTP(w, r)
	})
}
