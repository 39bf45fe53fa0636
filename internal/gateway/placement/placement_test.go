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

func input() *Input {
	return &Input{Family: 7, SharedTokens: 5000, OwnTokens: 5000, MaxTokens: 500, CrossZoneCost: CrossZoneCost, MaxStaleness: 8 * time.Second, LatePriority: 9,
		PrefillTime: func(tokens int) time.Duration { return time.Duration(tokens) * time.Millisecond / 50 }}
}

func engine(hash uint64) Candidate {
	return Candidate{Hash: hash, SameZone: true, Slots: 64, Memory: 250_000, Version: 2}
}

// Engines that load, are leaving or have too old weights are never chosen, whatever they
// have cached.
func TestUnusableEnginesAreNeverChosen(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		candidates := make([]Candidate, rapid.IntRange(1, 12).Draw(rt, "engines"))
		for i := range candidates {
			c := engine(rapid.Uint64().Draw(rt, "hash"))
			c.Excluded, c.Loading, c.Ejected = rapid.Bool().Draw(rt, "excluded"), rapid.Bool().Draw(rt, "loading"), rapid.Bool().Draw(rt, "ejected")
			c.StaleFor = time.Duration(rapid.IntRange(0, 12).Draw(rt, "stale")) * time.Second
			c.CachedTokens = rapid.IntRange(0, 5000).Draw(rt, "cached")
			c.Work = ledger.Work{Running: rapid.IntRange(0, 200).Draw(rt, "running"), Prefill: ledger.AtPriority(rapid.IntRange(0, 9).Draw(rt, "priority"), time.Duration(rapid.IntRange(0, 2000).Draw(rt, "prefill"))*time.Millisecond)}
			candidates[i] = c
		}
		in := input()
		choice := Pick(in, candidates)
		usable := false
		for i := range candidates {
			usable = usable || filter(in, &candidates[i]) == ""
		}
		if choice.Index < 0 {
			if usable {
				rt.Fatal("no choice although an engine is usable")
			}
			return
		}
		if c := candidates[choice.Index]; c.Excluded || c.Loading || c.StaleFor >= in.MaxStaleness {
			rt.Fatalf("chose %+v", c)
		}
	})
}

// A family's prompts go to one engine while waits are equal, and to the engine that has
// the parts cached.
func TestFamilyStaysTogether(t *testing.T) {
	candidates := []Candidate{engine(1), engine(2), engine(3)}
	first := Pick(input(), candidates).Index
	for range 5 {
		if got := Pick(input(), candidates).Index; got != first {
			t.Fatalf("chose engine %d, then %d", first, got)
		}
	}
	holder := (first + 1) % 3
	candidates[holder].CachedTokens = 5000
	if got := Pick(input(), candidates).Index; got != holder {
		t.Errorf("chose engine %d, want %d, which has the parts cached", got, holder)
	}
}

// A hot family spreads once the queue of its engine costs more than another prefill.
func TestHotFamilySpreads(t *testing.T) {
	candidates := []Candidate{engine(1), engine(2)}
	candidates[0].CachedTokens = 5000
	candidates[0].Work = ledger.Work{Running: 30, Prefill: ledger.AtPriority(0, 1200*time.Millisecond)}
	if got := Pick(input(), candidates).Index; got != 1 {
		t.Errorf("chose engine %d, want the idle one", got)
	}
}

// An idle engine that can fetch the parts is preferred to a busy one that has them cached.
func TestFetchingBeatsWaiting(t *testing.T) {
	source := netip.MustParseAddrPort("10.0.0.9:80")
	candidates := []Candidate{engine(1), engine(2)}
	candidates[0].CachedTokens = 5000
	candidates[0].Work = ledger.Work{Running: 8, Prefill: ledger.AtPriority(0, 120*time.Millisecond)}
	candidates[1].FetchableTokens, candidates[1].Source = 5000, Source{Address: source, SameZone: true, TokensPerMs: 300}
	choice := Pick(input(), candidates)
	if choice.Index != 1 || choice.FetchFrom != source {
		t.Errorf("%+v", choice)
	}
	if choice.Prefill >= 110*time.Millisecond {
		t.Errorf("prefill takes %v although half is fetched", choice.Prefill)
	}
}

// Another zone is used only when the wait in the own zone exceeds the cross-zone cost.
func TestOtherZoneIsForOverload(t *testing.T) {
	local, remote := engine(1), engine(2)
	remote.SameZone = false
	local.Work.Prefill = ledger.AtPriority(0, 60*time.Millisecond)
	if got := Pick(input(), []Candidate{local, remote}).Index; got != 0 {
		t.Error("left the zone to avoid a wait of 60 ms")
	}
	local.Work.Prefill = ledger.AtPriority(0, 400*time.Millisecond)
	if got := Pick(input(), []Candidate{local, remote}).Index; got != 1 {
		t.Error("stayed in the zone for a wait of 400 ms")
	}
}

