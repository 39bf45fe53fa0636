// Package capacity_test holds the benchmarks behind docs/CAPACITY.md. Each runs with several sizes;
// the tool tools/capacity fits a line through them and prints the page's tables.
//
// The metric heap-B is the heap retained by an object of the given size, wire-B the encoded size of
// a message.
package capacity_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/admission"
	"github.com/toucanwell/toucanwell/internal/blackboard"
	"github.com/toucanwell/toucanwell/internal/burn"
	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/configlog"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/once"
	"github.com/toucanwell/toucanwell/internal/prefix"
	"github.com/toucanwell/toucanwell/internal/probe"
	"github.com/toucanwell/toucanwell/internal/routing"
	"github.com/toucanwell/toucanwell/internal/sidecar"
)

// retainedHeap returns the size of the heap that an object retains.
func retainedHeap(create func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	object := create()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(object)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// configText returns a configuration with the given numbers of targets and workspaces.
func configText(targets, workspaces int) string {
	var b strings.Builder
	b.WriteString("schema = 1\n[[region]]\nname = \"r1\"\navailability_zones = [\"a\", \"b\", \"c\"]\n[[region]]\nname = \"r2\"\navailability_zones = [\"d\", \"e\"]\n")
	const services = 5
	for s := range services {
		fmt.Fprintf(&b, "[[service]]\nname = \"engines-%d\"\nkind = \"engine\"\n", s)
		for t := s; t < targets; t += services {
			fmt.Fprintf(&b, "[[service.target]]\nname = \"engine-%d\"\naddress = \"10.0.%d.%d:7000\"\navailability_zone = \"%c\"\n", t, t/250, t%250, 'a'+t%5)
		}
		fmt.Fprintf(&b, "[[model]]\nname = \"model-%d\"\nservice = \"engines-%d\"\nweights = \"v1\"\n", s, s)
	}
	for w := range workspaces {
		sum := sha256.Sum256([]byte(fmt.Sprint(w)))
		fmt.Fprintf(&b, "[[workspace]]\nname = \"workspace-%d\"\ntoken_sha256 = \"%s\"\nweight = 1.0\n", w, hex.EncodeToString(sum[:]))
	}
	return b.String()
}

func mustParse(b *testing.B, text string) *config.Config {
	c, err := config.Parse("configuration", text)
	if err != nil {
		b.Fatal(err)
	}
	return c
}

// BenchmarkConfig measures parsing a changed configuration.
func BenchmarkConfig(b *testing.B) {
	for _, n := range []int{500, 2000, 5900} {
		t := configText(600, n)
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			for b.Loop() {
				mustParse(b, t)
			}
			var compressed bytes.Buffer
			w := gzip.NewWriter(&compressed)
			_, _ = w.Write([]byte(t))
			_ = w.Close()
			b.ReportMetric(float64(compressed.Len()), "wire-B")
			b.ReportMetric(retainedHeap(func() any { return []any{mustParse(b, t), strings.Clone(t)} }), "heap-B")
		})
	}
}

func makeTargets(n int) []routing.Target {
	targets := make([]routing.Target, 0, n)
	for i := range n {
		targets = append(targets, routing.NewTarget("s", fmt.Sprintf("engine-%d", i), fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), "a", "r"))
	}
	return targets
}

// BenchmarkRank measures ranking the targets of a request at an entry.
func BenchmarkRank(b *testing.B) {
	for _, n := range []int{18, 72, 288, 600} {
		targets := makeTargets(n)
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			key := uint64(1)
			for b.Loop() {
				key++
				routing.Rank(targets, routing.Location{Zone: "a", Region: "r"}, []uint64{1, key, key * 3})
			}
			b.ReportMetric(retainedHeap(func() any { return makeTargets(n) }), "heap-B")
		})
	}
}

// BenchmarkIndexEvent measures applying a cache event at a sidecar.
func BenchmarkIndexEvent(b *testing.B) {
	for _, n := range []int{10_000, 57_000, 200_000} {
		fill := func() *prefix.Index {
			x := prefix.NewIndex(n)
			for i := range n {
				x.AddCached("a", []uint64{uint64(i)})
			}
			return x
		}
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			x := fill()
			seq := uint64(0)
			for b.Loop() {
				seq++
				x.Apply(&external.EventPage{Incarnation: "a", First: 1, Events: []external.CacheEvent{{Seq: seq, Kind: external.EventStored, Blocks: []uint64{seq + 1<<40}}}})
			}
			b.ReportMetric(retainedHeap(func() any { return fill() }), "heap-B")
			event, _ := json.Marshal(external.CacheEvent{Seq: 1 << 30, Kind: external.EventStored, Blocks: []uint64{1 << 60}})
			b.ReportMetric(float64(len(event)), "wire-B")
		})
	}
}

