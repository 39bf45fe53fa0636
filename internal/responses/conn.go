// Package responses protects HTTP clients from truncated and malformed responses that net/http accepts.
package responses

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Dialer makes connections of type [*Conn].
type Dialer struct{ net.Dialer }

// DialContext connects to a TCP address.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// Conn is a TCP connection whose reads return io.EOF only if the peer has closed its direction.
//
// The kernel reports a reset only once per connection, to whichever call comes first. If that is the write of a
// request, a read returns what has arrived and then io.EOF, which is the regular end of a response without a length.
type Conn struct {
	net.Conn
	// mu is held during writes.
	mu sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error
}

// NewConn wraps a connection, which must not be written to directly from then on.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.recordWrite(err)
	return n, err
}

// WriteBuffers writes several buffers, with a single system call if possible.
func (c *Conn) WriteBuffers(buffers net.Buffers) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := buffers.WriteTo(c.Conn)
	c.recordWrite(err)
	return err
}

// recordWrite keeps the error of the first write that failed. The caller must hold mu.
func (c *Conn) recordWrite(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && !c.isHalfClosed() {
		if cause := c.errorOfLostConn(); cause != nil {
			err = errors.Wrap(cause, "connection lost")
		}
	}
	return n, err
}

// isHalfClosed reports whether the peer has closed its direction of the connection, and only that.
func (c *Conn) isHalfClosed() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	isHalfClosed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isHalfClosed = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && isHalfClosed
}

// errorOfLostConn returns the error that was reported to a write when the connection was lost. A write in progress
// returns at once then, so the lock is not held for long. EPIPE means that the peer had closed its direction before.
func (c *Conn) errorOfLostConn() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(c.writeErr, syscall.EPIPE) {
		return nil
	}
	return c.writeErr
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("%T is not a connection of the system", c.Conn)
	}
	return socket.SyscallConn()
}

// Abort resets the connection.
func (c *Conn) Abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
	}
	_ = c.Close()
}
