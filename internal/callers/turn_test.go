package callers

import (
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"
)

// floodListener has a connection for each Accept, and records how many were accepted between two turns of another
// goroutine.
type floodListener struct {
	turns         atomic.Int64
	seen          int64
	between, most int
	left          int
	closed        chan struct{}
}

func (l *floodListener) Accept() (net.Conn, error) {
	if l.left == 0 {
		<-l.closed
		return nil, net.ErrClosed
	}
	l.left--
	if turns := l.turns.Load(); turns != l.seen {
		l.seen, l.between = turns, 0
	}
	l.between++
	l.most = max(l.most, l.between)
	near, far := net.Pipe()
	_ = far.Close()
	if l.left == 0 {
		defer close(l.closed)
	}
	return near, nil
}

func (l *floodListener) Close() error   { return nil }
func (l *floodListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a flood of connections that is accepted before anything else in the process runs.
func TestAcceptedConnectionsTakeTurnsWithOtherWork(t *testing.T) {
	// maxBetween is far below what is accepted in the time slice of a goroutine.
	const connections, maxBetween = 5000, 50
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	flood := &floodListener{left: connections, closed: make(chan struct{})}
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
				flood.turns.Add(1)
				runtime.Gosched()
			}
		}
	}()
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}
	guarded := NewConns(nil, nil).Guard(server, flood, false)
	served := make(chan struct{})
	go func() { defer close(served); _ = server.Serve(guarded) }()
	<-flood.closed
	_ = server.Close()
	<-served
	close(stop)
	t.Logf("at most %d connections between two turns", flood.most)
	if flood.most > maxBetween {
		t.Errorf("%d connections were accepted between two turns of another goroutine, want at most %d", flood.most, maxBetween)
	}
}
