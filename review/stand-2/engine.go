package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	modelName = "m0"
	// loadTime is how long new weights take an engine while at most freeLoads engines load.
	loadTime  = 430 * time.Millisecond
	freeLoads = 2
	// heartbeatPeriod is the time between two writes of a server's entry.
	heartbeatPeriod = 1200 * time.Millisecond
	engineSlots     = 64
	engineQueue     = 192
	// queuePeriod is how often a queued request looks for a free slot.
	queuePeriod  = 2 * time.Millisecond
	memoryTokens = 260975
)

// order is an order that reached an engine.
type order struct {
	at      time.Time
	engine  string
	holder  string
	token   uint64
	version int64
	status  int
}

// use is the use of a cached part by a request.
type use struct {
	at                     time.Time
	engine, part           string
	maker, user, requestID string
}

// engines are the model engines of a deployment.
type engines struct {
	d       *deployment
	mu      sync.Mutex
	all     []*engine
	orders  []order
	uses    []use
	loading int
	// events and interval are the length of each stream and the time between its events.
	events   int
	interval time.Duration
}

// engine plays a model engine. It is guarded by the mutex of its engines.
type engine struct {
	*engines
	id      string
	address string
	server  *http.Server
	stop    chan struct{}
	version int64
	accepts int64
	busy    bool
	running int
	queued  int
	beats   int64
	// cached holds the workspace that made each cached part, by scope and part.
	cached  map[[2]string]string
	changes [][]any
	// runs holds the runs of the engine.
	runs []engineRun
}

// engineRun is a run of a request on a version of the weights.
type engineRun struct {
	at        time.Time
	requestID string
	version   int64
}

func (d *deployment) startEngines(n, events int, interval time.Duration) (*engines, error) {
	group := &engines{d: d, events: events, interval: interval}
	for i := range n {
		e := &engine{engines: group, id: fmt.Sprintf("i-engine-%d", i+1), address: fmt.Sprintf("%s:%d", hostIP(firstSidecar+i), enginePort), stop: make(chan struct{}), version: 1, cached: map[[2]string]string{}}
		listener, err := net.Listen("tcp", e.address)
		if err != nil {
			return nil, err
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET "+names["path_report"], e.report)
		mux.HandleFunc("POST "+names["path_order"], e.order)
		mux.HandleFunc("GET "+names["path_events"], e.listEvents)
		mux.HandleFunc("GET "+names["path_list"], e.listCached)
		mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(names["instance_id"], e.id) })
		mux.HandleFunc("/", e.serve)
		e.server = &http.Server{Handler: mux}
		go func() { _ = e.server.Serve(listener) }()
		go e.beat()
		group.all = append(group.all, e)
		d.servers = append(d.servers, e)
	}
	return group, nil
}

func (e *engine) close() {
	close(e.stop)
	_ = e.server.Close()
}

func (e *engine) models() []map[string]any {
	return []map[string]any{{"Name": modelName, "Version": e.version, "Adapters": []string{}}}
}

func (e *engine) writeEntry() {
	e.mu.Lock()
	e.beats++
	entry := map[string]any{
		"Service": "engines", "Address": e.address, "Zone": "a", "Version": "v1", names["slots"]: engineSlots, "State": "ready",
		names["cold"]: 0, "Sequence": e.beats, "Stage": "unified", "Models": e.models(),
	}
	e.mu.Unlock()
	e.d.store.PutJSON(names["topic_targets"], e.id, entry)
}

func (e *engine) beat() {
	for {
		e.writeEntry()
		select {
		case <-time.After(heartbeatPeriod):
		case <-e.stop:
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"Stage": "unified", "State": "ready", "Models": e.models(), "Busy": e.busy, "Sequence": e.accepts, "Queued": e.queued, "Running": e.running,
		names["memory_used"]: 0, names["memory_total"]: memoryTokens, "Handles": 0,
	})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var fields map[string]json.RawMessage
	var o order
	var expect *int64
	err := json.NewDecoder(r.Body).Decode(&fields)
	for name, to := range map[string]any{"Holder": &o.holder, names["token"]: &o.token, "Version": &o.version, "Expect": &expect} {
		if raw, ok := fields[name]; ok && err == nil {
			err = json.Unmarshal(raw, to)
		}
	}
	if err != nil || o.holder == "" || o.token == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	o.at, o.engine = time.Now(), e.id
	expected := r.Header.Get(names["expect_instance"])
	switch {
	case expected != "" && expected != e.id:
		o.status = http.StatusMisdirectedRequest
	case e.busy || expect != nil && *expect != e.accepts:
		o.status = http.StatusConflict
	case o.version == e.version:
		o.status = http.StatusOK
	default:
		o.status = http.StatusAccepted
		e.load(o.version)
	}
	e.orders = append(e.orders, o)
	e.d.rec.event("%s: order of %s, token %d, version %d: %d", e.id, o.holder, o.token, o.version, o.status)
	w.WriteHeader(o.status)
}

