package admission

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var limits = Limits{MaxRunning: 4, MaxPrefilling: 1, MaxQueued: 16}

func request(id uint64, workspace uint32, class config.Class, cost time.Duration) Request {
	return Request{ID: id, Workspace: workspace, Weight: 1, Class: class, Prefill: cost, Cost: cost, Deadline: time.Hour}
}

// In any sequence of events the limits must hold, and each request must be decided exactly
// once.
func TestQueueKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := NewQueue(limits)
		now := time.Duration(0)
		decided := map[uint64]int{}
		waiting := map[uint64]bool{}
		var running []uint64
		record := func(outcomes []Outcome) {
			for _, o := range outcomes {
				switch o.Verdict {
				case Wait:
					waiting[o.ID] = true
					continue
				case Start:
					running = append(running, o.ID)
				}
				delete(waiting, o.ID)
				decided[o.ID]++
			}
		}
		next := uint64(0)
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0, 1:
				next++
				r := request(next, rapid.Uint32Range(0, 3).Draw(rt, "workspace"), config.Class(rapid.IntRange(0, 2).Draw(rt, "class")), 100*time.Millisecond)
				r.Deadline = now + time.Duration(rapid.IntRange(50, 3000).Draw(rt, "deadline"))*time.Millisecond
				record(q.Offer(now, r))
			case 2:
				if len(running) > 0 {
					i := rapid.IntRange(0, len(running)-1).Draw(rt, "finished")
					id := running[i]
					running = append(running[:i], running[i+1:]...)
					record(q.FirstToken(now, id))
					record(q.Finish(now, id))
				}
			case 3:
				record(q.Expire(now))
			}
			if q.Running() > limits.MaxRunning || q.Prefilling() > limits.MaxPrefilling || q.Waiting() > limits.MaxQueued {
				rt.Fatalf("running %d, prefilling %d, waiting %d", q.Running(), q.Prefilling(), q.Waiting())
			}
			if q.Running() != len(running) || q.Waiting() != len(waiting) {
				rt.Fatalf("the queue has %d running and %d waiting requests; its outcomes say %d and %d", q.Running(), q.Waiting(), len(running), len(waiting))
			}
		}
		for id, n := range decided {
			if n != 1 {
				rt.Fatalf("request %d was decided %d times", id, n)
			}
		}
	})
}

// serveAll keeps every flow backlogged and returns the cost served to each workspace.
func serveAll(t *testing.T, flows []Request, rounds int) map[uint32]float64 {
	t.Helper()
	q := NewQueue(Limits{MaxRunning: 1, MaxPrefilling: 1, MaxQueued: 1000})
	served := map[uint32]float64{}
	byID := map[uint64]Request{}
	id := uint64(0)
	var current uint64
	offer := func(flow Request) {
		id++
		flow.ID = id
		byID[id] = flow
		for _, o := range q.Offer(0, flow) {
			if o.Verdict == Start {
				current = o.ID
			}
		}
	}
	for _, flow := range flows {
		for range 10 {
			offer(flow)
		}
	}
	for range rounds {
		done := byID[current]
		served[done.Workspace] += done.Cost.Seconds()
		outcomes := q.Finish(0, current)
		if len(outcomes) == 0 {
			t.Fatal("no request was started")
		}
		current = outcomes[0].ID
		flow := done
		offer(flow)
	}
	return served
}

// Under overload, each workspace must be served in proportion to its weight, however large its
// requests are.
func TestSharesFollowWeights(t *testing.T) {
	flows := []Request{
		request(0, 1, config.ClassInteractive, 50*time.Millisecond),
		request(0, 2, config.ClassInteractive, 400*time.Millisecond),
		request(0, 3, config.ClassInteractive, 100*time.Millisecond),
	}
	flows[0].Weight, flows[1].Weight, flows[2].Weight = 4, 2, 1
	served := serveAll(t, flows, 4000)
	total := served[1] + served[2] + served[3]
	for workspace, want := range map[uint32]float64{1: 4.0 / 7, 2: 2.0 / 7, 3: 1.0 / 7} {
		if got := served[workspace] / total; math.Abs(got-want) > 0.1*want {
			t.Errorf("workspace %d got a share of %.3f, want %.3f", workspace, got, want)
		}
	}
}

// A continuous load of alerts must not starve batch requests, which may take only a small
// share.
func TestLowerClassesAreNotStarved(t *testing.T) {
	served := serveAll(t, []Request{
		request(0, 1, config.ClassAlert, 50*time.Millisecond),
		request(0, 2, config.ClassBatch, 200*time.Millisecond),
	}, 2000)
	if share := served[2] / served[1]; share < 0.05 || share > 0.15 {
		t.Errorf("batch was served %.3f of what alerts were served", share)
	}
}

// A request that cannot meet its deadline must be refused on arrival, with jitter in the retry
// delay.
func TestUnmeetableDeadlineIsRefusedOnArrival(t *testing.T) {
	q := NewQueue(limits)
	for id := uint64(1); id <= 5; id++ {
		q.Offer(0, request(id, uint32(id), config.ClassInteractive, time.Second))
	}
	seen := map[time.Duration]bool{}
	for id := uint64(10); id < 20; id++ {
		r := request(id, 9, config.ClassInteractive, time.Second)
		r.Deadline = 1500 * time.Millisecond
		outcomes := q.Offer(0, r)
		if len(outcomes) != 1 || outcomes[0].Verdict != Refuse || outcomes[0].Refusal.Kind != errkind.DeadlineUnmeetable {
			t.Fatalf("request %d: %+v", id, outcomes)
		}
		if outcomes[0].Refusal.RetryAfter < 500*time.Millisecond {
			t.Errorf("retry after %v", outcomes[0].Refusal.RetryAfter)
		}
		seen[outcomes[0].Refusal.RetryAfter] = true
	}
	if len(seen) < 8 {
		t.Errorf("ten refusals have %d distinct retry delays", len(seen))
	}
}

// A request that arrives after its deadline must not run, even at an idle target.
func TestPastDeadlineIsRefusedWhenIdle(t *testing.T) {
	q := NewQueue(limits)
	r := request(1, 1, config.ClassAlert, time.Millisecond)
	r.Deadline = 5 * time.Second
	outcomes := q.Offer(5*time.Second, r)
	if len(outcomes) != 1 || outcomes[0].Verdict != Refuse || q.Running() != 0 {
		t.Errorf("unexpected outcomes: %+v", outcomes)
	}
}

// A full queue must shed a waiting batch request in favor of an alert.
func TestFullQueueRefusesTheLastRequest(t *testing.T) {
	q := NewQueue(Limits{MaxRunning: 1, MaxPrefilling: 1, MaxQueued: 2})
	for id := uint64(1); id <= 3; id++ {
		q.Offer(0, request(id, uint32(id), config.ClassBatch, time.Millisecond))
	}
	outcomes := q.Offer(0, request(4, 4, config.ClassAlert, time.Millisecond))
	if outcomes[0].ID != 3 || outcomes[0].Verdict != Refuse || outcomes[0].Refusal.Kind != errkind.Overloaded {
		t.Errorf("unexpected outcomes: %+v", outcomes)
	}
}
