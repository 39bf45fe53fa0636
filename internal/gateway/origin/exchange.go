package origin

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	// announceDelay batches records. A stream whose entry dies within it has no record elsewhere.
	announceDelay = 5 * time.Millisecond
	// maxRecordsPerMessage is the number of records, of 28 bytes each, that fit into a datagram.
	maxRecordsPerMessage = 40
	// askRetry is the time after which a question is sent again, askTimeout that after which the
	// start counts as unknown: some round trips between availability zones on busy hosts.
	askRetry   = 30 * time.Millisecond
	askTimeout = 80 * time.Millisecond
	// maxQuestions bounds the streams that are asked for at the same time.
	maxQuestions = 1024
	// settleTime is how long after its start a process may not know the others yet. Questions are then
	// asked again every settleRetry, for maxSettleWait at most.
	settleTime    = 2 * time.Second
	settleRetry   = 50 * time.Millisecond
	maxSettleWait = 600 * time.Millisecond
)

// Options configure an Exchange.
type Options struct {
	Zone string
	// Self is the address by which the others know this process.
	Self netip.AddrPort
	// Send sends a message to another process. It may be lost.
	Send func(to netip.AddrPort, m *peerv1.OriginMessage)
	// Now is a clock that includes time that the host was suspended.
	Now func() time.Time
}

// Exchange shares the starts of streams among the processes of a deployment. It is safe for
// concurrent use.
type Exchange struct {
	options   Options
	startedAt time.Time
	// self is the hash of this process's address.
	self     uint32
	registry *registry
	served   *served
	rings    atomic.Pointer[rings]

	mu sync.Mutex
	// members are those that rings was made of.
	members []Member
	// pending are the records to send, by receiver.
	pending   map[netip.AddrPort][]announcement
	scheduled bool
	lastID    uint32
	questions map[uint32]*question
	takeovers map[uint32]*takeover
}

type announcement struct {
	key    Key
	record Record
}

// question is a question for the start of a stream that waits for answers.
type question struct {
	// unanswered are the processes that have not answered yet.
	unanswered map[netip.AddrPort]bool
	answered   int
	found      chan Record
	// none is closed once all have answered that they do not know it.
	none chan struct{}
}

// NewExchange returns an Exchange without members.
func NewExchange(o Options) *Exchange {
	x := &Exchange{
		options: o, startedAt: o.Now(), self: serverOf(o.Self), registry: newRegistry(), served: newServed(),
		pending: map[netip.AddrPort][]announcement{}, questions: map[uint32]*question{}, takeovers: map[uint32]*takeover{},
	}
	x.rings.Store(newRings(o.Zone, nil))
	return x
}

// SetMembers replaces the other live processes, sorted by address.
func (x *Exchange) SetMembers(members []Member) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if sameMembers(x.members, members) {
		return
	}
	x.members = members
	x.rings.Store(newRings(x.options.Zone, members))
}

