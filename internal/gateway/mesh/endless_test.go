package mesh

import (
	"testing"

	"github.com/toucanwell/toucanwell/internal/gateway/feed"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream/endlesstest"
)

// Guards against a peer whose response to a fetch does not end and fills the memory.
func TestEndlessReplicaIsRejected(t *testing.T) {
	// A chunk takes twice its data, and the kernel's buffers hold some megabytes.
	const maxTaken = 3*maxReplicaBytes + 8<<20
	forms := append(endlesstest.Heads(), endlesstest.Bodies("Content-Type: application/proto\r\n")...)
	for _, f := range forms {
		t.Run(f.Name, func(t *testing.T) {
			s := endlesstest.Start(t, f)
			transport := upstream.NewTransport()
			defer transport.CloseIdleConnections()
			if _, err := Fetch(t.Context(), NewClient(transport), s.Address, "topic", feed.Position{}); err == nil {
				t.Error("the response was accepted")
			}
			if s.Sent() > maxTaken {
				t.Errorf("%d bytes were taken", s.Sent())
			}
		})
	}
}
