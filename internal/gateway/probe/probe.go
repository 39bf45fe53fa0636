// Package probe carries what entries ask the sidecars of engines before they place a
// prompt, and what they say of prompts that they have sent.
//
// # Why
//
// A sidecar is the one that can know its engine exactly: the work of all entries there,
// what its cache holds, its weights and whether it answers. Telling that to all entries
// costs entries times engines; with a hundred of each it takes most of the entries'
// processors, and each change still reaches few of them at once. Asked for by those who need it, it costs a few datagrams
// for each prompt, whatever the size of the fleet, and is never old.
//
// Each message is one datagram. There is no retry: who does not answer in time is
// passed over, and a lost word of a prompt costs a worse choice and nothing else.
package probe

import (
	"net/netip"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/health"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// maxDatagram bounds a message. It fits into one packet of an Ethernet network.
const maxDatagram = 1400

// Prompt names the shared parts of a prompt.
type Prompt struct {
	Model string
	// Isolated is the workspace, where it shares no part with others.
	IsolatedWorkspace string
	Parts             []wire.Part
}

// Answer is what a sidecar says of its engine.
type Response struct {
	// Life of the engine; its instance is empty while the sidecar does not know it.
	Incarnation fleet.Incarnation
	// Weights are the versions of its models.
	WeightVersions map[string]int64
	Phase          weights.Phase
	// Work of all entries at the engine.
	Work ledger.Work
	// Arriving are the thousandths of its time for which the engine is lately given
	// prompts to read, by their urgency.
	OfferedLoad ledger.PerPriority[int]
	// Held is how many tokens of the prompt's beginning its cache holds.
	CachedTokens int
	// Saved is set when the engine has lately saved the shared parts to their store.
	Offloaded bool
	// Holder is another engine that has lately read the shared parts; invalid for none.
	Holder netip.AddrPort
	// Coming is set when the engine reads shared parts that it does not hold, or knows
	// another that does.
	PrefillInProgress bool
	// Pace is by how much the engine is slower than expected.
	Slowdown float64
	// Ill is set when the engine failed many of its last requests.
	Unhealthy bool
	// ReportAge is the time since the engine last reported to its sidecar.
	ReportAge time.Duration
}

// Send is a prompt that an entry has sent to an engine.
type Send struct {
	Prompt Prompt
	// Weights is the version that was demanded.
	WeightVersion int64
	// Read is for how long reading it holds up others.
	PrefillTime time.Duration
	Priority    int
	// Memory is how many tokens of memory it takes.
	Memory int
	// Saved is set when the engine saves the parts to their store.
	Offloaded bool
	// Holder is the engine that it was sent to, where its family's first engine is told
	// of it; invalid where the two are the same.
	Holder netip.AddrPort
	// Lifetime is after how long the engine has certainly ended it.
	Lifetime time.Duration
}

// Progress is how a prompt gets on at its engine.
type Progress struct {
	// Read is set when its first event came, Ended when it has left the engine.
	PrefillDone, Ended bool
	// Outcome counts once it has ended.
	Outcome health.Outcome
	// Took is the time from the send to the first event, Expected what was expected;
	// zero where they say nothing of the engine's speed.
	Latency, ExpectedLatency time.Duration
}

// paceUnit is the pace of an engine that is as fast as expected, on the wire.
const paceUnit = 1000

var phasesOut = map[weights.Phase]peerv1.EnginePhase{
	weights.Serving:      peerv1.EnginePhase_ENGINE_PHASE_SERVING,
	weights.Loading:      peerv1.EnginePhase_ENGINE_PHASE_LOADING,
	weights.Draining:     peerv1.EnginePhase_ENGINE_PHASE_EMPTYING,
	weights.Unresponsive: peerv1.EnginePhase_ENGINE_PHASE_SILENT,
}

var phasesIn = map[peerv1.EnginePhase]weights.Phase{
	peerv1.EnginePhase_ENGINE_PHASE_SERVING:  weights.Serving,
	peerv1.EnginePhase_ENGINE_PHASE_LOADING:  weights.Loading,
	peerv1.EnginePhase_ENGINE_PHASE_EMPTYING: weights.Draining,
	peerv1.EnginePhase_ENGINE_PHASE_SILENT:   weights.Unresponsive,
}

func ms(d time.Duration) uint32 { return uint32(max(d, 0).Milliseconds()) }

func fromMs(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func addressOut(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// addressIn decodes an address; one that cannot be read counts as none.
func addressIn(text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

func promptOut(p Prompt) *peerv1.SharedParts {
	out := &peerv1.SharedParts{Model: p.Model, Isolated: p.IsolatedWorkspace}
	for _, part := range p.Parts {
		out.Names = append(out.Names, part.ID)
		out.Tokens = append(out.Tokens, uint32(part.Tokens))
	}
	return out
}

func promptIn(in *peerv1.SharedParts) Prompt {
	p := Prompt{Model: in.GetModel(), IsolatedWorkspace: in.GetIsolated()}
	for i, name := range in.GetNames() {
		if i < len(in.Tokens) {
			p.Parts = append(p.Parts, wire.Part{ID: name, Tokens: int(in.Tokens[i])})
		}
	}
	return p
}

func answerOut(a *Response) *peerv1.EngineAnswer {
	e := &peerv1.EngineState{
		Instance: a.Incarnation.Instance, Born: a.Incarnation.StartedMs, Phase: phasesOut[a.Phase],
	}
	for model, version := range a.WeightVersions {
		e.Weights = append(e.Weights, &peerv1.ModelWeights{Model: model, Version: version})
	}
	return &peerv1.EngineAnswer{
		Arriving: lanesOut(a.OfferedLoad),
		Engine:   e, Load: EncodeLoad(0, a.Work), Held: uint32(a.CachedTokens), Coming: a.PrefillInProgress,
		Pace: uint32(a.Slowdown * paceUnit), Ill: a.Unhealthy, ReportAgeMs: ms(a.ReportAge), Saved: a.Offloaded, Holder: addressOut(a.Holder),
	}
}

func answerIn(in *peerv1.EngineAnswer) Response {
	e := in.GetEngine()
	a := Response{
		Incarnation: fleet.Incarnation{Instance: e.GetInstance(), StartedMs: e.GetBorn()}, Phase: phasesIn[e.GetPhase()], WeightVersions: map[string]int64{},
		CachedTokens: int(in.Held), PrefillInProgress: in.Coming, Slowdown: float64(in.Pace) / paceUnit, Unhealthy: in.Ill, ReportAge: fromMs(in.ReportAgeMs), Offloaded: in.Saved, Holder: addressIn(in.Holder),
	}
	if in.Load != nil {
		a.Work = DecodeLoad(in.Load)
	}
	for _, told := range in.Arriving {
		a.OfferedLoad[told%ledger.Priorities] += int(told / ledger.Priorities)
	}
	for _, w := range e.GetWeights() {
		a.WeightVersions[w.Model] = w.Version
	}
	return a
}

func sendOut(s Send) *peerv1.EngineSend {
	return &peerv1.EngineSend{
		Parts: promptOut(s.Prompt), Weights: s.WeightVersion, ReadMs: ms(s.PrefillTime),
		Urgency: uint32(s.Priority), Memory: uint32(max(s.Memory, 0)), LifetimeMs: ms(s.Lifetime), Saved: s.Offloaded, Holder: addressOut(s.Holder),
	}
}

func sendIn(in *peerv1.EngineSend) Send {
	return Send{
		Prompt: promptIn(in.Parts), WeightVersion: in.Weights, PrefillTime: fromMs(in.ReadMs),
		Priority: min(int(in.Urgency), ledger.Priorities-1), Memory: int(in.Memory), Lifetime: fromMs(in.LifetimeMs), Offloaded: in.Saved, Holder: addressIn(in.Holder),
	}
}

func progressOut(p Progress) *peerv1.EngineProgress {
	return &peerv1.EngineProgress{
		Read: p.PrefillDone, Ended: p.Ended, Failed: p.Ended && p.Outcome != health.Good, TookMs: ms(p.Latency), ExpectedMs: ms(p.ExpectedLatency),
	}
}

func progressIn(in *peerv1.EngineProgress) Progress {
	p := Progress{PrefillDone: in.Read, Ended: in.Ended, Latency: fromMs(in.TookMs), ExpectedLatency: fromMs(in.ExpectedMs)}
	if in.Failed {
		p.Outcome = health.Failed
	}
	return p
}

// LoadOut encodes work at a target; lanes in which there is none are left out.
func EncodeLoad(target fleet.ID, w ledger.Work) *peerv1.TargetLoad {
	var reading ledger.PerPriority[int]
	for urgency, d := range w.Prefill {
		reading[urgency] = int(d.Milliseconds())
	}
	return &peerv1.TargetLoad{
		Target: uint32(target), Running: uint32(max(w.Running, 0)), Reading: lanesOut(reading), Memory: lanesOut(w.Memory),
	}
}

// lanesOut encodes amounts by urgency; nothing is left out.
func lanesOut(lanes ledger.PerPriority[int]) []uint32 {
	var out []uint32
	for urgency, amount := range lanes {
		if amount > 0 {
			out = append(out, uint32(amount)*ledger.Priorities+uint32(urgency))
		}
	}
	return out
}

// WorkIn decodes work at a target.
func DecodeLoad(l *peerv1.TargetLoad) ledger.Work {
	w := ledger.Work{Running: int(l.Running)}
	for _, told := range l.Reading {
		w.Prefill[told%ledger.Priorities] += time.Duration(told/ledger.Priorities) * time.Millisecond
	}
	for _, told := range l.Memory {
		w.Memory[told%ledger.Priorities] += int(told / ledger.Priorities)
	}
	return w
}
