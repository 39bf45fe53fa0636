// Package metrics holds the measures that a process exposes to Prometheus.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the collectors of one process.
type Metrics struct {
	// Registry gathers them.
	Registry *prometheus.Registry

	requests       *prometheus.CounterVec
	refusals       *prometheus.CounterVec
	ttft           *prometheus.HistogramVec
	promptTokens   *prometheus.CounterVec
	cachedTokens   *prometheus.CounterVec
	wastedTokens   *prometheus.CounterVec
	retries        *prometheus.CounterVec
	resumes        prometheus.Counter
	probes         prometheus.Counter
	queueWaiting   prometheus.Gauge
	queueRunning   prometheus.Gauge
	indexBlocks    prometheus.Gauge
	eventGaps      prometheus.Gauge
	configVersion  prometheus.Gauge
	logErrors      *prometheus.CounterVec
	controlSeconds prometheus.Counter
	connections    prometheus.Counter
	refusedTargets prometheus.Counter
	storeCalls     *prometheus.HistogramVec
	orders         *prometheus.CounterVec
	waits          *prometheus.HistogramVec
	blamed         *prometheus.CounterVec
	evicted        prometheus.Counter
	rateLimits     *prometheus.CounterVec
}

var ttftBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.62, 1, 2, 4, 8, 16, 32}

// New returns registered collectors.
func New() *Metrics {
	labels := []string{"service", "class"}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "toucanwell", Name: name, Help: help}, labels)
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "toucanwell", Name: name, Help: help})
	}
	m := &Metrics{
		Registry:     prometheus.NewRegistry(),
		requests:     counter("requests_total", "Requests taken.", labels...),
		refusals:     counter("refusals_total", "Requests refused, by kind.", "service", "class", "kind"),
		promptTokens: counter("prompt_tokens_total", "Prompt tokens of finished requests.", labels...),
		cachedTokens: counter("cached_tokens_total", "Prompt tokens that the engine had cached.", labels...),
		wastedTokens: counter("recomputed_tokens_total", "Prompt tokens of shared levels that an engine computed although another target held them when asked.", labels...),
		retries:      counter("retries_total", "Tries after the first, by cause.", "cause"),
		logErrors:    counter("log_errors_total", "Failed calls of the platform's log.", "call"),
		ttft: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "toucanwell", Name: "ttft_seconds", Help: "Time to first token.", Buckets: ttftBuckets,
		}, labels),
		resumes:        prometheus.NewCounter(prometheus.CounterOpts{Namespace: "toucanwell", Name: "stream_resumes_total", Help: "Streams continued after a cut."}),
		probes:         prometheus.NewCounter(prometheus.CounterOpts{Namespace: "toucanwell", Name: "probes_total", Help: "Probes sent to sidecars."}),
		controlSeconds: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "toucanwell", Name: "control_seconds_total", Help: "Time spent on the control thread."}),
		connections:    prometheus.NewCounter(prometheus.CounterOpts{Namespace: "toucanwell", Name: "target_connections_total", Help: "Connections opened to targets."}),
		refusedTargets: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "toucanwell", Name: "target_entries_refused_total", Help: "Entries of the platform's list that name no target."}),
		storeCalls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "toucanwell", Name: "store_call_seconds", Help: "Calls of the platform's store, by topic and result.", Buckets: ttftBuckets,
		}, []string{"topic", "result"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "toucanwell", Name: "placement_wait_seconds", Help: "Time between a request's arrival and its first send.", Buckets: ttftBuckets,
		}, labels),
		blamed:        counter("blamed_requests_total", "Ends of targets held against a request, by whose word: own or told.", "word"),
		evicted:       prometheus.NewCounter(prometheus.CounterOpts{Namespace: "toucanwell", Name: "suspects_evicted_total", Help: "Records of suspects dropped for want of room."}),
		rateLimits:    counter("rate_limit_decisions_total", "Requests of workspaces with a rate limit, by who decided and what.", "source", "outcome"),
		orders:        counter("weights_orders_total", "Orders to load weights, by outcome.", "outcome"),
		queueWaiting:  gauge("queue_waiting", "Requests that wait at this sidecar."),
		queueRunning:  gauge("queue_running", "Requests that run at this sidecar's target."),
		indexBlocks:   gauge("index_blocks", "Blocks in the prefix index."),
		eventGaps:     gauge("event_gaps", "Losses found in the engine's event stream."),
		configVersion: gauge("config_version", "Version of the configuration in force."),
	}
	m.Registry.MustRegister(m.requests, m.refusals, m.ttft, m.promptTokens, m.cachedTokens, m.wastedTokens,
		m.retries, m.resumes, m.probes, m.queueWaiting, m.queueRunning, m.indexBlocks, m.eventGaps,
		m.configVersion, m.logErrors, m.controlSeconds, m.connections, m.refusedTargets, m.storeCalls, m.orders, m.waits, m.blamed, m.evicted, m.rateLimits)
	return m
}

