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

// flakyLog refuses requests, loses responses and delays appends.
type flakyLog struct {
	mu     sync.Mutex
	log    *standin.Log
	random *rand.Rand
	// failureRate is the share of requests that fail; 1 is an outage.
	failureRate float64
}

func (f *flakyLog) drawFault() (fault float64, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64(), time.Duration(f.random.IntN(50)) * time.Millisecond
}

func (f *flakyLog) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	fault, delay := f.drawFault()
	time.Sleep(delay)
	if fault >= f.failureRate {
		return f.log.AppendRecord(stream, data), nil
	}
	if fault < f.failureRate/3 {
		return 0, errors.New("append refused")
	}
	if fault < f.failureRate*2/3 {
		f.log.AppendRecord(stream, data)
		return 0, errors.New("response lost")
	}
	time.AfterFunc(3*time.Second, func() { f.log.AppendRecord(stream, data) })
	return 0, errors.New("response lost, append delayed")
}

func (f *flakyLog) Read(_ context.Context, stream string, from uint64) (*external.Page, error) {
	fault, delay := f.drawFault()
	time.Sleep(delay)
	if fault < f.failureRate {
		return nil, errors.New("read failed")
	}
	return f.log.ReadPage(stream, from), nil
}

const (
	outcomeRan     = "ran"
	outcomeNotRun  = "not run"
	outcomeUnknown = "unknown"
)

// call is one attempt with a key at a sidecar.
type call struct {
	key     int
	sidecar int
	delay   time.Duration
	restart bool
	// outcome is what happens after the claim: 0 the call completes, 1 the sidecar crashes while
	// the call runs, 2 the call cannot be sent, 3 the call completes after a suspension.
	outcome int
	// void closes the key because of overload instead of claiming it.
	void bool
}

// history records the calls and their runs by key.
type history struct {
	mu    sync.Mutex
	runs  map[int]int
	ops   []porcupine.Operation
	start time.Time
}

func (h *history) record(ctx context.Context, l *Ledger, client int, c call) {
	time.Sleep(c.delay)
	issuedMs := h.start.UnixMilli()
	key := NewKey("w", "s", fmt.Sprintf("key-%d", c.key), issuedMs, 1)
	begin := time.Since(h.start)
	out := h.execute(ctx, l, key, c)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: c.key, Output: out, Call: int64(begin), Return: int64(time.Since(h.start)),
	})
}

func (h *history) execute(ctx context.Context, l *Ledger, key Key, c call) string {
	if c.void {
		response, refusal := l.VoidKey(ctx, key, KeyPolicy{}, time.Second, "overloaded")
		return outcomeOf(response, refusal)
	}
	ticket, response, refusal := l.Claim(ctx, key, KeyPolicy{})
	if ticket == nil {
		return outcomeOf(response, refusal)
	}
	if c.outcome == 2 {
		return outcomeOf(nil, ticket.Void(ctx, 0, "not sent"))
	}
	if c.outcome == 3 {
		time.Sleep(10 * time.Second)
	}
	h.mu.Lock()
	h.runs[c.key]++
	h.mu.Unlock()
	if c.outcome == 1 {
		ticket.Abandon()
		return outcomeUnknown
	}
	ticket.Complete(Response{Status: 200})
	return outcomeRan
}

func outcomeOf(response *Response, refusal *errkind.Error) string {
	switch {
	case response != nil:
		return outcomeRan
	case refusal.Kind == errkind.NotRun:
		return outcomeNotRun
	default:
		return outcomeUnknown
	}
}

// keyModel specifies one key as callers see it: it runs at most once, and "not run" is final.
var keyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{"open"} },
	Step: func(state, _, output any) []any {
		switch output {
		case outcomeRan:
			if state == "open" || state == outcomeRan {
				return []any{outcomeRan}
			}
		case outcomeNotRun:
			if state == "open" || state == outcomeNotRun {
				return []any{outcomeNotRun}
			}
		case outcomeUnknown:
			if state == "open" {
				return []any{"open", outcomeRan, outcomeNotRun}
			}
			return []any{state}
		}
		return nil
	},
}

func drawCalls(t *rapid.T) []call {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) call {
		return call{
			key: rapid.IntRange(0, 2).Draw(t, "key"), sidecar: rapid.IntRange(0, 2).Draw(t, "sidecar"),
			delay:   time.Duration(rapid.IntRange(0, 400).Draw(t, "delay")) * 10 * time.Millisecond,
			restart: rapid.Bool().Draw(t, "restart"), outcome: rapid.IntRange(0, 3).Draw(t, "outcome"),
			void: rapid.IntRange(0, 3).Draw(t, "void") == 0,
		}
	}), 1, 14).Draw(t, "calls")
}

// Retries with the same key at several sidecars must not run a call twice, and a call reported as
// not run must never run, while sidecars restart, are suspended or crash and the log is unreliable.
func TestCallsRunAtMostOnceAndNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		calls := drawCalls(rt)
		failureRate := rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(rt, "failureRate")
		seed := rapid.Uint64().Draw(rt, "seed")
		var h *history
		synctest.Test(t, func(*testing.T) {
			h = simulateCalls(calls, failureRate, seed)
		})
		for key, n := range h.runs {
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
				rt.Fatalf("key %d: no order of the calls explains %+v (runs %d)", key, ops, h.runs[key])
			}
			if h.runs[key] > 0 && containsOutput(ops, outcomeNotRun) {
				rt.Fatalf("key %d ran but was reported as not run: %+v", key, ops)
			}
		}
	})
}

