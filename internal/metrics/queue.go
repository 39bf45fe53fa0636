package metrics

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// queueMetrics are the metrics of the decisions of an entry's queue.
type queueMetrics struct {
	queueWait     *prometheus.HistogramVec
	queueRefusals *prometheus.CounterVec
}

func newQueueMetrics(registry *prometheus.Registry) queueMetrics {
	m := queueMetrics{
		queueWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "toucanwell", Name: "queue_wait_seconds", Help: "Time that placed requests waited in the queue; zero for those that found a target at once.", Buckets: ttftBuckets,
		}, []string{"service", "urgency"}),
		queueRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "toucanwell", Name: "queue_refusals_total", Help: "Requests that the queue refused, by reason.",
		}, []string{"service", "reason"}),
	}
	registry.MustRegister(m.queueWait, m.queueRefusals)
	return m
}

// QueueWait records how long a placed request waited in the queue.
func (m *queueMetrics) QueueWait(service string, urgency int, d time.Duration) {
	m.queueWait.WithLabelValues(service, strconv.Itoa(urgency)).Observe(d.Seconds())
}

// QueueRefusal counts a request that the queue refused.
func (m *queueMetrics) QueueRefusal(service, reason string) {
	m.queueRefusals.WithLabelValues(service, reason).Inc()
}

// QueueState is the queue of a service at the time of a scrape.
type QueueState struct {
	Service         string
	Requests, Bytes float64
	Workspaces      []QueueShare
}

// QueueShare is a workspace's share of what was recently placed while requests waited.
type QueueShare struct {
	Workspace string
	Placed    uint64
	Share     float64
}

// RegisterQueue registers the gauges of a queue, which is read at collection time.
func (m *Metrics) RegisterQueue(read func() []QueueState) {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName("toucanwell", "", name), help, labels, nil)
	}
	m.Registry.MustRegister(&queueCollector{
		read:     read,
		requests: desc("queue_requests", "Requests that wait for a target.", "service"),
		bytes:    desc("queue_bytes", "Size of the bodies of requests that wait for a target.", "service"),
		share:    desc("queue_share", "Share of a workspace in what was recently placed while requests waited.", "service", "workspace"),
	})
}

type queueCollector struct {
	read                   func() []QueueState
	requests, bytes, share *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *queueCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.requests
	out <- c.bytes
	out <- c.share
}

// Collect implements prometheus.Collector.
func (c *queueCollector) Collect(out chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	for _, s := range c.read() {
		gauge(c.requests, s.Requests, s.Service)
		gauge(c.bytes, s.Bytes, s.Service)
		for _, w := range boundShares(s.Workspaces) {
			gauge(c.share, w.Share, s.Service, w.Workspace)
		}
	}
}

const (
	// maxShareWorkspaces bounds the workspaces of a service that have a time series of their own.
	maxShareWorkspaces = 20
	// otherWorkspaces is the label of all others.
	otherWorkspaces = "other"
)

// boundShares returns the shares of the workspaces with most placements, and the sum of the others.
func boundShares(all []QueueShare) []QueueShare {
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b QueueShare) int {
		return cmp.Or(cmp.Compare(b.Placed, a.Placed), cmp.Compare(a.Workspace, b.Workspace))
	})
	shares := make([]QueueShare, 0, maxShareWorkspaces+1)
	other := QueueShare{Workspace: otherWorkspaces}
	for _, w := range sorted {
		if len(shares) < maxShareWorkspaces && w.Workspace != otherWorkspaces {
			shares = append(shares, w)
			continue
		}
		other.Placed += w.Placed
		other.Share += w.Share
	}
	if other.Placed > 0 || other.Share > 0 {
		shares = append(shares, other)
	}
	return shares
}
