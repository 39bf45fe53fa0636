package once

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/standin"
)

// flakyLog loses answers, refuses calls and delays appends past their answer.
type flakyLog struct {
	mu     sync.Mutex
	log    *standin.Log
	random *rand.Rand
	// loss is the share of calls that go wrong; 1 is an outage.
	loss float64
}

func (f *flakyLog) draw() (lost float64, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64(), time.Duration(f.random.IntN(50)) * time.Millisecond
}

func (f *flakyLog) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	lost, delay := f.draw()
	time.Sleep(delay)
	if lost >= f.loss {
		return f.log.AppendRecord(stream, data), nil
	}
	if lost < f.loss/3 {
		return 0, errors.New("refused")
	}
	if lost < f.loss*2/3 {
		f.log.AppendRecord(stream, data)
		return 0, errors.New("answer lost")
	}
	time.AfterFunc(3*time.Second, func() { f.log.AppendRecord(stream, data) })
	return 0, errors.New("answer lost, append still on its way")
}

func (f *flakyLog) Read(_ context.Context, stream string, from uint64) (*external.Page, error) {
	lost, delay := f.draw()
	time.Sleep(delay)
	if lost < f.loss {
		return nil, errors.New("read lost")
	}
	return f.log.ReadPage(stream, from), nil
}

const (
	outRan     = "ran"
	outNotRun  = "not run"
	outUnknown = "unknown"
)

// call is one try of a key at a gate.
type call struct {
	key     int
	gate    int
	at      time.Duration
	restart bool
	// ending is what happens after the claim: 0 done, 1 the gate dies while
	// the call runs, 2 the call could not be sent, 3 frozen before the run.
	ending int
	// close refuses for overload instead of claiming.
	close bool
}

type history struct {
	mu      sync.Mutex
	effects map[int]int
	ops     []porcupine.Operation
	start   time.Time
}

func (h *history) run(ctx context.Context, l *Ledger, client int, c call) {
	time.Sleep(c.at)
	issued := h.start.UnixMilli()
	key := NewKey("w", "s", fmt.Sprintf("key-%d", c.key), issued, 1)
	begin := time.Since(h.start)
	out := h.try(ctx, l, key, c)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: c.key, Output: out, Call: int64(begin), Return: int64(time.Since(h.start)),
	})
}

func (h *history) try(ctx context.Context, l *Ledger, key Key, c call) string {
	if c.close {
		answer, refusal := l.VoidKey(ctx, key, KeyPolicy{}, time.Second, "overloaded")
		return outcomeOf(answer, refusal)
	}
	ticket, answer, refusal := l.Claim(ctx, key, KeyPolicy{})
	if ticket == nil {
		return outcomeOf(answer, refusal)
	}
	if c.ending == 2 {
		return outcomeOf(nil, ticket.Void(ctx, 0, "not sent"))
	}
	if c.ending == 3 {
		time.Sleep(10 * time.Second)
	}
	h.mu.Lock()
	h.effects[c.key]++
	h.mu.Unlock()
	if c.ending == 1 {
		ticket.Abandon()
		return outUnknown
	}
	ticket.Complete(Response{Status: 200})
	return outRan
}

func outcomeOf(answer *Response, refusal *errkind.Error) string {
	switch {
	case answer != nil:
		return outRan
	case refusal.Kind == errkind.NotRun:
		return outNotRun
	default:
		return outUnknown
	}
}

// keyModel says what one key may look like from outside: it runs once at the
// most, and "not run" holds for ever.
var keyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{"open"} },
	Step: func(state, _, output any) []any {
		switch output {
		case outRan:
			if state == "open" || state == outRan {
				return []any{outRan}
			}
		case outNotRun:
			if state == "open" || state == outNotRun {
				return []any{outNotRun}
			}
		case outUnknown:
			if state == "open" {
				return []any{"open", outRan, outNotRun}
			}
			return []any{state}
		}
		return nil
	},
}

