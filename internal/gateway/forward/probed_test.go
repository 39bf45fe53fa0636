package forward

import (
	"context"
	"io"
	"maps"
	"math"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/health"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/probe"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
)

// fakeSidecars responds to probes by engine address and records what is reported.
type fakeSidecars struct {
	mu        sync.Mutex
	responses map[netip.AddrPort]probe.Response
	probes    int
	sends     map[netip.AddrPort][]probe.Send
	progress  map[netip.AddrPort][]probe.Progress
	// onSent is called with the lock held when a send is reported.
	onSent func()
}

func newFakeSidecars() *fakeSidecars {
	return &fakeSidecars{responses: map[netip.AddrPort]probe.Response{}, sends: map[netip.AddrPort][]probe.Send{}, progress: map[netip.AddrPort][]probe.Progress{}}
}

func (s *fakeSidecars) Probe(_ context.Context, engines []netip.AddrPort, _ probe.Prompt) ([]probe.Response, []bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes++
	responses, known := make([]probe.Response, len(engines)), make([]bool, len(engines))
	for i, engine := range engines {
		responses[i], known[i] = s.responses[engine]
	}
	return responses, known
}

func (s *fakeSidecars) NotifySend(engine netip.AddrPort, send probe.Send) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends[engine] = append(s.sends[engine], send)
	if s.onSent != nil {
		s.onSent()
	}
	return uint32(len(s.sends[engine]))
}

func (s *fakeSidecars) NotifyProgress(engine netip.AddrPort, _ uint32, p probe.Progress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progress[engine] = append(s.progress[engine], p)
}

func (s *fakeSidecars) setResponse(engine netip.AddrPort, a probe.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses[engine] = a
}

// newProbedEnv returns an environment in a large fleet, where each target is an engine with
// a sidecar that responds to probes.
func newProbedEnv(t *testing.T, targets ...*fakeTarget) (*testEnv, *fakeSidecars) {
	t.Helper()
	env := newTestEnv(t, targets...)
	sidecars := newFakeSidecars()
	env.view.LargeFleet, env.Forwarder.Sidecars = true, sidecars
	for i := range env.view.Targets["engines"] {
		tg := &env.view.Targets["engines"][i]
		sidecars.responses[tg.Address] = probe.Response{Incarnation: tg.Incarnation, WeightVersions: map[string]int64{model: 3}, Slowdown: 1}
		// All engines rank equally for the tests' family.
		tg.Hash = 0
	}
	return env, sidecars
}

func addressOf(tg *fakeTarget) netip.AddrPort {
	return netip.MustParseAddrPort(tg.listener.Addr().String())
}

// startStreamTarget starts a target that responds with a stream of two events.
func startStreamTarget(t *testing.T, instance string) *fakeTarget {
	t.Helper()
	var tg *fakeTarget
	tg = startTarget(t, instance, func(w io.Writer, r *http.Request, _ string) bool {
		tg.writeStreamHead(w, r)
		writeChunk(w, event(1)+event(2))
		writeChunk(w, "")
		return true
	})
	return tg
}

// startHeaderRecorder starts a target that responds with a stream of one event. The
// returned header is updated with each request.
func startHeaderRecorder(t *testing.T, instance string) (*fakeTarget, http.Header) {
	t.Helper()
	got := http.Header{}
	var tg *fakeTarget
	tg = startTarget(t, instance, func(w io.Writer, r *http.Request, _ string) bool {
		clear(got)
		maps.Copy(got, r.Header)
		tg.writeStreamHead(w, r)
		writeChunk(w, event(1))
		writeChunk(w, "")
		return true
	})
	return tg, got
}

