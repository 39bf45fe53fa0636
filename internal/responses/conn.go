// Package responses guards HTTP clients against broken responses that look whole.
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

// Conn is a TCP connection whose reads return io.EOF only if the other end has ended its direction.
//
// The kernel reports a reset once for a connection, to whichever call asks first. If that is the write of a request,
// a read gets what has arrived and then io.EOF, which is the regular end of a response without a length.
type Conn struct {
	net.Conn
	// mu is held during writes.
	mu sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error
}

// NewConn returns a connection that takes over c. Only writes through it are known to its reads.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.recordWrite(err)
	return n, err
}

// WriteBuffers writes several buffers with one call of the system, if it can.
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
		if cause := c.lossReportedToWrite(); cause != nil {
			err = errors.Wrap(cause, "connection lost")
		}
	}
	return n, err
}

// isHalfClosed reports whether the other end has ended its direction of the connection, and the connection is not lost.
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

// lossReportedToWrite returns the error that ended the connection if it was reported to a write. A write in progress
// returns at once, as the connection has ended. EPIPE means that the other end had ended its direction before.
func (c *Conn) lossReportedToWrite() error {
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
