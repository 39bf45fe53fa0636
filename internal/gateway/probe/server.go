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

// SendID names a prompt that was sent: by its entry, and by the entry's own number.
type SendID struct {
	Entry    netip.AddrPort
	Sequence uint32
}

// Engine is what a server answers for. Its methods are called by one goroutine.
type Engine interface {
	// Probe says what a prompt would meet; false while nothing is known.
	Probe(p Prompt) (Response, bool)
	OnSend(id SendID, s Send)
	OnProgress(id SendID, p Progress)
}

// Server answers probes of one engine. It runs on a goroutine of its own, so that an
// answer waits neither for the control thread nor for traffic.
type Server struct {
	conn   *net.UDPConn
	engine Engine
	done   sync.WaitGroup
}

// NewServer answers at an address until Close.
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
		answer := s.take(from, message)
		if answer == nil {
			return
		}
		var err error
		if out, err = (proto.MarshalOptions{}).MarshalAppend(out[:0], answer); err == nil {
			// A datagram that cannot be sent is as good as lost.
			_, _ = s.conn.WriteToUDPAddrPort(out, from)
		}
	})
}

// take handles a message and returns the answer to a probe; nil for none.
func (s *Server) take(from netip.AddrPort, m *peerv1.EngineMessage) *peerv1.EngineAnswer {
	id := SendID{Entry: from, Sequence: m.Id}
	switch {
	case m.Probe != nil:
		a, ok := s.engine.Probe(promptIn(m.Probe.Parts))
		if !ok {
			return nil
		}
		out := answerOut(&a)
		out.Id = m.Id
		return out
	case m.Send != nil:
		s.engine.OnSend(id, sendIn(m.Send))
	case m.Progress != nil:
		s.engine.OnProgress(id, progressIn(m.Progress))
	}
	return nil
}

// Close ends the server.
func (s *Server) Close() {
	_ = s.conn.Close()
	s.done.Wait()
}
