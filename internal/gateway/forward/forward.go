// Package forward is the way of a request through an entry: it is checked,
// placed at a target, sent, and its answer passed on.
//
// # What it guards against
//
// A request that may run once only is sent on only when its first send
// certainly did not run. What a caller is told of a request that did not run is
// true: only refusals that are made before a send, or that a target states,
// become answers that say so. An answer reaches the caller whole and sealed by
// its target, or not as a success. A stream that breaks off is continued at
// another target only after the last event that the caller has, and only where
// the route allows it.
package forward

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/health"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/gateway/probe"
	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
	"github.com/toucanwell/toucanwell/internal/gateway/ratelimit"
	"github.com/toucanwell/toucanwell/internal/gateway/reach"
	"github.com/toucanwell/toucanwell/internal/gateway/readtime"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
	"github.com/toucanwell/toucanwell/internal/retry"
)

// Bounds are the deployment's figures that the request path goes by.
type Bounds struct {
	// RetryRatio is how many sends beyond the first the whole fleet may make for
	// each request of a service, RetrySlack how many beyond that in a window.
	RetryRatio float64
	RetrySlack float64
	// Version is the age of wanted weights from which no request begins on
	// older ones.
	MaxStaleness time.Duration
}

// Deps are what a forwarder needs.
type Deps struct {
	Protocol wire.Protocol
	View     func() (*view.View, bool)
	Pool     *upstream.Pool
	Ledger   *ledger.Ledger
	Parts    *parts.Index
	Health   *health.Monitor
	Reach    *reach.Monitor
	// Quarantine holds what is known of requests that were under way when targets ended,
	// Endings tells such ends from others.
	Quarantine    *quarantine.Registry
	CrashDetector *quarantine.CrashDetector
	// Sidecars answer for engines in large fleets; nil where probes are off.
	Sidecars Sidecars
	// Limits keep workspaces within their rate limits; nil where there are none.
	Limits Limits
	Bounds Bounds
	Zone   string
	Logger logr.Logger
	// Ordinary writes lines of what goes well. Under load they are dropped before
	// the others.
	RoutineLogger logr.Logger
	Metrics       Metrics
	// TellWork tells the other entries at once of the work at a target.
	AnnounceWork func(target fleet.ID)
	Now          func() time.Time
	// Seed makes this entry's random choices its own.
	Seed uint64
}

// Sidecars are asked what a prompt would meet at their engines, and told of the prompts
// that were sent there.
type Sidecars interface {
	// Ask returns the answers in the order of the engines, with which of them came.
	Ask(ctx context.Context, engines []netip.AddrPort, p probe.Prompt) ([]probe.Response, []bool)
	// Sent returns the number under which the prompt's progress is told.
	Sent(engine netip.AddrPort, s probe.Send) uint32
	Progressed(engine netip.AddrPort, number uint32, p probe.Progress)
}

// Limits admit requests of workspaces that have a rate limit.
type Limits interface {
	Admit(ctx context.Context, r ratelimit.Request) ratelimit.Decision
	// GiveBack returns the cost of a request that did not run, Charge takes it out once more
	// for one that is sent again after it may have run.
	GiveBack(r ratelimit.Request, d ratelimit.Decision)
	Charge(r ratelimit.Request)
}

// Metrics are told what becomes of requests.
type Metrics interface {
	Request(service, class string)
	Refusal(service, class, kind string)
	FirstToken(service, class string, d time.Duration)
	// Waited is told how long a request was kept before a send.
	Waited(service, class string, d time.Duration)
	// Burn is told whether a request was answered within its objective.
	Burn(service, class, workspace string, good bool)
	// Tokens is told of a prompt's tokens at its first send: in all, those that the
	// engine was believed to hold or fetch, and those that it was to read although
	// another engine held them.
	Tokens(service, class string, prompt, cached, wasted int)
	Retry(cause string)
	Resume()
	// RateLimit is told whether a request was within its workspace's limit, and who said so.
	RateLimit(source string, admitted bool)
}

