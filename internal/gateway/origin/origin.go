// Package origin keeps the software version that began each stream, and where the stream runs, so that it
// goes on at that version and at one target at a time, whichever entry its caller comes back to.
//
// The entry that relays the first event of a stream tells a few other processes: an entry of its
// own availability zone, an entry of another one, and a sidecar. An entry that does not know the
// start of a stream asks the processes that the ring of members assigns to it. The version in a record never
// changes, and a later run replaces an earlier one, so that a late or repeated message does no harm.
//
// An entry to which a caller comes back takes the stream over: the entry before ends what it still serves of
// it, since the end of the caller's first connection may not have arrived there.
package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"net/netip"

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

// Record is what is known of a stream.
type Record struct {
	// Version is the software version that began it.
	Version Version
	Run
}

// Run is where a stream runs.
type Run struct {
	// Server is the entry that serves it, Target the target, as hashes; zero if unknown.
	Server, Target uint32
	// Epoch counts how often the caller has taken the stream up. The run with the highest one is the latest.
	Epoch uint32
}

// latest returns the later of two runs of a stream.
func (r Run) latest(other Run) Run {
	switch {
	case other.Epoch < r.Epoch:
		return r
	case other.Epoch == r.Epoch && other.Target == 0:
		other.Target = r.Target
	}
	return other
}

// serverOf returns the hash of a process's address.
func serverOf(address netip.AddrPort) uint32 {
	text, _ := address.MarshalBinary() // never fails
	return max(uint32(xxhash.Sum64(text)), 1)
}

// VersionOf returns the identifier of a service's version; Ambiguous if the name is empty.
func VersionOf(service, name string) Version {
	if name == "" {
		return Ambiguous
	}
	return Version(max(xxhash.Sum64String(service+"\x00"+name), 1))
}
