package origin

import (
	"net/netip"
	"sync"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
)

const (
	// takeoverRetry is the time after which a takeover is sent again, doubled each time until takeoverTimeout: an
	// entry that is slow, or stands still, ends the stream as soon as it goes on. It stays at maxTakeoverRetry at
	// first, so that a link that loses messages for a short time does not delay the end by more than that.
	takeoverRetry    = 15 * time.Millisecond
	maxTakeoverRetry = 60 * time.Millisecond
	frequentRetries  = 400 * time.Millisecond
	takeoverTimeout  = 4 * time.Second
	// maxTakeovers bounds the takeovers that wait for their answers. Further ones are sent once.
	maxTakeovers = 1024
)

// takeover is a stream that another entry has been asked to end.
type takeover struct {
	// server is the hash of the entry's address.
	server uint32
	ended  chan struct{}
}

// TakeOver records that this process serves a stream from now on, of which previous is known, and asks the entry
// that has served it to end what it still serves of it. The returned channel is closed once that one has: at
// once if it is this process, or not known. It is never closed if that entry does not become known, since it
// may work on. Call Serve first.
func (x *Exchange) TakeOver(key Key, previous Record) <-chan struct{} {
	r := Record{previous.Version, Run{Target: previous.Target, Epoch: previous.Epoch + 1}}
	x.Record(key, r)
	ended := make(chan struct{})
	if previous.Server == 0 || previous.Server == x.self {
		close(ended)
		return ended
	}
	t := &takeover{previous.Server, ended}
	m := &peerv1.OriginMessage{Id: x.beginTakeover(t), TakeOver: uint64(key), Epoch: r.Epoch}
	x.sendTakeover(t, m)
	if m.Id != 0 {
		go x.pursue(t, m)
	}
	return ended
}

// sendTakeover sends a takeover if its receiver is known. A process that has just started learns of the others
// while the takeover is repeated.
func (x *Exchange) sendTakeover(t *takeover, m *peerv1.OriginMessage) {
	if to, ok := x.rings.Load().servers[t.server]; ok {
		x.options.Send(to, m)
	}
}

// beginTakeover returns the ID of a takeover; zero if too many are open.
func (x *Exchange) beginTakeover(t *takeover) uint32 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.takeovers) >= maxTakeovers {
		return 0
	}
	x.lastID++
	x.takeovers[x.lastID] = t
	return x.lastID
}

// pursue sends a takeover again until it is answered.
func (x *Exchange) pursue(t *takeover, m *peerv1.OriginMessage) {
	begun := time.Now()
	timeout := time.NewTimer(takeoverTimeout)
	defer timeout.Stop()
	for wait := takeoverRetry; ; {
		retry := time.NewTimer(wait)
		select {
		case <-retry.C:
			x.sendTakeover(t, m)
			if wait *= 2; time.Since(begun) < frequentRetries {
				wait = min(wait, maxTakeoverRetry)
			}
			continue
		case <-t.ended:
		case <-timeout.C:
			x.endTakeover(m.Id)
		}
		retry.Stop()
		return
	}
}

// endTakeover removes a takeover that was not answered.
func (x *Exchange) endTakeover(id uint32) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.takeovers, id)
}

// handleTakeover ends what this process serves of a stream that its caller has taken up at another one.
func (x *Exchange) handleTakeover(from netip.AddrPort, m *peerv1.OriginMessage) {
	key := Key(m.TakeOver)
	x.registry.update(key, Run{Server: serverOf(from), Epoch: m.Epoch}, x.options.Now())
	x.served.end(key, m.Epoch, from)
	x.options.Send(from, &peerv1.OriginMessage{Id: m.Id, Ended: true})
}

// handleEnded takes the answer to a takeover.
func (x *Exchange) handleEnded(from netip.AddrPort, m *peerv1.OriginMessage) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if t := x.takeovers[m.Id]; t != nil && t.server == serverOf(from) {
		close(t.ended)
		delete(x.takeovers, m.Id)
	}
}

// Serve registers that this process serves a stream from now on, at an epoch, and ends what it serves of it at
// lower ones. end is called when the caller has taken the stream up at a higher epoch, with the entry where, or an
// invalid address if that is this one. Call release when the stream has ended.
func (x *Exchange) Serve(key Key, epoch uint32, end func(by netip.AddrPort)) (release func()) {
	x.served.end(key, epoch, netip.AddrPort{})
	return x.served.add(key, &servedStream{epoch, end})
}

// servedStream is a stream that this process serves.
type servedStream struct {
	epoch uint32
	end   func(by netip.AddrPort)
}

// served holds the streams that this process serves. It is safe for concurrent use.
type served struct {
	mu      sync.Mutex
	streams map[Key][]*servedStream
}

func newServed() *served { return &served{streams: map[Key][]*servedStream{}} }

// add adds a stream, and returns a function that removes it.
func (s *served) add(key Key, stream *servedStream) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[key] = append(s.streams[key], stream)
	return func() { s.remove(key, stream) }
}

func (s *served) remove(key Key, stream *servedStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var left []*servedStream
	for _, other := range s.streams[key] {
		if other != stream {
			left = append(left, other)
		}
	}
	if len(left) == 0 {
		delete(s.streams, key)
		return
	}
	s.streams[key] = left
}

// end ends what is served of a stream at epochs below the given one.
func (s *served) end(key Key, epoch uint32, by netip.AddrPort) {
	s.mu.Lock()
	var ended []*servedStream
	for _, stream := range s.streams[key] {
		if stream.epoch < epoch {
			ended = append(ended, stream)
		}
	}
	s.mu.Unlock()
	for _, stream := range ended {
		stream.end(by)
	}
}
