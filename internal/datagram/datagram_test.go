package datagram

import (
	"net"
	"net/netip"
	"testing"
	"time"
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

// Guards against datagrams that waited while the process was stopped and count as new afterwards.
func TestIdleTimePrecedesDatagramsThatWaited(t *testing.T) {
	to, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	from, err := net.DialUDP("udp4", nil, to.LocalAddr().(*net.UDPAddr))
	if err != nil {
		t.Fatal(err)
	}
	defer from.Close()
	type received struct {
		text string
		idle time.Time
	}
	resume, got := make(chan struct{}), make(chan received, 10)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ReceiveTimed(to, 100, time.Now, func(data []byte, _ netip.AddrPort, idle time.Time) {
			got <- received{string(data), idle}
			if string(data) == "stop" {
				<-resume
			}
		})
	}()
	send := func(text string) {
		if _, err := from.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	send("stop")
	<-got
	stopped := time.Now()
	for range 3 {
		send("waits")
	}
	<-time.After(50 * time.Millisecond)
	close(resume)
	for i := range 3 {
		if r := <-got; r.text != "waits" || r.idle.After(stopped) {
			t.Errorf("datagram %d, %q, counts as from %s after the stop began", i, r.text, r.idle.Sub(stopped))
		}
	}
	resumed := time.Now()
	<-time.After(20 * time.Millisecond)
	send("new")
	if r := <-got; r.text != "new" || r.idle.Before(stopped) || r.idle.After(resumed.Add(20*time.Millisecond)) {
		t.Errorf("%q counts as from %s after the stop began", r.text, r.idle.Sub(stopped))
	}
	to.Close()
	<-ended
}
