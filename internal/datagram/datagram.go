// Package datagram receives UDP messages between processes.
package datagram

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Receive calls handle with each datagram and its sender until the socket is closed.
// Datagrams longer than maxSize bytes are truncated. data is valid until handle returns.
func Receive(conn *net.UDPConn, maxSize int, handle func(data []byte, from netip.AddrPort)) {
	buffer := make([]byte, maxSize)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // ICMP error for an earlier datagram
		}
		handle(buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}
