// Package quarantine keeps requests from ending one engine after the other.
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
type Print uint64

// PrintOf returns the print of a request. The workspace is empty on routes that need no
// key.
func PrintOf(workspace, path string, body []byte) Print {
	h := sha256.New()
	for _, text := range []string{workspace, path} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(text)))
		h.Write(size[:])
		_, _ = io.WriteString(h, text) // a hash takes everything
	}
	h.Write(body)
	return Print(binary.BigEndian.Uint64(h.Sum(nil)))
}

// String returns the print as it stands in logs.
func (p Print) String() string { return fmt.Sprintf("%016x", uint64(p)) }
