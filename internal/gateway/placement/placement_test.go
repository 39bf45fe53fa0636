package placement

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

func question() *Input {
	return &Input{Family: 7, SharedTokens: 5000, OwnTokens: 5000, MaxTokens: 500, CrossZoneCost: CrossZoneCost, MaxStaleness: 8 * time.Second, LatePriority: 9,
		PrefillTime: func(tokens int) time.Duration { return time.Duration(tokens) * time.Millisecond / 50 }}
}

func engine(hash uint64) Candidate {
	return Candidate{Hash: hash, SameZone: true, Slots: 64, Memory: 250_000, Version: 2}
}

// No choice falls on an engine that loads, leaves, or has weights that no
// request may begin on any more, whatever it holds.
func TestUnusableEnginesAreNeverChosen(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		candidates := make([]Candidate, rapid.IntRange(1, 12).Draw(rt, "engines"))
		for i := range candidates {
			c := engine(rapid.Uint64().Draw(rt, "hash"))
			c.Excluded, c.Loading, c.Ejected = rapid.Bool().Draw(rt, "excluded"), rapid.Bool().Draw(rt, "loading"), rapid.Bool().Draw(rt, "rested")
			c.StaleFor = time.Duration(rapid.IntRange(0, 12).Draw(rt, "behind")) * time.Second
			c.CachedTokens = rapid.IntRange(0, 5000).Draw(rt, "held")
			c.Work = ledger.Work{Running: rapid.IntRange(0, 200).Draw(rt, "running"), Prefill: ledger.AtPriority(rapid.IntRange(0, 9).Draw(rt, "urgency"), time.Duration(rapid.IntRange(0, 2000).Draw(rt, "reading"))*time.Millisecond)}
			candidates[i] = c
		}
		q := question()
		choice := Pick(q, candidates)
		free := false
		for i := range candidates {
			free = free || filter(q, &candidates[i]) == ""
		}
		if choice.Index < 0 {
			if free {
				rt.Fatal("no choice although an engine is usable")
			}
			return
		}
		if c := candidates[choice.Index]; c.Excluded || c.Loading || c.StaleFor >= q.MaxStaleness {
			rt.Fatalf("chose %+v", c)
		}
	})
}

// A family's prompts go to one engine while it is no busier than others, and to
// the one that holds the parts when that is another.
func TestFamilyStaysTogether(t *testing.T) {
	candidates := []Candidate{engine(1), engine(2), engine(3)}
	first := Pick(question(), candidates).Index
	for range 5 {
		if got := Pick(question(), candidates).Index; got != first {
			t.Fatalf("engine %d, then %d", first, got)
		}
	}
	holder := (first + 1) % 3
	candidates[holder].CachedTokens = 5000
	if got := Pick(question(), candidates).Index; got != holder {
		t.Errorf("engine %d, though %d holds the parts", got, holder)
	}
}

// A hot family's engine has a queue that costs more than reading the parts
// again elsewhere. The request goes elsewhere.
func TestHotFamilySpreads(t *testing.T) {
	candidates := []Candidate{engine(1), engine(2)}
	candidates[0].CachedTokens = 5000
	candidates[0].Work = ledger.Work{Running: 30, Prefill: ledger.AtPriority(0, 1200*time.Millisecond)}
	if got := Pick(question(), candidates).Index; got != 1 {
		t.Errorf("engine %d", got)
	}
}

// Parts that can be fetched make an idle engine as good as the holder.
func TestFetchingBeatsWaiting(t *testing.T) {
	source := netip.MustParseAddrPort("10.0.0.9:80")
	candidates := []Candidate{engine(1), engine(2)}
	candidates[0].CachedTokens = 5000
	candidates[0].Work = ledger.Work{Running: 8, Prefill: ledger.AtPriority(0, 120*time.Millisecond)}
	candidates[1].FetchableTokens, candidates[1].Source = 5000, Source{Address: source, SameZone: true, TokensPerMs: 300}
	choice := Pick(question(), candidates)
	if choice.Index != 1 || choice.FetchFrom != source {
		t.Errorf("%+v", choice)
	}
	if choice.Prefill >= 110*time.Millisecond {
		t.Errorf("reads for %v although half is fetched", choice.Prefill)
	}
}

