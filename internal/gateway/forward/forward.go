// Package forward serves callers' requests at an entry: it checks each request, chooses a
// target, sends the request and relays the response.
//
// A request that may run only once is retried only if its first send certainly did not run,
// and only then is the caller told that it did not run. Successful responses are relayed
// only if they are whole and carry the target's seal. A broken stream is resumed at another
// target after the last event that the caller received, on routes that allow it.
package forward

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/buffers"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/health"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/gateway/probe"
	"github.com/toucanwell/toucanwell/internal/gateway/pushback"
	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
	"github.com/toucanwell/toucanwell/internal/gateway/queue"
	"github.com/toucanwell/toucanwell/internal/gateway/ratelimit"
	"github.com/toucanwell/toucanwell/internal/gateway/reach"
	"github.com/toucanwell/toucanwell/internal/gateway/readtime"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
	"github.com/toucanwell/toucanwell/internal/retry"
)

// Bounds are the deployment's limits on retries and on stale weights.
type Bounds struct {
	// RetryRatio is the number of retries per request of a service that the whole fleet may
	// make; RetrySlack is the number of further retries in a window.
	RetryRatio float64
	RetrySlack float64
	// MaxStaleness is how long weights may be outdated before requests are no longer
	// started on them.
	MaxStaleness time.Duration
	// LongestStream is the longest time from the first event of a stream to its last resumption.
	LongestStream time.Duration
}

// Deps are the dependencies of a Forwarder.
type Deps struct {
	Protocol wire.Protocol
	View     func() (*view.View, bool)
	Pool     *upstream.Pool
	// Buffers is the memory for large responses, Bodies that for large bodies of requests; nil for no
	// bound.
	Buffers, Bodies *buffers.Budget
	// Connections is the memory for callers' connections, which small bodies share; nil for no bound.
	Connections *buffers.Budget
	Ledger      *ledger.Ledger
	Parts       *parts.Index
	Health      *health.Monitor
	Reach       *reach.Monitor
	// Pushback keeps what targets state about the load that they take, TargetLimits shares their
	// rate limits among the entries.
	Pushback     *pushback.Registry
	TargetLimits TargetLimits
	// Origins keeps which software version began each stream.
	Origins Origins
	// RefreshTargets reads the target list from the store, and reports whether the view is current as of a time
	// after the call. It returns when the context ends.
	RefreshTargets func(ctx context.Context) bool
	// StartTime returns when the process at an engine's address started, in Unix milliseconds, by the
	// engine's own report; zero if it does not say. Nil disables the check.
	StartTime func(ctx context.Context, address netip.AddrPort) (int64, error)
	// Quarantine tracks requests that were running when targets crashed; CrashDetector
	// distinguishes crashes from other disconnects.
	Quarantine    *quarantine.Registry
	CrashDetector *quarantine.CrashDetector
	// Sidecars are probed in large fleets; nil disables probes.
	Sidecars Sidecars
	// Limits enforces the rate limits of workspaces; nil disables them.
	Limits Limits
	// SpeedsEnabled reports whether placement uses the measured speeds of engines; nil disables it.
	SpeedsEnabled func() bool
	Bounds        Bounds
	Zone          string
	Logger        logr.Logger
	// RoutineLogger logs successful operations. Its lines are dropped first under load.
	RoutineLogger logr.Logger
	// AuditLogger logs what became of the sends of requests that may run once. Its lines are not dropped
	// under load, and are written before it returns.
	AuditLogger logr.Logger
	Metrics     Metrics
	// AnnounceWork broadcasts the work at a target to the other entries without waiting for
	// the next heartbeat.
	AnnounceWork func(target fleet.ID)
	// Outdated reports whether this entry refuses requests because it lacks the newest configuration.
	Outdated func() bool
	Now      func() time.Time
	// Queue, unless nil, enables the queue for requests that find no target, and the bound on the
	// memory of engines at placement in fleets that don't probe sidecars.
	Queue *queue.Policy
	// QueueObserver is told about the decisions of the queue; may be nil.
	QueueObserver queue.Observer
	// Seed seeds the random choices; each entry uses another one.
	Seed uint64
}

