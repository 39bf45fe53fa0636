package gateway

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// setListingDigest sets a listing's digest and updates the digest of all listings, by which
// processes detect that they lack a change. The digests cover only relevant fields, because
// targets update their records with every heartbeat. The incremental update avoids decoding
// all listings for each change.
func (c *clusterState) setListingDigest(key string, digest uint64) {
	c.listingsDigest ^= c.digestByKey[key] ^ digest
	if digest == 0 {
		delete(c.digestByKey, key)
		return
	}
	c.digestByKey[key] = digest
}

func listingDigest(l *fleet.Listing) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, text := range []string{l.Incarnation.String(), l.Service, l.Address.String(), l.Zone, l.SoftwareVersion} {
		_, _ = d.WriteString(text + "\x00")
	}
	if l.Leaving {
		_, _ = d.WriteString("leaving")
	}
	sum := d.Sum64()
	for model, version := range l.Weights {
		var v [8]byte
		binary.BigEndian.PutUint64(v[:], uint64(version))
		sum ^= xxhash.Sum64String(model + "\x00" + string(v[:]))
	}
	return sum
}
