package gateway

import (
	"context"
	"net/netip"
	"testing"

	"github.com/toucanwell/toucanwell/internal/gateway/weights"
)

type countingPlatform struct {
	Platform
	clients int64
}

func (p *countingPlatform) Engine(netip.AddrPort) weights.Engine {
	p.clients++
	return numberedEngine{started: p.clients}
}

type numberedEngine struct {
	weights.Engine
	started int64
}

func (e numberedEngine) Report(context.Context) (weights.Report, error) {
	return weights.Report{StartedMs: e.started}, nil
}

// Guards against a stream that goes on at another software version because an engine's start time is read from the response
// to an earlier question, which was sent twice.
func TestEachQuestionForAStartTimeHasItsOwnClient(t *testing.T) {
	startTime := startTimeOf(&countingPlatform{})
	for want := range int64(3) {
		if got, err := startTime(t.Context(), netip.AddrPort{}); err != nil || got != want+1 {
			t.Errorf("question %d was asked with client %d, error %v", want+1, got, err)
		}
	}
}
