package cluster_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/examples"
	"github.com/toucanwell/toucanwell/internal/cluster"
	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/settings"
)

// endlessPrompt is the beginning of the prompts whose runs do not end.
const endlessPrompt = "endless"

// startEndlessEngine starts a proxy to an engine whose runs of endlessPrompt do not end.
func startEndlessEngine(t *testing.T, engine string) string {
	t.Helper()
	to, err := url.Parse(engine)
	if err != nil {
		t.Fatal(err)
	}
	proxy := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(to) }, FlushInterval: -1}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/generate" {
			proxy.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !strings.Contains(string(body), endlessPrompt) {
			r.Body = io.NopCloser(strings.NewReader(string(body)))
			proxy.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		out := bufio.NewWriter(w)
		for seq := 1; err == nil; seq++ {
			_, err = fmt.Fprintf(out, "data: {\"seq\":%d,\"text\":\"%s\"}\n\n", seq, strings.Repeat("x", 100))
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against an engine that sends tokens without end: it fills the memory of its sidecar, which ends with the
// runs of others.
func TestEndlessRunsDoNotFillTheMemoryOfASidecar(t *testing.T) {
	const memoryMB, endless = 96, 6
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	launch := processLauncher(t)
	c, err := cluster.Start(ctx, cluster.Options{
		ConfigText: examples.Marktlizenz, Entries: 1, EngineCosts: cluster.DefaultEngineCosts, LogOutput: io.Discard,
		Launch: func(s *settings.Settings) (cluster.Process, error) {
			if s.Role == settings.RoleSidecar {
				s.Target.URL = startEndlessEngine(t, s.Target.URL)
			}
			return launch(s)
		},
		AdjustSettings: func(s *settings.Settings) { s.MemoryMB = memoryMB },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	parsed, err := config.Parse("configuration", c.ConfigText)
	if err != nil {
		t.Fatal(err)
	}
	service := parsed.Service(parsed.Models[0].Service)
	target := service.Targets[0]
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	client := peerv1.NewGateClient(&http.Client{Transport: &http.Transport{Protocols: protocols}}, "http://"+target.Address)
	run := func(id, prompt string) (*peerv1.Frame, error) {
		ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		stream, err := client.Run(ctx, connect.NewRequest(&peerv1.RunRequest{
			RequestId: id, Workspace: parsed.Workspaces[0].Name, Service: service.Name, Model: parsed.Models[0].Name,
			Weights: parsed.Models[0].Weights, BudgetMs: 20_000, Prompt: prompt, PromptTokens: 10, MaxTokens: 20, FromSeq: 1,
		}))
		if err != nil {
			return nil, err
		}
		defer stream.Close()
		var last *peerv1.Frame
		for stream.Receive() {
			last = stream.Msg()
		}
		return last, stream.Err()
	}
	var ended atomic.Int32
	var runs sync.WaitGroup
	for n := range endless {
		runs.Go(func() {
			last, err := run(fmt.Sprint("endless", n), endlessPrompt)
			if err != nil || last.GetRefusal().GetKind() != uint32(errkind.TargetFailed) {
				t.Errorf("endless run %d: last frame %v, error %v", n, last, err)
				return
			}
			ended.Add(1)
		})
	}
	runs.Wait()
	// The sidecar refuses runs for a time, as its engine has failed repeatedly.
	start := time.Now()
	for n := 0; ; n++ {
		last, err := run(fmt.Sprint("other", n), "prompt")
		if err == nil && last.GetEnd() != nil {
			break
		}
		if time.Since(start) > 10*time.Second {
			t.Fatalf("another run is not served: last frame %v, error %v", last, err)
		}
		<-time.After(100 * time.Millisecond)
	}
	peak := peakMemoryMB(t, asProcess(c.Sidecars[target.Name]))
	t.Logf("%d endless runs ended, another was served after %s, peak %d MB", ended.Load(), time.Since(start).Round(time.Millisecond), peak)
	if peak > memoryMB {
		t.Errorf("the sidecar has taken %d MB of %d", peak, memoryMB)
	}
}
