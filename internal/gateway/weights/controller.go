package weights

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/asof"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

// Report is the state that an engine reports of itself.
type Report struct {
	// StartedMs is when the engine started, in Unix milliseconds by its own clock; zero if
	// the engine does not report it.
	StartedMs int64
	// Weights maps each of the engine's models to its version.
	Weights map[string]int64
	// Busy is set while the engine executes a load request.
	Busy bool
	// Leaving is set once the engine stops soon and wants no new requests.
	Leaving bool
	// AcceptedLoads counts the load requests that this incarnation of the engine has accepted.
	AcceptedLoads int64
	// Queued and Running count requests.
	Queued, Running int
	// MemoryUsed is the memory that cannot be freed, in tokens.
	MemoryUsed, MemoryTotal int
	// AsOf is the time as of which the report holds.
	AsOf time.Time
}

// Swap selects what happens to running requests when weights are loaded.
type Swap uint8

// The swap modes.
const (
	// SwapAfterRuns loads the weights once all running requests have finished.
	SwapAfterRuns Swap = iota
	// SwapTruncateRuns ends running requests early.
	SwapTruncateRuns
	// SwapContinueRuns continues running requests with the new weights.
	SwapContinueRuns
)

// LoadRequest asks an engine to load weights.
type LoadRequest struct {
	Model   string
	Version int64
	Swap    Swap
	// Holder is the process that sends the request. Token is its fencing token, which
	// increases with each holder.
	Holder string
	Token  uint64
	// Incarnation is the incarnation of the engine that the request is meant for.
	Incarnation fleet.Incarnation
	// ExpectedLoads is how many load requests the engine must have accepted before this
	// one. The engine rejects a delayed request that arrives after a newer one.
	ExpectedLoads int64
}

// Outcome is the result of a load request.
type Outcome uint8

// The outcomes.
const (
	// Unknown means that the engine may have accepted the request, or may still do so.
	Unknown Outcome = iota
	// Accepted means that the engine is loading the weights.
	Accepted
	// AlreadyLoaded means that the engine has the weights already.
	AlreadyLoaded
	// Busy means that the engine executes another load request, or has accepted another
	// one since.
	Busy
	// StaleToken means that the engine has seen a higher fencing token.
	StaleToken
	// OtherInstance means that another incarnation of the engine, or another target, has
	// the address.
	OtherInstance
	// Refused means that the engine rejected the request for any other reason.
	Refused
)

var outcomeNames = map[Outcome]string{
	Unknown: "unknown", Accepted: "accepted", AlreadyLoaded: "holds", Busy: "busy",
	StaleToken: "stale_token", OtherInstance: "other_instance", Refused: "refused",
}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// TurnedAwayError is returned by an engine that turns a call away and wants no others for a time.
type TurnedAwayError struct{ RetryAfter time.Duration }

// Error implements error.
func (e *TurnedAwayError) Error() string {
	return "the engine wants no calls for " + e.RetryAfter.String()
}

// Engine is the control interface of one engine.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Identify returns the instance name that the engine's health endpoint reports. It may fail with
	// a TurnedAwayError.
	Identify(ctx context.Context, healthPath string) (string, error)
	// Load sends a load request. With an error and Unknown, the engine may or may not
	// have accepted it.
	Load(ctx context.Context, req LoadRequest) (Outcome, error)
}

// Environment holds a controller's inputs and callbacks. All functions are called on the
// control thread.
type Environment struct {
	// Wanted returns the versions that operators have published, by model.
	Wanted func() map[string]History
	// HealthPath returns the path of the engine's health endpoint; empty while unknown.
	HealthPath func() string
	// Engines returns the engines of the service for a model.
	Engines func(model string) []EngineView
	// PartialView reports whether the fleet is too large for every sidecar to receive
	// every engine's reports.
	PartialView func() bool
	// OnChange receives the engine's incarnation, newest report and phase.
	OnChange func(incarnation fleet.Incarnation, report Report, phase Phase)
	// Token returns the fencing token, once there is one. The first call begins to fetch it.
	Token func() (uint64, bool)
	// UpToDate reports whether the process has run without suspension for long enough to
	// have refreshed its state. A process that was suspended must not send load requests
	// before that.
	UpToDate func() bool
}

// Options configures a controller.
type Options struct {
	Holder string
	// MaxStaleness is the time within which engines must have a wanted version.
	MaxStaleness time.Duration
	Logger       logr.Logger
	Now          func() time.Time
	// OnOutcome is called with the outcome of each load request.
	OnOutcome func(Outcome)
}

