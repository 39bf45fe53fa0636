package gateway

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// setListingDigest sets a listing's part in the digest that tells other processes whether they
// lack something: heartbeats of targets change records all the time, but rarely what
// matters. Only what changed is decoded: in a fleet of 180 engines that load new weights
// one after the other, decoding all for each took 0.3 s of a processor a load.
func (b *clusterState) setListingDigest(key string, digest uint64) {
	b.listingsDigest ^= b.digestByKey[key] ^ digest
	if digest == 0 {
		delete(b.digestByKey, key)
		return
	}
	b.digestByKey[key] = digest
}

func listingDigest(l *fleet.Listing) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, text := range []string{l.Life.String(), l.Service, l.Address.String(), l.Zone} {
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
