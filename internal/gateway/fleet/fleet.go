// Package fleet holds what is known of the targets of a deployment: the
// platform's lagging list, corrected by what was learned since.
package fleet

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Listing is one target as the platform's list shows it.
type Listing struct {
	Incarnation
	Service string
	Address netip.AddrPort
	Zone    string
	// Slots is how many requests the target works on at once.
	Slots int
	// Leaving targets end soon and take no new work.
	Leaving bool
	// ColdFor is how much longer the target is slow after its start.
	ColdRemaining time.Duration
	// Weights are the versions of the models that the target has loaded.
	Weights map[string]int64
}

// ID is a target's short name, in what processes tell each other and in counts.
// Two targets of one deployment share one with a probability of n*n/2^33, which
// costs a worse choice and nothing else.
type ID uint32

// IDOf returns the short name of a target or of another place by its full name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// Target is a target of which traffic may make use.
type Target struct {
	Listing
	// Hash ranks the target for a key. It follows from the instance, so that a target
	// that starts again keeps its place.
	Hash uint64
	// ID names this life of the target.
	ID ID
	// Doubtful targets have left the list after an outage of the store. They may
	// live and not have reported yet.
	Unconfirmed bool
	// Unlisted targets are known from their own hosts alone.
	Unlisted bool
}

// NewTarget returns the target of a listing.
func NewTarget(l Listing) Target {
	return Target{Listing: l, Hash: xxhash.Sum64String(l.Instance), ID: IDOf(l.Incarnation.String())}
}

// withLife returns the target with a life that names its birth.
func (t Target) withLife(life Incarnation) Target {
	listing := t.Listing
	listing.Incarnation = life
	named := NewTarget(listing)
	named.Unconfirmed, named.Unlisted = t.Unconfirmed, t.Unlisted
	return named
}

const (
	// returnTime is how long after an outage of the store the entry of a living
	// target may be missing. The platform states about two seconds; targets that
	// are missing for longer are gone.
	returnTime = 2200 * time.Millisecond
	// goneMemory is how long a target that left the list is remembered after it left,
	// and after its own host reported it last. It exceeds returnTime and the longest
	// time that one of its requests may be looked up in.
	goneMemory = time.Minute
)

// entry is a target's newest life and what became of it.
type entry struct {
	target Target
	// offset of the record that listed it, and when that was taken in.
	offset  uint64
	heardAt time.Time
	goneAt  time.Time
	// reportedAt is when the target's own host reported it last, since it is gone.
	reportedAt time.Time
}

// Directory follows the list. It is used by one thread.
type Directory struct {
	// entries are the newest lives, by instance.
	entries map[string]*entry
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{entries: map[string]*entry{}} }

// lateWord is for how long after the last word of a life that of an earlier life of
// the same target is taken for one that comes late. Targets write every second or so;
// one that is silent for longer has ended, and a later life whose host's clock went
// back in between looks like an earlier one.
const lateWord = 4 * time.Second

// List takes in a target's listing, from the record at an offset. It reports whether
// the listing is of the target's newest life; one that is not is left out.
//
// The failure guarded against: a target starts again under its name, and a word of
// its earlier life reaches the list after one of the new life. Taken for the newest, it
// would bring back what is believed of a process that has ended.
func (d *Directory) Add(l Listing, offset uint64, now time.Time) bool {
	e := d.entries[l.Instance]
	if e == nil {
		e = &entry{}
		d.entries[l.Instance] = e
	}
	if l.Incarnation.Before(e.target.Incarnation) && now.Sub(e.heardAt) < lateWord {
		return false
	}
	e.target, e.offset = NewTarget(l), offset
	e.heardAt, e.goneAt = now, time.Time{}
	return true
}

// Drop notes that a target has left the list. It reports whether that was news. A target
// that was listed and dropped between two reads has left, too, though it was never seen.
func (d *Directory) Remove(instance string, now time.Time) bool {
	e := d.entries[instance]
	if e == nil {
		e = &entry{target: Target{Listing: Listing{Incarnation: Incarnation{Instance: instance}}}}
		d.entries[instance] = e
	}
	if !e.goneAt.IsZero() {
		return false
	}
	e.goneAt = now
	return true
}

