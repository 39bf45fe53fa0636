package weights

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// RemoteEngine is an engine without a sidecar, as the platform lists it.
type RemoteEngine struct {
	fleet.Incarnation
	Address netip.AddrPort
	Engine  Engine
	// Versions maps each of the engine's models to its version.
	Versions map[string]int64
}

const (
	// remoteLoadTime is how long an engine without a sidecar counts as loading. No sidecar
	// sees the end of the load, and the platform's list shows it a second late.
	remoteLoadTime = 1200 * time.Millisecond
	// remoteRetryDelay is the pause after a load request that was not accepted or whose
	// outcome is unknown.
	remoteRetryDelay = 2 * time.Second
)

// progress is the state of one engine's last load request.
type progress struct {
	version int64
	// pending is set until the outcome of the request is known, loading while the engine
	// loads, failed if the request was not accepted.
	pending, loading bool
	// until is the end of the load, or of the pause after a failed request.
	until  time.Time
	failed bool
}

// RemoteController sends load requests to engines that have no sidecar. Only one process at a
// time may run it. All methods must be called on the control thread.
type RemoteController struct {
	loop      *control.Loop
	holder    string
	logger    logr.Logger
	now       func() time.Time
	onOutcome func(Outcome)
	progress  map[fleet.Incarnation]*progress
}

// NewRemoteController returns a controller that sends load requests for a holder. It calls
// onOutcome with the outcome of each request.
func NewRemoteController(loop *control.Loop, holder string, logger logr.Logger, now func() time.Time, onOutcome func(Outcome)) *RemoteController {
	return &RemoteController{loop: loop, holder: holder, logger: logger, now: now, onOutcome: onOutcome, progress: map[fleet.Incarnation]*progress{}}
}

// AnyStale reports whether any engine is known to lack a wanted version.
func (c *RemoteController) AnyStale(engines []RemoteEngine, model string, wanted int64) bool {
	for i := range engines {
		if c.stale(&engines[i], model, wanted) {
			return true
		}
	}
	return false
}

func (c *RemoteController) stale(e *RemoteEngine, model string, wanted int64) bool {
	version, served := e.Versions[model]
	if p := c.progress[e.Incarnation]; p != nil {
		version = max(version, p.version)
	}
	return served && version < wanted
}

// Step sends the load requests that are due for a model, in rollout order and to no more
// engines than may load at once.
func (c *RemoteController) Step(engines []RemoteEngine, model string, wanted int64, token uint64) {
	c.expire()
	slots := MaxParallelLoads(len(engines)) - c.loading()
	views := make([]EngineView, len(engines))
	byIncarnation := map[fleet.Incarnation]*RemoteEngine{}
	for i := range engines {
		views[i] = EngineView{Incarnation: engines[i].Incarnation}
		byIncarnation[engines[i].Incarnation] = &engines[i]
	}
	for _, v := range c.failedLast(RolloutOrder(views, wanted)) {
		e := byIncarnation[v.Incarnation]
		if slots <= 0 {
			return
		}
		if c.blocked(e.Incarnation) || !c.stale(e, model, wanted) {
			continue
		}
		slots--
		c.requestLoad(e, LoadRequest{Model: model, Version: wanted, Swap: SwapContinueRuns, Holder: c.holder, Token: token, Incarnation: e.Incarnation})
	}
}

// failedLast moves engines whose last load request failed to the end, so that unresponsive
// engines at the start of the rollout order do not occupy all slots on every attempt.
func (c *RemoteController) failedLast(ordered []EngineView) []EngineView {
	slices.SortStableFunc(ordered, func(a, b EngineView) int { return c.failures(a.Incarnation) - c.failures(b.Incarnation) })
	return ordered
}

func (c *RemoteController) failures(incarnation fleet.Incarnation) int {
	if p := c.progress[incarnation]; p != nil && p.failed {
		return 1
	}
	return 0
}

// blocked reports whether an engine's load is in progress or its next attempt is not due.
func (c *RemoteController) blocked(incarnation fleet.Incarnation) bool {
	p := c.progress[incarnation]
	return p != nil && (p.pending || p.loading || p.failed && c.now().Before(p.until))
}

// loading returns how many engines are loading or may be.
func (c *RemoteController) loading() int {
	n := 0
	for _, p := range c.progress {
		if p.pending || p.loading {
			n++
		}
	}
	return n
}

// expire ends loads whose time has passed and removes state that is no longer needed.
func (c *RemoteController) expire() {
	for incarnation, p := range c.progress {
		switch {
		case p.pending:
		case p.loading && c.now().After(p.until):
			p.loading = false
		case c.now().Sub(p.until) > time.Minute:
			delete(c.progress, incarnation)
		}
	}
}

// requestLoad reads the engine's count of accepted loads and sends a load request that expects
// it. The engine rejects the request if it arrives after a newer one.
func (c *RemoteController) requestLoad(e *RemoteEngine, req LoadRequest) {
	p := &progress{pending: true}
	if old := c.progress[e.Incarnation]; old != nil {
		p.version, p.failed = old.version, old.failed
	}
	c.progress[e.Incarnation] = p
	type result struct {
		report  Report
		outcome Outcome
	}
	control.Do(c.loop, reportTimeout+loadRequestTimeout, func(ctx context.Context) (result, error) {
		report, err := e.Engine.Report(ctx)
		if err != nil {
			return result{}, err
		}
		if report.Weights[req.Model] >= req.Version {
			return result{report: report, outcome: AlreadyLoaded}, nil
		}
		req.ExpectedLoads = report.AcceptedLoads
		outcome, err := e.Engine.Load(ctx, req)
		return result{report: report, outcome: outcome}, err
	}, func(r result, err error) { c.handleOutcome(req, p, r.outcome, err) })
}

func (c *RemoteController) handleOutcome(req LoadRequest, p *progress, outcome Outcome, err error) {
	c.onOutcome(outcome)
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	c.logger.Info("weights_ordered", "model", req.Model, "version", req.Version, "token", req.Token, "target", req.Incarnation,
		"orders", req.ExpectedLoads, "outcome", outcome.String(), "error", detail, "sidecar", false)
	p.pending = false
	switch outcome {
	case Accepted:
		p.loading, p.failed, p.version, p.until = true, false, req.Version, c.now().Add(remoteLoadTime)
	case AlreadyLoaded:
		p.failed, p.version, p.until = false, req.Version, c.now()
	default:
		p.failed, p.until = true, c.now().Add(remoteRetryDelay)
	}
}
