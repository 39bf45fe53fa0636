package callers

import (
	"container/list"
	"net"
	"net/http"
	"runtime"
	"sync"

	"github.com/toucanwell/toucanwell/internal/buffers"
)

// connMemory is what a connection takes that has had a request: its buffers and the stack of its goroutine.
const connMemory = 24 << 10

// Conns tracks the connections of a server.
//
// It bounds their memory: if none is left for a further one, the one that has been without a request for
// longest is closed; if all have requests, the new one is.
//
// A server that stops closes none on which it has begun to serve a request. http.Server.Shutdown does not
// guarantee this: it may close a connection as idle whose next request is just being read, and that request
// is served all the same.
type Conns struct {
	memory *buffers.Budget
	onShed func(reason string)
	mu     sync.Mutex
	// open has the place of each connection in waiting; nil while it has a request.
	open map[*Conn]*list.Element
	// waiting are the connections without a request, the one that has been so for longest first.
	waiting *list.List
	nBusy   int
}

// waitingConn is a connection without a request. fresh ones have not had any.
type waitingConn struct {
	conn  *Conn
	fresh bool
}

// Reasons for which Conns closes a connection.
const (
	// ShedIdle connections made room for others.
	ShedIdle = "idle"
	// ShedNew connections found no room.
	ShedNew = "new"
)

// NewConns returns an empty set of connections. They share memory with the heads and the small bodies of
// requests; nil for no bound. onShed is told why a connection was closed, and may be nil.
func NewConns(memory *buffers.Budget, onShed func(reason string)) *Conns {
	c := &Conns{memory: memory, onShed: onShed, open: map[*Conn]*list.Element{}, waiting: list.New()}
	if onShed == nil {
		c.onShed = func(string) {}
	}
	memory.SetReclaim(c.closeLongestWaiting)
	return c
}

// Add starts to track a connection. It returns nil and closes the connection if there is no memory for it.
func (c *Conns) Add(conn net.Conn, encrypted bool) *Conn {
	tracked := &Conn{Conn: conn, memory: c.memory}
	if !tracked.charge(connMemory) {
		_ = conn.Close()
		c.onShed(ShedNew)
		return nil
	}
	if !encrypted { // an encrypted connection does not show its heads
		tracked.head = &requestHead{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[tracked] = c.waiting.PushBack(waitingConn{tracked, true})
	return tracked
}

// Begin marks a connection as busy. It returns false if the connection has been closed: a request on it
// must not be served.
func (c *Conns) Begin(conn *Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	place, ok := c.open[conn]
	if !ok {
		return false
	}
	conn.requests.Add(1)
	if place != nil {
		c.waiting.Remove(place)
		c.open[conn] = nil
		c.nBusy++
	}
	return true
}

// OnState implements http.Server.ConnState. A connection becomes idle or closed after its response has
// been sent.
func (c *Conns) OnState(conn net.Conn, state http.ConnState) {
	tracked := guarded(conn)
	if tracked == nil || state != http.StateIdle && state != http.StateClosed {
		return
	}
	if state == http.StateClosed {
		defer tracked.release()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	place, ok := c.open[tracked]
	if !ok {
		return
	}
	if place != nil {
		c.waiting.Remove(place)
	} else {
		c.nBusy--
	}
	if state == http.StateClosed {
		delete(c.open, tracked)
		return
	}
	c.open[tracked] = c.waiting.PushBack(waitingConn{conn: tracked})
}

// Busy returns the number of connections with a request.
func (c *Conns) Busy() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nBusy
}

// CloseIdle closes the connections that have had requests and have none now.
func (c *Conns) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for place := c.waiting.Front(); place != nil; {
		next := place.Next()
		if !place.Value.(waitingConn).fresh {
			c.close(place)
		}
		place = next
	}
}

// closeLongestWaiting closes the connection that has been without a request for longest, and reports
// whether there was one.
func (c *Conns) closeLongestWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	place := c.waiting.Front()
	if place == nil {
		return false
	}
	c.close(place)
	c.onShed(ShedIdle)
	return true
}

// close closes a connection without a request. The caller must hold mu.
func (c *Conns) close(place *list.Element) {
	conn := c.waiting.Remove(place).(waitingConn).conn
	delete(c.open, conn)
	_ = conn.Close()
	conn.release()
}

// Handler returns a handler that serves requests on tracked connections.
func (c *Conns) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := ConnOf(r)
		if conn == nil || !c.Begin(conn) {
			panic(http.ErrAbortHandler)
		}
		checked, ok := conn.checkFraming(w, r)
		if !ok {
			return
		}
		if r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, checked)
			return
		}
		// Without chunks, the end of a response of unknown length is that of the connection.
		conn.beginUnframed()
		next.ServeHTTP(w, checked)
		conn.endUnframed()
	})
}

// Guard guards a server, and returns the listener that it must serve. The connections of the listener
// are encrypted if the server is to serve TLS on it.
func (c *Conns) Guard(server *http.Server, l net.Listener, encrypted bool) net.Listener {
	server.Handler = c.Handler(server.Handler)
	server.ConnContext = Context
	server.ConnState = c.OnState
	return listener{l, c, encrypted}
}

// AwaitTurn lets all goroutines run that wait for the processor. A server that calls it before it accepts a
// connection leaves those that it has no processor time for to the kernel. Otherwise a flood of them fills the run
// queue, in which the control thread and all that has been accepted before wait too.
func AwaitTurn() { runtime.Gosched() }

// listener is a net.Listener whose connections are tracked.
type listener struct {
	net.Listener
	conns     *Conns
	encrypted bool
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		AwaitTurn()
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked := l.conns.Add(conn, l.encrypted); tracked != nil {
			return tracked, nil
		}
	}
}
