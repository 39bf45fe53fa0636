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
	// bound is far above any expected time; tests wait on conditions up to it.
	bound = 20 * time.Second
)

// fakeEngine answers with a fixed answer and keeps what it is told.
type fakeEngine struct {
	answer Response
	mu     sync.Mutex
	probed []Prompt
	sends  map[SendID]Send
	told   chan Progress
}

func (e *fakeEngine) Probe(p Prompt) (Response, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.probed = append(e.probed, p)
	return e.answer, true
}

func (e *fakeEngine) OnSend(id SendID, s Send) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sends[id] = s
}

func (e *fakeEngine) OnProgress(_ SendID, p Progress) { e.told <- p }

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

var prompt = Prompt{Model: "m", IsolatedWorkspace: "acme", Parts: []wire.Part{{ID: "a1", Tokens: 512}, {ID: "b2", Tokens: 4870}}}

// What a sidecar says arrives as it was meant: an entry places by it.
func TestAnswersAndWordsArriveWhole(t *testing.T) {
	answer := Response{
		Incarnation: fleet.Incarnation{Instance: "i-1", StartedMs: 1_700_000_000_123}, WeightVersions: map[string]int64{"m": 3}, Phase: weights.Draining,
		CachedTokens: 4870, Offloaded: true, Holder: netip.MustParseAddrPort("10.0.0.7:8000"), PrefillInProgress: true,
		Slowdown: 1.25, Unhealthy: true, ReportAge: 120 * time.Millisecond,
		Work:        ledger.Work{Running: 3, Prefill: ledger.AtPriority(2, 80*time.Millisecond), Memory: ledger.AtPriority(7, 12_000)},
		OfferedLoad: ledger.AtPriority(1, 420),
	}
	engine := &fakeEngine{answer: answer, sends: map[SendID]Send{}, told: make(chan Progress, 1)}
	_, at := startServer(t, engine)
	c := startClient(t, at.Port(), time.Now)
	got, known := ask(c, at, prompt)
	if !known {
		t.Fatal("no answer")
	}
	if !equalAnswers(got, answer) {
		t.Errorf("got %+v, want %+v", got, answer)
	}
	if p := engine.probed[0]; p.Model != "m" || p.IsolatedWorkspace != "acme" || len(p.Parts) != 2 || p.Parts[1] != prompt.Parts[1] {
		t.Errorf("asked for %+v", p)
	}
	send := Send{
		Prompt: prompt, WeightVersion: 3, PrefillTime: 90 * time.Millisecond, Priority: 3, Memory: 9000,
		Offloaded: true, Holder: netip.MustParseAddrPort("10.0.0.8:8000"), Lifetime: 5 * time.Second,
	}
	number := c.Sent(at, send)
	c.Progressed(at, number, Progress{Ended: true, Outcome: health.Broken})
	if p := <-engine.told; !p.Ended || p.Outcome == health.Good {
		t.Errorf("told %+v", p)
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	for id, s := range engine.sends {
		if id.Sequence != number || s.PrefillTime != send.PrefillTime || s.Priority != 3 || s.Holder != send.Holder || !s.Offloaded || s.Lifetime != send.Lifetime {
			t.Errorf("%v: %+v", id, s)
		}
	}
}

// ask asks until an answer comes: datagrams of a busy machine may be late.
func ask(c *Client, at netip.AddrPort, p Prompt) (Response, bool) {
	for end := time.Now().Add(bound); time.Now().Before(end); {
		if answers, known := c.Ask(context.Background(), []netip.AddrPort{at}, p); known[0] {
			return answers[0], true
		}
	}
	return Response{}, false
}

func equalAnswers(a, b Response) bool {
	if a.WeightVersions["m"] != b.WeightVersions["m"] {
		return false
	}
	a.WeightVersions, b.WeightVersions = nil, nil
	x, y := answerOut(&a), answerOut(&b)
	return proto.Equal(x, y) && a.Incarnation == b.Incarnation
}

// A sidecar's host freezes. The first prompts wait for its answer; those after them must
// not, or each prompt of the fleet would lose the time to it. Once it answers again it is
// waited for again.
func TestSilentSidecarIsNotWaitedForAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	c := startClient(t, 9, func() time.Time { return now })
	silent := netip.MustParseAddrPort("127.0.0.9:9")
	for range quietAfter {
		r, first := c.begin([]netip.AddrPort{silent})
		if r.awaited != 1 {
			t.Fatal("a sidecar that may just have lost a datagram is not waited for")
		}
		c.end(r, first)
	}
	r, first := c.begin([]netip.AddrPort{silent})
	if r.awaited != 0 {
		t.Error("a silent sidecar is waited for")
	}
	c.take(silent.Addr(), &peerv1.EngineAnswer{Id: first})
	if _, known := c.end(r, first); !known[0] {
		t.Error("an answer that nobody waited for is lost")
	}
	if r, first = c.begin([]netip.AddrPort{silent}); r.awaited != 1 {
		t.Error("a sidecar that is back is not waited for")
	}
	c.end(r, first)
	for range quietAfter {
		r, first = c.begin([]netip.AddrPort{silent})
		c.end(r, first)
	}
	now = now.Add(quietFor)
	if r, _ = c.begin([]netip.AddrPort{silent}); r.awaited != 1 {
		t.Errorf("a sidecar is not waited for %v after it fell silent", quietFor)
	}
}

