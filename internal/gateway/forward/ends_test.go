package forward

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
)

// sendEnd is a way in which one send of a request ends at a target.
type sendEnd struct {
	name string
	// ran is set if the target may have run the request.
	ran bool
	// write writes the response and reports whether the connection stays open.
	write func(tg *fakeTarget, w io.Writer, r *http.Request) bool
}

func answers(status int) sendEnd {
	return sendEnd{fmt.Sprintf("answers %d", status), true, func(tg *fakeTarget, w io.Writer, r *http.Request) bool {
		return tg.writeSealed(w, r, status, "own")
	}}
}

func refuses(status int) sendEnd {
	return sendEnd{fmt.Sprintf("refuses with %d", status), false, func(tg *fakeTarget, w io.Writer, r *http.Request) bool {
		return tg.writeNotRun(w, r, status)
	}}
}

// sendEnds are the ends that PROTOCOL allows and the faults of targets.
var sendEnds = []sendEnd{
	{"serves", true, func(tg *fakeTarget, w io.Writer, r *http.Request) bool {
		if !strings.HasPrefix(r.URL.Path, "/stream/") && !strings.HasPrefix(r.URL.Path, "/resume/") {
			return tg.writeSealed(w, r, http.StatusOK, "fine")
		}
		tg.writeStreamHead(w, r)
		writeChunk(w, event(1))
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}},
	answers(http.StatusInternalServerError), answers(http.StatusGatewayTimeout), answers(http.StatusServiceUnavailable),
	answers(http.StatusTooManyRequests), answers(http.StatusRequestTimeout),
	refuses(http.StatusServiceUnavailable), refuses(http.StatusTooManyRequests), refuses(http.StatusMisdirectedRequest),
	{"closes", true, func(*fakeTarget, io.Writer, *http.Request) bool { return false }},
	{"cuts its answer", true, func(_ *fakeTarget, w io.Writer, r *http.Request) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 20\r\n\r\nok", wiretest.ID, r.Header.Get(wiretest.ID), wiretest.Seal)
		return false
	}},
	{"cuts its stream", true, func(tg *fakeTarget, w io.Writer, r *http.Request) bool {
		tg.writeStreamHead(w, r)
		writeChunk(w, event(1))
		writeChunk(w, "id: 2\nda")
		return false
	}},
	{"sends garbage", true, func(_ *fakeTarget, w io.Writer, _ *http.Request) bool {
		_, _ = io.WriteString(w, "\x00\x01garbage\r\n\r\n")
		return false
	}},
}

// promisesNotRun reports whether a status tells the caller that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Over every pair of ends that the first two sends of a request can take: a refusal that promises that
// the request did not run must be true, and a request that may not be repeated must run once at most.
func TestRefusalsAreTrueOverAllEnds(t *testing.T) {
	var plan [2]sendEnd
	var sends, ran atomic.Int32
	var id atomic.Value // of the request that is played
	id.Store("")
	handle := func(self **fakeTarget) func(io.Writer, *http.Request, string) bool {
		return func(w io.Writer, r *http.Request, _ string) bool {
			if r.Header.Get(wiretest.ID) != id.Load() {
				return false // a send of an earlier request that was given up and arrives late
			}
			end := plan[min(int(sends.Add(1))-1, 1)]
			if end.ran {
				ran.Add(1)
			}
			return end.write(*self, w, r)
		}
	}
	targets := make([]*fakeTarget, 4)
	for i := range targets {
		targets[i] = startTarget(t, fmt.Sprintf("t%d", i), handle(&targets[i]))
	}
	for _, first := range sendEnds {
		for _, second := range sendEnds {
			plan = [2]sendEnd{first, second}
			for _, route := range []string{"/once/x", "/again/x", "/stream/x", "/resume/x"} {
				id.Store(fmt.Sprintf("%s, %s, %s", route, first.name, second.name))
				sends.Store(0)
				ran.Store(0)
				env := newTestEnv(t, targets...)
				resp, _, err := env.post(t, route, "order", wiretest.ID, id.Load().(string))
				runs := int(ran.Load())
				if err == nil && promisesNotRun(resp.StatusCode) && runs > 0 {
					t.Errorf("%s: first %s, then %s: status %d although the request ran %d times", route, first.name, second.name, resp.StatusCode, runs)
				}
				if repeatable := route == "/again/x" || route == "/resume/x"; !repeatable && runs > 1 {
					t.Errorf("%s: first %s, then %s: ran %d times", route, first.name, second.name, runs)
				}
			}
		}
	}
}
