package losses

import (
	"strings"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/logging"
)

// Of five prompts of one route one is in time, one waits at its engine, one takes longer
// than was expected, one is refused unsent and one caller leaves. Each is counted once,
// with what took the most time.
func TestRequestsAreCountedWithTheirReasons(t *testing.T) {
	var out strings.Builder
	log := logging.New(&out, "entry-1")
	send := func(id, wait, read string) {
		log.Info("request_sent", "request_id", id, "send", 1, "route", "r", "shared", 100, "held", 60, "fetched", 30, "wait", wait, "read", read, "fetch", "5ms", "kept", "1ms")
	}
	done := func(id, outcome, first string) {
		log.Info("request_done", "request_id", id, "outcome", outcome, "route", "r", "first", first)
	}
	send("in-time", "10ms", "90ms")
	done("in-time", "answered", "120ms")
	send("waits", "700ms", "90ms")
	done("waits", "answered", "800ms")
	send("slow", "10ms", "90ms")
	done("slow", "answered", "2s")
	done("refused", "deadline_unmeetable", "0s")
	send("gone", "10ms", "90ms")
	done("gone", "cancelled", "0s")
	log.Info("target_listed", "target", "i-1")

	rows, err := Read(Options{Window: time.Hour, DefaultObjective: time.Second, Objectives: map[string]time.Duration{"r": 400 * time.Millisecond}}, strings.NewReader(out.String()+"no line of ours\n"))
	if err != nil || len(rows) != 1 {
		t.Fatalf("%+v, %v", rows, err)
	}
	r := rows[0]
	if r.Requests != 5 || r.InTime != 1 || r.Late != 2 || r.Cancelled != 1 || r.SharedTokens != 400 || r.CachedTokens != 240 || r.FetchedTokens != 120 {
		t.Errorf("%+v", r)
	}
	for reason, want := range map[string]int{"late: " + ReasonEngineWait: 1, "late: " + ReasonUnexpected: 1, "deadline_unmeetable": 1} {
		if r.Reasons[reason] != want {
			t.Errorf("%s: %d, want %d; all are %v", reason, r.Reasons[reason], want, r.Reasons)
		}
	}
}

func TestLogsWithoutRequestsMakeAnEmptyTable(t *testing.T) {
	rows, err := Read(Options{Window: time.Second}, strings.NewReader("nothing\n"))
	if err != nil || len(rows) != 0 {
		t.Errorf("%v, %v", rows, err)
	}
}