const (
	// pollInterval is how often the engine is polled for a report, largePollInterval how often in
	// large fleets, where entries ask the sidecar for the report's age, and loadingPollInterval
	// how often while the engine loads, so that it gets requests again soon after the load.
	pollInterval        = 100 * time.Millisecond
	largePollInterval   = 150 * time.Millisecond
	loadingPollInterval = 20 * time.Millisecond
	reportTimeout       = time.Second
	loadRequestTimeout  = 800 * time.Millisecond
	// minDrainTime is the least time between announcing a load and requesting it. Requests
	// in flight arrive in that time.
	minDrainTime = 15 * time.Millisecond
	// maxDrainTime is how long the engine may drain before it loads. Requests that still
	// run then continue with the new weights.
	maxDrainTime = 350 * time.Millisecond
	// initialLoadTime is the expected duration of the engine's first load.
	initialLoadTime = 500 * time.Millisecond
	// retryDelay is the pause after a load request that was not accepted or whose outcome
	// is unknown. ExpectedLoads makes a late arrival of the first request harmless.
	retryDelay = 400 * time.Millisecond
)

// Controller polls one engine and sends it load requests.
type Controller struct {
	loop    *control.Loop
	engine  Engine
	env     Environment
	options Options
	report  Report
	// reachable is set when the last poll succeeded.
	reachable bool
	phase     Phase
	// instance is the engine's instance name; empty until it has been identified.
	instance    string
	identifying bool
	// lastSeen is the last identified incarnation, lastSeenAt the time of its last report.
	lastSeen   fleet.Incarnation
	lastSeenAt time.Time
	// connRefusedSince and connRefusedAt are the first and the last of consecutive polls
	// whose connection was refused.
	connRefusedSince, connRefusedAt time.Time
	// startedAfter is a lower bound of the current incarnation's start; see StartedAfter.
	startedAfter time.Time
	// lastRequest is the last load request, requestedAt when it was sent.
	lastRequest LoadRequest
	requestedAt time.Time
	// loadTime is the duration of the engine's last load.
	loadTime time.Duration
	// drainingSince is when the engine began to drain.
	drainingSince time.Time
	// requestPending is set until the outcome of lastRequest is known.
	requestPending bool
	// nextRequestAt is the earliest time of the next load request.
	nextRequestAt time.Time
}

// NewController returns a controller that has not started.
func NewController(loop *control.Loop, engine Engine, env Environment, options Options) *Controller {
	return &Controller{loop: loop, engine: engine, env: env, options: options, loadTime: initialLoadTime}
}

// Start begins to poll the engine and to send it load requests.
func (c *Controller) Start() { c.loop.Go(c.run) }

func (c *Controller) run(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		asked := c.options.Now()
		report, err := c.engine.Report(callCtx)
		cancel()
		interval := make(chan time.Duration, 1)
		c.loop.Post(func() { interval <- c.handleReport(report, asked, err) })
		select {
		case d := <-interval:
			sleep.For(ctx, d)
		case <-ctx.Done():
		}
	}
}

// handleReport processes the result of a poll that asked the engine at a time, and returns the time until
// the next one.
func (c *Controller) handleReport(report Report, asked time.Time, err error) time.Duration {
	c.trackConnRefused(err)
	if err != nil {
		if c.reachable {
			c.options.Logger.Info("engine_silent", "instance", c.instance, "error", err.Error())
		}
		c.reachable, c.instance = false, ""
		c.env.OnChange(fleet.Incarnation{}, c.report, Unresponsive)
		return pollInterval
	}
	if !c.reachable {
		c.options.Logger.Info("engine_heard", "weights", report.Weights, "busy", report.Busy, "orders", report.AcceptedLoads)
	}
	if c.isOutdated(&report) {
		c.options.Logger.Info("engine_report_outdated", "instance", c.instance, "orders", report.AcceptedLoads, "known_orders", c.report.AcceptedLoads)
		return loadingPollInterval
	}
	hadReport := c.report.Weights != nil
	if hadReport && (report.StartedMs != c.report.StartedMs || report.AcceptedLoads < c.report.AcceptedLoads) {
		c.resetAfterRestart(report)
	}
	c.reachable = true
	report.AsOf = asof.Answer(asked, c.options.Now()).Earliest(0)
	c.report = report
	c.identify()
	c.step()
	if c.phase != Serving || c.report.Busy {
		return loadingPollInterval
	}
	return c.restPollInterval()
}

