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

// testTracker is a Tracker with a clock that the test advances.
type testTracker struct {
	*Tracker
	clock      time.Time
	lastNumber uint32
}

func newTestTracker() *testTracker {
	tr := &testTracker{clock: start}
	tr.Tracker = New(func() time.Time { return tr.clock })
	tr.SetState(State{Incarnation: fleet.Incarnation{Instance: "i-1"}, Weights: map[string]int64{"m": 1}, ReportedAt: tr.clock})
	return tr
}

func (tr *testTracker) advance(d time.Duration) { tr.clock = tr.clock.Add(d) }

func (tr *testTracker) send(s probe.Send) probe.SendID {
	tr.lastNumber++
	id := probe.SendID{Entry: netip.MustParseAddrPort("10.0.0.1:5000"), Sequence: tr.lastNumber}
	if s.Lifetime == 0 {
		s.Lifetime = 10 * time.Second
	}
	if s.WeightVersion == 0 {
		s.WeightVersion = 1
	}
	tr.OnSend(id, s)
	return id
}

func (tr *testTracker) mustProbe(t *testing.T, p probe.Prompt) probe.Response {
	t.Helper()
	a, ok := tr.Probe(p)
	if !ok {
		t.Fatal("Probe has no response")
	}
	return a
}

// promptOf returns a prompt with shared parts of 1000 tokens each.
func promptOf(parts ...string) probe.Prompt {
	p := probe.Prompt{Model: "m"}
	for _, id := range parts {
		p.Parts = append(p.Parts, wire.Part{ID: id, Tokens: 1000})
	}
	return p
}

// The estimated wait of a prompt of high priority includes the prompt being computed and
// those of its own priority, but not queued ones of lower priority.
func TestHighPriorityDoesNotWaitForLowPriority(t *testing.T) {
	tr := newTestTracker()
	for range 6 {
		tr.send(probe.Send{Priority: 1, PrefillTime: 180 * time.Millisecond})
	}
	for range 4 {
		tr.send(probe.Send{Priority: 0, PrefillTime: 36 * time.Millisecond})
	}
	tr.advance(200 * time.Millisecond)
	work := tr.mustProbe(t, promptOf()).Work
	if high := work.Prefill.UpTo(0); high > 150*time.Millisecond {
		t.Errorf("a prompt of high priority would wait for %v, want at most 150ms", high)
	}
	if all := work.Prefill.UpTo(1); all < 6*180*time.Millisecond {
		t.Errorf("a prompt of low priority would wait for %v, want at least the prefill of all six", all)
	}
}

// Only the remaining prefill time of the prompt being computed decreases. The next prefill
// starts at the first event, not at its estimated time.
func TestOnlyCurrentPrefillDecreases(t *testing.T) {
	tr := newTestTracker()
	first := tr.send(probe.Send{Priority: 1, PrefillTime: 100 * time.Millisecond})
	tr.send(probe.Send{Priority: 1, PrefillTime: 100 * time.Millisecond})
	tr.advance(60 * time.Millisecond)
	if got := tr.mustProbe(t, promptOf()).Work.Prefill.Total(); got != 140*time.Millisecond {
		t.Errorf("remaining prefill time is %v, want 140ms", got)
	}
	tr.advance(400 * time.Millisecond)
	if got := tr.mustProbe(t, promptOf()).Work.Prefill.Total(); got != 115*time.Millisecond {
		t.Errorf("remaining prefill time behind an overdue prompt is %v, want 115ms", got)
	}
	tr.OnProgress(first, probe.Progress{PrefillDone: true})
	tr.advance(30 * time.Millisecond)
	if got := tr.mustProbe(t, promptOf()).Work.Prefill.Total(); got != 70*time.Millisecond {
		t.Errorf("remaining prefill time of the second prompt is %v, want 70ms", got)
	}
}

// Responses contain the offered load by priority. Without it the wait of prompts of low
// priority at an engine with steady traffic of high priority would be underestimated.
func TestOfferedLoadByPriority(t *testing.T) {
	tr := newTestTracker()
	for range 100 {
		id := tr.send(probe.Send{Priority: 0, PrefillTime: 40 * time.Millisecond})
		tr.advance(100 * time.Millisecond)
		tr.OnProgress(id, probe.Progress{PrefillDone: true})
		tr.OnProgress(id, probe.Progress{Ended: true})
	}
	offered := tr.mustProbe(t, promptOf()).OfferedLoad
	if got := offered.UpTo(0); got < 350 || got > 450 {
		t.Errorf("offered load of high priority is %d permille, want about 400", got)
	}
	tr.advance(5 * offeredLoadWindow)
	if got := tr.mustProbe(t, promptOf()).OfferedLoad.Total(); got > 10 {
		t.Errorf("offered load is %d permille long after the last prompt", got)
	}
}

