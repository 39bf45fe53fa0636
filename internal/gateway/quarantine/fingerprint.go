// Package quarantine stops requests that crash every target they run on ("queries of death").
// Entries record which requests were in flight on a target that crashed, and announce the
// records to each other. A suspect runs first on a single target and then one run at a time, so
// that it is told apart from requests that ran beside it. After a configured number of crashes
// it is refused.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
)

// Fingerprint identifies a request across retries. It hashes the workspace, the path with the
// query, and the body; headers differ between attempts. The hash is cryptographic, so that a
// caller can't forge another request's fingerprint.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. The workspace is empty on routes without
// authentication.
func FingerprintOf(workspace, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, field := range []string{workspace, path} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		_, _ = io.WriteString(h, field) // never fails on a hash
	}
	h.Write(body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// String returns the fingerprint as logs show it.
func (fp Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(fp)) }

// partDomain separates the fingerprints of parts from those of requests, whose first field is the
// length of a workspace's name.
const partDomain = "\xff\xff\xff\xff\xff\xff\xff\xffpart"

// PartFingerprintOf returns the fingerprint of a part of prompts. Parts are shared by all workspaces.
func PartFingerprintOf(id string) Fingerprint {
	sum := sha256.Sum256([]byte(partDomain + id))
	return Fingerprint(binary.BigEndian.Uint64(sum[:]))
}
