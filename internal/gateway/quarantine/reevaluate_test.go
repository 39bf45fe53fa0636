package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// Guards against records of others that fill the memory while more arrive than are passed on, and against records
// that are passed on twice.
func TestPendingForwardsAreBounded(t *testing.T) {
	var u updateQueue
	for range 2 {
		for fp := range Fingerprint(maxPendingUpdates + 10) {
			u.add(fp)
		}
	}
	taken := 0
	for fp, ok := u.take(); ok; fp, ok = u.take() {
		if fp != Fingerprint(taken) {
			t.Fatalf("record %d is taken as number %d", fp, taken)
		}
		taken++
	}
	if taken != maxPendingUpdates || len(u.pending) > 0 {
		t.Errorf("%d records were taken, want %d; %d are left", taken, maxPendingUpdates, len(u.pending))
	}
}

// Guards against a process that evaluates all its records for each of the thousands that change when many targets
// crash, and against findings that come late then.
func TestManyChangedRecordsAreEvaluatedTogether(t *testing.T) {
	const (
		records = 1800
		span    = time.Second
		// maxEvaluations is the most in that time, maxDelay how late a finding may be.
		maxEvaluations = 40
		maxDelay       = 100 * time.Millisecond
	)
	q := NewRegistry(Limits{MaxCrashes: 3, SuspectFor: time.Hour, RefuseFor: time.Hour, MaxRecords: 2 * records}, simObserver{&sim{refusedAt: map[Fingerprint][]time.Duration{}}})
	add := func(i int, at time.Time) {
		q.Merge(Record{Fingerprint: Fingerprint(i + 1), Crashes: []Crash{{Target: fleet.ID(i%50 + 1), At: at}}}, false, at)
	}
	for i := range records {
		add(i, testStart)
	}
	evaluations, last := 0, q.evaluatedAt
	for i := range records {
		now := testStart.Add(time.Second + span*time.Duration(i)/records)
		add(i, now.Add(-2*time.Second)) // a change, as the earliest time of a crash counts
		q.Status(Fingerprint(i+1), now)
		if q.evaluatedAt != last {
			evaluations, last = evaluations+1, q.evaluatedAt
		}
	}
	if evaluations == 0 || evaluations > maxEvaluations {
		t.Errorf("%d evaluations in %v, want at most %d", evaluations, span, maxEvaluations)
	}
	now, fatal := testStart.Add(time.Minute), Fingerprint(1<<40)
	q.Reevaluate(now)
	for step := range 3 {
		q.AttributeCrash(fatal, Caller{}, Crash{Target: fleet.ID(1000 + step), Step: step, At: now})
	}
	if s := q.Status(fatal, now.Add(maxDelay)); s.Verdict != Held {
		t.Errorf("%v after its third crash a request is %v, want held", maxDelay, fmt.Sprint(s.Verdict))
	}
}
