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

const (
	// FetchTimeout limits one fetch.
	FetchTimeout = 700 * time.Millisecond
	// MaxFetches is the number of fetches that a process serves at once. When a whole fleet starts,
	// all processes ask the seeds, whose links would carry none of the replicas in time; those
	// that are refused fetch from the first that were served.
	MaxFetches = 4
)

// TopicPage is a page of a process's replica of a topic.
type TopicPage struct {
	feed.Page
	// Age is the time since the replica was last current.
	Age time.Duration
}

// Values returns the values of the page's records.
func (p *TopicPage) Values() [][]byte {
	values := make([][]byte, 0, len(p.Records))
	for _, r := range p.Records {
		values = append(values, r.Value)
	}
	return values
}

// Server serves pages of topics to other processes.
type Server struct {
	loop *control.Loop
	// lookup is called on the control thread.
	lookup func(topic string, from uint64) (TopicPage, bool)
	// places limits the fetches in progress.
	places chan struct{}
}

// NewServer returns a server. It calls lookup on the control thread.
func NewServer(loop *control.Loop, lookup func(topic string, from uint64) (TopicPage, bool)) *Server {
	return &Server{loop: loop, lookup: lookup, places: make(chan struct{}, MaxFetches)}
}

// Handler returns the path and the handler for the Mesh service. It refuses requests while
// MaxFetches responses are being sent.
func (s *Server) Handler() (string, http.Handler) {
	path, handler := peerv1.NewMeshHandler(s)
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.places <- struct{}{}:
			defer func() { <-s.places }()
			handler.ServeHTTP(w, r)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// IsBusy reports whether a fetch failed because the other process serves too many.
func IsBusy(err error) bool { return connect.CodeOf(err) == connect.CodeUnavailable }

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
	page, ok := s.lookup(req.Topic, req.From)
	if !ok {
		return &peerv1.FetchResponse{}
	}
	resp := &peerv1.FetchResponse{End: page.End, Whole: page.Full, AgeMs: uint32(page.Age.Milliseconds())}
	for _, r := range page.Records {
		resp.Records = append(resp.Records, &peerv1.TopicRecord{Key: r.Key, Value: r.Value, Offset: r.Offset, Dropped: r.Value == nil})
	}
	return resp
}

// Fetch fetches the records of a topic from an offset on from another process.
func Fetch(ctx context.Context, client *http.Client, peer netip.AddrPort, topic string, offset uint64) (TopicPage, error) {
	ctx, cancel := context.WithTimeout(ctx, FetchTimeout)
	defer cancel()
	rpc := peerv1.NewMeshClient(client, "http://"+peer.String())
	resp, err := rpc.Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{Topic: topic, From: offset}))
	if err != nil {
		return TopicPage{}, err
	}
	page := TopicPage{Age: time.Duration(resp.Msg.AgeMs) * time.Millisecond}
	page.End, page.Full = resp.Msg.End, resp.Msg.Whole
	for _, r := range resp.Msg.Records {
		value := r.Value
		if r.Dropped {
			value = nil
		}
		page.Records = append(page.Records, feed.Record{Key: r.Key, Value: value, Offset: r.Offset})
	}
	return page, nil
}
