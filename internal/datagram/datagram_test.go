package datagram

import (
	"net"
	"net/netip"
	"testing"
)

// Guards against lost or wrong sender addresses, untruncated datagrams and a receiver that
// does not stop when its socket is closed.
func TestReceiveReportsSendersAndStopsOnClose(t *testing.T) {
	open := func() *net.UDPConn {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	to, a, b := open(), open(), open()
	defer a.Close()
	defer b.Close()
	got := make(chan string, 2)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Receive(to, 4, func(data []byte, from netip.AddrPort) { got <- string(data) + " " + from.String() })
	}()
	for conn, text := range map[*net.UDPConn]string{a: "one", b: "longer"} {
		if _, err := conn.WriteTo([]byte(text), to.LocalAddr()); err != nil {
			t.Fatal(err)
		}
	}
	seen := map[string]bool{<-got: true, <-got: true}
	if !seen["one "+a.LocalAddr().String()] || !seen["long "+b.LocalAddr().String()] {
		t.Errorf("received %v", seen)
	}
	to.Close()
	<-ended
}
