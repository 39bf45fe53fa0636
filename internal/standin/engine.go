package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/prefix"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

// EngineCosts defines the execution times and the capacity of an engine.
type EngineCosts struct {
	// PrefillTokensPerSecond is the prefill rate. Prefills run one at a time.
	PrefillTokensPerSecond float64
	// DecodeStep is the time per token of a single request. Each other request in the batch
	// adds DecodePerPeer.
	DecodeStep    time.Duration
	DecodePerPeer time.Duration
	// MaxBatch is the maximum number of concurrent requests.
	MaxBatch int
	// CacheBlocks is the capacity of the block cache.
	CacheBlocks int
	// LoadTime is the time to load weights.
	LoadTime time.Duration
}

// EngineFaults are the faults that an engine can simulate.
type EngineFaults struct {
	// Fail rejects each generate call with status 500.
	Fail bool
	// CutAfter closes a stream's connection after this number of tokens; 0 means never. The
	// stream continues and can be resumed.
	CutAfter int
	// Duplicate sends each frame twice.
	Duplicate bool
	// LoseEvents drops cache events, which leaves a gap in their sequence numbers.
	LoseEvents bool
	// IgnoreFence accepts orders with a stale fencing token.
	IgnoreFence bool
	// Stall delays the first token.
	Stall time.Duration
}

// streamRetention is how long a finished stream can be resumed.
const streamRetention = 10 * time.Second

// Engine simulates a model engine whose output is a function of the prompt.
type Engine struct {
	costs EngineCosts

	mu          sync.Mutex
	incarnation string
	weights     string
	loading     int
	fence       uint64
	cache       *BlockCache
	events      []external.CacheEvent
	nextEvent   uint64
	streams     map[string]*engineStream
	running     int
	waiting     int
	faults      EngineFaults
	stats       EngineStats
	prefill     chan struct{}
	batch       chan struct{}
	store       *WeightStore
}

// EngineStats counts an engine's work.
type EngineStats struct {
	Started       int
	Finished      int
	Cancelled     int
	NeededTokens  int
	PrefillTokens int
	Generated     int
	Loads         int
	// LoadsDuringRuns sums the number of running requests at the start of each load.
	LoadsDuringRuns int
}

type engineStream struct {
	tokens  []external.Token
	changed chan struct{}
	cancel  context.CancelFunc
	ended   bool
}

// NewEngine returns an engine with loaded weights and an empty cache. It fetches other weights
// from the store.
func NewEngine(costs EngineCosts, weights string, store *WeightStore) *Engine {
	e := &Engine{costs: costs, weights: weights, store: store, cache: NewBlockCache(costs.CacheBlocks)}
	e.reset()
	return e
}

func (e *Engine) reset() {
	e.incarnation = uuid.NewString()
	e.cache.Clear()
	e.events = nil
	e.nextEvent = 1
	e.streams = map[string]*engineStream{}
	e.running = 0
	e.waiting = 0
	e.prefill = make(chan struct{}, 1)
	e.batch = make(chan struct{}, e.costs.MaxBatch)
}

// Crash cancels all streams and restarts the engine empty, as a new incarnation.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.cancel()
	}
	e.reset()
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Stats returns the current counts.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Generated returns the number of tokens generated so far.
func (e *Engine) Generated() int { return e.Stats().Generated }

// Weights returns the loaded weights.
func (e *Engine) Weights() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights
}

// TokenText returns the text of the output token with a sequence number. It depends only on the
// prompt and the number, so that any engine can resume an output with identical text.
func TokenText(prompt string, seq uint64) string {
	h := prefix.Chain(seq, prompt)
	return fmt.Sprintf("%s%d ", []string{"swell", "permit", "tide", "stall"}[h%4], h%1000)
}

