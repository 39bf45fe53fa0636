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
	// replyTimeout is how long to wait for a response: some round trips between availability
	// zones, with a margin for a busy host.
	replyTimeout = 40 * time.Millisecond
	// coordinatorAttempts is how often the coordinator is tried before the entries with the
	// next ranks, of which each is tried once. maxRanked bounds the number of entries tried,
	// including the coordinator; more than one may be down.
	coordinatorAttempts = 2
	maxRanked           = 4
	// missThreshold is the number of consecutive timeouts after which responses of an entry
	// are not waited for, for missTimeout after the last one.
	missThreshold = 2
	missTimeout   = 2 * time.Second
	// maxLocalWait is the longest retry delay for which a request waits in the entry instead
	// of being refused.
	maxLocalWait = 60 * time.Millisecond
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
	Learn  func(key string, s StatedLimit, from netip.AddrPort)
	// Now is a clock that includes time that the host was suspended.
	Now func() time.Time
}

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
	pending       map[uint32]*pendingRequest
	misses        map[netip.AddrPort]miss
	reportedKnown reportedKnown
}

// pendingRequest is a lease request without a response.
type pendingRequest struct {
	key    string
	to     netip.AddrPort
	cost   float64
	sentAt time.Time
	// replies receives the response if a caller waits for it; nil otherwise.
	replies chan reply
}

// reply is a response as received.
type reply struct {
	LeaseResponse
	notCoordinator bool
}

// miss counts consecutive timeouts of requests to an entry.
type miss struct {
	count int
	last  time.Time
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
		credits: map[string]*credit{}, pending: map[uint32]*pendingRequest{}, misses: map[netip.AddrPort]miss{},
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
}

// refusalCacheTime returns how long a refusal of the request applies to others at most.
func (r *Request) refusalCacheTime() time.Duration {
	if r.HasAlternative {
		return alternativeCacheTime
	}
	return refusalCacheTime
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
	// CachedRefusal means that another caller was refused a moment ago.
	CachedRefusal Source = "known_empty"
)

// Decision is the result of Admit.
type Decision struct {
	Admitted bool
	Source   Source
	// Level is the bucket's level, if the decision used the bucket.
	Level float64
	// RetryAfter is the time after which a refused request would be admitted.
	RetryAfter time.Duration
	// Took is the duration of the decision.
	Took time.Duration
	// expiresAt is when tokens refunded to the leases expire.
	expiresAt time.Time
}

// Admit takes a request's cost from its bucket, or refuses the request.
func (l *Limiter) Admit(ctx context.Context, r Request) Decision {
	start := l.options.Now()
	d := l.admitLocally(r, start)
	if d.Source == "" {
		d = l.admitRemotely(ctx, r)
	}
	d.Took = l.options.Now().Sub(start)
	return d
}

// admitLocally decides by leased tokens and cached refusals. It returns a Decision without a
// Source if these do not suffice.
func (l *Limiter) admitLocally(r Request, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.credit(r.Key)
	c.recordDemand(r.Cost, now)
	if c.spend(r.Cost, now) {
		if c.shouldLeaseAhead(now) {
			l.leaseAhead(r.Key, c, now)
		}
		return Decision{Admitted: true, Source: Leased, expiresAt: now.Add(leaseDuration / 2)}
	}
	if !r.IsRetry && c.isRefused(r.Floor, now) {
		return Decision{Source: CachedRefusal, RetryAfter: max(c.retryAt.Sub(now), minRetryDelay)}
	}
	return Decision{}
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

// admitRemotely requests a decision from the coordinator, then from the entries with the next
// ranks. If none responds it decides by the entry's own share.
func (l *Limiter) admitRemotely(ctx context.Context, r Request) Decision {
	ranked := l.members.Load().Ranked(r.Key, maxRanked)
	for i, to := range ranked {
		fallback, attempts := i > 0, 1
		if !fallback {
			attempts = coordinatorAttempts
		}
		for range attempts {
			if resp, ok := l.requestLease(ctx, to, r, fallback); ok {
				return l.waitOrDecide(ctx, r, resp, to, sourceOf(fallback))
			}
		}
	}
	now := l.options.Now()
	share := localShare / float64(max(len(l.members.Load().Live), 1))
	return l.decide(r, l.local.Handle(r.Key, l.self(), l.newRequest(r, now), r.Limit.Scaled(share), now, now), OwnShare)
}

func sourceOf(fallback bool) Source {
	if fallback {
		return Fallback
	}
	return Coordinated
}

func (l *Limiter) self() Holder {
	return Holder{Address: l.options.Listen, Incarnation: l.options.Incarnation}
}

// waitOrDecide returns the decision for a response. If the retry delay is short it waits and
// retries once on the caller's behalf.
func (l *Limiter) waitOrDecide(ctx context.Context, r Request, resp LeaseResponse, from netip.AddrPort, source Source) Decision {
	if resp.Admitted || r.HasAlternative || resp.RetryDelay > maxLocalWait || !sleep.For(ctx, resp.RetryDelay) {
		return l.decide(r, resp, source)
	}
	r.IsRetry = true
	second, ok := l.requestLease(ctx, from, r, source == Fallback)
	if !ok {
		return l.decide(r, resp, source)
	}
	return l.decide(r, second, source)
}

// decide returns the decision for a response, and records a refusal.
func (l *Limiter) decide(r Request, resp LeaseResponse, source Source) Decision {
	if !resp.Admitted {
		l.mu.Lock()
		l.credit(r.Key).recordRefusal(r.Floor, resp.RetryDelay, r.refusalCacheTime(), l.options.Now())
		l.mu.Unlock()
	}
	return Decision{Admitted: resp.Admitted, Source: source, Level: resp.Level, RetryAfter: resp.RetryDelay}
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
	case Leased:
		c.undoSpend(r.Cost, d.expiresAt)
	case Coordinated:
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