// Ejected engines are used only when there is no other.
func TestEjectedEngineIsTheLastResort(t *testing.T) {
	ejected, busy := engine(1), engine(2)
	ejected.Ejected = true
	busy.Work = ledger.Work{Running: 100, Prefill: ledger.AtPriority(0, 2000*time.Millisecond)}
	if got := Pick(input(), []Candidate{ejected, busy}).Index; got != 1 {
		t.Errorf("chose engine %d, want the busy one", got)
	}
	if got := Pick(input(), []Candidate{ejected}).Index; got != 0 {
		t.Errorf("chose engine %d, want the only one", got)
	}
}

// Guards against sends to engines that have just failed while all others are only out of memory: a
// prompt that can wait for memory must not use them up.
func TestPromptWaitsForMemoryInsteadOfAnEjectedEngine(t *testing.T) {
	full, ejected := engine(1), engine(2)
	full.Work.Memory = ledger.AtPriority(1, full.Memory)
	ejected.Ejected = true
	in := input()
	in.MaxMemoryShare = LowPriorityMemoryShare
	if c := Pick(in, []Candidate{full, ejected}); c.Index != 1 {
		t.Errorf("chose %d, want the last resort of a prompt that can't wait", c.Index)
	}
	in.MayWait = true
	if c := Pick(in, []Candidate{full, ejected}); c.Index != -1 {
		t.Errorf("chose %d, want none", c.Index)
	}
	if c := Pick(in, []Candidate{ejected}); c.Index != 0 {
		t.Errorf("chose %d, want the only engine", c.Index)
	}
}

// Stale weights carry a penalty only after the grace period.
func TestStaleWeightsArePenalizedAfterTheGrace(t *testing.T) {
	stale, current := engine(1), engine(2)
	stale.CachedTokens, stale.StaleFor = 5000, staleGrace/2
	current.Work.Prefill = ledger.AtPriority(0, 40*time.Millisecond)
	if got := Pick(input(), []Candidate{stale, current}).Index; got != 0 {
		t.Error("avoided stale weights within the grace period")
	}
	stale.StaleFor = staleGrace + time.Second
	if got := Pick(input(), []Candidate{stale, current}).Index; got != 1 {
		t.Error("chose stale weights after the grace period")
	}
}

// A prompt that cannot meet its objective gets the late priority, so that it does not
// delay later prompts that still can.
func TestLatePromptsGetTheLatePriority(t *testing.T) {
	in := input()
	in.Objective = 400 * time.Millisecond
	busy := engine(1)
	busy.Work.Prefill = ledger.AtPriority(0, 2*time.Second)
	if got := Pick(in, []Candidate{busy}); !got.Late {
		t.Errorf("%+v", got)
	}
	lateWork := engine(1)
	lateWork.Work.Prefill = ledger.AtPriority(9, 2*time.Second)
	if got := Pick(in, []Candidate{lateWork}); got.Late || got.Wait > 100*time.Millisecond {
		t.Errorf("a prompt waits for late ones: %+v", got)
	}
}

// During a rollout, a long prompt avoids an engine that will load weights before the
// prefill ends and would return the prompt.
func TestLongPromptAvoidsAnEngineThatIsAboutToLoad(t *testing.T) {
	pending, loaded := engine(1), engine(2)
	pending.LoadScheduled, pending.LoadStartsIn = true, 200*time.Millisecond
	loaded.Work.Prefill = ledger.AtPriority(0, 300*time.Millisecond)
	in := input()
	in.OwnTokens = 40_000
	if got := Pick(in, []Candidate{pending, loaded}).Index; got != 1 {
		t.Error("a long prompt was sent to the engine that is about to load")
	}
	in.OwnTokens, in.SharedTokens = 2000, 500
	if got := Pick(in, []Candidate{pending, loaded}).Index; got != 0 {
		t.Error("a short prompt avoided the engine although its prefill ends before the load")
	}
}

// An engine's memory is full of long prompts. A prompt of high priority preempts them: its
// estimate must not include their prefill.
func TestHighPriorityPromptsDoNotWaitForLongOnes(t *testing.T) {
	full := engine(1)
	full.Memory = 100_000
	full.Work = ledger.Work{Running: 30, Prefill: ledger.AtPriority(1, 3*time.Second), Memory: ledger.AtPriority(1, 140_000)}
	in := &Input{Family: 7, SharedTokens: 200, OwnTokens: 600, MaxTokens: 100, Objective: 400 * time.Millisecond, MaxStaleness: 8 * time.Second,
		Priority: 0, LatePriority: 5, PrefillTime: input().PrefillTime}
	got := Pick(in, []Candidate{full})
	if got.Late || got.Estimate > in.Objective || got.Priority != 0 {
		t.Errorf("high priority: %+v", got)
	}
	in.Priority, in.LatePriority = 1, 6
	if got := Pick(in, []Candidate{full}); !got.Late || got.Estimate < 3*time.Second || got.Priority != 6 {
		t.Errorf("low priority: %+v", got)
	}
}

