package configlog

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/standin"
)

// textNumber returns a small good text that differs by its number.
func textNumber(n int) string {
	return fmt.Sprintf(`schema = 1
[[region]]
name = "r"
availability_zones = ["z"]
[[service]]
name = "s%d"
kind = "plain"
`, n)
}

func appendRecord(t interface{ Fatal(...any) }, log *standin.Log, r Record) uint64 {
	data, err := Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	return log.AppendRecord(Stream, data)
}

// reader is a process that reads the stream now and then.
type reader struct {
	folder  *StateMachine
	highest uint64
}

func (r *reader) see(t *rapid.T) {
	v := r.folder.Snapshot().Version
	if v < r.highest {
		t.Fatalf("version %d in force after %d", v, r.highest)
	}
	r.highest = v
}

// Operators race each other to publish, the log drops its oldest records, a
// process carries forward what it knew long ago, others start with a cut log,
// sleep through a gap and ask their peers. No process may go back to an older
// version, and all must agree in the end.
func TestReadersAgreeAndNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		log := standin.NewLog()
		reference := &reader{folder: NewStateMachine()}
		readers := []*reader{{folder: NewStateMachine()}, {folder: NewStateMachine()}, {folder: NewStateMachine()}}
		accepted := map[uint64]string{}
		steps := rapid.IntRange(5, 60).Draw(rt, "steps")
		for n := range steps {
			switch rapid.SampledFrom([]string{"publish", "read", "carry", "trim", "ask", "replace"}).Draw(rt, "step") {
			case "publish":
				base := reference.folder.Snapshot().Version
				if rapid.Bool().Draw(rt, "stale") {
					base = rapid.Uint64Range(0, base).Draw(rt, "base")
				}
				appendRecord(rt, log, Record{Type: TypePublish, Nonce: fmt.Sprint(n), Base: base, Text: textNumber(n)})
				reference.folder.Apply(log.ReadPage(Stream, reference.folder.NextOffset()))
				s := reference.folder.Snapshot()
				accepted[s.Version] = s.Text
			case "carry":
				// Any reader carries what it has, however old.
				s := rapid.SampledFrom(readers).Draw(rt, "carrier").folder
				if snapshot := s.Snapshot(); snapshot.Version > 0 && !s.Undecided() {
					appendRecord(rt, log, Record{Type: TypeRepublish, Version: snapshot.Version, AsOf: snapshot.AsOf, Text: snapshot.Text})
				}
				reference.folder.Apply(log.ReadPage(Stream, reference.folder.NextOffset()))
			case "trim":
				trim(rt, log, reference.folder.Snapshot())
			case "read":
				r := rapid.SampledFrom(readers).Draw(rt, "reader")
				r.folder.Apply(log.ReadPage(Stream, r.folder.NextOffset()))
				r.see(rt)
			case "ask":
				r := rapid.SampledFrom(readers).Draw(rt, "asker")
				peer := rapid.SampledFrom(readers).Draw(rt, "peer").folder.Snapshot()
				if peer.Version > r.folder.Snapshot().Version {
					r.folder.Adopt(peer)
				}
				r.see(rt)
			case "replace":
				readers[rapid.IntRange(0, 2).Draw(rt, "replaced")] = &reader{folder: NewStateMachine()}
			}
		}
		want := reference.folder.Snapshot()
		if want.Version > 0 {
			appendRecord(rt, log, Record{Type: TypeRepublish, Version: want.Version, AsOf: want.AsOf, Text: want.Text})
		}
		for i, r := range readers {
			r.folder.Apply(log.ReadPage(Stream, r.folder.NextOffset()))
			r.see(rt)
			s := r.folder.Snapshot()
			if s.Version > 0 && accepted[s.Version] != s.Text {
				rt.Fatalf("reader %d has version %d in force, which was never accepted", i, s.Version)
			}
			if want.Version > 0 && r.folder.Undecided() {
				rt.Fatalf("reader %d cannot decide although the log tells what is in force", i)
			}
			if s.Version != want.Version {
				rt.Fatalf("reader %d has version %d in force, the others %d", i, s.Version, want.Version)
			}
		}
	})
}