// Request counts a request taken.
func (m *Metrics) Request(service, class string) { m.requests.WithLabelValues(service, class).Inc() }

// Refusal counts a refusal.
func (m *Metrics) Refusal(service, class, kind string) {
	m.refusals.WithLabelValues(service, class, kind).Inc()
}

// FirstToken records a time to first token.
func (m *Metrics) FirstToken(service, class string, d time.Duration) {
	m.ttft.WithLabelValues(service, class).Observe(d.Seconds())
}

// Waited records how long a request was kept before its first send.
func (m *Metrics) PlacementWait(service, class string, d time.Duration) {
	m.waits.WithLabelValues(service, class).Observe(d.Seconds())
}

// Gauge registers a gauge that is read when metrics are gathered.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "toucanwell", Name: name, Help: help}, read))
}

// Tokens counts the prompt tokens of a finished request; wasted are those
// computed although another target held them.
func (m *Metrics) Tokens(service, class string, prompt, cached, wasted int) {
	m.promptTokens.WithLabelValues(service, class).Add(float64(prompt))
	m.cachedTokens.WithLabelValues(service, class).Add(float64(cached))
	m.wastedTokens.WithLabelValues(service, class).Add(float64(wasted))
}

// Retry counts a try after the first.
func (m *Metrics) Retry(cause string) { m.retries.WithLabelValues(cause).Inc() }

// RateLimit counts a decision on a workspace's rate limit.
func (m *Metrics) RateLimitDecision(source string, admitted bool) {
	outcome := "refused"
	if admitted {
		outcome = "admitted"
	}
	m.rateLimits.WithLabelValues(source, outcome).Inc()
}

// Resume counts a stream that was continued.
func (m *Metrics) Resume() { m.resumes.Inc() }

// Probes counts probes sent.
func (m *Metrics) Probes(n int) { m.probes.Add(float64(n)) }

// Queue sets the queue's gauges.
func (m *Metrics) Queue(waiting, running int) {
	m.queueWaiting.Set(float64(waiting))
	m.queueRunning.Set(float64(running))
}

// Index sets the prefix index's gauges.
func (m *Metrics) Index(blocks int, gaps uint64) {
	m.indexBlocks.Set(float64(blocks))
	m.eventGaps.Set(float64(gaps))
}

// ConfigVersion sets the version in force.
func (m *Metrics) ConfigVersion(v uint64) { m.configVersion.Set(float64(v)) }

// LogError counts a failed call of the log.
func (m *Metrics) LogError(call string) { m.logErrors.WithLabelValues(call).Inc() }

// Control counts time spent on the control thread.
func (m *Metrics) ControlTime(d time.Duration) { m.controlSeconds.Add(d.Seconds()) }

// Connection counts a connection opened to a target.
func (m *Metrics) Connection() { m.connections.Inc() }

// TargetRefused counts an entry of the platform's list that names no target.
func (m *Metrics) TargetEntryRefused() { m.refusedTargets.Inc() }

// StoreCall records a call of the platform's store.
func (m *Metrics) StoreCall(topic string, took time.Duration, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	m.storeCalls.WithLabelValues(topic, result).Observe(took.Seconds())
}

// Order counts an order to load weights.
func (m *Metrics) WeightsOrder(outcome string) { m.orders.WithLabelValues(outcome).Inc() }

// Blamed counts an end of a target that is held against a request, by this process's own
// word or as another one told it.
func (m *Metrics) CrashAttributed(told bool) {
	word := "own"
	if told {
		word = "told"
	}
	m.blamed.WithLabelValues(word).Inc()
}

// SuspectEvicted counts a record that was dropped for want of room.
func (m *Metrics) SuspectEvicted() { m.evicted.Inc() }
