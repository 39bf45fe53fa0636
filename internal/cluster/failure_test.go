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

func startSlow(t *testing.T, text string, entries int) *cluster.Cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{ConfigText: text, Entries: entries, EngineCosts: slowCosts, LogOutput: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// Engines break every connection after three tokens and send each frame twice.
// Traders still read whole answers in order.
func TestStreamsSurviveCutsAndRepeats(t *testing.T) {
	c := startCluster(t, examples.Marktlizenz, 2)
	for _, e := range c.Engines {
		e.SetFaults(standin.EngineFaults{CutAfter: 3, Duplicate: true})
	}
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			b := completionBody{Model: "pruefer-lm", Messages: nested(i, i), MaxTokens: 20, Stream: i%2 == 0}
			if err := answerTo(c, i%2, b); err != nil {
				t.Errorf("request %d: %v", i, err)
			}
		}()
	}
	wg.Wait()
}

// A renewal takes effect and the service's answer is lost. The clerk must not
// be told that it was not run, and asking again must not bill the trader twice.
func TestLostAnswerOfAPlainCallIsUnknown(t *testing.T) {
	c := startProcesses(t, examples.Marktlizenz, 2, slowCosts)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	for _, p := range c.PlainTargets {
		p.SetFaults(standin.PlainFaults{LoseAnswers: true})
	}
	key := uuid.Must(uuid.NewV7()).String()
	for try := range 4 {
		if status, kind := callOnce(ctx, c.EntryURL(try%2), key, "renew"); kind != "outcome_unknown" {
			t.Errorf("try %d: %d %s", try, status, kind)
		}
	}
	if n := runsOf(c, key); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// The log is down. Filings are refused as unknown, to be asked again; prompts
// are answered as ever. When the log is back, the same key files.
func TestLogOutageStopsFilingsOnly(t *testing.T) {
	c := startCluster(t, examples.Marktlizenz, 1)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	c.Log.SetFaults(standin.LogFaults{Down: true})
	key := uuid.Must(uuid.NewV7()).String()
	if status, kind := callOnce(ctx, c.EntryURL(0), key, "renew"); kind != "outcome_unknown" {
		t.Errorf("filing: %d %s", status, kind)
	}
	if err := answerTo(c, 0, completionBody{Model: "pruefer-lm", Messages: nested(1, 1), MaxTokens: 3}); err != nil {
		t.Error(err)
	}
	c.Log.SetFaults(standin.LogFaults{})
	eventually(t, "the same key files", func() bool {
		status, _ := callOnce(ctx, c.EntryURL(0), key, "renew")
		return status == http.StatusOK
	})
	if n := runsOf(c, key); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// cachedTokens asks once and returns how many tokens the engine had cached.
func cachedTokens(t *testing.T, c *cluster.Cluster, token string, b completionBody) int {
	t.Helper()
	data, _ := json.Marshal(b)
	resp, err := post(context.Background(), c.EntryURL(0)+"/v1/chat/completions", token, nil, data)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var whole struct {
		Usage struct {
			CachedTokens int `json:"cached_tokens"`
		}
	}
	if err := json.NewDecoder(resp.Body).Decode(&whole); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d: %v", resp.StatusCode, err)
	}
	return whole.Usage.CachedTokens
}

// publish publishes a changed text and returns its version.
func publish(t *testing.T, c *cluster.Cluster, base uint64, old, new string) uint64 {
	t.Helper()
	text := strings.Replace(c.ConfigText, old, new, 1)
	if text == c.ConfigText {
		t.Fatalf("%q is not in the text", old)
	}
	c.ConfigText = text
	data, err := configlog.Encode(configlog.Record{Type: configlog.TypePublish, Nonce: uuid.NewString(), Base: base, Text: text})
	if err != nil {
		t.Fatal(err)
	}
	return c.Log.AppendRecord(configlog.Stream, data)
}

// Two workspaces send the same text, and new weights are put in force between
// two requests of one. Neither may find the other's blocks or the older ones.
// The fleet's engines load the new weights no more than two at a time.
func TestCacheIsNotSharedOverWorkspacesOrWeights(t *testing.T) {
	c := startProcesses(t, examples.Marktlizenz, 1, cluster.DefaultEngineCosts)
	b := completionBody{Model: "pruefer-lm", Messages: nested(1, 1), MaxTokens: 2}
	if cold := cachedTokens(t, c, "muenchen-token", b); cold != 0 {
		t.Errorf("first request found %d tokens", cold)
	}
	if warm := cachedTokens(t, c, "muenchen-token", b); warm == 0 {
		t.Error("second request found nothing")
	}
	if other := cachedTokens(t, c, "augsburg-token", b); other != 0 {
		t.Errorf("another workspace found %d tokens", other)
	}
	publish(t, c, 1, `weights = "2026-11"`, `weights = "2026-12"`)
	allEnginesGet(t, c, "2026-12")
	if peak, total := c.WeightStore.FetchCounts(); peak > 2 || total != len(c.Engines) {
		t.Errorf("%d of %d loads ran at once", peak, total)
	}
	if after := cachedTokens(t, c, "muenchen-token", b); after != 0 {
		t.Errorf("new weights found %d tokens of the old ones", after)
	}
}

// A configuration is published. It is in force on every process within the
// stated seconds, although each process polls the log rarely.
func TestConfigurationReachesAllProcesses(t *testing.T) {
	c := startCluster(t, examples.Olaje, 2)
	start := time.Now()
	version := publish(t, c, 1, "retry_share = 0.1", "retry_share = 0.2")
	eventually(t, "the version is in force everywhere", func() bool {
		for _, s := range c.EntrySettings {
			if versionAt(s.AdminListen) < version {
				return false
			}
		}
		for _, s := range c.SidecarSettings {
			if versionAt(s.AdminListen) < version {
				return false
			}
		}
		return true
	})
	took := time.Since(start)
	t.Logf("in force on %d processes after %v", len(c.EntrySettings)+len(c.SidecarSettings), took)
	if took > 17*time.Second {
		t.Errorf("took %v", took)
	}
}

// versionAt reads a process's version in force from its metrics.
func versionAt(admin string) uint64 {
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

// The platform's list calls a target leaving. It gets no new work after a few
// seconds, while its run in flight finishes whole.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	c := startProcesses(t, examples.Marktlizenz, 1, slowCosts)
	done := make(chan error, 1)
	go func() { done <- answerTo(c, 0, review) }()
	name := busyEngine(t, c, 3)
	c.Hosts.Set([]external.Host{{Name: name, State: external.HostLeaving}})
	reads := c.Hosts.Reads()
	eventually(t, "the entry has read the list and built on it", func() bool { return c.Hosts.Reads() >= reads+2 })
	started := c.Engines[name].Stats().Started
	for i := range 12 {
		b := completionBody{Model: "pruefer-lm", Messages: nested(1, i), MaxTokens: 1}
		if err := answerTo(c, 0, b); err != nil {
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

// A surfer closes the app in the middle of an answer. The engine is freed, and
// nothing is left behind.
func TestCallerHangsUpMidStream(t *testing.T) {
	before := goleak.IgnoreCurrent()
	c := startSlow(t, examples.Marktlizenz, 1)
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = complete(ctx, c.EntryURL(0), "muenchen-token", completionBody{Model: "pruefer-lm", Messages: nested(1, 1), MaxTokens: 3000, Stream: true})
	}()
	name := busyEngine(t, c, 5)
	cancel()
	<-gone
	eventually(t, "the engine's run is cancelled", func() bool { return c.Engines[name].Stats().Cancelled == 1 })
	c.Close()
	goleak.VerifyNone(t, before, goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"), goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"))
}

func TestBadInputIsRefusedByKind(t *testing.T) {
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
		kind                   string
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
			if kind := problemKind(resp); kind != x.kind {
				t.Errorf("got status %d, kind %q; want %q", resp.StatusCode, kind, x.kind)
			}
		})
	}
	for _, e := range c.Engines {
		if e.Stats().Started > 0 {
			t.Error("a refused request reached an engine")
		}
	}
}

