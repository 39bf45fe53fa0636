package sidecar

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/buffers"
	"github.com/toucanwell/toucanwell/internal/external"
)

// endlessEngine is an engine whose streams do not end.
type endlessEngine struct {
	external.Engine
	text string
	// last is the number of the last token of the streams; zero for none.
	last uint64
}

func (e *endlessEngine) Resume(ctx context.Context, _ string, from uint64) (external.TokenStream, error) {
	return &endlessStream{engine: e, ctx: ctx, next: from}, nil
}

type endlessStream struct {
	engine *endlessEngine
	ctx    context.Context
	next   uint64
}

func (s *endlessStream) Next() (external.Token, error) {
	if s.ctx.Err() != nil {
		return external.Token{}, s.ctx.Err()
	}
	token := external.Token{Seq: s.next, Text: s.engine.text, End: s.next == s.engine.last}
	s.next++
	return token, nil
}

func (s *endlessStream) Close() error { return nil }

const testResponseMemory = 4 << 20

func newMemorySidecar(t *testing.T, engine external.Engine) *Sidecar {
	s := &Sidecar{ctx: t.Context(), engine: engine, logger: logr.Discard(), runs: newRuns(), responses: buffers.NewBudget(testResponseMemory)}
	s.responses.SetReclaim(s.runs.reclaim)
	return s
}

func (s *Sidecar) adoptAndWait(t *testing.T, id string) *run {
	t.Helper()
	r, err := s.adoptRun(t.Context(), runKey{"town", id}, 1)
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-r.finished:
	case <-time.After(10 * time.Second):
		r.cancel()
		t.Fatalf("the run goes on with frame %d", r.buffer.Next())
	}
	return r
}

// Guards against an engine that sends tokens without end: their frames fill the memory of the sidecar, and all
// runs in it are lost.
func TestEndlessTokensDoNotFillMemory(t *testing.T) {
	for _, text := range []string{"", "token", strings.Repeat("x", 1<<20)} {
		s := newMemorySidecar(t, &endlessEngine{text: text})
		for _, id := range []string{"first", "second"} {
			r := s.adoptAndWait(t, id)
			const first, refusal = 1, 1
			if n := int(r.buffer.Next()-first-refusal) * (len(text) + frameMemory); n > testResponseMemory {
				t.Errorf("text of %d bytes: the run holds %d bytes", len(text), n)
			}
		}
		s.runs.reap(time.Now().Add(time.Hour), time.Second)
		if !s.responses.Take(testResponseMemory) {
			t.Errorf("text of %d bytes: memory was not given back", len(text))
		}
	}
}

// Guards against runs that fail for the memory of others that have ended and nobody reads.
func TestEndedRunsMakeRoomForOthers(t *testing.T) {
	s := newMemorySidecar(t, &endlessEngine{text: strings.Repeat("x", 1<<10), last: 2000})
	for _, id := range []string{"1", "2", "3", "4"} {
		if r := s.adoptAndWait(t, id); r.buffer.Next() != 2001 {
			t.Errorf("run %s ended before frame %d", id, r.buffer.Next())
		}
	}
	if n := len(s.runs.byKey); n < 1 || n > 2 {
		t.Errorf("%d runs are held", n)
	}
}

// Guards against memory that is taken for a run after it was removed, and never given back.
func TestRemovedRunTakesNoMemory(t *testing.T) {
	budget := buffers.NewBudget(10)
	m := &runMemory{budget: budget}
	if !m.take(4) {
		t.Fatal("no memory")
	}
	m.release()
	if m.take(4) || !budget.Take(10) {
		t.Error("a removed run has memory")
	}
}
