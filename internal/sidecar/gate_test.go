package sidecar

import (
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/admission"
	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/errkind"
)

// Guards against requests to a target during the rest that it has asked for: new ones and those that
// wait in the queue must be refused with the time that is left, and none after it.
func TestGateRefusesDuringRest(t *testing.T) {
	now := time.Duration(0)
	g := NewGate(admission.Limits{MaxRunning: 1, MaxPrefilling: 1, MaxQueued: 10}, 100, 10_000, func() time.Duration { return now })
	request := GateRequest{Workspace: "town", Weight: 1, Class: config.ClassInteractive, PromptTokens: 1, BlockTokens: 64, Budget: time.Hour}
	running, refusal := g.Enter(request)
	if refusal != nil || <-running.Decided != nil {
		t.Fatalf("first request: %v", refusal)
	}
	queued, refusal := g.Enter(request)
	if refusal != nil {
		t.Fatal(refusal)
	}
	g.Rest(3 * time.Second)
	g.Rest(time.Second)
	if e := <-queued.Decided; e == nil || e.Kind != errkind.Throttled || e.RetryAfter != 3*time.Second {
		t.Errorf("queued request: %v", e)
	}
	now = 2 * time.Second
	if _, e := g.Enter(request); e == nil || e.Kind != errkind.Throttled || e.RetryAfter != time.Second {
		t.Errorf("request during the rest: %v", e)
	}
	if _, e := g.Quote(QuoteInput{PromptTokens: 1}); e == nil || e.Kind != errkind.Throttled {
		t.Errorf("probe during the rest: %v", e)
	}
	now = 3 * time.Second
	if _, e := g.Enter(request); e != nil {
		t.Errorf("request after the rest: %v", e)
	}
}
