package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/gateway/feed"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/health"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/origin"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/gateway/pushback"
	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
	"github.com/toucanwell/toucanwell/internal/gateway/ratelimit"
	"github.com/toucanwell/toucanwell/internal/gateway/reach"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("internal/poll.runtime_pollWait"))
}

type noMetrics struct{}

func (noMetrics) Request(string, string)                      {}
func (noMetrics) Refusal(string, string, string)              {}
func (noMetrics) FirstToken(string, string, time.Duration)    {}
func (noMetrics) Burn(string, string, string, bool)           {}
func (noMetrics) PlacementWait(string, string, time.Duration) {}
func (noMetrics) Tokens(string, string, int, int, int)        {}
func (noMetrics) Retry(string)                                {}
func (noMetrics) Resume()                                     {}
func (noMetrics) StreamStart(string)                          {}
func (noMetrics) Takeover(string)                             {}
func (noMetrics) RateLimitDecision(string, bool)              {}
func (noMetrics) RateLimitWait(time.Duration)                 {}
func (noMetrics) TargetLimitDecision(string, bool)            {}
func (noMetrics) Detour(string)                               {}
func (noMetrics) SkippedResponse(string)                      {}

type noStatements struct{}

func (noStatements) RateLimitChanged(pushback.RateLimitChange)                  {}
func (noStatements) RestStated(fleet.Incarnation, time.Duration, string)        {}
func (noStatements) RestEnded(fleet.Incarnation, string)                        {}
func (noStatements) LeavingStated(fleet.ID, fleet.Incarnation, pushback.Origin) {}
func (noStatements) InvalidStatement(fleet.Incarnation, string, error)          {}

// unlimited admits all requests to targets.
type unlimited struct{}

func (unlimited) RefusedUntil(TargetRequest) (time.Time, bool) { return time.Time{}, false }
func (unlimited) Refund(fleet.ID, ratelimit.Decision)          {}
func (unlimited) Admit(context.Context, TargetRequest) ratelimit.Decision {
	return ratelimit.Decision{Admitted: true}
}

// fakeOrigins records streams and finds those in found.
type fakeOrigins struct {
	mu       sync.Mutex
	recorded map[origin.Key]origin.Version
	found    map[origin.Key]origin.Version
	asked    int
	// previous is where found streams ran, ended is closed once they have ended there; nil if they have.
	previous origin.Run
	ended    chan struct{}
	// target is that of the last record, epoch that of the last stream served, end ends it.
	target   uint32
	epoch    uint32
	end      func(netip.AddrPort)
	released int
	// takenOver counts takeovers. asking is called during questions, unless nil.
	takenOver int
	asking    func(ctx context.Context)
}

func (o *fakeOrigins) Record(key origin.Key, r origin.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.recorded == nil {
		o.recorded = map[origin.Key]origin.Version{}
	}
	o.recorded[key] = r.Version
	o.target = r.Target
}

func (o *fakeOrigins) Find(ctx context.Context, key origin.Key) origin.Finding {
	if o.asking != nil {
		o.asking(ctx)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked++
	if v, ok := o.found[key]; ok {
		return origin.Finding{Record: origin.Record{Version: v, Run: o.previous}, Source: origin.Peer}
	}
	return origin.Finding{Source: origin.Unknown}
}

func (o *fakeOrigins) Serve(_ origin.Key, epoch uint32, end func(netip.AddrPort)) func() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.epoch, o.end = epoch, end
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.released++
	}
}

func (o *fakeOrigins) TakeOver(origin.Key, origin.Record) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.takenOver++
	if o.ended == nil {
		o.ended = make(chan struct{})
		close(o.ended)
	}
	return o.ended
}

type noObserver struct{}

func (noObserver) CrashAttributed(*quarantine.Record, quarantine.Crash, bool) {}
func (noObserver) FindingChanged(*quarantine.Record, quarantine.Finding, quarantine.Finding, quarantine.Assessment, bool) {
}
func (noObserver) CrashSuspected(*quarantine.Record, quarantine.UnconfirmedCrash) {}
func (noObserver) CrashDismissed(*quarantine.Record, quarantine.UnconfirmedCrash) {}
func (noObserver) Cleared(*quarantine.Record)                                     {}
func (noObserver) Released(*quarantine.Record, bool)                              {}
func (noObserver) Evicted(*quarantine.Record)                                     {}
func (noObserver) ProbationStarted(*quarantine.Record)                            {}