func postPrompt(t *testing.T, env *testEnv) *http.Response {
	t.Helper()
	resp, _, err := env.post(t, "/prompt/x", "p", wiretest.Model, model, wiretest.Prompt, "300,10", wiretest.Parts, "a b c")
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// An engine that is busy with other entries' prompts must not be mistaken for idle. The
// prompt goes to the other engine, whose sidecar is notified of the send, its prefill and
// its end.
func TestProbesFindIdleEngine(t *testing.T) {
	busy, idle := startStreamTarget(t, "busy"), startStreamTarget(t, "idle")
	env, sidecars := newProbedEnv(t, busy, idle)
	a := sidecars.responses[addressOf(busy)]
	a.Work = ledger.Work{Running: 30, Prefill: ledger.AtPriority(0, 3*time.Second)}
	sidecars.setResponse(addressOf(busy), a)
	if resp := postPrompt(t, env); resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	if busy.runs.Load() != 0 || idle.runs.Load() != 1 {
		t.Errorf("%d runs at the busy engine, %d at the idle one; want 0 and 1", busy.runs.Load(), idle.runs.Load())
	}
	env.server.Close()
	sidecars.mu.Lock()
	defer sidecars.mu.Unlock()
	if sends := sidecars.sends[addressOf(idle)]; len(sends) != 1 || sends[0].WeightVersion != 3 || len(sends[0].Prompt.Parts) != 2 {
		t.Errorf("reported sends: %+v", sends)
	}
	progress := sidecars.progress[addressOf(idle)]
	if len(progress) != 2 || !progress[0].PrefillDone || !progress[1].Ended || progress[1].Outcome != health.Good {
		t.Errorf("reported progress: %+v", progress)
	}
}

// The target list still shows an engine's previous incarnation after a restart. The request
// must name the incarnation and weights that the sidecar reports.
func TestProbeResponseOverridesTargetList(t *testing.T) {
	tg, got := startHeaderRecorder(t, "old")
	env, sidecars := newProbedEnv(t, tg)
	sidecars.setResponse(addressOf(tg), probe.Response{Incarnation: fleet.Incarnation{Instance: "new"}, WeightVersions: map[string]int64{model: 4}, Slowdown: 1})
	postPrompt(t, env)
	if got.Get(wiretest.Instance) != "new" || got.Get(wiretest.Weights) != "4" {
		t.Errorf("request for instance %q with weights %q; want new and 4", got.Get(wiretest.Instance), got.Get(wiretest.Weights))
	}
}

// If no sidecar responds, engines are chosen from the target list.
func TestEnginesAreUsedWithoutSidecars(t *testing.T) {
	tg := startStreamTarget(t, "e")
	env, sidecars := newProbedEnv(t, tg)
	clear(sidecars.responses)
	if resp := postPrompt(t, env); resp.StatusCode != http.StatusOK || tg.runs.Load() != 1 {
		t.Errorf("status %d, %d runs", resp.StatusCode, tg.runs.Load())
	}
}

// A prompt must not be sent to an engine that is loading weights or does not respond to its
// sidecar.
func TestLoadingAndUnresponsiveEnginesAreNotUsed(t *testing.T) {
	loading, unresponsive := startStreamTarget(t, "loading"), startStreamTarget(t, "silent")
	env, sidecars := newProbedEnv(t, loading, unresponsive)
	for tg, phase := range map[*fakeTarget]weights.Phase{loading: weights.Loading, unresponsive: weights.Unresponsive} {
		a := sidecars.responses[addressOf(tg)]
		a.Phase = phase
		sidecars.setResponse(addressOf(tg), a)
	}
	if resp := postPrompt(t, env); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d", resp.StatusCode)
	}
	if loading.runs.Load()+unresponsive.runs.Load() != 0 {
		t.Error("a prompt was sent")
	}
}

// If the family's first engine reports another engine as holder of the parts, they are
// fetched from there and not offloaded again.
func TestPartsAreFetchedFromReportedHolder(t *testing.T) {
	tg, got := startHeaderRecorder(t, "e")
	env, sidecars := newProbedEnv(t, tg)
	holder := netip.MustParseAddrPort("127.0.0.2:7")
	listing := env.view.Targets["engines"][0].Listing
	listing.Incarnation, listing.Address = fleet.Incarnation{Instance: "holder"}, holder
	other := fleet.NewTarget(listing)
	other.Leaving = true // not probed itself
	env.view.Targets["engines"] = append(env.view.Targets["engines"], other)
	a := sidecars.responses[addressOf(tg)]
	a.Holder, a.Offloaded = holder, true
	sidecars.setResponse(addressOf(tg), a)
	postPrompt(t, env)
	if got.Get(wiretest.FetchFrom) != holder.String() {
		t.Errorf("fetched from %q", got.Get(wiretest.FetchFrom))
	}
	if got.Get(wiretest.OffloadTo) != "" {
		t.Error("the parts were offloaded again")
	}
}

