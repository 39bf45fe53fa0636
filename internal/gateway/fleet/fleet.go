// Package fleet tracks the targets of a deployment. It combines the platform's list,
// which lags by a second or two, with what the targets' own hosts report.
package fleet

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanwell/toucanwell/internal/gateway/feed"
)

// Listing is one target's entry in the platform's list.
type Listing struct {
	Incarnation
	Service string
	Address netip.AddrPort
	Zone    string
	// SoftwareVersion is the version of the target's software; empty if unknown. Versions of one
	// service have no order, and those of different services have nothing in common.
	SoftwareVersion string
	// Slots is how many requests the target runs concurrently.
	Slots int
	// Leaving is set when the target stops soon and accepts no new requests.
	Leaving bool
	// Heartbeats is how often the target has renewed its entry.
	Heartbeats int64
	// ColdRemaining is how much longer the target is slow after its start.
	ColdRemaining time.Duration
	// Weights maps each model that the target has loaded to its version.
	Weights map[string]int64
}

// ID is a 32-bit hash of a name, used in messages between processes and as a map key. A
// collision, with probability n*n/2^33 among n targets, only makes placement worse.
type ID uint32

// IDOf returns the ID for the name of a target incarnation, a KV store or a link.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// Target is a target that may receive traffic.
type Target struct {
	Listing
	// Hash ranks the target for a key. It is derived from the instance name, so a target
	// keeps its rank across restarts.
	Hash uint64
	// ID identifies this incarnation of the target.
	ID ID
	// Unconfirmed is set when a store outage may explain why the target is not listed. It may
	// be alive, with its entry expired.
	Unconfirmed bool
	// Unlisted is set when only the target's own host reports it.
	Unlisted bool
}

// NewTarget returns the target for a listing.
func NewTarget(l Listing) Target {
	return Target{Listing: l, Hash: xxhash.Sum64String(l.Instance), ID: IDOf(l.Incarnation.String())}
}

// WithIncarnation returns a copy of the target with another incarnation. If that is not the listed
// one, the version of its software is unknown.
func (t Target) WithIncarnation(incarnation Incarnation) Target {
	listing := t.Listing
	listing.Incarnation = incarnation
	if !t.Matches(incarnation) {
		listing.SoftwareVersion = ""
	}
	updated := NewTarget(listing)
	updated.Unconfirmed, updated.Unlisted = t.Unconfirmed, t.Unlisted
	return updated
}

const (
	// relistTimeout is how long after a store outage a live target's entry may be missing.
	// A target that is missing for longer has left. The platform states about two seconds.
	relistTimeout = 2200 * time.Millisecond
	// removedRetention is how long a removed target is remembered, counted from its removal
	// and from its host's last report. It exceeds relistTimeout and the longest time after
	// which one of the target's requests is looked up.
	removedRetention = time.Minute
)

// targetState is a target's newest incarnation and its state in the list.
type targetState struct {
	target Target
	// position at which the newest listing was first read, and when it was received.
	position feed.Position
	listedAt time.Time
	// removedAt is when the target left the list; zero while it is listed.
	removedAt time.Time
	// reportedAt is when the target's own host last reported it since its removal.
	reportedAt time.Time
}

// Directory holds the targets of the platform's list. It is not safe for concurrent use.
type Directory struct {
	// states by instance.
	states   map[string]*targetState
	versions versionHistory
	// usable is the last result of Targets, and nil once it is outdated.
	usable *usableTargets
}

// usableTargets are the targets of the list that may be used, before any reports.
type usableTargets struct {
	byService map[string][]Target
	// addresses of the incarnations, and how many there are at each address.
	addresses  map[Incarnation]netip.AddrPort
	perAddress map[netip.AddrPort]int
	// outageEnded and relisting are the parts of SyncState that the targets depend on.
	outageEnded time.Time
	relisting   bool
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{states: map[string]*targetState{}, versions: versionHistory{}}
}

// Invalidate makes the next call of Targets evaluate all targets again. It must be called after
// a change of the declared services.
func (d *Directory) Invalidate() { d.usable = nil }

// staleListingWindow is how long after an incarnation's last listing a listing of an
// earlier one is ignored as delayed. Targets renew their entry about every second, so after
// a longer silence the "earlier" incarnation is a restart on a host whose clock went back.
const staleListingWindow = 4 * time.Second

// maxClockLead is how far a target's clock may be ahead. A start time beyond it counts as not stated: by it
// the listing would take precedence over all others of its name and at its address.
const maxClockLead = 24 * time.Hour

// Add records a target's listing that was first read at a position. It ignores a delayed listing
// of an earlier incarnation, which would restore the state of a process that has ended, and
// reports whether the listing was accepted.
func (d *Directory) Add(l Listing, position feed.Position, now time.Time) bool {
	if l.StartedMs > now.Add(maxClockLead).UnixMilli() {
		l.StartedMs = 0
	}
	s := d.states[l.Instance]
	if s == nil {
		s = &targetState{}
		d.states[l.Instance] = s
	}
	if l.Incarnation.Before(s.target.Incarnation) && now.Sub(s.listedAt) < staleListingWindow {
		return false
	}
	d.versions.note(&s.target.Listing, now)
	d.versions.note(&l, now)
	s.target, s.position = NewTarget(l), position
	s.listedAt, s.removedAt = now, time.Time{}
	d.Invalidate()
	return true
}