// An answer comes after its decision was made, and one comes from another host. Taken
// for an answer to a later probe, either would describe another engine.
func TestLateAndForeignAnswersAreDropped(t *testing.T) {
	c := startClient(t, 9, time.Now)
	asked := netip.MustParseAddrPort("127.0.0.9:9")
	r, first := c.begin([]netip.AddrPort{asked})
	c.take(netip.MustParseAddr("127.0.0.8"), &peerv1.EngineAnswer{Id: first, Held: 7})
	if _, known := c.end(r, first); known[0] {
		t.Error("an answer from another host was taken")
	}
	later, number := c.begin([]netip.AddrPort{asked})
	c.take(asked.Addr(), &peerv1.EngineAnswer{Id: first, Held: 7})
	if _, known := c.end(later, number); known[0] {
		t.Error("a late answer was taken for another probe's")
	}
}

// A prompt names so many parts that a probe of it outgrows a datagram. It is not sent,
// and its engines count as not answering.
func TestOversizedProbeIsNotSent(t *testing.T) {
	engine := &fakeEngine{sends: map[SendID]Send{}, told: make(chan Progress, 1)}
	_, at := startServer(t, engine)
	c := startClient(t, at.Port(), time.Now)
	huge := Prompt{Model: "m"}
	for range 400 {
		huge.Parts = append(huge.Parts, wire.Part{ID: "0123456789abcdef", Tokens: 100})
	}
	if _, known := c.Ask(context.Background(), []netip.AddrPort{at}, huge); known[0] {
		t.Error("it was answered")
	}
}

// BenchmarkDatagramsOfOnePrompt is what a prompt costs its entry in datagrams: probes of
// five engines, and what is said of it to one.
func BenchmarkDatagramsOfOnePrompt(b *testing.B) {
	engine := &fakeEngine{answer: Response{WeightVersions: map[string]int64{"m": 1}}, sends: map[SendID]Send{}, told: make(chan Progress, 1<<20)}
	s, err := NewServer(netip.AddrPortFrom(loopback, 0), engine)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	at := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	c, err := NewClient(loopback, at.Port(), time.Now)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	engines := []netip.AddrPort{at, at, at, at, at}
	b.ReportAllocs()
	for b.Loop() {
		c.Ask(context.Background(), engines, prompt)
		number := c.Sent(at, Send{Prompt: prompt})
		c.Progressed(at, number, Progress{PrefillDone: true})
		c.Progressed(at, number, Progress{Ended: true})
	}
}

// What a prompt costs in bytes decides what an entry of the largest deployment sends: it
// stays in a few hundred bytes, and grows with none of the fleet's sizes.
func TestMessagesOfOnePromptStaySmall(t *testing.T) {
	answer := Response{
		Incarnation: fleet.Incarnation{Instance: "i-7f3a91c2", StartedMs: 1_700_000_000_123}, WeightVersions: map[string]int64{"daka510000": 12}, CachedTokens: 4870,
		Holder: netip.MustParseAddrPort("10.200.100.207:8000"), Slowdown: 1.25, ReportAge: 120 * time.Millisecond,
	}
	for u := range ledger.Priorities {
		answer.Work.Prefill[u], answer.Work.Memory[u], answer.OfferedLoad[u] = time.Second, 100_000, 900
	}
	real := Prompt{Model: "daka510000", Parts: []wire.Part{{ID: "5c1e07a2", Tokens: 800}, {ID: "91bd3f06", Tokens: 4100}}}
	sizes := map[string]int{
		"probe":    proto.Size(&peerv1.EngineMessage{Id: 1, Probe: &peerv1.EngineProbe{Parts: promptOut(real)}}),
		"answer":   proto.Size(answerOut(&answer)),
		"send":     proto.Size(&peerv1.EngineMessage{Id: 1, Send: sendOut(Send{Prompt: real, WeightVersion: 12, PrefillTime: time.Second, Memory: 20_000, Lifetime: 10 * time.Second})}),
		"progress": proto.Size(&peerv1.EngineMessage{Id: 1, Progress: progressOut(Progress{PrefillDone: true, Latency: time.Second, ExpectedLatency: time.Second})}),
	}
	most := map[string]int{"probe": 80, "answer": 240, "send": 100, "progress": 40}
	for name, size := range sizes {
		t.Logf("%s: %d bytes", name, size)
		if size > most[name] {
			t.Errorf("%s: %d bytes, want at most %d", name, size, most[name])
		}
	}
}
