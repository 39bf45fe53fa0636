package callers

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a client that is taken for gone while it waits for its response, and against one that is not as soon as
// its close has arrived.
func TestClientHasLeftOnceItsCloseHasArrived(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	arrived, check := make(chan struct{}), make(chan chan bool)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		for answer := range check {
			answer <- HasLeft(r.Context())
		}
	})}
	guarded := NewConns(nil, nil).Guard(server, listener, false)
	go func() { _ = server.Serve(guarded) }()
	t.Cleanup(func() { close(check); _ = server.Close() })
	hasLeft := func() bool {
		answer := make(chan bool)
		check <- answer
		return <-answer
	}

	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-arrived
	if hasLeft() {
		t.Error("a client that waits has left")
	}
	_ = client.Close()
	for deadline := time.Now().Add(5 * time.Second); !hasLeft(); <-time.After(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a client that has closed its connection has not left")
		}
	}
}