func drawCalls(t *rapid.T) []call {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) call {
		return call{
			key: rapid.IntRange(0, 2).Draw(t, "key"), gate: rapid.IntRange(0, 2).Draw(t, "gate"),
			at:      time.Duration(rapid.IntRange(0, 400).Draw(t, "at")) * 10 * time.Millisecond,
			restart: rapid.Bool().Draw(t, "restart"), ending: rapid.IntRange(0, 3).Draw(t, "ending"),
			close: rapid.IntRange(0, 3).Draw(t, "close") == 0,
		}
	}), 1, 14).Draw(t, "calls")
}

// A clerk files a renewal and, unsure of the answer, files it again through
// another entry with the same key. Meanwhile gates restart empty, freeze, die
// after the call, and the log loses answers or takes an append late. The trader
// must not be billed twice, and "not run" must stay true.
func TestCallsRunAtMostOnceAndNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		calls := drawCalls(rt)
		loss := rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(rt, "loss")
		seed := rapid.Uint64().Draw(rt, "seed")
		var h *history
		synctest.Test(t, func(*testing.T) {
			h = replayCalls(calls, loss, seed)
		})
		for key, n := range h.effects {
			if n > 1 {
				rt.Fatalf("key %d ran %d times", key, n)
			}
		}
		for key := range 3 {
			var ops []porcupine.Operation
			for _, op := range h.ops {
				if op.Input == key {
					ops = append(ops, op)
				}
			}
			model := keyModel.ToModel()
			if !porcupine.CheckOperations(model, ops) {
				rt.Fatalf("key %d: no order of the calls explains %+v (effects %d)", key, ops, h.effects[key])
			}
			if h.effects[key] > 0 && hasOutput(ops, outNotRun) {
				rt.Fatalf("key %d ran and was called not run: %+v", key, ops)
			}
		}
	})
}

func hasOutput(ops []porcupine.Operation, out string) bool {
	for _, op := range ops {
		if op.Output == out {
			return true
		}
	}
	return false
}

func replayCalls(calls []call, loss float64, seed uint64) *history {
	h := &history{effects: map[int]int{}, start: time.Now()}
	log := &flakyLog{log: standin.NewLog(), random: rand.New(rand.NewPCG(seed, 1)), loss: loss}
	fresh := func() *Ledger { return NewLedger(log, "s", 24*time.Hour, 10*time.Millisecond, time.Now) }
	gates := []*Ledger{fresh(), fresh(), fresh()}
	var wg sync.WaitGroup
	for i, c := range calls {
		if c.restart {
			gates[c.gate] = fresh()
		}
		l := gates[c.gate]
		wg.Add(1)
		go func() {
			defer wg.Done()
			h.run(context.Background(), l, i, c)
		}()
	}
	wg.Wait()
	time.Sleep(20 * time.Second)
	return h
}

// The log's answer to a claim is lost, the caller is told that the outcome is
// unknown and asks again with the same key at the same gate: the call must run
// then and not be blocked for ever by its own first claim.
func TestClaimWithLostAnswerIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &flakyLog{log: standin.NewLog(), random: rand.New(rand.NewPCG(1, 1))}
		l := NewLedger(&lostOnce{Log: log}, "s", time.Hour, time.Millisecond, time.Now)
		key := NewKey("w", "s", "key-long-enough", time.Now().UnixMilli(), 1)
		if _, _, refusal := l.Claim(context.Background(), key, KeyPolicy{}); refusal == nil || refusal.Kind != errkind.OutcomeUnknown {
			t.Fatalf("first try: %v", refusal)
		}
		ticket, _, refusal := l.Claim(context.Background(), key, KeyPolicy{})
		if ticket == nil {
			t.Fatalf("second try: %v", refusal)
		}
		ticket.Complete(Response{Status: 200})
		time.Sleep(time.Second)
	})
}

