package weights

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

// Report is an engine's word of itself.
type Report struct {
	// Born is when the engine started, in Unix milliseconds by its own clock; zero when
	// it does not say.
	StartedAt int64
	// Weights are the versions of its models.
	Weights map[string]int64
	// Busy is set while an order is carried out.
	Busy bool
	// Orders counts the orders that this life of the engine has accepted.
	AcceptedLoads int64
	// Queued and Running count requests.
	Queued, Running int
	// MemoryUsed is the memory that cannot be freed, in tokens.
	MemoryUsed, MemoryTotal int
	// At is when it came.
	ReceivedAt time.Time
}

// Swap says what becomes of the runs under way when weights are loaded.
type Swap uint8

// The ways to swap.
const (
	// SwapAfterRuns lets runs finish first.
	SwapAfterRuns Swap = iota
	// SwapCutRuns breaks them off.
	SwapTruncateRuns
	// SwapUnderRuns lets them go on under the new weights.
	SwapContinueRuns
)

// Order tells an engine to load weights.
type LoadRequest struct {
	Model   string
	Version int64
	Swap    Swap
	// Holder is who gives the order, Token its fencing token: a number that
	// grows with each holder.
	Holder string
	Token  uint64
	// Life of the engine that is meant.
	Incarnation fleet.Incarnation
	// Orders is how many orders the engine must have accepted before. An order
	// that is carried out late, after a newer one, is refused by it.
	ExpectedLoads int64
}

// Outcome is an engine's answer to an order.
type Outcome uint8

// The outcomes.
const (
	// Unknown orders may have been accepted, or may be later.
	Unknown Outcome = iota
	// Accepted orders are being carried out.
	Accepted
	// Holds means that the engine has the weights already.
	AlreadyLoaded
	// Busy engines carry out another order, or have accepted another since.
	Busy
	// StaleToken means that the engine has seen a higher token.
	StaleToken
	// OtherInstance means that another life of the engine, or another target,
	// has the address.
	OtherInstance
	// Refused orders do not exist for the engine.
	Refused
)

var outcomeNames = map[Outcome]string{
	Unknown: "unknown", Accepted: "accepted", AlreadyLoaded: "holds", Busy: "busy",
	StaleToken: "stale_token", OtherInstance: "other_instance", Refused: "refused",
}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// Engine is the control side of one engine.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Identify returns the name of the engine's present life, which it tells with
	// its health.
	Identify(ctx context.Context, healthPath string) (string, error)
	// Load gives an order. An error with Unknown leaves open whether it was
	// accepted.
	Load(ctx context.Context, o LoadRequest) (Outcome, error)
}

// Surroundings are what a controller asks and tells. All are called on the
// control thread.
type Environment struct {
	// Wanted returns the versions that operators named, by model.
	Wanted func() map[string]History
	// HealthPath returns where the engine tells its health; empty while that is
	// not known.
	HealthPath func() string
	// Engines returns the engines of the service for a model.
	Engines func(model string) []EngineView
	// Unheard reports whether the fleet is too large for all sidecars to hear of all
	// engines.
	PartialView func() bool
	// Changed is told of the engine's life, its newest report and its phase.
	OnChange func(life fleet.Incarnation, report Report, phase Phase)
	// Token returns the fencing token, once there is one.
	Token func() (uint64, bool)
	// Fresh reports whether this process has run without a break lately: one
	// that was frozen must look again before it gives an order.
	UpToDate func() bool
}

// Options are a controller's fixed values.
type Options struct {
	Holder string
	// Bound is the time within which engines must have a wanted version.
	MaxStaleness time.Duration
	Logger       logr.Logger
	Now          func() time.Time
	// Ordered counts orders by their outcome.
	OnOutcome func(Outcome)
}

const (
	// reportPeriod is how often the engine is asked; the question is free from
	// its own host. While it loads it is asked more often, so that it serves again
	// at once.
	reportPeriod  = 100 * time.Millisecond
	loadingPeriod = 20 * time.Millisecond
	reportTimeout = time.Second
	orderTimeout  = 800 * time.Millisecond
	// orderNotice is the least time between telling the entries and the order, in
	// which requests on their way arrive.
	orderNotice = 15 * time.Millisecond
	// emptyTime is how long an engine is given to be emptied. Moving a run takes
	// some tens of milliseconds, and short runs end in the time; a run that is
	// left goes on under the new weights.
	emptyTime = 350 * time.Millisecond
	// firstLoadTime is how long a load is expected to take until the engine has made
	// one.
	firstLoadTime = 500 * time.Millisecond
	// retryAfter is the pause after an order that was not accepted, or whose
	// fate is unknown. The expected count keeps a late first one harmless.
	retryAfter = 400 * time.Millisecond
)

