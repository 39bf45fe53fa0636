// Package datagram receives the small messages that processes send each other over UDP.
package datagram

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Receive hands each datagram to take, with its sender, until the socket is closed. Of one
// that is longer than most bytes the rest is lost. data is valid until take returns.
func Receive(conn *net.UDPConn, most int, take func(data []byte, from netip.AddrPort)) {
	buffer := make([]byte, most)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP word of an earlier datagram
		}
		take(buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}
