// Package quarantine keeps a request that ends every target which runs it (a "query of
// death") from ending one after the other.
//
// # What it guards against
//
// A target that ends takes everything with it that it works on. Its requests are sent
// elsewhere, and their callers come again at other entries. If one of them is the cause,
// each of these sends ends another target, until none is left.
//
// # Why it holds
//
// Entries keep a [Record] of each request that was under way at a target when it ended,
// and tell it to each other. Records merge like sets: a fact that is lost, late, doubled or
// out of order does no harm, and there is nothing to agree on. From its first end on a
// request is sent only to the target that its [Print] ranks first, so that repeats which
// several entries hold at the same time meet at one target. From its second on one of them
// runs at a time, at a target where no other suspect runs. What has ended three targets is
// held for a second, in which other ends may speak for another cause, and then refused.
//
// Requests that only stood beside the cause meet the same ends. They part from it at their
// next send, because their prints rank other targets first, and the ends that a refused
// request explains no longer count against them: see [Judge].
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
)

// Print names a request by what stays the same when its caller sends it again: its path
// with the query, its workspace and its body. Ids, keys, deadlines and other headers
// differ between two tries. It shows nothing of the body, and who knows a workspace's
// requests cannot make another one with the same print.
type Fingerprint uint64

// PrintOf returns the print of a request. The workspace is empty on routes that need no
// key.
func FingerprintOf(workspace, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, text := range []string{workspace, path} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(text)))
		h.Write(size[:])
		_, _ = io.WriteString(h, text) // a hash takes everything
	}
	h.Write(body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// String returns the print as it stands in logs.
func (p Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(p)) }
