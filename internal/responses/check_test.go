package responses_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/gateway/upstream/brokentest"
	"github.com/toucanwell/toucanwell/internal/responses"
)

// Guards against a connection that is reused after a malformed response without a body: the next call would get what
// follows.
func TestConnectionIsNotReusedAfterMalformedHead(t *testing.T) {
	const calls = 3
	for _, head := range []string{"HTTP/1.1 000 X\r\n", "HTTP/1.1 200 OK\r\nX Name: x\r\n"} {
		server := brokentest.Start(t, brokentest.Response{Text: head + "Content-Length: 0\r\n\r\n"})
		client := &http.Client{Transport: responses.Checked(&http.Transport{}), Timeout: 5 * time.Second}
		for range calls {
			resp, err := client.Get("http://" + server.Address.String())
			if err == nil {
				resp.Body.Close()
			}
			if !errors.Is(err, responses.ErrMalformedHead) {
				t.Errorf("%q: error %v", head, err)
			}
		}
		if n := server.Responses(); n != calls {
			t.Errorf("%q: %d connections for %d calls", head, n, calls)
		}
	}
}