// fakeTarget is a target whose responses a test writes byte by byte.
type fakeTarget struct {
	listener net.Listener
	instance string
	// handle writes the response and reports whether the connection stays open.
	handle func(w io.Writer, r *http.Request, body string) bool
	// accepted counts the connections, runs the requests passed to handle.
	accepted, runs atomic.Int32
	// disconnects counts the connections closed by the other end.
	disconnects atomic.Int32
	tasks       sync.WaitGroup
}

func startTarget(t *testing.T, instance string, handle func(w io.Writer, r *http.Request, body string) bool) *fakeTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tg := &fakeTarget{listener: listener, instance: instance, handle: handle}
	tg.tasks.Add(1)
	go tg.accept()
	t.Cleanup(func() { listener.Close(); tg.tasks.Wait() })
	return tg
}

func (tg *fakeTarget) accept() {
	defer tg.tasks.Done()
	for {
		c, err := tg.listener.Accept()
		if err != nil {
			return
		}
		tg.accepted.Add(1)
		tg.tasks.Add(1)
		go tg.serve(c)
	}
}

func (tg *fakeTarget) serve(c net.Conn) {
	defer tg.tasks.Done()
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			tg.disconnects.Add(1)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		tg.runs.Add(1)
		if !tg.handle(c, r, string(body)) {
			return
		}
	}
}

// writeSealed writes a complete response with a seal.
func (tg *fakeTarget) writeSealed(w io.Writer, r *http.Request, status int, body string) bool {
	fmt.Fprintf(w, "HTTP/1.1 %d X\r\n%s: %s\r\n%s: by-%s\r\nContent-Length: %d\r\n\r\n%s",
		status, wiretest.ID, r.Header.Get(wiretest.ID), wiretest.Seal, tg.instance, len(body), body)
	return true
}

// writeNotRun writes a response stating that the request was not run.
func (tg *fakeTarget) writeNotRun(w io.Writer, r *http.Request, status int) bool {
	fmt.Fprintf(w, "HTTP/1.1 %d X\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, wiretest.ID, r.Header.Get(wiretest.ID), wiretest.NotRun)
	return true
}

// writeStreamHead writes the head of a sealed stream.
func (tg *fakeTarget) writeStreamHead(w io.Writer, r *http.Request) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: by-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		wiretest.ID, r.Header.Get(wiretest.ID), wiretest.Seal, tg.instance)
}

func writeChunk(w io.Writer, text string) { fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text) }

func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece-%d\n\n", n, n) }

// testEnv is a Forwarder with its dependencies, behind an HTTP server.
type testEnv struct {
	*Forwarder
	view   *view.View
	server *httptest.Server
	pool   *upstream.Pool
	// posted is the number of requests that were sent.
	posted atomic.Int32
}

const (
	host  = "desk.example"
	model = "m"
)