// trim drops old records, but never the newest copy of what is in force: a
// process carries it before its time is over.
func trim(rt *rapid.T, log *standin.Log, inForce Snapshot) {
	page := log.ReadPage(Stream, 1)
	keepFrom := page.Next
	for _, r := range page.Records {
		if strings.Contains(string(r.Data), fmt.Sprintf(`"version":%d,`, inForce.Version)) || r.Offset == inForce.Version {
			keepFrom = r.Offset
		}
	}
	if keepFrom <= page.First {
		return
	}
	log.TrimTo(Stream, rapid.Uint64Range(page.First, keepFrom).Draw(rt, "trim"))
}

// lossyLog loses the answers of its first appends after they took effect, and
// then that of the next read.
type lossyLog struct {
	*standin.Log
	lose     int
	loseRead bool
}

func (l *lossyLog) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	offset := l.AppendRecord(stream, data)
	if l.lose > 0 {
		l.lose--
		l.loseRead = true
		return 0, errors.New("answer lost")
	}
	return offset, nil
}

func (l *lossyLog) Read(_ context.Context, stream string, from uint64) (*external.Page, error) {
	if l.loseRead {
		l.loseRead = false
		return nil, errors.New("answer lost")
	}
	return l.ReadPage(stream, from), nil
}

// The log takes an operator's publish and loses its answer. The operator must
// be told that it was accepted, and it must not be published twice.
func TestPublishWithLostAnswerIsFoundAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &lossyLog{Log: standin.NewLog(), lose: 1}
		verdict, err := Publish(context.Background(), log, "n1", 0, textNumber(1))
		if err != nil || !verdict.Accepted {
			t.Fatalf("%+v %v", verdict, err)
		}
		if n := len(log.ReadPage(Stream, 1).Records); n != 1 {
			t.Fatalf("%d records", n)
		}
	})
}

// Two operators edit the same version. The second to publish is told which
// version won and how to go on, and nothing of its text is in force.
func TestLosingOperatorIsTold(t *testing.T) {
	log := &lossyLog{Log: standin.NewLog()}
	first, err := Publish(context.Background(), log, "n1", 0, textNumber(1))
	if err != nil {
		t.Fatal(err)
	}
	_, err = Publish(context.Background(), log, "n2", 0, textNumber(2))
	if !errors.Is(err, ErrConflict) || !strings.Contains(err.Error(), fmt.Sprintf("--base %d", first.Offset)) {
		t.Fatalf("%v", err)
	}
	second, err := Publish(context.Background(), log, "n3", first.Offset, textNumber(3))
	if err != nil || second.Offset <= first.Offset {
		t.Fatalf("%+v %v", second, err)
	}
}

// The log has dropped everything and no process lives that knew the text. The
// operator's recovery puts one in force that every reader takes.
func TestRecoverAfterTheLastCopyIsGone(t *testing.T) {
	log := &lossyLog{Log: standin.NewLog()}
	for n := range 3 {
		appendRecord(t, log.Log, Record{Type: TypePublish, Base: uint64(n), Nonce: fmt.Sprint(n), Text: textNumber(n)})
	}
	log.TrimTo(Stream, 4)
	if _, err := Publish(context.Background(), log, "n", 0, textNumber(9)); err == nil {
		t.Fatal("a publish was accepted although nobody knows what is in force")
	}
	log.TrimTo(Stream, log.ReadPage(Stream, 1).Next)
	version, err := Recover(context.Background(), log, "r", textNumber(7))
	if err != nil {
		t.Fatal(err)
	}
	f, err := ReadAll(context.Background(), log)
	if err != nil || f.Snapshot().Version != version || f.Undecided() {
		t.Fatalf("%+v %v", f.Snapshot(), err)
	}
}

func TestBadTextChangesNothing(t *testing.T) {
	log := standin.NewLog()
	appendRecord(t, log, Record{Type: TypePublish, Nonce: "a", Text: textNumber(1)})
	appendRecord(t, log, Record{Type: TypePublish, Nonce: "b", Base: 1, Text: "schema = 2"})
	f := NewStateMachine()
	f.Apply(log.ReadPage(Stream, 1))
	verdicts := f.TakeVerdicts()
	if f.Snapshot().Version != 1 || verdicts[1].Accepted || verdicts[1].Err == nil {
		t.Fatalf("%+v %+v", f.Snapshot(), verdicts)
	}
}
