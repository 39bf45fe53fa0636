// Package probe sends the probes with which entries query sidecars before they choose a target.
//
// A probe and its response are one UDP datagram each, since connections from every entry to
// every sidecar would use too much memory. Probes are not retried: targets that do not respond
// in time are skipped.
package probe

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/datagram"
)

// maxDatagram bounds the size of probes and responses, in bytes.
const maxDatagram = 2048

// WorkspaceHash returns the hash that identifies a workspace in probes.
func WorkspaceHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Server responds to probes.
type Server struct {
	conn    *net.UDPConn
	handler func(*peerv1.ProbeRequest) *peerv1.ProbeResponse
	wg      sync.WaitGroup
}

// NewServer starts a server at a UDP address.
func NewServer(address string, handler func(*peerv1.ProbeRequest) *peerv1.ProbeResponse) (*Server, error) {
	localAddr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "probe address")
	}
	conn, err := net.ListenUDP("udp", localAddr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for probes")
	}
	s := &Server{conn: conn, handler: handler}
	s.wg.Add(1)
	go s.serve()
	return s, nil
}

func (s *Server) serve() {
	defer s.wg.Done()
	var out []byte
	datagram.Receive(s.conn, maxDatagram, func(data []byte, from netip.AddrPort) {
		request := &peerv1.ProbeRequest{}
		if proto.Unmarshal(data, request) != nil {
			return
		}
		var err error
		if out, err = (proto.MarshalOptions{}).MarshalAppend(out[:0], s.handler(request)); err == nil {
			_, _ = s.conn.WriteToUDPAddrPort(out, from)
		}
	})
}

// Close implements io.Closer.
func (s *Server) Close() error {
	err := s.conn.Close()
	s.wg.Wait()
	return err
}

// Client sends probes. It is safe for concurrent use.
type Client struct {
	conn    *net.UDPConn
	wg      sync.WaitGroup
	mu      sync.Mutex
	nextID  uint32
	pending map[uint32]pendingProbe
}

// pendingProbe is a probe without a response yet.
type pendingProbe struct {
	to       netip.AddrPort
	response chan *peerv1.ProbeResponse
}

// NewClient returns a client that sends from the IP of the given address, at any free port.
func NewClient(address string) (*Client, error) {
	localAddr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "probe address")
	}
	localAddr.Port = 0
	conn, err := net.ListenUDP("udp", localAddr)
	if err != nil {
		return nil, errors.Wrap(err, "open probe socket")
	}
	c := &Client{conn: conn, nextID: rand.Uint32(), pending: map[uint32]pendingProbe{}}
	c.wg.Add(1)
	go c.receive()
	return c, nil
}

// receive delivers responses to their pending probes. Late responses and those from other
// senders match no pending probe and are dropped.
func (c *Client) receive() {
	defer c.wg.Done()
	datagram.Receive(c.conn, maxDatagram, func(data []byte, from netip.AddrPort) {
		response := &peerv1.ProbeResponse{}
		if proto.Unmarshal(data, response) != nil {
			return
		}
		if p, ok := c.claim(response.Id, from); ok {
			p.response <- response
		}
	})
}

func (c *Client) claim(id uint32, from netip.AddrPort) (pendingProbe, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pending[id]
	if !ok || p.to != netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) {
		return pendingProbe{}, false
	}
	delete(c.pending, id)
	return p, true
}

// Probe sends a probe and waits for the response until the context is done. It sets the ID of
// the request.
func (c *Client) Probe(ctx context.Context, to netip.AddrPort, request *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	p := pendingProbe{to: to, response: make(chan *peerv1.ProbeResponse, 1)}
	c.mu.Lock()
	c.nextID++
	request.Id = c.nextID
	c.pending[request.Id] = p
	c.mu.Unlock()
	defer c.removePending(request.Id)
	data, err := proto.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode probe")
	}
	if _, err := c.conn.WriteToUDPAddrPort(data, to); err != nil {
		return nil, errors.Wrap(err, "send probe")
	}
	select {
	case response := <-p.response:
		return response, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "probe")
	}
}

func (c *Client) removePending(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// Close implements io.Closer.
func (c *Client) Close() error {
	err := c.conn.Close()
	c.wg.Wait()
	return err
}
