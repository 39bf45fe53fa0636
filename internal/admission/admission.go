// Package admission decides when a target works on a request: at once, after
// others, or not at all.
//
// A [Queue] stands at a sidecar, before its target. Classes go in order of
// priority, but a class that waits is credited a small part of what higher
// classes are served, so that it is never starved. Within a class, workspaces
// share by weight through start-time fair queueing. A request whose deadline
// the queue cannot meet is refused when it comes, with a lower bound of when
// to come back, because a refusal now leaves the caller time to act and a
// timeout later does not.
//
// The queue is pure: the caller gives the time and acts on what is returned.
package admission

import (
	"slices"
	"time"

	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/errkind"
)

// Limits are the bounds of a queue.
type Limits struct {
	// MaxRunning is how many requests the target works on at once.
	MaxRunning int
	// MaxPrefilling is how many of them may await their first token.
	MaxPrefilling int
	// MaxQueued is how many requests may wait.
	MaxQueued int
}

const (
	// lowerClassShare is the part of what a higher class is served that a
	// waiting lower class is credited.
	lowerClassShare = 0.1
	// holdSmoothing is the weight of the newest hold time in the average.
	holdSmoothing = 0.1
	// retrySpread is how far the times to come back are spread, as a part of
	// the time itself, so that refused callers do not return together.
	retrySpread = 0.5
	minRetry    = 50 * time.Millisecond
)

// Request asks for admission. Times are since a start that the caller chose.
type Request struct {
	// ID is unique among the requests of the queue.
	ID uint64
	// Workspace is the hash of its name.
	Workspace uint32
	// Weight of the workspace.
	Weight float64
	Class  config.Class
	// Prefill is the time to compute the tokens that are not cached.
	Prefill time.Duration
	// Cost is the request's whole use of the target, for fairness.
	Cost time.Duration
	// Deadline is when the first token must be there.
	Deadline time.Duration
}

// Verdict is what becomes of a request.
type Verdict int

// The verdicts.
const (
	Start Verdict = iota
	Wait
	Refuse
)

// Outcome is the answer to one request.
type Outcome struct {
	ID      uint64
	Verdict Verdict
	// Refusal is set when the verdict is Refuse.
	Refusal *errkind.Error
}

type item struct {
	Request
	start float64
	order uint64
}

type active struct {
	Request
	since      time.Duration
	prefilling bool
}

// Queue is the admission queue of one target. It is used by one goroutine at a
// time.
type Queue struct {
	limits  Limits
	queued  [config.Classes][]item
	credit  [config.Classes]float64
	virtual [config.Classes]float64
	finish  [config.Classes]map[uint32]float64
	running map[uint64]*active
	prefill int
	order   uint64
	hold    time.Duration
}

// NewQueue returns an empty queue.
func NewQueue(limits Limits) *Queue {
	q := &Queue{limits: limits, running: map[uint64]*active{}}
	for c := range q.finish {
		q.finish[c] = map[uint32]float64{}
	}
	return q
}

// Offer asks for admission. The outcomes speak of the request itself and of a
// waiting one that had to give way to it.
func (q *Queue) Offer(now time.Duration, r Request) []Outcome {
	it := q.tag(r)
	if r.Deadline <= now {
		refusal := errkind.After(errkind.DeadlineUnmeetable, q.spread(minRetry, r.ID), "the deadline has passed")
		return []Outcome{{ID: r.ID, Verdict: Refuse, Refusal: refusal}}
	}
	// A free target is tried whatever the estimate says: a wrong one would
	// otherwise refuse the very requests that would mend it.
	if q.canStart() && q.empty() {
		q.commit(it)
		q.begin(now, it)
		return []Outcome{{ID: r.ID, Verdict: Start}}
	}
	if refusal := q.judgeDeadline(now, it); refusal != nil {
		return []Outcome{{ID: r.ID, Verdict: Refuse, Refusal: refusal}}
	}
	outcomes := q.makeRoom(now, it)
	if len(outcomes) == 1 && outcomes[0].ID == r.ID {
		return outcomes
	}
	q.commit(it)
	q.insert(it)
	outcomes = append(outcomes, Outcome{ID: r.ID, Verdict: Wait})
	return append(outcomes, q.fill(now)...)
}