// newTestEnv serves the given targets: routes under /once/ are not idempotent, under
// /again/ idempotent, under /stream/ not resumable, and under /resume/ resumable.
func newTestEnv(t *testing.T, targets ...*fakeTarget) *testEnv {
	t.Helper()
	routes := []estate.Route{
		{Name: "once", Host: host, PathPrefix: "/once/", Kind: estate.NonIdempotent, Timeout: 2 * time.Second, MaxAttempts: 1},
		{Name: "again", Host: host, PathPrefix: "/again/", Kind: estate.Idempotent, Timeout: 2 * time.Second, MaxAttempts: 2},
		{Name: "stream", Host: host, PathPrefix: "/stream/", Kind: estate.Stream, Timeout: 2 * time.Second, MaxAttempts: 1},
		{Name: "resume", Host: host, PathPrefix: "/resume/", Kind: estate.Stream, Timeout: 2 * time.Second, MaxAttempts: 2, Resumable: true},
		{Name: "public", Host: host, PathPrefix: "/public/", Kind: estate.Idempotent, Timeout: 2 * time.Second, Public: true},
	}
	for i := range routes {
		routes[i].Backends = []estate.Backend{{Service: "plain", Weight: 1}}
	}
	routes = append(routes, estate.Route{
		Name: "resume-prompt", Host: host, PathPrefix: "/resume-prompt/", Kind: estate.Stream, Timeout: 2 * time.Second, MaxAttempts: 2, Resumable: true,
		HasPrompts: true, Backends: []estate.Backend{{Service: "engines", Weight: 1}},
	}, estate.Route{
		Name: "prompt", Host: host, PathPrefix: "/prompt/", Kind: estate.Stream, Timeout: 2 * time.Second, MaxAttempts: 1,
		HasPrompts: true, Backends: []estate.Backend{{Service: "engines", Weight: 1}},
	})
	services := []estate.Service{
		{Name: "plain"},
		{Name: "engines", Engine: &estate.Engine{Slots: 4, CacheTokens: 100_000, TokenBytes: 1000, LinkMbps: 100_000, Models: []string{model}}},
		{Name: "kept", Store: &estate.KVStore{Address: netip.MustParseAddrPort("127.0.0.1:9"), Zone: "a"}},
	}
	workspaces := []estate.Workspace{{Name: "town", Keys: []string{"town-key"}}, {Name: "fort", Keys: []string{"fort-key"}, Isolated: true}}
	cfg, err := estate.New(1, routes, services, workspaces, estate.Limits{BodyBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	env := &testEnv{view: &view.View{Estate: cfg, Targets: map[string][]fleet.Target{}, EntryCount: 1}}
	directory := fleet.NewDirectory()
	for _, tg := range targets {
		address := netip.MustParseAddrPort(tg.listener.Addr().String())
		directory.Add(fleet.Listing{Incarnation: fleet.Incarnation{Instance: tg.instance}, Service: "plain", Address: address, Zone: "a", Slots: 4, SoftwareVersion: "v1"}, feed.Position{Offset: 1}, time.Now())
		directory.Add(fleet.Listing{Incarnation: fleet.Incarnation{Instance: tg.instance + "-engine"}, Service: "engines", Address: address, Zone: "a", Slots: 4, SoftwareVersion: "v1", Weights: map[string]int64{model: 3}}, feed.Position{Offset: 1}, time.Now())
	}
	env.view.Targets = directory.Targets(func(string) bool { return true }, time.Now(), fleet.SyncState{})
	env.view.Wanted = map[string]weights.History{}
	env.pool = upstream.NewPool(func() {})
	env.Forwarder = New(Deps{
		Protocol: wiretest.Protocol{}, View: func() (*view.View, bool) { return env.view, true }, Pool: env.pool,
		Ledger: ledger.New(), Parts: parts.NewIndex(), Health: health.NewMonitor(nil), Reach: &reach.Monitor{}, Pushback: pushback.NewRegistry(noStatements{}), TargetLimits: unlimited{}, Origins: &fakeOrigins{}, RefreshTargets: func(context.Context) bool { return true },
		Quarantine: quarantine.NewRegistry(quarantine.Limits{MaxCrashes: 3, SuspectFor: time.Hour, RefuseFor: time.Hour, MaxRecords: 100}, noObserver{}),
		CrashDetector: quarantine.NewCrashDetector(func(ctx context.Context, t *fleet.Target) (upstream.ListenerState, error) {
			return env.pool.ProbeListener(ctx, t.Address)
		}),
		Bounds: Bounds{RetryRatio: 0.5, RetrySlack: 100, MaxStaleness: 5 * time.Second, LongestStream: longestStream}, Zone: "a",
		Logger: logr.Discard(), RoutineLogger: logr.Discard(), AuditLogger: logr.Discard(), Metrics: noMetrics{}, AnnounceWork: func(fleet.ID) {}, Outdated: func() bool { return false }, Now: time.Now, Seed: 1,
	})
	env.server = httptest.NewServer(env.Forwarder)
	t.Cleanup(func() { env.server.Close(); env.pool.CloseIdle() })
	return env
}

// post sends a request, with an ID of its own unless the headers have one, and returns the response, its body and
// any error.
func (env *testEnv) post(t *testing.T, path, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	return env.postContext(t.Context(), t, path, body, header...)
}

func (env *testEnv) postContext(ctx context.Context, t *testing.T, path, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, env.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = host
	req.Header.Set(wiretest.ID, fmt.Sprintf("r%d", env.posted.Add(1)))
	req.Header.Set(wiretest.Key, "town-key")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return resp, string(got), err
}