// Sends whose end is never announced, because their entry died, expire. Otherwise the engine
// would seem fully loaded forever.
func TestSendsExpire(t *testing.T) {
	tr := newTestTracker()
	tr.send(probe.Send{PrefillTime: time.Second, Memory: 5000, Lifetime: 3 * time.Second})
	if got := tr.mustProbe(t, promptOf()).Work; got.Running != 1 || got.Memory.Total() != 5000 {
		t.Fatalf("work %+v, want one send with 5000 tokens", got)
	}
	tr.advance(4 * time.Second)
	if got := tr.mustProbe(t, promptOf()).Work; got.Running != 0 || got.Memory.Total() != 0 {
		t.Errorf("work %+v after the lifetime of the send, want none", got)
	}
}

// The sends and cached parts of an earlier incarnation don't count after a restart of the
// engine.
func TestNewIncarnationStartsEmpty(t *testing.T) {
	tr := newTestTracker()
	id := tr.send(probe.Send{Prompt: promptOf("a"), PrefillTime: time.Second})
	tr.OnProgress(id, probe.Progress{PrefillDone: true})
	tr.SetCached(parts.KeyOf(parts.Scope("m", 1, ""), "b"), 1000)
	tr.SetState(State{Incarnation: fleet.Incarnation{Instance: "i-2"}, Weights: map[string]int64{"m": 1}, ReportedAt: tr.clock})
	if a := tr.mustProbe(t, promptOf("a")); a.Work.Running != 0 || a.CachedTokens != 0 || a.Incarnation.Instance != "i-2" {
		t.Errorf("response %+v after the restart", a)
	}
	tr.OnProgress(id, probe.Progress{Ended: true, Outcome: health.Failed})
	if a := tr.mustProbe(t, promptOf("b")); a.CachedTokens != 0 || a.Unhealthy {
		t.Errorf("response %+v after a late message", a)
	}
}

// A shared part is in progress during its prefill and cached afterwards, until the cache
// reports otherwise or the engine loads other weights.
func TestPartsAreInProgressThenCachedThenAsReported(t *testing.T) {
	tr := newTestTracker()
	id := tr.send(probe.Send{Prompt: promptOf("a", "b"), PrefillTime: 100 * time.Millisecond})
	if a := tr.mustProbe(t, promptOf("a", "b")); !a.PrefillInProgress || a.CachedTokens != 0 {
		t.Errorf("during the prefill: in progress %v, %d tokens cached", a.PrefillInProgress, a.CachedTokens)
	}
	tr.OnProgress(id, probe.Progress{PrefillDone: true})
	if a := tr.mustProbe(t, promptOf("a", "c")); a.PrefillInProgress || a.CachedTokens != 1000 {
		t.Errorf("after the prefill: in progress %v, %d tokens cached", a.PrefillInProgress, a.CachedTokens)
	}
	tr.advance(time.Second)
	tr.SetCached(parts.KeyOf(parts.Scope("m", 1, ""), "a"), 0)
	if a := tr.mustProbe(t, promptOf("a", "b")); a.CachedTokens != 0 {
		t.Errorf("%d tokens cached of a prompt whose first part was evicted, want 0", a.CachedTokens)
	}
	tr.SetState(State{Incarnation: fleet.Incarnation{Instance: "i-1"}, Weights: map[string]int64{"m": 2}, ReportedAt: tr.clock})
	if a := tr.mustProbe(t, promptOf("b")); a.CachedTokens != 0 {
		t.Errorf("%d tokens cached that were computed with other weights, want 0", a.CachedTokens)
	}
}

// When a prompt of a family goes to another engine, its first engine reports where the parts
// are. Otherwise the next prompt would compute them again.
func TestFirstEngineKnowsRemotePrefill(t *testing.T) {
	tr := newTestTracker()
	other := netip.MustParseAddrPort("10.0.0.9:8000")
	id := tr.send(probe.Send{Prompt: promptOf("a", "b"), Holder: other, Offloaded: true})
	if a := tr.mustProbe(t, promptOf("a", "b")); !a.PrefillInProgress || a.Holder.IsValid() || a.Work.Running != 0 {
		t.Errorf("response during the prefill elsewhere: %+v", a)
	}
	tr.OnProgress(id, probe.Progress{PrefillDone: true})
	if a := tr.mustProbe(t, promptOf("a", "b")); a.Holder != other || !a.Offloaded || a.PrefillInProgress {
		t.Errorf("response after the prefill elsewhere: %+v", a)
	}
	tr.advance(remoteCachedTTL)
	if a := tr.mustProbe(t, promptOf("a", "b")); a.Holder.IsValid() || !a.Offloaded {
		t.Errorf("response after the other engine may have evicted the parts: %+v", a)
	}
	tr.advance(offloadedTTL)
	if a := tr.mustProbe(t, promptOf("a", "b")); a.Offloaded {
		t.Error("the parts still count as offloaded after offloadedTTL")
	}
}

// Prompts don't wait for a prefill at another engine that failed.
func TestFailedRemotePrefillIsNotAwaited(t *testing.T) {
	tr := newTestTracker()
	id := tr.send(probe.Send{Prompt: promptOf("a"), Holder: netip.MustParseAddrPort("10.0.0.9:8000")})
	tr.OnProgress(id, probe.Progress{Ended: true, Outcome: health.Broken})
	if a := tr.mustProbe(t, promptOf("a")); a.PrefillInProgress || a.Holder.IsValid() {
		t.Errorf("response %+v, want neither in progress nor a location", a)
	}
}

