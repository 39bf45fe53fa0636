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

// fakeStream yields its frames and then fails.
type fakeStream struct {
	frames   []*peerv1.Frame
	received int
}

func (s *fakeStream) Receive() bool      { s.received++; return s.received <= len(s.frames) }
func (s *fakeStream) Msg() *peerv1.Frame { return s.frames[s.received-1] }
func (s *fakeStream) Err() error         { return io.ErrUnexpectedEOF }
func (s *fakeStream) Close() error       { return nil }

// Broken connections and repeated, skipped or reordered frames must not lose, repeat or reorder
// what the caller receives. A response is complete only with its last frame.
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
			if complete := refusal == nil && !cut; complete != (p.end != nil) {
				rt.Fatalf("complete %v, but last frame received %v", complete, p.end != nil)
			}
			if p.end != nil {
				break
			}
		}
		if want := "12345678"[:p.nextSeq-1]; got.String() != want {
			rt.Fatalf("got %q, want %q", got.String(), want)
		}
	})
}

// For at-most-once calls, every refusal that was not decided by recorded claims must leave the
// outcome unknown.
func TestOnlyClaimOutcomesReachTheCaller(t *testing.T) {
	for _, kind := range errkind.All() {
		got := onceRefusal(errkind.New(kind, "")).Kind
		switch kind {
		case errkind.NotRun, errkind.OutcomeUnknown, errkind.InProgress, errkind.KeyConflict, errkind.KeyExpired, errkind.KeyInvalid:
			if got != kind {
				t.Errorf("%v was turned into %v", kind, got)
			}
		default:
			if got != errkind.OutcomeUnknown {
				t.Errorf("%v was turned into %v", kind, got)
			}
		}
	}
}

// A run that its sidecar lost must be reported as a failed target: the kind UnknownRun is
// internal.
func TestLostRunIsReportedAsFailedTarget(t *testing.T) {
	e := &Entry{}
	got := e.finalRefusal(&completion{}, &progress{nextSeq: 1}, errkind.New(errkind.UnknownRun, ""))
	if got.Kind != errkind.TargetFailed {
		t.Errorf("got kind %v", got.Kind)
	}
}