// Controller is the one that gives orders to one engine.
type Controller struct {
	loop    *control.Loop
	engine  Engine
	around  Environment
	options Options
	report  Report
	known   bool
	phase   Phase
	// instance is the engine's life; empty until it has been identified.
	instance    string
	identifying bool
	// seen is the life that was reported last under its name, and seenAt when.
	seen   fleet.Incarnation
	seenAt time.Time
	// refusedSince and refusedAt are the first and the last of the reports in a row for which
	// nothing listened.
	refusedSince, refusedAt time.Time
	// beganAfter is when the address was known last not to be the present life's.
	beganAfter time.Time
	// loading is the order that was given last.
	loading LoadRequest
	begunAt time.Time
	// loadTime is how long this engine's last load took.
	loadTime time.Duration
	// emptyingSince is when the engine was told to be emptied.
	emptyingSince time.Time
	ordering      bool
	notBefore     time.Time
}

// NewController returns a controller that has not started.
func NewController(loop *control.Loop, engine Engine, around Environment, options Options) *Controller {
	return &Controller{loop: loop, engine: engine, around: around, options: options, loadTime: firstLoadTime}
}

// Start begins to watch the engine and to give it orders.
func (c *Controller) Start() { c.loop.Go(c.run) }

func (c *Controller) run(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		report, err := c.engine.Report(callCtx)
		cancel()
		pause := make(chan time.Duration, 1)
		c.loop.Post(func() { pause <- c.take(report, err) })
		select {
		case p := <-pause:
			sleep.For(ctx, p)
		case <-ctx.Done():
		}
	}
}

// take handles a report and returns the pause until the next.
func (c *Controller) take(report Report, err error) time.Duration {
	c.noteRefusal(err)
	if err != nil {
		if c.known {
			c.options.Logger.Info("engine_silent", "instance", c.instance, "error", err.Error())
		}
		c.known, c.instance = false, ""
		c.around.OnChange(fleet.Incarnation{}, c.report, Unresponsive)
		return reportPeriod
	}
	if !c.known {
		c.options.Logger.Info("engine_heard", "weights", report.Weights, "busy", report.Busy, "orders", report.AcceptedLoads)
	}
	heardBefore := c.report.Weights != nil
	if heardBefore && (report.StartedAt != c.report.StartedAt || report.AcceptedLoads < c.report.AcceptedLoads) {
		c.startedAnew(report)
	}
	c.known = true
	report.ReceivedAt = c.options.Now()
	c.report = report
	c.identify()
	c.step()
	if c.phase != Serving || c.report.Busy {
		return loadingPeriod
	}
	return reportPeriod
}

// startedAnew forgets what is known of the engine's earlier life: what it was ordered
// to do has ended with it.
func (c *Controller) startedAnew(report Report) {
	c.options.Logger.Info("engine_started_anew", "instance", c.instance, "was_born", c.report.StartedAt, "born", report.StartedAt,
		"orders", report.AcceptedLoads, "phase", c.phase.String())
	c.instance, c.phase, c.loading = "", Serving, LoadRequest{}
}

// life is the engine's present one; its instance is empty until it is identified.
func (c *Controller) life() fleet.Incarnation {
	return fleet.Incarnation{Instance: c.instance, StartedMs: c.report.StartedAt}
}

// identifyPause is the least time between two questions for the engine's life;
// they have a price.
const identifyPause = 300 * time.Millisecond

// identify asks for the engine's life while it is not known. The platform's list
// shows a life that has just begun a second or two late; requests that name the
// earlier one are refused until then.
func (c *Controller) identify() {
	path := c.around.HealthPath()
	if c.instance != "" || c.identifying || path == "" {
		return
	}
	c.identifying = true
	born := c.report.StartedAt
	control.Do(c.loop, reportTimeout, func(ctx context.Context) (string, error) {
		return c.engine.Identify(ctx, path)
	}, func(instance string, err error) {
		if err == nil && c.known && born == c.report.StartedAt {
			c.instance = instance
			c.options.Logger.Info("engine_identified", "instance", instance, "born", born)
			c.step()
		}
		if err != nil {
			c.options.Logger.Info("engine_not_identified", "error", err.Error())
		}
		c.loop.Go(func(ctx context.Context) {
			sleep.For(ctx, identifyPause)
			c.loop.Post(func() { c.identifying = false })
		})
	})
}

// Unknown makes the controller ask for the engine's life again, after word that
// it is another.
func (c *Controller) Reidentify() { c.instance = "" }

// Nudge makes the controller decide again, after a new wanted version or word
// of another engine. It runs on the control thread.
func (c *Controller) Trigger() {
	if c.known {
		c.step()
	}
}

// BeganAfter is when another life had the engine's address last, or none; zero when this
// process has known the present life only.
func (c *Controller) StartedAfter() time.Time { return c.beganAfter }

// absentFor is for how long nothing must have listened for the engine to count as not
// running: one that has too many connections refuses some, too.
const absentFor = 500 * time.Millisecond