func containsOutput(ops []porcupine.Operation, out string) bool {
	for _, op := range ops {
		if op.Output == out {
			return true
		}
	}
	return false
}

func simulateCalls(calls []call, failureRate float64, seed uint64) *history {
	h := &history{runs: map[int]int{}, start: time.Now()}
	log := &flakyLog{log: standin.NewLog(), random: rand.New(rand.NewPCG(seed, 1)), failureRate: failureRate}
	newLedger := func() *Ledger { return NewLedger(log, "s", 24*time.Hour, 10*time.Millisecond, time.Now) }
	ledgers := []*Ledger{newLedger(), newLedger(), newLedger()}
	var wg sync.WaitGroup
	for i, c := range calls {
		if c.restart {
			ledgers[c.sidecar] = newLedger()
		}
		l := ledgers[c.sidecar]
		wg.Add(1)
		go func() {
			defer wg.Done()
			h.record(context.Background(), l, i, c)
		}()
	}
	wg.Wait()
	time.Sleep(20 * time.Second)
	return h
}

// A claim whose acknowledgement was lost must not block retries with its key at the same sidecar.
func TestUnacknowledgedClaimIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &flakyLog{log: standin.NewLog(), random: rand.New(rand.NewPCG(1, 1))}
		l := NewLedger(&firstResponsesLost{Log: log}, "s", time.Hour, time.Millisecond, time.Now)
		key := NewKey("w", "s", "key-long-enough", time.Now().UnixMilli(), 1)
		if _, _, refusal := l.Claim(context.Background(), key, KeyPolicy{}); refusal == nil || refusal.Kind != errkind.OutcomeUnknown {
			t.Fatalf("first attempt: %v", refusal)
		}
		ticket, _, refusal := l.Claim(context.Background(), key, KeyPolicy{})
		if ticket == nil {
			t.Fatalf("second attempt: %v", refusal)
		}
		ticket.Complete(Response{Status: 200})
		time.Sleep(time.Second)
	})
}

// firstResponsesLost loses the responses to the first batch's appends, which take effect.
type firstResponsesLost struct {
	external.Log
	appends int
}

func (l *firstResponsesLost) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	l.appends++
	offset, err := l.Log.Append(ctx, stream, data)
	if l.appends <= appendAttempts {
		return 0, errors.New("response lost")
	}
	return offset, err
}

// While the log is down, calls with a key must neither start nor be reported as not run.
func TestLogOutageLeavesOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &flakyLog{log: standin.NewLog(), random: rand.New(rand.NewPCG(1, 1)), failureRate: 1}
		l := NewLedger(log, "s", time.Hour, time.Millisecond, time.Now)
		key := NewKey("w", "s", "key-long-enough", time.Now().UnixMilli(), 1)
		ticket, _, refusal := l.Claim(context.Background(), key, KeyPolicy{})
		if ticket != nil || refusal.Kind != errkind.OutcomeUnknown || refusal.RetryAfter == 0 {
			t.Fatalf("claim: ticket %v, error %v", ticket, refusal)
		}
		if _, refusal := l.VoidKey(context.Background(), key, KeyPolicy{}, time.Second, ""); refusal.Kind != errkind.OutcomeUnknown {
			t.Fatalf("void: %v", refusal)
		}
		time.Sleep(10 * time.Second)
	})
}

// Keys whose claim the log may have dropped must be refused, or their call could run twice.
// Clock skew up to MaxClockSkew is tolerated.
func TestKeyOlderThanRetentionIsRefused(t *testing.T) {
	const retention = time.Hour
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		name        string
		issuedMs    int64
		allowOpaque bool
		want        errkind.Kind
	}{
		{"new", now.Add(-time.Minute).UnixMilli(), false, errkind.None},
		{"within limit", now.Add(-44 * time.Minute).UnixMilli(), false, errkind.None},
		{"beyond limit", now.Add(-46 * time.Minute).UnixMilli(), false, errkind.KeyExpired},
		{"no issue time", 0, false, errkind.KeyInvalid},
		{"no issue time, opaque keys allowed", 0, true, errkind.None},
		{"tolerated clock skew", now.Add(MaxClockSkew - time.Second).UnixMilli(), false, errkind.None},
		{"in the future", now.Add(MaxClockSkew + time.Second).UnixMilli(), false, errkind.KeyInvalid},
	} {
		got := errkind.None
		if refusal := CheckAge(c.issuedMs, KeyPolicy{AllowOpaque: c.allowOpaque}, now, retention); refusal != nil {
			got = refusal.Kind
		}
		if got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
	if (KeyPolicy{}).maxAge(retention)+MaxClockSkew >= retention {
		t.Error("keys that the log has dropped are accepted")
	}
}

// Keys dropped after the key lifetime was decreased must stay refused when it is increased again.
func TestIncreasedLifetimeRevivesNoKey(t *testing.T) {
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
			t.Fatalf("%d keys after DropExpired, want 0", n)
		}
		ticket, _, refusal = l.Claim(context.Background(), key, KeyPolicy{Lifetime: 10 * time.Hour})
		if ticket != nil || refusal.Kind != errkind.KeyExpired {
			t.Fatalf("a dropped key was accepted: %v", refusal)
		}
	})
}