func sameMembers(a, b []Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// Size returns the number of streams whose start this process keeps.
func (x *Exchange) Size() int { return x.registry.size() }

// Record records a stream that this process serves, and tells the processes that keep the record. It
// does not wait for them. The epoch is the one that was given to Serve. Call it before the caller gets the first
// event.
func (x *Exchange) Record(key Key, r Record) {
	r.Server, r.Epoch = x.self, x.served.epochOf(key, r.Epoch)
	x.registry.add(key, r, x.options.Now())
	x.announce(key, r)
}

func (x *Exchange) announce(key Key, r Record) {
	owners := x.rings.Load().owners(key)
	if len(owners) == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, to := range owners {
		x.pending[to] = append(x.pending[to], announcement{key, r})
	}
	if !x.scheduled {
		x.scheduled = true
		time.AfterFunc(announceDelay, x.flush)
	}
}

// flush sends the pending records.
func (x *Exchange) flush() {
	x.mu.Lock()
	pending := x.pending
	x.pending, x.scheduled = map[netip.AddrPort][]announcement{}, false
	x.mu.Unlock()
	for to, records := range pending {
		for len(records) > 0 {
			n := min(len(records), maxRecordsPerMessage)
			m := &peerv1.OriginMessage{}
			for _, r := range records[:n] {
				m.Keys, m.Versions = append(m.Keys, uint64(r.key)), append(m.Versions, uint64(r.record.Version))
				m.Servers, m.Targets, m.Epochs = append(m.Servers, r.record.Server), append(m.Targets, r.record.Target), append(m.Epochs, r.record.Epoch)
			}
			records = records[n:]
			x.options.Send(to, m)
		}
	}
}

// HandOver tells the other processes all records that this one keeps, because it stops.
func (x *Exchange) HandOver() {
	for key, record := range x.registry.all(x.options.Now()) {
		x.announce(key, record)
	}
	x.flush()
}

// Source is where the start of a stream was found.
type Source string

const (
	// Unknown starts are known to no process that answered.
	Unknown Source = "unknown"
	// Own starts are recorded by this process, Peer ones by another.
	Own  Source = "own"
	Peer Source = "peer"
)

// Finding is the result of Find.
type Finding struct {
	Record
	Source Source
	// Asked is the number of processes that were asked, Answered of those that answered in time.
	Asked, Answered int
	Took            time.Duration
}

// Find returns the version that began a stream. It asks other processes if this one does not know.
func (x *Exchange) Find(ctx context.Context, key Key) Finding {
	if record, ok := x.registry.find(key, x.options.Now()); ok {
		return Finding{Record: record, Source: Own}
	}
	start := time.Now()
	f := x.ask(ctx, key)
	for f.Source == Unknown && x.isSettling() && time.Since(start) < maxSettleWait && sleep.For(ctx, settleRetry) {
		f = x.ask(ctx, key)
	}
	f.Took = time.Since(start)
	if f.Source == Peer {
		x.registry.add(key, f.Record, x.options.Now())
	}
	return f
}

func (x *Exchange) isSettling() bool { return x.options.Now().Sub(x.startedAt) < settleTime }

func (x *Exchange) ask(ctx context.Context, key Key) Finding {
	asked := x.rings.Load().candidates(key)
	f := Finding{Source: Unknown, Asked: len(asked)}
	id, q := x.begin(asked)
	if q == nil {
		return Finding{Source: Unknown}
	}
	defer x.end(id)
	m := &peerv1.OriginMessage{Id: id, Ask: uint64(key)}
	for _, to := range asked {
		x.options.Send(to, m)
	}
	retry, timeout := time.NewTimer(askRetry), time.NewTimer(askTimeout)
	defer retry.Stop()
	defer timeout.Stop()
	for {
		select {
		case f.Record = <-q.found:
			f.Source, f.Answered = Peer, x.answered(id)
			return f
		case <-retry.C:
			for _, to := range x.unanswered(id) {
				x.options.Send(to, m)
			}
			continue
		case <-q.none:
		case <-timeout.C:
		case <-ctx.Done():
		}
		f.Answered = x.answered(id)
		return f
	}
}

// begin registers a question. It returns nil if there is nobody to ask, or too many questions are
// open.
func (x *Exchange) begin(asked []netip.AddrPort) (uint32, *question) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(asked) == 0 || len(x.questions) >= maxQuestions {
		return 0, nil
	}
	x.lastID++
	q := &question{unanswered: map[netip.AddrPort]bool{}, found: make(chan Record, 1), none: make(chan struct{})}
	for _, to := range asked {
		q.unanswered[to] = true
	}
	x.questions[x.lastID] = q
	return x.lastID, q
}

// end removes a question.
func (x *Exchange) end(id uint32) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.questions, id)
}

// answered returns the number of processes that have answered a question.
func (x *Exchange) answered(id uint32) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.questions[id].answered
}

func (x *Exchange) unanswered(id uint32) []netip.AddrPort {
	x.mu.Lock()
	defer x.mu.Unlock()
	var list []netip.AddrPort
	for to := range x.questions[id].unanswered {
		list = append(list, to)
	}
	return list
}

// Handle handles a message of another process.
func (x *Exchange) Handle(from netip.AddrPort, m *peerv1.OriginMessage) {
	now := x.options.Now()
	for i, key := range m.Keys[:min(len(m.Keys), len(m.Versions))] {
		x.registry.add(Key(key), Record{Version(m.Versions[i]), Run{Server: at(m.Servers, i), Target: at(m.Targets, i), Epoch: at(m.Epochs, i)}}, now)
	}
	switch {
	case m.Ask != 0:
		r, known := x.registry.find(Key(m.Ask), now)
		x.options.Send(from, &peerv1.OriginMessage{Id: m.Id, Answer: true, Known: known, Version: uint64(r.Version), Server: r.Server, Target: r.Target, Epoch: r.Epoch})
	case m.TakeOver != 0:
		x.handleTakeover(from, m)
	case m.Ended:
		x.handleEnded(from, m)
	case m.Answer:
		x.handleAnswer(from, m)
	}
}

// at returns an element of a list that a process of an earlier version of the software does not send.
func at(list []uint32, i int) uint32 {
	if i < len(list) {
		return list[i]
	}
	return 0
}

// handleAnswer takes an answer to an open question from a process that was asked.
func (x *Exchange) handleAnswer(from netip.AddrPort, m *peerv1.OriginMessage) {
	x.mu.Lock()
	defer x.mu.Unlock()
	q := x.questions[m.Id]
	if q == nil || !q.unanswered[from] {
		return
	}
	delete(q.unanswered, from)
	q.answered++
	switch {
	case m.Known:
		select {
		case q.found <- Record{Version(m.Version), Run{Server: m.Server, Target: m.Target, Epoch: m.Epoch}}:
		default: // another process has answered before
		}
	case len(q.unanswered) == 0:
		close(q.none)
	}
}