// load loads a version. The caller holds the mutex.
func (e *engine) load(version int64) {
	e.busy = true
	e.accepts++
	e.loading++
	took := loadTime * time.Duration(max(e.loading, freeLoads)) / freeLoads
	time.AfterFunc(took, func() {
		e.mu.Lock()
		e.version, e.busy = version, false
		e.loading--
		for key := range e.cached {
			e.change("-", key, 0)
		}
		clear(e.cached)
		e.mu.Unlock()
		e.writeEntry()
	})
}

// change adds an event of the cache. The caller holds the mutex.
func (e *engine) change(sign string, key [2]string, tokens int) {
	e.changes = append(e.changes, []any{len(e.changes) + 1, sign, key[0], key[1], tokens, modelName})
}

func (e *engine) listEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("Since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		e.mu.Lock()
		newest := len(e.changes)
		rows := append([][]any{}, e.changes[min(since, newest):]...)
		e.mu.Unlock()
		if len(rows) > 0 || time.Now().After(deadline) {
			reply(w, http.StatusOK, map[string]any{"BootEpoch": 1, "NextPageToken": newest, "Lost": false, "Events": rows})
			return
		}
		time.Sleep(probePeriod)
	}
}

func (e *engine) listCached(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := [][]any{}
	for key := range e.cached {
		held = append(held, []any{key[0], key[1], 1, modelName})
	}
	reply(w, http.StatusOK, map[string]any{"BootEpoch": 1, "NextPageToken": len(e.changes), "Held": held})
}

// admit begins a run, or responds that it did not run. It notes which cached parts the run uses.
func (e *engine) admit(w http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(names["request_id"], r.Header.Get(names["request_id"]))
	expected, version := r.Header.Get(names["expect_instance"]), r.Header.Get(names["expect_version"])
	if expected != "" && expected != e.id || version != "" && version != strconv.FormatInt(e.version, 10) {
		w.Header().Set(names["not_run"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	for queued := false; e.busy || e.running >= engineSlots; queued = true {
		if e.busy || !queued && e.queued >= engineQueue || r.Context().Err() != nil {
			w.Header().Set(names["not_run"], "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return false
		}
		e.queued++
		e.mu.Unlock()
		time.Sleep(queuePeriod)
		e.mu.Lock()
		e.queued--
	}
	e.running++
	e.runs = append(e.runs, engineRun{time.Now(), r.Header.Get(names["request_id"]), e.version})
	e.cacheParts(r)
	w.Header().Set(names["seal"], "seal."+e.id)
	return true
}

// cacheParts notes the cached parts that a run uses, up to the first one that is not cached, and caches the
// others for it. The caller holds the mutex.
func (e *engine) cacheParts(r *http.Request) {
	user, scope, id := r.Header.Get(names["workspace"]), r.Header.Get(names["scope"]), r.Header.Get(names["request_id"])
	cached := true
	for _, field := range strings.Split(r.Header.Get(names["parts"]), ",") {
		part, size, _ := strings.Cut(field, ":")
		key := [2]string{scope, part}
		maker, ok := e.cached[key]
		if cached = cached && ok; cached {
			e.uses = append(e.uses, use{time.Now(), e.id, part, maker, user, id})
			e.d.rec.event("%s: request %s of %s uses part %s, made by a request of %s; scope %q", e.id, id, user, part, maker, scope)
			continue
		}
		if ok {
			continue
		}
		tokens, _ := strconv.Atoi(size)
		e.cached[key] = user
		e.change("+", key, tokens)
		e.d.rec.event("%s: request %s of %s makes part %s; scope %q", e.id, id, user, part, scope)
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !e.admit(w, r) {
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for n := 1; n <= e.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, "licence"); err != nil {
			return
		}
		_ = controller.Flush()
		select {
		case <-time.After(e.interval):
		case <-r.Context().Done():
			return
		}
	}
}
