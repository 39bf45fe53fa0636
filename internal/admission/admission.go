// Package admission decides whether a request starts at a target at once, waits or is refused.
//
// Each sidecar has a [Queue] in front of its target. Classes are served in order of priority; a
// waiting lower class accumulates credit as higher classes are served, so that it does not
// starve. Within a class, workspaces share the target by weight through start-time fair
// queueing. A request whose deadline cannot be met is refused on arrival, so that its caller
// can still act.
//
// The queue has no clock, goroutines or I/O: callers pass the time and act on the returned
// outcomes.
package admission

import (
	"slices"
	"time"

	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/errkind"
)

// Limits are the bounds of a queue.
type Limits struct {
	// MaxRunning is the number of requests that may run at the target at once.
	MaxRunning int
	// MaxPrefilling is the number of running requests that may await their first token.
	MaxPrefilling int
	// MaxQueued is the number of requests that may wait.
	MaxQueued int
}

const (
	// lowerClassShare is the share of the cost served to a higher class that each waiting lower
	// class is credited with.
	lowerClassShare = 0.1
	// serviceTimeSmoothing is the weight of the newest sample in the average service time.
	serviceTimeSmoothing = 0.1
	// retryJitter is the maximum jitter added to a retry delay, as a share of the delay, so
	// that refused callers do not retry all at once.
	retryJitter   = 0.5
	minRetryAfter = 50 * time.Millisecond
)

// Request asks for admission. Times are relative to an origin that the caller chooses.
type Request struct {
	// ID is unique among the requests of the queue.
	ID uint64
	// Workspace is the hash of the workspace's name.
	Workspace uint32
	// Weight is the workspace's weight in fair queueing; values of 0 or less count as 1.
	Weight float64
	Class  config.Class
	// Prefill is the time to compute the tokens that are not cached.
	Prefill time.Duration
	// Cost is the total use of the target, for fair queueing.
	Cost time.Duration
	// Deadline is when the first token is due.
	Deadline time.Duration
}

// Verdict is the decision on a request.
type Verdict int

// The verdicts.
const (
	Start Verdict = iota
	Wait
	Refuse
)

// Outcome is a request with its verdict.
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

// Queue is the admission queue of one target. It is not safe for concurrent use.
type Queue struct {
	limits       Limits
	queued       [config.NumClasses][]queuedRequest
	credit       [config.NumClasses]float64
	virtualTime  [config.NumClasses]float64
	finishTags   [config.NumClasses]map[uint32]float64
	running      map[uint64]*runningRequest
	prefillCount int
	arrivals     uint64
	serviceTime  time.Duration
}

// NewQueue returns an empty queue.
func NewQueue(limits Limits) *Queue {
	q := &Queue{limits: limits, running: map[uint64]*runningRequest{}}
	for c := range q.finishTags {
		q.finishTags[c] = map[uint32]float64{}
	}
	return q
}

// Offer asks for admission of a request. Besides the request's own outcome, it returns the
// outcomes of waiting requests that were shed or started.
func (q *Queue) Offer(now time.Duration, r Request) []Outcome {
	req := q.tag(r)
	if r.Deadline <= now {
		refusal := errkind.NewRetryAfter(errkind.DeadlineUnmeetable, q.withJitter(minRetryAfter, r.ID), "the deadline has passed")
		return []Outcome{{ID: r.ID, Verdict: Refuse, Refusal: refusal}}
	}
	// A target with free capacity gets the request whatever the estimate: a wrong one is corrected
	// only by requests that run.
	if q.canStart() && q.empty() {
		q.advanceFinishTag(req)
		q.start(now, req)
		return []Outcome{{ID: r.ID, Verdict: Start}}
	}
	if refusal := q.checkDeadline(now, req); refusal != nil {
		return []Outcome{{ID: r.ID, Verdict: Refuse, Refusal: refusal}}
	}
	outcomes := q.shedIfFull(now, req)
	if len(outcomes) == 1 && outcomes[0].ID == r.ID {
		return outcomes
	}
	q.advanceFinishTag(req)
	q.insert(req)
	outcomes = append(outcomes, Outcome{ID: r.ID, Verdict: Wait})
	return append(outcomes, q.startQueued(now)...)
}

