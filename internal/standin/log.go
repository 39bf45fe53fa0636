// Package standin provides in-memory stand-ins for the platform's services: the log, the host
// list, engines and plain services. Each serves the protocol of package external over HTTP and
// can simulate faults.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/external"
)

const maxRecordBytes = 4 << 20

// Log is an in-memory append-only log.
type Log struct {
	mu      sync.Mutex
	streams map[string]*logStream
	faults  LogFaults
}

// LogFaults are the faults that a log can simulate.
type LogFaults struct {
	// Down rejects every call with status 503 before it takes effect.
	Down bool
	// LoseAnswers applies appends and then closes the connection without a response.
	LoseAnswers bool
	// Delay is added to every call.
	Delay time.Duration
}

type logStream struct {
	first   uint64
	records []external.Record
}

func (s *logStream) next() uint64 { return s.first + uint64(len(s.records)) }

// NewLog returns an empty log. Offsets start at 1.
func NewLog() *Log { return &Log{streams: map[string]*logStream{}} }

// SetFaults replaces the faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// TrimTo removes the records of a stream below an offset, as retention does.
func (l *Log) TrimTo(stream string, offset uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	for s.first < offset && len(s.records) > 0 {
		s.records = s.records[1:]
		s.first++
	}
}

func (l *Log) stream(name string) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{first: 1}
		l.streams[name] = s
	}
	return s
}

// AppendRecord appends a record directly and returns its offset.
func (l *Log) AppendRecord(stream string, data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	offset := s.next()
	s.records = append(s.records, external.Record{Offset: offset, UnixMs: time.Now().UnixMilli(), Data: data})
	return offset
}

// ReadPage reads the records from an offset on directly.
func (l *Log) ReadPage(stream string, from uint64) *external.Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	page := &external.Page{First: s.first, Next: s.next(), Records: []external.Record{}}
	for _, r := range s.records {
		if r.Offset >= from {
			page.Records = append(page.Records, r)
		}
	}
	return page
}

// Handler returns the HTTP handler of the log.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", l.serveRead)
	mux.HandleFunc("PUT /faults", serveFaults(l.SetFaults))
	return mux
}

func (l *Log) currentFaults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// failIfDown applies the configured delay and reports whether it rejected the call.
func (l *Log) failIfDown(w http.ResponseWriter) bool {
	f := l.currentFaults()
	time.Sleep(f.Delay)
	if f.Down {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
	}
	return f.Down
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if l.failIfDown(w) {
		return
	}
	offset := l.AppendRecord(r.PathValue("stream"), data)
	if l.currentFaults().LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]uint64{"offset": offset})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	if l.failIfDown(w) {
		return
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, l.ReadPage(r.PathValue("stream"), from))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// serveFaults returns a handler that sets faults, for stand-ins in a separate process.
func serveFaults[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f T
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

// Hosts is the platform's list of hosts.
type Hosts struct {
	mu    sync.Mutex
	hosts []external.Host
	reads int
}

// NewHosts returns an empty list.
func NewHosts() *Hosts { return &Hosts{} }

// Set replaces the list.
func (h *Hosts) Set(hosts []external.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hosts = hosts
}

// Reads returns how often the list was read.
func (h *Hosts) Reads() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reads
}

// Handler returns the HTTP handler of the list.
func (h *Hosts) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.reads++
		writeJSON(w, map[string][]external.Host{"hosts": h.hosts})
	})
	mux.HandleFunc("PUT /hosts", serveFaults(h.Set))
	return mux
}
