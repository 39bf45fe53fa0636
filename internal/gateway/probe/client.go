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
	// responseTimeout allows some round trips between availability zones.
	responseTimeout = 15 * time.Millisecond
	// unresponsivePeriod is how long an unresponsive sidecar is probed without waiting for
	// its response, so that prompts do not each lose responseTimeout to a host that is
	// suspended, partitioned or gone.
	unresponsivePeriod = 2 * time.Second
	// unresponsiveAfter is the number of consecutive misses after which a sidecar counts
	// as unresponsive. A single datagram may be lost.
	unresponsiveAfter = 2
)

// Client probes sidecars and notifies them of prompts. It is safe for concurrent use.
type Client struct {
	conn *net.UDPConn
	// port is the port on which all sidecars listen.
	port uint16
	now  func() time.Time
	done sync.WaitGroup

	mu      sync.Mutex
	lastID  uint32
	pending map[uint32]pendingProbe
	misses  map[netip.Addr]miss
}

// pendingProbe is a probe without a response yet.
type pendingProbe struct {
	round *round
	// index is the probe's position in its round, host the probed one.
	index int
	host  netip.Addr
}

// round is the set of probes for one decision, guarded by Client.mu.
type round struct {
	responses []Response
	received  []bool
	// awaited is the number of outstanding responses; complete is closed at zero.
	awaited  int
	complete chan struct{}
}

// miss counts consecutive probes without a response.
type miss struct {
	count int
	last  time.Time
}

// NewClient returns a client that sends from an IP address to sidecars at a port.
func NewClient(from netip.Addr, port uint16, now func() time.Time) (*Client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(from, 0)))
	if err != nil {
		return nil, errors.Wrap(err, "open probe socket")
	}
	c := &Client{conn: conn, port: port, now: now, lastID: rand.Uint32(), pending: map[uint32]pendingProbe{}, misses: map[netip.Addr]miss{}}
	c.done.Add(1)
	go c.receive()
	return c, nil
}

// Probe probes the sidecars of engines concurrently for a prompt. It returns the responses
// in the order of the engines, and which of them arrived in time.
func (c *Client) Probe(ctx context.Context, engines []netip.AddrPort, p Prompt) ([]Response, []bool) {
	r, firstID := c.beginRound(engines)
	message := &peerv1.EngineMessage{Probe: &peerv1.EngineProbe{Parts: encodePrompt(p)}}
	for i, engine := range engines {
		message.Id = firstID + uint32(i)
		c.send(engine.Addr(), message)
	}
	timer := time.NewTimer(responseTimeout)
	defer timer.Stop()
	select {
	case <-r.complete:
	case <-timer.C:
	case <-ctx.Done():
	}
	return c.endRound(r, firstID)
}

// beginRound registers one probe per engine, with consecutive IDs.
func (c *Client) beginRound(engines []netip.AddrPort) (r *round, firstID uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r = &round{responses: make([]Response, len(engines)), received: make([]bool, len(engines)), complete: make(chan struct{})}
	firstID = c.lastID + 1
	c.lastID += uint32(len(engines))
	for i, engine := range engines {
		c.pending[firstID+uint32(i)] = pendingProbe{round: r, index: i, host: engine.Addr()}
		if !c.unresponsive(engine.Addr()) {
			r.awaited++
		}
	}
	if r.awaited == 0 {
		close(r.complete)
	}
	return r, firstID
}

// unresponsive reports whether a host's sidecar missed its last probes. The caller holds
// mu.
func (c *Client) unresponsive(host netip.Addr) bool {
	m, ok := c.misses[host]
	return ok && m.count >= unresponsiveAfter && c.now().Sub(m.last) < unresponsivePeriod
}

// endRound drops a round's pending probes, counts them as misses and returns the
// responses received. A later response is discarded, but resets the sidecar's misses.
func (c *Client) endRound(r *round, firstID uint32) ([]Response, []bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range r.responses {
		id := firstID + uint32(i)
		p, open := c.pending[id]
		if !open {
			continue
		}
		delete(c.pending, id)
		c.misses[p.host] = miss{count: c.misses[p.host].count + 1, last: c.now()}
	}
	return r.responses, r.received
}

func (c *Client) receive() {
	defer c.done.Done()
	datagram.Receive(c.conn, maxDatagram, func(data []byte, from netip.AddrPort) {
		in := &peerv1.EngineAnswer{}
		if proto.Unmarshal(data, in) == nil {
			c.handleResponse(from.Addr(), in)
		}
	})
}

// handleResponse matches a response to its pending probe. Responses that are late or come
// from another host are discarded: they would describe the wrong engine.
func (c *Client) handleResponse(from netip.Addr, in *peerv1.EngineAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasUnresponsive := c.unresponsive(from)
	delete(c.misses, from)
	p, open := c.pending[in.Id]
	if !open || p.host != from {
		return
	}
	delete(c.pending, in.Id)
	p.round.responses[p.index], p.round.received[p.index] = decodeResponse(in), true
	if wasUnresponsive {
		return // not counted in awaited
	}
	if p.round.awaited--; p.round.awaited == 0 {
		close(p.round.complete)
	}
}

// NotifySend notifies an engine's sidecar of a prompt sent to the engine. It returns the ID
// under which the prompt's progress is reported.
func (c *Client) NotifySend(engine netip.AddrPort, s Send) uint32 {
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.mu.Unlock()
	c.send(engine.Addr(), &peerv1.EngineMessage{Id: id, Send: encodeSend(s)})
	return id
}

// NotifyProgress notifies an engine's sidecar of a prompt's progress.
func (c *Client) NotifyProgress(engine netip.AddrPort, id uint32, p Progress) {
	c.send(engine.Addr(), &peerv1.EngineMessage{Id: id, Progress: encodeProgress(p)})
}

func (c *Client) send(host netip.Addr, m *peerv1.EngineMessage) {
	data, err := proto.Marshal(m)
	if err != nil || len(data) > maxDatagram {
		return // hundreds of parts; treated like a lost datagram
	}
	// A datagram that cannot be sent is treated as lost.
	_, _ = c.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(host, c.port))
}

// Close stops the client.
func (c *Client) Close() {
	_ = c.conn.Close()
	c.done.Wait()
}
