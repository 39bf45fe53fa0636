package external

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/upstream/endlesstest"
)

// Guards against servers of the product's own protocol whose responses do not end, and against a response
// that is cut at the limit and taken for complete.
func TestEndlessResponsesAreRejected(t *testing.T) {
	// A chunk takes twice its data, and the kernel's buffers hold some megabytes.
	const maxTaken = 3*maxResponseBytes + 8<<20
	for _, f := range append(endlesstest.Heads(), endlesstest.Bodies("")...) {
		t.Run(f.Name, func(t *testing.T) {
			s := endlesstest.Start(t, f)
			client := NewHTTPClient()
			defer client.CloseIdleConnections()
			base := "http://" + s.Address.String()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			for name, call := range map[string]func() error{
				"plain call": func() error {
					_, err := NewHTTPPlain(base, client).Call(ctx, &PlainRequest{Path: "/x", Timeout: 5 * time.Second})
					return err
				},
				"log": func() error {
					c := jsonClient{base, client}
					return c.call(ctx, "POST", "/x", bytes.NewReader(nil), &struct{}{})
				},
			} {
				before := s.Sent()
				if err := call(); err == nil || ctx.Err() != nil {
					t.Errorf("%s: error %v, context %v", name, err, ctx.Err())
				}
				if n := s.Sent() - before; n > maxTaken {
					t.Errorf("%s: %d bytes were taken", name, n)
				}
			}
		})
	}
}
