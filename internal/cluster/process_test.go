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

// testTimeout bounds the wait for each condition.
const testTimeout = 60 * time.Second

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

// process is a daemon that runs as a separate process.
type process struct {
	cmd *exec.Cmd
	// logs is the file with the process's log, unless TOUCANWELL_TEST_LOGS is set.
	logs string
	once sync.Once
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Close kills the process and waits for it.
func (p *process) Close() {
	p.once.Do(func() {
		p.signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
	})
}

// shutDown terminates the process gracefully and waits for it.
func (p *process) shutDown() {
	p.once.Do(func() {
		p.signal(syscall.SIGTERM)
		_ = p.cmd.Wait()
	})
}

// processLauncher returns a launch function that runs each daemon as a separate process.
func processLauncher(t testing.TB) func(*settings.Settings) (cluster.Process, error) {
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
		logs, err := os.OpenFile(filepath.Join(dir, s.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		defer logs.Close()
		cmd.Stderr = logs
		if os.Getenv("TOUCANWELL_TEST_LOGS") != "" {
			cmd.Stderr = os.Stderr
		}
		if err := cmd.Start(); err != nil {
			return nil, err
		}
		return &process{cmd: cmd, logs: logs.Name()}, nil
	}
}

// slowCosts make an output of 40 tokens take about 0.8 s.
var slowCosts = standin.EngineCosts{
	PrefillTokensPerSecond: 50_000, DecodeStep: 20 * time.Millisecond, MaxBatch: 8, CacheBlocks: 600,
	LoadTime: 100 * time.Millisecond,
}

func startProcesses(t *testing.T, text string, entries int, costs standin.EngineCosts) *cluster.Cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{ConfigText: text, Entries: entries, EngineCosts: costs, LogOutput: io.Discard, Launch: processLauncher(t)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func asProcess(p cluster.Process) *process { return p.(*process) }

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out: %s", description)
		}
		<-time.After(5 * time.Millisecond)
	}
}

// checkCompletion sends a completion request and checks its output.
func checkCompletion(c *cluster.Cluster, entry int, b completionBody) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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

