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
	serviceTimeSmoothing = 0.1
	// retrySpread is how far the times to come back are spread, as a part of
	// the time itself, so that refused callers do not return together.
	retryJitter   = 0.5
	minRetryAfter = 50 * time.Millisecond
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

type queuedRequest struct {
	Request
	startTag float64
	arrival  uint64
}

type runningRequest struct {
	Request
	startedAt  time.Duration
	prefilling bool
}

// Queue is the admission queue of one target. It is used by one goroutine at a
// time.
type Queue struct {
	limits      Limits
	queued      [config.Classes][]queuedRequest
	credit      [config.Classes]float64
	virtualTime [config.Classes]float64
	finishTags  [config.Classes]map[uint32]float64
	running     map[uint64]*runningRequest
	prefilling  int
	arrivals    uint64
	serviceTime time.Duration
}

// NewQueue returns an empty queue.
func NewQueue(limits Limits) *Queue {
	q := &Queue{limits: limits, running: map[uint64]*runningRequest{}}
	for c := range q.finishTags {
		q.finishTags[c] = map[uint32]float64{}
	}
	return q
}

// Offer asks for admission. The outcomes speak of the request itself and of a
// waiting one that had to give way to it.
func (q *Queue) Offer(now time.Duration, r Request) []Outcome {
	it := q.tag(r)
	if r.Deadline <= now {
		refusal := errkind.After(errkind.DeadlineUnmeetable, q.withJitter(minRetryAfter, r.ID), "the deadline has passed")
		return []Outcome{{ID: r.ID, Verdict: Refuse, Refusal: refusal}}
	}
	// A free target is tried whatever the estimate says: a wrong one would
	// otherwise refuse the very requests that would mend it.
	if q.canStart() && q.empty() {
		q.advanceFinishTag(it)
		q.start(now, it)
		return []Outcome{{ID: r.ID, Verdict: Start}}
	}
	if refusal := q.checkDeadline(now, it); refusal != nil {
		return []Outcome{{ID: r.ID, Verdict: Refuse, Refusal: refusal}}
	}
	outcomes := q.shedIfFull(now, it)
	if len(outcomes) == 1 && outcomes[0].ID == r.ID {
		return outcomes
	}
	q.advanceFinishTag(it)
	q.insert(it)
	outcomes = append(outcomes, Outcome{ID: r.ID, Verdict: Wait})
	return append(outcomes, q.startQueued(now)...)
}

// FirstToken tells that a request's first token is there.
func (q *Queue) FirstToken(now time.Duration, id uint64) []Outcome {
	a, ok := q.running[id]
	if !ok || !a.prefilling {
		return nil
	}
	a.prefilling = false
	q.prefilling--
	return q.startQueued(now)
}

