package queue

import "time"

// group is the first criterion of the order within a workspace.
type group uint8

const (
	returned group = iota
	onTime
	late
)

// node is the place of an entry in an order.
type node struct {
	left, right *entry
	// priority balances the tree; parents have lower ones.
	priority uint64
	// cost and size are those of the subtree.
	cost float64
	size int
}

// order is a treap of the entries of one workspace and urgency. The sums in its nodes give the work
// ahead of an entry in logarithmic time.
type order struct{ root *entry }

// setGroup puts an entry into the group that it is in now. The entry must not be in an order.
func (e *entry) setGroup(now time.Time) {
	switch latest, limited := e.latestOnTime(); {
	case e.Returned:
		e.group, e.key = returned, e.FirstArrival
	case !limited:
		e.group, e.key = onTime, e.Arrived.Add(noObjective)
	case now.After(latest):
		e.group, e.key = late, e.Arrived
	default:
		e.group, e.key = onTime, latest
	}
}

// noObjective sorts requests without an objective after those that can meet theirs.
const noObjective = 24 * time.Hour

func (e *entry) precedes(o *entry) bool {
	if e.group != o.group {
		return e.group < o.group
	}
	if !e.key.Equal(o.key) {
		return e.key.Before(o.key)
	}
	return e.ID < o.ID
}

func (e *entry) update() {
	e.cost, e.size = e.Cost, 1
	for _, child := range [...]*entry{e.left, e.right} {
		if child != nil {
			e.cost += child.cost
			e.size += child.size
		}
	}
}

func (o *order) insert(e *entry) {
	// A fixed mix of the ID spreads the priorities as random numbers do.
	e.priority = (e.ID + 1) * 0x9E3779B97F4A7C15
	e.priority ^= e.priority >> 29
	e.priority *= 0xBF58476D1CE4E5B9
	before, after := split(o.root, e)
	e.left, e.right = nil, nil
	e.update()
	o.root = merge(merge(before, e), after)
}

func (o *order) remove(e *entry) {
	o.root = removeFrom(o.root, e)
	e.left, e.right = nil, nil
}

func removeFrom(t, e *entry) *entry {
	switch {
	case t == nil:
		return nil
	case t == e:
		return merge(t.left, t.right)
	case e.precedes(t):
		t.left = removeFrom(t.left, e)
	default:
		t.right = removeFrom(t.right, e)
	}
	t.update()
	return t
}

// split divides a tree into the entries before e and those after it.
func split(t, e *entry) (before, after *entry) {
	if t == nil {
		return nil, nil
	}
	if t.precedes(e) {
		t.right, after = split(t.right, e)
		t.update()
		return t, after
	}
	before, t.left = split(t.left, e)
	t.update()
	return before, t
}

func merge(a, b *entry) *entry {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.priority < b.priority:
		a.right = merge(a.right, b)
		a.update()
		return a
	default:
		b.left = merge(a, b.left)
		b.update()
		return b
	}
}

func (o *order) first() *entry {
	e := o.root
	for e != nil && e.left != nil {
		e = e.left
	}
	return e
}

// at returns the entry with n others before it.
func (o *order) at(n int) *entry {
	for e := o.root; e != nil; {
		before := 0
		if e.left != nil {
			before = e.left.size
		}
		switch {
		case n == before:
			return e
		case n < before:
			e = e.left
		default:
			e, n = e.right, n-before-1
		}
	}
	return nil
}

func (o *order) last() *entry {
	e := o.root
	for e != nil && e.right != nil {
		e = e.right
	}
	return e
}

// ahead returns the cost and number of the entries before e.
func (o *order) ahead(e *entry) (cost float64, n int) {
	for t := o.root; t != nil; {
		if !t.precedes(e) {
			t = t.left
			continue
		}
		cost, n = cost+t.Cost, n+1
		if t.left != nil {
			cost, n = cost+t.left.cost, n+t.left.size
		}
		t = t.right
	}
	return cost, n
}
