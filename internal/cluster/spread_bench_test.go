package cluster_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/cluster"
	"github.com/toucanwell/toucanwell/internal/configlog"
	"github.com/toucanwell/toucanwell/internal/settings"
)

// plainTargetsConfig returns a configuration with n plain targets.
func plainTargetsConfig(n int) string {
	var b strings.Builder
	b.WriteString("schema = 1\n[[region]]\nname = \"r\"\navailability_zones = [\"z\"]\n[[service]]\nname = \"s\"\nkind = \"plain\"\n")
	for i := range n {
		fmt.Fprintf(&b, "[[service.target]]\nname = \"t%d\"\naddress = \"127.0.0.1:%d\"\navailability_zone = \"z\"\n", i, 40_000+i)
	}
	return b.String()
}

// BenchmarkConfigSpread measures the time from the publication of a configuration until it is active
// on all of n processes.
func BenchmarkConfigSpread(b *testing.B) {
	for _, n := range []int{25, 50, 100, 200} {
		b.Run(fmt.Sprintf("processes=%d", n), func(b *testing.B) {
			ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
			defer cancel()
			c, err := cluster.Start(ctx, cluster.Options{
				ConfigText: plainTargetsConfig(n), EngineCosts: slowCosts, LogOutput: io.Discard,
				AdjustSettings: func(s *settings.Settings) { s.Timing.SyncPeriod.Duration = 2 * time.Second },
			})
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			version, worst := uint64(1), time.Duration(0)
			var sum time.Duration
			rounds := 0
			for b.Loop() {
				rounds++
				c.ConfigText += "# changed\n"
				data, _ := configlog.Encode(configlog.Record{Type: configlog.TypePublish, Nonce: fmt.Sprint(version), Base: version, Text: c.ConfigText})
				start := time.Now()
				version = c.Log.AppendRecord(configlog.Stream, data)
				for _, s := range c.SidecarSettings {
					for activeVersion(s.AdminListen) < version {
						<-time.After(2 * time.Millisecond)
					}
				}
				elapsed := time.Since(start)
				sum += elapsed
				worst = max(worst, elapsed)
			}
			b.ReportMetric(float64(sum.Milliseconds())/float64(rounds), "mean-ms")
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
		})
	}
}
