package parts

import (
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// prefixTokens returns how many tokens of a prompt's prefix a target has cached.
func prefixTokens(x *Index, target fleet.ID, p []wire.Part, retention time.Duration, at time.Time) int {
	for _, prefix := range x.Prefixes(Keys("s", p), p[:len(p)-1], retention, at) {
		if prefix.Target == target {
			return prefix.Tokens
		}
	}
	return 0
}

// sizedPrompt returns a prompt whose parts x, y, z and own have the given numbers of tokens.
func sizedPrompt(tokens ...int) []wire.Part {
	names := []string{"x", "y", "z", "own"}
	var p []wire.Part
	for i, n := range tokens {
		p = append(p, wire.Part{ID: names[i], Tokens: n})
	}
	return p
}

// Parts after an evicted one don't count: they are unusable without it.
func TestPrefixEndsAtMissingPart(t *testing.T) {
	x := NewIndex()
	p := sizedPrompt(1000, 2000, 500)
	x.RecordReport(1, KeyOf("s", "y"), 2000, now)
	if got := prefixTokens(x, 1, p, time.Minute, now); got != 0 {
		t.Errorf("prefix has %d tokens without the first part, want 0", got)
	}
	x.RecordReport(1, KeyOf("s", "x"), 992, now)
	if got := prefixTokens(x, 1, p, time.Minute, now); got != 2992 {
		t.Errorf("prefix has %d tokens, want 2992: the first part lacks less than a block", got)
	}
	x.RecordReport(1, KeyOf("s", "x"), 400, now)
	if got := prefixTokens(x, 1, p, time.Minute, now); got != 400 {
		t.Errorf("prefix has %d tokens of a partly evicted part, want 400", got)
	}
}

// A reported eviction overrides a recorded send. Otherwise prompts would be sent to an
// engine that has evicted the part they share.
func TestReportedEvictionOverridesSend(t *testing.T) {
	x := NewIndex()
	p := sizedPrompt(1000, 500)
	x.Record(1, Keys("s", p), true, now)
	if got := prefixTokens(x, 1, p, time.Minute, now); got != 1000 {
		t.Errorf("prefix has %d tokens after the send, want 1000", got)
	}
	x.RecordReport(1, KeyOf("s", "x"), 0, now.Add(time.Second))
	if got := prefixTokens(x, 1, p, time.Minute, now.Add(time.Second)); got != 0 {
		t.Errorf("prefix has %d tokens after the reported eviction, want 0", got)
	}
}

// A process that has just started knows only reports. They are valid for reportTTL,
// whatever the retention.
func TestReportAloneSuffices(t *testing.T) {
	x := NewIndex()
	p := sizedPrompt(1000, 500)
	x.RecordReport(1, KeyOf("s", "x"), 1000, now)
	if got := prefixTokens(x, 1, p, time.Second, now.Add(reportTTL)); got != 1000 {
		t.Errorf("prefix has %d tokens, want 1000: retention does not limit reports", got)
	}
	if got := prefixTokens(x, 1, p, time.Second, now.Add(reportTTL+1)); got != 0 {
		t.Errorf("prefix has %d tokens from an expired report, want 0", got)
	}
}

// A part stays in progress while reports show how it fills. Otherwise other prompts would
// stop waiting for it and compute the rest themselves.
func TestReportsDoNotEndPrefillInProgress(t *testing.T) {
	x := NewIndex()
	k := KeyOf("s", "x")
	x.Record(1, []Key{k}, false, now)
	x.RecordReport(1, k, 512, now.Add(time.Millisecond))
	if got := x.StateAt(k, 5000, 1, now.Add(2*time.Millisecond)); got != InProgress {
		t.Errorf("state %v, want in progress", got)
	}
	x.RecordReport(1, k, 0, now.Add(3*time.Millisecond))
	if got := x.StateAt(k, 5000, 1, now.Add(4*time.Millisecond)); got != InProgress {
		t.Errorf("state %v after the reported eviction of an earlier copy, want in progress", got)
	}
}

// A partly evicted part counts as absent: prompts wait for its new prefill and offload it
// again.
func TestPartlyEvictedPartIsAbsent(t *testing.T) {
	x := NewIndex()
	k := KeyOf("s", "x")
	x.RecordReport(1, k, 512, now)
	if got := x.StateAt(k, 5000, 1, now); got != Absent {
		t.Errorf("state %v, want absent", got)
	}
	if got := x.StateAt(k, 520, 1, now); got != Cached {
		t.Errorf("state %v of a part that lacks less than a block, want cached", got)
	}
	x.Record(2, []Key{k}, false, now)
	seen := map[fleet.ID]State{}
	x.VisitLocations(k, 5000, now, func(target fleet.ID, s State) { seen[target] = s })
	if len(seen) != 1 || seen[2] != InProgress {
		t.Errorf("locations %v, want target 2 in progress only", seen)
	}
}

// A partly cached part that is computed again is in progress, and becomes cached when the
// engine reports all of it.
func TestRepeatedPrefillOfPartlyEvictedPart(t *testing.T) {
	x := NewIndex()
	k := KeyOf("s", "x")
	x.RecordReport(1, k, 512, now)
	x.Record(1, []Key{k}, false, now)
	if got := x.StateAt(k, 5000, 1, now); got != InProgress {
		t.Errorf("state %v, want in progress", got)
	}
	if got := prefixTokens(x, 1, sizedPrompt(5000, 10), time.Minute, now); got != 512 {
		t.Errorf("prefix has %d tokens during the prefill, want 512", got)
	}
	x.RecordReport(1, k, 5000, now)
	if got := x.StateAt(k, 5000, 1, now); got != Cached {
		t.Errorf("state %v after the report of all tokens, want cached", got)
	}
}

// A delayed report of an incomplete part doesn't override a prefill that finished meanwhile.
func TestDelayedReportDoesNotOverrideFinishedPrefill(t *testing.T) {
	x := NewIndex()
	k := KeyOf("s", "x")
	x.Record(1, []Key{k}, false, now)
	x.Record(1, []Key{k}, true, now.Add(100*time.Millisecond))
	for _, late := range []int{2048, 0} {
		x.RecordReport(1, k, late, now.Add(200*time.Millisecond))
		if got := x.StateAt(k, 5000, 1, now.Add(200*time.Millisecond)); got != Cached {
			t.Errorf("delayed report of %d tokens: state %v, want cached", late, got)
		}
	}
	x.RecordReport(1, k, 2048, now.Add(101*time.Millisecond+maxReportDelay))
	if got := x.StateAt(k, 5000, 1, now.Add(101*time.Millisecond+maxReportDelay)); got != Absent {
		t.Errorf("state %v after a newer report, want absent", got)
	}
}
