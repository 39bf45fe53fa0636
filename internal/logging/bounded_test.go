package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter blocks writes until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// A blocked log output must not block logging. Lines are dropped and their number is logged
// once the output accepts lines again.
func TestBlockedOutputDropsLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		b := NewBounded(out, "p", 1<<20)
		const lines = 3 * maxBufferedLines
		for range lines {
			if n, err := b.Write([]byte("line\n")); n != 5 || err != nil {
				t.Fatalf("Write = %d, %v", n, err)
			}
		}
		close(out.release)
		synctest.Wait()
		_, _ = b.Write([]byte("line\n"))
		b.Close()
		text := out.written.String()
		written := strings.Count(text, "line\n")
		if written+int(b.Dropped()) != lines+1 || written < maxBufferedLines {
			t.Errorf("%d written, %d dropped", written, b.Dropped())
		}
		if !strings.Contains(text, "msg=log_lines_dropped process=\"p\" lines=") {
			t.Error("the number of dropped lines is not logged")
		}
	})
}

// The number of lines written in each second must not exceed the rate.
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

// A flood of routine lines must not cause the line of a failed request to be dropped.
func TestRoutineLinesLeaveCapacityForFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := NewBounded(&out, "p", 10)
		for range 100 {
			_, _ = b.Routine().Write([]byte("routine\n"))
		}
		_, _ = b.Write([]byte("failed\n"))
		b.Close()
		text := out.String()
		if n := strings.Count(text, "routine\n"); n != 7 || strings.Count(text, "failed\n") != 1 {
			t.Errorf("%d routine lines in the output: %s", n, text)
		}
	})
}