// FirstToken records that a running request has produced its first token.
func (q *Queue) FirstToken(now time.Duration, id uint64) []Outcome {
	a, ok := q.running[id]
	if !ok || !a.prefilling {
		return nil
	}
	a.prefilling = false
	q.prefillCount--
	return q.startQueued(now)
}

// Finish records that a running request has ended, for whatever reason.
func (q *Queue) Finish(now time.Duration, id uint64) []Outcome {
	a, ok := q.running[id]
	if !ok {
		return nil
	}
	delete(q.running, id)
	if a.prefilling {
		q.prefillCount--
	}
	q.observeServiceTime(now - a.startedAt)
	return q.startQueued(now)
}

// Cancel removes a waiting request, and reports whether it was waiting.
func (q *Queue) Cancel(id uint64) bool {
	for c := range q.queued {
		for i, req := range q.queued[c] {
			if req.ID == id {
				q.queued[c] = slices.Delete(q.queued[c], i, i+1)
				return true
			}
		}
	}
	return false
}

// Expire refuses the waiting requests that can no longer meet their deadline.
func (q *Queue) Expire(now time.Duration) []Outcome {
	var outcomes []Outcome
	for c := range q.queued {
		q.queued[c] = slices.DeleteFunc(q.queued[c], func(req queuedRequest) bool {
			if now+req.Prefill <= req.Deadline {
				return false
			}
			refusal := errkind.NewRetryAfter(errkind.DeadlineUnmeetable, q.withJitter(minRetryAfter, req.ID), "the deadline can no longer be met")
			outcomes = append(outcomes, Outcome{ID: req.ID, Verdict: Refuse, Refusal: refusal})
			return true
		})
	}
	return outcomes
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	n := 0
	for c := range q.queued {
		n += len(q.queued[c])
	}
	return n
}

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.running) }

// Prefilling returns the number of running requests that await their first token.
func (q *Queue) Prefilling() int { return q.prefillCount }

// EstimateWait returns how long a new request of a workspace and class would wait in the queue.
func (q *Queue) EstimateWait(now time.Duration, workspace uint32, class config.Class) time.Duration {
	req := q.tag(Request{Workspace: workspace, Class: class, Weight: 1})
	return q.expectedWait(now, req)
}

// tag returns the request with its start tag for fair queueing.
func (q *Queue) tag(r Request) queuedRequest {
	startTag := max(q.virtualTime[r.Class], q.finishTags[r.Class][r.Workspace])
	return queuedRequest{Request: r, startTag: startTag, arrival: q.arrivals}
}

