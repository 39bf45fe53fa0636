package ratelimit

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	// askTime is how long an answer is waited for: some round trips between availability
	// zones, and a moment on a busy host.
	askTime = 40 * time.Millisecond
	// asks is how often the coordinator is asked before the next in rank is, and
	// inPlaceRanks down to which rank one is asked: most processes may be killed at once.
	asks         = 2
	inPlaceRanks = 4
	// quietAfter is after how many questions in a row without an answer an entry is not
	// waited for, and quietFor how long.
	quietAfter = 2
	quietFor   = 2 * time.Second
	// shortWait is the longest time that a request waits here for tokens: its caller would
	// take longer to come back.
	shortWait = 60 * time.Millisecond
	// inPlaceShare is the part of a limit that the next in rank gives out while the
	// coordinator does not answer an entry, inPlaceAtOnce the part of the burst that it
	// begins with. ownShare is the part that all entries together use when nobody answers
	// them. A coordinator that lives gives out the whole limit meanwhile: what comes to it
	// stays within a tenth of what users count over some seconds.
	inPlaceShare  = 0.06
	inPlaceAtOnce = 0.3
	ownShare      = 0.02
	// inPlaceKept is how long after the last question it may begin with a burst again.
	inPlaceKept = 10 * time.Second
	// reportPeriod is how often it is looked whether use was not reported.
	reportPeriod = 100 * time.Millisecond
)

// Options are a limiter's surroundings.
type Options struct {
	// Listen is where the entries' questions arrive; every entry has the same port.
	Listen netip.AddrPort
	// Incarnation tells this life of the process from others.
	Incarnation uint64
	// LimitOf returns a workspace's limit as it is in force here.
	LimitOf func(workspace string) Limit
	// Now is a clock that counts the time that the host was suspended.
	Now func() time.Time
}

// Limiter is one entry's part in the limits: it admits the requests of its callers, and
// coordinates the workspaces for which it ranks first. It is safe for concurrent use.
type Limiter struct {
	options Options
	conn    *net.UDPConn
	// transmit sends a datagram; one that cannot be sent is as good as lost.
	transmit func(data []byte, to netip.AddrPort)
	members  atomic.Pointer[Members]
	// since is since when the set of living entries is as it is.
	since atomic.Pointer[time.Time]
	// share is the part of each limit that this entry gives out.
	share atomic.Pointer[float64]
	// shares are those of the last seconds; SetMembers alone uses them.
	shares shares
	// mine keeps the buckets that this entry coordinates, inPlace those that it keeps for
	// entries whose coordinator does not answer, own those of its own callers when nobody
	// answers it.
	mine, inPlace, own *Coordinator

	mu      sync.Mutex
	credits map[string]*credit
	number  uint32
	open    map[uint32]*question
	misses  map[netip.AddrPort]miss
	told    told
}

// question awaits its answer.
type question struct {
	workspace string
	to        netip.AddrPort
	cost      float64
	askedAt   time.Time
	// answers takes the answer of one that is waited for; nil otherwise.
	answers chan reply
}

// reply is an answer as it came.
type reply struct {
	LeaseResponse
	notMine bool
}

// miss counts questions in a row that an entry did not answer.
type miss struct {
	count int
	last  time.Time
}

// Open binds the address and begins to answer.
func Open(o Options) (*Limiter, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "listen for rate limits")
	}
	l := newLimiter(o, func(data []byte, to netip.AddrPort) { _, _ = conn.WriteToUDPAddrPort(data, to) })
	l.conn = conn
	return l, nil
}

func newLimiter(o Options, transmit func([]byte, netip.AddrPort)) *Limiter {
	l := &Limiter{
		options: o, transmit: transmit, mine: NewCoordinator(keepFor), inPlace: NewCoordinator(inPlaceKept), own: NewCoordinator(inPlaceKept),
		credits: map[string]*credit{}, open: map[uint32]*question{}, misses: map[netip.AddrPort]miss{},
	}
	now := o.Now()
	l.members.Store(&Members{Self: o.Listen, AsOf: now, StartedAt: now})
	l.since.Store(&now)
	l.share.Store(new(float64))
	return l
}

// Request is what a caller asks for.
type Request struct {
	Workspace string
	Limit     Limit
	Cost      float64
	// ComesBack is set when the caller was probably refused before, Patience is the longest
	// time after which it would come back.
	IsRetry bool
	MaxWait time.Duration
}

// Source says whose tokens a request was admitted by, or who refused it.
type Source string

// The sources.
const (
	// Leased tokens were held here.
	Leased Source = "leased"
	// Coordinated decisions are those of the workspace's coordinator.
	Coordinated Source = "coordinator"
	// InPlace ones are those of the next in rank, where the coordinator did not answer.
	Fallback Source = "in_place"
	// Own is the share that this entry has while nobody answers it.
	OwnShare Source = "own_share"
	// Known is a refusal that was given to another caller a moment ago.
	CachedRefusal Source = "known_empty"
)

// Decision is whether a request may go on.
type Decision struct {
	Admitted bool
	Source   Source
	// Level is what the bucket held, as far as that was asked.
	Level float64
	// RetryAfter is after what time the caller would be admitted.
	RetryAfter time.Duration
	// Took is how long the decision took.
	Took time.Duration
	// until is when leased tokens lapse.
	until time.Time
}

