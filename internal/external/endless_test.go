package external

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/buffers"
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

// endlessBody counts what is read of it.
type endlessBody struct{ read int }

func (b *endlessBody) Read(p []byte) (int, error) {
	b.read += len(p)
	return len(p), nil
}

// Guards against a plain service that answers many calls without end: their responses together fill the memory of
// the sidecar, and all calls in it are lost.
func TestEndlessPlainResponsesShareMemory(t *testing.T) {
	const calls, memory = 40, 8 << 20
	budget := buffers.NewBudget(memory)
	total := 0
	for range calls {
		body := &endlessBody{}
		if _, err := readPlainBody(body, budget.NewShare()); err == nil {
			t.Error("an endless response was taken for whole")
		}
		total += body.read
	}
	// The first step of each body is not taken from the budget.
	if most := memory + calls*buffers.Step; total > most {
		t.Errorf("%d bytes were read, want at most %d", total, most)
	}
	body := &endlessBody{}
	if _, err := readPlainBody(body, nil); err == nil || body.read < maxResponseBytes {
		t.Errorf("without a budget %d bytes were read, error %v", body.read, err)
	}
}