// Another zone is used only when waiting in the own one costs more than the way.
func TestOtherZoneIsForOverload(t *testing.T) {
	near, far := engine(1), engine(2)
	far.SameZone = false
	near.Work.Prefill = ledger.AtPriority(0, 60*time.Millisecond)
	if got := Pick(question(), []Candidate{near, far}).Index; got != 0 {
		t.Error("left the zone for 60 ms of waiting")
	}
	near.Work.Prefill = ledger.AtPriority(0, 400*time.Millisecond)
	if got := Pick(question(), []Candidate{near, far}).Index; got != 1 {
		t.Error("stayed in the zone for 400 ms of waiting")
	}
}

// Rested engines come last, and are used when there is no other.
func TestRestedEngineIsTheLastResort(t *testing.T) {
	rested, busy := engine(1), engine(2)
	rested.Ejected = true
	busy.Work = ledger.Work{Running: 100, Prefill: ledger.AtPriority(0, 2000*time.Millisecond)}
	if got := Pick(question(), []Candidate{rested, busy}).Index; got != 1 {
		t.Errorf("engine %d", got)
	}
	if got := Pick(question(), []Candidate{rested}).Index; got != 0 {
		t.Errorf("engine %d", got)
	}
}

// Older weights count in full for a moment after newer ones are named, and much
// less from then on.
func TestOlderWeightsYieldAfterTheGrace(t *testing.T) {
	older, newer := engine(1), engine(2)
	older.CachedTokens, older.StaleFor = 5000, graceAge/2
	newer.Work.Prefill = ledger.AtPriority(0, 40*time.Millisecond)
	if got := Pick(question(), []Candidate{older, newer}).Index; got != 0 {
		t.Error("left the older weights within the grace")
	}
	older.StaleFor = graceAge + time.Second
	if got := Pick(question(), []Candidate{older, newer}).Index; got != 1 {
		t.Error("stayed on the older weights after the grace")
	}
}

// A burst has filled all engines beyond the aim. What comes then goes behind what
// can still be in time, so that the next request that is small enough is.
func TestLatePromptsGoBehindTheOthers(t *testing.T) {
	q := question()
	q.Objective = 400 * time.Millisecond
	busy := engine(1)
	busy.Work.Prefill = ledger.AtPriority(0, 2*time.Second)
	if got := Pick(q, []Candidate{busy}); !got.Late {
		t.Errorf("%+v", got)
	}
	behind := engine(1)
	behind.Work.Prefill = ledger.AtPriority(9, 2*time.Second)
	if got := Pick(q, []Candidate{behind}); got.Late || got.Wait > 100*time.Millisecond {
		t.Errorf("a prompt waits for those that are late: %+v", got)
	}
}

// A long prompt comes while weights roll. The idle engine loads before it could
// read the prompt, and would give it back; one that is busier but has loaded
// already reads it once.
func TestLongPromptAvoidsAnEngineThatIsAboutToLoad(t *testing.T) {
	about, loaded := engine(1), engine(2)
	about.LoadScheduled, about.LoadStartsIn = true, 200*time.Millisecond
	loaded.Work.Prefill = ledger.AtPriority(0, 300*time.Millisecond)
	q := question()
	q.OwnTokens = 40_000
	if got := Pick(q, []Candidate{about, loaded}).Index; got != 1 {
		t.Error("a long prompt goes to the engine that is about to load")
	}
	q.OwnTokens, q.SharedTokens = 2000, 500
	if got := Pick(q, []Candidate{about, loaded}).Index; got != 0 {
		t.Error("a short prompt does not use the engine until it loads")
	}
}

