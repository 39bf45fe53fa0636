package cluster_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/examples"
	"github.com/toucanwell/toucanwell/internal/cluster"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/standin"
)

// BenchmarkPath is what entry and sidecar add to a request of one token: the
// same request to an engine directly and through the path, in turn. All ends
// run in this process.
func BenchmarkPath(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	costs := standin.EngineCosts{PrefillTokensPerSecond: 1e9, MaxBatch: 64, CacheBlocks: 10_000}
	c, err := cluster.Start(ctx, cluster.Options{ConfigText: examples.Marktlizenz, Entries: 1, EngineCosts: costs, LogOutput: io.Discard})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	engine := external.NewHTTPEngine(c.SidecarSettings["pruefer-1"].Target.URL, external.NewHTTPClient())
	body := completionBody{Model: "pruefer-lm", Messages: nested(1, 1), MaxTokens: 1}
	data, _ := json.Marshal(body)
	var direct, through []time.Duration
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		start := time.Now()
		if err := generateDirectly(ctx, engine, fmt.Sprint("direct-", i), body.prompt()); err != nil {
			b.Fatal(err)
		}
		direct = append(direct, time.Since(start))
		start = time.Now()
		resp, err := post(ctx, c.EntryURL(0)+"/v1/chat/completions", "muenchen-token", nil, data)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status)
		}
		through = append(through, time.Since(start))
	}
	slices.Sort(direct)
	slices.Sort(through)
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		i := int(q.at * float64(len(direct)-1))
		added := through[i] - direct[i]
		b.ReportMetric(float64(added.Microseconds()), q.name+"-added-us")
		b.ReportMetric(float64(through[i])/float64(direct[i]), q.name+"-ratio")
	}
}

func generateDirectly(ctx context.Context, engine external.Engine, id, prompt string) error {
	tokens, err := engine.Generate(ctx, &external.GenerateRequest{RequestID: id, Prompt: prompt, From: 1, MaxTokens: 1, BlockTokens: 64, Weights: "2026-11"})
	if err != nil {
		return err
	}
	defer tokens.Close()
	for {
		token, err := tokens.Next()
		if err != nil {
			return err
		}
		if token.End {
			return nil
		}
	}
}