// FirstToken tells that a request's first token is there.
func (q *Queue) FirstToken(now time.Duration, id uint64) []Outcome {
	a, ok := q.running[id]
	if !ok || !a.prefilling {
		return nil
	}
	a.prefilling = false
	q.prefill--
	return q.fill(now)
}

// Finish tells that a running request has ended in any way.
func (q *Queue) Finish(now time.Duration, id uint64) []Outcome {
	a, ok := q.running[id]
	if !ok {
		return nil
	}
	delete(q.running, id)
	if a.prefilling {
		q.prefill--
	}
	q.learnHold(now - a.since)
	return q.fill(now)
}

// Abandon takes out a waiting request whose caller has gone. It reports
// whether the request was waiting.
func (q *Queue) Cancel(id uint64) bool {
	for c := range q.queued {
		for i, it := range q.queued[c] {
			if it.ID == id {
				q.queued[c] = slices.Delete(q.queued[c], i, i+1)
				return true
			}
		}
	}
	return false
}

// Expire refuses the waiting requests whose deadline can no longer be met.
func (q *Queue) Expire(now time.Duration) []Outcome {
	var outcomes []Outcome
	for c := range q.queued {
		q.queued[c] = slices.DeleteFunc(q.queued[c], func(it item) bool {
			if now+it.Prefill <= it.Deadline {
				return false
			}
			refusal := errkind.After(errkind.DeadlineUnmeetable, q.spread(minRetry, it.ID), "waited in vain")
			outcomes = append(outcomes, Outcome{ID: it.ID, Verdict: Refuse, Refusal: refusal})
			return true
		})
	}
	return outcomes
}

// Waiting is the number of waiting requests.
func (q *Queue) Waiting() int {
	n := 0
	for c := range q.queued {
		n += len(q.queued[c])
	}
	return n
}

// Running is the number of running requests.
func (q *Queue) Running() int { return len(q.running) }

// Prefilling is the number of running requests that await their first token.
func (q *Queue) Prefilling() int { return q.prefill }

// EstimateWait is the time until a new request of a workspace and class would
// reach the target.
func (q *Queue) EstimateWait(now time.Duration, workspace uint32, class config.Class) time.Duration {
	it := q.tag(Request{Workspace: workspace, Class: class, Weight: 1})
	return q.waitOf(now, it)
}

// tag computes a request's place in its class.
func (q *Queue) tag(r Request) item {
	start := max(q.virtual[r.Class], q.finish[r.Class][r.Workspace])
	return item{Request: r, start: start, order: q.order}
}

// commit makes the place count for later requests of the workspace.
func (q *Queue) commit(it item) {
	weight := it.Weight
	if weight <= 0 {
		weight = 1
	}
	q.order++
	q.finish[it.Class][it.Workspace] = it.start + it.Cost.Seconds()/weight
}

func before(a, b item) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.order < b.order
}

func (q *Queue) insert(it item) {
	line := q.queued[it.Class]
	at := len(line)
	for at > 0 && before(it, line[at-1]) {
		at--
	}
	q.queued[it.Class] = slices.Insert(line, at, it)
}

func (q *Queue) empty() bool { return q.Waiting() == 0 }

func (q *Queue) canStart() bool {
	return len(q.running) < q.limits.MaxRunning && q.prefill < q.limits.MaxPrefilling
}

func (q *Queue) begin(now time.Duration, it item) {
	q.running[it.ID] = &active{Request: it.Request, since: now, prefilling: true}
	q.prefill++
	q.virtual[it.Class] = max(q.virtual[it.Class], it.start)
	q.prune(it.Class)
}

// prune forgets the finish tags that the virtual time has passed; they bound
// nothing any more.
func (q *Queue) prune(class config.Class) {
	const pruneAbove = 64
	if len(q.finish[class]) < pruneAbove {
		return
	}
	for workspace, finish := range q.finish[class] {
		if finish <= q.virtual[class] {
			delete(q.finish[class], workspace)
		}
	}
}

// fill starts waiting requests while there is room.
func (q *Queue) fill(now time.Duration) []Outcome {
	var outcomes []Outcome
	for q.canStart() {
		class, ok := q.nextClass()
		if !ok {
			return outcomes
		}
		it := q.queued[class][0]
		q.queued[class] = slices.Delete(q.queued[class], 0, 1)
		q.settleCredit(class, it.Cost.Seconds())
		q.begin(now, it)
		outcomes = append(outcomes, Outcome{ID: it.ID, Verdict: Start})
	}
	return outcomes
}

