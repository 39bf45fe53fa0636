package explain

import (
	"strings"
	"testing"

	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/logging"
)

// What the product's logger writes is read back, quotes and all, also behind the
// prefix of whoever collected it.
func TestLinesOfTheLoggerAreReadBack(t *testing.T) {
	var out strings.Builder
	logging.New(&out, "entry-1").Info("request_done", "request_id", "r1", "detail", `dial "x": no way`, "empty", "", "n", 3)
	l, ok := Parse("   7.5 entry-1 " + out.String())
	if !ok || l.Event != "request_done" || l.Process != "entry-1" || l.Time.IsZero() {
		t.Fatalf("%v %+v", ok, l)
	}
	for key, want := range map[string]string{"request_id": "r1", "detail": `dial "x": no way`, "empty": "", "n": "3"} {
		if got := l.Get(key); got != want {
			t.Errorf("%s is %q, want %q", key, got, want)
		}
	}
	for _, text := range []string{"", "no line of ours", `time=2026-01-01T00:00:00Z msg="open`, "time=now msg=x", "time=2026-01-01T00:00:00Z level=INFO"} {
		if l, ok := Parse(text); ok {
			t.Errorf("%q reads as %+v", text, l)
		}
	}
}

// A request is sent to an engine of which the list has just said that it leaves,
// and fails. The story has both, in order, and nothing of other targets, other
// processes or other requests.
func TestStoryHasWhatDecided(t *testing.T) {
	var one, two strings.Builder
	entry, other := logging.New(&one, "entry-1"), logging.New(&two, "entry-2")
	logBoth := func(event string, kv ...any) {
		for _, l := range []logr.Logger{entry, other} {
			l.Info(event, kv...)
		}
	}
	logBoth("target_listed", "target", "i-1", "leaving", true)
	logBoth("target_listed", "target", "i-2", "leaving", false)
	logBoth("target_unlisted", "target", "i-1", "outcome", "in_doubt")
	logBoth("store_lost", "topic", "targets")
	entry.Info("request_sent", "request_id", "r1", "target", "i-1", "list_age", "2s")
	entry.Info("request_sent", "request_id", "r2", "target", "i-2")
	entry.Info("request_done", "request_id", "r1", "target", "i-1", "outcome", "target_failed")
	s, err := Read("r1", strings.NewReader(two.String()), strings.NewReader(one.String()))
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Lines) != 2 || s.Lines[1].Event != "request_done" {
		t.Errorf("lines %+v", s.Lines)
	}
	if len(s.StateChanges) != 3 || s.StateChanges[0].Get("target") != "i-1" || s.StateChanges[1].Get("outcome") != "in_doubt" || s.StateChanges[2].Event != "store_lost" {
		t.Errorf("beliefs %+v", s.StateChanges)
	}
	var told strings.Builder
	if err := s.Print(&told); err != nil || !strings.Contains(told.String(), "outcome=target_failed") {
		t.Errorf("%v: %s", err, told.String())
	}
}

// Lines were dropped while the request was under way, and the story says so. A
// request of which no line is left is told apart from one that went well.
func TestStoryAdmitsGaps(t *testing.T) {
	log := "time=2026-01-01T00:00:01Z level=INFO msg=request_sent process=e request_id=r1\n" +
		"time=2026-01-01T00:00:02Z level=WARN msg=log_lines_dropped process=e lines=7\n" +
		"time=2026-01-01T00:00:03Z level=INFO msg=request_done process=e request_id=r1\n"
	s, err := Read("r1", strings.NewReader(log))
	if err != nil || !s.Dropped {
		t.Errorf("%v %+v", err, s)
	}
	none, err := Read("r9", strings.NewReader(log))
	var told strings.Builder
	if err != nil || none.Print(&told) != nil || !strings.Contains(told.String(), "no line tells") {
		t.Errorf("%v: %s", err, told.String())
	}
}

// A caller comes three times, at two entries, and is refused at last. The story of the
// last try tells the ends under the earlier ones; asked for by what the tries have in
// common, it tells all of them.
func TestStoryTellsWhatIsHeldAgainstARequest(t *testing.T) {
	var one, two strings.Builder
	entry, other := logging.New(&one, "entry-1"), logging.New(&two, "entry-2")
	other.Info("request_sent", "request_id", "r1", "print", "p", "target", "i-1")
	other.Info("request_blamed", "print", "p", "ends", 1)
	entry.Info("request_blamed", "print", "q", "ends", 1)
	entry.Info("request_quarantined", "print", "p", "ends", 3)
	entry.Info("request_done", "request_id", "r2", "print", "p", "outcome", "quarantined")
	read := func(id string) *Story {
		s, err := Read(id, strings.NewReader(two.String()), strings.NewReader(one.String()))
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	if s := read("r2"); len(s.Lines) != 1 || len(s.StateChanges) != 2 || s.StateChanges[0].Process != "entry-2" || s.StateChanges[1].Event != "request_quarantined" {
		t.Errorf("%+v", s)
	}
	if s := read("p"); len(s.Lines) != 2 || len(s.StateChanges) != 2 {
		t.Errorf("%+v", s)
	}
}
