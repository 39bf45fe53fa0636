package mesh

import (
	"context"
	"testing"

	"github.com/toucanwell/toucanwell/internal/gateway/feed"
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
			client := NewClient(MaxHedges * HedgeDelay)
			defer client.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(t.Context(), MaxHedges*HedgeDelay)
			defer cancel()
			if _, err := Fetch(ctx, client, s.Address, "topic", feed.Position{}); err == nil {
				t.Error("the response was accepted")
			}
			if s.Sent() > maxTaken {
				t.Errorf("%d bytes were taken", s.Sent())
			}
		})
	}
}
