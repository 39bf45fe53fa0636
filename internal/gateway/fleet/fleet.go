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
	// Instance names one life of a target; a restart makes a new one.
	Instance string
	Service  string
	Address  netip.AddrPort
	Zone     string
	// Slots is how many requests the target works on at once.
	Slots int
	// Leaving targets end soon and take no new work.
	Leaving bool
	// ColdFor is how much longer the target is slow after its start.
	ColdFor time.Duration
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
	// Hash ranks the target for a key, ID names it; both follow from the instance.
	Hash uint64
	ID   ID
	// Doubtful targets have left the list after an outage of the store. They may
	// live and not have reported yet.
	Doubtful bool
}

func newTarget(l Listing) Target {
	return Target{Listing: l, Hash: xxhash.Sum64String(l.Instance), ID: IDOf(l.Instance)}
}

const (
	// returnTime is how long after an outage of the store the entry of a living
	// target may be missing. The platform states about two seconds; targets that
	// are missing for longer are gone.
	returnTime = 2200 * time.Millisecond
	// goneMemory is how long a target that left the list is remembered. It
	// exceeds returnTime and the longest time that one of its requests may be
	// looked up in.
	goneMemory = time.Minute
)

// entry is a listing and what became of it.
type entry struct {
	target Target
	// offset of the record that listed it.
	offset uint64
	goneAt time.Time
}

// Directory follows the list. It is used by one thread.
type Directory struct {
	entries map[string]*entry
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{entries: map[string]*entry{}} }

// List takes in a target's newest listing, from the record at an offset.
func (d *Directory) List(l Listing, offset uint64) {
	e := d.entries[l.Instance]
	if e == nil {
		e = &entry{}
		d.entries[l.Instance] = e
	}
	e.target, e.offset = newTarget(l), offset
	e.goneAt = time.Time{}
}

// Drop notes that a target has left the list. It reports whether it was known.
func (d *Directory) Drop(instance string, now time.Time) bool {
	e := d.entries[instance]
	if e == nil || !e.goneAt.IsZero() {
		return false
	}
	e.goneAt = now
	return true
}

// Targets returns the targets to make use of, by service, each service's in a
// fixed order. A target that left the list while the store was away, or just
// after, is doubtful until the time in which it would be back has passed:
// lapsed entries of living targets would otherwise empty the fleet at the end
// of each outage.
func (d *Directory) Targets(now, outageEnd time.Time) map[string][]Target {
	byService := map[string][]Target{}
	newest := d.newestAt()
	for instance, e := range d.entries {
		t := e.target
		if e.offset < newest[t.Address] {
			continue
		}
		if !e.goneAt.IsZero() {
			if now.Sub(e.goneAt) > goneMemory {
				delete(d.entries, instance)
			}
			if t.Leaving || !inDoubt(now, e.goneAt, outageEnd) {
				continue
			}
			t.Doubtful = true
		}
		byService[t.Service] = append(byService[t.Service], t)
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b Target) int { return strings.Compare(a.Instance, b.Instance) })
	}
	return byService
}

// newestAt returns the offset of the newest listing at each address.
//
// The failure guarded against: a target starts again, and its earlier life stays
// listed for a second or two beside the new one. Requests that name the earlier life
// are refused, a half of all after all hosts had lost power. The life that ended last
// wrote before the one that lives.
func (d *Directory) newestAt() map[netip.AddrPort]uint64 {
	newest := make(map[netip.AddrPort]uint64, len(d.entries))
	for _, e := range d.entries {
		if e.goneAt.IsZero() {
			newest[e.target.Address] = max(newest[e.target.Address], e.offset)
		}
	}
	return newest
}

// inDoubt reports whether an entry that went at goneAt may have lapsed through
// an outage that ended at outageEnd.
func inDoubt(now, goneAt, outageEnd time.Time) bool {
	if outageEnd.IsZero() || now.Sub(outageEnd) > returnTime {
		return false
	}
	return goneAt.Sub(outageEnd) < returnTime && outageEnd.Sub(goneAt) < goneMemory
}

// Living is the life of a target that its own host has just told of.
type Living struct {
	Instance string
	Service  string
	Address  netip.AddrPort
	Zone     string
	Weights  map[string]int64
}

// Correct returns the targets with what their own hosts say: a life that the
// list does not show yet is added, and one that it replaced at its address is
// left out. Without it, requests name a life that has ended for the second or
// two by which the list lags, and each is refused.
func Correct(byService map[string][]Target, living []Living) {
	for _, l := range living {
		list := byService[l.Service]
		at := slices.IndexFunc(list, func(t Target) bool { return t.Address == l.Address })
		if slices.ContainsFunc(list, func(t Target) bool { return t.Instance == l.Instance }) {
			byService[l.Service] = slices.DeleteFunc(list, func(t Target) bool { return t.Address == l.Address && t.Instance != l.Instance })
			continue
		}
		t := newTarget(Listing{Instance: l.Instance, Service: l.Service, Address: l.Address, Zone: l.Zone, Weights: l.Weights})
		if at >= 0 {
			t.Slots = list[at].Slots
			list[at] = t
			continue
		}
		byService[l.Service] = append(list, t)
	}
}

// Find returns the target of an instance, whether listed or gone lately.
func (d *Directory) Find(instance string) (Target, bool) {
	e := d.entries[instance]
	if e == nil {
		return Target{}, false
	}
	return e.target, true
}

// Gone reports whether a target was listed and is not any more.
func (d *Directory) Gone(instance string) bool {
	e := d.entries[instance]
	return e != nil && !e.goneAt.IsZero()
}

// At returns the target that is listed newest at an address.
func (d *Directory) At(address netip.AddrPort) (Target, bool) {
	var found *entry
	for _, e := range d.entries {
		if e.goneAt.IsZero() && e.target.Address == address && (found == nil || e.offset > found.offset) {
			found = e
		}
	}
	if found == nil {
		return Target{}, false
	}
	return found.target, true
}
