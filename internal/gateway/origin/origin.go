// Package origin keeps the software version that began each stream, so that the stream goes on at
// that version only, whichever entry its caller comes back to.
//
// The entry that relays the first event of a stream tells a few other processes: an entry of its
// own availability zone, an entry of another one, and a sidecar. An entry that does not know the
// start of a stream asks the processes that the ring of members assigns to it. Records never
// change, so that a late or repeated message does no harm.
package origin

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream by the caller's attempt that brought its first event.
type Key uint64

// KeyOf returns the key of an attempt. It depends on the workspace, so that no caller can name the
// streams of another one; the hash is cryptographic, so that none can forge a collision with them.
func KeyOf(workspace, attempt string) Key {
	h := sha256.New()
	var length [8]byte
	for _, text := range []string{workspace, attempt} {
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(text))
	}
	return Key(binary.BigEndian.Uint64(h.Sum(nil)))
}

// Version identifies a software version of a service. Versions have no order, and services that use
// the same name for a version have nothing in common.
type Version uint64

// Ambiguous is the version of a stream that was begun by a target of unknown version, or by several
// targets of different versions. Such a stream cannot go on.
const Ambiguous Version = 0

// VersionOf returns the identifier of a service's version; Ambiguous if the name is empty.
func VersionOf(service, name string) Version {
	if name == "" {
		return Ambiguous
	}
	return Version(max(xxhash.Sum64String(service+"\x00"+name), 1))
}
