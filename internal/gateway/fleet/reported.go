package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// Living is the life of a target that its own host reports.
type Living struct {
	Life
	Service string
	Address netip.AddrPort
	Zone    string
	Weights map[string]int64
	// BeganAfter is when the host last saw another life at the address; zero when it has
	// seen none.
	BeganAfter time.Time
	// HeardAt is when the report came.
	HeardAt time.Time
}

// Following is how far a process has followed the list.
type Following struct {
	// Started is when the process began to follow it.
	Started time.Time
	// Since is the time since which it has seen every change; zero while it has no copy.
	Since time.Time
	// OutageBegan is when the list was known last before the last outage of the store, and
	// OutageEnded when it was known again; zero for none.
	OutageBegan, OutageEnded time.Time
	// Current is set while the copy is as new as the store lets it be.
	Current bool
}

// Standing is what the list implies for a reported life that it does not show.
type Standing uint8

const (
	// Awaited lives have begun since the list was read: it shows them soon.
	Awaited Standing = iota
	// InDoubt lives may have lapsed while the store was away, and may have left.
	InDoubt
	// Left lives were on the list before this process read it.
	Left
)

var standingNames = map[Standing]string{Awaited: "awaited", InDoubt: "in_doubt", Left: "left"}

// String returns the standing as it stands in logs.
func (s Standing) String() string { return standingNames[s] }

// standing returns what the list implies for a reported life that it does not show. One that
// left before the list was read is reported too, until it ends: only a life that its host
// saw begin since then is surely new.
func (f *Following) standing(l *Living, now time.Time) Standing {
	switch {
	case f.Since.IsZero() || l.BeganAfter.After(f.Since):
		return Awaited
	case !f.Current || now.Sub(f.Started) < returnTime || now.Sub(f.OutageEnded) < returnTime:
		return InDoubt
	default:
		return Left
	}
}

// standing returns the same where the list has dropped the target's name: a life that began
// before that may have been listed in between, and be the one that was dropped.
func (d *Directory) standing(l *Living, f Following, now time.Time) Standing {
	e := d.entries[l.Instance]
	if e == nil || e.goneAt.IsZero() || l.BeganAfter.After(e.goneAt) {
		return f.standing(l, now)
	}
	if now.Sub(e.goneAt) < returnTime {
		return InDoubt
	}
	return Left
}

// Correct adds to the listed targets what their own hosts report, and returns the
// reported lives that the list does not show. A life that replaced another at its address
// takes its place, since the list shows that a second or two late; requests that name the
// earlier one are refused.
func (d *Directory) Correct(byService map[string][]Target, living []Living, f Following, now time.Time) map[Life]Standing {
	c := correction{byService: byService, listed: map[Life]netip.AddrPort{}, shared: map[netip.AddrPort]int{}, unlisted: map[Life]Standing{}}
	for _, list := range byService {
		for i := range list {
			c.listed[list[i].Life] = list[i].Address
			c.shared[list[i].Address]++
		}
	}
	for i := range living {
		l := &living[i]
		if d.replacedOrGone(l, now) {
			continue
		}
		c.take(l, d.standing(l, f, now))
	}
	return c.unlisted
}

// replacedOrGone reports whether the list has shown the end of a reported life: it has
// dropped it, or has shown a later one since the report.
func (d *Directory) replacedOrGone(l *Living, now time.Time) bool {
	if e := d.entries[l.Instance]; e != nil {
		e.reportedAt = now
	}
	return d.Gone(l.Life) || d.Succeeded(l.Life, l.HeardAt)
}

// Stays reports whether a reported life belongs to the fleet and does not leave, as far as
// the list shows: it is listed, has replaced a listed one, or is new.
func (d *Directory) Stays(declared func(service string) bool, l *Living, f Following, now time.Time) bool {
	if e := d.entries[l.Instance]; e != nil && e.goneAt.IsZero() && e.target.Same(l.Life) {
		return !e.target.Leaving
	}
	if d.Gone(l.Life) {
		return false
	}
	_, replaced := d.At(declared, l.Address)
	return replaced || d.standing(l, f, now) == Awaited
}

// correction is one pass over the reported lives.
type correction struct {
	byService map[string][]Target
	// listed are the addresses of the listed lives, and shared how many there are at each.
	listed   map[Life]netip.AddrPort
	shared   map[netip.AddrPort]int
	unlisted map[Life]Standing
}

func (c *correction) take(l *Living, standing Standing) {
	list := c.byService[l.Service]
	if address, ok := c.listed[l.Life]; ok && address == l.Address && c.shared[address] == 1 {
		return // as the list says: nearly all, and nothing to look for
	}
	if slices.ContainsFunc(list, func(t Target) bool { return t.Life == l.Life }) {
		c.byService[l.Service] = slices.DeleteFunc(list, func(t Target) bool { return t.Address == l.Address && t.Life != l.Life })
		return
	}
	at := slices.IndexFunc(list, func(t Target) bool { return t.Address == l.Address })
	if at >= 0 && list[at].Same(l.Life) {
		list[at] = list[at].withLife(l.Life)
		return
	}
	t := NewTarget(Listing{Life: l.Life, Service: l.Service, Address: l.Address, Zone: l.Zone, Weights: l.Weights})
	t.Unlisted = true
	if at >= 0 {
		t.Slots = list[at].Slots
		list[at] = t
		c.unlisted[l.Life] = Awaited
		return
	}
	c.unlisted[l.Life] = standing
	if standing == Left {
		return
	}
	t.Doubtful = standing == InDoubt
	c.byService[l.Service] = append(list, t)
}
