package cluster_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/examples"
	"github.com/toucanwell/toucanwell/internal/cluster"
)

// usage is a process's CPU time and resident set size in bytes.
type usage struct {
	cpu time.Duration
	rss float64
}

func usageOf(b *testing.B, p cluster.Process) usage {
	const tick = 10 * time.Millisecond
	pid := asProcess(p).cmd.Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	pages, _ := strconv.Atoi(fields[21])
	return usage{time.Duration(user+system) * tick, float64(pages * os.Getpagesize())}
}

// BenchmarkIdleProcesses measures the CPU time and the memory of entries and sidecars without
// traffic.
func BenchmarkIdleProcesses(b *testing.B) {
	const duration = 15 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{ConfigText: examples.Marktlizenz, Entries: 2, EngineCosts: slowCosts, LogOutput: io.Discard, Launch: processLauncher(b)})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	<-time.After(2 * time.Second)
	roles := map[string][]cluster.Process{"entry": c.Entries}
	for name, p := range c.Sidecars {
		role := "engine-sidecar"
		if strings.HasPrefix(name, "marktportal") {
			role = "plain-sidecar"
		}
		roles[role] = append(roles[role], p)
	}
	before := map[cluster.Process]usage{}
	for _, list := range roles {
		for _, p := range list {
			before[p] = usageOf(b, p)
		}
	}
	for b.Loop() {
		<-time.After(duration)
	}
	for role, list := range roles {
		var cpu time.Duration
		var rss float64
		for _, p := range list {
			u := usageOf(b, p)
			cpu += u.cpu - before[p].cpu
			rss += u.rss
		}
		n := float64(len(list))
		b.ReportMetric(100*cpu.Seconds()/duration.Seconds()/n, role+"-core-%")
		b.ReportMetric(rss/n/1e6, role+"-MB")
	}
}
