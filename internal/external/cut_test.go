package external_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream/cuttest"
	"github.com/toucanwell/toucanwell/internal/standin"
)

// Guards against responses of the platform, engines and plain targets that are broken off and taken for whole.
func TestResponsesThatBreakOffAreErrors(t *testing.T) {
	costs := standin.EngineCosts{PrefillTokensPerSecond: 1e6, MaxBatch: 8, CacheBlocks: 100}
	log := standin.NewLog()
	log.AppendRecord("s", []byte("record"))
	proxyTo := func(h http.Handler) *cuttest.Proxy {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		return cuttest.Start(t, strings.TrimPrefix(server.URL, "http://"))
	}
	toLog, toHosts := proxyTo(log.Handler()), proxyTo(standin.NewHosts().Handler())
	toEngine := proxyTo(standin.NewEngine(costs, "w", standin.NewWeightStore(2)).Handler())
	toPlain := proxyTo(standin.NewPlain().Handler())
	const newline = 1 // what follows a JSON value
	// Each call has a client of its own, whose connections end with it.
	with := func(call func(base string, client *http.Client) error) func(netip.AddrPort) error {
		return func(a netip.AddrPort) error {
			client := external.NewHTTPClient()
			defer client.CloseIdleConnections()
			return call("http://"+a.String(), client)
		}
	}
	toLog.Check(t, cuttest.Call{Name: "log append", Tail: newline, Do: with(func(base string, c *http.Client) error {
		_, err := external.NewHTTPLog(base, c).Append(t.Context(), "t", []byte("x"))
		return err
	})})
	toLog.Check(t, cuttest.Call{Name: "log read", Tail: newline, Do: with(func(base string, c *http.Client) error {
		_, err := external.NewHTTPLog(base, c).Read(t.Context(), "s", 0)
		return err
	})})
	toHosts.Check(t, cuttest.Call{Name: "hosts", Tail: newline, Do: with(func(base string, c *http.Client) error {
		_, err := external.NewHTTPHosts(base, c).List(t.Context())
		return err
	})})
	toEngine.Check(t, cuttest.Call{Name: "events", Tail: newline, Do: with(func(base string, c *http.Client) error {
		_, err := external.NewHTTPEngine(base, c).Events(t.Context(), 0)
		return err
	})})
	toEngine.Check(t, cuttest.Call{Name: "status", Tail: newline, Do: with(func(base string, c *http.Client) error {
		_, err := external.NewHTTPEngine(base, c).Status(t.Context())
		return err
	})})
	toPlain.Check(t, cuttest.Call{Name: "plain call", Do: with(func(base string, c *http.Client) error {
		_, err := external.NewHTTPPlain(base, c).Call(t.Context(), &external.PlainRequest{Path: "/x", Timeout: 5 * time.Second, Body: []byte("x")})
		return err
	})})
	const afterEnd = len("\n\n\r\n0\r\n\r\n") // what follows the event that ends a stream
	toEngine.Check(t, cuttest.Call{Name: "run", Tail: afterEnd, Do: with(func(base string, c *http.Client) error {
		stream, err := external.NewHTTPEngine(base, c).Generate(t.Context(), &external.GenerateRequest{RequestID: "r", Prompt: "p", From: 1, MaxTokens: 3, PromptTokens: 1, BlockTokens: 1, Weights: "w"})
		if err != nil {
			return err
		}
		defer stream.Close()
		for {
			token, err := stream.Next()
			if err != nil || token.End {
				return err
			}
		}
	})})
}
