package forward

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
)

// Guards against a request that may run once and is sent again because its target is slow.
func TestSlowRequestThatMayRunOnceIsNotHedged(t *testing.T) {
	for _, route := range []string{"/once/x", "/stream/x"} {
		hang := func(_ io.Writer, r *http.Request, _ string) bool {
			<-time.After(250 * time.Millisecond)
			return false
		}
		a, b := startTarget(t, "a", hang), startTarget(t, "b", hang)
		env := newTestEnv(t, a, b)
		resp, _, err := env.post(t, route, "file", wiretest.TimeLeft, "200ms")
		if err != nil || promisesNotRun(resp.StatusCode) {
			t.Errorf("%s: response %v, error %v", route, resp, err)
		}
		if runs := a.runs.Load() + b.runs.Load(); runs != 1 {
			t.Errorf("%s was sent %d times", route, runs)
		}
	}
}

// Guards against a request that is sent again under the rules of a configuration which came after it.
func TestKindOfRouteIsThatOfTheAdmission(t *testing.T) {
	var current atomic.Pointer[view.View]
	changeAndClose := func(io.Writer, *http.Request, string) bool {
		v := *current.Load()
		route := *v.Estate.Match(host, "/once/")
		route.Kind, route.MaxAttempts = estate.Idempotent, 4
		services := []estate.Service{{Name: "plain"}}
		changed, err := estate.New(2, []estate.Route{route}, services, nil, estate.Limits{})
		if err != nil {
			t.Error(err)
		}
		v.Estate = changed
		current.Store(&v)
		return false
	}
	a, b := startTarget(t, "a", changeAndClose), startTarget(t, "b", changeAndClose)
	env := newTestEnv(t, a, b)
	current.Store(env.view)
	env.View = func() (*view.View, bool) { return current.Load(), true }
	resp, _, err := env.post(t, "/once/x", "file")
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("response %v, error %v", resp, err)
	}
	if runs := a.runs.Load() + b.runs.Load(); runs != 1 {
		t.Errorf("the request was sent %d times", runs)
	}
}