// noteRefusal takes in whether something listened for a report.
func (c *Controller) noteRefusal(err error) {
	switch {
	case !errors.Is(err, syscall.ECONNREFUSED):
		c.refusedSince = time.Time{}
	case c.refusedSince.IsZero():
		c.refusedSince = c.options.Now()
	case c.options.Now().Sub(c.refusedSince) >= absentFor:
		c.refusedAt = c.options.Now()
	}
}

// noteLife takes in that the engine's present life was reported.
func (c *Controller) noteLife() {
	life := c.life()
	if life.Instance == "" {
		return
	}
	if life != c.seen {
		c.beganAfter = c.seenAt
		if c.refusedAt.After(c.seenAt) {
			c.beganAfter = c.refusedAt
		}
	}
	c.seen, c.seenAt = life, c.report.ReceivedAt
}

func (c *Controller) step() {
	c.noteLife()
	c.endLoading()
	if (c.phase == Serving || c.phase == Draining) && !c.ordering {
		c.begin()
	}
	c.around.OnChange(c.life(), c.report, c.toldPhase())
}

// toldPhase is what the entries go by. An engine that carries out an order of which
// nothing is known here, one that was taken for lost say, loads as well: it refuses
// what is sent to it until the load ends.
func (c *Controller) toldPhase() Phase {
	if c.phase == Serving && c.report.Busy {
		return Loading
	}
	return c.phase
}

// endLoading goes back to serving when the engine has carried out its order.
func (c *Controller) endLoading() {
	if c.phase != Loading || c.ordering || c.report.Busy {
		return
	}
	if c.report.Weights[c.loading.Model] < c.loading.Version && c.options.Now().Before(c.notBefore) {
		return
	}
	c.phase = Serving
	if c.report.Weights[c.loading.Model] >= c.loading.Version {
		c.loadTime = c.options.Now().Sub(c.begunAt)
	}
	c.options.Logger.Info("weights_loaded", "model", c.loading.Model, "wanted", c.loading.Version,
		"version", c.report.Weights[c.loading.Model], "took", c.options.Now().Sub(c.begunAt))
}

// begin takes the engine's turn to load a wanted version.
func (c *Controller) begin() {
	now := c.options.Now()
	if now.Before(c.notBefore) || c.report.Busy || !c.around.UpToDate() {
		return
	}
	token, ok := c.around.Token()
	if !ok || c.instance == "" {
		return
	}
	turn, o := c.turn(now)
	if turn == Wait {
		c.phase = Serving
		return
	}
	if c.phase != Draining {
		c.phase, c.emptyingSince = Draining, now
	}
	empty := c.report.Running == 0 && c.report.Queued == 0
	if turn == LoadNow && (empty && now.Sub(c.emptyingSince) > orderNotice || now.Sub(c.emptyingSince) > emptyTime) {
		o.Token = token
		c.give(o)
	}
}

// turn returns when the engine loads, and the order for it.
func (c *Controller) turn(now time.Time) (Action, LoadRequest) {
	for model, history := range c.around.Wanted() {
		have, served := c.report.Weights[model]
		wanted := history.Newest()
		if !served || have >= wanted {
			continue
		}
		q := Input{
			Self: c.life(), Engines: c.around.Engines(model), Wanted: wanted,
			StaleFor: history.StaleFor(have, now), MaxStaleness: c.options.MaxStaleness, LoadTime: c.loadTime,
			KnownFor: now.Sub(history[len(history)-1].Since), PartialView: c.around.PartialView(),
		}
		if turn := Decide(q); turn != Wait {
			return turn, LoadRequest{Model: model, Version: wanted, Swap: SwapContinueRuns, Holder: c.options.Holder,
				Incarnation: c.life(), ExpectedLoads: c.report.AcceptedLoads}
		}
	}
	return Wait, LoadRequest{}
}

// give orders a load.
func (c *Controller) give(o LoadRequest) {
	c.phase, c.loading, c.ordering = Loading, o, true
	c.begunAt = c.options.Now()
	c.notBefore = c.begunAt.Add(retryAfter)
	control.Do(c.loop, orderTimeout, func(ctx context.Context) (Outcome, error) {
		return c.engine.Load(ctx, o)
	}, func(outcome Outcome, err error) { c.ordered(o, outcome, err) })
}

func (c *Controller) ordered(o LoadRequest, outcome Outcome, err error) {
	c.ordering = false
	c.options.OnOutcome(outcome)
	c.notBefore = c.options.Now().Add(retryAfter)
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	c.options.Logger.Info("weights_ordered", "model", o.Model, "version", o.Version, "token", o.Token,
		"target", o.Incarnation, "orders", o.ExpectedLoads, "outcome", outcome.String(), "error", detail)
	if o.Incarnation != c.life() {
		return // the life that was meant has ended, and its order with it
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
	c.around.OnChange(c.life(), c.report, c.phase)
}
