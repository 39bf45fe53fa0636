package forward

import (
	"context"
	"io"
	"maps"
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

// fakeSidecars answers for engines by their address, and keeps what it is told.
type fakeSidecars struct {
	mu      sync.Mutex
	answers map[netip.AddrPort]probe.Response
	asked   int
	sends   map[netip.AddrPort][]probe.Send
	told    map[netip.AddrPort][]probe.Progress
	// onSent is called with the lock held when a prompt was sent.
	onSent func()
}

func newFakeSidecars() *fakeSidecars {
	return &fakeSidecars{answers: map[netip.AddrPort]probe.Response{}, sends: map[netip.AddrPort][]probe.Send{}, told: map[netip.AddrPort][]probe.Progress{}}
}

func (s *fakeSidecars) Ask(_ context.Context, engines []netip.AddrPort, _ probe.Prompt) ([]probe.Response, []bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	answers, known := make([]probe.Response, len(engines)), make([]bool, len(engines))
	for i, engine := range engines {
		answers[i], known[i] = s.answers[engine]
	}
	return answers, known
}

func (s *fakeSidecars) Sent(engine netip.AddrPort, send probe.Send) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends[engine] = append(s.sends[engine], send)
	if s.onSent != nil {
		s.onSent()
	}
	return uint32(len(s.sends[engine]))
}

func (s *fakeSidecars) Progressed(engine netip.AddrPort, _ uint32, p probe.Progress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told[engine] = append(s.told[engine], p)
}

func (s *fakeSidecars) say(engine netip.AddrPort, a probe.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[engine] = a
}

// probedWorld is a world in a large fleet; each target is an engine that serves.
func probedWorld(t *testing.T, targets ...*target) (*world, *fakeSidecars) {
	t.Helper()
	w := startWorld(t, targets...)
	sidecars := newFakeSidecars()
	w.view.LargeFleet, w.Forwarder.Sidecars = true, sidecars
	for i := range w.view.Targets["engines"] {
		tg := &w.view.Targets["engines"][i]
		sidecars.answers[tg.Address] = probe.Response{Incarnation: tg.Incarnation, WeightVersions: map[string]int64{model: 3}, Slowdown: 1}
		// All engines serve the family of the tests.
		tg.Hash = 0
	}
	return w, sidecars
}

func addressOf(tg *target) netip.AddrPort {
	return netip.MustParseAddrPort(tg.listener.Addr().String())
}

// streamOf answers with a stream of two events.
func streamOf(t *testing.T, instance string) *target {
	t.Helper()
	var tg *target
	tg = startTarget(t, instance, func(w io.Writer, r *http.Request, _ string) bool {
		tg.streamHead(w, r)
		chunk(w, event(1)+event(2))
		chunk(w, "")
		return true
	})
	return tg
}

// streamKeepingHeader answers with a stream of one event, and keeps the header of the last
// request.
func streamKeepingHeader(t *testing.T, instance string) (*target, http.Header) {
	t.Helper()
	got := http.Header{}
	var tg *target
	tg = startTarget(t, instance, func(w io.Writer, r *http.Request, _ string) bool {
		clear(got)
		maps.Copy(got, r.Header)
		tg.streamHead(w, r)
		chunk(w, event(1))
		chunk(w, "")
		return true
	})
	return tg, got
}

