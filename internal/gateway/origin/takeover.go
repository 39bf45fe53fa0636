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
	// maxRedirections bounds the entries that are asked one after the other to end a stream.
	maxRedirections = 8
)

// takeover is a stream that another entry has been asked to end.
type takeover struct {
	key Key
	// record is that of this process, server the hash of the entry that is asked.
	record Record
	server uint32
	// answered is closed once that one has answered, ended once the stream has ended wherever it ran.
	answered, ended chan struct{}
	// redirections is the number of entries that were asked before.
	redirections int
}

// TakeOver records that this process serves a stream from now on, of which previous is known, and asks the entry
// that has served it to end what it still serves of it. If that one knows of a later run, the entry of that
// is asked as well. The returned channel is closed once the stream has ended there: at once if that is this
// process, or not known. It is never closed if an entry does not become known or does not answer, since it
// may work on. Call Serve first.
func (x *Exchange) TakeOver(key Key, previous Record) <-chan struct{} {
	ended := make(chan struct{})
	x.takeOver(key, previous, ended, 0)
	return ended
}

// takeOver asks the entry of a run to end it.
func (x *Exchange) takeOver(key Key, previous Record, ended chan struct{}, redirections int) {
	t := &takeover{
		key: key, record: Record{previous.Version, Run{Target: previous.Target, Epoch: previous.Epoch + 1}},
		server: previous.Server, answered: make(chan struct{}), ended: ended, redirections: redirections,
	}
	x.Record(key, t.record)
	if t.server == 0 || t.server == x.self {
		close(ended)
		return
	}
	m := &peerv1.OriginMessage{Id: x.beginTakeover(t), TakeOver: uint64(key), Epoch: t.record.Epoch}
	x.sendTakeover(t, m)
	if m.Id != 0 {
		go x.pursue(t, m)
	}
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
		case <-t.answered:
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

// handleTakeover ends what this process serves of a stream that its caller has taken up at another one. If the
// sender does not know the latest run of the stream, the answer names that.
func (x *Exchange) handleTakeover(from netip.AddrPort, m *peerv1.OriginMessage) {
	key, now, sender := Key(m.TakeOver), x.options.Now(), serverOf(from)
	answer := &peerv1.OriginMessage{Id: m.Id, Ended: true}
	known, ok := x.registry.find(key, now)
	if ok && known.Epoch >= m.Epoch && known.Server != 0 && known.Server != sender {
		answer.Known, answer.Server, answer.Target, answer.Epoch = true, known.Server, known.Target, known.Epoch
	} else if ok {
		x.registry.add(key, Record{known.Version, Run{Server: sender, Epoch: m.Epoch}}, now)
	}
	x.served.end(key, m.Epoch, from)
	x.options.Send(from, answer)
}

// handleEnded takes the answer to a takeover. A later run that it names is taken over in its turn, unless the
// stream has ended here meanwhile, as the caller has taken it up at a third entry.
func (x *Exchange) handleEnded(from netip.AddrPort, m *peerv1.OriginMessage) {
	t := x.answeredTakeover(from, m.Id)
	if t == nil {
		return
	}
	close(t.answered)
	if !m.Known || m.Epoch < t.record.Epoch {
		close(t.ended)
		return
	}
	if t.redirections < maxRedirections && x.served.raise(t.key, t.record.Epoch, m.Epoch+1) {
		x.takeOver(t.key, Record{t.record.Version, Run{Server: m.Server, Target: m.Target, Epoch: m.Epoch}}, t.ended, t.redirections+1)
	}
}

// answeredTakeover removes the takeover that an entry has answered and returns it; nil if there is none.
func (x *Exchange) answeredTakeover(from netip.AddrPort, id uint32) *takeover {
	x.mu.Lock()
	defer x.mu.Unlock()
	t := x.takeovers[id]
	if t == nil || t.server != serverOf(from) {
		return nil
	}
	delete(x.takeovers, id)
	return t
}

// Serve registers that this process serves a stream from now on, at an epoch, and ends what it serves of it at
// lower ones. end is called when the caller has taken the stream up at a higher epoch, with the entry where, or an
// invalid address if that is this one. Call release when the stream has ended.
func (x *Exchange) Serve(key Key, epoch uint32, end func(by netip.AddrPort)) (release func()) {
	x.served.end(key, epoch, netip.AddrPort{})
	return x.served.add(key, &servedStream{begunAt: epoch, epoch: epoch, end: end})
}

// servedStream is a stream that this process serves.
type servedStream struct {
	// begunAt is the epoch at which it was registered, epoch the one that it has by now: higher if another entry
	// knew of a later run than this one.
	begunAt, epoch uint32
	end            func(by netip.AddrPort)
	ended          bool
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
			stream.ended = true
			ended = append(ended, stream)
		}
	}
	s.mu.Unlock()
	for _, stream := range ended {
		stream.end(by)
	}
}

// raise replaces the epoch of a stream. It reports whether the stream is still served.
func (s *served) raise(key Key, from, to uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stream := range s.streams[key] {
		if stream.epoch == from && !stream.ended {
			stream.epoch = to
			return true
		}
	}
	return false
}

// epochOf returns the epoch that a stream has by now which was registered at the given one.
func (s *served) epochOf(key Key, begunAt uint32) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stream := range s.streams[key] {
		if stream.begunAt == begunAt {
			return stream.epoch
		}
	}
	return begunAt
}
