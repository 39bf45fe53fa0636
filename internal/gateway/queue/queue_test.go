package queue

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// item returns an item that arrives at a time, may wait for 60 s and has no objective.
func item(id uint64, ms int) Item {
	return Item{ID: id, Service: "s", Workspace: "w", Urgency: 1, Cost: 100, Arrived: at(ms), Deadline: at(ms + 60_000)}
}

// add adds items that wait for the one that fails first.
func add(t *testing.T, q *Queue, items ...Item) {
	t.Helper()
	for _, it := range items {
		d := q.Add(it, it.Arrived)
		if d.Action == Try {
			d, _ = q.Failed(it.ID, it.Arrived)
		}
		if d.Action != Wait {
			t.Fatalf("item %d: %+v", it.ID, d)
		}
	}
}

// serve places items in order from a time on and returns their IDs.
func serve(q *Queue, now time.Time, n int) []uint64 {
	var placed []uint64
	turns := q.Wake("s", now)
	for len(turns) > 0 && len(placed) < n {
		placed = append(placed, turns[0])
		_, turns = q.Placed(turns[0], now)
	}
	for len(turns) > 0 {
		_, turns = q.Failed(turns[0], now)
	}
	return placed
}

func expect(t *testing.T, what string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// Guards against an order other than the documented one.
func TestOrder(t *testing.T) {
	q := New(Policy{})
	limited := func(it Item, objective, firstEvent int) Item {
		it.Objective, it.FirstEvent = at(objective), time.Duration(firstEvent)*time.Millisecond
		return it
	}
	back := item(9, 8)
	back.Returned, back.FirstArrival = true, at(-500)
	longBack := item(10, 9)
	longBack.Returned, longBack.FirstArrival = true, at(-900)
	urgent := item(11, 10)
	urgent.Urgency = 0
	add(t, q, item(1, 0), limited(item(2, 1), 15, 0), limited(item(3, 2), 900, 0), limited(item(4, 3), 1000, 400), back, longBack, urgent)
	// At 20 ms request 2 can no longer meet its objective: it moves behind those without one.
	expect(t, "order", serve(q, at(20), 100), []uint64{11, 10, 9, 4, 3, 1, 2})
}

// Guards against a newcomer that overtakes, and against a request that waits although none precedes it.
func TestNewcomers(t *testing.T) {
	q := New(Policy{})
	if d := q.Add(item(1, 0), at(0)); d.Action != Try {
		t.Fatalf("%+v", d)
	}
	add(t, q, item(2, 1))
	urgent := item(3, 2)
	urgent.Urgency = 0
	expect(t, "urgent", q.Add(urgent, at(2)).Action, Try)
	expect(t, "same", q.Add(item(4, 3), at(3)).Action, Wait)
	expect(t, "other service", q.Add(Item{ID: 5, Service: "o", Deadline: at(1000)}, at(3)).Action, Try)
	expect(t, "order", serve(q, at(4), 10), []uint64{2, 4})
	expect(t, "after", q.Add(item(6, 5), at(5)).Action, Try)
}

// shares lets workspaces that always wait be served for a while and returns their shares of the cost.
func shares(t *testing.T, p Policy, costs map[string]float64, urgency map[string]int) map[string]float64 {
	t.Helper()
	q := New(p)
	id, byID := uint64(0), map[uint64]string{}
	refill := func(workspace string, now time.Time) {
		id++
		byID[id] = workspace
		it := item(id, 0)
		it.Workspace, it.Cost, it.Urgency = workspace, costs[workspace], urgency[workspace]
		it.Arrived, it.Deadline = now, now.Add(time.Hour)
		if q.Add(it, now).Action == Try {
			q.Failed(id, now)
		}
	}
	for range 50 {
		for workspace := range costs {
			refill(workspace, at(0))
		}
	}
	sums, total := map[string]float64{}, 0.0
	for i := range 5000 {
		for _, placed := range serve(q, at(10*i), 1) {
			w := byID[placed]
			sums[w] += costs[w]
			total += costs[w]
			refill(w, at(10*i))
		}
	}
	for w := range sums {
		sums[w] /= total
	}
	return sums
}

// Guards against shares that depend on how many or how long requests a workspace sends, and against
// floors that others can take.
func TestShares(t *testing.T) {
	costs := map[string]float64{"a": 100, "b": 1000, "c": 300}
	for _, c := range []struct {
		name    string
		policy  map[string]Share
		urgency map[string]int
		want    map[string]float64
	}{
		{"even", nil, nil, map[string]float64{"a": 1. / 3, "b": 1. / 3, "c": 1. / 3}},
		{"weights", map[string]Share{"a": {Weight: 2}, "b": {Weight: 1}, "c": {Weight: 5}}, nil, map[string]float64{"a": .25, "b": .125, "c": .625}},
		{"floor", map[string]Share{"a": {Weight: 1, Floor: .6}}, nil, map[string]float64{"a": .6, "b": .2, "c": .2}},
		{"floor below the share", map[string]Share{"a": {Weight: 1, Floor: .1}}, nil, map[string]float64{"a": 1. / 3, "b": 1. / 3, "c": 1. / 3}},
		{"floor against more urgent requests", map[string]Share{"a": {Weight: 1, Floor: .25}}, map[string]int{"a": 3}, map[string]float64{"a": .25, "b": .375, "c": .375}},
		{"urgency without a floor", nil, map[string]int{"a": 3, "b": 0, "c": 0}, map[string]float64{"b": .5, "c": .5}},
	} {
		got := shares(t, Policy{Workspaces: c.policy}, costs, c.urgency)
		for _, w := range []string{"a", "b", "c"} {
			if math.Abs(got[w]-c.want[w]) > 0.02 {
				t.Errorf("%s: workspace %s has %.3f, want %.3f", c.name, w, got[w], c.want[w])
			}
		}
	}
}

// Guards against a large request that blocks smaller ones, and against many failed attempts per event.
func TestWalk(t *testing.T) {
	q := New(Policy{})
	for i, cost := range []float64{900, 900, 800, 1000, 700, 600, 500} {
		it := item(uint64(i+1), i)
		it.Cost = cost
		add(t, q, it)
	}
	var tried []uint64
	for turns := q.Wake("s", at(50)); len(turns) > 0; {
		tried = append(tried, turns[0])
		_, turns = q.Failed(turns[0], at(50))
	}
	expect(t, "tried", tried, []uint64{1, 3, 5, 6})
	turns := q.Wake("s", at(60))
	expect(t, "next event", turns, []uint64{1})
	_, turns = q.Failed(1, at(60))
	expect(t, "after those that have failed", turns, []uint64{7})
	q.Failed(7, at(60))
	expect(t, "soon after a failure", q.Wake("s", at(61)), []uint64{})
	turns, _ = q.Tick(q.Next())
	expect(t, "as soon as it may", turns, []uint64{1})
	expect(t, "during an attempt", len(q.Wake("s", at(71))), 0)
	_, turns = q.Failed(1, at(82))
	expect(t, "an event during the attempt", turns, []uint64{1})
	_, turns = q.Placed(1, at(83))
	expect(t, "after a placement", turns, []uint64{2})
	if _, waited, turns := q.Leave(2, at(90)); waited != 89*time.Millisecond || turns[0] != 3 {
		t.Errorf("waited %v, turns %v", waited, turns)
	}
	expect(t, "a lost attempt", q.Wake("s", at(90).Add(attemptTimeout)), []uint64{4})
}

// Guards against more than one failed attempt per probe interval where attempts probe sidecars, and
// against the first ones in order keeping all others from their turns.
func TestProbedAttempts(t *testing.T) {
	q := New(Policy{})
	for i := range 100 {
		it := item(uint64(i+1), 0)
		it.Probed, it.Cost = true, float64(1000-i)
		add(t, q, it)
	}
	failures, seen := 0, map[uint64]bool{}
	for ms := 1; ms <= 1000; ms++ {
		turns, _ := q.Tick(at(ms))
		turns = append(turns, q.Wake("s", at(ms))...)
		for ; len(turns) > 0; failures++ {
			seen[turns[0]] = true
			_, turns = q.Failed(turns[0], at(ms))
		}
	}
	// Three of four attempts go to others than the first in order.
	if failures < 38 || failures > 40 || len(seen) < 28 {
		t.Errorf("%d failed attempts of %d requests in a second, want 40 of 31", failures, len(seen))
	}
}

// Guards against a queue that grows beyond its bounds, and against the refusal of the wrong request.
func TestBounds(t *testing.T) {
	q := New(Policy{MaxRequests: 4, MaxBytes: 1000})
	greedy := func(id uint64) Item {
		it := item(id, 0)
		it.Workspace, it.Bytes = "greedy", 10
		return it
	}
	add(t, q, greedy(1), greedy(2), greedy(3), item(4, 0))
	d := q.Add(item(5, 1), at(1))
	if d.Action != Wait || len(d.Evicted) != 1 || d.Evicted[0].Item.ID != 3 || d.Evicted[0].Reason != Full {
		t.Errorf("full: %+v", d)
	}
	if d = q.Add(greedy(6), at(1)); d.Action != Refuse || d.Refusal.Reason != Full {
		t.Errorf("last in order: %+v", d)
	}
	large := item(7, 2)
	large.Urgency, large.Bytes = 0, 990
	if d = q.Add(large, at(2)); d.Action != Try {
		t.Fatalf("%+v", d)
	}
	if d, _ = q.Failed(7, at(2)); d.Action != Wait || len(d.Evicted) != 1 {
		t.Errorf("bytes: %+v", d)
	}
	large.ID, large.Bytes = 8, 1001
	if d = q.Add(large, at(2)); d.Action != Refuse {
		t.Errorf("too large: %+v", d)
	}
	s := q.Stats(at(3)).Services[0]
	if s.Waiting != 4 || s.Bytes != 1000 {
		t.Errorf("%+v", s)
	}
}

// busy returns a queue with n requests that wait, which has just placed one each 10 ms for a second.
func busy(t *testing.T, n int) *Queue {
	t.Helper()
	q := New(Policy{})
	for i := range n + 100 {
		it := item(uint64(i+1), 0)
		it.Objective = at(1200)
		add(t, q, it)
	}
	for i := 1; i <= 100; i++ {
		serve(q, at(10*i), 1)
	}
	return q
}

// Guards against requests that wait although the forecast says that they are not served in time, and
// against refusals of those that are.
func TestForecast(t *testing.T) {
	q := busy(t, 50) // a newcomer waits some 500 ms
	for i, c := range []struct {
		deadline, objective, run int
		want                     Action
	}{
		{5000, 0, 0, Wait},
		{400, 0, 0, Refuse},
		{1000, 0, 800, Refuse},
		{1000, 300, 0, Wait},   // late, but the late response is of use
		{1000, 400, 0, Refuse}, // the caller gives up soon after its objective
		{1000, 800, 0, Wait},
	} {
		it := item(uint64(1000+i), 1000)
		it.Deadline, it.ExpectedRun = at(1000+c.deadline), time.Duration(c.run)*time.Millisecond
		if c.objective > 0 {
			it.Objective = at(1000 + c.objective)
		}
		d := q.Add(it, at(1000))
		if d.Action != c.want {
			t.Errorf("%+v: %+v", c, d)
		}
		if d.Action == Refuse && d.Refusal.Reason != TooLate {
			t.Errorf("%+v: reason %s", c, d.Refusal.Reason)
		}
		if f := max(d.Forecast, d.Refusal.Forecast); f < 300*time.Millisecond || f > 700*time.Millisecond {
			t.Errorf("%+v: forecast %v, want about 500ms", c, f)
		}
	}
}

// Guards against requests that are held beyond a third of their time while nothing is known, or beyond
// the time at which they can be served.
func TestHoldingTime(t *testing.T) {
	q := New(Policy{})
	it := item(1, 0)
	it.Deadline, it.ExpectedRun = at(9000), time.Second
	hopeless := item(2, 0) // too late for a retry anyway: it is held as long as it can be served
	hopeless.Deadline, hopeless.ExpectedRun = at(3000), 2500*time.Millisecond
	patient := item(3, 0)
	add(t, q, it, hopeless, patient)
	expect(t, "next check", q.checks.items[0].checkAt, at(500))
	refused := q.Expire(at(500))
	if len(refused) != 1 || refused[0].Item.ID != 2 || refused[0].Reason != TooLate {
		t.Errorf("%+v", refused)
	}
	expect(t, "before a third", len(q.Expire(at(2999))), 0)
	if refused = q.Expire(at(3001)); len(refused) != 1 || refused[0].Reason != NoForecast {
		t.Errorf("%+v", refused)
	}
	if refused = q.Expire(at(5000)); len(refused) != 1 || refused[0].Item.ID != 3 {
		t.Errorf("%+v", refused)
	}
}

// Guards against refused callers that all return at the same time or early.
func TestReturns(t *testing.T) {
	q := busy(t, 50)
	var last time.Duration
	for i := range 30 {
		it := item(uint64(1000+i), 1000)
		it.Deadline, it.ExpectedRun, it.Key = at(4000), 2600*time.Millisecond, uint64(1+i)
		d := q.Add(it, at(1000))
		if d.Action != Refuse || i > 0 && d.Refusal.RetryAfter < last+5*time.Millisecond || d.Refusal.RetryAfter > time.Second {
			t.Fatalf("refusal %d: %+v after %v", i, d.Refusal, last)
		}
		last = d.Refusal.RetryAfter
	}
	beyond := item(2000, 1000)
	beyond.Deadline, beyond.ExpectedRun = at(1600), 300*time.Millisecond
	if d := q.Add(beyond, at(1000)); d.Refusal.RetryAfter < 400*time.Millisecond {
		t.Errorf("a caller that returns earlier than the forecast is told %v", d.Refusal.RetryAfter)
	}
	back := func(id, key uint64, ms int) Item {
		it := item(id, ms)
		it.Key = key
		return it
	}
	add(t, q, back(3001, 1, 1100), back(3002, 30, 1100+int(last.Milliseconds())))
	expect(t, "first", serve(q, at(2500), 1), []uint64{3002})
}

// Guards against requests that wait for events that are late by a second, such as heartbeats.
func TestTurnsWithoutEvents(t *testing.T) {
	for _, probed := range []bool{false, true} {
		q := New(Policy{})
		for i := range 10 {
			it := item(uint64(i+1), 0)
			it.Probed = probed
			add(t, q, it)
		}
		placed := 0
		for ms := 1; ms <= 1000; ms++ {
			turns, _ := q.Tick(at(ms))
			for i := 0; len(turns) > 0; i++ {
				if i == 0 && ms > 500 { // one slot becomes free at a time
					_, turns = q.Placed(turns[0], at(ms))
					placed++
				} else {
					_, turns = q.Failed(turns[0], at(ms))
				}
			}
		}
		if want := 5; placed < want {
			t.Errorf("probed %v: %d placed in half a second without events, want at least %d", probed, placed, want)
		}
	}
}

// Guards against decisions that depend on a clock without jumps.
func TestClockJumps(t *testing.T) {
	for _, jump := range []int{-3_600_000, 3_600_000} {
		q := busy(t, 10)
		now := 1000 + jump
		add(t, q, item(5000, now), item(5001, now))
		turns, refused := q.Tick(at(now + 20))
		if jump < 0 && (len(turns) != 1 || len(refused) != 0) || jump > 0 && (len(refused) != 10 || len(turns) != 1) {
			t.Errorf("jump %d: turns %v, %d refused", jump, turns, len(refused))
		}
		expect(t, "turns after the jump", len(serve(q, at(now+300), 1)), 1)
		if next := q.Next(); jump < 0 && next.After(at(now+500)) {
			t.Errorf("jump %d: next tick at %v", jump, next.Sub(start))
		}
	}
}

// Guards against requests that wait in a process that stops, and against waiting ones that are lost.
func TestStop(t *testing.T) {
	q := busy(t, 1800)
	turns := q.Wake("s", at(1010))
	refused := q.Stop(at(1010))
	expect(t, "refused", len(refused), 1799)
	for _, r := range refused {
		if r.Reason != Stopping || r.RetryAfter > 100*time.Millisecond {
			t.Fatalf("%+v", r)
		}
	}
	d, _ := q.Failed(turns[0], at(1011))
	expect(t, "the one with a turn", d.Refusal.Reason, Stopping)
	expect(t, "slot free", q.Add(item(9000, 1002), at(1002)).Action, Try)
	d, _ = q.Failed(9000, at(1003))
	expect(t, "no slot", d.Refusal.Reason, Stopping)
	if len(q.entries) != 0 || q.waiting != 0 || q.bytes != 0 || !q.Next().IsZero() {
		t.Errorf("%d entries, %d waiting, %d bytes", len(q.entries), q.waiting, q.bytes)
	}
}

// Guards against state that diverges from the set of items, whatever the order of events.
func TestRandomEvents(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	q := New(Policy{MaxRequests: 40, Workspaces: map[string]Share{"w1": {Weight: 3, Floor: .3}}})
	open, turns := map[uint64]bool{}, map[uint64]bool{}
	grant := func(ids []uint64) {
		for _, id := range ids {
			if !open[id] || turns[id] {
				t.Fatalf("turn for %d: open %v, has one %v", id, open[id], turns[id])
			}
			turns[id] = true
		}
	}
	drop := func(refused ...Refusal) {
		for _, f := range refused {
			if !open[f.Item.ID] || turns[f.Item.ID] {
				t.Fatalf("refusal of %d: open %v, attempting %v", f.Item.ID, open[f.Item.ID], turns[f.Item.ID])
			}
			delete(open, f.Item.ID)
		}
	}
	decide := func(id uint64, d Decision) {
		delete(turns, id)
		drop(d.Evicted...)
		if d.Action == Try {
			turns[id] = true
		}
		if d.Action == Refuse {
			drop(d.Refusal)
		}
	}
	pick := func(from map[uint64]bool) uint64 {
		for id := range from {
			return id
		}
		return 0
	}
	for ms := range 50_000 {
		now := at(ms)
		switch id := pick(turns); r.IntN(9) {
		case 0, 1:
			it := item(uint64(ms+1), ms)
			it.Workspace, it.Urgency, it.Cost = fmt.Sprint("w", r.IntN(4)), r.IntN(3), float64(1+r.IntN(5000))
			it.Deadline, it.Objective = at(ms+200+r.IntN(3000)), at(ms+r.IntN(800))
			it.Returned, it.Restricted, it.Bytes = r.IntN(5) == 0, r.IntN(9) == 0, r.IntN(100)
			open[it.ID] = true
			decide(it.ID, q.Add(it, now))
		case 2, 3:
			_, next := q.Placed(id, now)
			delete(open, id)
			delete(turns, id)
			grant(next)
		case 4, 5:
			if id != 0 {
				d, next := q.Failed(id, now)
				decide(id, d)
				grant(next)
			}
		case 6:
			id := pick(open)
			_, _, next := q.Leave(id, now)
			delete(open, id)
			delete(turns, id)
			grant(next)
		case 7:
			grant(q.Wake("s", now))
			q.Notify(now)
		default:
			next, refused := q.Tick(now)
			drop(refused...)
			grant(next)
		}
		if len(q.entries) != len(open) || q.waiting > 40 || q.waiting != q.line("s", now).waiting {
			t.Fatalf("%d entries, %d open, %d waiting", len(q.entries), len(open), q.waiting)
		}
	}
}

// BenchmarkDecision measures an arrival, a failed and a successful attempt with 1,000 waiting requests
// of 50 workspaces.
func BenchmarkDecision(b *testing.B) {
	q := New(Policy{})
	id := uint64(0)
	now := at(0)
	add := func() {
		id++
		it := item(id, 0)
		it.Workspace, it.Urgency, it.Cost = fmt.Sprint("w", id%50), int(id%3), float64(100+id*7919%4000)
		it.Arrived, it.Deadline, it.Objective = now, now.Add(time.Hour), now.Add(time.Minute)
		if q.Add(it, now).Action == Try {
			q.Failed(id, now)
		}
	}
	for range 1000 {
		add()
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(minFailedInterval)
		add()
		turns := q.Wake("s", now)
		_, turns = q.Failed(turns[0], now)
		if len(turns) > 0 {
			_, turns = q.Placed(turns[0], now)
		} else {
			now = now.Add(minFailedInterval)
			turns = q.Wake("s", now)
			_, turns = q.Placed(turns[0], now)
		}
		for len(turns) > 0 {
			_, turns = q.Failed(turns[0], now)
		}
	}
}
