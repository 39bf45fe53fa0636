package queue

import "time"

// Urgencies is the number of urgencies.
const Urgencies = 10

// state is what an entry does.
type state uint8

const (
	// fresh entries attempt placement without having waited.
	fresh state = iota
	waiting
	// attempting entries have a turn. They keep their place in order.
	attempting
)

// entry is an item in a queue.
type entry struct {
	Item
	node
	group group
	key   time.Time
	state state
	flow  *flow
	// queuedAt is when the entry began to wait, placedBefore the count of placements then.
	queuedAt     time.Time
	placedBefore int
	// checkAt is when the entry's wait is checked; checkPlace is its place in the heap of checks.
	checkAt    time.Time
	checkPlace int
	// walk and round are the last ones in which the entry attempted placement.
	walk, round uint64
}

// flow holds the requests of one workspace, service and urgency.
type flow struct {
	order
	class     *class
	workspace *workspace
	// tag is the start tag of the next placement.
	tag float64
	// skipped is the number of its first entries that a search has passed over.
	skipped int
	// firstPlace and lastPlace are its places in the heaps of its class.
	firstPlace, lastPlace int
}

func (f *flow) cost() float64 {
	if f.root == nil {
		return 0
	}
	return f.root.cost
}

func (f *flow) size() int {
	if f.root == nil {
		return 0
	}
	return f.root.size
}

// finish is the tag after all its requests are placed.
func (f *flow) finish() float64 { return f.tag + f.cost()/f.workspace.weight }

// next returns the first entry. Requests that can no longer meet their objective move to the end.
func (f *flow) next(now time.Time) *entry {
	if f.skipped > 0 {
		return f.at(f.skipped)
	}
	for {
		e := f.first()
		if e == nil || e.group != onTime {
			return e
		}
		if latest, limited := e.latestOnTime(); !limited || !now.After(latest) {
			return e
		}
		f.remove(e)
		e.group, e.key = late, e.Arrived
		f.insert(e)
	}
}

// class holds the requests of one service and urgency.
type class struct {
	urgency int
	flows   map[string]*flow
	// active orders the flows that wait by tag, ends by the tag after their last request.
	active, ends indexed[*flow]
	// time is the virtual time: the lowest tag of flows that wait. maxTag is the highest tag.
	time, maxTag float64
	cost, weight float64
	waiting      int
}

func newClass(urgency int) *class {
	return &class{
		urgency: urgency, flows: map[string]*flow{},
		active: indexed[*flow]{less: func(a, b *flow) bool { return a.tag < b.tag }, place: func(f *flow) *int { return &f.firstPlace }},
		ends:   indexed[*flow]{less: func(a, b *flow) bool { return a.finish() > b.finish() }, place: func(f *flow) *int { return &f.lastPlace }},
	}
}

// workspace is a workspace in the queue of a service.
type workspace struct {
	name          string
	weight, floor float64
	// waiting is the number of its requests, skipped the number that a search has passed over.
	waiting, skipped int
	flows            [Urgencies]*flow
	// reserve is the placed cost of the service at which the workspace's floor is due again.
	reserve    float64
	floorPlace int
	// share is the cost that was recently placed while requests waited.
	share           decaying
	placed, refused uint64
}

// next returns the workspace's first entry.
func (w *workspace) next(now time.Time) *entry {
	for _, f := range w.flows {
		if f != nil && f.size() > f.skipped {
			return f.next(now)
		}
	}
	return nil
}

// line is the queue of one service.
type line struct {
	service    string
	classes    [Urgencies]*class
	workspaces map[string]*workspace
	// floors orders the waiting workspaces that have a floor by reserve.
	floors  indexed[*workspace]
	waiting int
	bytes   int64
	// contended is the cost placed while requests waited, share the recent part of it.
	contended float64
	share     decaying
	placed    int
	meter     meter
	turns     turns
	returns   [Urgencies]time.Time
}

func newLine(service string) *line {
	l := &line{
		turns: turns{round: 1}, service: service, workspaces: map[string]*workspace{},
		floors: indexed[*workspace]{less: func(a, b *workspace) bool { return a.reserve < b.reserve }, place: func(w *workspace) *int { return &w.floorPlace }},
	}
	for u := range l.classes {
		l.classes[u] = newClass(u)
	}
	return l
}