// The memory for remote prefills stays bounded, however many families there are.
func TestRemotePrefillsAreBounded(t *testing.T) {
	r := newRemotePrefills()
	for i := range 3 * maxRemotePrefills {
		r.record(probe.SendID{Sequence: uint32(i)}, []parts.Key{parts.Key(i)}, probe.Send{}, start)
	}
	if len(r.byFamily) > maxRemotePrefills || len(r.byID) > maxRemotePrefills {
		t.Errorf("%d families and %d sends, want at most maxRemotePrefills", len(r.byFamily), len(r.byID))
	}
}

// Responses contain the pace and the health of the engine. Entries that send to it rarely can't
// measure these themselves.
func TestResponseContainsPaceAndHealth(t *testing.T) {
	tr := newTestTracker()
	for range 20 {
		id := tr.send(probe.Send{PrefillTime: 50 * time.Millisecond})
		tr.OnProgress(id, probe.Progress{PrefillDone: true, Latency: 400 * time.Millisecond, ExpectedLatency: 100 * time.Millisecond})
		tr.OnProgress(id, probe.Progress{Ended: true})
	}
	if a := tr.mustProbe(t, promptOf()); a.Slowdown < 2 || a.Unhealthy {
		t.Errorf("pace %.1f, unhealthy %v, want a slow healthy engine", a.Slowdown, a.Unhealthy)
	}
	for range 10 {
		tr.OnProgress(tr.send(probe.Send{}), probe.Progress{Ended: true, Outcome: health.Failed})
	}
	if a := tr.mustProbe(t, promptOf()); !a.Unhealthy {
		t.Error("an engine that fails all requests is not unhealthy")
	}
}

// Guards against a speed that is reported while it is disabled, unknown after a restart of the engine, or
// counted once more by a repeated datagram.
func TestResponseContainsSpeed(t *testing.T) {
	tr := newTestTracker()
	finish := func(n int) {
		for range n {
			id := tr.send(probe.Send{PrefillTime: 50 * time.Millisecond})
			for range 3 {
				tr.OnProgress(id, probe.Progress{PrefillDone: true, Latency: 70 * time.Millisecond, ExpectedLatency: 100 * time.Millisecond})
			}
			tr.OnProgress(id, probe.Progress{Ended: true})
		}
	}
	speed := func() float64 { return tr.mustProbe(t, promptOf()).Speed }
	finish(30)
	if got := speed(); got != 0 {
		t.Errorf("speed %.2f although it is disabled", got)
	}
	tr.EstimateSpeed(true)
	finish(10)
	if got := speed(); got != 0 {
		t.Errorf("speed %.2f from 10 prompts", got)
	}
	finish(50)
	if got := speed(); got < 0.65 || got > 0.75 {
		t.Errorf("speed %.2f, want 0.7", got)
	}
	tr.SetState(State{Incarnation: fleet.Incarnation{Instance: "i-2"}})
	if got := speed(); got != 0 {
		t.Errorf("speed %.2f after a restart of the engine", got)
	}
}

// An engine that is unresponsive for a while and then responds with the same incarnation keeps
// its sends and cached parts.
func TestUnresponsiveEngineKeepsState(t *testing.T) {
	tr := newTestTracker()
	tr.send(probe.Send{Prompt: promptOf("a"), PrefillTime: time.Second})
	tr.SetState(State{Phase: weights.Unresponsive, Weights: map[string]int64{"m": 1}})
	if a := tr.mustProbe(t, promptOf()); a.Phase != weights.Unresponsive || a.Work.Running != 1 {
		t.Errorf("response while unresponsive: %+v", a)
	}
	tr.SetState(State{Incarnation: fleet.Incarnation{Instance: "i-1"}, Weights: map[string]int64{"m": 1}, ReportedAt: tr.clock})
	if a := tr.mustProbe(t, promptOf("a")); a.Work.Running != 1 || !a.PrefillInProgress {
		t.Errorf("response afterwards: %+v", a)
	}
}

// BenchmarkProbe measures the response about an engine with 60 prompts.
func BenchmarkProbe(b *testing.B) {
	tr := newTestTracker()
	for i := range 60 {
		tr.send(probe.Send{Prompt: promptOf("a", string(rune('b'+i%20))), Priority: i % 4, PrefillTime: 50 * time.Millisecond, Memory: 3000})
	}
	p := promptOf("a", "c")
	b.ReportAllocs()
	for b.Loop() {
		tr.Probe(p)
	}
}

// BenchmarkSend measures the send, first event and end of a prompt.
func BenchmarkSend(b *testing.B) {
	tr := newTestTracker()
	p := promptOf("a", "c")
	b.ReportAllocs()
	for b.Loop() {
		id := tr.send(probe.Send{Prompt: p, Priority: 1, PrefillTime: 50 * time.Millisecond, Memory: 3000})
		tr.OnProgress(id, probe.Progress{PrefillDone: true})
		tr.OnProgress(id, probe.Progress{Ended: true})
	}
}
