package forward

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/buffers"
	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
)

// Guards against bodies of requests that together fill the memory of the process, and against memory that
// is not given back.
func TestBodiesShareABudget(t *testing.T) {
	const size = 8 * buffers.Step
	release := make(chan struct{})
	var tg *fakeTarget
	tg = startTarget(t, "t", func(w io.Writer, r *http.Request, body string) bool {
		if r.URL.Path == "/again/held" {
			<-release
		}
		return tg.writeSealed(w, r, http.StatusOK, body[:min(len(body), 4)])
	})
	env := newTestEnv(t, tg)
	env.Bodies = buffers.NewBudget(size + size/2)
	post := func(path string, body io.Reader) (int, string) {
		req, err := http.NewRequest(http.MethodPost, env.server.URL+path, body)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = host
		req.Header.Set(wiretest.ID, "r1")
		req.Header.Set(wiretest.Key, "town-key")
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Do(req)
		if err != nil {
			t.Errorf("%s: %v", path, err)
			return 0, ""
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text)
	}
	large := func() *strings.Reader { return strings.NewReader(strings.Repeat("x", size)) }
	var held sync.WaitGroup
	held.Go(func() {
		if status, _ := post("/again/held", large()); status != http.StatusOK {
			t.Errorf("the first large body: status %d", status)
		}
	})
	for tg.runs.Load() == 0 {
		<-time.After(time.Millisecond)
	}
	for name, body := range map[string]io.Reader{"with a length": large(), "in chunks": io.MultiReader(large())} {
		if status, text := post("/again/x", body); status != http.StatusServiceUnavailable || !strings.Contains(text, "memory_full") {
			t.Errorf("a large body %s beside another one: status %d, %s", name, status, text)
		}
	}
	if status, text := post("/again/x", bytes.NewReader([]byte("small"))); status != http.StatusOK || text != "smal" {
		t.Errorf("a small body: status %d, %s", status, text)
	}
	if runs := tg.runs.Load(); runs != 2 {
		t.Errorf("%d requests were sent, want 2", runs)
	}
	close(release)
	held.Wait()
	for range 3 {
		if status, _ := post("/again/x", large()); status != http.StatusOK {
			t.Errorf("a large body after the others: status %d", status)
		}
	}
}

// Guards against callers who get a reset in place of the refusal of a body that they are still sending, or
// who get it only once they have sent it all.
func TestRefusalOfABodyComesAtOnce(t *testing.T) {
	tg := startTarget(t, "t", func(io.Writer, *http.Request, string) bool { return false })
	env := newTestEnv(t, tg)
	env.Bodies = buffers.NewBudget(0)
	reader, writer := io.Pipe()
	req, err := http.NewRequest(http.MethodPost, env.server.URL+"/once/x", reader)
	if err != nil {
		t.Fatal(err)
	}
	req.Host, req.ContentLength = host, 4*buffers.Step
	req.Header.Set(wiretest.ID, "r1")
	req.Header.Set(wiretest.Key, "town-key")
	go func() { _, _ = writer.Write(make([]byte, buffers.Step)) }() // the rest is never sent
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("response %v, error %v", resp, err)
	}
	if err == nil {
		_ = resp.Body.Close()
	}
	_ = writer.Close()
}
