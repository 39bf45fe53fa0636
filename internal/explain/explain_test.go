package explain

import (
	"strings"
	"testing"

	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/logging"
)

// Lines written by package logging must parse, with quoted values and a collector's prefix.
func TestParseReadsLoggerOutput(t *testing.T) {
	var out strings.Builder
	logging.New(&out, "entry-1").Info("request_done", "request_id", "r1", "detail", `dial "x": no way`, "empty", "", "n", 3)
	l, ok := Parse("   7.5 entry-1 " + out.String())
	if !ok || l.Event != "request_done" || l.Process != "entry-1" || l.Time.IsZero() {
		t.Fatalf("Parse reported %v with %+v", ok, l)
	}
	for key, want := range map[string]string{"request_id": "r1", "detail": `dial "x": no way`, "empty": "", "n": "3"} {
		if got := l.Get(key); got != want {
			t.Errorf("field %s is %q, want %q", key, got, want)
		}
	}
	for _, text := range []string{"", "not a log line", `time=2026-01-01T00:00:00Z msg="open`, "time=now msg=x", "time=2026-01-01T00:00:00Z level=INFO"} {
		if l, ok := Parse(text); ok {
			t.Errorf("Parse(%q) = %+v, want a rejection", text, l)
		}
	}
}

// A story must contain the state changes that explain a failed send, and nothing about other
// targets, processes or requests.
func TestStoryIncludesOnlyRelevantStateChanges(t *testing.T) {
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
		t.Errorf("state changes %+v", s.StateChanges)
	}
	var printed strings.Builder
	if err := s.Print(&printed); err != nil || !strings.Contains(printed.String(), "outcome=target_failed") {
		t.Errorf("%v: %s", err, printed.String())
	}
}

// The story of an attempt must include the tries that resume its stream, at whichever entry.
func TestStoryIncludesResumptions(t *testing.T) {
	var one, two strings.Builder
	logging.New(&one, "entry-1").Info("request_sent", "request_id", "r1", "target", "i-1", "version", "v1")
	entry := logging.New(&two, "entry-2")
	entry.Info("stream_start", "request_id", "r2", "resumes", "r1", "version", "v1", "source", "peer")
	entry.Info("request_sent", "request_id", "r2", "resumes", "r1", "target", "i-2", "version", "v1")
	entry.Info("request_done", "request_id", "r2", "resumes", "r1", "outcome", "answered")
	entry.Info("request_sent", "request_id", "r3", "resumes", "", "target", "i-2")
	s, err := Read("r1", strings.NewReader(one.String()), strings.NewReader(two.String()))
	if err != nil || len(s.Lines) != 4 || s.Lines[1].Get("source") != "peer" {
		t.Errorf("error %v, lines %+v", err, s.Lines)
	}
}

// Guards against a line of a story that is broken into several by a value with line ends.
func TestStoryHasOneLineForEachEvent(t *testing.T) {
	var log strings.Builder
	logging.New(&log, "entry-1").Info("send_failed", "request_id", "r1", "head", "HTTP/1.1 421 X\r\nInstance: i-2\r\n", "target", "i-1")
	s, err := Read("r1", strings.NewReader(log.String()))
	if err != nil {
		t.Fatal(err)
	}
	var printed strings.Builder
	if err := s.Print(&printed); err != nil || !strings.Contains(printed.String(), `head="HTTP/1.1 421 X\r\nInstance: i-2\r\n" target=i-1`) {
		t.Errorf("%v: %s", err, printed.String())
	}
}

// A story must say that log lines were dropped, and that a request has no lines at all.
func TestStoryReportsDroppedAndMissingLines(t *testing.T) {
	log := "time=2026-01-01T00:00:01Z level=INFO msg=request_sent process=e request_id=r1\n" +
		"time=2026-01-01T00:00:02Z level=WARN msg=log_lines_dropped process=e lines=7\n" +
		"time=2026-01-01T00:00:03Z level=INFO msg=request_done process=e request_id=r1\n"
	s, err := Read("r1", strings.NewReader(log))
	if err != nil || !s.Dropped {
		t.Errorf("%v %+v", err, s)
	}
	none, err := Read("r9", strings.NewReader(log))
	var printed strings.Builder
	if err != nil || none.Print(&printed) != nil || !strings.Contains(printed.String(), "no log line mentions request r9") {
		t.Errorf("%v: %s", err, printed.String())
	}
}

// A story must say so if the lines of the request itself were dropped.
func TestStoryReportsDroppedLinesOfTheRequest(t *testing.T) {
	log := "time=2026-01-01T00:00:02Z level=WARN msg=log_lines_dropped process=e lines=7 routine=5 audit=2 requests=\"r1,r2\"\n"
	s, err := Read("r2", strings.NewReader(log))
	if err != nil || !s.Dropped || len(s.Lines) != 1 || s.Lines[0].Process != "e" {
		t.Errorf("error %v, story %+v", err, s)
	}
	if s, err := Read("r3", strings.NewReader(log)); err != nil || s.Dropped {
		t.Errorf("another request: error %v, story %+v", err, s)
	}
}

// The story of an attempt must include the quarantine events that earlier attempts caused at
// other entries. The story of a fingerprint must include all its attempts.
func TestStoryIncludesQuarantineEvents(t *testing.T) {
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
