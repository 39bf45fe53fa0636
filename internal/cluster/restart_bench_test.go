package cluster_test

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/examples"
	"github.com/toucanwell/toucanwell/internal/cluster"
	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/load"
	"github.com/toucanwell/toucanwell/internal/standin"
	"github.com/toucanwell/toucanwell/internal/trace"
)

// BenchmarkRestart compares prefix hit rates before and after all entries are killed and restarted
// while the log is down.
func BenchmarkRestart(b *testing.B) {
	const batch = 1000
	ctx, cancel := context.WithTimeout(context.Background(), 5*testTimeout)
	defer cancel()
	costs := standin.EngineCosts{PrefillTokensPerSecond: 40_000, DecodeStep: time.Millisecond, MaxBatch: 16, CacheBlocks: 4000, LoadTime: time.Second}
	c, err := cluster.Start(ctx, cluster.Options{ConfigText: examples.Olaje, Entries: 3, EngineCosts: costs, LogOutput: io.Discard, Launch: processLauncher(b)})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	shape := trace.Olaje()
	parsed, err := config.Parse("olaje", examples.Olaje)
	if err != nil {
		b.Fatal(err)
	}
	for i := range shape.Workspaces {
		shape.Workspaces[i].Name = parsed.Workspaces[i].Name
	}
	records := slices.Collect(trace.Generate(shape, 100, time.Minute, 5))
	hitRate := func(requests []trace.Record) float64 {
		start := requests[0].Timestamp
		shifted := func(yield func(trace.Record) bool) {
			for _, r := range requests {
				r.Timestamp -= start
				if !yield(r) {
					return
				}
			}
		}
		var entries []string
		for i := range c.Entries {
			entries = append(entries, c.EntryURL(i))
		}
		outcomes := load.Run(ctx, load.Options{Entries: entries, Model: "oleaje-lm", MaxOpen: 200, Token: func(w string) string { return w + "-token" }}, shifted)
		prompt, cached := 0, 0
		for _, o := range outcomes {
			if !o.Correct {
				b.Fatal(o.Failure)
			}
			prompt += o.Prompt
			cached += o.Cached
		}
		return float64(cached) / float64(prompt)
	}
	var ready time.Duration
	var before, after float64
	for b.Loop() {
		hitRate(records[:batch])
		before = hitRate(records[batch : 2*batch])
		c.Log.SetFaults(standin.LogFaults{Down: true})
		for i := range c.Entries {
			c.Entries[i].Close()
		}
		start := time.Now()
		for i := range c.Entries {
			if err := c.StartEntry(i); err != nil {
				b.Fatal(err)
			}
		}
		if err := c.WaitReady(ctx); err != nil {
			b.Fatal(err)
		}
		ready = time.Since(start)
		after = hitRate(records[2*batch : 3*batch])
	}
	b.ReportMetric(float64(ready.Milliseconds()), "ready-ms")
	b.ReportMetric(before, "hit-before")
	b.ReportMetric(after, "hit-after")
}
