package mesh

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/feed"
)

const fetchTimeout = 700 * time.Millisecond

// Answer is what a process knows of a topic.
type TopicPage struct {
	feed.Page
	// Age since the records were known to be all.
	Age time.Duration
}

// Server answers fetches of other processes.
type Server struct {
	loop *control.Loop
	// answer is asked on the control thread.
	answer func(topic string, from uint64) (TopicPage, bool)
}

// NewServer returns a server; answer is asked on the control thread.
func NewServer(loop *control.Loop, answer func(topic string, from uint64) (TopicPage, bool)) *Server {
	return &Server{loop: loop, answer: answer}
}

// Handler returns the path and the handler of the Mesh service.
func (s *Server) Handler() (string, http.Handler) { return peerv1.NewMeshHandler(s) }

// Fetch implements the Mesh service.
func (s *Server) Fetch(ctx context.Context, req *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchResponse], error) {
	done := make(chan *peerv1.FetchResponse, 1)
	s.loop.Post(func() { done <- s.respond(req.Msg) })
	select {
	case resp := <-done:
		return connect.NewResponse(resp), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

func (s *Server) respond(req *peerv1.FetchRequest) *peerv1.FetchResponse {
	a, ok := s.answer(req.Topic, req.From)
	if !ok {
		return &peerv1.FetchResponse{}
	}
	resp := &peerv1.FetchResponse{End: a.End, Whole: a.Full, AgeMs: uint32(a.Age.Milliseconds())}
	for _, r := range a.Records {
		resp.Records = append(resp.Records, &peerv1.TopicRecord{Key: r.Key, Value: r.Value, Offset: r.Offset, Dropped: r.Value == nil})
	}
	return resp
}

// Fetch asks another process for the records of a topic from an offset on.
func Fetch(ctx context.Context, client *http.Client, from netip.AddrPort, topic string, offset uint64) (TopicPage, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	peer := peerv1.NewMeshClient(client, "http://"+from.String())
	resp, err := peer.Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{Topic: topic, From: offset}))
	if err != nil {
		return TopicPage{}, err
	}
	a := TopicPage{Age: time.Duration(resp.Msg.AgeMs) * time.Millisecond}
	a.End, a.Full = resp.Msg.End, resp.Msg.Whole
	for _, r := range resp.Msg.Records {
		value := r.Value
		if r.Dropped {
			value = nil
		}
		a.Records = append(a.Records, feed.Record{Key: r.Key, Value: value, Offset: r.Offset})
	}
	return a, nil
}
