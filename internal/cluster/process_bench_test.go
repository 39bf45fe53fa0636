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

// usage is a process's processor time and resident memory.
type usage struct {
	cpu time.Duration
	rss float64
}

func usageOf(b *testing.B, p cluster.Process) usage {
	const tick = 10 * time.Millisecond
	pid := proc(p).cmd.Process.Pid
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

// BenchmarkIdleProcesses is what the control of an entry and of sidecars costs
// in real processes without traffic: 2 entries and 12 sidecars for 15 s.
func BenchmarkIdleProcesses(b *testing.B) {
	const length = 15 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{ConfigText: examples.Marktlizenz, Entries: 2, EngineCosts: slowCosts, LogOutput: io.Discard, Launch: launcher(b)})
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
		<-time.After(length)
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
		b.ReportMetric(100*cpu.Seconds()/length.Seconds()/n, role+"-core-%")
		b.ReportMetric(rss/n/1e6, role+"-MB")
	}
}