// An engine hangs in the middle of a stream while its connection stays open. The stream
// must be aborted long before the deadline, and must not look complete.
func TestStreamOfUnresponsiveEngineEnds(t *testing.T) {
	var tg *fakeTarget
	release := make(chan struct{})
	tg = startTarget(t, "e", func(w io.Writer, r *http.Request, _ string) bool {
		tg.writeStreamHead(w, r)
		writeChunk(w, event(1))
		<-release
		return false
	})
	defer close(release)
	env, sidecars := newProbedEnv(t, tg)
	env.view.Estate.Match(host, "/prompt/").Timeout = time.Minute
	sidecars.onSent = func() { sidecars.responses[addressOf(tg)] = probe.Response{Phase: weights.Unresponsive} }
	start := time.Now()
	_, body, err := env.post(t, "/prompt/x", "p", wiretest.Model, model, wiretest.Prompt, "300,10", wiretest.Parts, "a b c")
	if err == nil {
		t.Errorf("the stream looks complete: %q", body)
	}
	if took := time.Since(start); took > 20*time.Second {
		t.Errorf("the stream ended after %v", took)
	}
}

// A send must not be cancelled while the sidecar reports that its engine is responsive.
func TestBusyEngineIsNotAbandoned(t *testing.T) {
	tg := startStreamTarget(t, "e")
	env, _ := newProbedEnv(t, tg)
	fl := &flow{Forwarder: env.Forwarder, service: env.view.Estate.Service("engines")}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	watch := fl.watchEngine(ctx, &destination{target: env.view.Targets["engines"][0], probed: true}, cancel)
	defer watch.stop()
	watch.lastReceived = time.Now().Add(-time.Minute)
	for range 2 * unresponsiveChecks {
		watch.check()
	}
	if ctx.Err() != nil {
		t.Errorf("the send was cancelled: %v", context.Cause(ctx))
	}
}

// Guards against speeds that are used where they are disabled or even, and against a fast engine whose
// reported work is not scaled to its speed.
func TestSpeedsScaleReportedWork(t *testing.T) {
	var usual time.Duration // the work that is reported without speeds
	for _, c := range []struct {
		enabled    bool
		other      float64
		wantFactor float64
	}{{false, 1.7, 1}, {true, 1.7, 0.7}, {true, 0.75, 1}, {true, 0, 1}} {
		fast, other := startStreamTarget(t, "fast"), startStreamTarget(t, "other")
		env, sidecars := newProbedEnv(t, fast, other)
		env.SpeedsEnabled = func() bool { return c.enabled }
		for tg, speed := range map[*fakeTarget]float64{fast: 0.7, other: c.other} {
			a := sidecars.responses[addressOf(tg)]
			a.Speed = speed
			if tg == other {
				a.Work = ledger.Work{Running: 30, Prefill: ledger.AtPriority(0, 3*time.Second)}
			}
			sidecars.setResponse(addressOf(tg), a)
		}
		if resp := postPrompt(t, env); resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d", resp.StatusCode)
		}
		env.server.Close()
		sends := sidecars.sends[addressOf(fast)]
		if len(sends) != 1 {
			t.Fatalf("%d sends to the fast engine", len(sends))
		}
		if !c.enabled {
			usual = sends[0].PrefillTime
		}
		if got := float64(sends[0].PrefillTime) / float64(usual); usual == 0 || math.Abs(got-c.wantFactor) > 0.01 {
			t.Errorf("enabled %v, other engine %.2f: reported work is %.2f of the usual, want %.2f", c.enabled, c.other, got, c.wantFactor)
		}
	}
}
