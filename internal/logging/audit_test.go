package logging

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// A flood of other lines, or of audit lines themselves, must not cause an audit line to be dropped.
func TestAuditLinesAreNotSubjectToTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := NewBounded(&out, "p", 10)
		for range 100 {
			_, _ = b.Write([]byte("usual\n"))
			_, _ = b.Routine().Write([]byte("routine\n"))
			_, _ = b.Audit().Write([]byte("audit\n"))
		}
		b.Close()
		text := out.String()
		if audits, others := strings.Count(text, "audit\n"), strings.Count(text, "usual\n")+strings.Count(text, "routine\n"); audits != 100 || others != 10 {
			t.Errorf("%d audit lines, %d others", audits, others)
		}
	})
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// The end of a process must not lose an audit line that was logged before it.
func TestAuditLineIsWrittenWhenLogged(t *testing.T) {
	out := &lockedBuffer{}
	b := NewBounded(out, "p", 1000)
	defer b.Close()
	for i := range 200 {
		line := fmt.Sprintf("line %d\n", i)
		_, _ = b.Audit().Write([]byte(line))
		if !strings.HasSuffix(out.String(), line) {
			t.Fatalf("line %d is not written when it is logged", i)
		}
	}
}

// slowWriter takes a while for each line.
type slowWriter struct {
	lockedBuffer
	pause time.Duration
}

func (w *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(w.pause)
	return w.lockedBuffer.Write(p)
}

// Guards against an audit line that is lost with its process, because the lines before it took the writer longer
// than usual.
func TestAuditLineWaitsForTheLinesBeforeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &slowWriter{pause: 3 * time.Millisecond}
		b := NewBounded(out, "p", 1000)
		defer b.Close()
		for i := range 5 {
			for range 10 {
				_, _ = b.Write([]byte("usual\n"))
			}
			line := fmt.Sprintf("audit %d\n", i)
			_, _ = b.Audit().Write([]byte(line))
			if !strings.HasSuffix(out.String(), line) {
				t.Errorf("line %d is not written when it is logged", i)
			}
		}
	})
}

// Guards against requests that a slow output holds up for as long as its buffer lasts.
func TestSlowOutputDelaysAuditLinesForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBounded(&slowWriter{pause: 5 * time.Millisecond}, "p", 1<<20)
		for range maxBufferedLines / 2 {
			_, _ = b.Write([]byte("usual\n"))
		}
		begin := time.Now()
		_, _ = b.Audit().Write([]byte("audit\n"))
		if took := time.Since(begin); took > maxAuditTicks*auditTick {
			t.Errorf("an audit line took %s", took)
		}
		time.Sleep(time.Minute)
		b.Close()
	})
}

// A blocked log output must not hold up each request whose lines are audited, and the report of what was
// dropped must name the requests.
func TestBlockedOutputDelaysOneAuditLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		b := NewBounded(out, "p", 1<<20)
		begin := time.Now()
		const lines = 2 * maxBufferedLines
		for i := range lines {
			_, _ = b.Audit().Write(fmt.Appendf(nil, "msg=request_sent request_id=r%d send=1\n", i))
		}
		if took := time.Since(begin); took > auditWait {
			t.Errorf("%d lines took %s", lines, took)
		}
		dropped := b.DroppedAudits()
		close(out.release)
		synctest.Wait()
		_, _ = b.Audit().Write([]byte("msg=request_sent request_id=last send=1\n"))
		b.Close()
		text := out.written.String()
		if written := strings.Count(text, "msg=request_sent"); written+int(dropped) != lines+1 || dropped == 0 {
			t.Errorf("%d written, %d dropped", written, dropped)
		}
		first := fmt.Sprintf("requests=\"r%d,r%d,", lines-int(dropped), lines-int(dropped)+1)
		if !strings.Contains(text, fmt.Sprintf("lines=%d routine=0 audit=%d ", dropped, dropped)) || !strings.Contains(text, first) {
			t.Errorf("the report does not name the dropped lines: %s", text[strings.Index(text, "log_lines_dropped"):][:200])
		}
	})
}

// Lines that were dropped last must be reported although no line follows.
func TestDroppedLinesAreReportedAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := NewBounded(&out, "p", 1)
		for range 3 {
			_, _ = b.Routine().Write([]byte("routine\n"))
		}
		b.Close()
		if text := out.String(); !strings.Contains(text, "lines=3 routine=3 audit=0") {
			t.Errorf("the output is %q", text)
		}
	})
}

// The time of an audit line beside that of a usual one, with a reader at the other end of a pipe.
func BenchmarkLine(b *testing.B) {
	line := []byte("time=2026-01-01T00:00:00Z level=INFO msg=request_sent process=e request_id=r1 " + strings.Repeat("key=value ", 80) + "\n")
	for name, writer := range map[string]func(*Bounded) io.Writer{
		"usual": func(l *Bounded) io.Writer { return l },
		"audit": func(l *Bounded) io.Writer { return l.Audit() },
	} {
		b.Run(name, func(b *testing.B) {
			read, write, err := os.Pipe()
			if err != nil {
				b.Fatal(err)
			}
			go func() { _, _ = io.Copy(io.Discard, read) }()
			log := NewBounded(write, "p", 1<<30)
			w := writer(log)
			for b.Loop() {
				_, _ = w.Write(line)
			}
			log.Close()
			_ = write.Close()
		})
	}
}