// Remove records that a target has left the list, and reports whether it was not yet known.
// The target may be unknown: it may have been listed and removed between two reads.
func (d *Directory) Remove(instance string, now time.Time) bool {
	s := d.states[instance]
	if s == nil {
		s = &targetState{target: Target{Listing: Listing{Incarnation: Incarnation{Instance: instance}}}}
		d.states[instance] = s
	}
	if !s.removedAt.IsZero() {
		return false
	}
	s.removedAt = now
	d.versions.note(&s.target.Listing, now)
	d.Invalidate()
	return true
}

// Targets returns the usable targets of the declared services, by service and ordered by
// instance. A target whose entry disappeared during or just after a store outage stays as
// unconfirmed until relistTimeout has passed. Otherwise the expired entries of live targets
// would empty the fleet at the end of each outage.
//
// The lists are shared with other results and must not be modified.
func (d *Directory) Targets(declared func(service string) bool, now time.Time, sync SyncState) map[string][]Target {
	d.prune(now)
	relisting := sync.relisting(now)
	if d.usable == nil || d.usable.relisting != relisting || !d.usable.outageEnded.Equal(sync.OutageEnded) {
		d.usable = newUsableTargets(d.evaluate(declared, now, sync))
		d.usable.relisting, d.usable.outageEnded = relisting, sync.OutageEnded
	}
	return maps.Clone(d.usable.byService)
}

func newUsableTargets(byService map[string][]Target) *usableTargets {
	u := &usableTargets{byService: byService, addresses: map[Incarnation]netip.AddrPort{}, perAddress: map[netip.AddrPort]int{}}
	for _, list := range byService {
		for i := range list {
			u.addresses[list[i].Incarnation] = list[i].Address
			u.perAddress[list[i].Address]++
		}
	}
	return u
}

// evaluate returns the usable targets of the declared services.
func (d *Directory) evaluate(declared func(service string) bool, now time.Time, sync SyncState) map[string][]Target {
	byService := map[string][]Target{}
	newest := d.newestByAddress(declared)
	for _, s := range d.states {
		t := s.target
		if !declared(t.Service) || newest[t.Address] != nil && s.olderThan(newest[t.Address]) {
			continue
		}
		if !s.removedAt.IsZero() {
			if t.Leaving || !sync.mayHaveExpired(s.removedAt, now) {
				continue
			}
			t.Unconfirmed = true
		}
		byService[t.Service] = append(byService[t.Service], t)
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b Target) int { return strings.Compare(a.Instance, b.Instance) })
	}
	return byService
}

// prune deletes removed targets that have not been reported for removedRetention.
func (d *Directory) prune(now time.Time) {
	d.versions.prune(now)
	for instance, s := range d.states {
		if !s.removedAt.IsZero() && now.Sub(s.removedAt) > removedRetention && now.Sub(s.reportedAt) > removedRetention {
			delete(d.states, instance)
		}
	}
}

// newestByAddress returns the newest listed target of a declared service at each address.
//
// A target that restarts under another name stays listed under the earlier one for a second or
// two. The new process refuses requests that name the earlier incarnation, which are half of all
// requests after all hosts have lost power.
func (d *Directory) newestByAddress(declared func(service string) bool) map[netip.AddrPort]*targetState {
	newest := make(map[netip.AddrPort]*targetState, len(d.states))
	for _, s := range d.states {
		if !s.removedAt.IsZero() || !declared(s.target.Service) {
			continue
		}
		if other := newest[s.target.Address]; other == nil || other.olderThan(s) {
			newest[s.target.Address] = s
		}
	}
	return newest
}

// olderThan compares two targets at one address by start time or, if one is unknown, by
// the positions of their listings.
func (s *targetState) olderThan(other *targetState) bool {
	if s.target.StartedMs != other.target.StartedMs && s.target.StartedMs > 0 && other.target.StartedMs > 0 {
		return s.target.StartedMs < other.target.StartedMs
	}
	return s.position.Before(other.position)
}

// mayHaveExpired reports whether an entry removed at removedAt may have expired because its
// target could not reach the store. An entry removed before the outage has left.
func (s *SyncState) mayHaveExpired(removedAt, now time.Time) bool {
	return s.relisting(now) && removedAt.After(s.OutageBegan) && removedAt.Sub(s.OutageEnded) < relistTimeout
}

// relisting reports whether live targets may still be missing from the list after an outage.
func (s *SyncState) relisting(now time.Time) bool {
	return !s.OutageEnded.IsZero() && now.Sub(s.OutageEnded) <= relistTimeout
}

// Find returns the target of an instance that is listed or was recently removed.
func (d *Directory) Find(instance string) (Target, bool) {
	s := d.states[instance]
	if s == nil {
		return Target{}, false
	}
	return s.target, true
}

// Gone reports whether an incarnation has left the list. An incarnation that started after
// the removed one is not gone, unless the list did not state the latter's start time.
func (d *Directory) Gone(incarnation Incarnation) bool {
	s := d.states[incarnation.Instance]
	return s != nil && !s.removedAt.IsZero() && (s.target.StartedMs == 0 || !s.target.Incarnation.Before(incarnation))
}

// Superseded reports whether a later incarnation of the target was listed after since.
func (d *Directory) Superseded(incarnation Incarnation, since time.Time) bool {
	s := d.states[incarnation.Instance]
	return s != nil && incarnation.Before(s.target.Incarnation) && s.listedAt.After(since)
}

// ByAddress returns the newest listed target of a declared service at an address.
func (d *Directory) ByAddress(declared func(service string) bool, address netip.AddrPort) (Target, bool) {
	var newest *targetState
	for _, s := range d.states {
		if s.target.Address != address || !s.removedAt.IsZero() || !declared(s.target.Service) {
			continue
		}
		if newest == nil || newest.olderThan(s) {
			newest = s
		}
	}
	if newest == nil {
		return Target{}, false
	}
	return newest.target, true
}
