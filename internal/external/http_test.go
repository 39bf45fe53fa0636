package external

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against a target's time of rest that is dropped on the way to its gate, or taken from a
// response that turns nothing away.
func TestRetryAfterOfATargetIsDecoded(t *testing.T) {
	for _, c := range []struct {
		status int
		after  string
		want   time.Duration
	}{
		{http.StatusServiceUnavailable, "3", 3 * time.Second},
		{http.StatusTooManyRequests, "1", time.Second},
		{http.StatusServiceUnavailable, "soon", 0},
		{http.StatusInternalServerError, "3", 0},
		{http.StatusOK, "3", 0},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", c.after)
			w.WriteHeader(c.status)
		}))
		client := NewHTTPClient()
		resp, err := NewHTTPPlain(server.URL, client).Call(t.Context(), &PlainRequest{Path: "/x", Timeout: time.Second})
		if err != nil || resp.RetryAfter != c.want {
			t.Errorf("plain call, %d %q: %+v, %v", c.status, c.after, resp, err)
		}
		_, err = NewHTTPEngine(server.URL, client).Generate(t.Context(), &GenerateRequest{})
		if got := RetryAfter(err); got != c.want {
			t.Errorf("generate, %d %q: %v from %v", c.status, c.after, got, err)
		}
		client.CloseIdleConnections()
		server.Close()
	}
}
