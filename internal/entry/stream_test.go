package entry

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// fakeStream yields frames and then ends, cleanly or not.
type fakeStream struct {
	frames []*peerv1.Frame
	at     int
}

func (s *fakeStream) Receive() bool      { s.at++; return s.at <= len(s.frames) }
func (s *fakeStream) Msg() *peerv1.Frame { return s.frames[s.at-1] }
func (s *fakeStream) Err() error         { return io.ErrUnexpectedEOF }
func (s *fakeStream) Close() error       { return nil }

// Connections break, repeat frames, skip some and cross them. The reader gets
// the frames from the first on, each once and in order, and the answer counts
// as whole only with its last frame.
func TestReaderGetsEachFrameOnceInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const last = 8
		e := &Entry{}
		p := &progress{nextSeq: 1}
		r := &completion{}
		var got strings.Builder
		for range rapid.IntRange(1, 6).Draw(rt, "connections") {
			var frames []*peerv1.Frame
			for _, seq := range rapid.SliceOfN(rapid.Uint64Range(1, last), 0, 12).Draw(rt, "frames") {
				frame := &peerv1.Frame{Seq: seq, Text: fmt.Sprint(seq)}
				if seq == last {
					frame.End = &peerv1.End{}
				}
				frames = append(frames, frame)
			}
			refusal, cut := e.copyStream(&fakeStream{frames: frames}, r, p, func(f *peerv1.Frame) error {
				got.WriteString(f.Text)
				return nil
			})
			if whole := refusal == nil && !cut; whole != (p.end != nil) {
				rt.Fatalf("whole %v, but the last frame came: %v", whole, p.end != nil)
			}
			if p.end != nil {
				break
			}
		}
		if want := "12345678"[:p.nextSeq-1]; got.String() != want {
			rt.Fatalf("the reader got %q, want %q", got.String(), want)
		}
	})
}

// Every refusal of a call that may not be repeated, other than those that the
// record of claims gives, leaves its outcome unknown.
func TestOnlyTheRecordOfClaimsSaysNotRun(t *testing.T) {
	for _, kind := range errkind.All() {
		got := onceRefusal(errkind.New(kind, "")).Kind
		switch kind {
		case errkind.NotRun, errkind.OutcomeUnknown, errkind.InProgress, errkind.KeyConflict, errkind.KeyExpired, errkind.KeyInvalid:
			if got != kind {
				t.Errorf("%v became %v", kind, got)
			}
		default:
			if got != errkind.OutcomeUnknown {
				t.Errorf("%v became %v", kind, got)
			}
		}
	}
}

// A sidecar loses a run, and no other target may be tried. The caller reads of
// a failed target, not of a word between processes.
func TestLostRunReadsAsFailedTarget(t *testing.T) {
	e := &Entry{}
	got := e.finalRefusal(&completion{}, &progress{nextSeq: 1}, errkind.New(errkind.UnknownRun, ""))
	if got.Kind != errkind.TargetFailed {
		t.Errorf("got %v", got.Kind)
	}
}