func filledGate(queued int) *sidecar.Gate {
	start := time.Now()
	g := sidecar.NewGate(admission.Limits{MaxRunning: 4, MaxPrefilling: 1, MaxQueued: 1000}, 57_000, 10_000, func() time.Duration { return time.Since(start) })
	for i := range queued + 1 {
		_, _ = g.Enter(sidecar.GateRequest{Workspace: fmt.Sprint(i % 20), Weight: 1, Class: config.ClassInteractive, PromptTokens: 1, BlockTokens: 64, Budget: time.Hour})
	}
	return g
}

// BenchmarkQuote measures responding to a probe at a sidecar.
func BenchmarkQuote(b *testing.B) {
	for _, n := range []int{0, 8, 64, 256} {
		b.Run(fmt.Sprintf("queued=%d", n), func(b *testing.B) {
			g := filledGate(n)
			q := sidecar.QuoteInput{Workspace: 3, Class: config.ClassInteractive, PromptTokens: 11_000, Points: []prefix.Point{{Block: 1, Tokens: 6144}, {Block: 2, Tokens: 9216}, {Block: 3, Tokens: 10_240}}}
			for b.Loop() {
				if _, refusal := g.Quote(q); refusal != nil {
					b.Fatal(refusal)
				}
			}
		})
	}
}

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	n *int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	*c.n += int64(n)
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	*c.n += int64(n)
	return n, err
}

func unencryptedHTTP2() *http.Protocols {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return p
}

func startPeerServer(fact *blackboard.Fact[configlog.Snapshot]) *httptest.Server {
	mux := http.NewServeMux()
	mux.Handle(peerv1.NewPeerHandler(configlog.NewPeerServer(fact, func(uint64, string) {})))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = unencryptedHTTP2()
	server.Start()
	return server
}

// BenchmarkSync measures a sync request between peers with equal versions over an open connection.
func BenchmarkSync(b *testing.B) {
	for _, n := range []int{1, 2, 3} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			fact := &blackboard.Fact[configlog.Snapshot]{}
			fact.Post(configlog.Snapshot{Version: 100_000, AsOf: 100_200, Text: "-"}, time.Now())
			var total int64
			client := &http.Client{Transport: &http.Transport{Protocols: unencryptedHTTP2(), DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return countingConn{conn, &total}, err
			}}}
			defer client.CloseIdleConnections()
			var peers []peerv1.PeerClient
			for range n {
				server := startPeerServer(fact)
				defer server.Close()
				peers = append(peers, peerv1.NewPeerClient(client, server.URL))
			}
			syncAll := func() {
				for _, p := range peers {
					if _, err := p.Sync(context.Background(), connect.NewRequest(&peerv1.SyncRequest{ConfigVersion: 100_000, Address: "10.0.0.1:7000"})); err != nil {
						b.Fatal(err)
					}
				}
			}
			syncAll()
			syncAll()
			before, rounds := total, int64(0)
			for b.Loop() {
				syncAll()
				rounds++
			}
			b.ReportMetric(float64(total-before)/float64(rounds), "wire-B")
		})
	}
}

// BenchmarkPeerConnection measures the heap that an idle connection retains at both ends.
func BenchmarkPeerConnection(b *testing.B) {
	fact := &blackboard.Fact[configlog.Snapshot]{}
	for _, n := range []int{10, 40, 120} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{Protocols: unencryptedHTTP2()}}
			var servers []*httptest.Server
			for range n {
				servers = append(servers, startPeerServer(fact))
			}
			retained := retainedHeap(func() any {
				for _, s := range servers {
					p := peerv1.NewPeerClient(client, s.URL)
					if _, err := p.Sync(context.Background(), connect.NewRequest(&peerv1.SyncRequest{})); err != nil {
						b.Fatal(err)
					}
				}
				return client
			})
			client.CloseIdleConnections()
			for _, s := range servers {
				s.Close()
			}
			for b.Loop() {
				runtime.KeepAlive(client)
			}
			b.ReportMetric(retained, "heap-B")
		})
	}
}

