package forward

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/toucanwell/toucanwell/internal/buffers"
)

// Guards against buffered responses that take more memory than they are counted for: endless ones exceed the part
// of the process's memory that all of them may have.
func TestBufferedResponsesTakeWhatIsCounted(t *testing.T) {
	for _, size := range []int{0, 1, 100, buffers.Step - 1, buffers.Step, buffers.Step + 1, 5*buffers.Step + 7, maxBuffered - 1} {
		want := bytes.Repeat([]byte("0123456789abcdef!"), size/17+1)[:size]
		for name, in := range map[string]io.Reader{"whole": bytes.NewReader(want), "halves": iotest.HalfReader(bytes.NewReader(want)), "last bytes with the end": iotest.DataErrReader(bytes.NewReader(want))} {
			pieces, complete, err := readBuffered(in, buffers.NewBudget(maxBuffered).NewShare())
			if got := bytes.Join(pieces, nil); err != nil || !bytes.Equal(got, want) || !complete {
				t.Errorf("%s of %d bytes: got %d, complete %v, error %v", name, size, len(got), complete, err)
			}
			for i, piece := range pieces {
				if cap(piece) > buffers.Step {
					t.Errorf("%s of %d bytes: piece %d takes %d bytes, counted are %d", name, size, i, cap(piece), buffers.Step)
				}
			}
		}
	}
}
