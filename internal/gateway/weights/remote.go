package weights

import (
	"context"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// Remote is an engine without a sidecar, as the platform's list shows it.
type RemoteEngine struct {
	fleet.Incarnation
	Engine Engine
	// Versions of its models.
	Versions map[string]int64
}

const (
	// remoteLoadTime is how long a load of an engine without a sidecar counts as under
	// way: nobody is beside it to see it end, and the list shows it a second late.
	remoteLoadTime = 1200 * time.Millisecond
	// remoteRetry is the pause after an order that was not accepted, or whose fate is
	// unknown.
	remoteRetry = 2 * time.Second
)

// progress is what is known of one engine's newest order.
type progress struct {
	version int64
	// ordering is set until it is known what became of the newest order, loading while
	// the engine carries it out, until notAfter.
	ordering, loading bool
	notAfter          time.Time
	// failed is set when the newest order was not accepted; the next one waits for
	// notAfter.
	failed bool
}

// RemoteController gives orders to engines that have no sidecar. One process at a time may
// run it. Its state is used on the control thread.
type RemoteController struct {
	loop     *control.Loop
	holder   string
	logger   logr.Logger
	now      func() time.Time
	ordered  func(Outcome)
	progress map[fleet.Incarnation]*progress
}

// NewRemoteController returns a controller whose orders name a holder. ordered counts them.
func NewRemoteController(loop *control.Loop, holder string, logger logr.Logger, now func() time.Time, ordered func(Outcome)) *RemoteController {
	return &RemoteController{loop: loop, holder: holder, logger: logger, now: now, ordered: ordered, progress: map[fleet.Incarnation]*progress{}}
}

// Behind reports whether an engine lacks a wanted version, as far as is known.
func (c *RemoteController) AnyStale(engines []RemoteEngine, model string, wanted int64) bool {
	for i := range engines {
		if c.lacks(&engines[i], model, wanted) {
			return true
		}
	}
	return false
}

func (c *RemoteController) lacks(e *RemoteEngine, model string, wanted int64) bool {
	have, serves := e.Versions[model]
	if p := c.progress[e.Incarnation]; p != nil {
		have = max(have, p.version)
	}
	return serves && have < wanted
}

// Step gives the orders that are due for a model: to as many engines as may load at once,
// in the order of their turns.
func (c *RemoteController) Step(engines []RemoteEngine, model string, wanted int64, token uint64) {
	c.forget()
	places := MaxParallelLoads(len(engines)) - c.underWay()
	views := make([]EngineView, len(engines))
	byLife := map[fleet.Incarnation]*RemoteEngine{}
	for i := range engines {
		views[i] = EngineView{Incarnation: engines[i].Incarnation}
		byLife[engines[i].Incarnation] = &engines[i]
	}
	for _, v := range c.failedLast(RolloutOrder(views, wanted)) {
		e := byLife[v.Incarnation]
		if places <= 0 {
			return
		}
		if c.waits(e.Incarnation) || !c.lacks(e, model, wanted) {
			continue
		}
		places--
		c.begin(e, LoadRequest{Model: model, Version: wanted, Swap: SwapContinueRuns, Holder: c.holder, Token: token, Incarnation: e.Incarnation})
	}
}

// failedLast puts engines behind the others that did not accept their last order. The
// failure guarded against: those whose turn comes first do not answer, and take all
// places again and again while the others wait.
func (c *RemoteController) failedLast(turns []EngineView) []EngineView {
	slices.SortStableFunc(turns, func(a, b EngineView) int { return c.failures(a.Incarnation) - c.failures(b.Incarnation) })
	return turns
}

func (c *RemoteController) failures(life fleet.Incarnation) int {
	if p := c.progress[life]; p != nil && p.failed {
		return 1
	}
	return 0
}

// waits reports whether an engine's order is under way, or its next one is not due.
func (c *RemoteController) waits(life fleet.Incarnation) bool {
	p := c.progress[life]
	return p != nil && (p.ordering || p.loading || p.failed && c.now().Before(p.notAfter))
}

// underWay is how many engines load, as far as is known.
func (c *RemoteController) underWay() int {
	n := 0
	for _, p := range c.progress {
		if p.ordering || p.loading {
			n++
		}
	}
	return n
}

// forget drops what is over: engines that are gone, and pauses that have passed.
func (c *RemoteController) forget() {
	for life, p := range c.progress {
		switch {
		case p.ordering:
		case p.loading && c.now().After(p.notAfter):
			p.loading = false
		case c.now().Sub(p.notAfter) > time.Minute:
			delete(c.progress, life)
		}
	}
}

// begin asks the engine for its count of orders and gives it the next one. The count makes
// an order harmless that is carried out late: a newer one was accepted before.
func (c *RemoteController) begin(e *RemoteEngine, o LoadRequest) {
	p := &progress{ordering: true}
	if old := c.progress[e.Incarnation]; old != nil {
		p.version, p.failed = old.version, old.failed
	}
	c.progress[e.Incarnation] = p
	type result struct {
		report  Report
		outcome Outcome
	}
	control.Do(c.loop, reportTimeout+orderTimeout, func(ctx context.Context) (result, error) {
		report, err := e.Engine.Report(ctx)
		if err != nil {
			return result{}, err
		}
		if report.Weights[o.Model] >= o.Version {
			return result{report: report, outcome: AlreadyLoaded}, nil
		}
		o.ExpectedLoads = report.AcceptedLoads
		outcome, err := e.Engine.Load(ctx, o)
		return result{report: report, outcome: outcome}, err
	}, func(r result, err error) { c.take(o, p, r.outcome, err) })
}

func (c *RemoteController) take(o LoadRequest, p *progress, outcome Outcome, err error) {
	c.ordered(outcome)
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	c.logger.Info("weights_ordered", "model", o.Model, "version", o.Version, "token", o.Token, "target", o.Incarnation,
		"orders", o.ExpectedLoads, "outcome", outcome.String(), "error", detail, "sidecar", false)
	p.ordering = false
	switch outcome {
	case Accepted:
		p.loading, p.failed, p.version, p.notAfter = true, false, o.Version, c.now().Add(remoteLoadTime)
	case AlreadyLoaded:
		p.failed, p.version, p.notAfter = false, o.Version, c.now()
	default:
		p.failed, p.notAfter = true, c.now().Add(remoteRetry)
	}
}
