package cluster_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/goleak"

	"github.com/toucanwell/toucanwell/examples"
	"github.com/toucanwell/toucanwell/internal/cluster"
	"github.com/toucanwell/toucanwell/internal/configlog"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/standin"
)

func startInProcess(t *testing.T, text string, entries int) *cluster.Cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{ConfigText: text, Entries: entries, EngineCosts: slowCosts, LogOutput: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// Streams must be complete and in order when engines break connections and send duplicate frames.
func TestStreamsSurviveDisconnectsAndDuplicates(t *testing.T) {
	c := startCluster(t, examples.Marktlizenz, 2)
	for _, e := range c.Engines {
		e.SetFaults(standin.EngineFaults{CutAfter: 3, Duplicate: true})
	}
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			b := completionBody{Model: "pruefer-lm", Messages: nestedPrompt(i, i), MaxTokens: 20, Stream: i%2 == 0}
			if err := checkCompletion(c, i%2, b); err != nil {
				t.Errorf("request %d: %v", i, err)
			}
		}()
	}
	wg.Wait()
}

// When the response to a call with a key is lost, retries must neither run the call again nor report
// that it did not run.
func TestLostResponseOfPlainCallIsUnknown(t *testing.T) {
	c := startProcesses(t, examples.Marktlizenz, 2, slowCosts)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, p := range c.PlainTargets {
		p.SetFaults(standin.PlainFaults{LoseAnswers: true})
	}
	key := uuid.Must(uuid.NewV7()).String()
	for attempt := range 4 {
		if status, kind := callWithKey(ctx, c.EntryURL(attempt%2), key, "renew"); kind != "outcome_unknown" {
			t.Errorf("attempt %d: %d %s", attempt, status, kind)
		}
	}
	if n := countRuns(c, key); n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}

// While the log is down, calls with a key must be refused with outcome_unknown and completions must
// succeed. When the log is up again, a retry with the same key must succeed.
func TestLogOutageStopsKeyedCallsOnly(t *testing.T) {
	c := startCluster(t, examples.Marktlizenz, 1)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c.Log.SetFaults(standin.LogFaults{Down: true})
	key := uuid.Must(uuid.NewV7()).String()
	if status, kind := callWithKey(ctx, c.EntryURL(0), key, "renew"); kind != "outcome_unknown" {
		t.Errorf("call during the outage: %d %s", status, kind)
	}
	if err := checkCompletion(c, 0, completionBody{Model: "pruefer-lm", Messages: nestedPrompt(1, 1), MaxTokens: 3}); err != nil {
		t.Error(err)
	}
	c.Log.SetFaults(standin.LogFaults{})
	eventually(t, "a retry with the same key succeeds", func() bool {
		status, _ := callWithKey(ctx, c.EntryURL(0), key, "renew")
		return status == http.StatusOK
	})
	if n := countRuns(c, key); n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}

// cachedTokens sends a request and returns how many of its prompt tokens were cached.
func cachedTokens(t *testing.T, c *cluster.Cluster, token string, b completionBody) int {
	t.Helper()
	data, _ := json.Marshal(b)
	resp, err := post(context.Background(), c.EntryURL(0)+"/v1/chat/completions", token, nil, data)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var completion struct {
		Usage struct {
			CachedTokens int `json:"cached_tokens"`
		}
	}
	if err := json.NewDecoder(resp.Body).Decode(&completion); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d: %v", resp.StatusCode, err)
	}
	return completion.Usage.CachedTokens
}

// publish publishes the configuration with a replacement and returns its version.
func publish(t *testing.T, c *cluster.Cluster, base uint64, old, new string) uint64 {
	t.Helper()
	text := strings.Replace(c.ConfigText, old, new, 1)
	if text == c.ConfigText {
		t.Fatalf("%q is not in the configuration", old)
	}
	c.ConfigText = text
	data, err := configlog.Encode(configlog.Record{Type: configlog.TypePublish, Nonce: uuid.NewString(), Base: base, Text: text})
	if err != nil {
		t.Fatal(err)
	}
	return c.Log.AppendRecord(configlog.Stream, data)
}

