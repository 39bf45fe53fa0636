package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/upstream/endlesstest"
)

const (
	// maxTaken is the most that a server may send before its connection is closed: the largest head, what
	// is skipped of responses to other requests, and what the kernel's buffers hold.
	maxTaken = 16 << 20
)

func sendTo(ctx context.Context, p *Pool, s *endlesstest.Server) (*Response, error) {
	return p.Send(ctx, s.Address, &Request{
		Method: http.MethodPost, RequestURI: "/x", Host: "h", Header: http.Header{}, Body: []byte("body"),
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") == "1" },
	})
}

func heapSize() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against a target that sends bytes without end in place of a response: they fill the memory of the
// process, or keep it busy until the deadline.
func TestEndlessHeadIsRejected(t *testing.T) {
	for _, f := range append(endlesstest.Heads(), endlesstest.Bodies("Id: other\r\n")...) {
		t.Run(f.Name, func(t *testing.T) {
			s := endlesstest.Start(t, f)
			p := NewPool(func() {})
			defer p.CloseIdle()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := sendTo(ctx, p, s)
			if err == nil || errors.Is(err, ErrNotSent) || ctx.Err() != nil {
				t.Errorf("error %v, context %v", err, ctx.Err())
			}
			if s.Sent() > maxTaken {
				t.Errorf("%d bytes were taken", s.Sent())
			}
		})
	}
}

// Guards against tens of such targets at a time that together fill the memory.
func TestEndlessHeadsDoNotFillMemory(t *testing.T) {
	// An entry may have 112 MB and may grow by half of it.
	const concurrent, maxGrowth = 100, 56 << 20
	before := heapSize()
	p := NewPool(func() {})
	defer p.CloseIdle()
	forms := endlesstest.Heads()
	var sends sync.WaitGroup
	ended := make(chan struct{})
	for i := range concurrent {
		s := endlesstest.Start(t, forms[i%len(forms)])
		sends.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if _, err := sendTo(ctx, p, s); err == nil {
				t.Error("a response was accepted")
			}
		})
	}
	go func() { sends.Wait(); close(ended) }()
	most := before
	for running := true; running; {
		select {
		case <-ended:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
		most = max(most, heapSize())
	}
	if grown := most - before; grown > maxGrowth {
		t.Errorf("the heap grew by %d bytes", grown)
	}
}

// Guards against a body without end that is read for longer than its reader wants: the connection must be
// closed with the response, and the parts of a chunked body that carry no data are bounded.
func TestEndlessBodyEndsWithItsReader(t *testing.T) {
	for _, f := range endlesstest.Bodies("Id: 1\r\n") {
		t.Run(f.Name, func(t *testing.T) {
			s := endlesstest.Start(t, f)
			p := NewPool(func() {})
			defer p.CloseIdle()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			resp, err := sendTo(ctx, p, s)
			if err != nil {
				t.Fatal(err)
			}
			n, err := io.Copy(io.Discard, io.LimitReader(resp, 1<<20))
			if n < 1<<20 && err == nil {
				t.Errorf("the body ended as complete after %d bytes", n)
			}
			resp.Close()
			select {
			case <-s.Closed():
			case <-time.After(5 * time.Second):
				t.Fatal("the connection is still open")
			}
			if s.Sent() > maxTaken {
				t.Errorf("%d bytes were taken", s.Sent())
			}
		})
	}
}

// Guards against connections that keep the heads of the responses before: a target with large heads fills the
// memory with its idle connections.
func TestHeadIsNotKept(t *testing.T) {
	r := &headReader{unread: make([]byte, MaxHeadBytes), in: strings.NewReader("")}
	if n, err := io.Copy(io.Discard, r); n != MaxHeadBytes || err != nil || r.unread != nil {
		t.Errorf("%d bytes were read, error %v, the head is kept: %v", n, err, r.unread != nil)
	}
}
