package forward

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/buffers"
	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
)

// maxEndless bounds what a target of these tests sends, for the sake of the machine.
const maxEndless = 16 << 20

// writeEndless writes until the connection is closed.
func writeEndless(w io.Writer, text string) {
	burst := bytes.Repeat([]byte(text), 32<<10/len(text))
	for sent := 0; sent < maxEndless; sent += len(burst) {
		if _, err := w.Write(burst); err != nil {
			return
		}
	}
}

// Guards against targets that answer without end: the events and bodies that are buffered for tens of
// requests fill the memory, and other requests fail with them.
func TestEndlessResponsesDoNotFillMemory(t *testing.T) {
	// An entry may have 112 MB, of which large responses get a sixteenth; it may grow by half of it.
	const concurrent, budget, maxGrowth = 100, 7 << 20, 56 << 20
	var tg *fakeTarget
	tg = startTarget(t, "i1", func(w io.Writer, r *http.Request, _ string) bool {
		sealed := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\n", wiretest.ID, r.Header.Get(wiretest.ID), wiretest.Seal)
		switch {
		case strings.HasSuffix(r.RequestURI, "event"):
			fmt.Fprint(w, sealed+"\r\nid: 1\ndata: ")
			writeEndless(w, "x")
		case strings.HasSuffix(r.RequestURI, "body"):
			fmt.Fprint(w, sealed+"\r\n")
			writeEndless(w, "x")
		default:
			return tg.writeSealed(w, r, http.StatusOK, strings.Repeat("x", 20_000))
		}
		return false
	})
	env := newTestEnv(t, tg)
	env.Buffers = buffers.NewBudget(budget)
	heap := func() int64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	before := heap()
	var requests sync.WaitGroup
	ended := make(chan struct{})
	for i := range concurrent {
		requests.Go(func() {
			path := []string{"/stream/event", "/once/body"}[i%2]
			req, err := http.NewRequest(http.MethodPost, env.server.URL+path, nil)
			if err != nil {
				t.Error(err)
				return
			}
			req.Host = host
			req.Header = http.Header{wiretest.ID: {fmt.Sprint("r", i)}, wiretest.Key: {"town-key"}, wiretest.TimeLeft: {"2s"}}
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			if n, err := io.Copy(io.Discard, resp.Body); resp.StatusCode == http.StatusOK && path == "/stream/event" {
				t.Errorf("an endless event was relayed: %d bytes, error %v", n, err)
			}
		})
	}
	go func() { requests.Wait(); close(ended) }()
	most, served := before, 0
	for running := true; running; {
		select {
		case <-ended:
			running = false
		case <-time.After(10 * time.Millisecond):
		}
		most = max(most, heap())
		if resp, body, err := env.post(t, "/again/x", ""); err != nil || resp.StatusCode != http.StatusOK || len(body) != 20_000 {
			t.Errorf("another request: %v, error %v", resp, err)
		}
		served++
	}
	if grown := most - before; grown > maxGrowth {
		t.Errorf("the heap grew by %d bytes, want at most %d; %d other requests", grown, maxGrowth, served)
	}
}