// Forwarder serves callers. Make it with New.
type Forwarder struct {
	Deps
	inFlight atomic.Int64
	random   atomic.Uint64
	budgets  sync.Map // service to *retry.Budget
	readTime *readtime.Predictor
	paces    *readtime.Slowdowns
	turnover parts.RetentionEstimator
	usual    usualTimes
}

// New returns a forwarder.
func New(d Deps) *Forwarder {
	f := &Forwarder{Deps: d, readTime: readtime.NewPredictor(), paces: readtime.NewSlowdowns()}
	f.random.Store(d.Seed)
	return f
}

// InFlight is the number of requests being served.
func (f *Forwarder) InFlight() int { return int(f.inFlight.Load()) }

// uniform returns a number in [0, 1).
func (f *Forwarder) uniform() float64 {
	x := f.random.Add(0x9E3779B97F4A7C15)
	x ^= x >> 30
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 27
	x *= 0x94D049BB133111EB
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}

// slackShare is the part of the fleet's retry slack that all entries together
// use. The rest covers entries that start anew or do not know of each other.
const slackShare = 0.6

// budget returns the retry budget of a service.
func (f *Forwarder) budget(service string, entries int) *retry.Budget {
	most := f.Bounds.RetrySlack * slackShare / float64(max(entries, 1))
	b, ok := f.budgets.Load(service)
	if !ok {
		b, _ = f.budgets.LoadOrStore(service, retry.NewBudgetWithLimit(most))
	}
	b.(*retry.Budget).SetLimit(most)
	return b.(*retry.Budget)
}

// flow is one request on its way.
type flow struct {
	*Forwarder
	w         http.ResponseWriter
	r         *http.Request
	view      *view.View
	route     *estate.Route
	service   *estate.Service
	workspace *estate.Workspace
	request   wire.Request
	body      []byte
	// print names the request across its caller's tries.
	print quarantine.Fingerprint
	// standing is what was held against it at the last look.
	standing quarantine.Status
	arrived  time.Time
	deadline time.Time
	retries  *retry.Budget
	// returns is set when the caller has probably been refused before.
	returns bool
	// sends counts sends, arrivals those of them that may have reached a target,
	// and runs those that may have run.
	sends, arrivals, runs int
	// totals is the work at all targets, as the last choice saw it.
	totals map[fleet.ID]ledger.Work
	// excluded targets are not tried again.
	excluded map[fleet.Incarnation]bool
	// lastEvent is the event that the caller has; begun is set once it has any
	// byte of the answer.
	lastEvent string
	begun     bool
	firstAt   time.Duration
	// events counts the events passed on, lastAt is when the last one was, and
	// longestGap the longest pause between two.
	events     int
	lastAt     time.Time
	longestGap time.Duration
	// sentAt is when the last send was made.
	sentAt time.Time
	last   sendRecord
	// outcome is what the last send said of its target.
	outcome health.Outcome
	// cause is why the next send is made; empty for the first.
	cause string
	// use is what the request takes of its workspace's rate limit, and admission what was
	// decided on it.
	use       ratelimit.Request
	admission ratelimit.Decision
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	fl := &flow{Forwarder: f, w: w, r: r, arrived: time.Now()}
	defer fl.giveBack()
	if refusal := fl.admit(); refusal != nil {
		fl.refuse(refusal)
		return
	}
	f.Metrics.Request(fl.service.Name, fl.class())
	fl.retries.Earn(f.Bounds.RetryRatio)
	ctx, cancel := context.WithDeadlineCause(r.Context(), fl.deadline, errDeadline)
	defer cancel()
	refusal := fl.run(ctx)
	switch {
	case refusal == nil:
		fl.done()
	case fl.begun:
		fl.breakOff(refusal)
	default:
		fl.refuse(refusal)
	}
}

// errDeadline is the cause of contexts whose request ran out of time.
var errDeadline = errors.New("deadline passed")

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

