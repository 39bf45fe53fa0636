package cluster_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/examples"
	"github.com/toucanwell/toucanwell/internal/cluster"
	"github.com/toucanwell/toucanwell/internal/standin"
)

// waitForWeights waits until all engines have the weights.
func waitForWeights(t *testing.T, c *cluster.Cluster, weights string) {
	t.Helper()
	eventually(t, "all engines have the weights", func() bool {
		for _, e := range c.Engines {
			if e.Weights() != weights {
				return false
			}
		}
		return true
	})
}

// waitForLoading waits until an engine other than the excluded one is loading weights, and returns
// its name.
func waitForLoading(t *testing.T, c *cluster.Cluster, excluded string) string {
	t.Helper()
	name := ""
	eventually(t, "an engine is loading weights", func() bool {
		for n, e := range c.Engines {
			if n != excluded && e.Stats().Loads > 0 && e.Weights() != "2026-12" {
				name = n
				return true
			}
		}
		return false
	})
	return name
}

// The load limit must hold, and each engine must load new weights once, when a sidecar is suspended
// and another is replaced during their engines' loads. The engines ignore fencing tokens.
func TestLoadLimitWithLostTicketHolders(t *testing.T) {
	costs := slowCosts
	costs.LoadTime = 1200 * time.Millisecond
	c := startProcesses(t, examples.Marktlizenz, 1, costs)
	for _, e := range c.Engines {
		e.SetFaults(standin.EngineFaults{IgnoreFence: true})
	}
	publish(t, c, 1, `weights = "2026-11"`, `weights = "2026-12"`)
	suspended := waitForLoading(t, c, "")
	asProcess(c.Sidecars[suspended]).signal(syscall.SIGSTOP)
	killed := waitForLoading(t, c, suspended)
	c.Sidecars[killed].Close()
	if err := c.StartSidecar(killed); err != nil {
		t.Fatal(err)
	}
	waitForWeights(t, c, "2026-12")
	asProcess(c.Sidecars[suspended]).signal(syscall.SIGCONT)
	waitForReadySidecar(t, c, suspended)
	if peak, total := c.WeightStore.FetchCounts(); peak > 2 || total != len(c.Engines) {
		t.Errorf("%d concurrent loads, %d in total for %d engines", peak, total, len(c.Engines))
	}
}
