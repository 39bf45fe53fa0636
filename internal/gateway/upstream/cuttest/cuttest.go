// Package cuttest plays servers that break off their responses, for tests.
package cuttest

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
)

// Proxy forwards connections to a server, and ends each one within its first response.
type Proxy struct {
	Address netip.AddrPort
	to      string
	mu      sync.Mutex
	// at is the number of bytes of a response that are forwarded; negative for all.
	at    int
	reset bool
	open  map[net.Conn]bool
	// received is the number of bytes that the last connection got from the server.
	received int
}

// Start starts a proxy that breaks off nothing. It ends with the test.
func Start(t *testing.T, to string) *Proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{Address: netip.MustParseAddrPort(listener.Addr().String()), to: to, at: -1, open: map[net.Conn]bool{}}
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			tasks.Go(func() { p.forward(c) })
		}
	})
	t.Cleanup(func() { listener.Close(); p.closeAll(); tasks.Wait() })
	return p
}

// CutAt makes the proxy end connections after so many bytes of their response, by a reset or in order.
func (p *Proxy) CutAt(n int, reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at, p.reset = n, reset
}

// Received returns the length of the last response that was not broken off.
func (p *Proxy) Received() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received
}

func (p *Proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		_ = c.Close()
	}
}

func (p *Proxy) forward(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer server.Close()
	p.mu.Lock()
	at, reset := p.at, p.reset
	p.received = 0
	p.open[client] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.open, client)
	}()
	go func() {
		_, _ = io.Copy(server, client) // ends with the connection
		_ = server.Close()
	}()
	if at < 0 {
		p.copyAll(client, server)
		return
	}
	// The first byte is awaited also if none is forwarded: the request has arrived then.
	first := make([]byte, 1)
	if _, err := io.ReadFull(server, first); err == nil && at > 0 {
		_, _ = client.Write(first)
		_, _ = io.CopyN(client, server, int64(at-1))
	}
	if tcp, ok := client.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
}

// next returns the position after at: each step in the head and at the end, some in between.
func next(at, length, step int) int {
	const head, end, bodyStep = 400, 20, 41
	if at < head || at >= length-end {
		return at + max(step, 1)
	}
	return min(at+max(step, bodyStep), length-end)
}

func (p *Proxy) copyAll(client, server net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := server.Read(buffer)
		p.mu.Lock()
		p.received += n
		p.mu.Unlock()
		if n > 0 {
			_, _ = client.Write(buffer[:n])
		}
		if err != nil {
			return
		}
	}
}

// Call is a call whose response is broken off.
type Call struct {
	Name string
	// Responses is the number of responses, of the same length, that it gets on one connection; 0 means 1.
	Responses int
	// Tail is the number of bytes at the end of a response without which it is whole.
	Tail int
	// Step is the distance between the positions at which it is broken off; 0 means each byte of the head.
	Step int
	// Do makes the call to the proxy, on a connection of its own.
	Do func(address netip.AddrPort) error
}

// Check checks that a call fails whenever its response is broken off.
func (p *Proxy) Check(t *testing.T, c Call) {
	t.Helper()
	p.CutAt(-1, false)
	if err := c.Do(p.Address); err != nil {
		t.Errorf("%s: %v", c.Name, err)
		return
	}
	length := p.Received()/max(c.Responses, 1) - c.Tail
	for _, reset := range []bool{false, true} {
		for at := 0; at < length; at = next(at, length, c.Step) {
			p.CutAt(at, reset)
			if err := c.Do(p.Address); err == nil {
				t.Errorf("%s: a response that was broken off after %d bytes of %d (by a reset: %v) was taken for whole", c.Name, at, length, reset)
			}
		}
	}
}