// More long prompts come than an engine's memory holds, and short ones of an urgent
// route beside them. Those are admitted first, and the long ones make room: they are
// expected at once, and not after all long ones.
func TestUrgentPromptsDoNotWaitForLongOnes(t *testing.T) {
	full := engine(1)
	full.Memory = 100_000
	full.Work = ledger.Work{Running: 30, Prefill: ledger.AtPriority(1, 3*time.Second), Memory: ledger.AtPriority(1, 140_000)}
	q := &Input{Family: 7, SharedTokens: 200, OwnTokens: 600, MaxTokens: 100, Objective: 400 * time.Millisecond, MaxStaleness: 8 * time.Second,
		Priority: 0, LatePriority: 5, PrefillTime: question().PrefillTime}
	got := Pick(q, []Candidate{full})
	if got.Late || got.Estimate > q.Objective || got.Priority != 0 {
		t.Errorf("urgent: %+v", got)
	}
	q.Priority, q.LatePriority = 1, 6
	if got := Pick(q, []Candidate{full}); !got.Late || got.Estimate < 3*time.Second || got.Priority != 6 {
		t.Errorf("less urgent: %+v", got)
	}
}

// Long prompts wait in front of engines whose memory other long prompts have taken. Sent
// there they would be admitted as soon as they fit, preempted by the next urgent prompt,
// and read again. An urgent prompt goes there all the same: engines make room for it.
func TestLongPromptsLeaveMemoryForUrgentOnes(t *testing.T) {
	taken := engine(1)
	taken.Memory = 140_000
	taken.Work = ledger.Work{Running: 10, Memory: ledger.AtPriority(1, 115_000)}
	long := question()
	long.Priority, long.MaxMemoryShare = 1, LowPriorityMemoryShare
	if got := Pick(long, []Candidate{taken}); got.Index >= 0 {
		t.Error("a long prompt was sent where it would be preempted")
	}
	if got := Pick(long, []Candidate{taken, engine(2)}); got.Index != 1 {
		t.Errorf("chose %d, want the engine with room", got.Index)
	}
	urgent := question()
	if got := Pick(urgent, []Candidate{taken}); got.Index != 0 {
		t.Error("an urgent prompt was turned away")
	}
	long.MaxMemoryShare = RetryMemoryShare
	if got := Pick(long, []Candidate{taken}); got.Index != 0 {
		t.Error("a caller that came back was turned away although there is room for it")
	}
}

// Prompts of very different lengths come, and engines are nearly full all the time. The
// longest must find room about as often as the others; one that is alone finds it always.
func TestLongestPromptsFindRoomLikeOthers(t *testing.T) {
	full := engine(1)
	full.Memory = 140_000
	full.Work = ledger.Work{Running: 8, Memory: ledger.AtPriority(1, 100_000)}
	longest := question()
	longest.OwnTokens, longest.MaxMemoryShare = 60_000, LowPriorityMemoryShare
	if got := Pick(longest, []Candidate{full}); got.Index != 0 {
		t.Error("the longest prompt finds no room where one of 17,000 tokens would")
	}
	longest.OwnTokens = 200_000
	empty := engine(2)
	empty.Memory = 140_000
	if got := Pick(longest, []Candidate{empty}); got.Index != 0 {
		t.Error("a prompt larger than an engine's share finds no engine at all")
	}
}

// Urgent prompts take four fifths of an engine's time. A less urgent one waits five times
// as long as what is before it takes: expected without them, it is promised too soon.
func TestWaitCountsUrgentPromptsThatAreYetToCome(t *testing.T) {
	c := engine(1)
	c.Work.Prefill = ledger.AtPriority(1, 200*time.Millisecond)
	q := question()
	q.Priority = 1
	quiet := Pick(q, []Candidate{c}).Wait
	c.OfferedLoad = ledger.AtPriority(0, 400)
	if busy := Pick(q, []Candidate{c}).Wait; busy < quiet*3/2 {
		t.Errorf("waits %v with urgent prompts in 0.4 of the time, %v without", busy, quiet)
	}
	q.Priority = 0
	if got := Pick(q, []Candidate{c}).Wait; got > quiet {
		t.Errorf("an urgent prompt waits %v for those like it that are yet to come", got)
	}
}
