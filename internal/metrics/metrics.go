// Package metrics defines the metrics that a process exposes to Prometheus.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the collectors of one process.
type Metrics struct {
	Registry *prometheus.Registry

	requests           *prometheus.CounterVec
	refusals           *prometheus.CounterVec
	ttft               *prometheus.HistogramVec
	promptTokens       *prometheus.CounterVec
	cachedTokens       *prometheus.CounterVec
	recomputedTokens   *prometheus.CounterVec
	retries            *prometheus.CounterVec
	resumes            prometheus.Counter
	streamStarts       *prometheus.CounterVec
	takeovers          *prometheus.CounterVec
	probes             prometheus.Counter
	queueWaiting       prometheus.Gauge
	queueRunning       prometheus.Gauge
	indexBlocks        prometheus.Gauge
	eventGaps          prometheus.Gauge
	configVersion      prometheus.Gauge
	logErrors          *prometheus.CounterVec
	controlSeconds     prometheus.Counter
	controlWait        prometheus.Histogram
	peerFetches        *prometheus.CounterVec
	connections        prometheus.Counter
	refusedEntries     prometheus.Counter
	storeCalls         *prometheus.HistogramVec
	weightsOrders      *prometheus.CounterVec
	placementWait      *prometheus.HistogramVec
	attributedCrashes  *prometheus.CounterVec
	evictedSuspects    prometheus.Counter
	droppedSuspects    prometheus.Counter
	rateLimitDecisions *prometheus.CounterVec
	rateLimitRequests  *prometheus.CounterVec
	rateLimitWait      prometheus.Histogram
	invalidStatements  prometheus.Counter
	targetLimits       *prometheus.CounterVec
	detours            *prometheus.CounterVec
	skippedResponses   *prometheus.CounterVec
	shedConnections    *prometheus.CounterVec
	queueMetrics
}

var ttftBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.62, 1, 2, 4, 8, 16, 32}