// advanceFinishTag advances the workspace's finish tag by the cost of an accepted request.
func (q *Queue) advanceFinishTag(req queuedRequest) {
	weight := req.Weight
	if weight <= 0 {
		weight = 1
	}
	q.arrivals++
	q.finishTags[req.Class][req.Workspace] = req.startTag + req.Cost.Seconds()/weight
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

func (q *Queue) insert(req queuedRequest) {
	waiting := q.queued[req.Class]
	position := len(waiting)
	for position > 0 && goesBefore(req, waiting[position-1]) {
		position--
	}
	q.queued[req.Class] = slices.Insert(waiting, position, req)
}

func (q *Queue) empty() bool { return q.Waiting() == 0 }

func (q *Queue) canStart() bool {
	return len(q.running) < q.limits.MaxRunning && q.prefillCount < q.limits.MaxPrefilling
}

func (q *Queue) start(now time.Duration, req queuedRequest) {
	q.running[req.ID] = &runningRequest{Request: req.Request, startedAt: now, prefilling: true}
	q.prefillCount++
	q.virtualTime[req.Class] = max(q.virtualTime[req.Class], req.startTag)
	q.prune(req.Class)
}

// prune deletes the finish tags that the virtual time has passed, which no longer have an
// effect.
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

// startQueued starts waiting requests while the limits allow it.
func (q *Queue) startQueued(now time.Duration) []Outcome {
	var outcomes []Outcome
	for q.canStart() {
		class, ok := q.nextClass()
		if !ok {
			return outcomes
		}
		req := q.queued[class][0]
		q.queued[class] = slices.Delete(q.queued[class], 0, 1)
		q.updateCredit(class, req.Cost.Seconds())
		q.start(now, req)
		outcomes = append(outcomes, Outcome{ID: req.ID, Verdict: Start})
	}
	return outcomes
}

// nextClass returns the highest waiting class, or a lower one whose credit covers its next
// request.
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

// updateCredit deducts the cost from the served class and credits the waiting classes below it.
func (q *Queue) updateCredit(served config.Class, cost float64) {
	q.credit[served] = max(q.credit[served]-cost, 0)
	for c := int(served) + 1; c < config.NumClasses; c++ {
		if len(q.queued[c]) == 0 {
			q.credit[c] = 0
			continue
		}
		q.credit[c] += cost * lowerClassShare
	}
}

func (q *Queue) observeServiceTime(sample time.Duration) {
	if q.serviceTime == 0 {
		q.serviceTime = sample
		return
	}
	q.serviceTime += time.Duration(serviceTimeSmoothing * float64(sample-q.serviceTime))
}

// expectedWait estimates when a request would start: after the prefills in progress and those
// queued ahead of it, and once the target has a free slot.
func (q *Queue) expectedWait(now time.Duration, req queuedRequest) time.Duration {
	if q.canStart() && q.empty() {
		return 0
	}
	ahead, count := q.prefillAhead(req)
	prefill := q.remainingPrefill(now) + ahead
	excess := count + 1 - (q.limits.MaxRunning - len(q.running))
	if excess <= 0 {
		return prefill
	}
	slotWait := q.serviceTime * time.Duration(excess) / time.Duration(q.limits.MaxRunning)
	return max(prefill, slotWait)
}

// prefillAhead returns the total prefill time and the number of the requests queued ahead of a
// request.
func (q *Queue) prefillAhead(req queuedRequest) (prefill time.Duration, count int) {
	for c := 0; c < int(req.Class); c++ {
		for _, other := range q.queued[c] {
			prefill += other.Prefill
			count++
		}
	}
	for _, other := range q.queued[req.Class] {
		if goesBefore(req, other) {
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

func (q *Queue) checkDeadline(now time.Duration, req queuedRequest) *errkind.Error {
	expected := now + q.expectedWait(now, req) + req.Prefill
	if expected <= req.Deadline {
		return nil
	}
	late := max(expected-req.Deadline, minRetryAfter)
	return errkind.NewRetryAfter(errkind.DeadlineUnmeetable, q.withJitter(late, req.ID),
		"the first token would come %v after the deadline", late.Round(time.Millisecond))
}

// shedIfFull refuses the last request in order if the queue is full: either the new request or
// a waiting one that it precedes.
func (q *Queue) shedIfFull(now time.Duration, req queuedRequest) []Outcome {
	if q.Waiting() < q.limits.MaxQueued {
		return nil
	}
	victim := req
	for c := range q.queued {
		waiting := q.queued[c]
		if len(waiting) == 0 || c < int(victim.Class) {
			continue
		}
		last := waiting[len(waiting)-1]
		if c > int(victim.Class) || goesBefore(victim, last) {
			victim = last
		}
	}
	if victim.ID != req.ID {
		q.Cancel(victim.ID)
	}
	retryAfter := q.withJitter(max(q.expectedWait(now, victim)/2, minRetryAfter), victim.ID)
	refusal := errkind.NewRetryAfter(errkind.Overloaded, retryAfter, "%d requests are queued", q.limits.MaxQueued)
	return []Outcome{{ID: victim.ID, Verdict: Refuse, Refusal: refusal}}
}

// withJitter adds jitter, derived from the request ID, to a duration.
func (q *Queue) withJitter(d time.Duration, id uint64) time.Duration {
	const buckets = 1024
	fraction := float64((id*0x9E3779B97F4A7C15)>>54) / buckets
	return d + time.Duration(retryJitter*fraction*float64(d))
}
