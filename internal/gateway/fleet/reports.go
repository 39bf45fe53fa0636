package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// Report is what a host reports about a target that runs on it.
type Report struct {
	Incarnation
	Service string
	Address netip.AddrPort
	Zone    string
	Weights map[string]int64
	// StartedAfter is when the host last saw another incarnation at the address; zero if it
	// has seen none.
	StartedAfter time.Time
	// AsOf is the time as of which the report holds.
	AsOf time.Time
}

// SyncState describes how complete a process's replica of the list is.
type SyncState struct {
	// StartedAt is when the process began to follow the list.
	StartedAt time.Time
	// CompleteSince is the time since which the process has seen every change; zero while it
	// has no replica.
	CompleteSince time.Time
	// OutageBegan and OutageEnded are when the replica was last current before the store's
	// last outage and first current after it; zero if there was none.
	OutageBegan, OutageEnded time.Time
	// Current is set while the replica holds all that the store has acknowledged.
	Current bool
}

// UnlistedState classifies a reported incarnation that the list does not show.
type UnlistedState uint8

const (
	// NotYetListed incarnations started after the list was read.
	NotYetListed UnlistedState = iota
	// Unconfirmed incarnations have left, or their entry expired during a store outage.
	Unconfirmed
	// Departed incarnations left the list before this process read it.
	Departed
	// Replaced incarnations have ended: the list shows a later one at their address.
	Replaced
)

var unlistedStateNames = map[UnlistedState]string{NotYetListed: "awaited", Unconfirmed: "in_doubt", Departed: "left", Replaced: "replaced"}

// String returns the state's name in logs.
func (s UnlistedState) String() string { return unlistedStateNames[s] }

// unlistedState classifies a reported incarnation that the list does not show. A target that
// left before the list was read is still reported until it ends, so only an incarnation that
// its host saw start after CompleteSince is certainly new.
func (s *SyncState) unlistedState(r *Report, now time.Time) UnlistedState {
	switch {
	case s.CompleteSince.IsZero() || r.StartedAfter.After(s.CompleteSince):
		return NotYetListed
	case !s.Current || now.Sub(s.StartedAt) < relistTimeout || now.Sub(s.OutageEnded) < relistTimeout:
		return Unconfirmed
	default:
		return Departed
	}
}

// unlistedState also accounts for a removal of the target's name: an incarnation that started
// before the removal may be the one that was removed.
func (d *Directory) unlistedState(r *Report, sync SyncState, now time.Time) UnlistedState {
	s := d.states[r.Instance]
	if s == nil || s.removedAt.IsZero() || r.StartedAfter.After(s.removedAt) {
		return sync.unlistedState(r, now)
	}
	if now.Sub(s.removedAt) < relistTimeout {
		return Unconfirmed
	}
	return Departed
}

// ApplyReports updates the listed targets with the reports of their own hosts, and returns the
// reported incarnations that the list does not show. A reported incarnation replaces the listed
// one at its address: the list shows a restart a second or two late, and the new process
// refuses requests that name the earlier incarnation.
//
// byService is the last result of Targets. Its lists are replaced where they change.
func (d *Directory) ApplyReports(byService map[string][]Target, reports []Report, sync SyncState, now time.Time) map[Incarnation]UnlistedState {
	p := reportPass{directory: d, byService: byService, listed: d.usable, owned: map[string]bool{}, unlisted: map[Incarnation]UnlistedState{}}
	for i := range reports {
		r := &reports[i]
		if d.goneOrSuperseded(r, now) {
			continue
		}
		p.apply(r, d.unlistedState(r, sync, now))
	}
	return p.unlisted
}

// goneOrSuperseded reports whether the list shows that a reported incarnation has ended: it was
// removed, or a later one was listed after the report.
func (d *Directory) goneOrSuperseded(r *Report, now time.Time) bool {
	if s := d.states[r.Instance]; s != nil {
		s.reportedAt = now
	}
	return d.Gone(r.Incarnation) || d.Superseded(r.Incarnation, r.AsOf)
}

// outdates reports whether a listed target is a later incarnation, under any name, of the one that
// a report from before its listing states at the same address. Where sidecars report seldom, such
// a report outlives the restart; requests sent to the ended incarnation are refused.
func (d *Directory) outdates(listed *Target, r *Report) bool {
	s := d.states[listed.Instance]
	return s != nil && r.StartedMs > 0 && r.StartedMs < listed.StartedMs && s.listedAt.After(r.AsOf)
}

// Active reports whether a reported incarnation is a member of the fleet and not leaving: it is
// listed, has replaced a listed one at its address, or is new.
func (d *Directory) Active(declared func(service string) bool, r *Report, sync SyncState, now time.Time) bool {
	if s := d.states[r.Instance]; s != nil && s.removedAt.IsZero() && s.target.Matches(r.Incarnation) {
		return !s.target.Leaving
	}
	if d.Gone(r.Incarnation) {
		return false
	}
	_, replaced := d.ByAddress(declared, r.Address)
	return replaced || d.unlistedState(r, sync, now) == NotYetListed
}

// reportPass is the state of one ApplyReports call.
type reportPass struct {
	directory *Directory
	byService map[string][]Target
	listed    *usableTargets
	// owned are the services whose lists are not shared.
	owned    map[string]bool
	unlisted map[Incarnation]UnlistedState
}

// list returns a service's targets, which the caller may modify.
func (p *reportPass) list(service string) []Target {
	if !p.owned[service] {
		p.owned[service] = true
		p.byService[service] = slices.Clone(p.byService[service])
	}
	return p.byService[service]
}

func (p *reportPass) apply(r *Report, state UnlistedState) {
	if address, ok := p.listed.addresses[r.Incarnation]; ok && address == r.Address && p.listed.perAddress[address] == 1 {
		return // the report agrees with the list, as nearly all do
	}
	list := p.list(r.Service)
	if slices.ContainsFunc(list, func(t Target) bool { return t.Incarnation == r.Incarnation }) {
		p.byService[r.Service] = slices.DeleteFunc(list, func(t Target) bool { return t.Address == r.Address && t.Incarnation != r.Incarnation })
		return
	}
	i := slices.IndexFunc(list, func(t Target) bool { return t.Address == r.Address })
	if i >= 0 && list[i].Matches(r.Incarnation) {
		list[i] = list[i].WithIncarnation(r.Incarnation)
		return
	}
	if i >= 0 && p.directory.outdates(&list[i], r) {
		p.unlisted[r.Incarnation] = Replaced
		return
	}
	t := NewTarget(Listing{Incarnation: r.Incarnation, Service: r.Service, Address: r.Address, Zone: r.Zone, Weights: r.Weights})
	t.Unlisted = true
	if i >= 0 {
		t.Slots = list[i].Slots
		list[i] = t
		p.unlisted[r.Incarnation] = NotYetListed
		return
	}
	p.unlisted[r.Incarnation] = state
	if state == Departed {
		return
	}
	t.Unconfirmed = state == Unconfirmed
	p.byService[r.Service] = append(list, t)
}
