package probe

import (
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/datagram"
)

// SendID identifies a prompt by the entry that sent it and the entry's sequence number.
type SendID struct {
	Entry    netip.AddrPort
	Sequence uint32
}

// Engine is the state that a server serves. Its methods are called by one goroutine.
type Engine interface {
	// Probe returns the engine's state for a prompt, and false while it is unknown.
	Probe(p Prompt) (Response, bool)
	OnSend(id SendID, s Send)
	OnProgress(id SendID, p Progress)
}

// Server responds to probes of one engine on a goroutine of its own, so that responses wait
// neither for the control loop nor for traffic.
type Server struct {
	conn   *net.UDPConn
	engine Engine
	done   sync.WaitGroup
}

// NewServer listens on an address and serves until Close.
func NewServer(address netip.AddrPort, engine Engine) (*Server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "listen for probes")
	}
	s := &Server{conn: conn, engine: engine}
	s.done.Add(1)
	go s.serve()
	return s, nil
}

func (s *Server) serve() {
	defer s.done.Done()
	var out []byte
	datagram.Receive(s.conn, maxDatagram, func(data []byte, from netip.AddrPort) {
		message := &peerv1.EngineMessage{}
		if proto.Unmarshal(data, message) != nil {
			return
		}
		response := s.handle(from, message)
		if response == nil {
			return
		}
		var err error
		if out, err = (proto.MarshalOptions{}).MarshalAppend(out[:0], response); err == nil {
			// A datagram that cannot be sent is treated as lost.
			_, _ = s.conn.WriteToUDPAddrPort(out, from)
		}
	})
}

// handle processes a message. It returns the response to a probe, else nil.
func (s *Server) handle(from netip.AddrPort, m *peerv1.EngineMessage) *peerv1.EngineAnswer {
	id := SendID{Entry: from, Sequence: m.Id}
	switch {
	case m.Probe != nil:
		r, ok := s.engine.Probe(decodePrompt(m.Probe.Parts))
		if !ok {
			return nil
		}
		out := encodeResponse(&r)
		out.Id = m.Id
		return out
	case m.Send != nil:
		s.engine.OnSend(id, decodeSend(m.Send))
	case m.Progress != nil:
		s.engine.OnProgress(id, decodeProgress(m.Progress))
	}
	return nil
}

// Close stops the server.
func (s *Server) Close() {
	_ = s.conn.Close()
	s.done.Wait()
}