func askPrompt(t *testing.T, w *world) *http.Response {
	t.Helper()
	resp, _, err := w.ask(t, "/prompt/x", "p", wiretest.Model, model, wiretest.Prompt, "300,10", wiretest.Parts, "a b c")
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// Another entry has filled an engine with work a moment ago. This entry has sent it
// nothing, and would take it for idle; its sidecar knows, and the prompt goes to the
// other engine, which is told of the prompt, of its first event and of its end.
func TestPromptGoesWhereSidecarsSayThatThereIsRoom(t *testing.T) {
	busy, idle := streamOf(t, "busy"), streamOf(t, "idle")
	w, sidecars := probedWorld(t, busy, idle)
	a := sidecars.answers[addressOf(busy)]
	a.Work = ledger.Work{Running: 30, Prefill: ledger.AtPriority(0, 3*time.Second)}
	sidecars.say(addressOf(busy), a)
	if resp := askPrompt(t, w); resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	if busy.runs.Load() != 0 || idle.runs.Load() != 1 {
		t.Errorf("%d runs at the busy engine, %d at the idle one", busy.runs.Load(), idle.runs.Load())
	}
	w.server.Close()
	sidecars.mu.Lock()
	defer sidecars.mu.Unlock()
	if sends := sidecars.sends[addressOf(idle)]; len(sends) != 1 || sends[0].WeightVersion != 3 || len(sends[0].Prompt.Parts) != 2 {
		t.Errorf("its sidecar was told of %+v", sends)
	}
	told := sidecars.told[addressOf(idle)]
	if len(told) != 2 || !told[0].PrefillDone || !told[1].Ended || told[1].Outcome != health.Good {
		t.Errorf("and of %+v", told)
	}
}

// An engine has started again under a new name, with new weights, and the list shows the
// earlier life for a second or two. The request names the life that the sidecar knows,
// and demands the weights that it has.
func TestSidecarsWordOfLifeAndWeightsGoesBeforeTheList(t *testing.T) {
	tg, got := streamKeepingHeader(t, "old")
	w, sidecars := probedWorld(t, tg)
	sidecars.say(addressOf(tg), probe.Response{Incarnation: fleet.Incarnation{Instance: "new"}, WeightVersions: map[string]int64{model: 4}, Slowdown: 1})
	askPrompt(t, w)
	if got.Get(wiretest.Instance) != "new" || got.Get(wiretest.Weights) != "4" {
		t.Errorf("asked for %q with weights %q", got.Get(wiretest.Instance), got.Get(wiretest.Weights))
	}
}

// No sidecar answers: they are gone, or cut off from this entry. Engines are used all the
// same, by the list.
func TestEnginesAreUsedWithoutSidecars(t *testing.T) {
	tg := streamOf(t, "e")
	w, sidecars := probedWorld(t, tg)
	clear(sidecars.answers)
	if resp := askPrompt(t, w); resp.StatusCode != http.StatusOK || tg.runs.Load() != 1 {
		t.Errorf("status %d, %d runs", resp.StatusCode, tg.runs.Load())
	}
}

// One engine of two loads weights, the other does not answer its sidecar. Neither takes
// the prompt: it is refused, and not sent to be given back.
func TestLoadingAndSilentEnginesTakeNothing(t *testing.T) {
	loading, silent := streamOf(t, "loading"), streamOf(t, "silent")
	w, sidecars := probedWorld(t, loading, silent)
	for tg, phase := range map[*target]weights.Phase{loading: weights.Loading, silent: weights.Unresponsive} {
		a := sidecars.answers[addressOf(tg)]
		a.Phase = phase
		sidecars.say(addressOf(tg), a)
	}
	if resp := askPrompt(t, w); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d", resp.StatusCode)
	}
	if loading.runs.Load()+silent.runs.Load() != 0 {
		t.Error("a prompt was sent")
	}
}

// The family's first engine is too busy, but knows that another one has the prompt's
// parts. They are fetched from there, and neither read again nor saved again.
func TestPartsAreFetchedFromWhereTheFirstEngineKnowsThem(t *testing.T) {
	tg, got := streamKeepingHeader(t, "e")
	w, sidecars := probedWorld(t, tg)
	holder := netip.MustParseAddrPort("127.0.0.2:7")
	listing := w.view.Targets["engines"][0].Listing
	listing.Incarnation, listing.Address = fleet.Incarnation{Instance: "holder"}, holder
	other := fleet.NewTarget(listing)
	other.Leaving = true // not asked itself
	w.view.Targets["engines"] = append(w.view.Targets["engines"], other)
	a := sidecars.answers[addressOf(tg)]
	a.Holder, a.Offloaded = holder, true
	sidecars.say(addressOf(tg), a)
	askPrompt(t, w)
	if got.Get(wiretest.FetchFrom) != holder.String() {
		t.Errorf("fetched from %q", got.Get(wiretest.FetchFrom))
	}
	if got.Get(wiretest.OffloadTo) != "" {
		t.Error("saved again")
	}
}

// An engine goes dark in the middle of a stream. Its host lives, so that the connection
// stays open and nothing comes. The caller must see an end, long before its deadline, and
// not one that looks complete.
func TestStreamOfADarkEngineEnds(t *testing.T) {
	var tg *target
	dark := make(chan struct{})
	tg = startTarget(t, "e", func(w io.Writer, r *http.Request, _ string) bool {
		tg.streamHead(w, r)
		chunk(w, event(1))
		<-dark
		return false
	})
	defer close(dark)
	w, sidecars := probedWorld(t, tg)
	w.view.Estate.Match(host, "/prompt/").Timeout = time.Minute
	sidecars.onSent = func() { sidecars.answers[addressOf(tg)] = probe.Response{Phase: weights.Unresponsive} }
	began := time.Now()
	_, body, err := w.ask(t, "/prompt/x", "p", wiretest.Model, model, wiretest.Prompt, "300,10", wiretest.Parts, "a b c")
	if err == nil {
		t.Errorf("the stream looks complete: %q", body)
	}
	if took := time.Since(began); took > 20*time.Second {
		t.Errorf("it ended after %v", took)
	}
}

// An engine is busy and says nothing for three seconds, and its sidecar hears it. Its
// answer must not be ended sooner.
func TestSilenceOfABusyEngineEndsNothing(t *testing.T) {
	tg := streamOf(t, "e")
	w, _ := probedWorld(t, tg)
	fl := &flow{Forwarder: w.Forwarder, service: w.view.Estate.Service("engines")}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	watch := fl.watchDark(ctx, &destination{target: w.view.Targets["engines"][0], probed: true}, cancel)
	defer watch.stop()
	watch.heardAt = time.Now().Add(-time.Minute)
	for range 2 * darkChecks {
		watch.check()
	}
	if ctx.Err() != nil {
		t.Errorf("given up: %v", context.Cause(ctx))
	}
}
