package forward

import (
	"testing"

	"github.com/toucanwell/toucanwell/internal/gateway/estate"
)

// Requests that can be in time precede late ones; within both, the workspace's priority
// decides before the route's.
func TestPriorityOrdersWorkspacesThenRoutes(t *testing.T) {
	rank := func(workspace, route int, late bool) int {
		fl := &flow{route: &estate.Route{Priority: route}}
		if workspace >= 0 {
			fl.workspace = &estate.Workspace{HasPriority: true, Priority: workspace}
		}
		return fl.priority(late)
	}
	ordered := [][]int{{rank(0, 0, false)}, {rank(0, 1, false)}, {rank(1, 0, false)}, {rank(1, 1, false)}, {rank(0, 0, true)}, {rank(1, 1, true)}}
	for i := 1; i < len(ordered); i++ {
		if ordered[i-1][0] >= ordered[i][0] {
			t.Errorf("priorities %v are not in order", ordered)
		}
	}
	if got := rank(-1, 1, false); got != 1 {
		t.Errorf("without a workspace priority: priority %d, want 1", got)
	}
	for _, workspace := range []int{-1, 0, 1, 50} {
		if got := rank(workspace, 70, false); got < 0 || got >= onTimePriorities {
			t.Errorf("priority %d", got)
		}
		if got := rank(workspace, 70, true); got < onTimePriorities || got >= 2*onTimePriorities {
			t.Errorf("late priority %d", got)
		}
	}
}