// Sidecars probes engines through their sidecars, and reports the prompts sent there to
// them.
type Sidecars interface {
	// Probe returns the responses in the order of engines, and which of the engines responded.
	Probe(ctx context.Context, engines []netip.AddrPort, p probe.Prompt) ([]probe.Response, []bool)
	// NotifySend reports a send and returns the ID under which its progress is to be reported.
	NotifySend(engine netip.AddrPort, s probe.Send) uint32
	NotifyProgress(engine netip.AddrPort, number uint32, p probe.Progress)
}

// Limits admits requests of workspaces that have a rate limit.
type Limits interface {
	Admit(ctx context.Context, r ratelimit.Request) ratelimit.Decision
	// Refund returns the cost of a request that did not run. Charge deducts the cost
	// again for a request that is sent again after it may have run.
	Refund(r ratelimit.Request, d ratelimit.Decision)
	Charge(r ratelimit.Request)
}

// Metrics records the outcomes of requests.
type Metrics interface {
	Request(service, class string)
	Refusal(service, class, kind string)
	FirstToken(service, class string, d time.Duration)
	// Waited records the time between a request's arrival and its first send.
	PlacementWait(service, class string, d time.Duration)
	// Burn records whether a request met its objective.
	Burn(service, class, workspace string, good bool)
	// Tokens records the token counts of a prompt at its first send: its length, the tokens
	// expected to be cached at or fetched by the engine, and those that the engine
	// recomputes although another engine has them cached.
	Tokens(service, class string, prompt, cached, wasted int)
	Retry(cause string)
	Resume()
	// StreamStart records that a caller resumes a stream, and where its version was found.
	StreamStart(source string)
	// Takeover records whether the entry that served a resumed stream before has ended it.
	Takeover(result string)
	// RateLimit records whether a request was admitted, and the source of the decision.
	RateLimitDecision(source string, admitted bool)
	// RateLimitWait records how long a request waited for tokens of its workspace's rate limit.
	RateLimitWait(d time.Duration)
	// TargetLimitDecision records whether the rate limit of a target had room for a request, and
	// the source of the decision.
	TargetLimitDecision(source string, admitted bool)
	// Detour records that a request was sent although a target that asked for fewer requests was
	// passed over for it.
	Detour(reason string)
	// SkippedResponse records that a target's connection delivered a response that does not belong to
	// the request on it.
	SkippedResponse(service string)
}

// Forwarder is the HTTP handler that serves callers. Create it with New.
type Forwarder struct {
	Deps
	inFlight       atomic.Int64
	random         atomic.Uint64
	retryBudgets   sync.Map // by service name; values are *retry.Budget
	prefillTime    *readtime.Predictor
	paces          *readtime.Slowdowns
	engineSpeeds   engineSpeeds
	turnover       parts.RetentionEstimator
	callerTimeouts timeoutTracker
	returns        returnSchedule
	queueEnabled   atomic.Bool
	waitingRoom    *waitingRoom
	runTimes       runTimes
	startedAt      time.Time
	shutdown       shutdown
}

// New returns a Forwarder.
func New(d Deps) *Forwarder {
	f := &Forwarder{Deps: d, prefillTime: readtime.NewPredictor(), paces: readtime.NewSlowdowns(), engineSpeeds: newEngineSpeeds(), startedAt: time.Now()}
	f.random.Store(d.Seed)
	f.shutdown.init()
	f.queueEnabled.Store(d.Queue != nil)
	f.waitingRoom = newWaitingRoom(d.Queue, d.QueueObserver)
	d.CrashDetector.OnRecheck(f.Now, f.RecheckCrashes)
	return f
}

// InFlight returns the number of requests being served.
func (f *Forwarder) InFlight() int { return int(f.inFlight.Load()) }

// uniform returns a pseudorandom number in [0, 1).
func (f *Forwarder) uniform() float64 {
	x := f.random.Add(0x9E3779B97F4A7C15)
	x ^= x >> 30
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 27
	x *= 0x94D049BB133111EB
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}

// slackShare is the share of the fleet's retry slack that is divided among the known
// entries. The rest covers entries that restart or don't know of each other.
const slackShare = 0.6

// retryBudget returns the retry budget of a service.
func (f *Forwarder) retryBudget(service string, entries int) *retry.Budget {
	slack := f.Bounds.RetrySlack * slackShare / float64(max(entries, 1))
	b, ok := f.retryBudgets.Load(service)
	if !ok {
		b, _ = f.retryBudgets.LoadOrStore(service, retry.NewBudgetWithLimit(slack))
	}
	b.(*retry.Budget).SetLimit(slack)
	return b.(*retry.Budget)
}

