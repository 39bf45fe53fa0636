package gateway

import (
	"testing"
	"time"
)

// Guards against a store that is read by every process of a fleet that starts, and against entries
// with callers that wait for peers which have no replica either.
func TestNewProcessWaitsForPeers(t *testing.T) {
	for name, c := range map[string]struct {
		wait peerWait
		want bool
	}{
		"first start, nobody heard":                     {peerWait{sinceStart: 2 * time.Second}, true},
		"first start, nobody heard for long":            {peerWait{sinceStart: 4 * time.Second}, false},
		"first start, a peer has a replica":             {peerWait{sinceStart: 4 * time.Second, replicaSeen: true}, true},
		"first start, no fetch for long":                {peerWait{sinceStart: 9 * time.Second, replicaSeen: true}, false},
		"first start, only empty peers":                 {peerWait{sinceStart: 2 * time.Second, emptySeen: true}, true},
		"restart, nobody heard":                         {peerWait{sinceStart: 100 * time.Millisecond, mayHaveCallers: true}, true},
		"restart, nobody answers":                       {peerWait{sinceStart: 400 * time.Millisecond, mayHaveCallers: true}, false},
		"restart, peers have just started":              {peerWait{sinceStart: 10 * time.Millisecond, mayHaveCallers: true, emptySeen: true}, false},
		"restart, some peers have just started":         {peerWait{sinceStart: 10 * time.Millisecond, mayHaveCallers: true, emptySeen: true, replicaSeen: true}, true},
		"restart, a peer has a replica but no time yet": {peerWait{sinceStart: 400 * time.Millisecond, mayHaveCallers: true, replicaSeen: true}, false},
	} {
		if got := c.wait.shouldWait(); got != c.want {
			t.Errorf("%s: waits %v, want %v", name, got, c.want)
		}
	}
}