// Admit takes a request's cost out of its workspace's limit, or refuses the request.
func (l *Limiter) Admit(ctx context.Context, r Request) Decision {
	began := l.options.Now()
	d := l.admitHere(r, began)
	if d.Source == "" {
		d = l.admitByOthers(ctx, r)
	}
	d.Took = l.options.Now().Sub(began)
	return d
}

// admitHere decides by what is held here; without a source it cannot.
func (l *Limiter) admitHere(r Request, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.credit(r.Workspace)
	c.note(r.Cost, now)
	if c.spend(r.Cost, now) {
		if c.asksAhead(now) {
			l.askAhead(r.Workspace, c, now)
		}
		return Decision{Admitted: true, Source: Leased, until: now.Add(leaseFor / 2)}
	}
	if !r.IsRetry && now.Before(c.emptyUntil) {
		return Decision{Source: CachedRefusal, RetryAfter: max(c.backAt.Sub(now), leastWait)}
	}
	return Decision{}
}

// credit returns what is held of a workspace. The caller holds mu.
func (l *Limiter) credit(workspace string) *credit {
	c := l.credits[workspace]
	if c == nil {
		c = &credit{}
		l.credits[workspace] = c
	}
	return c
}

// admitByOthers asks the coordinator, then the next in rank, and at last goes by the share
// that this entry has by itself.
func (l *Limiter) admitByOthers(ctx context.Context, r Request) Decision {
	ranked := l.members.Load().Ranked(r.Workspace, inPlaceRanks)
	for i, to := range ranked {
		inPlace, times := i > 0, 1
		if !inPlace {
			times = asks
		}
		for range times {
			if answer, ok := l.ask(ctx, to, r, inPlace); ok {
				return l.decide(ctx, r, answer, to, sourceOf(inPlace))
			}
		}
	}
	now := l.options.Now()
	part := ownShare / float64(max(len(l.members.Load().Live), 1))
	return l.conclude(r, l.own.Handle(r.Workspace, l.self(), l.nextAsk(r, now), r.Limit.Scaled(part), now, now), OwnShare)
}

func sourceOf(inPlace bool) Source {
	if inPlace {
		return Fallback
	}
	return Coordinated
}

func (l *Limiter) self() Holder {
	return Holder{Address: l.options.Listen, Incarnation: l.options.Incarnation}
}

// decide takes in an answer. A request that would be admitted within a moment waits for it
// once, and comes back in its caller's place.
func (l *Limiter) decide(ctx context.Context, r Request, a LeaseResponse, from netip.AddrPort, source Source) Decision {
	if a.Admitted || a.RetryDelay > shortWait || !sleep.For(ctx, a.RetryDelay) {
		return l.conclude(r, a, source)
	}
	r.IsRetry = true
	again, ok := l.ask(ctx, from, r, source == Fallback)
	if !ok {
		return l.conclude(r, a, source)
	}
	return l.conclude(r, again, source)
}

func (l *Limiter) conclude(r Request, a LeaseResponse, source Source) Decision {
	if !a.Admitted {
		l.mu.Lock()
		l.credit(r.Workspace).empty(a.RetryDelay, l.options.Now())
		l.mu.Unlock()
	}
	return Decision{Admitted: a.Admitted, Source: source, Level: a.Level, RetryAfter: a.RetryDelay}
}

// GiveBack returns the cost of a request that was sent nowhere.
func (l *Limiter) GiveBack(r Request, d Decision) {
	if !d.Admitted {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.credit(r.Workspace)
	switch d.Source {
	case Leased:
		c.unspend(r.Cost, d.until)
	case Coordinated:
		c.returned += r.Cost
	}
}

// Charge takes the cost of a run out that was not asked for: of leased tokens if there are
// enough, else the coordinator hears of it afterwards.
func (l *Limiter) Charge(r Request) {
	now := l.options.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.credit(r.Workspace)
	if !c.spend(r.Cost, now) {
		c.extra += r.Cost
	}
}

// SetMembers takes in which entries live. Those that come back after a silence may have used
// their part of each limit meanwhile: the part that this entry gives out was lowered when
// they fell silent, and rises late.
func (l *Limiter) SetMembers(m *Members) {
	l.mu.Lock()
	m.ReportedKnown = l.told.most(m.AsOf)
	l.mu.Unlock()
	l.shares.add(m.inTouch(), m.AsOf)
	part := min(l.shares.least(), m.Share(m.AsOf), m.ofTold())
	l.share.Store(&part)
	if before := l.members.Swap(m); sameEntries(before.Live, m.Live) {
		return
	}
	l.since.Store(&m.AsOf)
	l.mine.Retain(func(workspace string) bool { return m.Coordinator(workspace) == m.Self })
}

// sameEntries reports whether two lists without repeats hold the same entries.
func sameEntries(a, b []netip.AddrPort) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(entry netip.AddrPort) bool { return !slices.Contains(b, entry) })
}

// Uses returns what this entry knows of the workspaces that it coordinates, and the part of
// each limit that it gives out.
func (l *Limiter) Stats() ([]BucketStats, float64) {
	return l.mine.Stats(l.options.Now()), *l.share.Load()
}

// Coordinator is the workspace's, as this entry knows; not valid when none is known.
func (l *Limiter) Coordinator(workspace string) netip.AddrPort {
	return l.members.Load().Coordinator(workspace)
}
