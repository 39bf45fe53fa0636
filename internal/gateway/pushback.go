package gateway

import (
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/pushback"
	"github.com/toucanwell/toucanwell/internal/metrics"
)

// newPushback returns the registry of an entry's targets' statements, which logs and counts them.
func newPushback(p *process) *pushback.Registry {
	r := pushback.NewRegistry(&pushbackObserver{logger: p.logger, metrics: p.metrics, state: p.state})
	p.metrics.RegisterGauge("targets_limited", "Targets that state a rate limit in their responses.", func() float64 {
		return float64(len(r.RateLimits(p.clock.Now())))
	})
	p.metrics.RegisterGauge("targets_leaving", "Targets that have stated in a response that they leave.", func() float64 {
		return float64(len(r.Leaving(p.clock.Now())))
	})
	p.metrics.RegisterGauge("targets_resting", "Targets that have asked this entry for no requests for a time.", func() float64 {
		return float64(len(r.Resting(p.clock.Now())))
	})
	return r
}

// pushbackObserver logs and counts what targets state.
type pushbackObserver struct {
	logger  logr.Logger
	metrics *metrics.Metrics
	state   *clusterState
}

// RateLimitChanged implements pushback.Observer.
func (o *pushbackObserver) RateLimitChanged(c pushback.RateLimitChange) {
	target := o.name(c.Target, c.Incarnation)
	if c.Now == pushback.None {
		o.logger.Info("target_limit_ended", "target", target, "before", c.Before, "request", c.Origin.RequestID, "peer", c.Origin.Peer)
		return
	}
	o.logger.Info("target_limited", "target", target, "per_second", c.Now, "before", c.Before, "request", c.Origin.RequestID, "peer", c.Origin.Peer)
}

// LeavingStated implements pushback.Observer.
func (o *pushbackObserver) LeavingStated(target fleet.ID, incarnation fleet.Incarnation, origin pushback.Origin) {
	o.logger.Info("target_leaving", "target", o.name(target, incarnation), "request", origin.RequestID, "peer", origin.Peer)
}

// RestStated implements pushback.Observer.
func (o *pushbackObserver) RestStated(target fleet.Incarnation, rest time.Duration, requestID string) {
	o.logger.Info("target_wants_rest", "target", target, "for", rest, "request", requestID)
}

// RestEnded implements pushback.Observer.
func (o *pushbackObserver) RestEnded(target fleet.Incarnation, requestID string) {
	o.logger.Info("target_rest_over", "target", target, "request", requestID)
}

// name returns the incarnation with an ID, which peers do not announce.
func (o *pushbackObserver) name(id fleet.ID, incarnation fleet.Incarnation) string {
	if incarnation.Instance != "" {
		return incarnation.String()
	}
	if v, ok := o.state.view.Get(); ok {
		for _, targets := range v.Targets {
			for i := range targets {
				if targets[i].ID == id {
					return targets[i].Incarnation.String()
				}
			}
		}
	}
	return "id:" + strconv.FormatUint(uint64(id), 16)
}

// InvalidStatement implements pushback.Observer.
func (o *pushbackObserver) InvalidStatement(target fleet.Incarnation, requestID string, err error) {
	o.metrics.InvalidStatement()
	o.logger.Info("target_statement_refused", "target", target, "request", requestID, "error", err.Error())
}