// flow is the state of one request while it is served.
type flow struct {
	*Forwarder
	w         http.ResponseWriter
	r         *http.Request
	view      *view.View
	route     *estate.Route
	service   *estate.Service
	workspace *estate.Workspace
	// cacheDomain is the domain within which the request shares cached parts, by the configuration of its
	// admission: later ones may isolate its workspace.
	cacheDomain string
	request     wire.Request
	body        []byte
	// bodyMemory is what the body has taken of the memory for large ones.
	bodyMemory *buffers.Share
	// unread is set if the rest of the body may still come.
	unread bool
	// fingerprint identifies the request across the caller's retries.
	fingerprint quarantine.Fingerprint
	// parts are the shared parts of its prompt.
	parts []quarantine.Part
	// quarantineStatus is the most restrictive status of the request and its parts in the quarantine
	// when it was last checked. suspect has that status, and suspectPart if it is a part.
	quarantineStatus quarantine.Status
	suspect          quarantine.Fingerprint
	suspectPart      quarantine.Part
	arrived          time.Time
	// bodyTime is how long the body took to arrive.
	bodyTime time.Duration
	deadline time.Time
	// deadlineSource is what sets the deadline.
	deadlineSource deadlineSource
	retries        *retry.Budget
	// isRetry is set if the caller has probably been refused before.
	isRetry bool
	// sends counts the sends, delivered those that may have reached a target, and runs
	// those that may have run.
	sends, delivered, runs int
	// totalWork is the work of all targets at the last placement.
	totalWork map[fleet.ID]ledger.Work
	// excluded targets are not tried again.
	excluded map[fleet.Incarnation]bool
	// sentTo counts the sends to each address.
	sentTo map[netip.AddrPort]int
	// restrictions are what targets have stated about the load that they take, as of the last
	// placement.
	restrictions restrictions
	// origin is the software version that began the stream.
	origin streamOrigin
	// lastEvent is the ID of the last event relayed. responseStarted is set once the caller
	// has received a byte of the response.
	lastEvent       string
	responseStarted bool
	timeToFirstByte time.Duration
	// eventCount counts the events relayed, lastEventAt is the time of the last one, and
	// longestGap the longest time between two.
	eventCount  int
	lastEventAt time.Time
	longestGap  time.Duration
	// stalledAt is the end of the last write to the caller that blocked for stalledAfter.
	stalledAt time.Time
	// sentAt is the time of the last send.
	sentAt   time.Time
	lastSend sendRecord
	// outcome is the health outcome of the last send.
	outcome health.Outcome
	// retryCause is the reason for the next send; empty for the first.
	retryCause string
	// waiter is the request in the queue while it is placed.
	waiter *waiter
	// limitRequest is what the request asks of its workspace's rate limit, admission the
	// decision on it.
	limitRequest ratelimit.Request
	admission    ratelimit.Decision
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	fl := &flow{Forwarder: f, w: w, r: r, arrived: time.Now(), bodyMemory: f.Bodies.NewBodyShare(f.Connections)}
	defer fl.bodyMemory.Release()
	fl.setDeadline()
	fl.limitWrites()
	defer fl.refund()
	ctx, release := f.shutdown.withExit(r.Context())
	defer release()
	if refusal := fl.admit(ctx); refusal != nil {
		if fl.unread {
			fl.refuseUnread(refusal)
		} else {
			fl.refuse(refusal)
		}
		return
	}
	fl.limitWrites()
	f.Metrics.Request(fl.service.Name, fl.class())
	fl.retries.Earn(f.Bounds.RetryRatio)
	ctx, cancel := context.WithDeadlineCause(ctx, fl.deadline, errDeadline)
	defer cancel()
	ctx, fl.origin.end = context.WithCancelCause(ctx)
	defer fl.leaveStream()
	refusal := fl.run(ctx)
	switch {
	case refusal == nil:
		fl.recordSuccess()
	case fl.responseStarted:
		fl.abort(refusal)
	default:
		fl.refuse(refusal)
	}
}

// errDeadline is the cause of contexts that end at the request's deadline.
var errDeadline = errors.New("deadline exceeded")

