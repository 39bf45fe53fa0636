package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// stuck is an output whose reader has stopped reading until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// Whoever reads the log is stuck. Requests go on: lines are dropped, and the
// log says how many when it gets through again.
func TestStuckReaderCostsLinesNotRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{release: make(chan struct{})}
		b := NewBounded(out, "p", 1<<20)
		const lines = 3 * bufferedLines
		for range lines {
			if n, err := b.Write([]byte("line\n")); n != 5 || err != nil {
				t.Fatalf("%d, %v", n, err)
			}
		}
		close(out.release)
		synctest.Wait()
		_, _ = b.Write([]byte("line\n"))
		b.Close()
		text := out.got.String()
		written := strings.Count(text, "line\n")
		if written+int(b.Dropped()) != lines+1 || written < bufferedLines {
			t.Errorf("%d written, %d dropped", written, b.Dropped())
		}
		if !strings.Contains(text, "msg=log_lines_dropped process=\"p\" lines=") {
			t.Error("what was dropped is not said")
		}
	})
}

// A flood of lines stays within the rate, second by second.
func TestRateBoundsTheVolume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := NewBounded(&out, "p", 10)
		for range 3 {
			for range 100 {
				_, _ = b.Write([]byte("line\n"))
			}
			time.Sleep(time.Second)
		}
		b.Close()
		if n := strings.Count(out.String(), "line\n"); n != 30 {
			t.Errorf("%d lines in three seconds", n)
		}
	})
}

// Thousands of requests go well in a second and one fails. The line of the one
// that failed is written.
func TestOrdinaryLinesLeaveRoomForFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := NewBounded(&out, "p", 10)
		for range 100 {
			_, _ = b.Routine().Write([]byte("ordinary\n"))
		}
		_, _ = b.Write([]byte("failed\n"))
		b.Close()
		text := out.String()
		if n := strings.Count(text, "ordinary\n"); n != 7 || strings.Count(text, "failed\n") != 1 {
			t.Errorf("%d ordinary lines; in all: %s", n, text)
		}
	})
}
