package events

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// A stream is cut at any byte and comes in pieces of any size. The reader
// yields the whole events before the cut, as they were, and says whether one
// was cut.
func TestWholeEventsBeforeACut(t *testing.T) {
	all := []string{"id: 1\ndata: a\n\n", "weights: 3\nid: 2\ndata: b\ndata: c\n\n", "id: 3\r\ndata: d\r\n\r\n", "data: no id\n\n"}
	stream := strings.Join(all, "")
	rapid.Check(t, func(rt *rapid.T) {
		cut := rapid.IntRange(0, len(stream)).Draw(rt, "cut")
		var in io.Reader = strings.NewReader(stream[:cut])
		if rapid.Bool().Draw(rt, "byte by byte") {
			in = iotest.OneByteReader(in)
		}
		r := NewReader(in)
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

func TestEventNumbers(t *testing.T) {
	r := NewReader(strings.NewReader("id: 12\ndata: x\n\ndata: id: 9\n\nid: none\ndata: y\n\n"))
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

// An event without an end would fill the memory.
func TestEndlessEventIsRefused(t *testing.T) {
	r := NewReader(strings.NewReader("data: " + strings.Repeat("x", 2*maxEvent)))
	if _, err := r.Next(); !errors.Is(err, ErrTooLong) {
		t.Errorf("error %v", err)
	}
}
