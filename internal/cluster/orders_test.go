package cluster_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/examples"
	"github.com/toucanwell/toucanwell/internal/cluster"
	"github.com/toucanwell/toucanwell/internal/standin"
)

// allEnginesGet waits until every engine has weights.
func allEnginesGet(t *testing.T, c *cluster.Cluster, weights string) {
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

// loadingEngine waits for an engine that has been told to load, other than the
// given one.
func loadingEngine(t *testing.T, c *cluster.Cluster, not string) string {
	t.Helper()
	name := ""
	eventually(t, "an engine loads", func() bool {
		for n, e := range c.Engines {
			if n != not && e.Stats().Loads > 0 && e.Weights() != "2026-12" {
				name = n
				return true
			}
		}
		return false
	})
	return name
}

// New weights roll over engines that ignore fencing numbers. One sidecar is
// frozen while its engine loads, another is killed and replaced. The store must
// never serve more than two loads, the frozen one's place is not given away, the
// dead one's is taken back, and when the frozen one wakes all engines have the
// weights, each after one load.
func TestHoldersOfTicketsFreezeAndDie(t *testing.T) {
	costs := slowCosts
	costs.LoadTime = 1200 * time.Millisecond
	c := startProcesses(t, examples.Marktlizenz, 1, costs)
	for _, e := range c.Engines {
		e.SetFaults(standin.EngineFaults{IgnoreFence: true})
	}
	publish(t, c, 1, `weights = "2026-11"`, `weights = "2026-12"`)
	frozen := loadingEngine(t, c, "")
	proc(c.Sidecars[frozen]).signal(syscall.SIGSTOP)
	killed := loadingEngine(t, c, frozen)
	c.Sidecars[killed].Close()
	if err := c.StartSidecar(killed); err != nil {
		t.Fatal(err)
	}
	allEnginesGet(t, c, "2026-12")
	proc(c.Sidecars[frozen]).signal(syscall.SIGCONT)
	eventually(t, "the woken sidecar answers", func() bool { return isReady(c.SidecarSettings[frozen].AdminListen) })
	if peak, total := c.WeightStore.FetchCounts(); peak > 2 || total != len(c.Engines) {
		t.Errorf("%d loads ran at once, %d in all for %d engines", peak, total, len(c.Engines))
	}
}
