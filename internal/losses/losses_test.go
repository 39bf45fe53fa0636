package losses

import (
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/logging"
)

// Each request must be counted once: in time, late with its main reason, refused or cancelled.
func TestReadCountsRequestsByReason(t *testing.T) {
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

	rows, err := Read(Options{Window: time.Hour, DefaultObjective: time.Second, Objectives: map[string]time.Duration{"r": 400 * time.Millisecond}}, strings.NewReader(out.String()+"not a log line\n"))
	if err != nil || len(rows) != 1 {
		t.Fatalf("%+v, %v", rows, err)
	}
	r := rows[0]
	if r.Requests != 5 || r.InTime != 1 || r.Late != 2 || r.Cancelled != 1 || r.SharedTokens != 400 || r.CachedTokens != 240 || r.FetchedTokens != 120 {
		t.Errorf("%+v", r)
	}
	for reason, want := range map[string]int{"late: " + ReasonEngineWait: 1, "late: " + ReasonUnexpected: 1, "deadline_unmeetable": 1} {
		if r.Reasons[reason] != want {
			t.Errorf("reason %q: %d, want %d; all reasons: %v", reason, r.Reasons[reason], want, r.Reasons)
		}
	}
}

// Guards against refusals and detours that do not show what targets had stated.
func TestReadNamesWhatTargetsStated(t *testing.T) {
	var out strings.Builder
	log := logging.New(&out, "entry-1")
	log.Info("request_sent", "request_id", "detour", "send", 1, "route", "r", "avoided", "i-1@17:rate_limit,i-2@17:rest,i-3@18:rest")
	log.Info("request_done", "request_id", "detour", "outcome", "answered", "route", "r", "first", "5ms")
	log.Info("request_done", "request_id", "refused", "outcome", "throttled", "route", "r", "detail", "all targets of a:b have asked for fewer requests: i-1@17:rate_limit,i-2@17:rest")
	log.Info("request_done", "request_id", "gate", "outcome", "throttled", "route", "r", "detail", "the target has asked for no requests")
	rows, err := Read(Options{Window: time.Hour, DefaultObjective: time.Second}, strings.NewReader(out.String()))
	if err != nil || len(rows) != 1 {
		t.Fatalf("%+v, %v", rows, err)
	}
	if want := map[string]int{"rate_limit": 1, "rest": 1}; !maps.Equal(rows[0].Detours, want) {
		t.Errorf("detours %v, want %v", rows[0].Detours, want)
	}
	if want := map[string]int{"throttled": 1, "throttled: rate_limit and rest": 1}; !maps.Equal(rows[0].Reasons, want) {
		t.Errorf("reasons %v, want %v", rows[0].Reasons, want)
	}
}

func TestReadWithoutRequestsReturnsNoRows(t *testing.T) {
	rows, err := Read(Options{Window: time.Second}, strings.NewReader("nothing\n"))
	if err != nil || len(rows) != 0 {
		t.Errorf("%v, %v", rows, err)
	}
}
