package gateway

import (
	"fmt"

	"github.com/toucanwell/toucanwell/internal/tomltext"
)

// QueueSettings configure the queue of an entry for requests that find no target.
type QueueSettings struct {
	// Enabled turns the queue on, Disabled turns it off even if the contracts call for it. Without the
	// queue such requests retry their placement for a short time.
	Enabled  bool `toml:"enabled"`
	Disabled bool `toml:"disabled"`
	// MaxRequests is the most requests that wait. Default 2000.
	MaxRequests int `toml:"max_requests"`
	// MaxMB bounds the bodies of the requests that wait. Default an eighth of MemoryMB.
	MaxMB int64 `toml:"max_mb"`
	// Workspaces are the workspaces with another weight or floor than the default.
	Workspaces []QueueWorkspace `toml:"workspaces"`
}

// QueueWorkspace is the part of the targets that a workspace gets while requests wait.
type QueueWorkspace struct {
	Name string `toml:"name"`
	// Weight is the workspace's share relative to others. Default 1.
	Weight float64 `toml:"weight"`
	// Floor is the least share of the placements, whatever others send.
	Floor float64 `toml:"floor"`
}

// SpeedSettings configure whether placement uses the measured speeds of engines.
type SpeedSettings struct {
	Enabled bool `toml:"enabled"`
}

const (
	defaultMaxQueued = 2000
	// maxQueued bounds max_requests. A waiting request takes some kilobytes beside its body.
	maxQueued = 100_000
	// queueMemoryDivisor divides the memory of the process into the default for queued bodies, and
	// maxQueueMemoryDivisor into their bound: the rest is for requests that run.
	queueMemoryDivisor    = 8
	maxQueueMemoryDivisor = 2
	// Weights beyond these bounds would leave a workspace with next to nothing, or others.
	minQueueWeight = 0.01
	maxQueueWeight = 100
	// maxFloors bounds the sum of the floors, so that workspaces without a floor get a part.
	maxFloors = 0.9
	// floorRounding is the error of a sum of decimal floors.
	floorRounding = 1e-9
)

// setDefaults fills in what the text leaves out. A value that the text states as zero is kept, so that
// it is reported.
func (q *QueueSettings) setDefaults(memoryMB int64, lines tomltext.Lines) {
	if !lines.Has("queue.max_mb") {
		q.MaxMB = max(memoryMB/queueMemoryDivisor, 1)
	}
	for i := range q.Workspaces {
		if !lines.Has(workspaceKey(i) + ".weight") {
			q.Workspaces[i].Weight = 1
		}
	}
}

func workspaceKey(i int) string { return fmt.Sprintf("queue.workspaces[%d]", i) }

func (q *QueueSettings) check(c *settingsChecker, memoryMB int64) {
	c.require(q.MaxRequests >= 1 && q.MaxRequests <= maxQueued, "queue.max_requests", tomltext.Found(q.MaxRequests, fmt.Sprintf("1 to %d", maxQueued)))
	if c.lines.Has("queue.max_mb") {
		most := memoryMB / maxQueueMemoryDivisor
		c.require(q.MaxMB >= 1 && q.MaxMB <= most, "queue.max_mb", tomltext.Found(q.MaxMB, fmt.Sprintf("1 to %d, half of memory_mb", most)))
	}
	c.require(!q.Enabled || !q.Disabled, "queue.disabled", tomltext.Found(q.Disabled, "false where queue.enabled is true"))
	q.checkWorkspaces(c)
}

func (q *QueueSettings) checkWorkspaces(c *settingsChecker) {
	first := map[string]int{}
	floors := 0.0
	for i, w := range q.Workspaces {
		key := workspaceKey(i)
		earlier, again := first[w.Name]
		c.require(w.Name != "", key+".name", missing)
		c.require(!again || w.Name == "", key+".name", tomltext.Found(w.Name, fmt.Sprintf("each name once, and line %d has it", c.lines.Line(workspaceKey(earlier)+".name"))))
		if !again {
			first[w.Name] = i
		}
		c.require(w.Weight >= minQueueWeight && w.Weight <= maxQueueWeight, key+".weight", tomltext.Found(w.Weight, fmt.Sprintf("%v to %v", minQueueWeight, maxQueueWeight)))
		if !(w.Floor >= 0 && w.Floor <= maxFloors) {
			c.require(false, key+".floor", tomltext.Found(w.Floor, fmt.Sprintf("0 to %v", maxFloors)))
			continue
		}
		left := maxFloors - floors
		c.require(w.Floor <= left+floorRounding, key+".floor", tomltext.Found(w.Floor, fmt.Sprintf("%.4g, since the floors add up to %v at most", max(left, 0), maxFloors)))
		floors = min(floors+w.Floor, maxFloors)
	}
}