// Transcript returns the complete output for a prompt.
func Transcript(prompt string, maxTokens int) string {
	var text string
	for seq := uint64(1); seq <= uint64(maxTokens); seq++ {
		text += TokenText(prompt, seq)
	}
	return text
}

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.serveGenerate)
	mux.HandleFunc("GET /v1/generate/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/generate/{id}", e.serveCancel)
	mux.HandleFunc("GET /v1/events", e.serveEvents)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("PUT /faults", serveFaults(e.SetFaults))
	mux.HandleFunc("PUT /crash", func(w http.ResponseWriter, _ *http.Request) { e.Crash() })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) })
	return mux
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	req := &external.GenerateRequest{}
	if err := json.NewDecoder(r.Body).Decode(req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if e.faults.Fail {
		e.mu.Unlock()
		http.Error(w, "engine fails", http.StatusInternalServerError)
		return
	}
	if req.Weights != e.weights || e.loading > 0 {
		e.mu.Unlock()
		http.Error(w, "wrong weights", http.StatusConflict)
		return
	}
	s, known := e.streams[req.RequestID]
	if !known {
		s = e.start(req)
	}
	e.mu.Unlock()
	e.streamTokens(w, r, s, req.From)
}

// start starts a run that is independent of its readers. The caller holds mu.
func (e *Engine) start(req *external.GenerateRequest) *engineStream {
	ctx, cancel := context.WithCancel(context.Background())
	s := &engineStream{changed: make(chan struct{}), cancel: cancel}
	e.streams[req.RequestID] = s
	e.stats.Started++
	e.waiting++
	go e.run(ctx, req, s, e.incarnation, e.prefill, e.batch)
	return s
}

// run executes a request: it waits for a batch slot, prefills and then decodes.
func (e *Engine) run(ctx context.Context, req *external.GenerateRequest, s *engineStream, incarnation string, prefill, batch chan struct{}) {
	if !acquireSlot(ctx, batch) {
		e.finish(s, req, incarnation, false)
		return
	}
	defer func() { <-batch }()
	cached, ok := e.runPrefill(ctx, req, prefill)
	if !ok {
		e.finish(s, req, incarnation, false)
		return
	}
	for seq := max(req.From, 1); seq <= uint64(req.MaxTokens); seq++ {
		if seq > 1 && !sleep.For(ctx, e.stepTime()) {
			e.finish(s, req, incarnation, false)
			return
		}
		e.emit(s, external.Token{Seq: seq, Text: TokenText(req.Prompt, seq), Incarnation: incarnation, CachedTokens: cached})
	}
	e.emit(s, external.Token{Seq: uint64(req.MaxTokens) + 1, End: true, FinishReason: "length", CachedTokens: cached, Incarnation: incarnation})
	e.finish(s, req, incarnation, true)
}

// acquireSlot waits for a slot and reports false if the context ended first.
func acquireSlot(ctx context.Context, slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// runPrefill prefills a request, updates the cache and returns the number of tokens that were
// cached.
func (e *Engine) runPrefill(ctx context.Context, req *external.GenerateRequest, prefill chan struct{}) (cached int, ok bool) {
	if !acquireSlot(ctx, prefill) {
		return 0, false
	}
	defer func() { <-prefill }()
	e.mu.Lock()
	e.waiting--
	e.running++
	cached = e.cache.Match(req.Blocks) * req.BlockTokens
	missing := max(req.PromptTokens-cached, 0)
	e.stats.NeededTokens += req.PromptTokens
	e.stats.PrefillTokens += missing
	stall := e.faults.Stall
	e.mu.Unlock()
	seconds := float64(missing) / e.costs.PrefillTokensPerSecond
	if !sleep.For(ctx, stall+time.Duration(seconds*float64(time.Second))) {
		return cached, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stored, removed := e.cache.Use(req.Blocks)
	e.publish(external.EventStored, stored)
	e.publish(external.EventRemoved, removed)
	return cached, true
}

// publish records a cache event, unless events are being dropped. The caller holds mu.
func (e *Engine) publish(kind external.EventKind, blocks []uint64) {
	if len(blocks) == 0 && kind != external.EventCleared {
		return
	}
	event := external.CacheEvent{Seq: e.nextEvent, Kind: kind, Blocks: blocks}
	e.nextEvent++
	if e.faults.LoseEvents {
		return
	}
	e.events = append(e.events, event)
}

// stepTime returns the time per token at the current batch size.
func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	peers := max(e.running-1, 0)
	return e.costs.DecodeStep + time.Duration(peers)*e.costs.DecodePerPeer
}

func (e *Engine) emit(s *engineStream, token external.Token) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.tokens = append(s.tokens, token)
	e.stats.Generated++
	close(s.changed)
	s.changed = make(chan struct{})
}

