// Package probe carries the small questions that entries ask sidecars before
// they choose a target.
//
// A question and its answer are one UDP datagram each. An entry of a large
// fleet asks hundreds of sidecars, each seldom: connections would cost it more
// memory than all else it holds, and a question that is a second late is of no
// use. There is no retry; who does not answer in time is passed over.
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

// maxDatagram is more than any probe needs.
const maxDatagram = 2048

// WorkspaceHash is how probes name a workspace.
func WorkspaceHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Server answers probes.
type Server struct {
	conn   *net.UDPConn
	answer func(*peerv1.ProbeRequest) *peerv1.ProbeResponse
	done   sync.WaitGroup
}

// NewServer answers probes at an address until Close.
func NewServer(address string, answer func(*peerv1.ProbeRequest) *peerv1.ProbeResponse) (*Server, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "probe address")
	}
	conn, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, errors.Wrap(err, "listen for probes")
	}
	s := &Server{conn: conn, answer: answer}
	s.done.Add(1)
	go s.serve()
	return s, nil
}

func (s *Server) serve() {
	defer s.done.Done()
	var out []byte
	datagram.Receive(s.conn, maxDatagram, func(data []byte, from netip.AddrPort) {
		request := &peerv1.ProbeRequest{}
		if proto.Unmarshal(data, request) != nil {
			return
		}
		var err error
		if out, err = (proto.MarshalOptions{}).MarshalAppend(out[:0], s.answer(request)); err == nil {
			_, _ = s.conn.WriteToUDPAddrPort(out, from)
		}
	})
}

// Close implements io.Closer.
func (s *Server) Close() error {
	err := s.conn.Close()
	s.done.Wait()
	return err
}

// Client asks probes. It is safe for concurrent use.
type Client struct {
	conn    *net.UDPConn
	done    sync.WaitGroup
	mu      sync.Mutex
	nextID  uint32
	pending map[uint32]waiter
}

// waiter is a question that awaits its answer.
type waiter struct {
	to     netip.AddrPort
	answer chan *peerv1.ProbeResponse
}

// NewClient returns a client that sends from the IP number of an address.
func NewClient(address string) (*Client, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "probe address")
	}
	at.Port = 0
	conn, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, errors.Wrap(err, "open probe socket")
	}
	c := &Client{conn: conn, nextID: rand.Uint32(), pending: map[uint32]waiter{}}
	c.done.Add(1)
	go c.receive()
	return c, nil
}

// receive hands answers to their questions. The failure guarded against is an
// answer that comes late or from elsewhere: it finds no question of its number
// and sender, and is dropped.
func (c *Client) receive() {
	defer c.done.Done()
	datagram.Receive(c.conn, maxDatagram, func(data []byte, from netip.AddrPort) {
		response := &peerv1.ProbeResponse{}
		if proto.Unmarshal(data, response) != nil {
			return
		}
		if w, ok := c.take(response.Id, from); ok {
			w.answer <- response
		}
	})
}

func (c *Client) take(id uint32, from netip.AddrPort) (waiter, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.pending[id]
	if !ok || w.to != netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) {
		return waiter{}, false
	}
	delete(c.pending, id)
	return w, true
}

// Ask sends a question and waits for its answer until the context ends. It
// sets the question's number.
func (c *Client) Probe(ctx context.Context, to netip.AddrPort, request *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	w := waiter{to: to, answer: make(chan *peerv1.ProbeResponse, 1)}
	c.mu.Lock()
	c.nextID++
	request.Id = c.nextID
	c.pending[request.Id] = w
	c.mu.Unlock()
	defer c.forget(request.Id)
	data, err := proto.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode probe")
	}
	if _, err := c.conn.WriteToUDPAddrPort(data, to); err != nil {
		return nil, errors.Wrap(err, "send probe")
	}
	select {
	case response := <-w.answer:
		return response, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "probe")
	}
}

func (c *Client) forget(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// Close implements io.Closer.
func (c *Client) Close() error {
	err := c.conn.Close()
	c.done.Wait()
	return err
}