func (fl *flow) class() string {
	if fl.route == nil {
		return "unknown"
	}
	return fl.route.Kind.String()
}

func (fl *flow) serviceName() string {
	if fl.service == nil {
		return "unknown"
	}
	return fl.service.Name
}

// admit validates a request, resolves its route, workspace, service and deadline, and
// checks its limits.
func (fl *flow) admit(ctx context.Context) *errkind.Error {
	var err error
	if fl.request, err = fl.Protocol.ReadRequest(fl.r.Header); err != nil {
		return errkind.New(errkind.BadRequest, "%v", err)
	}
	var refusal *errkind.Error
	if fl.view, refusal = fl.configuredView(ctx); refusal != nil {
		return refusal
	}
	if fl.Outdated() {
		return errkind.NewRetryAfter(errkind.Outdated, otherEntryRetryAfter, "")
	}
	path, _, _ := strings.Cut(fl.r.RequestURI, "?")
	if refusal := fl.resolveRoute(fl.r.Host, path); refusal != nil {
		return refusal
	}
	fl.workspace = fl.view.Estate.WorkspaceByKey(fl.request.Key)
	if fl.workspace == nil && fl.view.Estate.NeedsKey(fl.route) {
		return errkind.New(errkind.UnknownKey, "")
	}
	fl.cacheDomain = fl.view.Estate.CacheDomain(fl.workspace)
	if refusal := fl.checkExit(); refusal != nil {
		return refusal
	}
	if refusal := fl.checkRateLimit(ctx); refusal != nil {
		return refusal
	}
	if refusal := fl.readBody(ctx); refusal != nil {
		return refusal
	}
	fl.fingerprint = quarantine.FingerprintOf(fl.workspaceName(), fl.r.RequestURI, fl.body)
	fl.parts = quarantine.PartsOf(fl.sharedPartIDs())
	return fl.checkQuarantine()
}

// resolveRoute sets the request's route, service, retry budget and deadline.
func (fl *flow) resolveRoute(host, path string) *errkind.Error {
	e := fl.view.Estate
	if fl.route = e.Match(host, path); fl.route == nil {
		return errkind.New(errkind.UnknownRoute, "host %q, path %q", host, path)
	}
	fl.service = e.Service(fl.route.PickBackend(float64(xxhash.Sum64String(fl.streamID())>>11) / (1 << 53)))
	fl.retries = fl.retryBudget(fl.service.Name, fl.view.EntryCount)
	fl.isRetry = fl.callerTimeouts.isRetry(fl.route.Name, fl.request.TimeLeft)
	fl.setDeadline()
	return nil
}

// deadlineSource is what sets the deadline of a request.
type deadlineSource string

const (
	deadlineByDefault deadlineSource = "default"
	deadlineByCaller  deadlineSource = "caller"
	deadlineByRoute   deadlineSource = "route"
)

// setDeadline sets the deadline to the earlier one of the caller's and the route's, which may not be known.
func (fl *flow) setDeadline() {
	timeout := defaultTimeout
	fl.deadlineSource = deadlineByDefault
	if fl.request.TimeLeft > 0 {
		timeout, fl.deadlineSource = fl.request.TimeLeft, deadlineByCaller
	}
	if fl.route != nil && fl.route.Timeout > 0 && fl.route.Timeout < timeout {
		timeout, fl.deadlineSource = fl.route.Timeout, deadlineByRoute
	}
	fl.deadline = fl.arrived.Add(timeout)
}

const (
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = 2 * time.Minute
	// noEstateRetryAfter is the retry delay for callers of a process that has no
	// configuration yet; it arrives within some hundred milliseconds after the store or a
	// peer responds.
	noEstateRetryAfter = 500 * time.Millisecond
)

// timeLeft is the time until the deadline.
func (fl *flow) timeLeft() time.Duration { return time.Until(fl.deadline) }

const (
	// busyRetryAfter is the retry delay for callers that are refused although targets may
	// accept the request soon.
	busyRetryAfter = 300 * time.Millisecond
	// otherEntryRetryAfter is the retry delay for callers that are refused because this
	// entry is stopping, partitioned or outdated: another entry can accept the request at once.
	otherEntryRetryAfter = 50 * time.Millisecond
)

// jitter extends a retry delay by up to half, so that callers that were refused at the same
// time don't retry at the same time.
func (fl *flow) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + fl.uniform()/2))
}
