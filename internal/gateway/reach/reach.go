// Package reach detects whether this host is partitioned from the rest of the deployment.
//
// A partitioned entry would try one engine after the other for each request, while a load
// balancer that still reaches it keeps sending callers there. Detecting the partition lets
// it refuse them at once.
package reach

import (
	"sync/atomic"
	"time"
)

const (
	// heartbeatTimeout is the time without a heartbeat of any sidecar after which the host
	// may be partitioned. Each sidecar sends more than two a second.
	heartbeatTimeout = 800 * time.Millisecond
	// connectTimeout is slightly less than the timeout of a connection attempt. A response
	// during a failed attempt shows that engines are reachable.
	connectTimeout = 200 * time.Millisecond
	// failureTTL is how long a failed connection counts. Without traffic there is no newer
	// evidence, so the host counts as connected again until the next request fails.
	failureTTL = 5 * time.Second
)

// Monitor holds the times of the last signs of connectivity, all of one clock. It is safe for
// concurrent use.
type Monitor struct {
	lastHeartbeat, lastResponse, lastConnectFailure atomic.Int64
}

// HeartbeatReceived records a heartbeat of an engine's sidecar. Heartbeats of other entries
// do not count, because several entries may be partitioned together.
func (m *Monitor) HeartbeatReceived(now time.Time) { m.lastHeartbeat.Store(now.UnixNano()) }

// EngineResponded records a response of an engine.
func (m *Monitor) EngineResponded(now time.Time) { m.lastResponse.Store(now.UnixNano()) }

// ConnectFailed records a failed connection to an engine.
func (m *Monitor) ConnectFailed(now time.Time) { m.lastConnectFailure.Store(now.UnixNano()) }

// Partitioned reports whether the host reaches no engine: no sidecar sent a heartbeat
// recently, and no engine responded since the last failed connection was started. Neither
// suffices alone: heartbeats may be lost, and a single engine may be unresponsive.
func (m *Monitor) Partitioned(now time.Time) bool {
	heartbeat, failure := m.lastHeartbeat.Load(), m.lastConnectFailure.Load()
	if heartbeat == 0 || failure-m.lastResponse.Load() <= int64(connectTimeout) {
		return false
	}
	nanos := now.UnixNano()
	return nanos-heartbeat > int64(heartbeatTimeout) && nanos-failure < int64(failureTTL)
}