// workspace returns the state of a workspace.
func (l *line) workspace(name string, p *Policy) *workspace {
	w := l.workspaces[name]
	if w == nil {
		w = &workspace{name: name}
		w.setShare(p)
		l.workspaces[name] = w
	}
	return w
}

func (w *workspace) setShare(p *Policy) {
	s := p.Workspaces[w.name]
	if w.weight, w.floor = s.Weight, s.Floor; w.weight <= 0 {
		w.weight = 1
	}
}

// flow returns the flow of an item.
func (l *line) flow(it *Item, p *Policy) *flow {
	c := l.classes[it.Urgency]
	f := c.flows[it.Workspace]
	if f == nil {
		f = &flow{class: c, workspace: l.workspace(it.Workspace, p), tag: c.time}
		c.flows[it.Workspace] = f
		f.workspace.flows[it.Urgency] = f
	}
	return f
}

// attach inserts an entry into its flow.
func (l *line) attach(e *entry) {
	f, c, w := e.flow, e.flow.class, e.flow.workspace
	if f.size() == 0 {
		f.tag = max(f.tag, c.time)
		c.weight += w.weight
		f.insert(e)
		c.active.push(f)
		c.ends.push(f)
	} else {
		f.insert(e)
		c.ends.fix(f)
	}
	if w.waiting++; w.waiting == 1 && w.floor > 0 {
		w.reserve = max(w.reserve, l.contended)
		l.floors.push(w)
	}
	c.waiting++
	c.cost += e.Cost
	l.waiting++
	l.bytes += int64(e.Bytes)
}

// detach removes an entry from its flow.
func (l *line) detach(e *entry) {
	f, c, w := e.flow, e.flow.class, e.flow.workspace
	f.remove(e)
	if f.size() == 0 {
		c.weight -= w.weight
		c.active.remove(f)
		c.ends.remove(f)
	} else {
		c.ends.fix(f)
	}
	if w.waiting--; w.waiting == 0 {
		l.floors.remove(w)
	}
	c.waiting--
	c.cost -= e.Cost
	l.waiting--
	l.bytes -= int64(e.Bytes)
}

// charge charges a placement to its workspace.
func (l *line) charge(f *flow, cost float64) {
	c, w := f.class, f.workspace
	f.tag = max(f.tag, c.time) + cost/w.weight
	c.maxTag = max(c.maxTag, f.tag)
	c.active.fix(f)
	c.ends.fix(f)
	l.chargeFloor(w, cost)
}

// chargeFloor charges a placement to the floor of its workspace.
func (l *line) chargeFloor(w *workspace, cost float64) {
	l.contended += cost
	if w.floor > 0 {
		w.reserve += cost / w.floor
		l.floors.fix(w)
	}
}

// settle advances the virtual time after entries have left. In a class without requests all
// workspaces are even again.
func (c *class) settle() {
	if f, ok := c.active.first(); ok {
		c.time = max(c.time, f.tag)
		return
	}
	c.time, c.cost, c.weight = max(c.time, c.maxTag), 0, 0
	for name, f := range c.flows {
		f.workspace.flows[c.urgency] = nil
		delete(c.flows, name)
	}
}

// next returns the first entry in order.
func (l *line) next(now time.Time) *entry {
	if w, ok := l.floors.first(); ok && w.reserve <= l.contended {
		return w.next(now)
	}
	for _, c := range l.classes {
		if f, ok := c.active.first(); ok {
			return f.next(now)
		}
	}
	return nil
}

// last returns the last entry in order; nil if none waits.
func (l *line) last() *entry {
	for u := Urgencies - 1; u >= 0; u-- {
		if f, ok := l.classes[u].ends.first(); ok {
			return f.order.last()
		}
	}
	return nil
}

// isFirst reports whether no waiting request precedes an entry that does not wait.
func (l *line) isFirst(e *entry, now time.Time) bool {
	if l.waiting == 0 {
		return true
	}
	if w, ok := l.floors.first(); ok && w.reserve <= l.contended {
		return false
	}
	for _, c := range l.classes[:e.Urgency] {
		if c.waiting > 0 {
			return false
		}
	}
	c := l.classes[e.Urgency]
	f, ok := c.active.first()
	if !ok {
		return true
	}
	own := c.flows[e.Workspace]
	tag := c.time
	if own != nil {
		tag = max(tag, own.tag)
	}
	if own == nil || own.size() == 0 {
		return tag < f.tag
	}
	return tag <= f.tag && e.precedes(own.next(now))
}