// admit checks a request and finds its route, workspace, service and deadline.
func (fl *flow) admit() *errkind.Error {
	var ok bool
	fl.view, ok = fl.View()
	if !ok || fl.view.Estate == nil {
		return errkind.After(errkind.ConfigurationMissing, noEstateRetry, "")
	}
	var err error
	if fl.request, err = fl.Protocol.ReadRequest(fl.r.Header); err != nil {
		return errkind.New(errkind.BadRequest, "%v", err)
	}
	path, _, _ := strings.Cut(fl.r.RequestURI, "?")
	if refusal := fl.assign(fl.r.Host, path); refusal != nil {
		return refusal
	}
	fl.workspace = fl.view.Estate.WorkspaceByKey(fl.request.Key)
	if fl.workspace == nil && fl.view.Estate.NeedsKey(fl.route) {
		return errkind.New(errkind.UnknownKey, "")
	}
	if refusal := fl.mayOutlast(); refusal != nil {
		return refusal
	}
	if refusal := fl.withinLimit(); refusal != nil {
		return refusal
	}
	if refusal := fl.readBody(fl.view.Estate.Limits.BodyBytes); refusal != nil {
		return refusal
	}
	fl.print = quarantine.FingerprintOf(fl.workspaceName(), fl.r.RequestURI, fl.body)
	return fl.mayRun()
}

// assign finds the request's route, service, retry budget and deadline.
func (fl *flow) assign(host, path string) *errkind.Error {
	e := fl.view.Estate
	if fl.route = e.Match(host, path); fl.route == nil {
		return errkind.New(errkind.UnknownRoute, "host %q, path %q", host, path)
	}
	fl.service = e.Service(fl.route.PickBackend(float64(xxhash.Sum64String(fl.request.ID)>>11) / (1 << 53)))
	fl.retries = fl.budget(fl.service.Name, fl.view.EntryCount)
	fl.deadline = fl.arrived.Add(noDeadline)
	fl.returns = fl.usual.returns(fl.route.Name, fl.request.TimeLeft)
	if fl.request.TimeLeft > 0 {
		fl.deadline = fl.arrived.Add(fl.request.TimeLeft)
	}
	if timeout := fl.arrived.Add(fl.route.Timeout); fl.route.Timeout > 0 && timeout.Before(fl.deadline) {
		fl.deadline = timeout
	}
	return nil
}

const (
	// readingTime and tokenTime are how long an engine under load takes to read a
	// prompt and to make one token of the answer, well above the mean: a step takes
	// 4 ms and more, and a prompt that is read delays the others.
	readingTime = time.Second
	tokenTime   = 25 * time.Millisecond
)

// mayOutlast refuses a request that may go on for longer than this process. The
// failure guarded against is an answer that is cut off when a stopping process
// ends: another entry can give it whole.
func (fl *flow) mayOutlast() *errkind.Error {
	v := fl.view
	longest := min(fl.timeLeft(), readingTime+time.Duration(fl.request.MaxTokens)*tokenTime)
	if !v.Stopping || fl.arrived.Before(v.SelectiveFrom) || time.Now().Add(longest).Before(v.ShutdownAt) {
		return nil
	}
	return errkind.After(errkind.Stopping, fl.comeBack(elsewherePause), "the entry ends in %s", time.Until(v.ShutdownAt).Round(time.Millisecond))
}

const (
	// noDeadline bounds requests of callers and routes that name no time.
	noDeadline = 2 * time.Minute
	// noEstateRetry is when callers of a process without an estate come back:
	// one is had within some hundred milliseconds of the store's or a peer's
	// first answer.
	noEstateRetry = 500 * time.Millisecond
	// defaultBody bounds a body where operators state no bound.
	defaultBody = 4 << 20
)

