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

// configText returns a small valid configuration that is unique to n.
func configText(n int) string {
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

// reader is a process that follows the stream.
type reader struct {
	machine        *StateMachine
	highestVersion uint64
}

func (r *reader) checkVersion(t *rapid.T) {
	v := r.machine.Snapshot().Version
	if v < r.highestVersion {
		t.Fatalf("version %d in force after version %d", v, r.highestVersion)
	}
	r.highestVersion = v
}

// Guards against a version that decreases and against readers that disagree, under
// concurrent publishes, late republishes, expired records, gaps and restarts.
func TestReadersConvergeAndVersionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		log := standin.NewLog()
		reference := &reader{machine: NewStateMachine()}
		readers := []*reader{{machine: NewStateMachine()}, {machine: NewStateMachine()}, {machine: NewStateMachine()}}
		accepted := map[uint64]string{}
		steps := rapid.IntRange(5, 60).Draw(rt, "steps")
		for n := range steps {
			switch rapid.SampledFrom([]string{"publish", "read", "republish", "trim", "sync", "replace"}).Draw(rt, "step") {
			case "publish":
				base := reference.machine.Snapshot().Version
				if rapid.Bool().Draw(rt, "stale") {
					base = rapid.Uint64Range(0, base).Draw(rt, "base")
				}
				appendRecord(rt, log, Record{Type: TypePublish, Nonce: fmt.Sprint(n), Base: base, Text: configText(n)})
				reference.machine.Apply(log.ReadPage(Stream, reference.machine.NextOffset()))
				s := reference.machine.Snapshot()
				accepted[s.Version] = s.Text
			case "republish":
				// Any reader republishes its version, however old.
				s := rapid.SampledFrom(readers).Draw(rt, "republisher").machine
				if snapshot := s.Snapshot(); snapshot.Version > 0 && !s.Undecided() {
					appendRecord(rt, log, Record{Type: TypeRepublish, Version: snapshot.Version, AsOf: snapshot.AsOf, Text: snapshot.Text})
				}
				reference.machine.Apply(log.ReadPage(Stream, reference.machine.NextOffset()))
			case "trim":
				trim(rt, log, reference.machine.Snapshot())
			case "read":
				r := rapid.SampledFrom(readers).Draw(rt, "reader")
				r.machine.Apply(log.ReadPage(Stream, r.machine.NextOffset()))
				r.checkVersion(rt)
			case "sync":
				r := rapid.SampledFrom(readers).Draw(rt, "syncing reader")
				peer := rapid.SampledFrom(readers).Draw(rt, "peer").machine.Snapshot()
				if peer.Version > r.machine.Snapshot().Version {
					r.machine.Adopt(peer)
				}
				r.checkVersion(rt)
			case "replace":
				readers[rapid.IntRange(0, 2).Draw(rt, "replaced")] = &reader{machine: NewStateMachine()}
			}
		}
		want := reference.machine.Snapshot()
		if want.Version > 0 {
			appendRecord(rt, log, Record{Type: TypeRepublish, Version: want.Version, AsOf: want.AsOf, Text: want.Text})
		}
		for i, r := range readers {
			r.machine.Apply(log.ReadPage(Stream, r.machine.NextOffset()))
			r.checkVersion(rt)
			s := r.machine.Snapshot()
			if s.Version > 0 && accepted[s.Version] != s.Text {
				rt.Fatalf("reader %d has version %d in force, which was never accepted", i, s.Version)
			}
			if want.Version > 0 && r.machine.Undecided() {
				rt.Fatalf("reader %d is undecided although the log shows the version in force", i)
			}
			if s.Version != want.Version {
				rt.Fatalf("reader %d has version %d in force, want %d", i, s.Version, want.Version)
			}
		}
	})
}

// trim drops old records, but not the newest copy of the version in force.
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

// lossyResponseLog fails the first appends after they took effect, and the read
// after each of them.
type lossyResponseLog struct {
	*standin.Log
	appendFailures int
	failNextRead   bool
}

func (l *lossyResponseLog) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	offset := l.AppendRecord(stream, data)
	if l.appendFailures > 0 {
		l.appendFailures--
		l.failNextRead = true
		return 0, errors.New("response lost")
	}
	return offset, nil
}

func (l *lossyResponseLog) Read(_ context.Context, stream string, from uint64) (*external.Page, error) {
	if l.failNextRead {
		l.failNextRead = false
		return nil, errors.New("response lost")
	}
	return l.ReadPage(stream, from), nil
}

// Guards against a duplicate or falsely failed publish after the response to the
// append was lost.
func TestPublishWithLostResponseIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &lossyResponseLog{Log: standin.NewLog(), appendFailures: 1}
		verdict, err := Publish(context.Background(), log, "n1", 0, configText(1))
		if err != nil || !verdict.Accepted {
			t.Fatalf("%+v %v", verdict, err)
		}
		if n := len(log.ReadPage(Stream, 1).Records); n != 1 {
			t.Fatalf("%d records, want 1", n)
		}
	})
}

// Guards against a lost update when two operators edit the same version. The error
// names the version to start from.
func TestConflictingPublishIsRejected(t *testing.T) {
	log := &lossyResponseLog{Log: standin.NewLog()}
	first, err := Publish(context.Background(), log, "n1", 0, configText(1))
	if err != nil {
		t.Fatal(err)
	}
	_, err = Publish(context.Background(), log, "n2", 0, configText(2))
	if !errors.Is(err, ErrConflict) || !strings.Contains(err.Error(), fmt.Sprintf("--base %d", first.Offset)) {
		t.Fatalf("%v", err)
	}
	second, err := Publish(context.Background(), log, "n3", first.Offset, configText(3))
	if err != nil || second.Offset <= first.Offset {
		t.Fatalf("%+v %v", second, err)
	}
}

// Guards against a configuration that cannot be recovered after the log and all
// processes have lost it.
func TestRecoverWithoutAnyCopy(t *testing.T) {
	log := &lossyResponseLog{Log: standin.NewLog()}
	for n := range 3 {
		appendRecord(t, log.Log, Record{Type: TypePublish, Base: uint64(n), Nonce: fmt.Sprint(n), Text: configText(n)})
	}
	log.TrimTo(Stream, 4)
	if _, err := Publish(context.Background(), log, "n", 0, configText(9)); err == nil {
		t.Fatal("a publish was accepted while the version in force is unknown")
	}
	log.TrimTo(Stream, log.ReadPage(Stream, 1).Next)
	version, err := Recover(context.Background(), log, "r", configText(7))
	if err != nil {
		t.Fatal(err)
	}
	m, err := ReadAll(context.Background(), log)
	if err != nil || m.Snapshot().Version != version || m.Undecided() {
		t.Fatalf("%+v %v", m.Snapshot(), err)
	}
}

func TestInvalidTextIsRejected(t *testing.T) {
	log := standin.NewLog()
	appendRecord(t, log, Record{Type: TypePublish, Nonce: "a", Text: configText(1)})
	appendRecord(t, log, Record{Type: TypePublish, Nonce: "b", Base: 1, Text: "schema = 2"})
	m := NewStateMachine()
	m.Apply(log.ReadPage(Stream, 1))
	verdicts := m.TakeVerdicts()
	if m.Snapshot().Version != 1 || verdicts[1].Accepted || verdicts[1].Err == nil {
		t.Fatalf("%+v %+v", m.Snapshot(), verdicts)
	}
}
