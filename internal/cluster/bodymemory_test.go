package cluster_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
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
	"github.com/toucanwell/toucanwell/internal/settings"
)

// entryMemoryMB is the memory of the entry in TestBodiesDoNotFillMemory.
const entryMemoryMB = 128

// peakMemoryMB returns the most memory that a process has taken.
func peakMemoryMB(t *testing.T, p *process) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, peak, _ := strings.Cut(string(text), "VmHWM:")
	var kilobytes int
	if _, err := fmt.Sscan(peak, &kilobytes); err != nil {
		t.Fatal(err)
	}
	return kilobytes >> 10
}

// Guards against callers whose bodies, each within its limit, together fill the memory of an entry.
func TestBodiesDoNotFillMemory(t *testing.T) {
	const largest = 1 << 20
	costs := cluster.DefaultEngineCosts
	costs.PrefillTokensPerSecond = 1_000_000
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{
		ConfigText: examples.Marktlizenz, Entries: 1, EngineCosts: costs, LogOutput: io.Discard, Launch: processLauncher(t),
		AdjustSettings: func(s *settings.Settings) {
			if s.Role == settings.RoleEntry {
				s.MemoryMB = entryMemoryMB
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	prompt := func(filler int) string {
		return `{"model":"pruefer-lm","max_tokens":1,"messages":[{"role":"user","content":"` + strings.Repeat("x", filler) + `"}]}`
	}
	t.Run("unfinished", func(t *testing.T) {
		var refused atomic.Int32
		var conns sync.WaitGroup
		for range 300 {
			conn, err := net.Dial("tcp", c.EntrySettings[0].Listen)
			if err != nil {
				t.Fatal(err)
			}
			conns.Go(func() {
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
				_, _ = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer muenchen-token\r\nContent-Length: %d\r\n\r\n%s", largest, prompt(largest-200))
				text := make([]byte, 1<<10)
				if n, _ := conn.Read(text); strings.Contains(string(text[:n]), "memory_full") {
					refused.Add(1)
				}
			})
		}
		conns.Wait()
		if refused.Load() == 0 {
			t.Error("no caller was refused")
		}
	})
	t.Run("whole", func(t *testing.T) {
		body := prompt(largest - 200)
		var callers sync.WaitGroup
		for range 60 {
			callers.Go(func() {
				resp, err := post(ctx, c.EntryURL(0)+"/v1/chat/completions", "muenchen-token", map[string]string{"Toucanwell-Deadline-Ms": "1000"}, []byte(body))
				if err != nil {
					t.Errorf("a caller was cut off: %v", err)
					return
				}
				defer resp.Body.Close()
				if text, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
					t.Errorf("status %d, error %v: %.200s", resp.StatusCode, err, text)
				}
			})
		}
		callers.Wait()
	})
	if peak := peakMemoryMB(t, asProcess(c.Entries[0])); peak > entryMemoryMB {
		t.Errorf("the entry has taken %d MB of %d", peak, entryMemoryMB)
	}
	if err := checkCompletion(c, 0, reviewRequest); err != nil {
		t.Error(err)
	}
}

// Guards against entries whose prompts together fill the memory of a sidecar.
func TestPromptsDoNotFillTheMemoryOfASidecar(t *testing.T) {
	const memoryMB, prompts = 96, 120
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{
		ConfigText: examples.Marktlizenz, Entries: 1, EngineCosts: slowCosts, LogOutput: io.Discard, Launch: processLauncher(t),
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
	var refused atomic.Int32
	var runs sync.WaitGroup
	for n := range prompts {
		runs.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
			defer cancel()
			stream, err := client.Run(ctx, connect.NewRequest(&peerv1.RunRequest{
				RequestId: fmt.Sprint(n), Workspace: parsed.Workspaces[0].Name, Service: service.Name, Model: parsed.Models[0].Name,
				Weights: parsed.Models[0].Weights, BudgetMs: 60_000, Prompt: strings.Repeat("x", 1<<20), PromptTokens: 1000, MaxTokens: 200, FromSeq: 1,
			}))
			if err != nil {
				return
			}
			defer stream.Close()
			if !stream.Receive() && connect.CodeOf(stream.Err()) == connect.CodeResourceExhausted {
				refused.Add(1)
			}
		})
	}
	runs.Wait()
	if peak := peakMemoryMB(t, asProcess(c.Sidecars[target.Name])); peak > memoryMB {
		t.Errorf("the sidecar has taken %d MB of %d", peak, memoryMB)
	}
	if refused.Load() == 0 {
		t.Error("no prompt was refused")
	}
}