// isOutdated reports whether a report is from before the known one, as an engine may send its responses twice. A process
// accepts ever more loads. Without its start time the count of its successor can't be told from an earlier one.
func (c *Controller) isOutdated(report *Report) bool {
	isSameProcess := c.report.Weights != nil && report.StartedMs != 0 && report.StartedMs == c.report.StartedMs
	return isSameProcess && report.AcceptedLoads < c.report.AcceptedLoads
}

// restPollInterval returns how often an engine that serves, or does not respond, is polled.
func (c *Controller) restPollInterval() time.Duration {
	if c.env.PartialView() && c.reachable {
		return largePollInterval
	}
	return pollInterval
}

// resetAfterRestart discards the state of the engine's previous incarnation, including its
// load request.
func (c *Controller) resetAfterRestart(report Report) {
	c.options.Logger.Info("engine_started_anew", "instance", c.instance, "was_born", c.report.StartedMs, "born", report.StartedMs,
		"orders", report.AcceptedLoads, "phase", c.phase.String())
	c.instance, c.phase, c.lastRequest = "", Serving, LoadRequest{}
}

// incarnation is the engine's current incarnation; its instance is empty until identified.
func (c *Controller) incarnation() fleet.Incarnation {
	return fleet.Incarnation{Instance: c.instance, StartedMs: c.report.StartedMs}
}

// identifyInterval is the least time between two calls of the engine's health endpoint,
// which are not free.
const identifyInterval = 300 * time.Millisecond

// identify asks the engine for its instance name while it is unknown. The platform's list
// shows a restarted engine a second or two late, and requests that name the previous
// instance are rejected until then.
func (c *Controller) identify() {
	path := c.env.HealthPath()
	if c.instance != "" || c.identifying || path == "" {
		return
	}
	c.identifying = true
	startedAt := c.report.StartedMs
	control.Do(c.loop, reportTimeout, func(ctx context.Context) (string, error) {
		return c.engine.Identify(ctx, path)
	}, func(instance string, err error) {
		if err == nil && c.reachable && startedAt == c.report.StartedMs {
			c.instance = instance
			c.options.Logger.Info("engine_identified", "instance", instance, "born", startedAt)
			c.step()
		}
		if err != nil {
			c.options.Logger.Info("engine_not_identified", "error", err.Error())
		}
		pause := identifyInterval
		var turnedAway *TurnedAwayError
		if errors.As(err, &turnedAway) {
			pause = max(pause, turnedAway.RetryAfter)
		}
		c.loop.Go(func(ctx context.Context) {
			sleep.For(ctx, pause)
			c.loop.Post(func() { c.identifying = false })
		})
	})
}

// Reidentify makes the controller ask for the engine's instance name again, after a sign
// that it has changed.
func (c *Controller) Reidentify() { c.instance = "" }

// Trigger makes the controller decide again, after a new wanted version or a change of
// another engine. It must be called on the control thread.
func (c *Controller) Trigger() {
	if c.reachable {
		c.step()
	}
}

// StartedAfter returns when another incarnation, or none, last had the engine's address: the
// current one started after that. It is zero if this process has seen no other incarnation.
func (c *Controller) StartedAfter() time.Time { return c.startedAfter }

// absentAfter is how long connections must be refused for the engine to count as not
// running. An engine with too many connections refuses some, too.
const absentAfter = 500 * time.Millisecond

// trackConnRefused records whether a poll's connection was refused.
func (c *Controller) trackConnRefused(err error) {
	switch {
	case !errors.Is(err, syscall.ECONNREFUSED):
		c.connRefusedSince = time.Time{}
	case c.connRefusedSince.IsZero():
		c.connRefusedSince = c.options.Now()
	case c.options.Now().Sub(c.connRefusedSince) >= absentAfter:
		c.connRefusedAt = c.options.Now()
	}
}

// trackIncarnation updates startedAfter when the engine's incarnation has changed.
func (c *Controller) trackIncarnation() {
	incarnation := c.incarnation()
	if incarnation.Instance == "" {
		return
	}
	if incarnation != c.lastSeen {
		c.startedAfter = c.lastSeenAt
		if c.connRefusedAt.After(c.lastSeenAt) {
			c.startedAfter = c.connRefusedAt
		}
	}
	c.lastSeen, c.lastSeenAt = incarnation, c.report.AsOf
}

func (c *Controller) step() {
	c.trackIncarnation()
	c.finishLoading()
	if (c.phase == Serving || c.phase == Draining) && !c.requestPending {
		c.drainOrLoad()
	}
	c.env.OnChange(c.incarnation(), c.report, c.announcedPhase())
}