// waitForGenerating waits until an engine has generated some tokens, and returns its name.
func waitForGenerating(t *testing.T, c *cluster.Cluster, tokens int) string {
	t.Helper()
	name := ""
	eventually(t, "an engine generates tokens", func() bool {
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

var reviewRequest = completionBody{Model: "pruefer-lm", Messages: nestedPrompt(1, 1), MaxTokens: 40, Stream: true}

// A restarted sidecar must resume the stream of a run that its engine has continued.
func TestSidecarKilledMidStream(t *testing.T) {
	c := startProcesses(t, examples.Marktlizenz, 1, slowCosts)
	done := make(chan error, 1)
	go func() { done <- checkCompletion(c, 0, reviewRequest) }()
	name := waitForGenerating(t, c, 5)
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
		t.Errorf("%d runs were started for one request", started)
	}
}

// When an engine crashes during a stream, another one must continue it without gap or repetition.
func TestEngineCrashMidStream(t *testing.T) {
	c := startProcesses(t, examples.Marktlizenz, 1, slowCosts)
	done := make(chan error, 1)
	go func() { done <- checkCompletion(c, 0, reviewRequest) }()
	c.Engines[waitForGenerating(t, c, 5)].Crash()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// When a sidecar is suspended during a stream, another engine must continue it, and the output of
// the resumed sidecar must not reach the caller.
func TestSuspendedSidecarResumesLate(t *testing.T) {
	c := startProcesses(t, examples.Marktlizenz, 1, slowCosts)
	done := make(chan error, 1)
	go func() { done <- checkCompletion(c, 0, reviewRequest) }()
	name := waitForGenerating(t, c, 5)
	asProcess(c.Sidecars[name]).signal(syscall.SIGSTOP)
	eventually(t, "another engine continues the stream", func() bool {
		for n, e := range c.Engines {
			if n != name && e.Generated() > 0 {
				return true
			}
		}
		return false
	})
	asProcess(c.Sidecars[name]).signal(syscall.SIGCONT)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// Restarted entries must get the configuration from sidecars, without the log, and find the cached
// prompts again.
func TestAllEntriesKilled(t *testing.T) {
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
	warm := completionBody{Model: "pruefer-lm", Messages: nestedPrompt(1, 1), MaxTokens: 2}
	if err := checkCompletion(c, 0, warm); err != nil {
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
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := c.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	for i := range c.Entries {
		if err := checkCompletion(c, i, warm); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("first responses %v after the restart", time.Since(start))
	if prefilled := c.PrefilledTokens() - before; prefilled > 200 {
		t.Errorf("%d tokens were prefilled again after the restart", prefilled)
	}
}

func callWithKey(ctx context.Context, base, key string, body string) (status int, kind string) {
	resp, err := post(ctx, base+"/v1/services/marktportal/call?path=/renewals", "muenchen-token",
		map[string]string{"Idempotency-Key": key, "Content-Type": "application/octet-stream"}, []byte(body))
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	return resp.StatusCode, errorKind(resp)
}

func countRuns(c *cluster.Cluster, key string) int {
	runs := 0
	for _, p := range c.PlainTargets {
		runs += p.Runs()[key]
	}
	return runs
}

// When a sidecar is killed during a call with a key, retries must neither run the call again nor
// report that it did not run.
func TestSidecarKilledDuringCall(t *testing.T) {
	c := startProcesses(t, examples.Marktlizenz, 2, slowCosts)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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
		status, kind := callWithKey(ctx, c.EntryURL(0), key, "renew")
		first <- result{status, kind}
	}()
	owner := ""
	eventually(t, "the call is running", func() bool {
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
		t.Errorf("first attempt: %d %s", r.status, r.kind)
	}
	for entry := range 2 {
		if status, kind := callWithKey(ctx, c.EntryURL(entry), key, "renew"); kind != "outcome_unknown" {
			t.Errorf("retry through entry %d: %d %s", entry, status, kind)
		}
	}
	if err := c.StartSidecar(owner); err != nil {
		t.Fatal(err)
	}
	if err := c.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	if status, kind := callWithKey(ctx, c.EntryURL(0), key, "renew"); kind != "outcome_unknown" {
		t.Errorf("retry at the restarted sidecar: %d %s", status, kind)
	}
	if n := countRuns(c, key); n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}

// Graceful restarts of all entries and sidecars must not fail a request.
func TestGracefulRestartsFailNoRequest(t *testing.T) {
	c := startProcesses(t, examples.Marktlizenz, 2, slowCosts)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var mu sync.Mutex
	completed := 0
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ctx.Err() == nil; n++ {
				entry := (i + n) % 2
				if !isReady(c.EntrySettings[entry].AdminListen) {
					// A load balancer sends nothing to an entry that is not ready.
					entry = 1 - entry
				}
				b := completionBody{Model: "pruefer-lm", Messages: nestedPrompt(i, n), MaxTokens: 15, Stream: n%2 == 0}
				if err := checkCompletion(c, entry, b); err != nil {
					t.Errorf("caller %d, request %d at entry %d: %v", i, n, entry, err)
				}
				mu.Lock()
				completed++
				mu.Unlock()
			}
		}()
	}
	restartAll(t, c)
	cancel()
	wg.Wait()
	t.Logf("%d requests completed during the restarts", completed)
}

func isReady(admin string) bool { return readiness(admin) == nil }

// readiness returns why a process is not ready, or nil.
func readiness(admin string) error {
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + admin + "/readyz")
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// waitForReadySidecar waits until a sidecar is ready. If it is not in time, the test's failure tells
// whether the process has ended and how, is stopped, does not answer or is not ready, and has its
// goroutines.
func waitForReadySidecar(t *testing.T, c *cluster.Cluster, name string) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	attempts := 0
	for {
		err := readiness(c.SidecarSettings[name].AdminListen)
		if err == nil {
			return
		}
		attempts++
		if time.Now().After(deadline) {
			t.Fatalf("timed out: sidecar %s is not ready after %d attempts: %v\n%s", name, attempts, err, asProcess(c.Sidecars[name]).examine())
		}
		<-time.After(5 * time.Millisecond)
	}
}

// examine ends the process and describes it: its state or how it had ended, and the end of its log
// with its goroutines.
func (p *process) examine() string {
	const maxLog = 64 << 10
	pid := p.cmd.Process.Pid
	state := fmt.Sprintf("process %d", pid)
	var ended syscall.WaitStatus
	if reaped, err := syscall.Wait4(pid, &ended, syscall.WNOHANG, nil); reaped == pid {
		state += fmt.Sprintf(" had ended: exit status %d, signal %v", ended.ExitStatus(), ended.Signal())
	} else if status, readErr := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); readErr == nil {
		state += " runs:\n" + string(status)
	} else {
		state += fmt.Sprintf(": %v, %v", err, readErr)
	}
	p.signal(syscall.SIGQUIT)
	<-time.After(time.Second)
	logs, err := os.ReadFile(p.logs)
	if err != nil {
		return state + "\n" + err.Error()
	}
	return state + "\n" + string(logs[max(0, len(logs)-maxLog):])
}

func restartAll(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	defer cancel()
	for i := range c.Entries {
		asProcess(c.Entries[i]).shutDown()
		if err := c.StartEntry(i); err != nil {
			t.Fatal(err)
		}
		if err := c.WaitReady(ctx); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"pruefer-1", "pruefer-2", "pruefer-3"} {
		asProcess(c.Sidecars[name]).shutDown()
		if err := c.StartSidecar(name); err != nil {
			t.Fatal(err)
		}
		if err := c.WaitReady(ctx); err != nil {
			t.Fatal(err)
		}
	}
}
