package gateway

import (
	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/pushback"
	"github.com/toucanwell/toucanwell/internal/metrics"
)

// newPushback returns the registry of an entry's targets' statements, which logs and counts them.
func newPushback(p *process) *pushback.Registry {
	r := pushback.NewRegistry(&pushbackObserver{logger: p.logger, metrics: p.metrics})
	p.metrics.RegisterGauge("targets_limited", "Targets that state a rate limit in their responses.", func() float64 {
		return float64(r.Limited(p.clock.Now()))
	})
	return r
}

// pushbackObserver logs and counts what targets state.
type pushbackObserver struct {
	logger  logr.Logger
	metrics *metrics.Metrics
}

// RateLimitChanged implements pushback.Observer.
func (o *pushbackObserver) RateLimitChanged(c pushback.RateLimitChange) {
	if c.Now == pushback.None {
		o.logger.Info("target_limit_ended", "target", c.Target, "before", c.Before, "request", c.RequestID)
		return
	}
	o.logger.Info("target_limited", "target", c.Target, "per_second", c.Now, "before", c.Before, "request", c.RequestID)
}

// InvalidStatement implements pushback.Observer.
func (o *pushbackObserver) InvalidStatement(target fleet.Incarnation, requestID string, err error) {
	o.metrics.InvalidStatement()
	o.logger.Info("target_statement_refused", "target", target, "request", requestID, "error", err.Error())
}
