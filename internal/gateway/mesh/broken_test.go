package mesh

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/feed"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream/brokentest"
)

// Guards against a replica from a response with a malformed head, whose body may not be the peer's.
func TestReplicaWithMalformedHeadIsRejected(t *testing.T) {
	loop := control.NewLoop(1, func(time.Duration) {})
	go loop.Run()
	defer loop.Stop()
	server := NewServer(loop, []string{"t"}, func(string, feed.Position) (TopicPage, bool) {
		return TopicPage{Page: feed.Page{Snapshot: feed.Snapshot{End: 7}}}, true
	})
	mux := http.NewServeMux()
	mux.Handle(server.Handler())
	listener := httptest.NewServer(mux)
	defer listener.Close()
	for name, rewrite := range map[string]func(string) string{
		"status 000":        func(head string) string { return strings.Replace(head, " 200 ", " 000 ", 1) },
		"blank in a name":   func(head string) string { return strings.TrimSuffix(head, "\r\n") + "X Name: x\r\n\r\n" },
		"length, blank end": func(head string) string { return strings.Replace(head, "Content-Length:", "Content-Length :", 1) },
	} {
		t.Run(name, func(t *testing.T) {
			client := NewClient(time.Second)
			defer client.CloseIdleConnections()
			peer := brokentest.StartRewriter(t, listener.Listener.Addr().String(), rewrite).Address
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if page, err := Fetch(ctx, client, peer, "t", feed.Position{}); err == nil || ctx.Err() != nil {
				t.Errorf("page %+v, error %v", page, err)
			}
		})
	}
}