// readBody reads the whole body. It is kept, so that the request can be sent
// again, and so that a body that was cut short is sent to nobody.
func (fl *flow) readBody(limit int64) *errkind.Error {
	if limit <= 0 {
		limit = defaultBody
	}
	if fl.r.ContentLength == 0 {
		return nil
	}
	if fl.r.ContentLength > limit {
		// A caller that is still sending would meet a reset in place of the answer.
		_, _ = io.CopyN(io.Discard, fl.r.Body, limit)
		return errkind.New(errkind.BodyTooLarge, "%d bytes found; allowed are %d", fl.r.ContentLength, limit)
	}
	if n := fl.r.ContentLength; n > 0 {
		fl.body = make([]byte, n)
		if _, err := io.ReadFull(fl.r.Body, fl.body); err != nil {
			return errkind.New(errkind.BadRequest, "read body: %v", err)
		}
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(fl.r.Body, limit+1))
	if err != nil {
		return errkind.New(errkind.BadRequest, "read body: %v", err)
	}
	if int64(len(body)) > limit {
		return errkind.New(errkind.BodyTooLarge, "over %d bytes found", limit)
	}
	fl.body = body
	return nil
}

// timeLeft is the time until the deadline.
func (fl *flow) timeLeft() time.Duration { return time.Until(fl.deadline) }

// run sends the request until it is answered, or until no further send is
// possible. A nil result means that the caller has the answer.
func (fl *flow) run(ctx context.Context) *errkind.Error {
	fl.excluded = map[fleet.Incarnation]bool{}
	fl.lastEvent = fl.request.LastEventID
	var last *errkind.Error
	for {
		if refusal := fl.mayStart(ctx, last); refusal != nil {
			return refusal
		}
		to, refusal := fl.place(ctx)
		if refusal != nil {
			return fl.worse(last, refusal)
		}
		if fl.arrivals > 0 && !fl.retries.Spend() {
			fl.endTrial(to)
			return fl.worse(last, errkind.After(errkind.Overloaded, fl.comeBack(retryPause), "the retry budget is spent"))
		}
		fl.chargeAgain()
		v := fl.send(ctx, to)
		if v.end {
			return v.refusal
		}
		last = v.refusal
		if !fl.goesOn(v) {
			return last
		}
		fl.Metrics.Retry(last.Kind.String())
		fl.cause = last.Kind.String()
	}
}

const (
	// maxSends bounds the sends of one request, refused ones included.
	maxSends = 4
	// retryPause is when a caller comes back who was refused although targets
	// may take it soon.
	retryPause = 300 * time.Millisecond
	// elsewherePause is when a caller comes back who was refused because this entry
	// is cut off or stops: another entry can take the request at once.
	elsewherePause = 50 * time.Millisecond
	// minTimeLeft is the time under which a further send is pointless.
	minTimeLeft = 15 * time.Millisecond
)

// mayStart reports why no further send is made.
func (fl *flow) mayStart(ctx context.Context, last *errkind.Error) *errkind.Error {
	if ctx.Err() != nil {
		return fl.ended(ctx)
	}
	if fl.sends >= maxSends {
		return last
	}
	if fl.sends > 0 && fl.timeLeft() < minTimeLeft {
		return last
	}
	return nil
}

// ended says why a request's context ended.
func (fl *flow) ended(ctx context.Context) *errkind.Error {
	if fl.r.Context().Err() != nil {
		return errkind.New(errkind.Cancelled, "the caller has gone")
	}
	if fl.runs == 0 {
		return errkind.After(errkind.DeadlineUnmeetable, retryPause, "%v", context.Cause(ctx))
	}
	return errkind.New(errkind.TimedOut, "%v", context.Cause(ctx))
}

// worse returns what the caller is told when a further send is not possible. A
// request that may have run is not called "not run" by the later refusal.
func (fl *flow) worse(last, refusal *errkind.Error) *errkind.Error {
	if last != nil && fl.runs > 0 {
		return last
	}
	return refusal
}

// goesOn reports whether a request that failed at one target is sent to
// another.
func (fl *flow) goesOn(v verdict) bool {
	if fl.begun && !(fl.route.Resumable && fl.lastEvent != "") {
		return false // a new run would begin the stream again
	}
	return v.notRun || fl.route.Retryable() && fl.runs < fl.route.MaxAttempts
}

// comeBack spreads a time to come back by half, so that callers who were
// refused together do not return together.
func (fl *flow) comeBack(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + fl.uniform()/2))
}
