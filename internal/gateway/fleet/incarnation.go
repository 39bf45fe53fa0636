package fleet

import "strconv"

// Incarnation is one run of a target's process, from its start to its end. State learned
// about a target applies to one incarnation: after a restart the cache is empty, no requests
// run, and the order count starts over.
type Incarnation struct {
	// Instance is the target's name. A target may keep it across restarts.
	Instance string
	// StartedMs is when the process started, in Unix milliseconds by its host's clock.
	// It is zero if unknown.
	StartedMs int64
}

// String returns the incarnation in the form used in logs.
func (i Incarnation) String() string {
	if i.StartedMs == 0 {
		return i.Instance
	}
	return i.Instance + "@" + strconv.FormatInt(i.StartedMs, 10)
}

// Before reports whether i is an earlier incarnation of the same target than o.
func (i Incarnation) Before(o Incarnation) bool {
	return i.Instance == o.Instance && i.StartedMs < o.StartedMs
}

// Matches reports whether i and o may be the same incarnation. If either lacks a start time,
// only the names are compared.
func (i Incarnation) Matches(o Incarnation) bool {
	return i.Instance == o.Instance && (i.StartedMs == o.StartedMs || i.StartedMs == 0 || o.StartedMs == 0)
}
