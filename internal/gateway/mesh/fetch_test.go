package mesh

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/feed"
)

// Guards against a process that serves so many fetches at once that none ends in time: those beyond
// the limit must be refused at once, and be served once there is room again. Fetches of another topic must not wait
// for them.
func TestFetchesBeyondTheLimitAreRefused(t *testing.T) {
	loop := control.NewLoop(1, func(time.Duration) {})
	go loop.Run()
	defer loop.Stop()
	server := NewServer(loop, []string{"t", "u"}, func(string, feed.Position) (TopicPage, bool) {
		return TopicPage{Page: feed.Page{Snapshot: feed.Snapshot{End: 7}}}, true
	})
	mux := http.NewServeMux()
	mux.Handle(server.Handler())
	listener := httptest.NewServer(mux)
	defer listener.Close()
	peer := netip.MustParseAddrPort(listener.Listener.Addr().String())

	for range MaxFetches {
		server.places["t"] <- struct{}{} // a fetch in progress
	}
	if _, err := Fetch(context.Background(), http.DefaultClient, peer, "t", feed.Position{}); !IsBusy(err) {
		t.Errorf("fetch beyond the limit: %v, want busy", err)
	}
	for range 2 * MaxFetches {
		if page, err := Fetch(context.Background(), http.DefaultClient, peer, "u", feed.Position{}); err != nil || page.End != 7 {
			t.Errorf("fetch of another topic: %v, %v", page, err)
		}
	}
	<-server.places["t"]
	for range 2 * MaxFetches {
		if page, err := Fetch(context.Background(), http.DefaultClient, peer, "t", feed.Position{}); err != nil || page.End != 7 {
			t.Errorf("fetch within the limit: %v, %v", page, err)
		}
	}
}
