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

	"github.com/toucanwell/toucanwell/internal/callers"
	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	// Limits for callers until the estate is known. The timeouts also apply to all other servers
	// of the process.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
	// idleMargin is added to the declared idle timeout, because callers may use a connection
	// until the last moment.
	idleMargin = time.Second
)

// callerServer serves callers under the limits that operators declare. The limits of an
// http.Server can't change while it runs, so new limits start a new server for new
// connections. Open connections stay with their server.
type callerServer struct {
	handler http.Handler
	logger  logr.Logger
	address net.Addr
	conns   *callers.Conns
	// outdated reports whether connections are accepted slowly for now.
	outdated func() bool
	mu       sync.Mutex
	limits   estate.Limits
	newest   *connListener
	servers  []*http.Server
	closed   bool
}

// connListener is a net.Listener that receives its connections over a channel.
type connListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	addr   net.Addr
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.addr }

func newCallerServer(handler http.Handler, address net.Addr, conns *callers.Conns, outdated func() bool, logger logr.Logger) *callerServer {
	c := &callerServer{handler: conns.Handler(handler), logger: logger, address: address, conns: conns, outdated: outdated}
	c.apply(estate.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout - idleMargin})
	return c
}

// acceptRetryDelay is the delay after a failed Accept, for example for lack of file
// descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// outdatedAcceptPause is the pause between two connections that an entry accepts while it lacks processor time for
// the newest configuration.
const outdatedAcceptPause = 10 * time.Millisecond

// serve accepts connections until the listener is closed.
func (c *callerServer) serve(listener net.Listener) error {
	for {
		if c.outdated() {
			sleep.For(context.Background(), outdatedAcceptPause)
		}
		callers.AwaitTurn()
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

func (c *callerServer) dispatch(accepted net.Conn) {
	conn := c.conns.Add(accepted, false)
	if conn == nil {
		return
	}
	c.mu.Lock()
	listener := c.newest
	c.mu.Unlock()
	select {
	case listener.conns <- conn:
	case <-listener.closed:
		conn.Close()
	}
}

// apply starts a server with new limits for new connections. It ignores unset limits.
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
		ErrorLog: log.New(httpErrorLog{c.logger}, "", 0), ConnState: c.conns.OnState, ConnContext: callers.Context,
	}
	c.servers = append(c.servers, server)
	listener := c.newest
	go func() { _ = server.Serve(listener) }() // ends with Close
}

func (c *callerServer) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, s := range c.servers {
		_ = s.Close()
	}
}

// httpErrorLog writes the error log of net/http to the logger.
type httpErrorLog struct{ logger logr.Logger }

// Write implements io.Writer.
func (l httpErrorLog) Write(p []byte) (int, error) {
	l.logger.Info("caller_connection", "said", string(p[:max(len(p)-1, 0)]))
	return len(p), nil
}
