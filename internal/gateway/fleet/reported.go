package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// Living is the life of a target that its own host reports.
type Report struct {
	Incarnation
	Service string
	Address netip.AddrPort
	Zone    string
	Weights map[string]int64
	// BeganAfter is when the host last saw another life at the address; zero when it has
	// seen none.
	StartedAfter time.Time
	// HeardAt is when the report came.
	ReceivedAt time.Time
}

// Following is how far a process has followed the list.
type SyncState struct {
	// Started is when the process began to follow it.
	StartedAt time.Time
	// Since is the time since which it has seen every change; zero while it has no copy.
	CompleteSince time.Time
	// OutageBegan is when the list was known last before the last outage of the store, and
	// OutageEnded when it was known again; zero for none.
	OutageBegan, OutageEnded time.Time
	// Current is set while the copy is as new as the store lets it be.
	Current bool
}

// Standing is what the list implies for a reported life that it does not show.
type UnlistedState uint8

const (
	// Awaited lives have begun since the list was read: it shows them soon.
	NotYetListed UnlistedState = iota
	// InDoubt lives may have lapsed while the store was away, and may have left.
	Unconfirmed
	// Left lives were on the list before this process read it.
	Departed
)

var standingNames = map[UnlistedState]string{NotYetListed: "awaited", Unconfirmed: "in_doubt", Departed: "left"}

// String returns the standing as it stands in logs.
func (s UnlistedState) String() string { return standingNames[s] }

// standing returns what the list implies for a reported life that it does not show. One that
// left before the list was read is reported too, until it ends: only a life that its host
// saw begin since then is surely new.
func (f *SyncState) standing(l *Report, now time.Time) UnlistedState {
	switch {
	case f.CompleteSince.IsZero() || l.StartedAfter.After(f.CompleteSince):
		return NotYetListed
	case !f.Current || now.Sub(f.StartedAt) < returnTime || now.Sub(f.OutageEnded) < returnTime:
		return Unconfirmed
	default:
		return Departed
	}
}

// standing returns the same where the list has dropped the target's name: a life that began
// before that may have been listed in between, and be the one that was dropped.
func (d *Directory) standing(l *Report, f SyncState, now time.Time) UnlistedState {
	e := d.entries[l.Instance]
	if e == nil || e.goneAt.IsZero() || l.StartedAfter.After(e.goneAt) {
		return f.standing(l, now)
	}
	if now.Sub(e.goneAt) < returnTime {
		return Unconfirmed
	}
	return Departed
}

// Correct adds to the listed targets what their own hosts report, and returns the
// reported lives that the list does not show. A life that replaced another at its address
// takes its place, since the list shows that a second or two late; requests that name the
// earlier one are refused.
func (d *Directory) ApplyReports(byService map[string][]Target, living []Report, f SyncState, now time.Time) map[Incarnation]UnlistedState {
	c := correction{byService: byService, listed: map[Incarnation]netip.AddrPort{}, shared: map[netip.AddrPort]int{}, unlisted: map[Incarnation]UnlistedState{}}
	for _, list := range byService {
		for i := range list {
			c.listed[list[i].Incarnation] = list[i].Address
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
func (d *Directory) replacedOrGone(l *Report, now time.Time) bool {
	if e := d.entries[l.Instance]; e != nil {
		e.reportedAt = now
	}
	return d.Gone(l.Incarnation) || d.Superseded(l.Incarnation, l.ReceivedAt)
}

// Stays reports whether a reported life belongs to the fleet and does not leave, as far as
// the list shows: it is listed, has replaced a listed one, or is new.
func (d *Directory) Active(declared func(service string) bool, l *Report, f SyncState, now time.Time) bool {
	if e := d.entries[l.Instance]; e != nil && e.goneAt.IsZero() && e.target.Matches(l.Incarnation) {
		return !e.target.Leaving
	}
	if d.Gone(l.Incarnation) {
		return false
	}
	_, replaced := d.ByAddress(declared, l.Address)
	return replaced || d.standing(l, f, now) == NotYetListed
}

// correction is one pass over the reported lives.
type correction struct {
	byService map[string][]Target
	// listed are the addresses of the listed lives, and shared how many there are at each.
	listed   map[Incarnation]netip.AddrPort
	shared   map[netip.AddrPort]int
	unlisted map[Incarnation]UnlistedState
}

func (c *correction) take(l *Report, standing UnlistedState) {
	list := c.byService[l.Service]
	if address, ok := c.listed[l.Incarnation]; ok && address == l.Address && c.shared[address] == 1 {
		return // as the list says: nearly all, and nothing to look for
	}
	if slices.ContainsFunc(list, func(t Target) bool { return t.Incarnation == l.Incarnation }) {
		c.byService[l.Service] = slices.DeleteFunc(list, func(t Target) bool { return t.Address == l.Address && t.Incarnation != l.Incarnation })
		return
	}
	at := slices.IndexFunc(list, func(t Target) bool { return t.Address == l.Address })
	if at >= 0 && list[at].Matches(l.Incarnation) {
		list[at] = list[at].withLife(l.Incarnation)
		return
	}
	t := NewTarget(Listing{Incarnation: l.Incarnation, Service: l.Service, Address: l.Address, Zone: l.Zone, Weights: l.Weights})
	t.Unlisted = true
	if at >= 0 {
		t.Slots = list[at].Slots
		list[at] = t
		c.unlisted[l.Incarnation] = NotYetListed
		return
	}
	c.unlisted[l.Incarnation] = standing
	if standing == Departed {
		return
	}
	t.Unconfirmed = standing == Unconfirmed
	c.byService[l.Service] = append(list, t)
}
