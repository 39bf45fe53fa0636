package queue

import "time"

// maxScan bounds the entries that are passed over in the search for a smaller one, so that a search
// takes bounded time whatever waits.
const maxScan = 32

// passed is an entry that is passed over in a search, with what passing it over changed.
type passed struct {
	flow                    *flow
	tag, reserve, contended float64
}

// nextBelow returns the first entry in order that accept accepts, as if those before it were placed.
func (l *line) nextBelow(now time.Time, accept func(*entry) bool) *entry {
	var buffer [maxScan]passed
	list := buffer[:0]
	var found *entry
	for len(list) < maxScan {
		e := l.next(now)
		if e == nil || accept(e) {
			found = e
			break
		}
		list = append(list, l.pass(e))
	}
	for i := len(list) - 1; i >= 0; i-- {
		l.restore(&list[i])
	}
	return found
}

// pass passes over the next entry in order until restore is called.
func (l *line) pass(e *entry) passed {
	f, w := e.flow, e.flow.workspace
	p := passed{f, f.tag, w.reserve, l.contended}
	f.skipped++
	w.skipped++
	f.tag += e.Cost / w.weight
	if f.skipped < f.size() {
		f.class.active.fix(f)
	} else {
		f.class.active.remove(f)
	}
	l.chargeFloor(w, e.Cost)
	if w.skipped == w.waiting {
		l.floors.remove(w)
	}
	return p
}

func (l *line) restore(p *passed) {
	f, w := p.flow, p.flow.workspace
	f.skipped--
	w.skipped--
	f.tag, w.reserve, l.contended = p.tag, p.reserve, p.contended
	if f.class.active.has(f) {
		f.class.active.fix(f)
	} else {
		f.class.active.push(f)
	}
	if l.floors.has(w) {
		l.floors.fix(w)
	} else if w.floor > 0 {
		l.floors.push(w)
	}
}
