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
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
	"github.com/toucanwell/toucanwell/internal/responses"
)

const (
	// HedgeDelay is the time after which another peer is asked too for records that the first has not begun to send:
	// it may be silent, or this process or the link may be slow.
	HedgeDelay = 700 * time.Millisecond
	// MaxHedges is the number of peers that are asked for a topic at the same time. The oldest request gives way to a
	// further one.
	MaxHedges = 4
	// MaxFetches is the number of fetches of a topic that a process serves at once. When a whole fleet
	// starts, all processes ask the seeds, whose links would carry none of the replicas in time; those
	// that are refused fetch from the first that were served. Each topic has places of its own: the target list
	// of a large fleet is large and changes all the time, and other topics must not wait for it.
	MaxFetches = 4
	// topicHeader names the topic of a fetch.
	topicHeader = "Toucanwell-Topic"
	// maxReplicaBytes is the maximum size of a replica, which has the records of one topic.
	maxReplicaBytes = 8 << 20
	// maxFetchRequest is the maximum size of a request for one.
	maxFetchRequest = 64 << 10
)

// TopicPage is a page of a process's replica of a topic.
type TopicPage struct {
	feed.Page
	// Age is the time since the replica was last current, EraAge that since its era was first seen; zero
	// if unknown.
	Age, EraAge time.Duration
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
	lookup func(topic string, from feed.Position) (TopicPage, bool)
	// places limits the fetches in progress, by topic. Requests that name no known topic share those of "".
	places map[string]chan struct{}
}

// NewServer returns a server of topics. It calls lookup on the control thread.
func NewServer(loop *control.Loop, topics []string, lookup func(topic string, from feed.Position) (TopicPage, bool)) *Server {
	s := &Server{loop: loop, lookup: lookup, places: map[string]chan struct{}{"": make(chan struct{}, MaxFetches)}}
	for _, topic := range topics {
		s.places[topic] = make(chan struct{}, MaxFetches)
	}
	return s
}

// Handler returns the path and the handler for the Mesh service. It refuses requests while
// MaxFetches responses of their topic are being sent.
func (s *Server) Handler() (string, http.Handler) {
	path, handler := peerv1.NewMeshHandler(s, connect.WithReadMaxBytes(maxFetchRequest))
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		places, ok := s.places[r.Header.Get(topicHeader)]
		if !ok {
			places = s.places[""]
		}
		select {
		case places <- struct{}{}:
			defer func() { <-places }()
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
	page, ok := s.lookup(req.Topic, feed.Position{Era: feed.Era(req.Era), Offset: req.From})
	if !ok {
		return &peerv1.FetchResponse{}
	}
	return &peerv1.FetchResponse{
		End: page.End, Whole: page.Full, AgeMs: uint32(page.Age.Milliseconds()), Era: uint64(page.Era), EraAgeMs: uint32(page.EraAge.Milliseconds()),
		Records: toMessages(page.Records, false), Retained: toMessages(page.Retained, true),
	}
}

// toMessages encodes records. Only those of earlier eras need the values that they drop.
func toMessages(records []feed.Record, retained bool) []*peerv1.TopicRecord {
	all := make([]*peerv1.TopicRecord, 0, len(records))
	for _, r := range records {
		m := &peerv1.TopicRecord{Key: r.Key, Value: r.Value, Offset: r.Offset, Dropped: r.Value == nil}
		if retained {
			m.Previous = r.Previous
		}
		if retained || r.First != r.At() {
			m.FirstEra, m.FirstOffset = uint64(r.First.Era), r.First.Offset
		}
		all = append(all, m)
	}
	return all
}

// fromMessages decodes records of an era's log, or statements of earlier eras.
func fromMessages(messages []*peerv1.TopicRecord, era feed.Era, retained bool) []feed.Record {
	records := make([]feed.Record, 0, len(messages))
	for _, m := range messages {
		r := feed.Record{Key: m.Key, Value: m.Value, Previous: m.Previous, Era: era, Offset: m.Offset, First: feed.Position{Era: feed.Era(m.FirstEra), Offset: m.FirstOffset}}
		if m.Dropped {
			r.Value = nil
		}
		if retained {
			r.Era = r.First.Era
		}
		records = append(records, r)
	}
	return records
}

// peerIdleTimeout is how long idle connections to peers are kept open.
const peerIdleTimeout = 5 * time.Second

// NewClient returns a client for Fetch. timeout bounds the time to connect.
func NewClient(timeout time.Duration) *http.Client {
	dialer, transport := upstream.NewDialer(), upstream.NewTransport()
	dialer.Timeout, transport.DialContext, transport.IdleConnTimeout = timeout, dialer.DialContext, peerIdleTimeout
	return &http.Client{Transport: upstream.LimitBodies(responses.Checked(transport), maxReplicaBytes)}
}

// Fetch fetches the records of a topic from a position on from another process, until the context ends.
func Fetch(ctx context.Context, client *http.Client, peer netip.AddrPort, topic string, from feed.Position) (TopicPage, error) {
	rpc := peerv1.NewMeshClient(client, "http://"+peer.String())
	req := connect.NewRequest(&peerv1.FetchRequest{Topic: topic, From: from.Offset, Era: uint64(from.Era)})
	req.Header().Set(topicHeader, topic)
	resp, err := rpc.Fetch(ctx, req)
	if err != nil {
		return TopicPage{}, err
	}
	page := TopicPage{Age: time.Duration(resp.Msg.AgeMs) * time.Millisecond, EraAge: time.Duration(resp.Msg.EraAgeMs) * time.Millisecond}
	page.Era, page.End, page.Full = feed.Era(resp.Msg.Era), resp.Msg.End, resp.Msg.Whole
	page.Records = fromMessages(resp.Msg.Records, page.Era, false)
	page.Retained = fromMessages(resp.Msg.Retained, page.Era, true)
	return page, nil
}
