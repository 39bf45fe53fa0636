package events

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/buffers"
	"github.com/toucanwell/toucanwell/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// For a stream that is cut at any byte and read in pieces of any size, the reader must return the
// complete events before the cut unchanged, and ErrTruncated if the cut is within an event.
func TestWholeEventsBeforeACut(t *testing.T) {
	all := []string{"id: 1\ndata: a\n\n", "weights: 3\nid: 2\ndata: b\ndata: c\n\n", "id: 3\r\ndata: d\r\n\r\n", "data: no id\n\n"}
	stream := strings.Join(all, "")
	rapid.Check(t, func(rt *rapid.T) {
		cut := rapid.IntRange(0, len(stream)).Draw(rt, "cut")
		var in io.Reader = strings.NewReader(stream[:cut])
		if rapid.Bool().Draw(rt, "byte by byte") {
			in = iotest.OneByteReader(in)
		}
		r := NewReader(in, (*buffers.Budget)(nil).NewShare())
		got := ""
		for {
			e, err := r.Next()
			if err != nil {
				if want := strings.HasPrefix(stream[:cut], got) && len(strings.TrimSpace(stream[len(got):cut])) > 0; errors.Is(err, ErrTruncated) != want {
					rt.Fatalf("cut at %d: error %v", cut, err)
				}
				break
			}
			got += string(e.Raw)
		}
		whole := ""
		for _, e := range all {
			if len(whole)+len(e) > cut {
				break
			}
			whole += e
		}
		if got != whole {
			rt.Fatalf("cut at %d: got %q, want %q", cut, got, whole)
		}
	})
}

// Guards against a target that sends blank lines without end: finding out that an event has no content yet
// must not read what has come again with each line.
func TestBlankLinesWithoutEnd(t *testing.T) {
	for _, line := range []string{"\n", "\r\n", "\r\r\r\n"} {
		read := make(chan error, 1)
		go func() {
			_, err := NewReader(strings.NewReader(strings.Repeat(line, 2*maxEvent/len(line))), (*buffers.Budget)(nil).NewShare()).Next()
			read <- err
		}()
		select {
		case err := <-read:
			if !errors.Is(err, ErrTooLong) {
				t.Errorf("%q: error %v", line, err)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%q: not read within 5 s", line)
		}
	}
}

// Next must parse numeric IDs and ignore other ones.
func TestEventIDs(t *testing.T) {
	r := NewReader(strings.NewReader("id: 12\ndata: x\n\ndata: id: 9\n\nid: none\ndata: y\n\n"), (*buffers.Budget)(nil).NewShare())
	want := []struct {
		id  int64
		has bool
	}{{12, true}, {0, false}, {0, false}}
	for i, w := range want {
		e, err := r.Next()
		if err != nil || e.ID != w.id || e.HasID != w.has {
			t.Errorf("event %d: %+v, %v", i, e, err)
		}
	}
}

// The size of an event must be limited, because it is buffered in memory.
func TestOversizedEventIsRejected(t *testing.T) {
	r := NewReader(strings.NewReader("data: "+strings.Repeat("x", 2*maxEvent)), (*buffers.Budget)(nil).NewShare())
	if _, err := r.Next(); !errors.Is(err, ErrTooLong) {
		t.Errorf("error %v", err)
	}
}

// Guards against large events of many streams that together fill the memory of the process.
func TestLargeEventsShareABudget(t *testing.T) {
	budget := buffers.NewBudget(growthFactor * 4 * buffers.Step)
	event := "data: " + strings.Repeat("x", 4*buffers.Step) + "\n\n"
	first, second := budget.NewShare(), budget.NewShare()
	r := NewReader(strings.NewReader(event+"data: y\n\n"), first)
	if _, err := r.Next(); err != nil {
		t.Fatal(err)
	}
	if _, err := NewReader(strings.NewReader(event), second).Next(); !errors.Is(err, ErrNoMemory) {
		t.Errorf("beyond the budget: error %v", err)
	}
	second.Release()
	if _, err := r.Next(); err != nil {
		t.Fatal(err)
	}
	if _, err := NewReader(strings.NewReader(event), second).Next(); err != nil {
		t.Errorf("after the first event: %v", err)
	}
}

// Guards against a line that fills the reader's buffer: the rest of it is taken for a blank line or for an
// ID, so that an event counts as complete before its end, and a stream that goes on at another target joins
// it with the next one.
func TestLinesThatFillTheBuffer(t *testing.T) {
	const bufferSize = 4096
	for _, size := range []int{bufferSize - 2, bufferSize - 1, bufferSize, bufferSize + 1, 2 * bufferSize, 3*bufferSize - 1} {
		for _, end := range []string{"\n", "\r\n"} {
			line := "data: " + strings.Repeat("x", size-len("data: "))
			events := []string{"id: 1" + end + line + end + end, "id: 2" + end + line + "id: 9" + end + end, line + end + "id: 3" + end + end}
			stream := strings.Join(events, "")
			r := NewReader(strings.NewReader(stream), (*buffers.Budget)(nil).NewShare())
			for i, want := range events {
				e, err := r.Next()
				if err != nil || string(e.Raw) != want || e.ID != int64(i+1) {
					t.Errorf("lines of %d bytes ended by %q: event %d has %d bytes, ID %d, error %v; want %d bytes", size, end, i+1, len(e.Raw), e.ID, err, len(want))
				}
			}
			if _, err := r.Next(); err != io.EOF {
				t.Errorf("lines of %d bytes: error %v at the end", size, err)
			}
			cut := strings.TrimSuffix(events[0], end)
			if _, err := NewReader(strings.NewReader(cut), (*buffers.Budget)(nil).NewShare()).Next(); !errors.Is(err, ErrTruncated) {
				t.Errorf("lines of %d bytes: error %v without the blank line", size, err)
			}
		}
	}
}
