package probe

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/datagram"
)

const (
	// answerTime is how long answers are waited for: some round trips between
	// availability zones. A prompt is waited for by its caller for half a second and
	// more.
	answerTime = 15 * time.Millisecond
	// quietFor is how long a sidecar that did not answer is asked without being
	// waited for. Its host may be frozen, cut off or gone; prompts must not each lose
	// answerTime to it.
	quietFor = 2 * time.Second
	// quietAfter is after how many probes in a row without an answer that begins: one
	// datagram may be lost.
	quietAfter = 2
)

// Client asks sidecars. It is safe for concurrent use.
type Client struct {
	conn *net.UDPConn
	// port is where sidecars listen, on the hosts of their engines.
	port uint16
	now  func() time.Time
	done sync.WaitGroup

	mu     sync.Mutex
	number uint32
	asked  map[uint32]question
	misses map[netip.Addr]miss
}

// question is one probe that awaits its answer.
type question struct {
	of *round
	// index of the probe in its round, and who was asked.
	index int
	to    netip.Addr
}

// round is the probes for one decision. The client's lock guards it.
type round struct {
	answers []Response
	known   []bool
	// awaited is how many answers are still waited for; complete is closed when none
	// is.
	awaited  int
	complete chan struct{}
}

// miss counts probes in a row that were not answered.
type miss struct {
	count int
	last  time.Time
}

// NewClient returns a client that sends from an IP number to sidecars at a port.
func NewClient(from netip.Addr, port uint16, now func() time.Time) (*Client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(from, 0)))
	if err != nil {
		return nil, errors.Wrap(err, "open probe socket")
	}
	c := &Client{conn: conn, port: port, now: now, number: rand.Uint32(), asked: map[uint32]question{}, misses: map[netip.Addr]miss{}}
	c.done.Add(1)
	go c.receive()
	return c, nil
}

// Ask asks the sidecars of engines what a prompt would meet there, all at once. It
// returns their answers in the order of the engines, with which of them came in time.
func (c *Client) Ask(ctx context.Context, engines []netip.AddrPort, p Prompt) ([]Response, []bool) {
	r, first := c.begin(engines)
	message := &peerv1.EngineMessage{Probe: &peerv1.EngineProbe{Parts: promptOut(p)}}
	for i, engine := range engines {
		message.Id = first + uint32(i)
		c.send(engine.Addr(), message)
	}
	timer := time.NewTimer(answerTime)
	defer timer.Stop()
	select {
	case <-r.complete:
	case <-timer.C:
	case <-ctx.Done():
	}
	return c.end(r, first)
}

// begin notes the probes of a round; they are numbered from first on.
func (c *Client) begin(engines []netip.AddrPort) (r *round, first uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r = &round{answers: make([]Response, len(engines)), known: make([]bool, len(engines)), complete: make(chan struct{})}
	first = c.number + 1
	c.number += uint32(len(engines))
	for i, engine := range engines {
		c.asked[first+uint32(i)] = question{of: r, index: i, to: engine.Addr()}
		if !c.quiet(engine.Addr()) {
			r.awaited++
		}
	}
	if r.awaited == 0 {
		close(r.complete)
	}
	return r, first
}

// quiet reports whether a sidecar has not answered lately. The caller holds mu.
func (c *Client) quiet(host netip.Addr) bool {
	m, ok := c.misses[host]
	return ok && m.count >= quietAfter && c.now().Sub(m.last) < quietFor
}

// end forgets a round's probes and returns what came. An answer that comes later finds
// no question of its number and is dropped, but shows that its sidecar lives.
func (c *Client) end(r *round, first uint32) ([]Response, []bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range r.answers {
		number := first + uint32(i)
		q, open := c.asked[number]
		if !open {
			continue
		}
		delete(c.asked, number)
		c.misses[q.to] = miss{count: c.misses[q.to].count + 1, last: c.now()}
	}
	return r.answers, r.known
}

func (c *Client) receive() {
	defer c.done.Done()
	datagram.Receive(c.conn, maxDatagram, func(data []byte, from netip.AddrPort) {
		in := &peerv1.EngineAnswer{}
		if proto.Unmarshal(data, in) == nil {
			c.take(from.Addr(), in)
		}
	})
}

// take hands an answer to its question. The failure guarded against is an answer that
// is late, or from elsewhere: it would be taken for that of another engine.
func (c *Client) take(from netip.Addr, in *peerv1.EngineAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasQuiet := c.quiet(from)
	delete(c.misses, from)
	q, open := c.asked[in.Id]
	if !open || q.to != from {
		return
	}
	delete(c.asked, in.Id)
	q.of.answers[q.index], q.of.known[q.index] = answerIn(in), true
	if wasQuiet {
		return // it was not waited for
	}
	if q.of.awaited--; q.of.awaited == 0 {
		close(q.of.complete)
	}
}

// Sent tells an engine's sidecar of a prompt. Its progress is told under the number
// that is returned.
func (c *Client) Sent(engine netip.AddrPort, s Send) uint32 {
	c.mu.Lock()
	c.number++
	number := c.number
	c.mu.Unlock()
	c.send(engine.Addr(), &peerv1.EngineMessage{Id: number, Send: sendOut(s)})
	return number
}

// Progressed tells an engine's sidecar how a prompt gets on.
func (c *Client) Progressed(engine netip.AddrPort, number uint32, p Progress) {
	c.send(engine.Addr(), &peerv1.EngineMessage{Id: number, Progress: progressOut(p)})
}

func (c *Client) send(host netip.Addr, m *peerv1.EngineMessage) {
	data, err := proto.Marshal(m)
	if err != nil || len(data) > maxDatagram {
		return // a prompt of some hundred parts: its engine counts as not answering
	}
	// A datagram that cannot be sent is as good as lost.
	_, _ = c.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(host, c.port))
}

// Close ends the client.
func (c *Client) Close() {
	_ = c.conn.Close()
	c.done.Wait()
}
