package parts

import (
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// prefixOf is how many tokens of a prompt's beginning a target is believed to hold.
func prefixOf(b *Index, target fleet.ID, p []wire.Part, kept time.Duration, at time.Time) int {
	for _, one := range b.Prefixes(Keys("s", p), p[:len(p)-1], kept, at) {
		if one.Target == target {
			return one.Tokens
		}
	}
	return 0
}

func sized(tokens ...int) []wire.Part {
	names := []string{"x", "y", "z", "own"}
	var p []wire.Part
	for i, n := range tokens {
		p = append(p, wire.Part{ID: names[i], Tokens: n})
	}
	return p
}

// A part is of no use without those before it: a prompt whose first part was dropped
// is read from the start, whatever else the engine holds.
func TestPartsCountOnlyAfterThoseBefore(t *testing.T) {
	b := NewIndex()
	p := sized(1000, 2000, 500)
	b.RecordReport(1, KeyOf("s", "y"), 2000, now)
	if got := prefixOf(b, 1, p, time.Minute, now); got != 0 {
		t.Errorf("%d tokens without the first part", got)
	}
	b.RecordReport(1, KeyOf("s", "x"), 992, now)
	if got := prefixOf(b, 1, p, time.Minute, now); got != 2992 {
		t.Errorf("%d tokens; a part is whole but for its last block", got)
	}
	b.RecordReport(1, KeyOf("s", "x"), 400, now)
	if got := prefixOf(b, 1, p, time.Minute, now); got != 400 {
		t.Errorf("%d tokens of a part that is dropped block by block", got)
	}
}

// An engine drops a part a moment after a prompt that used it. The process that sent
// the prompt would believe it for seconds, and send there what shares the part.
func TestDroppedPartOverrulesWhatWasSent(t *testing.T) {
	b := NewIndex()
	p := sized(1000, 500)
	b.Record(1, Keys("s", p), true, now)
	if got := prefixOf(b, 1, p, time.Minute, now); got != 1000 {
		t.Errorf("%d tokens after the send", got)
	}
	b.RecordReport(1, KeyOf("s", "x"), 0, now.Add(time.Second))
	if got := prefixOf(b, 1, p, time.Minute, now.Add(time.Second)); got != 0 {
		t.Errorf("%d tokens after the engine's word", got)
	}
}

// A process has just started. What an engine says of its cache is all that it knows,
// and holds for as long as it is repeated.
func TestEnginesWordAloneIsEnough(t *testing.T) {
	b := NewIndex()
	p := sized(1000, 500)
	b.RecordReport(1, KeyOf("s", "x"), 1000, now)
	if got := prefixOf(b, 1, p, time.Second, now.Add(sureFor)); got != 1000 {
		t.Errorf("%d tokens; what is kept for a second only was not guessed here", got)
	}
	if got := prefixOf(b, 1, p, time.Second, now.Add(sureFor+1)); got != 0 {
		t.Errorf("%d tokens by a word that is too old", got)
	}
}

// A prompt is being read and its part fills block by block. Others wait for it on, in
// place of reading the rest themselves.
func TestPartThatIsReadStaysComing(t *testing.T) {
	b := NewIndex()
	k := KeyOf("s", "x")
	b.Record(1, []Key{k}, false, now)
	b.RecordReport(1, k, 512, now.Add(time.Millisecond))
	if got := b.StateAt(k, 5000, 1, now.Add(2*time.Millisecond)); got != InProgress {
		t.Errorf("state %v", got)
	}
	b.RecordReport(1, k, 0, now.Add(3*time.Millisecond))
	if got := b.StateAt(k, 5000, 1, now.Add(4*time.Millisecond)); got != InProgress {
		t.Errorf("state %v after the word that an earlier copy was dropped", got)
	}
}

// A cache has dropped most blocks of a part. Prompts that share it wait for who reads
// it again, and save it again, as if it were gone.
func TestPartThatIsHeldInPartCountsAsGone(t *testing.T) {
	b := NewIndex()
	k := KeyOf("s", "x")
	b.RecordReport(1, k, 512, now)
	if got := b.StateAt(k, 5000, 1, now); got != Absent {
		t.Errorf("state %v", got)
	}
	if got := b.StateAt(k, 520, 1, now); got != Cached {
		t.Errorf("state %v but for its last block", got)
	}
	b.Record(2, []Key{k}, false, now)
	seen := map[fleet.ID]State{}
	b.VisitLocations(k, 5000, now, func(target fleet.ID, s State) { seen[target] = s })
	if len(seen) != 1 || seen[2] != InProgress {
		t.Errorf("holders %v", seen)
	}
}

// A part that is held in part is read again. It is coming there, and is no source for
// others yet.
func TestReadingAgainWhatIsHeldInPart(t *testing.T) {
	b := NewIndex()
	k := KeyOf("s", "x")
	b.RecordReport(1, k, 512, now)
	b.Record(1, []Key{k}, false, now)
	if got := b.StateAt(k, 5000, 1, now); got != InProgress {
		t.Errorf("state %v", got)
	}
	if got := prefixOf(b, 1, sized(5000, 10), time.Minute, now); got != 512 {
		t.Errorf("%d tokens while it is read", got)
	}
	b.RecordReport(1, k, 5000, now)
	if got := b.StateAt(k, 5000, 1, now); got != Cached {
		t.Errorf("state %v after the engine's word", got)
	}
}

// Engines tell of what they read block by block, and late. A part that a prompt has
// just been answered from is whole, whatever such a word says.
func TestLateWordOfAPartThatWasReadMeanwhile(t *testing.T) {
	b := NewIndex()
	k := KeyOf("s", "x")
	b.Record(1, []Key{k}, false, now)
	b.Record(1, []Key{k}, true, now.Add(100*time.Millisecond))
	for _, late := range []int{2048, 0} {
		b.RecordReport(1, k, late, now.Add(200*time.Millisecond))
		if got := b.StateAt(k, 5000, 1, now.Add(200*time.Millisecond)); got != Cached {
			t.Errorf("%d tokens: state %v", late, got)
		}
	}
	b.RecordReport(1, k, 2048, now.Add(101*time.Millisecond+settleTime))
	if got := b.StateAt(k, 5000, 1, now.Add(101*time.Millisecond+settleTime)); got != Absent {
		t.Errorf("state %v by a word that is newer", got)
	}
}
