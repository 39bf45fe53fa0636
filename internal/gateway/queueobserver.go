package gateway

import (
	"math"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
	"github.com/toucanwell/toucanwell/internal/gateway/queue"
	"github.com/toucanwell/toucanwell/internal/metrics"
)

// queueObserver logs and counts the decisions of the queue. The decision to refuse a request is in the
// request's own last line.
type queueObserver struct {
	logger  logr.Logger
	metrics *metrics.Metrics
}

// Queued implements queue.Observer.
func (o queueObserver) Queued(it queue.Item, d queue.Decision) {
	o.logger.Info("request_queued", "request_id", it.RequestID, "print", quarantine.Fingerprint(it.Key), "service", it.Service, "workspace", it.Workspace,
		"urgency", it.Urgency, "position", d.Position, "ahead", int64(math.Round(d.Ahead)), "forecast", formatForecast(d.Forecast), "tag", int64(math.Round(d.Tag)),
		"cost", int64(math.Round(it.Cost)), "returned", it.Returned)
}

// Placed implements queue.Observer.
func (o queueObserver) Placed(p queue.Placement) {
	o.metrics.QueueWait(p.Item.Service, p.Item.Urgency, p.Waited)
	if p.Queued {
		o.logDequeued(p.Item, "placed", p.Waited, "before", p.Before)
	}
}

// Refused implements queue.Observer.
func (o queueObserver) Refused(r queue.Refusal) {
	o.metrics.QueueRefusal(r.Item.Service, string(r.Reason))
}

// Left implements queue.Observer.
func (o queueObserver) Left(it queue.Item, waited time.Duration) {
	if waited > 0 {
		o.logDequeued(it, "left", waited)
	}
}

func (o queueObserver) logDequeued(it queue.Item, outcome string, waited time.Duration, more ...any) {
	o.logger.Info("request_dequeued", append([]any{"request_id", it.RequestID, "print", quarantine.Fingerprint(it.Key), "service", it.Service, "workspace", it.Workspace,
		"outcome", outcome, "waited", waited.Round(time.Millisecond / 10).String()}, more...)...)
}

func formatForecast(d time.Duration) string {
	if d == queue.Unknown {
		return "unknown"
	}
	return d.Round(time.Millisecond).String()
}

// registerQueueGauges registers the gauges of an entry's queue.
func (p *process) registerQueueGauges() {
	if p.entry == nil {
		return
	}
	p.metrics.RegisterQueue(func() []metrics.QueueState {
		s, _ := p.entry.forwarder.QueueStats()
		return queueStates(s)
	})
}

// queueStates returns the queue in the form of the metrics.
func queueStates(s queue.Stats) []metrics.QueueState {
	states := make([]metrics.QueueState, 0, len(s.Services))
	for _, service := range s.Services {
		state := metrics.QueueState{Service: service.Service, Requests: float64(service.Waiting), Bytes: float64(service.Bytes)}
		for _, w := range service.Workspaces {
			state.Workspaces = append(state.Workspaces, metrics.QueueShare{Workspace: w.Workspace, Placed: w.Placed, Share: w.Share})
		}
		states = append(states, state)
	}
	return states
}