// BenchmarkProbeMessage measures encoding and decoding a probe and its response; wire-B includes the
// IP and UDP headers.
func BenchmarkProbeMessage(b *testing.B) {
	for _, n := range []int{1, 3, 6} {
		b.Run(fmt.Sprintf("points=%d", n), func(b *testing.B) {
			const headerBytes = 28
			request := &peerv1.ProbeRequest{Id: 1 << 30, Workspace: probe.WorkspaceHash("w"), Class: 1, PromptTokens: 11_000}
			for i := range n {
				request.Points = append(request.Points, uint32(i+1)<<28)
				request.PointTokens = append(request.PointTokens, uint32(3000*(i+1)))
			}
			response := &peerv1.ProbeResponse{Id: 1 << 30, ConfigVersion: 100_000, WaitMs: 200, MatchedTokens: 9000, PrefillMs: 300, BusyPermille: 600}
			var requestData, responseData []byte
			for b.Loop() {
				requestData, _ = proto.Marshal(request)
				responseData, _ = proto.Marshal(response)
				_ = proto.Unmarshal(requestData, &peerv1.ProbeRequest{})
				_ = proto.Unmarshal(responseData, &peerv1.ProbeResponse{})
			}
			b.ReportMetric(float64(len(requestData)+len(responseData)+2*headerBytes), "wire-B")
		})
	}
}

// BenchmarkClaim measures reading the claims of completed calls; wire-B is the size of a claim and
// its done record with a response of 200 bytes.
func BenchmarkClaim(b *testing.B) {
	for _, n := range []int{1000, 10_000, 50_000} {
		page := func() *external.Page {
			p := &external.Page{First: 1}
			for i := range n {
				key := once.NewKey("workspace", "service", fmt.Sprint(i), 1_700_000_000_000, 7)
				data, _ := json.Marshal([]once.Record{
					{Type: once.TypeClaim, Key: key.Digest, Nonce: "0193a1f0-0000-7000-8000-000000000000", RequestDigest: 1 << 60, IssuedMs: key.IssuedMs},
					{Type: once.TypeDone, Key: key.Digest, Nonce: "0193a1f0-0000-7000-8000-000000000000", Response: &once.Response{Status: 200, Body: make([]byte, 200)}},
				})
				p.Records = append(p.Records, external.Record{Offset: uint64(i + 1), Data: data})
			}
			return p
		}
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			p := page()
			for b.Loop() {
				once.NewKeyTable().Apply(p)
			}
			b.ReportMetric(float64(len(p.Records[0].Data)), "wire-B")
			b.ReportMetric(retainedHeap(func() any {
				table := once.NewKeyTable()
				table.Apply(p)
				return table
			}), "heap-B")
			runtime.KeepAlive(p)
		})
	}
}

// BenchmarkBurn measures counting a request, and the heap of the counters.
func BenchmarkBurn(b *testing.B) {
	for _, n := range []int{100, 500, 2000} {
		fill := func() *burn.Counter {
			c := burn.NewCounter(time.Now)
			for i := range n {
				c.Add(burn.Key{Service: "s", Class: "alert", Workspace: fmt.Sprint(i)}, true)
			}
			return c
		}
		b.Run(fmt.Sprintf("rows=%d", n), func(b *testing.B) {
			c := fill()
			key := burn.Key{Service: "s", Class: "alert", Workspace: "7"}
			for b.Loop() {
				c.Add(key, true)
			}
			b.ReportMetric(retainedHeap(func() any { return fill() }), "heap-B")
		})
	}
}

// BenchmarkFrame measures encoding and decoding the frame of one token between sidecar and entry;
// wire-B includes the envelope.
func BenchmarkFrame(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("text=%d", n), func(b *testing.B) {
			const envelopeBytes = 5 + 9
			frame := &peerv1.Frame{Seq: 120, Text: strings.Repeat("x", n)}
			var data []byte
			for b.Loop() {
				data, _ = proto.Marshal(frame)
				_ = proto.Unmarshal(data, &peerv1.Frame{})
			}
			b.ReportMetric(float64(len(data)+envelopeBytes), "wire-B")
		})
	}
}
