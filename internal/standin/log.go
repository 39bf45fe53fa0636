// Package standin holds small stand-ins for what the platform gives: the log,
// the host list, engines and plain services. Each serves HTTP as package
// platform speaks it and can be told to misbehave.
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

// LogFaults are the ways a log misbehaves.
type LogFaults struct {
	// Down refuses every call with 503 before any effect.
	Down bool
	// LoseAnswers makes appends take effect and then breaks the connection.
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

// TrimTo drops the records of a stream below an offset, like retention does.
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

// AppendNow appends without the network.
func (l *Log) AppendRecord(stream string, data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	offset := s.next()
	s.records = append(s.records, external.Record{Offset: offset, UnixMs: time.Now().UnixMilli(), Data: data})
	return offset
}

// ReadNow reads without the network.
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

// Handler serves the log over HTTP.
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

// refuse applies the delay and reports whether the call was refused.
func (l *Log) refuse(w http.ResponseWriter) bool {
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
	if l.refuse(w) {
		return
	}
	offset := l.AppendRecord(r.PathValue("stream"), data)
	if l.currentFaults().LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]uint64{"offset": offset})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	if l.refuse(w) {
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

// serveFaults lets a test set faults over HTTP, for stand-ins that run as
// processes of their own.
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

// Hosts is a host list.
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

// Reads counts how often the list was read.
func (h *Hosts) Reads() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reads
}

// Handler serves the list over HTTP.
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
