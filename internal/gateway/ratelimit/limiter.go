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

	"github.com/toucanwell/toucanwell/internal/gateway/asof"
)

const (
	// maxRanked bounds the number of entries that are asked for one bucket, including the
	// coordinator; more than one may be down.
	maxRanked = 4
	// fallbackShare is the share of a limit that a fallback entry grants while the
	// coordinator does not respond to some entry, fallbackBurstShare the share of the burst
	// that it starts with. localShare is the share that all entries together grant by
	// themselves when none responds. All three are small because the coordinator may be
	// alive and grant the whole limit meanwhile.
	fallbackShare      = 0.06
	fallbackBurstShare = 0.3
	localShare         = 0.02
	// fallbackIdleTimeout is how long after its last request a fallback bucket starts with
	// a burst again.
	fallbackIdleTimeout = 10 * time.Second
	// reportInterval is how often credits are checked for unreported use.
	reportInterval = 100 * time.Millisecond
)

// Options configures a Limiter.
type Options struct {
	// Listen is the address for messages of other entries. All entries use the same port.
	Listen netip.AddrPort
	// Incarnation identifies this start of the process.
	Incarnation uint64
	// LimitOf returns a bucket's current limit.
	LimitOf func(key string) Limit
	// Stated returns the limit that a bucket's target has stated, and Learn is called with what
	// another entry knows of that. The coordinator may not have received a response of the target
	// itself. Both are nil if there are no buckets of targets.
	Stated func(key string) (StatedLimit, bool)
	Learn  func(key string, s StatedLimit, from netip.AddrPort, receipt asof.Receipt)
	// OnRequest is called for each lease request that is sent, with its kind. It may be nil.
	OnRequest func(kind RequestKind)
	// Now is a clock that includes time that the host was suspended.
	Now func() time.Time
}

// RequestKind tells lease requests apart.
type RequestKind string

// The kinds of lease requests.
const (
	// Ask is a request to the coordinator.
	Ask RequestKind = "ask"
	// Retransmission repeats a request to the coordinator that has had no response.
	Retransmission RequestKind = "retransmit"
	// FallbackAsk is a request to an entry with a lower rank.
	FallbackAsk RequestKind = "fallback"
)

// StatedLimit is the rate limit that a target has stated in a response.
type StatedLimit struct {
	// PerSecond is the number of requests per second.
	PerSecond float64
	// Age is the time since the statement.
	Age time.Duration
}

// Limiter admits the requests of one entry's callers, and coordinates the buckets for which
// the entry has the highest rank. It is safe for concurrent use.
type Limiter struct {
	options Options
	conn    *net.UDPConn
	// transmit sends a datagram. Errors are treated like lost messages.
	transmit func(data []byte, to netip.AddrPort)
	members  atomic.Pointer[Members]
	// liveSince is when the set of live entries last changed.
	liveSince atomic.Pointer[time.Time]
	// share is the share of each limit that this entry grants.
	share atomic.Pointer[float64]
	// shares holds recent shares; only SetMembers uses it.
	shares shareHistory
	// coordinator has the buckets that this entry coordinates, fallback those for entries
	// whose coordinator does not respond, and local those for this entry's callers while no
	// entry responds to it.
	coordinator, fallback, local *Coordinator

	mu            sync.Mutex
	credits       map[string]*credit
	lastID        uint32
	lastSequence  uint64
	pending       map[uint32]*pendingRequest
	reportedKnown reportedKnown
}

// Open binds the listen address and returns a Limiter. The caller must run Serve.
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
		options: o, transmit: transmit, coordinator: NewCoordinator(defaultIdleTimeout), fallback: NewCoordinator(fallbackIdleTimeout), local: NewCoordinator(fallbackIdleTimeout),
		credits: map[string]*credit{}, pending: map[uint32]*pendingRequest{},
	}
	now := o.Now()
	l.members.Store(&Members{Self: o.Listen, AsOf: now, StartedAt: now})
	l.liveSince.Store(&now)
	l.share.Store(new(float64))
	return l
}

// Request is a caller's request for admission.
type Request struct {
	Key   string
	Limit Limit
	Cost  float64
	// IsRetry is set if the caller was probably refused before. MaxWait is the longest time
	// after which it would retry.
	IsRetry bool
	MaxWait time.Duration
	// Floor is the share of the bucket's capacity that must be left for the request.
	Floor float64
	// HasAlternative is set if a refused request can go elsewhere. It does not wait for tokens, and
	// its refusal applies for longer to others.
	HasAlternative bool
	// Urgency ranks the callers that wait for tokens; 0 is served first.
	Urgency int
	// Class identifies callers of the same kind. No class is starved by the others.
	Class string
}

// Source identifies who decided on a request.
type Source string

// The sources.
const (
	// Leased means that the request used leased tokens.
	Leased Source = "leased"
	// Coordinated means that the bucket's coordinator decided.
	Coordinated Source = "coordinator"
	// Fallback means that an entry with a lower rank decided, because the coordinator did
	// not respond.
	Fallback Source = "in_place"
	// OwnShare means that the entry decided by its own share, because no entry responded.
	OwnShare Source = "own_share"
	// Overdrawn means that the request's class asks for less than its share of a rate that is short. The
	// cost is reported to the coordinator, which takes it from the bucket.
	Overdrawn Source = "class_share"
	// CachedRefusal means that the entry refused the request by an earlier response.
	CachedRefusal Source = "known_empty"
	// Unanswered means that no response came in the time for which the request may wait.
	Unanswered Source = "unanswered"
)