// Cached prompts must not be shared between workspaces or weight versions, and at most two engines
// may load weights at a time.
func TestCacheIsNotSharedBetweenWorkspacesOrWeights(t *testing.T) {
	c := startProcesses(t, examples.Marktlizenz, 1, cluster.DefaultEngineCosts)
	b := completionBody{Model: "pruefer-lm", Messages: nestedPrompt(1, 1), MaxTokens: 2}
	if cold := cachedTokens(t, c, "muenchen-token", b); cold != 0 {
		t.Errorf("%d cached tokens at the first request", cold)
	}
	if warm := cachedTokens(t, c, "muenchen-token", b); warm == 0 {
		t.Error("no cached tokens at the second request")
	}
	if other := cachedTokens(t, c, "augsburg-token", b); other != 0 {
		t.Errorf("%d cached tokens in another workspace", other)
	}
	publish(t, c, 1, `weights = "2026-11"`, `weights = "2026-12"`)
	waitForWeights(t, c, "2026-12")
	if peak, total := c.WeightStore.FetchCounts(); peak > 2 || total != len(c.Engines) {
		t.Errorf("%d of %d loads were concurrent", peak, total)
	}
	if after := cachedTokens(t, c, "muenchen-token", b); after != 0 {
		t.Errorf("%d cached tokens after the change of weights", after)
	}
}

// A published configuration must become active on all processes within the time limit.
func TestConfigurationReachesAllProcesses(t *testing.T) {
	c := startCluster(t, examples.Olaje, 2)
	start := time.Now()
	version := publish(t, c, 1, "retry_share = 0.1", "retry_share = 0.2")
	eventually(t, "the version is active on all processes", func() bool {
		for _, s := range c.EntrySettings {
			if activeVersion(s.AdminListen) < version {
				return false
			}
		}
		for _, s := range c.SidecarSettings {
			if activeVersion(s.AdminListen) < version {
				return false
			}
		}
		return true
	})
	elapsed := time.Since(start)
	t.Logf("active on %d processes after %v", len(c.EntrySettings)+len(c.SidecarSettings), elapsed)
	if elapsed > 17*time.Second {
		t.Errorf("active on all processes only after %v", elapsed)
	}
}

// activeVersion returns a process's configuration version according to its metrics, 0 if unknown.
func activeVersion(admin string) uint64 {
	resp, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	for _, line := range strings.Split(string(body), "\n") {
		if text, ok := strings.CutPrefix(line, "toucanwell_config_version "); ok {
			var v float64
			_ = json.Unmarshal([]byte(text), &v)
			return uint64(v)
		}
	}
	return 0
}

// A target that the platform lists as leaving must get no new requests and complete its run.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	c := startProcesses(t, examples.Marktlizenz, 1, slowCosts)
	done := make(chan error, 1)
	go func() { done <- checkCompletion(c, 0, reviewRequest) }()
	name := waitForGenerating(t, c, 3)
	c.Hosts.Set([]external.Host{{Name: name, State: external.HostLeaving}})
	reads := c.Hosts.Reads()
	eventually(t, "the entry has applied the host list", func() bool { return c.Hosts.Reads() >= reads+2 })
	started := c.Engines[name].Stats().Started
	for i := range 12 {
		b := completionBody{Model: "pruefer-lm", Messages: nestedPrompt(1, i), MaxTokens: 1}
		if err := checkCompletion(c, 0, b); err != nil {
			t.Error(err)
		}
	}
	if n := c.Engines[name].Stats().Started - started; n != 0 {
		t.Errorf("%d runs were started at the leaving target", n)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// When a caller disconnects during a stream, the engine's run must be cancelled and no goroutine
// may leak.
func TestCallerDisconnectsMidStream(t *testing.T) {
	before := goleak.IgnoreCurrent()
	c := startInProcess(t, examples.Marktlizenz, 1)
	ctx, cancel := context.WithCancel(context.Background())
	disconnected := make(chan struct{})
	go func() {
		defer close(disconnected)
		_, _ = complete(ctx, c.EntryURL(0), "muenchen-token", completionBody{Model: "pruefer-lm", Messages: nestedPrompt(1, 1), MaxTokens: 3000, Stream: true})
	}()
	name := waitForGenerating(t, c, 5)
	cancel()
	<-disconnected
	eventually(t, "the engine's run is cancelled", func() bool { return c.Engines[name].Stats().Cancelled == 1 })
	c.Close()
	goleak.VerifyNone(t, before, goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"), goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"))
}