// Finish tells that a running request has ended in any way.
func (q *Queue) Finish(now time.Duration, id uint64) []Outcome {
	a, ok := q.running[id]
	if !ok {
		return nil
	}
	delete(q.running, id)
	if a.prefilling {
		q.prefilling--
	}
	q.observeServiceTime(now - a.startedAt)
	return q.startQueued(now)
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
		q.queued[c] = slices.DeleteFunc(q.queued[c], func(it queuedRequest) bool {
			if now+it.Prefill <= it.Deadline {
				return false
			}
			refusal := errkind.After(errkind.DeadlineUnmeetable, q.withJitter(minRetryAfter, it.ID), "waited in vain")
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
func (q *Queue) Prefilling() int { return q.prefilling }

// EstimateWait is the time until a new request of a workspace and class would
// reach the target.
func (q *Queue) EstimateWait(now time.Duration, workspace uint32, class config.Class) time.Duration {
	it := q.tag(Request{Workspace: workspace, Class: class, Weight: 1})
	return q.expectedWait(now, it)
}

// tag computes a request's place in its class.
func (q *Queue) tag(r Request) queuedRequest {
	start := max(q.virtualTime[r.Class], q.finishTags[r.Class][r.Workspace])
	return queuedRequest{Request: r, startTag: start, arrival: q.arrivals}
}

// commit makes the place count for later requests of the workspace.
func (q *Queue) advanceFinishTag(it queuedRequest) {
	weight := it.Weight
	if weight <= 0 {
		weight = 1
	}
	q.arrivals++
	q.finishTags[it.Class][it.Workspace] = it.startTag + it.Cost.Seconds()/weight
}

func goesBefore(a, b queuedRequest) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.arrival < b.arrival
}

func (q *Queue) insert(it queuedRequest) {
	line := q.queued[it.Class]
	at := len(line)
	for at > 0 && goesBefore(it, line[at-1]) {
		at--
	}
	q.queued[it.Class] = slices.Insert(line, at, it)
}

func (q *Queue) empty() bool { return q.Waiting() == 0 }

func (q *Queue) canStart() bool {
	return len(q.running) < q.limits.MaxRunning && q.prefilling < q.limits.MaxPrefilling
}

func (q *Queue) start(now time.Duration, it queuedRequest) {
	q.running[it.ID] = &runningRequest{Request: it.Request, startedAt: now, prefilling: true}
	q.prefilling++
	q.virtualTime[it.Class] = max(q.virtualTime[it.Class], it.startTag)
	q.prune(it.Class)
}

// prune forgets the finish tags that the virtual time has passed; they bound
// nothing any more.
func (q *Queue) prune(class config.Class) {
	const pruneAbove = 64
	if len(q.finishTags[class]) < pruneAbove {
		return
	}
	for workspace, finish := range q.finishTags[class] {
		if finish <= q.virtualTime[class] {
			delete(q.finishTags[class], workspace)
		}
	}
}

// fill starts waiting requests while there is room.
func (q *Queue) startQueued(now time.Duration) []Outcome {
	var outcomes []Outcome
	for q.canStart() {
		class, ok := q.nextClass()
		if !ok {
			return outcomes
		}
		it := q.queued[class][0]
		q.queued[class] = slices.Delete(q.queued[class], 0, 1)
		q.updateCredit(class, it.Cost.Seconds())
		q.start(now, it)
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
func (q *Queue) updateCredit(served config.Class, cost float64) {
	q.credit[served] = max(q.credit[served]-cost, 0)
	for c := int(served) + 1; c < config.Classes; c++ {
		if len(q.queued[c]) == 0 {
			q.credit[c] = 0
			continue
		}
		q.credit[c] += cost * lowerClassShare
	}
}

func (q *Queue) observeServiceTime(hold time.Duration) {
	if q.serviceTime == 0 {
		q.serviceTime = hold
		return
	}
	q.serviceTime += time.Duration(serviceTimeSmoothing * float64(hold-q.serviceTime))
}

// waitOf estimates when an item would start: after the prefills under way,
// those of the items that go before it, and a free place in the batch.
func (q *Queue) expectedWait(now time.Duration, it queuedRequest) time.Duration {
	if q.canStart() && q.empty() {
		return 0
	}
	ahead, count := q.prefillAhead(it)
	prefill := q.remainingPrefill(now) + ahead
	short := count + 1 - (q.limits.MaxRunning - len(q.running))
	if short <= 0 {
		return prefill
	}
	slots := q.serviceTime * time.Duration(short) / time.Duration(q.limits.MaxRunning)
	return max(prefill, slots)
}

// ahead sums the prefills of waiting requests that go before an item.
func (q *Queue) prefillAhead(it queuedRequest) (prefill time.Duration, count int) {
	for c := 0; c < int(it.Class); c++ {
		for _, other := range q.queued[c] {
			prefill += other.Prefill
			count++
		}
	}
	for _, other := range q.queued[it.Class] {
		if goesBefore(it, other) {
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
			sum += max(a.Prefill-(now-a.startedAt), 0)
		}
	}
	return sum
}

func (q *Queue) checkDeadline(now time.Duration, it queuedRequest) *errkind.Error {
	expected := now + q.expectedWait(now, it) + it.Prefill
	if expected <= it.Deadline {
		return nil
	}
	late := max(expected-it.Deadline, minRetryAfter)
	return errkind.After(errkind.DeadlineUnmeetable, q.withJitter(late, it.ID),
		"the first token would come %v after the deadline", late.Round(time.Millisecond))
}

// makeRoom refuses the last in line when the queue is full, be it the new
// request or a waiting one that goes after it.
func (q *Queue) shedIfFull(now time.Duration, it queuedRequest) []Outcome {
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
		if c > int(victim.Class) || goesBefore(victim, last) {
			victim = last
		}
	}
	if victim.ID != it.ID {
		q.Cancel(victim.ID)
	}
	retry := q.withJitter(max(q.expectedWait(now, victim)/2, minRetryAfter), victim.ID)
	refusal := errkind.After(errkind.Overloaded, retry, "%d requests wait", q.limits.MaxQueued)
	return []Outcome{{ID: victim.ID, Verdict: Refuse, Refusal: refusal}}
}

// spread lengthens a time by a part that follows from the request's number.
func (q *Queue) withJitter(d time.Duration, id uint64) time.Duration {
	const buckets = 1024
	part := float64((id*0x9E3779B97F4A7C15)>>54) / buckets
	return d + time.Duration(retryJitter*part*float64(d))
}