// A long prompt is not sent to an engine with little free memory, where one of higher priority
// would preempt it. Prompts of high priority and retries may use more of the memory.
func TestLongPromptsLeaveMemoryForHigherPriority(t *testing.T) {
	loaded := engine(1)
	loaded.Memory = 140_000
	loaded.Work = ledger.Work{Running: 10, Memory: ledger.AtPriority(1, 115_000)}
	long := input()
	long.Priority, long.MaxMemoryShare = 1, LowPriorityMemoryShare
	if got := Pick(long, []Candidate{loaded}); got.Index >= 0 {
		t.Error("a long prompt was sent where it would be preempted")
	}
	if got := Pick(long, []Candidate{loaded, engine(2)}); got.Index != 1 {
		t.Errorf("chose %d, want the engine with free memory", got.Index)
	}
	highPriority := input()
	if got := Pick(highPriority, []Candidate{loaded}); got.Index != 0 {
		t.Error("a high-priority prompt was refused")
	}
	long.MaxMemoryShare = RetryMemoryShare
	if got := Pick(long, []Candidate{loaded}); got.Index != 0 {
		t.Error("a retry was refused although there is memory for it")
	}
}

// The longest prompts must not starve when engines are nearly full, and a prompt larger
// than the memory share still fits an idle engine.
func TestLongestPromptsDoNotStarve(t *testing.T) {
	full := engine(1)
	full.Memory = 140_000
	full.Work = ledger.Work{Running: 8, Memory: ledger.AtPriority(1, 100_000)}
	longest := input()
	longest.OwnTokens, longest.MaxMemoryShare = 60_000, LowPriorityMemoryShare
	if got := Pick(longest, []Candidate{full}); got.Index != 0 {
		t.Error("the longest prompt was refused where one of 17,000 tokens would fit")
	}
	longest.OwnTokens = 200_000
	empty := engine(2)
	empty.Memory = 140_000
	if got := Pick(longest, []Candidate{empty}); got.Index != 0 {
		t.Error("a prompt larger than the memory share was refused by an idle engine")
	}
}

// A steady stream of prompts of high priority stretches the estimated wait of others.
func TestWaitIncludesArrivalsOfHigherPriority(t *testing.T) {
	c := engine(1)
	c.Work.Prefill = ledger.AtPriority(1, 200*time.Millisecond)
	in := input()
	in.Priority = 1
	quiet := Pick(in, []Candidate{c}).Wait
	c.OfferedLoad = ledger.AtPriority(0, 400)
	if busy := Pick(in, []Candidate{c}).Wait; busy < quiet*3/2 {
		t.Errorf("waits %v with a high-priority load of 0.4, %v without", busy, quiet)
	}
	in.Priority = 0
	if got := Pick(in, []Candidate{c}).Wait; got > quiet {
		t.Errorf("the wait of a high-priority prompt includes arrivals of its own priority: %v", got)
	}
}

// Guards against a factor that is applied twice to the work that entries report for an engine, and
// against a change for even services.
func TestWaitIsScaledOnce(t *testing.T) {
	in := &Input{OwnTokens: 1000, MaxStaleness: time.Hour, PrefillTime: func(n int) time.Duration { return time.Duration(n) * 100 * time.Microsecond }}
	c := Candidate{Slowdown: 2, Slots: 4, Work: ledger.Work{Prefill: ledger.AtPriority(0, 300*time.Millisecond)}}
	for uneven, want := range map[bool]time.Duration{false: 600 * time.Millisecond, true: 300 * time.Millisecond} {
		in.Uneven = uneven
		choice := Pick(in, []Candidate{c})
		if choice.Wait != want || choice.Prefill != 200*time.Millisecond || choice.AtUsualSpeed(2) != (want+choice.Prefill)/2 {
			t.Errorf("uneven %v: wait %v, prefill %v, at usual speed %v", uneven, choice.Wait, choice.Prefill, choice.AtUsualSpeed(2))
		}
	}
}

// Guards against engines whose streams become late while another could run the prompt, and against a
// refusal where all are alike.
func TestLatePausesAreAvoided(t *testing.T) {
	in := &Input{
		OwnTokens: 1000, MaxStaleness: time.Hour, PrefillTime: func(int) time.Duration { return 50 * time.Millisecond },
		Uneven: true, MaxPause: 40 * time.Millisecond, Pause: func(running int) time.Duration { return time.Duration(running) * 2 * time.Millisecond },
	}
	engine := func(slowdown float64, running int, wait time.Duration) Candidate {
		return Candidate{Slowdown: slowdown, Slots: 64, Work: ledger.Work{Running: running, Prefill: ledger.AtPriority(0, wait)}}
	}
	slow, fast := engine(1.7, 15, 0), engine(0.7, 20, 100*time.Millisecond)
	if got := Pick(in, []Candidate{slow, fast}).Index; got != 1 {
		t.Error("the streams of an engine become late although another has room")
	}
	if got := Pick(in, []Candidate{slow, slow}).Index; got < 0 {
		t.Error("refused although there is no choice")
	}
	in.MaxPause = 0
	if got := Pick(in, []Candidate{slow, fast}).Index; got != 0 {
		t.Error("pauses count without an objective")
	}
}
