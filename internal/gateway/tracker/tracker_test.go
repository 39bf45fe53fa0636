package tracker

import (
	"net/netip"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/health"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/gateway/probe"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

var start = time.Unix(1000, 0)

// bench is a tracker on a clock of the test's.
type bench struct {
	*Tracker
	at     time.Time
	number uint32
}

func newBench() *bench {
	b := &bench{at: start}
	b.Tracker = New(func() time.Time { return b.at })
	b.SetState(State{Incarnation: fleet.Incarnation{Instance: "i-1"}, Weights: map[string]int64{"m": 1}, ReportedAt: b.at})
	return b
}

func (b *bench) pass(d time.Duration) { b.at = b.at.Add(d) }

func (b *bench) send(s probe.Send) probe.SendID {
	b.number++
	id := probe.SendID{Entry: netip.MustParseAddrPort("10.0.0.1:5000"), Sequence: b.number}
	if s.Lifetime == 0 {
		s.Lifetime = 10 * time.Second
	}
	if s.WeightVersion == 0 {
		s.WeightVersion = 1
	}
	b.OnSend(id, s)
	return id
}

func (b *bench) probe(t *testing.T, p probe.Prompt) probe.Response {
	t.Helper()
	a, ok := b.Probe(p)
	if !ok {
		t.Fatal("nothing is known")
	}
	return a
}

func promptOf(parts ...string) probe.Prompt {
	p := probe.Prompt{Model: "m"}
	for _, id := range parts {
		p.Parts = append(p.Parts, wire.Part{ID: id, Tokens: 1000})
	}
	return p
}

// Four short urgent prompts and six long ones have been sent to an engine, and should
// all have begun by now. Only one is being read. A further urgent prompt waits for that
// one and for the urgent ones, not for the long ones: expected behind all, it was put
// behind them as late, and was.
func TestUrgentPromptIsNotExpectedBehindLongOnes(t *testing.T) {
	b := newBench()
	for range 6 {
		b.send(probe.Send{Priority: 1, PrefillTime: 180 * time.Millisecond})
	}
	for range 4 {
		b.send(probe.Send{Priority: 0, PrefillTime: 36 * time.Millisecond})
	}
	b.pass(200 * time.Millisecond)
	work := b.probe(t, promptOf()).Work
	if urgent := work.Prefill.UpTo(0); urgent > 150*time.Millisecond {
		t.Errorf("an urgent prompt would wait for %v", urgent)
	}
	if all := work.Prefill.UpTo(1); all < 6*180*time.Millisecond {
		t.Errorf("a long prompt would wait for %v only", all)
	}
}

// The prompt that is being read has a part of its reading behind it, and the next one
// begins when its first event comes: the engine's own pace shows, not the schedule that
// was expected.
func TestOnlyThePromptBeingReadShrinks(t *testing.T) {
	b := newBench()
	first := b.send(probe.Send{Priority: 1, PrefillTime: 100 * time.Millisecond})
	b.send(probe.Send{Priority: 1, PrefillTime: 100 * time.Millisecond})
	b.pass(60 * time.Millisecond)
	if got := b.probe(t, promptOf()).Work.Prefill.Total(); got != 140*time.Millisecond {
		t.Errorf("%v are left, want 140ms", got)
	}
	b.pass(400 * time.Millisecond)
	if got := b.probe(t, promptOf()).Work.Prefill.Total(); got != 115*time.Millisecond {
		t.Errorf("%v are left of a prompt that takes longer than expected and of one behind it, want 115ms", got)
	}
	b.OnProgress(first, probe.Progress{PrefillDone: true})
	b.pass(30 * time.Millisecond)
	if got := b.probe(t, promptOf()).Work.Prefill.Total(); got != 70*time.Millisecond {
		t.Errorf("%v are left of the second, want 70ms", got)
	}
}

// Urgent prompts come all the time; a less urgent one is read in between. How much of the
// engine's time they take is told, so that its wait can be reckoned.
func TestArrivalsAreToldByUrgency(t *testing.T) {
	b := newBench()
	for range 100 {
		id := b.send(probe.Send{Priority: 0, PrefillTime: 40 * time.Millisecond})
		b.pass(100 * time.Millisecond)
		b.OnProgress(id, probe.Progress{PrefillDone: true})
		b.OnProgress(id, probe.Progress{Ended: true})
	}
	arriving := b.probe(t, promptOf()).OfferedLoad
	if got := arriving.UpTo(0); got < 350 || got > 450 {
		t.Errorf("urgent prompts take %d thousandths of its time, want some 400", got)
	}
	b.pass(5 * arrivalsWindow)
	if got := b.probe(t, promptOf()).OfferedLoad.Total(); got > 10 {
		t.Errorf("%d thousandths long after the last one", got)
	}
}

// An entry dies, and the end of its sends is never told. They must not count for ever,
// or the engine would seem full.
func TestSendsWithoutAnEndAreForgotten(t *testing.T) {
	b := newBench()
	b.send(probe.Send{PrefillTime: time.Second, Memory: 5000, Lifetime: 3 * time.Second})
	if got := b.probe(t, promptOf()).Work; got.Running != 1 || got.Memory.Total() != 5000 {
		t.Fatalf("work %+v", got)
	}
	b.pass(4 * time.Second)
	if got := b.probe(t, promptOf()).Work; got.Running != 0 || got.Memory.Total() != 0 {
		t.Errorf("work %+v after its lifetime", got)
	}
}

// An engine crashes and starts again under another name. What the earlier life was sent,
// and held, has ended with it.
func TestNewLifeOfTheEngineBeginsEmpty(t *testing.T) {
	b := newBench()
	id := b.send(probe.Send{Prompt: promptOf("a"), PrefillTime: time.Second})
	b.OnProgress(id, probe.Progress{PrefillDone: true})
	b.SetCached(parts.KeyOf(parts.Scope("m", 1, ""), "b"), 1000)
	b.SetState(State{Incarnation: fleet.Incarnation{Instance: "i-2"}, Weights: map[string]int64{"m": 1}, ReportedAt: b.at})
	if a := b.probe(t, promptOf("a")); a.Work.Running != 0 || a.CachedTokens != 0 || a.Incarnation.Instance != "i-2" {
		t.Errorf("answer %+v", a)
	}
	b.OnProgress(id, probe.Progress{Ended: true, Outcome: health.Failed})
	if a := b.probe(t, promptOf("b")); a.CachedTokens != 0 || a.Unhealthy {
		t.Errorf("answer %+v after a late word", a)
	}
}

// Two prompts share a part. While the first is being read the second is told that the
// part is coming, afterwards that it is held; the cache's own word overrules that, and
// other weights share nothing.
func TestPartsAreComingThenHeldThenAsTheCacheSays(t *testing.T) {
	b := newBench()
	id := b.send(probe.Send{Prompt: promptOf("a", "b"), PrefillTime: 100 * time.Millisecond})
	if a := b.probe(t, promptOf("a", "b")); !a.PrefillInProgress || a.CachedTokens != 0 {
		t.Errorf("while it is read: coming %v, held %d", a.PrefillInProgress, a.CachedTokens)
	}
	b.OnProgress(id, probe.Progress{PrefillDone: true})
	if a := b.probe(t, promptOf("a", "c")); a.PrefillInProgress || a.CachedTokens != 1000 {
		t.Errorf("afterwards: coming %v, held %d", a.PrefillInProgress, a.CachedTokens)
	}
	b.pass(time.Second)
	b.SetCached(parts.KeyOf(parts.Scope("m", 1, ""), "a"), 0)
	if a := b.probe(t, promptOf("a", "b")); a.CachedTokens != 0 {
		t.Errorf("%d held of a prompt whose beginning was dropped", a.CachedTokens)
	}
	b.SetState(State{Incarnation: fleet.Incarnation{Instance: "i-1"}, Weights: map[string]int64{"m": 2}, ReportedAt: b.at})
	if a := b.probe(t, promptOf("b")); a.CachedTokens != 0 {
		t.Errorf("%d held that were made by other weights", a.CachedTokens)
	}
}

// A family's first engine is busy; a prompt of it goes elsewhere and is read there. The
// next prompt asks the first engine, and is told where the parts are instead of having
// them read again.
func TestFirstEngineKnowsWhereItsFamilyIsRead(t *testing.T) {
	b := newBench()
	other := netip.MustParseAddrPort("10.0.0.9:8000")
	id := b.send(probe.Send{Prompt: promptOf("a", "b"), Holder: other, Offloaded: true})
	if a := b.probe(t, promptOf("a", "b")); !a.PrefillInProgress || a.Holder.IsValid() || a.Work.Running != 0 {
		t.Errorf("while it is read elsewhere: %+v", a)
	}
	b.OnProgress(id, probe.Progress{PrefillDone: true})
	if a := b.probe(t, promptOf("a", "b")); a.Holder != other || !a.Offloaded || a.PrefillInProgress {
		t.Errorf("afterwards: %+v", a)
	}
	b.pass(heldElsewhere)
	if a := b.probe(t, promptOf("a", "b")); a.Holder.IsValid() || !a.Offloaded {
		t.Errorf("once that cache may have dropped it: %+v", a)
	}
	b.pass(savedFor)
	if a := b.probe(t, promptOf("a", "b")); a.Offloaded {
		t.Error("the store is believed to hold it for ever")
	}
}

// The engine elsewhere fails before it has read the parts. Prompts must not wait for
// them any longer.
func TestReadingElsewhereThatFailedIsNotAwaited(t *testing.T) {
	b := newBench()
	id := b.send(probe.Send{Prompt: promptOf("a"), Holder: netip.MustParseAddrPort("10.0.0.9:8000")})
	b.OnProgress(id, probe.Progress{Ended: true, Outcome: health.Broken})
	if a := b.probe(t, promptOf("a")); a.PrefillInProgress || a.Holder.IsValid() {
		t.Errorf("answer %+v", a)
	}
}

// Families without number are read elsewhere. What is kept of them stays bounded.
func TestElsewhereIsBounded(t *testing.T) {
	e := newElsewhere()
	for i := range 3 * mostElsewhere {
		e.sent(probe.SendID{Sequence: uint32(i)}, []parts.Key{parts.Key(i)}, probe.Send{}, start)
	}
	if len(e.families) > mostElsewhere || len(e.byID) > mostElsewhere {
		t.Errorf("%d families, %d sends", len(e.families), len(e.byID))
	}
}

// An engine is slower than the others, then fails nearly all it is sent. Both are told to
// entries that see it once in ten seconds and could not find out by themselves.
func TestSlowAndFailingEngineIsTold(t *testing.T) {
	b := newBench()
	for range 20 {
		id := b.send(probe.Send{PrefillTime: 50 * time.Millisecond})
		b.OnProgress(id, probe.Progress{PrefillDone: true, Latency: 400 * time.Millisecond, ExpectedLatency: 100 * time.Millisecond})
		b.OnProgress(id, probe.Progress{Ended: true})
	}
	if a := b.probe(t, promptOf()); a.Slowdown < 2 || a.Unhealthy {
		t.Errorf("pace %.1f, ill %v", a.Slowdown, a.Unhealthy)
	}
	for range 10 {
		b.OnProgress(b.send(probe.Send{}), probe.Progress{Ended: true, Outcome: health.Failed})
	}
	if a := b.probe(t, promptOf()); !a.Unhealthy {
		t.Error("an engine that fails all is not told")
	}
}

// An engine is held up for two seconds and its sidecar's questions fail meanwhile. It is
// the same engine afterwards: what it was sent and holds is still known.
func TestEngineThatWasHeldUpKeepsWhatIsKnown(t *testing.T) {
	b := newBench()
	b.send(probe.Send{Prompt: promptOf("a"), PrefillTime: time.Second})
	b.SetState(State{Phase: weights.Unresponsive, Weights: map[string]int64{"m": 1}})
	if a := b.probe(t, promptOf()); a.Phase != weights.Unresponsive || a.Work.Running != 1 {
		t.Errorf("while it is silent: %+v", a)
	}
	b.SetState(State{Incarnation: fleet.Incarnation{Instance: "i-1"}, Weights: map[string]int64{"m": 1}, ReportedAt: b.at})
	if a := b.probe(t, promptOf("a")); a.Work.Running != 1 || !a.PrefillInProgress {
		t.Errorf("afterwards: %+v", a)
	}
}

// BenchmarkProbe is what an answer takes of a sidecar whose engine has 60 prompts.
func BenchmarkProbe(b *testing.B) {
	t := newBench()
	for i := range 60 {
		t.send(probe.Send{Prompt: promptOf("a", string(rune('b'+i%20))), Priority: i % 4, PrefillTime: 50 * time.Millisecond, Memory: 3000})
	}
	p := promptOf("a", "c")
	b.ReportAllocs()
	for b.Loop() {
		t.Probe(p)
	}
}

// BenchmarkSend is what a prompt takes of its engine's sidecar: its send, its first event
// and its end.
func BenchmarkSend(b *testing.B) {
	t := newBench()
	p := promptOf("a", "c")
	b.ReportAllocs()
	for b.Loop() {
		id := t.send(probe.Send{Prompt: p, Priority: 1, PrefillTime: 50 * time.Millisecond, Memory: 3000})
		t.OnProgress(id, probe.Progress{PrefillDone: true})
		t.OnProgress(id, probe.Progress{Ended: true})
	}
}
