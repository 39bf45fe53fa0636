// Package datagram receives UDP messages between processes.
package datagram

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Receive calls handle with each datagram and its sender until the socket is closed.
// Datagrams longer than maxSize bytes are truncated. data is valid until handle returns.
func Receive(conn *net.UDPConn, maxSize int, handle func(data []byte, from netip.AddrPort)) {
	ReceiveTimed(conn, maxSize, time.Now, func(data []byte, from netip.AddrPort, _ time.Time) { handle(data, from) })
}

// ReceiveTimed is like Receive. idle is the last time, by the clock now, at which the socket had no datagram
// to read, and thus precedes the arrival of the one that is handled. The time at which it is handled does not
// tell when it arrived: the process may have been stopped meanwhile.
func ReceiveTimed(conn *net.UDPConn, maxSize int, now func() time.Time, handle func(data []byte, from netip.AddrPort, idle time.Time)) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return // the socket is closed
	}
	buffer := make([]byte, maxSize)
	idle := now()
	for {
		var n int
		var from syscall.Sockaddr
		var recvErr error
		err := raw.Read(func(fd uintptr) (done bool) {
			begin := now()
			n, from, recvErr = syscall.Recvfrom(int(fd), buffer, syscall.MSG_DONTWAIT)
			if errors.Is(recvErr, syscall.EAGAIN) {
				idle = begin
				return false
			}
			return true
		})
		if err != nil {
			return // the socket is closed
		}
		if address, ok := addressOf(from); recvErr == nil && ok {
			handle(buffer[:n], address, idle)
		} // otherwise it is an ICMP error for an earlier datagram
	}
}

// addressOf returns a sender's address.
func addressOf(from syscall.Sockaddr) (netip.AddrPort, bool) {
	switch a := from.(type) {
	case *syscall.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)), true
	case *syscall.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port)), true
	default:
		return netip.AddrPort{}, false
	}
}
