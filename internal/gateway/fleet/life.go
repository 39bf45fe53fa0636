package fleet

import "strconv"

// Life is one run of a target's process, from its start to its end. What is believed
// of a target belongs to one life of it: the next one holds no parts, has no work and
// counts its orders anew.
type Life struct {
	// Instance is the target's name. A target that starts again may keep it.
	Instance string
	// Born is when the process started, in Unix milliseconds by the clock of its
	// host. It is zero for a target that does not say.
	Born int64
}

// String returns the life as it stands in logs.
func (l Life) String() string {
	if l.Born == 0 {
		return l.Instance
	}
	return l.Instance + "@" + strconv.FormatInt(l.Born, 10)
}

// Before reports whether l is an earlier life than o of the same target.
func (l Life) Before(o Life) bool { return l.Instance == o.Instance && l.Born < o.Born }

// Same reports whether l and o may be one life. A target may not say everywhere when it was
// born; its name decides then.
func (l Life) Same(o Life) bool {
	return l.Instance == o.Instance && (l.Born == o.Born || l.Born == 0 || o.Born == 0)
}
