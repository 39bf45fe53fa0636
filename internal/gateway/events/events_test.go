package events

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/gateway/buffers"
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
