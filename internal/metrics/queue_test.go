package metrics

import (
	"fmt"
	"testing"
)

// Workspaces beyond the first twenty must not get time series of their own, and their shares must still
// count.
func TestQueueSharesAreBounded(t *testing.T) {
	m := New()
	state := QueueState{Service: "s", Requests: 7, Bytes: 900}
	for i := range 30 {
		state.Workspaces = append(state.Workspaces, QueueShare{Workspace: fmt.Sprintf("w%02d", i), Placed: uint64(i), Share: 1.0 / 32})
	}
	state.Workspaces = append(state.Workspaces, QueueShare{Workspace: otherWorkspaces, Placed: 1000, Share: 2.0 / 32})
	m.RegisterQueue(func() []QueueState { return []QueueState{state} })
	families, err := m.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	series := map[string]int{}
	for _, f := range families {
		series[f.GetName()] = len(f.GetMetric())
	}
	if series["toucanwell_queue_share"] != maxShareWorkspaces+1 || series["toucanwell_queue_requests"] != 1 || series["toucanwell_queue_bytes"] != 1 {
		t.Errorf("time series %v", series)
	}
	shares := boundShares(state.Workspaces)
	if last := shares[len(shares)-1]; shares[0].Workspace != "w29" || last.Workspace != otherWorkspaces || last.Share < 11.9/32 || last.Share > 12.1/32 {
		t.Errorf("first %+v, last %+v", shares[0], last)
	}
}