// Targets returns the targets to make use of, by service, each service's in a
// fixed order; those of services that are not declared are left out. A target that
// left the list while the store was away, or just after, is doubtful until the time
// in which it would be back has passed: lapsed entries of living targets would
// otherwise empty the fleet at the end of each outage.
func (d *Directory) Targets(declared func(service string) bool, now time.Time, f SyncState) map[string][]Target {
	d.forget(now)
	byService := map[string][]Target{}
	newest := d.newestAt(declared)
	for _, e := range d.entries {
		t := e.target
		if !declared(t.Service) || newest[t.Address] != nil && e.olderThan(newest[t.Address]) {
			continue
		}
		if !e.goneAt.IsZero() {
			if t.Leaving || !f.mayHaveLapsed(e.goneAt, now) {
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

// forget drops the targets that left long ago and that nobody reports.
func (d *Directory) forget(now time.Time) {
	for instance, e := range d.entries {
		if !e.goneAt.IsZero() && now.Sub(e.goneAt) > goneMemory && now.Sub(e.reportedAt) > goneMemory {
			delete(d.entries, instance)
		}
	}
}

// newestAt returns the newest listing at each address.
//
// The failure guarded against: a target starts again under another name, and its
// earlier life stays listed for a second or two beside the new one. Requests that name
// the earlier life are refused, a half of all after all hosts had lost power. The life
// that ended last was born, and wrote, before the one that lives. An entry of a service
// that nobody declares displaces none.
func (d *Directory) newestAt(declared func(service string) bool) map[netip.AddrPort]*entry {
	newest := make(map[netip.AddrPort]*entry, len(d.entries))
	for _, e := range d.entries {
		if !e.goneAt.IsZero() || !declared(e.target.Service) {
			continue
		}
		if other := newest[e.target.Address]; other == nil || other.olderThan(e) {
			newest[e.target.Address] = e
		}
	}
	return newest
}

// olderThan reports whether e's life began before that of another entry at its
// address, or wrote before where they do not say.
func (e *entry) olderThan(o *entry) bool {
	if e.target.StartedMs != o.target.StartedMs && e.target.StartedMs > 0 && o.target.StartedMs > 0 {
		return e.target.StartedMs < o.target.StartedMs
	}
	return e.offset < o.offset
}

// mayHaveLapsed reports whether an entry that went at goneAt may have lapsed because its
// target did not reach the store. One that went before the outage has left.
func (f *SyncState) mayHaveLapsed(goneAt, now time.Time) bool {
	if f.OutageEnded.IsZero() || now.Sub(f.OutageEnded) > returnTime {
		return false
	}
	return goneAt.After(f.OutageBegan) && goneAt.Sub(f.OutageEnded) < returnTime
}

// Find returns the target of an instance, whether listed or gone lately.
func (d *Directory) Find(instance string) (Target, bool) {
	e := d.entries[instance]
	if e == nil {
		return Target{}, false
	}
	return e.target, true
}

// Gone reports whether a life was listed and is not any more. A life that was born
// after the one that has left the list is not gone: it is listed soon. Where the list did
// not say when that was born, they are taken for one.
func (d *Directory) Gone(life Incarnation) bool {
	e := d.entries[life.Instance]
	return e != nil && !e.goneAt.IsZero() && (e.target.StartedMs == 0 || !e.target.Incarnation.Before(life))
}

// Succeeded reports whether a later life of the same target was listed after a time.
func (d *Directory) Superseded(life Incarnation, since time.Time) bool {
	e := d.entries[life.Instance]
	return e != nil && life.Before(e.target.Incarnation) && e.heardAt.After(since)
}

// At returns the target that is listed newest at an address, of the services that are
// declared.
func (d *Directory) ByAddress(declared func(service string) bool, address netip.AddrPort) (Target, bool) {
	var newest *entry
	for _, e := range d.entries {
		if e.target.Address != address || !e.goneAt.IsZero() || !declared(e.target.Service) {
			continue
		}
		if newest == nil || newest.olderThan(e) {
			newest = e
		}
	}
	if newest == nil {
		return Target{}, false
	}
	return newest.target, true
}