// lostOnce loses the answers to the first batch's appends, after the effect.
type lostOnce struct {
	external.Log
	appends int
}

func (l *lostOnce) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	l.appends++
	offset, err := l.Log.Append(ctx, stream, data)
	if l.appends <= appendTries {
		return 0, errors.New("answer lost")
	}
	return offset, err
}

// While the log is down no call that may not be repeated starts, and none is
// called not run.
func TestLogOutageLeavesOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &flakyLog{log: standin.NewLog(), random: rand.New(rand.NewPCG(1, 1)), loss: 1}
		l := NewLedger(log, "s", time.Hour, time.Millisecond, time.Now)
		key := NewKey("w", "s", "key-long-enough", time.Now().UnixMilli(), 1)
		ticket, _, refusal := l.Claim(context.Background(), key, KeyPolicy{})
		if ticket != nil || refusal.Kind != errkind.OutcomeUnknown || refusal.RetryAfter == 0 {
			t.Fatalf("claim: %v %v", ticket, refusal)
		}
		if _, refusal := l.VoidKey(context.Background(), key, KeyPolicy{}, time.Second, ""); refusal.Kind != errkind.OutcomeUnknown {
			t.Fatalf("close: %v", refusal)
		}
		time.Sleep(10 * time.Second)
	})
}

// A key is repeated after the log has dropped its claim. The record of calls
// knows nothing of it, so that a guess would run it twice; it is refused by its
// age. Clocks that stand apart by the stated bound change nothing.
func TestKeyOlderThanRetentionIsRefused(t *testing.T) {
	const retention = time.Hour
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		name   string
		issued int64
		opaque bool
		want   errkind.Kind
	}{
		{"fresh", now.Add(-time.Minute).UnixMilli(), false, errkind.None},
		{"just within", now.Add(-44 * time.Minute).UnixMilli(), false, errkind.None},
		{"beyond", now.Add(-46 * time.Minute).UnixMilli(), false, errkind.KeyExpired},
		{"no time", 0, false, errkind.KeyInvalid},
		{"no time, opaque taken", 0, true, errkind.None},
		{"from a clock ahead", now.Add(MaxClockSkew - time.Second).UnixMilli(), false, errkind.None},
		{"from the future", now.Add(MaxClockSkew + time.Second).UnixMilli(), false, errkind.KeyInvalid},
	} {
		got := errkind.None
		if refusal := CheckAge(c.issued, KeyPolicy{AllowOpaque: c.opaque}, now, retention); refusal != nil {
			got = refusal.Kind
		}
		if got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
	if (KeyPolicy{}).keep(retention)+MaxClockSkew >= retention {
		t.Error("a key may be taken that the log has dropped")
	}
}

// An operator shortens a service's key lifetime, and the record forgets old
// calls. When the lifetime is lengthened again, a key from before must not be
// taken for new: it would run twice.
func TestLengthenedLifetimeRevivesNoKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &flakyLog{log: standin.NewLog(), random: rand.New(rand.NewPCG(1, 1))}
		l := NewLedger(log, "s", 24*time.Hour, time.Millisecond, time.Now)
		key := NewKey("w", "s", "key-long-enough", time.Now().UnixMilli(), 1)
		ticket, _, refusal := l.Claim(context.Background(), key, KeyPolicy{})
		if ticket == nil {
			t.Fatal(refusal)
		}
		ticket.Complete(Response{Status: 200})
		time.Sleep(2 * time.Hour)
		l.DropExpired(KeyPolicy{Lifetime: time.Hour})
		if n := l.Len(); n != 0 {
			t.Fatalf("%d keys are held", n)
		}
		ticket, _, refusal = l.Claim(context.Background(), key, KeyPolicy{Lifetime: 10 * time.Hour})
		if ticket != nil || refusal.Kind != errkind.KeyExpired {
			t.Fatalf("the key was taken again: %v", refusal)
		}
	})
}