// announcedPhase is the phase that entries see. An engine that is busy without a load
// request of this controller is loading as well, for example after a request that was
// assumed lost, and rejects requests until the load ends.
func (c *Controller) announcedPhase() Phase {
	if c.phase == Serving && c.report.Busy {
		return Loading
	}
	return c.phase
}

// finishLoading returns to Serving when the engine has executed its load request.
func (c *Controller) finishLoading() {
	if c.phase != Loading || c.requestPending || c.report.Busy {
		return
	}
	if c.report.Weights[c.lastRequest.Model] < c.lastRequest.Version && c.options.Now().Before(c.nextRequestAt) {
		return
	}
	c.phase = Serving
	if c.report.Weights[c.lastRequest.Model] >= c.lastRequest.Version {
		c.loadTime = c.options.Now().Sub(c.requestedAt)
	}
	c.options.Logger.Info("weights_loaded", "model", c.lastRequest.Model, "wanted", c.lastRequest.Version,
		"version", c.report.Weights[c.lastRequest.Model], "took", c.options.Now().Sub(c.requestedAt))
}

// drainOrLoad drains the engine when its load is due soon, and loads when it is due and the
// engine has drained.
func (c *Controller) drainOrLoad() {
	now := c.options.Now()
	if now.Before(c.nextRequestAt) || c.report.Busy || !c.env.UpToDate() {
		return
	}
	if c.instance == "" {
		return
	}
	action, req := c.nextAction(now)
	if action == Wait {
		c.phase = Serving
		return
	}
	token, ok := c.env.Token()
	if !ok {
		return
	}
	if c.phase != Draining {
		c.phase, c.drainingSince = Draining, now
	}
	idle := c.report.Running == 0 && c.report.Queued == 0
	if action == LoadNow && (idle && now.Sub(c.drainingSince) > minDrainTime || now.Sub(c.drainingSince) > maxDrainTime) {
		req.Token = token
		c.requestLoad(req)
	}
}

// nextAction returns what the engine should do now, with the load request for it.
func (c *Controller) nextAction(now time.Time) (Action, LoadRequest) {
	for model, history := range c.env.Wanted() {
		loaded, served := c.report.Weights[model]
		wanted := history.Newest()
		if !served || loaded >= wanted {
			continue
		}
		_, _ = c.env.Token() // begins to fetch it before the load is due
		in := Input{
			Self: c.incarnation(), Engines: c.env.Engines(model), Wanted: wanted,
			StaleFor: history.StaleFor(loaded, now), MaxStaleness: c.options.MaxStaleness, LoadTime: c.loadTime,
			KnownFor: now.Sub(history[len(history)-1].Since), PartialView: c.env.PartialView(),
		}
		if action := Decide(in); action != Wait {
			return action, LoadRequest{Model: model, Version: wanted, Swap: SwapContinueRuns, Holder: c.options.Holder,
				Incarnation: c.incarnation(), ExpectedLoads: c.report.AcceptedLoads}
		}
	}
	return Wait, LoadRequest{}
}

// requestLoad sends a load request.
func (c *Controller) requestLoad(req LoadRequest) {
	c.phase, c.lastRequest, c.requestPending = Loading, req, true
	c.requestedAt = c.options.Now()
	c.nextRequestAt = c.requestedAt.Add(retryDelay)
	control.Do(c.loop, loadRequestTimeout, func(ctx context.Context) (Outcome, error) {
		return c.engine.Load(ctx, req)
	}, func(outcome Outcome, err error) { c.handleOutcome(req, outcome, err) })
}

func (c *Controller) handleOutcome(req LoadRequest, outcome Outcome, err error) {
	c.requestPending = false
	c.options.OnOutcome(outcome)
	c.nextRequestAt = c.options.Now().Add(retryDelay)
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	c.options.Logger.Info("weights_ordered", "model", req.Model, "version", req.Version, "token", req.Token,
		"target", req.Incarnation, "orders", req.ExpectedLoads, "outcome", outcome.String(), "error", detail)
	if req.Incarnation != c.incarnation() {
		return // the engine has restarted since, which ended the load
	}
	if outcome == Accepted {
		c.report.Busy = true
	}
	if outcome != Accepted && outcome != Unknown {
		c.phase = Serving
	}
	if outcome == OtherInstance {
		c.Reidentify()
	}
	c.env.OnChange(c.incarnation(), c.report, c.phase)
}
