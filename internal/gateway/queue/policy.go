package queue

const (
	// defaultMaxRequests and defaultMaxBytes apply if a policy sets no bounds.
	defaultMaxRequests = 2000
	defaultMaxBytes    = 32 << 20
)

// SetPolicy changes the shares and bounds. Requests that wait stay, also beyond a lower bound.
func (q *Queue) SetPolicy(p Policy) {
	if p.MaxRequests <= 0 {
		p.MaxRequests = defaultMaxRequests
	}
	if p.MaxBytes <= 0 {
		p.MaxBytes = defaultMaxBytes
	}
	q.policy = p
	for _, l := range q.lines {
		l.applyPolicy(&q.policy)
	}
}

// applyPolicy sets the shares of the workspaces. All start even again: tags that grew with other
// weights would delay some.
func (l *line) applyPolicy(p *Policy) {
	for _, w := range l.workspaces {
		l.floors.remove(w)
		w.setShare(p)
		w.reserve = l.contended
		if w.floor > 0 && w.waiting > 0 {
			l.floors.push(w)
		}
	}
	for _, c := range l.classes {
		c.weight, c.maxTag = 0, c.time
		for _, f := range c.flows {
			f.tag = c.time
			if f.size() > 0 {
				c.weight += f.workspace.weight
			}
			c.active.fix(f)
		}
		// Heaps need all their keys to be final.
		flows := c.ends.items
		c.ends.items = nil
		for _, f := range flows {
			f.lastPlace = 0
		}
		for _, f := range flows {
			c.ends.push(f)
		}
	}
}