// Decision is the result of Admit.
type Decision struct {
	Admitted bool
	Source   Source
	// Level is the bucket's level, if the decision used the bucket.
	Level float64
	// RetryAfter is the time after which a refused request would be admitted.
	RetryAfter time.Duration
	// Took is the duration of the decision. Waited is set if the request waited for tokens.
	Took   time.Duration
	Waited bool
	// expiresAt is when tokens refunded to the leases expire.
	expiresAt time.Time
}

// Admit takes a request's cost from its bucket, or refuses the request.
func (l *Limiter) Admit(ctx context.Context, r Request) Decision {
	start := l.options.Now()
	d, w := l.admitOrQueue(r, start)
	if w != nil {
		d = l.await(ctx, w)
		d.Waited = true
	}
	d.Took = l.options.Now().Sub(start)
	return d
}

// admitOrQueue decides by leased tokens and by what the last response said. If the decision takes a
// lease request or more tokens it returns a waiter.
func (l *Limiter) admitOrQueue(r Request, now time.Time) (Decision, *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.credit(r.Key)
	c.hasAlternative = r.HasAlternative
	c.classes.arrive(&r, now)
	if r.IsRetry && c.booked.arrive(&r, now) {
		c.lastUsedAt = now // its demand was recorded when it was refused
	} else {
		c.recordDemand(r.Cost, now)
	}
	l.lastSequence++
	w := waiter{request: r, sequence: l.lastSequence, starved: c.classes.isStarved(r.Class) || c.isWithinShare(&r, now), deadline: now.Add(r.maxWait())}
	if c.mayUseLeases(&w, now) && c.spend(r.Cost, now) {
		c.recordServed(&w, now)
		if c.requestDue(now) {
			l.advance(r.Key, c, now)
		}
		return Decision{Admitted: true, Source: Leased, Level: c.level, expiresAt: now.Add(leaseDuration / 2)}, nil
	}
	if c.overdraw(&r, now) {
		c.recordServed(&w, now)
		return Decision{Admitted: true, Source: Overdrawn, Level: c.level}, nil
	}
	if d, refused := c.refuseKnown(&w, now); refused {
		return d, nil
	}
	queued := &waiter{request: r, sequence: w.sequence, starved: w.starved, deadline: w.deadline, decided: make(chan Decision, 1)}
	if last := c.queue.add(queued); last != nil {
		last.decided <- c.refuse(last, c.forecast(last, c.queue.cost, now), CachedRefusal, now)
	}
	l.advance(r.Key, c, now)
	return Decision{}, queued
}

// await waits for the decision on a caller.
func (l *Limiter) await(ctx context.Context, w *waiter) Decision {
	timer := time.NewTimer(w.deadline.Sub(l.options.Now()))
	defer timer.Stop()
	select {
	case d := <-w.decided:
		return d
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case d := <-w.decided:
		return d
	default:
	}
	now := l.options.Now()
	c := l.credit(w.request.Key)
	c.queue.remove(w)
	return c.refuseLate(w, now)
}

// credit returns a bucket's credit, creating it if needed. The caller holds mu.
func (l *Limiter) credit(key string) *credit {
	c := l.credits[key]
	if c == nil {
		c = &credit{}
		l.credits[key] = c
	}
	return c
}

func (l *Limiter) self() Holder {
	return Holder{Address: l.options.Listen, Incarnation: l.options.Incarnation}
}

// RefusedUntil returns until when a request with a floor would be refused without asking the
// bucket's coordinator; ok is false if it may be admitted.
func (l *Limiter) RefusedUntil(key string, floor float64) (until time.Time, ok bool) {
	now := l.options.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.credits[key]
	if c == nil || !c.isRefused(floor, now) || c.available(now) >= 1 {
		return time.Time{}, false
	}
	return c.retryAt, true
}

// Refund returns the cost of an admitted request that did not run.
func (l *Limiter) Refund(r Request, d Decision) {
	if !d.Admitted {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.credit(r.Key)
	switch d.Source {
	case Leased, Coordinated:
		if !c.undoSpend(r.Cost, d.expiresAt) {
			c.refunded += r.Cost
		}
	case Overdrawn:
		c.refunded += r.Cost
	}
}

// Charge takes the cost of a run that is not subject to admission, from leased tokens if there
// are enough. Otherwise the cost is reported to the coordinator as an overdraft.
func (l *Limiter) Charge(r Request) {
	now := l.options.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.credit(r.Key)
	if !c.spend(r.Cost, now) {
		c.overdraft += r.Cost
	}
}

// SetMembers updates the set of entries. The share that this entry grants falls at once when
// others become unreachable, but rises only after shareWindow, because entries that are reachable
// again may have used their own share until now.
func (l *Limiter) SetMembers(m *Members) {
	l.mu.Lock()
	m.ReportedKnown = l.reportedKnown.recentMax(m.AsOf)
	l.mu.Unlock()
	l.shares.add(m.reachableShare(), m.AsOf)
	share := min(l.shares.lowest(), m.Share(m.AsOf), m.reportedShare())
	l.share.Store(&share)
	if previous := l.members.Swap(m); sameEntries(previous.Live, m.Live) {
		return
	}
	l.liveSince.Store(&m.AsOf)
	l.coordinator.Retain(func(key string) bool { return m.Coordinator(key) == m.Self })
	l.followCoordinators(m)
}

// sameEntries reports whether two lists without duplicates have the same entries.
func sameEntries(a, b []netip.AddrPort) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(entry netip.AddrPort) bool { return !slices.Contains(b, entry) })
}

// Stats returns the stats of the buckets that this entry coordinates, and the share of each limit
// that it grants.
func (l *Limiter) Stats() ([]BucketStats, float64) {
	return l.coordinator.Stats(l.options.Now()), *l.share.Load()
}

// Coordinator returns a bucket's coordinator; it is invalid if none is known.
func (l *Limiter) Coordinator(key string) netip.AddrPort {
	return l.members.Load().Coordinator(key)
}