// A clerk files a renewal, and the operator takes the target that ran it out of
// the text. The clerk, whose answer got lost on the way, files again with the
// same key: another gate owns it now, and must answer from the record.
func TestTargetSetChangesBetweenTwoTries(t *testing.T) {
	c := startCluster(t, examples.Marktlizenz, 1)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	key := uuid.Must(uuid.NewV7()).String()
	if status, kind := callOnce(ctx, c.EntryURL(0), key, "renew"); status != http.StatusOK {
		t.Fatalf("first try: %d %s", status, kind)
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
	eventually(t, "the new set is in force", func() bool { return versionAt(c.EntrySettings[0].AdminListen) == version })
	eventually(t, "another gate answers from the record", func() bool {
		status, kind := callOnce(ctx, c.EntryURL(0), key, "renew")
		if status != http.StatusOK && kind != "outcome_unknown" {
			t.Fatalf("second try: %d %s", status, kind)
		}
		return status == http.StatusOK
	})
	if n := runsOf(c, key); n != 1 {
		t.Errorf("the renewal ran %d times", n)
	}
}

// An operator puts new weights in force while traders read answers. Answers that
// have begun end on the weights they began with, requests that wait are answered
// with the new ones, and nobody is refused.
func TestWeightsRollCutsNothing(t *testing.T) {
	c := startSlow(t, examples.Marktlizenz, 2)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ctx.Err() == nil; n++ {
				b := completionBody{Model: "pruefer-lm", Messages: nested(i, n), MaxTokens: 100, Stream: n%2 == 0}
				if err := answerTo(c, (i+n)%2, b); err != nil {
					t.Errorf("caller %d, request %d: %v", i, n, err)
				}
			}
		}()
	}
	eventually(t, "engines generate", func() bool { return c.PrefilledTokens() > 0 })
	publish(t, c, 1, `weights = "2026-11"`, `weights = "2026-12"`)
	allEnginesGet(t, c, "2026-12")
	cancel()
	wg.Wait()
	for name, e := range c.Engines {
		if n := e.Stats().LoadsDuringRuns; n > 0 {
			t.Errorf("%s was told to load while %d runs were under way", name, n)
		}
	}
}