// finish ends a run; complete is set if it generated all its tokens.
func (e *Engine) finish(s *engineStream, req *external.GenerateRequest, incarnation string, complete bool) {
	s.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	s.ended = true
	close(s.changed)
	s.changed = make(chan struct{})
	if incarnation != e.incarnation {
		return
	}
	e.running = max(e.running-1, 0)
	if complete {
		e.stats.Finished++
	} else {
		e.stats.Cancelled++
	}
	time.AfterFunc(streamRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[req.RequestID] == s {
			delete(e.streams, req.RequestID)
		}
	})
}

// streamTokens sends a stream's tokens from a sequence number on and waits for further ones.
func (e *Engine) streamTokens(w http.ResponseWriter, r *http.Request, s *engineStream, from uint64) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	sent := 0
	enc := json.NewEncoder(w)
	for i := 0; ; {
		e.mu.Lock()
		tokens, changed, ended, faults := s.tokens[i:], s.changed, s.ended, e.faults
		e.mu.Unlock()
		for _, token := range tokens {
			i++
			if token.Seq < from {
				continue
			}
			if faults.CutAfter > 0 && sent >= faults.CutAfter {
				_ = flusher.Flush()
				panic(http.ErrAbortHandler)
			}
			sendToken(w, enc, token)
			if faults.Duplicate {
				sendToken(w, enc, token)
			}
			sent++
			_ = flusher.Flush() // each token in a chunk of its own, so that equal streams have equal lengths
		}
		_ = flusher.Flush()
		if len(tokens) > 0 && tokens[len(tokens)-1].End {
			return
		}
		if ended && len(tokens) == 0 {
			panic(http.ErrAbortHandler)
		}
		if ended {
			continue
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func sendToken(w http.ResponseWriter, enc *json.Encoder, token external.Token) {
	_, _ = w.Write([]byte("data: "))
	_ = enc.Encode(token)
	_, _ = w.Write([]byte("\n"))
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	e.streamTokens(w, r, s, from)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if ok {
		s.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	page := external.EventPage{Incarnation: e.incarnation, First: 1, Next: e.nextEvent, Events: []external.CacheEvent{}}
	for _, event := range e.events {
		if event.Seq >= from {
			page.Events = append(page.Events, event)
		}
	}
	writeJSON(w, page)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := external.EngineStatus{
		Incarnation: e.incarnation, Weights: e.weights, Loading: e.loading > 0,
		Running: e.running, Waiting: e.waiting,
	}
	writeJSON(w, load)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order external.LoadOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if order.Fence < e.fence && !e.faults.IgnoreFence {
		e.mu.Unlock()
		http.Error(w, "stale fence", http.StatusPreconditionFailed)
		return
	}
	e.fence = max(e.fence, order.Fence)
	e.loading++
	e.stats.Loads++
	e.stats.LoadsDuringRuns += e.running
	e.mu.Unlock()
	e.store.Fetch(e.costs.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading--
	e.weights = order.Weights
	e.cache.Clear()
	e.publish(external.EventCleared, nil)
	w.WriteHeader(http.StatusNoContent)
}
