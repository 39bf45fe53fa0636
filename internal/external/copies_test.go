package external

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/gateway/upstream/copytest"
)

func startCopying(t testing.TB, respond func(r *http.Request, body []byte) copytest.Response) (base string, client *http.Client) {
	t.Helper()
	client = NewHTTPClient()
	t.Cleanup(client.CloseIdleConnections)
	return copytest.Start(t, respond).URL(), client
}

// firstToken resumes a run and returns its first token.
func firstToken(t *testing.T, engine *HTTPEngine, id string) (token Token, err error) {
	t.Helper()
	err = copytest.Do(func() error {
		stream, err := engine.Resume(t.Context(), id, 1)
		if err != nil {
			return err
		}
		defer stream.Close()
		token, err = stream.Next()
		return err
	})
	return token, err
}

// Guards against a run that starts again elsewhere while it is under way, or goes on with the text of another run, because
// the response to an earlier question for a run is read as the one to this.
func TestResumedRunIsNotThatOfAnEarlierCall(t *testing.T) {
	base, client := startCopying(t, func(r *http.Request, _ []byte) copytest.Response {
		id := strings.TrimPrefix(r.URL.Path, "/v1/generate/")
		if strings.HasPrefix(id, "unknown") {
			return copytest.Response{Status: http.StatusNotFound}
		}
		return copytest.Response{Status: http.StatusOK, Body: fmt.Sprintf("data: {\"seq\":1,\"text\":%q,\"end\":true}\n\n", id)}
	})
	engine := NewHTTPEngine(base, client)
	for n := range 3 {
		if _, err := firstToken(t, engine, fmt.Sprint("unknown-", n)); !errors.Is(err, ErrUnknownStream) {
			t.Errorf("an unknown run: error %v", err)
		}
		for _, id := range []string{fmt.Sprint("a-", n), fmt.Sprint("b-", n)} {
			if token, err := firstToken(t, engine, id); err != nil || token.Text != id {
				t.Errorf("run %s goes on with %+v, error %v", id, token, err)
			}
		}
	}
}

// Guards against an order of weights, or the end of a run, that counts as done because an earlier one was, and as refused
// because an earlier one was.
func TestOutcomeOfAnOrderIsNotThatOfAnEarlierCall(t *testing.T) {
	for _, refuses := range []bool{true, false} {
		base, client := startCopying(t, func(_ *http.Request, _ []byte) copytest.Response {
			refuses = !refuses
			if refuses {
				return copytest.Response{Status: http.StatusPreconditionFailed}
			}
			return copytest.Response{Status: http.StatusOK}
		})
		engine := NewHTTPEngine(base, client)
		wantError := refuses
		for n := range 4 {
			wantError = !wantError
			err := copytest.Do(func() error { return engine.LoadWeights(t.Context(), LoadOrder{}) })
			if errors.Is(err, ErrStaleFence) != wantError {
				t.Errorf("order %d: refused %t, error %v", n, wantError, err)
			}
		}
		for n := range 4 {
			wantError = !wantError
			err := copytest.Do(func() error { return engine.Cancel(t.Context(), "r") })
			if (err != nil) != wantError {
				t.Errorf("cancelled run %d: refused %t, error %v", n, wantError, err)
			}
		}
	}
}

// Guards against an engine that has its weights and is ordered to load them again, because a page of its events, or a
// status from before the order, is read as its status.
func TestStatusIsNotTheResponseToAnEarlierCall(t *testing.T) {
	weights := "old"
	base, client := startCopying(t, func(r *http.Request, _ []byte) copytest.Response {
		switch r.URL.Path {
		case "/v1/events":
			return copytest.Response{Status: http.StatusOK, Body: `{"incarnation":"i"}`}
		case "/v1/orders":
			weights = "new"
			return copytest.Response{Status: http.StatusOK, Once: true}
		default:
			return copytest.Response{Status: http.StatusOK, Body: fmt.Sprintf(`{"incarnation":"i","weights":%q}`, weights)}
		}
	})
	engine := NewHTTPEngine(base, client)
	check := func(after, want string) {
		t.Helper()
		var status *EngineStatus
		err := copytest.Do(func() (err error) {
			status, err = engine.Status(t.Context())
			return err
		})
		if err != nil || status.Weights != want {
			t.Errorf("after %s: %+v, error %v; want the weights %q", after, status, err, want)
		}
	}
	if _, err := engine.Events(t.Context(), 0); err != nil {
		t.Error(err)
	}
	check("a page of events", "old")
	check("a status", "old")
	weights = "newer"
	check("a load", "newer")
	if err := copytest.Do(func() error { return engine.LoadWeights(t.Context(), LoadOrder{}) }); err != nil {
		t.Error(err)
	}
	check("an order", "new")
}

// Guards against a call that runs twice because the page of another stream of the log is read as one of its claims, against
// claims that count as read back when they are not, and against hosts that count as removed.
func TestLogAndHostsAreNotReadFromEarlierResponses(t *testing.T) {
	end := uint64(0)
	base, client := startCopying(t, func(r *http.Request, _ []byte) copytest.Response {
		switch {
		case r.URL.Path == "/hosts":
			return copytest.Response{Status: http.StatusOK, Body: `{"hosts":[{"name":"h","state":"live"}]}`}
		case r.Method == http.MethodPost:
			end++
			return copytest.Response{Status: http.StatusOK, Body: fmt.Sprintf(`{"offset":%d}`, end)}
		case strings.Contains(r.URL.Path, "/long/"):
			return copytest.Response{Status: http.StatusOK, Body: `{"first":900,"next":1000}`}
		default:
			return copytest.Response{Status: http.StatusOK, Body: `{"first":1,"next":3}`}
		}
	})
	log, hosts := NewHTTPLog(base, client), NewHTTPHosts(base, client)
	appendOne := func(want uint64) {
		t.Helper()
		var offset uint64
		err := copytest.Do(func() (err error) { offset, err = log.Append(t.Context(), "s", nil); return err })
		if err != nil || offset != want {
			t.Errorf("append %d: offset %d, error %v", want, offset, err)
		}
	}
	for n := range uint64(3) {
		appendOne(2*n + 1)
		appendOne(2*n + 2)
		for stream, want := range map[string]Page{"long": {First: 900, Next: 1000}, "short": {First: 1, Next: 3}} {
			var page *Page
			err := copytest.Do(func() (err error) { page, err = log.Read(t.Context(), stream, 1); return err })
			if err != nil || page.First != want.First || page.Next != want.Next {
				t.Errorf("%s: %+v, error %v", stream, page, err)
			}
		}
		var listed []Host
		err := copytest.Do(func() (err error) { listed, err = hosts.List(t.Context()); return err })
		if err != nil || len(listed) != 1 {
			t.Errorf("hosts %v, error %v", listed, err)
		}
	}
}

func BenchmarkLogAppend(b *testing.B) {
	server := copytest.Start(b, func(*http.Request, []byte) copytest.Response {
		return copytest.Response{Status: http.StatusOK, Body: `{"offset":1}`, Once: true}
	})
	client := NewHTTPClient()
	defer client.CloseIdleConnections()
	for name, c := range map[string]*http.Client{"kept": client, "own": withoutReuse(client)} {
		b.Run(name, func(b *testing.B) {
			log := &HTTPLog{jsonClient{server.URL(), c}}
			for b.Loop() {
				if _, err := log.Append(b.Context(), "s", nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