// Invalid requests must be refused with the right error kind before they reach an engine.
func TestInvalidRequestsAreRefused(t *testing.T) {
	c := startCluster(t, examples.Marktlizenz, 1)
	completions := c.EntryURL(0) + "/v1/chat/completions"
	call := c.EntryURL(0) + "/v1/services/marktportal/call"
	good := `{"model":"pruefer-lm","messages":[{"role":"user","content":"x"}]}`
	streamed := `{"model":"pruefer-lm","stream":true,"messages":[{"role":"user","content":"x"}]}`
	key := uuid.Must(uuid.NewV7()).String()
	old := uuid.Must(uuid.FromBytes([]byte{1, 0x8c, 0, 0, 0, 0, 0x70, 0, 0x80, 0, 0, 0, 0, 0, 0, 1})).String()
	for _, x := range []struct {
		name, url, token, body string
		header                 map[string]string
		wantKind               string
	}{
		{"malformed JSON", completions, "muenchen-token", `{"model":`, nil, "bad_request"},
		{"malformed stream request", completions, "muenchen-token", `{"model":"pruefer-lm","stream":true}`, nil, "bad_request"},
		{"oversized body", completions, "muenchen-token", good + strings.Repeat(" ", 2<<20), nil, "body_too_large"},
		{"no token", completions, "", good, nil, "unauthenticated"},
		{"no token, stream", completions, "", streamed, nil, "unauthenticated"},
		{"unknown workspace", completions, "nobody", good, nil, "unknown_workspace"},
		{"unknown workspace, stream", completions, "nobody", streamed, nil, "unknown_workspace"},
		{"unknown model", completions, "muenchen-token", strings.Replace(good, "pruefer-lm", "x", 1), nil, "unknown_model"},
		{"unknown class", completions, "muenchen-token", streamed, map[string]string{"Toucanwell-Class": "x"}, "bad_request"},
		{"deadline in the past", completions, "muenchen-token", good, map[string]string{"Toucanwell-Deadline-Ms": "-5"}, "deadline_past"},
		{"unknown service", strings.Replace(call, "marktportal", "x", 1), "muenchen-token", "x", map[string]string{"Idempotency-Key": key}, "unknown_service"},
		{"missing key", call, "muenchen-token", "x", nil, "key_missing"},
		{"key without a time", call, "muenchen-token", "x", map[string]string{"Idempotency-Key": "opaque-key"}, "key_invalid"},
		{"key too old", call, "muenchen-token", "x", map[string]string{"Idempotency-Key": old}, "key_expired"},
	} {
		t.Run(x.name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, x.url, bytes.NewReader([]byte(x.body)))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Content-Type", "application/json")
			if strings.Contains(x.url, "/call") {
				req.Header.Set("Content-Type", "application/octet-stream")
			}
			if x.token != "" {
				req.Header.Set("Authorization", "Bearer "+x.token)
			}
			for k, v := range x.header {
				req.Header.Set(k, v)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if kind := errorKind(resp); kind != x.wantKind {
				t.Errorf("got status %d, kind %q; want %q", resp.StatusCode, kind, x.wantKind)
			}
		})
	}
	for _, e := range c.Engines {
		if e.Stats().Started > 0 {
			t.Error("a refused request reached an engine")
		}
	}
}

// After the target that ran a call was removed, another sidecar must replay the recorded response.
func TestReplayAfterTargetWasRemoved(t *testing.T) {
	c := startCluster(t, examples.Marktlizenz, 1)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	key := uuid.Must(uuid.NewV7()).String()
	if status, kind := callWithKey(ctx, c.EntryURL(0), key, "renew"); status != http.StatusOK {
		t.Fatalf("first attempt: %d %s", status, kind)
	}
	owner := ""
	for name, p := range c.PlainTargets {
		if p.Runs()[key] > 0 {
			owner = name
		}
	}
	start := strings.LastIndex(c.ConfigText[:strings.Index(c.ConfigText, `"`+owner+`"`)], "[[service.target]]")
	end := start + strings.Index(c.ConfigText[start:], "\n\n")
	version := publish(t, c, 1, c.ConfigText[start:end], "")
	eventually(t, "the new configuration is active", func() bool { return activeVersion(c.EntrySettings[0].AdminListen) == version })
	eventually(t, "another sidecar replays the response", func() bool {
		status, kind := callWithKey(ctx, c.EntryURL(0), key, "renew")
		if status != http.StatusOK && kind != "outcome_unknown" {
			t.Fatalf("retry: %d %s", status, kind)
		}
		return status == http.StatusOK
	})
	if n := countRuns(c, key); n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}

// A rollout of new weights must not fail a request, and engines must not load during their runs.
func TestWeightRolloutFailsNoRequest(t *testing.T) {
	c := startInProcess(t, examples.Marktlizenz, 2)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ctx.Err() == nil; n++ {
				b := completionBody{Model: "pruefer-lm", Messages: nestedPrompt(i, n), MaxTokens: 100, Stream: n%2 == 0}
				if err := checkCompletion(c, (i+n)%2, b); err != nil {
					t.Errorf("caller %d, request %d: %v", i, n, err)
				}
			}
		}()
	}
	eventually(t, "the engines are in use", func() bool { return c.PrefilledTokens() > 0 })
	publish(t, c, 1, `weights = "2026-11"`, `weights = "2026-12"`)
	waitForWeights(t, c, "2026-12")
	cancel()
	wg.Wait()
	for name, e := range c.Engines {
		if n := e.Stats().LoadsDuringRuns; n > 0 {
			t.Errorf("%s was ordered to load weights during %d runs", name, n)
		}
	}
}
