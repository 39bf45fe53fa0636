package probe

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/health"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

var (
	loopback = netip.MustParseAddr("127.0.0.1")
	// waitLimit bounds how long tests wait for a condition.
	waitLimit = 20 * time.Second
)

// fakeEngine returns a fixed response and records notifications.
type fakeEngine struct {
	response Response
	mu       sync.Mutex
	probed   []Prompt
	sends    map[SendID]Send
	progress chan Progress
}

func (e *fakeEngine) Probe(p Prompt) (Response, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.probed = append(e.probed, p)
	return e.response, true
}

func (e *fakeEngine) OnSend(id SendID, s Send) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sends[id] = s
}

func (e *fakeEngine) OnProgress(_ SendID, p Progress) { e.progress <- p }

func startServer(t *testing.T, engine Engine) (*Server, netip.AddrPort) {
	t.Helper()
	s, err := NewServer(netip.AddrPortFrom(loopback, 0), engine)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func startClient(t *testing.T, port uint16, now func() time.Time) *Client {
	t.Helper()
	c, err := NewClient(loopback, port, now)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

var prompt = Prompt{Model: "m", CacheDomain: "acme", Parts: []wire.Part{{ID: "a1", Tokens: 512}, {ID: "b2", Tokens: 4870}}}

// All fields of responses and notifications survive the wire.
func TestMessagesSurviveTheWire(t *testing.T) {
	response := Response{
		Incarnation: fleet.Incarnation{Instance: "i-1", StartedMs: 1_700_000_000_123}, WeightVersions: map[string]int64{"m": 3}, Phase: weights.Draining,
		CachedTokens: 4870, Offloaded: true, Holder: netip.MustParseAddrPort("10.0.0.7:8000"), PrefillInProgress: true,
		Slowdown: 1.25, Speed: 0.7, Unhealthy: true, ReportAge: 120 * time.Millisecond,
		Work:        ledger.Work{Running: 3, Prefill: ledger.AtPriority(2, 80*time.Millisecond), Memory: ledger.AtPriority(7, 12_000)},
		OfferedLoad: ledger.AtPriority(1, 420),
	}
	engine := &fakeEngine{response: response, sends: map[SendID]Send{}, progress: make(chan Progress, 1)}
	_, address := startServer(t, engine)
	c := startClient(t, address.Port(), time.Now)
	got, received := probeUntilReceived(c, address, prompt)
	if !received {
		t.Fatal("no response")
	}
	if !equalResponses(got, response) {
		t.Errorf("got %+v, want %+v", got, response)
	}
	if p := engine.probed[0]; p.Model != "m" || p.CacheDomain != "acme" || len(p.Parts) != 2 || p.Parts[1] != prompt.Parts[1] {
		t.Errorf("probed for %+v", p)
	}
	send := Send{
		Prompt: prompt, WeightVersion: 3, PrefillTime: 90 * time.Millisecond, Priority: 3, Memory: 9000,
		Offloaded: true, Holder: netip.MustParseAddrPort("10.0.0.8:8000"), Lifetime: 5 * time.Second,
	}
	id := c.NotifySend(address, send)
	c.NotifyProgress(address, id, Progress{Ended: true, Outcome: health.Broken})
	if p := <-engine.progress; !p.Ended || p.Outcome == health.Good {
		t.Errorf("progress %+v", p)
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	for sendID, s := range engine.sends {
		if sendID.Sequence != id || s.PrefillTime != send.PrefillTime || s.Priority != 3 || s.Holder != send.Holder || !s.Offloaded || s.Lifetime != send.Lifetime {
			t.Errorf("%v: %+v", sendID, s)
		}
	}
}

// probeUntilReceived retries a probe: on a busy machine datagrams may be late.
func probeUntilReceived(c *Client, address netip.AddrPort, p Prompt) (Response, bool) {
	for end := time.Now().Add(waitLimit); time.Now().Before(end); {
		if responses, received := c.Probe(context.Background(), []netip.AddrPort{address}, p); received[0] {
			return responses[0], true
		}
	}
	return Response{}, false
}

func equalResponses(a, b Response) bool {
	if a.WeightVersions["m"] != b.WeightVersions["m"] {
		return false
	}
	a.WeightVersions, b.WeightVersions = nil, nil
	x, y := encodeResponse(&a), encodeResponse(&b)
	return proto.Equal(x, y) && a.Incarnation == b.Incarnation
}

// Prompts do not wait for a sidecar that missed several probes, for instance because its
// host is suspended. Once it responds they wait for it again.
func TestUnresponsiveSidecarIsNotWaitedFor(t *testing.T) {
	now := time.Unix(1000, 0)
	c := startClient(t, 9, func() time.Time { return now })
	host := netip.MustParseAddrPort("127.0.0.9:9")
	for range unresponsiveAfter {
		r, firstID := c.beginRound([]netip.AddrPort{host})
		if r.awaited != 1 {
			t.Fatal("a sidecar with a single miss is not waited for")
		}
		c.endRound(r, firstID)
	}
	r, firstID := c.beginRound([]netip.AddrPort{host})
	if r.awaited != 0 {
		t.Error("an unresponsive sidecar is waited for")
	}
	c.handleResponse(host.Addr(), &peerv1.EngineAnswer{Id: firstID})
	if _, received := c.endRound(r, firstID); !received[0] {
		t.Error("a response that was not awaited is lost")
	}
	if r, firstID = c.beginRound([]netip.AddrPort{host}); r.awaited != 1 {
		t.Error("a sidecar that responds again is not waited for")
	}
	c.endRound(r, firstID)
	for range unresponsiveAfter {
		r, firstID = c.beginRound([]netip.AddrPort{host})
		c.endRound(r, firstID)
	}
	now = now.Add(unresponsivePeriod)
	if r, _ = c.beginRound([]netip.AddrPort{host}); r.awaited != 1 {
		t.Errorf("a sidecar is not waited for %v after its last miss", unresponsivePeriod)
	}
}

// Responses that are late or come from another host are discarded: they would describe the
// wrong engine.
func TestLateAndForeignResponsesAreDiscarded(t *testing.T) {
	c := startClient(t, 9, time.Now)
	engine := netip.MustParseAddrPort("127.0.0.9:9")
	r, firstID := c.beginRound([]netip.AddrPort{engine})
	c.handleResponse(netip.MustParseAddr("127.0.0.8"), &peerv1.EngineAnswer{Id: firstID, Held: 7})
	if _, received := c.endRound(r, firstID); received[0] {
		t.Error("a response from another host was accepted")
	}
	later, laterID := c.beginRound([]netip.AddrPort{engine})
	c.handleResponse(engine.Addr(), &peerv1.EngineAnswer{Id: firstID, Held: 7})
	if _, received := c.endRound(later, laterID); received[0] {
		t.Error("a late response was accepted for a later probe")
	}
}

// A probe that exceeds the datagram size is not sent and counts as missed.
func TestOversizedProbeIsNotSent(t *testing.T) {
	engine := &fakeEngine{sends: map[SendID]Send{}, progress: make(chan Progress, 1)}
	_, address := startServer(t, engine)
	c := startClient(t, address.Port(), time.Now)
	huge := Prompt{Model: "m"}
	for range 400 {
		huge.Parts = append(huge.Parts, wire.Part{ID: "0123456789abcdef", Tokens: 100})
	}
	if _, received := c.Probe(context.Background(), []netip.AddrPort{address}, huge); received[0] {
		t.Error("the probe got a response")
	}
}

// BenchmarkDatagramsOfOnePrompt measures an entry's messages for one prompt: probes of five
// engines and the notifications to one.
func BenchmarkDatagramsOfOnePrompt(b *testing.B) {
	engine := &fakeEngine{response: Response{WeightVersions: map[string]int64{"m": 1}}, sends: map[SendID]Send{}, progress: make(chan Progress, 1<<20)}
	s, err := NewServer(netip.AddrPortFrom(loopback, 0), engine)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	address := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	c, err := NewClient(loopback, address.Port(), time.Now)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	engines := []netip.AddrPort{address, address, address, address, address}
	b.ReportAllocs()
	for b.Loop() {
		c.Probe(context.Background(), engines, prompt)
		id := c.NotifySend(address, Send{Prompt: prompt})
		c.NotifyProgress(address, id, Progress{PrefillDone: true})
		c.NotifyProgress(address, id, Progress{Ended: true})
	}
}

// The messages of one prompt stay within a few hundred bytes, whatever the fleet's size.
func TestMessagesOfOnePromptStaySmall(t *testing.T) {
	response := Response{
		Incarnation: fleet.Incarnation{Instance: "i-7f3a91c2", StartedMs: 1_700_000_000_123}, WeightVersions: map[string]int64{"daka510000": 12}, CachedTokens: 4870,
		Holder: netip.MustParseAddrPort("10.200.100.207:8000"), Slowdown: 1.25, Speed: 1.7, ReportAge: 120 * time.Millisecond,
	}
	for i := range ledger.Priorities {
		response.Work.Prefill[i], response.Work.Memory[i], response.OfferedLoad[i] = time.Second, 100_000, 900
	}
	typical := Prompt{Model: "daka510000", Parts: []wire.Part{{ID: "5c1e07a2", Tokens: 800}, {ID: "91bd3f06", Tokens: 4100}}}
	sizes := map[string]int{
		"probe":    proto.Size(&peerv1.EngineMessage{Id: 1, Probe: &peerv1.EngineProbe{Parts: encodePrompt(typical)}}),
		"response": proto.Size(encodeResponse(&response)),
		"send":     proto.Size(&peerv1.EngineMessage{Id: 1, Send: encodeSend(Send{Prompt: typical, WeightVersion: 12, PrefillTime: time.Second, Memory: 20_000, Lifetime: 10 * time.Second})}),
		"progress": proto.Size(&peerv1.EngineMessage{Id: 1, Progress: encodeProgress(Progress{PrefillDone: true, Latency: time.Second, ExpectedLatency: time.Second})}),
	}
	limits := map[string]int{"probe": 80, "response": 240, "send": 100, "progress": 40}
	for name, size := range sizes {
		t.Logf("%s: %d bytes", name, size)
		if size > limits[name] {
			t.Errorf("%s: %d bytes, want at most %d", name, size, limits[name])
		}
	}
}
