package callers

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"
)

// HasLeft reports whether the client of the request with this context has closed its connection, as far as the kernel
// knows. The context ends only once a goroutine of the server has seen it, which may take long in a process that is short of
// processor time. It is false if the client has sent more than the server has read.
func HasLeft(ctx context.Context) bool {
	conn := connOf(ctx)
	if conn == nil {
		return false
	}
	socket, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true // closed by the server
	}
	hasLeft := false
	// Control does not wait for the goroutine of the server that reads the connection.
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hasLeft = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return err != nil || hasLeft
}
