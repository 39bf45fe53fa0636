package gateway

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	// headerTimeout, idleTimeout and headerBytes bound callers until the estate
	// states its limits.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
	// idleMargin is how much longer than stated an idle connection is kept: a
	// caller may use it up to the last moment.
	idleMargin = time.Second
)

// callerServer serves callerServer under the limits that operators state. A server's
// limits cannot change while it serves, so that new limits make a new server for
// the connections that come from then on; the others end with the old one.
type callerServer struct {
	handler http.Handler
	logger  logr.Logger
	address net.Addr
	mu      sync.Mutex
	limits  estate.Limits
	newest  *connListener
	servers []*http.Server
	closed  bool
}

// connListener is a listener that is given its connections.
type connListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	addr   net.Addr
}

// Accept implements net.Listener.
func (f *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (f *connListener) Close() error {
	f.once.Do(func() { close(f.closed) })
	return nil
}

// Addr implements net.Listener.
func (f *connListener) Addr() net.Addr { return f.addr }

func newCallerServer(handler http.Handler, address net.Addr, logger logr.Logger) *callerServer {
	c := &callerServer{handler: handler, logger: logger, address: address}
	c.apply(estate.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout - idleMargin})
	return c
}

// acceptRetryDelay is the wait after a connection could not be taken, for lack of
// descriptors say. A flood of callers must not end the process.
const acceptRetryDelay = 20 * time.Millisecond

// serve takes connections until the listener is closed.
func (c *callerServer) serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return http.ErrServerClosed
		}
		if err != nil {
			c.logger.Error(err, "accept_failed")
			sleep.For(context.Background(), acceptRetryDelay)
			continue
		}
		c.dispatch(conn)
	}
}

func (c *callerServer) dispatch(conn net.Conn) {
	c.mu.Lock()
	to := c.newest
	c.mu.Unlock()
	select {
	case to.conns <- conn:
	case <-to.closed:
		conn.Close()
	}
}

// apply serves new connections under other limits.
func (c *callerServer) apply(l estate.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || l == c.limits || l.HeaderBytes <= 0 || l.HeaderTimeout <= 0 || l.IdleTimeout <= 0 {
		return
	}
	c.limits = l
	c.newest = &connListener{conns: make(chan net.Conn), closed: make(chan struct{}), addr: c.address}
	server := &http.Server{
		Handler: c.handler, ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout + idleMargin, MaxHeaderBytes: l.HeaderBytes,
		ErrorLog: log.New(httpErrorLog{c.logger}, "", 0),
	}
	c.servers = append(c.servers, server)
	feed := c.newest
	go func() { _ = server.Serve(feed) }() // ends with Shutdown or Close
}

// shutdown ends all servers when their requests have ended, or the context does.
func (c *callerServer) shutdown(ctx context.Context) error {
	c.mu.Lock()
	c.closed = true
	servers := c.servers
	c.mu.Unlock()
	var first error
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (c *callerServer) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, s := range c.servers {
		_ = s.Close()
	}
}

// httpErrorLog turns what net/http says of bad connections into log lines.
type httpErrorLog struct{ logger logr.Logger }

// Write implements io.Writer.
func (l httpErrorLog) Write(p []byte) (int, error) {
	l.logger.Info("caller_connection", "said", string(p[:max(len(p)-1, 0)]))
	return len(p), nil
}
