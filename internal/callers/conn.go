// Package callers guards HTTP servers against clients and proxies that disagree with them on where a
// request ends: one that states the length of its body in two ways is refused, or is the last one on its
// connection.
package callers

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
)

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	// head is nil if the connection does not carry plain text.
	head *requestHead
}

// NewConn returns a connection that carries plain text.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn, head: &requestHead{}} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.head != nil {
		c.head.record(p[:n])
	}
	return n, err
}

// listener is a net.Listener whose connections are guarded.
type listener struct {
	net.Listener
	encrypted bool
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if l.encrypted {
		return &Conn{Conn: conn}, nil
	}
	return NewConn(conn), nil
}

// Guard guards a server, and returns the listener that it must serve. The connections of the listener
// are encrypted if the server is to serve TLS on it.
func Guard(server *http.Server, l net.Listener, encrypted bool) net.Listener {
	server.Handler = Handler(server.Handler)
	server.ConnContext = Context
	return listener{l, encrypted}
}

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

// Context implements http.Server.ConnContext.
func Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnOf returns the connection of a request, or nil if it is not guarded.
func ConnOf(r *http.Request) *Conn {
	switch conn := r.Context().Value(connKey{}).(type) {
	case *Conn:
		return conn
	case *tls.Conn:
		guarded, _ := conn.NetConn().(*Conn)
		return guarded
	default:
		return nil
	}
}

// Handler returns a handler that serves requests on guarded connections.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := ConnOf(r)
		if conn == nil {
			panic(http.ErrAbortHandler)
		}
		if checked, ok := checkFraming(conn.head, w, r); ok {
			next.ServeHTTP(w, checked)
		}
	})
}
