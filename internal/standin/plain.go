package standin

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// Plain is a plain HTTP service that counts the runs of each idempotency key.
type Plain struct {
	mu     sync.Mutex
	runs   map[string]int
	faults PlainFaults
}

// PlainFaults are the faults that a plain service can simulate.
type PlainFaults struct {
	// Fail responds with status 500 without running the call.
	Fail bool
	// LoseAnswers runs the call and then closes the connection without a response.
	LoseAnswers bool
	// Delay is the time between the run and the response.
	Delay time.Duration
}

// NewPlain returns a plain service that has run no calls.
func NewPlain() *Plain { return &Plain{runs: map[string]int{}} }

// SetFaults replaces the faults.
func (p *Plain) SetFaults(f PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Runs returns the number of runs by idempotency key.
func (p *Plain) Runs() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := make(map[string]int, len(p.runs))
	for k, n := range p.runs {
		runs[k] = n
	}
	return runs
}

// Handler returns the HTTP handler of the service.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", serveFaults(p.SetFaults))
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Runs()) })
	mux.HandleFunc("POST /", p.serveCall)
	return mux
}

func (p *Plain) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	faults := p.faults
	key := r.Header.Get("Idempotency-Key")
	if !faults.Fail && key != "" {
		p.runs[key]++
	}
	p.mu.Unlock()
	if faults.Fail {
		http.Error(w, "service fails", http.StatusInternalServerError)
		return
	}
	time.Sleep(faults.Delay)
	if faults.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write([]byte("done: "))
	_, _ = w.Write(body)
}
