// Package reach tells whether this host is cut off from the others of the
// deployment.
//
// The load pattern that it answers: the links of one entry's host fail while
// callers still reach it. Each of its requests would try one engine after the
// other and wait for each, a second in all, before it is refused; and the
// balancer would go on sending callers there although other entries serve.
package reach

import (
	"sync/atomic"
	"time"
)

const (
	// silence is the time without word of any sidecar from which the host may be
	// cut off. Each of them sends a heartbeat more than twice a second.
	silence = 800 * time.Millisecond
	// attempt is how long a connection is tried, a little less. An answer that came
	// while one was tried shows that engines are reached.
	attempt = 200 * time.Millisecond
	// evidenceFor is how long a failed connection to an engine counts. Without
	// requests there is no newer word of the engines: the host then counts as
	// connected again, and the next request tells.
	evidenceFor = 5 * time.Second
)

// Book holds what this host has heard of others lately. It is safe for
// concurrent use. All times are of one clock.
type Monitor struct {
	heard, answered, failed atomic.Int64
}

// Heard notes word of an engine's sidecar. Other entries do not count: two of them
// may be cut off together.
func (b *Monitor) HeartbeatReceived(now time.Time) { b.heard.Store(now.UnixNano()) }

// Answered notes that an engine has answered.
func (b *Monitor) EngineResponded(now time.Time) { b.answered.Store(now.UnixNano()) }

// Failed notes that an engine could not be connected to.
func (b *Monitor) ConnectFailed(now time.Time) { b.failed.Store(now.UnixNano()) }

// CutOff reports whether the host reaches no engine: no sidecar was heard
// lately, and no engine has answered since the newest connection that failed was
// begun. Either alone is not enough: heartbeats may be lost, and a single engine may
// be dark.
func (b *Monitor) Partitioned(now time.Time) bool {
	heard, failed := b.heard.Load(), b.failed.Load()
	if heard == 0 || failed-b.answered.Load() <= int64(attempt) {
		return false
	}
	at := now.UnixNano()
	return at-heard > int64(silence) && at-failed < int64(evidenceFor)
}