// New returns the collectors, registered with a new registry.
func New() *Metrics {
	labels := []string{"service", "class"}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "toucanwell", Name: name, Help: help}, labels)
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "toucanwell", Name: name, Help: help})
	}
	m := &Metrics{
		Registry:         prometheus.NewRegistry(),
		requests:         counter("requests_total", "Requests received.", labels...),
		refusals:         counter("refusals_total", "Requests refused, by kind.", "service", "class", "kind"),
		promptTokens:     counter("prompt_tokens_total", "Prompt tokens of finished requests.", labels...),
		cachedTokens:     counter("cached_tokens_total", "Prompt tokens that the engine had cached.", labels...),
		recomputedTokens: counter("recomputed_tokens_total", "Prompt tokens of shared levels that an engine computed although another probed target had them cached.", labels...),
		retries:          counter("retries_total", "Retries, by cause.", "cause"),
		logErrors:        counter("log_errors_total", "Failed calls to the platform's log.", "call"),
		ttft: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "toucanwell", Name: "ttft_seconds", Help: "Time to first token.", Buckets: ttftBuckets,
		}, labels),
		resumes:        prometheus.NewCounter(prometheus.CounterOpts{Namespace: "toucanwell", Name: "stream_resumes_total", Help: "Streams resumed after an interruption."}),
		streamStarts:   prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "toucanwell", Name: "stream_starts_total", Help: "Streams that callers resume, by where the software version that began them was found."}, []string{"source"}),
		takeovers:      prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "toucanwell", Name: "stream_takeovers_total", Help: "Streams that callers resume, by whether the entry that served them before has ended them."}, []string{"result"}),
		probes:         prometheus.NewCounter(prometheus.CounterOpts{Namespace: "toucanwell", Name: "probes_total", Help: "Probes sent to sidecars."}),
		controlSeconds: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "toucanwell", Name: "control_seconds_total", Help: "Time spent on the control thread."}),
		controlWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "toucanwell", Name: "control_wait_seconds", Help: "Time by which events of the control thread were late.", Buckets: ttftBuckets,
		}),
		peerFetches:    counter("peer_fetches_total", "Fetches of a topic's records from peers, by result: ok, busy or failed.", "topic", "result"),
		connections:    prometheus.NewCounter(prometheus.CounterOpts{Namespace: "toucanwell", Name: "target_connections_total", Help: "Connections opened to targets."}),
		refusedEntries: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "toucanwell", Name: "target_entries_refused_total", Help: "Invalid entries in the platform's target list."}),
		storeCalls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "toucanwell", Name: "store_call_seconds", Help: "Duration of calls to the platform's store, by topic and result.", Buckets: ttftBuckets,
		}, []string{"topic", "result"}),
		placementWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "toucanwell", Name: "placement_wait_seconds", Help: "Time from a request's arrival to its first send.", Buckets: ttftBuckets,
		}, labels),
		attributedCrashes:  counter("blamed_requests_total", "Target crashes attributed to a request, by source: this process (own) or a peer (told).", "word"),
		evictedSuspects:    prometheus.NewCounter(prometheus.CounterOpts{Namespace: "toucanwell", Name: "suspects_evicted_total", Help: "Quarantine records evicted because the registry was full."}),
		droppedSuspects:    prometheus.NewCounter(prometheus.CounterOpts{Namespace: "toucanwell", Name: "suspects_dropped_total", Help: "Quarantine records that other entries announced and that were dropped, because too many waited to be merged."}),
		rateLimitDecisions: counter("rate_limit_decisions_total", "Rate limit decisions, by source and outcome.", "source", "outcome"),
		rateLimitRequests:  counter("rate_limit_requests_total", "Lease requests sent for rate limits, by kind.", "kind"),
		rateLimitWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "toucanwell", Name: "rate_limit_wait_seconds", Help: "Time for which requests waited for tokens of their workspace's rate limit.", Buckets: ttftBuckets,
		}),
		invalidStatements: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "toucanwell", Name: "target_statements_refused_total", Help: "Statements of targets about their load that could not be used."}),
		targetLimits:      counter("target_limit_decisions_total", "Decisions of the rate limits that targets state, by source and outcome.", "source", "outcome"),
		detours:           counter("detours_total", "Sends for which a target was passed over that had asked for fewer requests, by reason.", "reason"),
		shedConnections:   counter("caller_connections_shed_total", "Connections of callers that were closed for lack of memory, by reason.", "reason"),
		skippedResponses:  counter("skipped_responses_total", "Responses on connections to targets that belong to no request on them, by service.", "service"),
		weightsOrders:     counter("weights_orders_total", "Orders to load weights, by outcome.", "outcome"),
		queueWaiting:      gauge("queue_waiting", "Requests waiting at this sidecar."),
		queueRunning:      gauge("queue_running", "Requests running at this sidecar's target."),
		indexBlocks:       gauge("index_blocks", "Blocks in the prefix index."),
		eventGaps:         gauge("event_gaps", "Gaps detected in the engine's event stream."),
		configVersion:     gauge("config_version", "Version of the configuration in force."),
	}
	m.Registry.MustRegister(m.requests, m.refusals, m.ttft, m.promptTokens, m.cachedTokens, m.recomputedTokens,
		m.retries, m.resumes, m.streamStarts, m.takeovers, m.probes, m.queueWaiting, m.queueRunning, m.indexBlocks, m.eventGaps,
		m.configVersion, m.logErrors, m.controlSeconds, m.controlWait, m.peerFetches, m.connections, m.refusedEntries, m.storeCalls, m.weightsOrders, m.placementWait, m.attributedCrashes, m.evictedSuspects, m.droppedSuspects, m.rateLimitDecisions, m.rateLimitRequests, m.rateLimitWait, m.invalidStatements, m.targetLimits, m.detours, m.skippedResponses, m.shedConnections)
	m.queueMetrics = newQueueMetrics(m.Registry)
	return m
}

// Request counts a received request.
func (m *Metrics) Request(service, class string) { m.requests.WithLabelValues(service, class).Inc() }

// Refusal counts a refused request.
func (m *Metrics) Refusal(service, class, kind string) {
	m.refusals.WithLabelValues(service, class, kind).Inc()
}

// FirstToken records a time to first token.
func (m *Metrics) FirstToken(service, class string, d time.Duration) {
	m.ttft.WithLabelValues(service, class).Observe(d.Seconds())
}

// PlacementWait records the time from a request's arrival to its first send.
func (m *Metrics) PlacementWait(service, class string, d time.Duration) {
	m.placementWait.WithLabelValues(service, class).Observe(d.Seconds())
}

// RegisterGauge registers a gauge whose value is read at collection time.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "toucanwell", Name: name, Help: help}, read))
}

// Tokens counts the prompt tokens of a completed request. The recomputed tokens are those that
// the engine computed although another target had them cached.
func (m *Metrics) Tokens(service, class string, prompt, cached, recomputed int) {
	m.promptTokens.WithLabelValues(service, class).Add(float64(prompt))
	m.cachedTokens.WithLabelValues(service, class).Add(float64(cached))
	m.recomputedTokens.WithLabelValues(service, class).Add(float64(recomputed))
}

// Retry counts a retry.
func (m *Metrics) Retry(cause string) { m.retries.WithLabelValues(cause).Inc() }

