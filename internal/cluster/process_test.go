package cluster_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/pelletier/go-toml/v2"

	"github.com/toucanwell/toucanwell/examples"
	"github.com/toucanwell/toucanwell/internal/cluster"
	"github.com/toucanwell/toucanwell/internal/settings"
	"github.com/toucanwell/toucanwell/internal/standin"
)

// bound is far above any expected time; tests wait on conditions up to it.
const bound = 60 * time.Second

var (
	buildOnce sync.Once
	daemonBin string
	buildErr  error
)

func TestMain(m *testing.M) {
	code := m.Run()
	if daemonBin != "" {
		os.RemoveAll(filepath.Dir(daemonBin))
	}
	os.Exit(code)
}

func buildDaemon(t testing.TB) string {
	t.Helper()
	buildOnce.Do(func() {
		dir, err := os.MkdirTemp("", "toucanwelld")
		if err != nil {
			buildErr = err
			return
		}
		daemonBin = filepath.Join(dir, "toucanwelld")
		out, err := exec.Command("go", "build", "-o", daemonBin, "github.com/toucanwell/toucanwell/cmd/toucanwelld").CombinedOutput()
		if err != nil {
			buildErr = fmt.Errorf("%w: %s", err, out)
		}
	})
	if buildErr != nil {
		t.Fatal(buildErr)
	}
	return daemonBin
}

// process is a daemon as a process of its own.
type process struct {
	cmd  *exec.Cmd
	once sync.Once
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Close kills the process and waits for its end.
func (p *process) Close() {
	p.once.Do(func() {
		p.signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
	})
}

// stop asks for a planned stop and waits for its end.
func (p *process) stop() {
	p.once.Do(func() {
		p.signal(syscall.SIGTERM)
		_ = p.cmd.Wait()
	})
}

func launcher(t testing.TB) func(*settings.Settings) (cluster.Process, error) {
	bin := buildDaemon(t)
	dir := t.TempDir()
	return func(s *settings.Settings) (cluster.Process, error) {
		text, err := toml.Marshal(s)
		if err != nil {
			return nil, err
		}
		path := filepath.Join(dir, s.Name+".toml")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return nil, err
		}
		cmd := exec.Command(bin, "--settings", path)
		if os.Getenv("TOUCANWELL_TEST_LOGS") != "" {
			cmd.Stderr = os.Stderr
		}
		if err := cmd.Start(); err != nil {
			return nil, err
		}
		return &process{cmd: cmd}, nil
	}
}

// slowCosts make an answer of 40 tokens take about 0.8 s.
var slowCosts = standin.EngineCosts{
	PrefillTokensPerSecond: 50_000, DecodeStep: 20 * time.Millisecond, MaxBatch: 8, CacheBlocks: 600,
	LoadTime: 100 * time.Millisecond,
}

func startProcesses(t *testing.T, text string, entries int, costs standin.EngineCosts) *cluster.Cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{ConfigText: text, Entries: entries, EngineCosts: costs, LogOutput: io.Discard, Launch: launcher(t)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func proc(p cluster.Process) *process { return p.(*process) }

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(bound)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", what)
		}
		<-time.After(5 * time.Millisecond)
	}
}

// answerTo checks that one completion is whole and in order.
func answerTo(c *cluster.Cluster, entry int, b completionBody) error {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	text, err := complete(ctx, c.EntryURL(entry), "muenchen-token", b)
	if err != nil {
		return err
	}
	if want := standin.Transcript(b.prompt(), b.MaxTokens); text != want {
		return fmt.Errorf("got %q, want %q", text, want)
	}
	return nil
}

// busyEngine waits for the engine that runs the one request there is.
func busyEngine(t *testing.T, c *cluster.Cluster, tokens int) string {
	t.Helper()
	name := ""
	eventually(t, "an engine generates", func() bool {
		for n, e := range c.Engines {
			if e.Generated() >= tokens {
				name = n
				return true
			}
		}
		return false
	})
	return name
}

var review = completionBody{Model: "pruefer-lm", Messages: nested(1, 1), MaxTokens: 40, Stream: true}

// A trader reads an answer when the sidecar beside the engine is killed. The
// engine lives on. A new sidecar starts on the same address and takes the run
// over from the engine; the trader sees one whole answer.
func TestSidecarKilledMidStream(t *testing.T) {
	c := startProcesses(t, examples.Marktlizenz, 1, slowCosts)
	done := make(chan error, 1)
	go func() { done <- answerTo(c, 0, review) }()
	name := busyEngine(t, c, 5)
	c.Sidecars[name].Close()
	if err := c.StartSidecar(name); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	started := 0
	for _, e := range c.Engines {
		started += e.Stats().Started
	}
	if started != 1 {
		t.Errorf("%d runs were started for one answer", started)
	}
}

