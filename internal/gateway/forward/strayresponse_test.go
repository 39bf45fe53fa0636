package forward

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
)

// Guards against a response without an ID that is taken for the answer to a request, on routes of all
// kinds: the request would run again, or its caller be told that it did not run.
func TestResponsesWithoutIDAreSkipped(t *testing.T) {
	strays := map[string]string{
		"503, not run": "HTTP/1.1 503 X\r\n" + wiretest.NotRun + ": 1\r\nContent-Length: 0\r\n\r\n",
		"421":          "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
		"500":          "HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\noops",
		"200":          "HTTP/1.1 200 X\r\n" + wiretest.Seal + ": s\r\nContent-Length: 4\r\n\r\nfine",
	}
	for name, stray := range strays {
		for _, route := range []string{"/once/x", "/again/x", "/stream/x", "/resume/x"} {
			targets := make([]*fakeTarget, 2)
			for i := range targets {
				targets[i] = startTarget(t, fmt.Sprintf("t%d", i), func(w io.Writer, r *http.Request, _ string) bool {
					_, _ = io.WriteString(w, stray)
					if r.URL.Path == "/once/x" || r.URL.Path == "/again/x" {
						return targets[i].writeSealed(w, r, http.StatusOK, "own")
					}
					targets[i].writeStreamHead(w, r)
					writeChunk(w, event(1))
					_, _ = io.WriteString(w, "0\r\n\r\n")
					return true
				})
			}
			env := newTestEnv(t, targets...)
			resp, body, err := env.post(t, route, "order")
			if runs := targets[0].runs.Load() + targets[1].runs.Load(); err != nil || resp.StatusCode != http.StatusOK || body != "own" && body != event(1) || runs != 1 {
				t.Errorf("%s on %s: response %v, body %q, error %v, %d runs", name, route, resp, body, err, runs)
			}
		}
	}
}

// Guards against a request without an ID that gets a response to no request: nothing tells it from its
// own, so that its connection must have carried no other.
func TestRequestWithoutIDHasItsOwnConnection(t *testing.T) {
	var tg *fakeTarget
	tg = startTarget(t, "t", func(w io.Writer, r *http.Request, _ string) bool {
		if r.Header.Get(wiretest.ID) != "" {
			return tg.writeSealed(w, r, http.StatusOK, "own")
		}
		fmt.Fprintf(w, "HTTP/1.1 400 X\r\n%s: 1\r\n%s: s\r\nContent-Length: 0\r\n\r\n", wiretest.NotRun, wiretest.Seal)
		return true
	})
	env := newTestEnv(t, tg)
	for i, id := range []string{"r1", "", "r2"} {
		want := http.StatusOK
		if id == "" {
			want = http.StatusBadRequest
		}
		if resp, _, err := env.post(t, "/once/x", "", wiretest.ID, id); err != nil || resp.StatusCode != want {
			t.Errorf("request %d: response %v, error %v", i, resp, err)
		}
	}
	if n := tg.accepted.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// Guards against requests that wait again and again at an address where something else than a target answers.
func TestForeignResponderIsRested(t *testing.T) {
	foreign := startTarget(t, "foreign", func(w io.Writer, _ *http.Request, _ string) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	var sound *fakeTarget
	sound = startTarget(t, "sound", func(w io.Writer, r *http.Request, _ string) bool {
		return sound.writeSealed(w, r, http.StatusOK, "own")
	})
	env := newTestEnv(t, foreign, sound)
	const requests = 40
	failed := 0
	for range requests {
		if resp, _, err := env.post(t, "/once/x", "order", wiretest.TimeLeft, "100ms"); err != nil || resp.StatusCode != http.StatusOK {
			failed++
		}
	}
	if failed > 1 || foreign.runs.Load() > 1 {
		t.Errorf("%d of %d requests failed, %d were sent to the foreign responder", failed, requests, foreign.runs.Load())
	}
}
