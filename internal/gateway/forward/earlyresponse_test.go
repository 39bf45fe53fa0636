package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
)

// earlyResponder responds as soon as it has the request head, keeps the connection open and
// reads the body afterwards. misread counts requests found within a body.
type earlyResponder struct {
	address netip.AddrPort
	misread atomic.Int32
}

func startEarlyResponder(t *testing.T) *earlyResponder {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &earlyResponder{address: netip.MustParseAddrPort(listener.Addr().String())}
	var tasks sync.WaitGroup
	tasks.Add(1)
	go func() {
		defer tasks.Done()
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			tasks.Add(1)
			go func() {
				defer tasks.Done()
				e.serve(c)
			}()
		}
	}()
	t.Cleanup(func() { listener.Close(); tasks.Wait() })
	return e
}

func (e *earlyResponder) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 503 X\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", wiretest.ID, r.Header.Get(wiretest.ID), wiretest.NotRun)
		buffer := make([]byte, 4096)
		for {
			n, err := r.Body.Read(buffer)
			for _, b := range buffer[:n] {
				if b != 'x' && b != 'n' && b != 'e' && b != 't' {
					e.misread.Add(1)
					return
				}
			}
			if err != nil {
				break
			}
		}
	}
}