// The engine crashes in the middle of an answer and comes back empty. The rest
// runs elsewhere; the trader sees no gap and no repeat.
func TestEngineCrashMidStream(t *testing.T) {
	c := startProcesses(t, examples.Marktlizenz, 1, slowCosts)
	done := make(chan error, 1)
	go func() { done <- answerTo(c, 0, review) }()
	c.Engines[busyEngine(t, c, 5)].Crash()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// The sidecar's host freezes in the middle of an answer. The entry finds that
// its pings are not answered and runs the rest elsewhere. Then the host wakes
// and sends what it still has: nothing of it may reach the trader.
func TestFrozenSidecarWakesLate(t *testing.T) {
	c := startProcesses(t, examples.Marktlizenz, 1, slowCosts)
	done := make(chan error, 1)
	go func() { done <- answerTo(c, 0, review) }()
	name := busyEngine(t, c, 5)
	proc(c.Sidecars[name]).signal(syscall.SIGSTOP)
	eventually(t, "a second engine takes the rest", func() bool {
		for n, e := range c.Engines {
			if n != name && e.Generated() > 0 {
				return true
			}
		}
		return false
	})
	proc(c.Sidecars[name]).signal(syscall.SIGCONT)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// All entries are killed at once while the platform's log is up, slow, or down.
// New ones must serve at once: the configuration comes from the sidecars, and
// what the engines hold is known beside them, so that there is no cold start.
func TestEntriesKilledAtOnce(t *testing.T) {
	for _, log := range []struct {
		name   string
		faults standin.LogFaults
	}{
		{"log up", standin.LogFaults{}},
		{"log slow", standin.LogFaults{Delay: 4 * time.Second}},
		{"log down", standin.LogFaults{Down: true}},
	} {
		t.Run(log.name, func(t *testing.T) { killAllEntries(t, log.faults) })
	}
}

func killAllEntries(t *testing.T, faults standin.LogFaults) {
	c := startProcesses(t, examples.Marktlizenz, 2, slowCosts)
	warm := completionBody{Model: "pruefer-lm", Messages: nested(1, 1), MaxTokens: 2}
	if err := answerTo(c, 0, warm); err != nil {
		t.Fatal(err)
	}
	c.Log.SetFaults(faults)
	before := c.PrefilledTokens()
	for i := range c.Entries {
		c.Entries[i].Close()
	}
	start := time.Now()
	for i := range c.Entries {
		if err := c.StartEntry(i); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	if err := c.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	for i := range c.Entries {
		if err := answerTo(c, i, warm); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("first answers %v after the kill", time.Since(start))
	if computed := c.PrefilledTokens() - before; computed > 200 {
		t.Errorf("the restart made the engines compute %d tokens again", computed)
	}
}

func callOnce(ctx context.Context, base, key string, body string) (status int, kind string) {
	resp, err := post(ctx, base+"/v1/services/marktportal/call?path=/renewals", "muenchen-token",
		map[string]string{"Idempotency-Key": key, "Content-Type": "application/octet-stream"}, []byte(body))
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	return resp.StatusCode, problemKind(resp)
}

func runsOf(c *cluster.Cluster, key string) int {
	runs := 0
	for _, p := range c.PlainTargets {
		runs += p.Runs()[key]
	}
	return runs
}

// A clerk files a renewal. Its gate is killed while the service works on it, so
// that nobody knows the end; the clerk files again through another entry. The
// renewal must have run once, and neither answer may say that it was not run.
func TestGateKilledDuringACall(t *testing.T) {
	c := startProcesses(t, examples.Marktlizenz, 2, slowCosts)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	for _, p := range c.PlainTargets {
		p.SetFaults(standin.PlainFaults{Delay: 500 * time.Millisecond})
	}
	key := uuid.Must(uuid.NewV7()).String()
	type result struct {
		status int
		kind   string
	}
	first := make(chan result, 1)
	go func() {
		status, kind := callOnce(ctx, c.EntryURL(0), key, "renew")
		first <- result{status, kind}
	}()
	owner := ""
	eventually(t, "the service works on the call", func() bool {
		for name, p := range c.PlainTargets {
			if p.Runs()[key] > 0 {
				owner = name
				return true
			}
		}
		return false
	})
	c.Sidecars[owner].Close()
	if r := <-first; r.kind != "outcome_unknown" {
		t.Errorf("first try: %d %s", r.status, r.kind)
	}
	for entry := range 2 {
		if status, kind := callOnce(ctx, c.EntryURL(entry), key, "renew"); kind != "outcome_unknown" {
			t.Errorf("again through entry %d: %d %s", entry, status, kind)
		}
	}
	if err := c.StartSidecar(owner); err != nil {
		t.Fatal(err)
	}
	if err := c.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	if status, kind := callOnce(ctx, c.EntryURL(0), key, "renew"); kind != "outcome_unknown" {
		t.Errorf("at the gate that restarted empty: %d %s", status, kind)
	}
	if n := runsOf(c, key); n != 1 {
		t.Errorf("the renewal ran %d times", n)
	}
}

// Every process is stopped for a planned replacement while traders read long
// answers: entries and sidecars, one after the other. No request is cut.
func TestPlannedStopsCutNothing(t *testing.T) {
	c := startProcesses(t, examples.Marktlizenz, 2, slowCosts)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ctx.Err() == nil; n++ {
				entry := (i + n) % 2
				if !isReady(c.EntrySettings[entry].AdminListen) {
					// The balancer turns away from an entry that is not ready.
					entry = 1 - entry
				}
				b := completionBody{Model: "pruefer-lm", Messages: nested(i, n), MaxTokens: 15, Stream: n%2 == 0}
				if err := answerTo(c, entry, b); err != nil {
					t.Errorf("caller %d, request %d at entry %d: %v", i, n, entry, err)
				}
				mu.Lock()
				answered++
				mu.Unlock()
			}
		}()
	}
	rollAll(t, c)
	cancel()
	wg.Wait()
	t.Logf("%d requests answered during the roll", answered)
}

func isReady(admin string) bool {
	resp, err := http.Get("http://" + admin + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func rollAll(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*bound)
	defer cancel()
	for i := range c.Entries {
		proc(c.Entries[i]).stop()
		if err := c.StartEntry(i); err != nil {
			t.Fatal(err)
		}
		if err := c.WaitReady(ctx); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"pruefer-1", "pruefer-2", "pruefer-3"} {
		proc(c.Sidecars[name]).stop()
		if err := c.StartSidecar(name); err != nil {
			t.Fatal(err)
		}
		if err := c.WaitReady(ctx); err != nil {
			t.Fatal(err)
		}
	}
}