// RateLimitDecision counts the decision on a request of a rate-limited workspace.
func (m *Metrics) RateLimitDecision(source string, admitted bool) {
	m.rateLimitDecisions.WithLabelValues(source, admission(admitted)).Inc()
}

// RateLimitRequest counts a lease request that is sent for a rate limit.
func (m *Metrics) RateLimitRequest(kind string) { m.rateLimitRequests.WithLabelValues(kind).Inc() }

// RateLimitWait records how long a request waited for tokens.
func (m *Metrics) RateLimitWait(d time.Duration) { m.rateLimitWait.Observe(d.Seconds()) }

// TargetLimitDecision counts a decision of the rate limit that a target states.
func (m *Metrics) TargetLimitDecision(source string, admitted bool) {
	m.targetLimits.WithLabelValues(source, admission(admitted)).Inc()
}

func admission(admitted bool) string {
	if admitted {
		return "admitted"
	}
	return "refused"
}

// Detour counts a send for which a target was passed over that had asked for fewer requests.
func (m *Metrics) Detour(reason string) { m.detours.WithLabelValues(reason).Inc() }

// SkippedResponse counts a response that does not belong to the request on its connection.
func (m *Metrics) SkippedResponse(service string) {
	m.skippedResponses.WithLabelValues(service).Inc()
}

// Resume counts a resumed stream.
func (m *Metrics) Resume() { m.resumes.Inc() }

// StreamStart counts a stream that a caller resumes, by where its version was found.
func (m *Metrics) StreamStart(source string) { m.streamStarts.WithLabelValues(source).Inc() }

// Takeover counts a stream that a caller resumes, by whether the entry that served it before has ended it.
func (m *Metrics) Takeover(result string) { m.takeovers.WithLabelValues(result).Inc() }

// Probes counts sent probes.
func (m *Metrics) Probes(n int) { m.probes.Add(float64(n)) }

// Queue sets the gauges of a sidecar's queue.
func (m *Metrics) Queue(waiting, running int) {
	m.queueWaiting.Set(float64(waiting))
	m.queueRunning.Set(float64(running))
}

// Index sets the gauges of the prefix index.
func (m *Metrics) Index(blocks int, gaps uint64) {
	m.indexBlocks.Set(float64(blocks))
	m.eventGaps.Set(float64(gaps))
}

// ConfigVersion sets the version of the configuration in force.
func (m *Metrics) ConfigVersion(v uint64) { m.configVersion.Set(float64(v)) }

// LogError counts a failed call to the platform's log.
func (m *Metrics) LogError(call string) { m.logErrors.WithLabelValues(call).Inc() }

// ControlTime adds time spent on the control thread.
func (m *Metrics) ControlTime(d time.Duration) { m.controlSeconds.Add(d.Seconds()) }

// SuspectsDropped counts quarantine records of other entries that were dropped before they were merged.
func (m *Metrics) SuspectsDropped(records int) { m.droppedSuspects.Add(float64(records)) }

// ControlWait records the time by which an event of the control thread was late.
func (m *Metrics) ControlWait(d time.Duration) { m.controlWait.Observe(d.Seconds()) }

// PeerFetch counts a fetch of a topic's records from a peer.
func (m *Metrics) PeerFetch(topic, result string) { m.peerFetches.WithLabelValues(topic, result).Inc() }

// Connection counts a connection opened to a target.
func (m *Metrics) Connection() { m.connections.Inc() }

// ConnectionShed counts a connection of a caller that was closed for lack of memory.
func (m *Metrics) ConnectionShed(reason string) { m.shedConnections.WithLabelValues(reason).Inc() }

// TargetEntryRefused counts an invalid entry in the platform's target list.
func (m *Metrics) TargetEntryRefused() { m.refusedEntries.Inc() }

// StoreCall records a call to the platform's store.
func (m *Metrics) StoreCall(topic string, took time.Duration, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	m.storeCalls.WithLabelValues(topic, result).Observe(took.Seconds())
}

// WeightsOrder counts an order to load weights, by its outcome.
func (m *Metrics) WeightsOrder(outcome string) { m.weightsOrders.WithLabelValues(outcome).Inc() }

// CrashAttributed counts a target crash that was attributed to a request, either by this
// process or as announced by a peer.
func (m *Metrics) CrashAttributed(announced bool) {
	source := "own"
	if announced {
		source = "told"
	}
	m.attributedCrashes.WithLabelValues(source).Inc()
}

// SuspectEvicted counts a quarantine record that was evicted because the registry was full.
func (m *Metrics) SuspectEvicted() { m.evictedSuspects.Inc() }

// InvalidStatement counts a statement of a target about its load that could not be used.
func (m *Metrics) InvalidStatement() { m.invalidStatements.Inc() }
