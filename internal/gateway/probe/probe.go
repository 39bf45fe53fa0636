// Package probe is the protocol between entries and the sidecars of engines: entries probe
// sidecars before they place a prompt, and notify them of prompts sent and their progress.
//
// Probing on demand costs a few datagrams per prompt, independent of the fleet's size, and
// returns current state. Broadcasts of that state would grow with entries times engines.
//
// Each message is one UDP datagram without retry. A probe that times out is ignored; a
// lost notification only degrades later placement.
package probe

import (
	"math"
	"net/netip"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/health"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// maxDatagram is the maximum size of a message; it fits into one Ethernet frame.
const maxDatagram = 1400

// Prompt names the shared parts of a prompt.
type Prompt struct {
	Model string
	// CacheDomain is the domain within which the prompt shares cached parts.
	CacheDomain string
	Parts       []wire.Part
}

// Response is a sidecar's response to a probe: the state of its engine.
type Response struct {
	// Incarnation of the engine; its instance is empty while unknown.
	Incarnation fleet.Incarnation
	// WeightVersions are the engine's weight versions by model.
	WeightVersions map[string]int64
	Phase          weights.Phase
	// Work is the work in flight from all entries.
	Work ledger.Work
	// OfferedLoad is the prefill work that recently arrived, in thousandths of the
	// engine's time.
	OfferedLoad ledger.PerPriority[int]
	// CachedTokens is the length of the prompt's prefix in the engine's cache.
	CachedTokens int
	// Offloaded is set when the engine recently offloaded the shared parts to the KV store.
	Offloaded bool
	// Holder is another engine that recently prefilled the shared parts; invalid for none.
	Holder netip.AddrPort
	// PrefillInProgress is set while this engine, or another that it knows of, prefills
	// shared parts that this one has not cached.
	PrefillInProgress bool
	// Slowdown is the ratio of measured to predicted latency.
	Slowdown float64
	// Speed is the engine's speed over the last minutes; zero if unknown. It is 1 within the error of
	// the estimate.
	Speed float64
	// Unhealthy is set when the engine failed many recent requests.
	Unhealthy bool
	// ReportAge is the age of the engine's last report to its sidecar.
	ReportAge time.Duration
}

// Send describes a prompt that an entry sent to an engine.
type Send struct {
	Prompt Prompt
	// WeightVersion is the version that the request requires.
	WeightVersion int64
	// PrefillTime is how long the prefill is expected to block other prompts.
	PrefillTime time.Duration
	Priority    int
	// Memory is the KV cache that the request needs, in tokens.
	Memory int
	// Offloaded is set when the engine offloads the shared parts to the KV store.
	Offloaded bool
	// Holder is the engine that got the prompt, when the notification goes to the
	// family's first engine instead; invalid when both are the same.
	Holder netip.AddrPort
	// Lifetime is the time after which the engine has certainly ended the request.
	Lifetime time.Duration
}

// Progress is an update on a prompt at its engine.
type Progress struct {
	// PrefillDone is set once the first event arrived, Ended once the request ended.
	PrefillDone, Ended bool
	// Outcome is valid if Ended.
	Outcome health.Outcome
	// Latency and ExpectedLatency are the measured and predicted times from the send to
	// the first event. Both are zero if they say nothing about the engine's speed.
	Latency, ExpectedLatency time.Duration
}

// slowdownUnit is the wire value of a slowdown of 1.
const slowdownUnit = 1000

var phaseToProto = map[weights.Phase]peerv1.EnginePhase{
	weights.Serving:      peerv1.EnginePhase_ENGINE_PHASE_SERVING,
	weights.Loading:      peerv1.EnginePhase_ENGINE_PHASE_LOADING,
	weights.Draining:     peerv1.EnginePhase_ENGINE_PHASE_EMPTYING,
	weights.Unresponsive: peerv1.EnginePhase_ENGINE_PHASE_SILENT,
}

var phaseFromProto = map[peerv1.EnginePhase]weights.Phase{
	peerv1.EnginePhase_ENGINE_PHASE_SERVING:  weights.Serving,
	peerv1.EnginePhase_ENGINE_PHASE_LOADING:  weights.Loading,
	peerv1.EnginePhase_ENGINE_PHASE_EMPTYING: weights.Draining,
	peerv1.EnginePhase_ENGINE_PHASE_SILENT:   weights.Unresponsive,
}

func toMs(d time.Duration) uint32 { return uint32(max(d, 0).Milliseconds()) }

func fromMs(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// parseAddress returns the zero value for an invalid address.
func parseAddress(text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

func encodePrompt(p Prompt) *peerv1.SharedParts {
	out := &peerv1.SharedParts{Model: p.Model, CacheDomain: p.CacheDomain}
	for _, part := range p.Parts {
		out.Names = append(out.Names, part.ID)
		out.Tokens = append(out.Tokens, uint32(part.Tokens))
	}
	return out
}

func decodePrompt(in *peerv1.SharedParts) Prompt {
	p := Prompt{Model: in.GetModel(), CacheDomain: in.GetCacheDomain()}
	for i, name := range in.GetNames() {
		if i < len(in.Tokens) {
			p.Parts = append(p.Parts, wire.Part{ID: name, Tokens: int(in.Tokens[i])})
		}
	}
	return p
}

func encodeResponse(r *Response) *peerv1.EngineAnswer {
	e := &peerv1.EngineState{
		Instance: r.Incarnation.Instance, Born: r.Incarnation.StartedMs, Phase: phaseToProto[r.Phase],
	}
	for model, version := range r.WeightVersions {
		e.Weights = append(e.Weights, &peerv1.ModelWeights{Model: model, Version: version})
	}
	return &peerv1.EngineAnswer{
		Arriving: encodePerPriority(r.OfferedLoad),
		Engine:   e, Load: EncodeLoad(0, r.Work), Held: uint32(r.CachedTokens), Coming: r.PrefillInProgress,
		Pace: uint32(r.Slowdown * slowdownUnit), Ill: r.Unhealthy, ReportAgeMs: toMs(r.ReportAge), Saved: r.Offloaded, Holder: formatAddress(r.Holder),
		Speed: uint32(math.Round(r.Speed * slowdownUnit)),
	}
}

func decodeResponse(in *peerv1.EngineAnswer) Response {
	e := in.GetEngine()
	r := Response{
		Incarnation: fleet.Incarnation{Instance: e.GetInstance(), StartedMs: e.GetBorn()}, Phase: phaseFromProto[e.GetPhase()], WeightVersions: map[string]int64{},
		CachedTokens: int(in.Held), PrefillInProgress: in.Coming, Slowdown: float64(in.Pace) / slowdownUnit, Speed: float64(in.Speed) / slowdownUnit, Unhealthy: in.Ill, ReportAge: fromMs(in.ReportAgeMs), Offloaded: in.Saved, Holder: parseAddress(in.Holder),
	}
	if in.Load != nil {
		r.Work = DecodeLoad(in.Load)
	}
	for _, encoded := range in.Arriving {
		r.OfferedLoad[encoded%ledger.Priorities] += int(encoded / ledger.Priorities)
	}
	for _, w := range e.GetWeights() {
		r.WeightVersions[w.Model] = w.Version
	}
	return r
}

func encodeSend(s Send) *peerv1.EngineSend {
	return &peerv1.EngineSend{
		Parts: encodePrompt(s.Prompt), Weights: s.WeightVersion, ReadMs: toMs(s.PrefillTime),
		Urgency: uint32(s.Priority), Memory: uint32(max(s.Memory, 0)), LifetimeMs: toMs(s.Lifetime), Saved: s.Offloaded, Holder: formatAddress(s.Holder),
	}
}

func decodeSend(in *peerv1.EngineSend) Send {
	return Send{
		Prompt: decodePrompt(in.Parts), WeightVersion: in.Weights, PrefillTime: fromMs(in.ReadMs),
		Priority: min(int(in.Urgency), ledger.Priorities-1), Memory: int(in.Memory), Lifetime: fromMs(in.LifetimeMs), Offloaded: in.Saved, Holder: parseAddress(in.Holder),
	}
}

func encodeProgress(p Progress) *peerv1.EngineProgress {
	return &peerv1.EngineProgress{
		Read: p.PrefillDone, Ended: p.Ended, Failed: p.Ended && p.Outcome != health.Good, TookMs: toMs(p.Latency), ExpectedMs: toMs(p.ExpectedLatency),
	}
}

func decodeProgress(in *peerv1.EngineProgress) Progress {
	p := Progress{PrefillDone: in.Read, Ended: in.Ended, Latency: fromMs(in.TookMs), ExpectedLatency: fromMs(in.ExpectedMs)}
	if in.Failed {
		p.Outcome = health.Failed
	}
	return p
}

// EncodeLoad encodes the work at a target.
func EncodeLoad(target fleet.ID, w ledger.Work) *peerv1.TargetLoad {
	var prefillMs ledger.PerPriority[int]
	for priority, d := range w.Prefill {
		prefillMs[priority] = int(d.Milliseconds())
	}
	return &peerv1.TargetLoad{
		Target: uint32(target), Running: uint32(max(w.Running, 0)), Reading: encodePerPriority(prefillMs), Memory: encodePerPriority(w.Memory),
	}
}

// encodePerPriority encodes each positive amount together with its priority.
func encodePerPriority(amounts ledger.PerPriority[int]) []uint32 {
	var out []uint32
	for priority, amount := range amounts {
		if amount > 0 {
			out = append(out, uint32(amount)*ledger.Priorities+uint32(priority))
		}
	}
	return out
}

// DecodeLoad decodes the work at a target.
func DecodeLoad(l *peerv1.TargetLoad) ledger.Work {
	w := ledger.Work{Running: int(l.Running)}
	for _, encoded := range l.Reading {
		w.Prefill[encoded%ledger.Priorities] += time.Duration(encoded/ledger.Priorities) * time.Millisecond
	}
	for _, encoded := range l.Memory {
		w.Memory[encoded%ledger.Priorities] += int(encoded / ledger.Priorities)
	}
	return w
}
