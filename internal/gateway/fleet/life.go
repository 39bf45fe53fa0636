package fleet

import "strconv"

// Life is one run of a target's process, from its start to its end. What is believed
// of a target belongs to one life of it: the next one holds no parts, has no work and
// counts its orders anew.
type Incarnation struct {
	// Instance is the target's name. A target that starts again may keep it.
	Instance string
	// Born is when the process started, in Unix milliseconds by the clock of its
	// host. It is zero for a target that does not say.
	StartedMs int64
}

// String returns the life as it stands in logs.
func (l Incarnation) String() string {
	if l.StartedMs == 0 {
		return l.Instance
	}
	return l.Instance + "@" + strconv.FormatInt(l.StartedMs, 10)
}

// Before reports whether l is an earlier life than o of the same target.
func (l Incarnation) Before(o Incarnation) bool {
	return l.Instance == o.Instance && l.StartedMs < o.StartedMs
}

// Same reports whether l and o may be one life. A target may not say everywhere when it was
// born; its name decides then.
func (l Incarnation) Matches(o Incarnation) bool {
	return l.Instance == o.Instance && (l.StartedMs == o.StartedMs || l.StartedMs == 0 || o.StartedMs == 0)
}
