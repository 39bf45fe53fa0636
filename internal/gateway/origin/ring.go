package origin

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is another live process.
type Member struct {
	Address netip.AddrPort
	Zone    string
	// Entry is set for entries; other members are sidecars.
	Entry bool
	// Leaving members get no records. Entries among them still end the streams that they serve.
	Leaving bool
}

// pointsPerMember is the number of points of a member on its ring, which evens out the shares.
const pointsPerMember = 16

type point struct {
	hash    uint64
	address netip.AddrPort
}

// ring assigns keys to the members of one role in one availability zone by consistent hashing.
type ring []point

func newRing(members []netip.AddrPort) ring {
	var r ring
	for _, address := range members {
		data := append(address.Addr().AsSlice(), 0, 0)
		for i := range pointsPerMember {
			data[len(data)-2], data[len(data)-1] = byte(i), byte(address.Port())
			r = append(r, point{xxhash.Sum64(data), address})
		}
	}
	slices.SortFunc(r, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	return r
}

// owners returns the first n distinct members from a key on.
func (r ring) owners(key Key, n int) []netip.AddrPort {
	from, _ := slices.BinarySearchFunc(r, uint64(key), func(p point, k uint64) int { return cmp.Compare(p.hash, k) })
	var found []netip.AddrPort
	for i := range r {
		if address := r[(from+i)%len(r)].address; !slices.Contains(found, address) {
			found = append(found, address)
		}
		if len(found) == n {
			break
		}
	}
	return found
}

// rings are the rings of all availability zones, without this process.
type rings struct {
	self string
	// zones are sorted by name. They include that of this process.
	zones             []string
	entries, sidecars map[string]ring
	// servers are the addresses of entries, also of those that leave, by their hash.
	servers map[uint32]netip.AddrPort
}

func newRings(selfZone string, members []Member) *rings {
	byZone := map[bool]map[string][]netip.AddrPort{true: {}, false: {}}
	zones := map[string]bool{selfZone: true}
	for _, m := range members {
		if !m.Leaving {
			zones[m.Zone] = true
			byZone[m.Entry][m.Zone] = append(byZone[m.Entry][m.Zone], m.Address)
		}
	}
	r := &rings{self: selfZone, entries: map[string]ring{}, sidecars: map[string]ring{}, servers: map[uint32]netip.AddrPort{}}
	for _, m := range members {
		if m.Entry {
			r.servers[serverOf(m.Address)] = m.Address
		}
	}
	for zone := range zones {
		r.zones = append(r.zones, zone)
		r.entries[zone], r.sidecars[zone] = newRing(byZone[true][zone]), newRing(byZone[false][zone])
	}
	slices.Sort(r.zones)
	return r
}

// otherZone returns the zone of the owner outside of this process's zone, or the own zone if there
// is no other.
func (r *rings) otherZone(key Key) string {
	others := slices.DeleteFunc(slices.Clone(r.zones), func(z string) bool { return z == r.self || len(r.entries[z]) == 0 })
	if len(others) == 0 {
		return r.self
	}
	return others[mix(uint64(key))%uint64(len(others))]
}

// owners returns the processes that keep a record of a stream that this entry begins. The entries
// are in different zones, since a zone may fail as a whole. The sidecar is in the own one: it can be
// reached if that is cut off, and keeps the record if all entries die together.
func (r *rings) owners(key Key) []netip.AddrPort {
	other := r.otherZone(key)
	owners := append(r.entries[r.self].owners(key, 1), r.sidecars[r.self].owners(key, 1)...)
	if other != r.self {
		owners = append(owners, r.entries[other].owners(key, 1)...)
	}
	if len(owners) < minOwners {
		for _, address := range slices.Concat(r.entries[r.self].owners(key, minOwners), r.entries[other].owners(key, minOwners), r.sidecars[other].owners(key, 1)) {
			if len(owners) < minOwners && !slices.Contains(owners, address) {
				owners = append(owners, address)
			}
		}
	}
	return owners
}

const (
	// minOwners is the number of processes that are told of a stream's start, as far as there are so many.
	minOwners = 3
	// maxAsked bounds the processes that are asked for one stream.
	maxAsked = 16
)

// candidates returns the processes that may keep the record of a stream that any entry began: two
// entries of each zone, of which one may be the entry that began it, and a sidecar of each.
func (r *rings) candidates(key Key) []netip.AddrPort {
	var asked []netip.AddrPort
	for _, zone := range r.zones {
		asked = append(asked, r.entries[zone].owners(key, 2)...)
	}
	for _, zone := range r.zones {
		asked = append(asked, r.sidecars[zone].owners(key, 1)...)
	}
	return asked[:min(len(asked), maxAsked)]
}

// mix spreads a key over all bits.
func mix(x uint64) uint64 {
	var data [8]byte
	binary.BigEndian.PutUint64(data[:], x)
	return xxhash.Sum64(data[:])
}