// nextClass picks the highest class that waits, or a lower one whose credit
// pays for its next request.
func (q *Queue) nextClass() (config.Class, bool) {
	highest := -1
	for c := range q.queued {
		if len(q.queued[c]) == 0 {
			continue
		}
		if highest < 0 {
			highest = c
			continue
		}
		if q.credit[c] >= q.queued[c][0].Cost.Seconds() {
			return config.Class(c), true
		}
	}
	return config.Class(max(highest, 0)), highest >= 0
}

// settleCredit pays a lower class's turn from its credit and credits the
// classes that wait below the one served.
func (q *Queue) settleCredit(served config.Class, cost float64) {
	q.credit[served] = max(q.credit[served]-cost, 0)
	for c := int(served) + 1; c < config.Classes; c++ {
		if len(q.queued[c]) == 0 {
			q.credit[c] = 0
			continue
		}
		q.credit[c] += cost * lowerClassShare
	}
}

func (q *Queue) learnHold(hold time.Duration) {
	if q.hold == 0 {
		q.hold = hold
		return
	}
	q.hold += time.Duration(holdSmoothing * float64(hold-q.hold))
}

// waitOf estimates when an item would start: after the prefills under way,
// those of the items that go before it, and a free place in the batch.
func (q *Queue) waitOf(now time.Duration, it item) time.Duration {
	if q.canStart() && q.empty() {
		return 0
	}
	ahead, count := q.ahead(it)
	prefill := q.remainingPrefill(now) + ahead
	short := count + 1 - (q.limits.MaxRunning - len(q.running))
	if short <= 0 {
		return prefill
	}
	slots := q.hold * time.Duration(short) / time.Duration(q.limits.MaxRunning)
	return max(prefill, slots)
}

// ahead sums the prefills of waiting requests that go before an item.
func (q *Queue) ahead(it item) (prefill time.Duration, count int) {
	for c := 0; c < int(it.Class); c++ {
		for _, other := range q.queued[c] {
			prefill += other.Prefill
			count++
		}
	}
	for _, other := range q.queued[it.Class] {
		if before(it, other) {
			break
		}
		prefill += other.Prefill
		count++
	}
	return prefill, count
}

func (q *Queue) remainingPrefill(now time.Duration) time.Duration {
	var sum time.Duration
	for _, a := range q.running {
		if a.prefilling {
			sum += max(a.Prefill-(now-a.since), 0)
		}
	}
	return sum
}

func (q *Queue) judgeDeadline(now time.Duration, it item) *errkind.Error {
	expected := now + q.waitOf(now, it) + it.Prefill
	if expected <= it.Deadline {
		return nil
	}
	late := max(expected-it.Deadline, minRetry)
	return errkind.After(errkind.DeadlineUnmeetable, q.spread(late, it.ID),
		"the first token would come %v after the deadline", late.Round(time.Millisecond))
}

// makeRoom refuses the last in line when the queue is full, be it the new
// request or a waiting one that goes after it.
func (q *Queue) makeRoom(now time.Duration, it item) []Outcome {
	if q.Waiting() < q.limits.MaxQueued {
		return nil
	}
	victim := it
	for c := range q.queued {
		line := q.queued[c]
		if len(line) == 0 || c < int(victim.Class) {
			continue
		}
		last := line[len(line)-1]
		if c > int(victim.Class) || before(victim, last) {
			victim = last
		}
	}
	if victim.ID != it.ID {
		q.Cancel(victim.ID)
	}
	retry := q.spread(max(q.waitOf(now, victim)/2, minRetry), victim.ID)
	refusal := errkind.After(errkind.Overloaded, retry, "%d requests wait", q.limits.MaxQueued)
	return []Outcome{{ID: victim.ID, Verdict: Refuse, Refusal: refusal}}
}

// spread lengthens a time by a part that follows from the request's number.
func (q *Queue) spread(d time.Duration, id uint64) time.Duration {
	const buckets = 1024
	part := float64((id*0x9E3779B97F4A7C15)>>54) / buckets
	return d + time.Duration(retrySpread*part*float64(d))
}
